"""A router before upstreams whose owner answers as a test says."""

from __future__ import annotations

import random

import attrs
import trio

from lavenderbend.coordination.forwarding import choice
from lavenderbend.coordination.forwarding import facts
from lavenderbend.coordination.forwarding import reservations
from lavenderbend.coordination.forwarding import tickets
from lavenderbend.coordination.forwarding.admission import crowding
from lavenderbend.protocol import messages_forwarding
from lavenderbend.state import hashing
from tests import forwarding_fakes as fakes

HOST = '10.0.0.1'
SLOTS = 6
GRANTED = messages_forwarding.ReservationOutcome.GRANTED
WAITING = messages_forwarding.ReservationOutcome.WAITING
DECLINED = messages_forwarding.ReservationOutcome.DECLINED
Shortage = messages_forwarding.Shortage


@attrs.frozen
class Stated:
    """What the owner states of one upstream.

    Attributes:
        shortage: What it is short of; it grants where that is nothing.
        expected: Expected seconds until it begins.
        queues: Whether a request may wait there.
        load: Its requests.
    """

    shortage: Shortage = Shortage.NONE
    expected: float = 0.0
    queues: bool = False
    load: int = 0

    def outcome(self, request):
        if self.shortage is Shortage.NONE:
            return GRANTED
        waits = self.queues and request.wait_milliseconds
        return WAITING if waits else DECLINED


class Owner:
    """Answers reservation requests.

    Attributes:
        stated: What is stated of upstreams, by instance; others have room.
        silent: Instances of upstreams whose owner does not reply.
        asked: Instance and request of each message.
        granted: Numbers of the reservations that were granted.
        ended: Numbers of the reservations that were released.
    """

    def __init__(self, names):
        self.names = {hashing.short_id(name): name for name in names}
        self.stated = {}
        self.silent = set()
        self.asked = []
        self.ended = []
        self.granted = set()

    def reserve(self, request):
        name = self.names[request.upstream]
        self.asked.append((name, request))
        stated = self.stated.get(name, Stated())
        if stated.outcome(request) is GRANTED:
            self.granted.add(request.number)
        return messages_forwarding.ReservationReply(
            request.number,
            HOST,
            request.upstream,
            stated.load,
            0,
            [],
            int(stated.outcome(request)),
            int(stated.shortage),
            round(stated.expected * 1000),
        )

    def apply_notes(self, notes):
        self.ended += [row[1] for row in notes.rows if row[0] == 2]

    async def run(self):
        await trio.sleep_forever()

    def instances(self):
        return [name for name, _ in self.asked]

    def all_released(self, kept=()):
        return self.granted - set(self.ended) == set(kept)


class Owners:
    def __init__(self, owner):
        self.owner = owner

    def router_to_ask(self, upstream, zone):
        silent = self.owner.names[upstream] in self.owner.silent
        return None if silent else HOST

    def note_owner(self, upstream, host):
        pass

    def note_unresponsive(self, host):
        pass


class Entry:
    """A router that lets requests wait at an owner of the test."""

    def __init__(self, count=4, fleet=20, queue_seconds=4.0):
        self.names = [f'u{n}' for n in range(count)]
        content = fakes.snapshot(
            1,
            fakes.table(),
            *(fakes.upstream(name, slots=SLOTS) for name in self.names),
        )
        self.router = fakes.Router(content, fakes.Exchanges())
        self.owner = Owner(self.names)
        self.client = reservations.Reservations(
            HOST,
            Owners(self.owner),
            None,
            random.Random(1),
            lambda short: None,
        )
        self.client.owned = self.owner
        self.chooser = self.router.reserving_chooser
        self.chooser.reservations = self.client
        self.chooser.fleet_size = lambda: fleet
        self.chooser.waits.queue_seconds = queue_seconds
        self.facts = facts.Facts(HOST, lambda fact: None)
        self.crowding = crowding.Crowding(self.facts, self.chooser.queues)
        self.chooser.crowding = self.crowding

    def order(self, chat='c'):
        candidates = self.router.directory.candidates('chat')
        return list(candidates.rendezvous.order(chat))

    def push_grant(self, name):
        """Grants the request that was asked about last."""
        self.owner.stated[name] = Stated()
        asked, request = self.owner.asked[-1]
        assert asked == name
        self.client.on_reply(self.owner.reserve(request))

    async def push_later(self, name, seconds):
        await trio.sleep(seconds)
        self.push_grant(name)


def ticket(chat='c', seconds=5.0, tokens=9000, target=0.5):
    parts = ()
    if chat:
        parts = (
            choice.PromptPart('all', 0),
            choice.PromptPart(chat, tokens - 500),
            choice.PromptPart('own', 500),
        )
    return tickets.Ticket(
        'r1',
        None,
        None,
        'chat',
        'corte',
        1,
        trio.current_time() + seconds,
        choice.RequestPrompt(parts),
        target_at=trio.current_time() + target,
    )
