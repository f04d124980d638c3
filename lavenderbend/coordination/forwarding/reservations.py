"""Requests counted at upstreams by the routers that own these."""

from __future__ import annotations

import collections
import itertools
from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend.coordination.forwarding import owned_loads
from lavenderbend.observe import metrics
from lavenderbend.protocol import messages_forwarding
from lavenderbend.state import hashing

if TYPE_CHECKING:
    from collections.abc import Sequence
    import random

    from lavenderbend.coordination.forwarding import interfaces
    from lavenderbend.coordination.forwarding import owners as owners_module
    from lavenderbend.state import forwarding

# an owner in another zone answers within three milliseconds or four, a busy one
# later; a request waits no longer for what only makes its place better
ANSWER_SECONDS = 0.02
# a question or its answer may be lost: it is put once more
ASK_AGAIN_SECONDS = 0.01
FLUSH_SECONDS = 0.05
# each note goes twice: one that is lost leaves a request counted until its
# deadline
COPIES = 2
MAX_ROWS = 40
# answers that a second one may follow; none comes so late as that many later
MAX_ANSWERED = 256
MILLISECONDS = 1000

ASKED = metrics.counter(
    'lavenderbend_forward_owners_asked_total',
    'Questions to the owners of upstreams, by whether they answered.',
)


@attrs.frozen
class Prompt:
    """What an owner is told of a request's prompt.

    Attributes:
        chat: Short id of its chat.
        tokens: Its length.
        own_tokens: Length of the part that no other request has.
    """

    chat: int
    tokens: int
    own_tokens: int


@attrs.define
class Reservation:
    """One request at one upstream, as its owner counts it.

    Attributes:
        number: Names it among this router's.
        instance: The upstream.
        upstream: Its short id.
        owner: The router that counts it, empty if none does.
        load: Requests that the upstream held before.
        unread: Tokens that it had yet to read.
        holders: Short ids of upstreams that hold the chat.
    """

    number: int
    instance: str
    upstream: int
    owner: str = ''
    load: int = 0
    unread: int = 0
    holders: tuple[int, ...] = ()


@attrs.frozen
class Taken:
    """A reservation that a request uses.

    Attributes:
        reservations: Tells owners.
        reservation: Where the request goes.
        place: That of the chat's place, whose owner keeps who holds it.
        chat: Short id of the chat.
        holders: Upstreams that hold the chat, as that owner knows.
    """

    reservations: Reservations
    reservation: Reservation
    place: Reservation
    chat: int
    holders: Sequence[str]

    def begun(self) -> None:
        """Tells that the upstream has read the prompt."""
        note = self.reservations.note
        note(self.reservation, owned_loads.NoteKind.BEGUN, self.chat)
        if self.place is not self.reservation:
            note(
                self.place,
                owned_loads.NoteKind.HELD,
                self.chat,
                self.reservation.upstream,
            )

    def ended(self) -> None:
        """Tells that the request has ended there."""
        self.reservations.note(
            self.reservation, owned_loads.NoteKind.ENDED, self.chat
        )


@attrs.define
class Waiting:
    """A question that was not answered yet.

    Attributes:
        reply: The answer, None until it comes.
        answered: Set when it has come.
    """

    reply: messages_forwarding.ReservationReply | None = None
    answered: trio.Event = attrs.field(factory=trio.Event)


class Reservations:
    """Asks owners of upstreams, and answers as an owner.

    Attributes:
        host: This router.
        owners: Finds the owners.
        owned: What this router knows as an owner.
        link: Carries messages to other routers.
        waiting: Questions by number.
        answered: Numbers of those that were answered, the latest last.
        notes: Rows to be told, by owner, each with the copies left.
        noted: Set while there are any.
    """

    def __init__(
        self,
        host: str,
        owners: owners_module.Owners,
        link: interfaces.DatagramLink,
        rng: random.Random,
    ) -> None:
        self.host = host
        self.owners = owners
        self.owned = owned_loads.OwnedLoads(host)
        self.link = link
        self.numbers = itertools.count(rng.getrandbits(30))
        self.waiting: dict[int, Waiting] = {}
        self.answered: collections.deque[int] = collections.deque(
            maxlen=MAX_ANSWERED
        )
        self.notes: dict[str, collections.deque[tuple[list[int], int]]] = {}
        self.noted = trio.Event()

    async def ask(
        self,
        upstream: forwarding.Upstream,
        prompt: Prompt,
        seconds: float,
    ) -> Reservation | None:
        """Counts a request at an upstream.

        Args:
            upstream: The upstream.
            prompt: Its prompt.
            seconds: After which it has ended at the latest.

        Returns:
            What its owner knows, None if nobody answered in time.
        """
        short = hashing.short_id(upstream.instance)
        zone = upstream.vm.availability_zone
        host = self.owners.find(short, zone)
        if host is None:
            ASKED.inc({'answered': 'nobody known'})
            return None
        request = messages_forwarding.ReservationRequest(
            next(self.numbers),
            self.host,
            short,
            zone,
            prompt.chat,
            prompt.tokens,
            prompt.own_tokens,
            max(1, round(seconds * MILLISECONDS)),
        )
        reply = await self.reply_to(host, request)
        if reply is None:
            ASKED.inc({'answered': 'no'})
            self.owners.note_silent(host)
            return None
        ASKED.inc({'answered': 'yes'})
        self.owners.note_answer(short, reply.owner)
        return Reservation(
            reply.number,
            upstream.instance,
            short,
            reply.owner,
            reply.load,
            reply.unread,
            tuple(reply.holders),
        )

    async def reply_to(
        self, host: str, request: messages_forwarding.ReservationRequest
    ) -> messages_forwarding.ReservationReply | None:
        """Returns the answer to a question, None if it does not come."""
        if host == self.host:
            return self.owned.reserve(request)
        waiting = self.waiting[request.number] = Waiting()
        try:
            with trio.move_on_after(ANSWER_SECONDS):
                self.link.send(host, request)
                with trio.move_on_after(ASK_AGAIN_SECONDS):
                    await waiting.answered.wait()
                if waiting.reply is None:
                    self.link.send(host, request)
                await waiting.answered.wait()
        finally:
            del self.waiting[request.number]
        return waiting.reply

    def on_request(self, asked: messages_forwarding.ReservationRequest) -> None:
        """Answers a question, or passes it on to the owner."""
        owner = self.host
        zone = self.owners.owning_zone(asked.upstream, asked.zone)
        if not asked.forwarded and zone == self.owners.zone:
            owner = self.owners.own_of_zone(asked.upstream)
        if owner != self.host:
            self.link.send(owner, attrs.evolve(asked, forwarded=True))
            return
        self.link.send(asked.host, self.owned.reserve(asked))

    def on_reply(self, reply: messages_forwarding.ReservationReply) -> None:
        """Takes in an answer; one that comes too late is given back.

        Not the second answer to a question that was put twice: the request
        that it counts is on its way.
        """
        waiting = self.waiting.get(reply.number)
        if waiting is None:
            if reply.number in self.answered:
                return
            late = Reservation(reply.number, '', reply.upstream, reply.owner)
            self.note(late, owned_loads.NoteKind.ENDED, 0)
            return
        waiting.reply = reply
        waiting.answered.set()
        self.answered.append(reply.number)

    def note(
        self,
        reservation: Reservation,
        kind: owned_loads.NoteKind,
        chat: int,
        holder: int = 0,
    ) -> None:
        """Tells an owner what became of a reservation."""
        row = [
            int(kind),
            reservation.number,
            reservation.upstream,
            chat,
            holder,
        ]
        if reservation.owner == self.host:
            self.owned.take(
                messages_forwarding.ReservationNotes(self.host, [row])
            )
            return
        waiting = self.notes.setdefault(reservation.owner, collections.deque())
        waiting.append((row, COPIES))
        self.noted.set()

    async def run(self) -> None:
        """Tells owners what became of reservations."""
        while True:
            await self.noted.wait()
            # what comes at nearly the same moment goes along
            await trio.sleep(FLUSH_SECONDS)
            self.flush()
            if not self.notes:
                self.noted = trio.Event()

    def flush(self) -> None:
        """Sends what is to be told now."""
        for owner, waiting in list(self.notes.items()):
            rows = []
            for _ in range(min(MAX_ROWS, len(waiting))):
                row, copies = waiting.popleft()
                rows.append(row)
                if copies > 1:
                    waiting.append((row, copies - 1))
            if not waiting:
                del self.notes[owner]
            self.link.send(
                owner, messages_forwarding.ReservationNotes(self.host, rows)
            )
