"""Entries and upstreams for tests of the owner's queue, without a network."""

from __future__ import annotations

import itertools

import attrs
import trio

from lavenderbend.coordination.forwarding import owned_loads
from lavenderbend.protocol import messages_forwarding

Outcome = messages_forwarding.ReservationOutcome
UPSTREAM = 5
ENTRY = '10.0.0.2'
RESEND_SECONDS = 0.1
NOTE_SECONDS = 0.002
TOKENS_PER_SECOND = 40_000


def ask(number, tokens=9000, own_tokens=500, wait=3000, chat=None, **fields):
    """Returns a request that may be declined; one chat for each by default."""
    values = {
        'lifetime_milliseconds': 10_000,
        'checks_room': True,
        'target_milliseconds': 5000,
        **fields,
    }
    return messages_forwarding.ReservationRequest(
        number,
        ENTRY,
        UPSTREAM,
        'zone-0',
        1000 + number if chat is None else chat,
        tokens,
        own_tokens,
        wait_milliseconds=wait,
        **values,
    )


def ask_plain(number, max_load=2, **fields):
    """Returns a request without a prompt."""
    return ask(number, 0, 0, chat=0, max_load=max_load, **fields)


def note(owned, kind, number, chat=0, value=0, host=ENTRY):
    """Has the owner apply a note on a reservation."""
    row = [int(kind), number, UPSTREAM, chat, value]
    owned.apply_notes(messages_forwarding.ReservationNotes(host, [row]))


def begin(owned, number, chat=None):
    """Notes that the upstream began to answer a request of `ask`."""
    chat = 1000 + number if chat is None else chat
    note(owned, owned_loads.NoteKind.BEGUN, number, chat)


def end(owned, number):
    """Notes that a request has ended."""
    note(owned, owned_loads.NoteKind.ENDED, number)


@attrs.define
class Sent:
    """A request of a play and what became of it.

    Attributes:
        message: The request.
        arrived_at: Clock at which it was sent first.
        granted_at: Clock at which it was granted, None if it was not.
        begun_at: Clock at which the upstream began to answer it.
        reply: The last reply.
    """

    message: messages_forwarding.ReservationRequest
    arrived_at: float
    granted_at: float | None = None
    begun_at: float | None = None
    reply: messages_forwarding.ReservationReply | None = None

    @property
    def waited(self):
        return self.granted_at - self.arrived_at


class Play:
    """Entries that send requests to one upstream by their owner's grants.

    The upstream processes prompts one after another. A chat that it has not
    cached when a request arrives is processed for that request.

    Attributes:
        owned: The owner.
        seconds: Service time of requests without a prompt.
        sent: The requests so far.
        cached: Chats that the upstream has cached.
        read_tokens: Prompt tokens that it has processed.
    """

    def __init__(self, owned, nursery, seconds=0.1):
        self.owned = owned
        self.nursery = nursery
        self.seconds = seconds
        self.sent = {}
        self.cached = set()
        self.read_tokens = 0
        self.reading = trio.Lock()
        self.running = 0
        self.most_running = 0
        self.numbers = itertools.count(1)
        owned.on_grant = self.on_grant
        nursery.start_soon(owned.run)

    def send(self, make, **fields):
        """Sends a request made by `ask` or `ask_plain`."""
        number = next(self.numbers)
        sent = Sent(make(number, **fields), trio.current_time())
        self.sent[number] = sent
        self.nursery.start_soon(self.poll, sent)
        return sent

    async def poll(self, sent):
        while sent.granted_at is None:
            reply = sent.reply = self.owned.reserve(sent.message)
            if reply.outcome == Outcome.GRANTED:
                self.on_grant(ENTRY, reply)
            if reply.outcome != Outcome.WAITING:
                return
            await trio.sleep(RESEND_SECONDS)

    def on_grant(self, host, reply):
        sent = self.sent[reply.number]
        if sent.granted_at is None:
            sent.granted_at = trio.current_time()
            self.nursery.start_soon(self.serve, sent)

    async def serve(self, sent):
        message = sent.message
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        if message.tokens:
            await self.read(sent)
        await trio.sleep(self.seconds)
        self.running -= 1
        await trio.sleep(NOTE_SECONDS)
        end(self.owned, message.number)

    async def read(self, sent):
        message = sent.message
        held = message.chat in self.cached
        tokens = message.own_tokens if held else message.tokens
        self.read_tokens += tokens
        async with self.reading:
            await trio.sleep(tokens / TOKENS_PER_SECOND)
        self.cached.add(message.chat)
        sent.begun_at = trio.current_time()
        await trio.sleep(NOTE_SECONDS)
        begin(self.owned, message.number, message.chat)

    def share_begun(self, seconds):
        """Returns the share of requests whose answers began in time."""
        in_time = [
            sent.begun_at is not None
            and sent.begun_at - sent.arrived_at <= seconds
            for sent in self.sent.values()
        ]
        return sum(in_time) / len(in_time)
