"""Routers that tell each other what they know."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from lavenderbend.coordination.forwarding import facts as facts_module
from lavenderbend.coordination.forwarding import fleet_count
from lavenderbend.coordination.forwarding import members as members_module
from lavenderbend.coordination.forwarding import owners
from lavenderbend.coordination.forwarding import prompt_holders
from lavenderbend.coordination.forwarding import reading_turns
from lavenderbend.coordination.forwarding import reservations
from lavenderbend.coordination.forwarding import shared_freshness
from lavenderbend.coordination.forwarding import shared_loads
from lavenderbend.observe import logs
from lavenderbend.observe import metrics
from lavenderbend.protocol import messages_forwarding

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    import random

    from lavenderbend.coordination.forwarding import interfaces
    from lavenderbend.coordination.forwarding import loads as loads_module
    from lavenderbend.coordination.forwarding import snapshots
    from lavenderbend.protocol import peer

# loads change within a tenth of a second or two
TICK_SECONDS = 0.2
# of a router that has just started
YOUNG_TICK_SECONDS = 0.1
START_SECONDS = 3.0
# a router speaks to so many of its zone at each tick, however many there are
NEAR_FAN_OUT = 2
# of a whole zone to the other zones: bytes between zones are dear, and what
# one router of a zone hears the others hear from it
ZONE_FAR_PER_SECOND = 10.0
# while routers of the zone come or go, the other zones are told more often
HURRIED_FAR_PER_SECOND = 40.0
HURRY_SECONDS = 1.5
ZONE_CHANGE = 0.04
# what was found out just now goes on within this time
FRESH_SECONDS = 0.05
# a router that read the store tells so many of its zone, and one of each other
PROOF_FAN_OUT = 4
MAX_PROOF_ZONES = 6
# one that is fresher by so much than before tells others at once
PASS_ON_FAN_OUT = 3
PASS_ON_SECONDS = 0.3
# hosts that do not answer are asked this often
KNOCK_SECONDS = 1.0
KNOCK_FAN_OUT = 4
# for which a router that starts takes over what others counted before
LEARN_BOUND_SECONDS = 10.0
# a line on the size of the fleet is written when it differs by this part
SIZE_CHANGE = 0.1

DATAGRAMS = metrics.counter(
    'lavenderbend_forward_peer_messages_total',
    'Messages to and from other routers, by direction.',
)
SIZE = metrics.gauge(
    'lavenderbend_forward_routers', 'Routers of the fleet, as counted here.'
)
BOUND = metrics.gauge(
    'lavenderbend_forward_routers_bound',
    'Routers by which what the fleet may repeat is divided, 0 for no part.',
)


class Peers:
    """Exchanges messages with other routers.

    Messages may be lost: each says what its sender knows now. What a router
    sends, and what one message holds, does not grow with the fleet; what it
    tells few others is told on by them. Within a zone routers speak often,
    between zones each zone speaks at one rate, whatever its size.

    Attributes:
        name: This router.
        host: Its IP number.
        zone: Its availability zone.
        members: Other routers.
        count: How many there are.
        bound: By how many to divide what the fleet shares.
        facts: Single facts that all must know.
        owners: Finds who owns an upstream.
        reservations: Asks them, and answers as one of them.
        handlers: What takes each kind of message.
        freshness: Takes over what others know of the store.
        loads: Tells of loads on the upstreams.
        prompts: Knows who holds prompts that places do not tell of.
        link: Carries messages to other routers.
    """

    def __init__(
        self,
        name: str,
        host: str,
        zone: str,
        seeds: Iterable[str],
        followed: snapshots.Snapshots,
        loads: loads_module.Loads,
        link: interfaces.DatagramLink,
        rng: random.Random,
    ) -> None:
        self.name = name
        self.host = host
        self.zone = zone
        self.followed = followed
        self.loads = shared_loads.SharedLoads(followed, loads)
        self.link = link
        self.rng = rng
        self.incarnation = rng.getrandbits(48)
        self.members = members_module.Members(host, zone, seeds, followed.clock)
        self.count = fleet_count.FleetCount(zone)
        self.bound = fleet_count.FleetBound()
        self.prompts = prompt_holders.PromptHolders()
        self.facts = facts_module.Facts(host, self.on_fact)
        self.on_learned: dict[str, Callable[[facts_module.Fact], None]] = {}
        self.freshness = shared_freshness.SharedFreshness(
            self.incarnation, followed, link, zone
        )
        self.freshness.zone_size = self.zone_size
        self.freshness.fetched = self.pass_on
        self.owners = owners.Owners(host, zone, self.members, self.count, rng)
        self.reservations = reservations.Reservations(
            host, self.owners, link, rng
        )
        self.handlers: dict[type, Callable[..., None]] = {
            messages_forwarding.RouterState: self.on_state,
            messages_forwarding.ReservationRequest: (
                self.reservations.on_request
            ),
            messages_forwarding.ReservationReply: self.reservations.on_reply,
            messages_forwarding.ReservationNotes: (
                self.reservations.owned.apply_notes
            ),
        }
        self.leaving = False
        self.started = math.inf
        self.told_size = 0
        self.steady_size = 0
        self.hurry_until = 0.0
        followed.reading_place = self.reading_place
        followed.on_proof.append(self.tell_proof)
        link.receiver = self.on_message

    def fleet_size(self) -> int:
        """Returns how many routers were alive lately, this one included."""
        return max(1, self.count.size())

    def budget_parts(self) -> int:
        """Returns by how many the fleet's budget is divided, 0 for no part.

        A router that has found none of those that its settings name cannot
        know how many there are.
        """
        parts = self.bound.parts()
        if parts <= 1 and self.members.seeds:
            return 0
        return parts

    def reading_place(self) -> int:
        """Returns this router's place in the order of who reads the store."""
        return reading_turns.place(
            self.host,
            self.members.near.alive(),
            self.zone,
            self.count.known(),
        )

    async def run(self) -> None:
        """Sends messages at their times, and fetches what peers have."""
        self.started = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.freshness.run)
            nursery.start_soon(self.run_facts)
            nursery.start_soon(self.run_upkeep)
            nursery.start_soon(self.reservations.run)
            while True:
                self.tick()
                pause = YOUNG_TICK_SECONDS if self.young() else TICK_SECONDS
                await trio.sleep(pause * self.rng.uniform(0.9, 1.1))

    async def run_facts(self) -> None:
        """Tells of what was found out just now."""
        while True:
            await self.facts.fresh.wait()
            # what comes at the same moment goes along
            await trio.sleep(FRESH_SECONDS * self.rng.random())
            self.tell_facts()

    async def run_upkeep(self) -> None:
        """Forgets what is old, and asks hosts that are silent."""
        while True:
            self.members.forget_old()
            self.facts.tidy()
            self.prompts.remove_expired()
            self.owners.remove_expired()
            self.reservations.owned.remove_expired()
            self.note_size()
            self.knock()
            pause = YOUNG_TICK_SECONDS if self.young() else KNOCK_SECONDS
            await trio.sleep(pause * self.rng.uniform(0.9, 1.1))

    def young(self) -> bool:
        """Returns whether this router may not have found the others yet."""
        return trio.current_time() - self.started < START_SECONDS

    def tick(self) -> None:
        """Tells some routers what this one knows."""
        near = self.members.near
        alive = len(near.alive()) + 1
        self.count.note(self.zone, alive)
        self.bound.note(self.fleet_size())
        for host in near.choose(self.rng, NEAR_FAN_OUT):
            self.send(host, self.full_state(host))
        due = self.zone_far_rate(alive) * TICK_SECONDS / alive
        if self.rng.random() < due:
            self.tell_far()

    def zone_far_rate(self, alive: int) -> float:
        """Returns how many messages a second the zone sends to others.

        Args:
            alive: Routers of the zone.
        """
        now = trio.current_time()
        if abs(alive - self.steady_size) > ZONE_CHANGE * self.steady_size:
            self.steady_size = alive
            self.hurry_until = now + HURRY_SECONDS
        if now < self.hurry_until:
            return HURRIED_FAR_PER_SECOND
        return ZONE_FAR_PER_SECOND

    def tell_far(self) -> None:
        """Tells one router of another zone what this one knows."""
        zones = sorted(self.members.far)
        if not zones:
            return
        host = self.members.choose_far(self.rng, self.rng.choice(zones))
        if host is not None:
            self.send(host, self.full_state(host))

    def tell_facts(self) -> None:
        """Tells of what was found out just now, also to other zones."""
        hosts = self.members.near.choose(self.rng, NEAR_FAN_OUT)
        zones = sorted(self.members.far)
        # as many of a zone as there are zones pass it on to another one
        if zones and self.rng.random() < len(zones) / self.zone_size():
            far = self.members.choose_far(self.rng, self.rng.choice(zones))
            hosts += [] if far is None else [far]
        if not hosts:
            self.facts.told()
        for host in hosts:
            self.send(host, self.state(host, facts=self.facts.told()))

    def zone_size(self) -> int:
        """Returns how many routers of this zone are alive."""
        return len(self.members.near.alive()) + 1

    def knock(self) -> None:
        """Asks hosts that are not known to be alive."""
        silent = self.members.silent_hosts()
        if len(silent) > KNOCK_FAN_OUT:
            silent = self.rng.sample(silent, KNOCK_FAN_OUT)
        for host in silent:
            self.send(host, self.full_state(host, asks=True))

    def note_size(self) -> None:
        """Writes a line if the fleet has become larger or smaller."""
        size = self.fleet_size()
        SIZE.set({}, size)
        BOUND.set({}, self.budget_parts())
        if abs(size - self.told_size) <= SIZE_CHANGE * self.told_size:
            return
        self.told_size = size
        zones = {name: one.routers for name, one in self.count.known().items()}
        logs.change(
            'fleet_size_changed',
            routers=size,
            zones=zones,
            bound=self.bound.most(),
        )

    def tell_proof(self) -> None:
        """Tells others that the store was read just now."""
        hosts = self.members.near.choose(self.rng, PROOF_FAN_OUT)
        zones = sorted(self.members.far)
        if len(zones) > MAX_PROOF_ZONES:
            zones = self.rng.sample(zones, MAX_PROOF_ZONES)
        far = [self.members.choose_far(self.rng, zone) for zone in zones]
        for host in (*hosts, *far):
            if host is not None:
                self.send(host, self.state(host))

    def pass_on(self) -> None:
        """Tells others of the zone that this router became fresher."""
        for host in self.members.near.choose(self.rng, PASS_ON_FAN_OUT):
            self.send(host, self.state(host))

    def leave(self) -> None:
        """Tells others that this router stops."""
        self.leaving = True
        self.tell_proof()

    def send(self, host: str, state: messages_forwarding.RouterState) -> None:
        """Sends a message to a host; it may be lost."""
        DATAGRAMS.inc({'direction': 'out'})
        self.link.send(host, state)

    def full_state(
        self, host: str, asks: bool = False, new: bool = False
    ) -> messages_forwarding.RouterState:
        """Returns all that one message can tell.

        Args:
            host: Whom it is for.
            asks: Whether an answer is wanted.
            new: Whether the receiver has yet to find its neighbours.
        """
        member = self.members.get(host)
        zone = '' if member is None else member.zone
        near = not zone or zone == self.zone
        return self.state(
            host,
            asks=asks,
            bound=self.bound.most(),
            zones=self.count.told(),
            facts=self.facts.told_to_new() if new else self.facts.told(),
            # other zones need only the number
            heard=self.members.near.told(self.rng) if near else b'',
            reports=self.loads.packed_reports(other_zone=not near),
            requests=self.loads.packed_requests(),
            hosts=self.members.told(self.rng, zone, new),
            prompts=self.prompts.rows_to_send(other_zone=not near),
        )

    def state(
        self, host: str, asks: bool = False, **known: object
    ) -> messages_forwarding.RouterState:
        """Returns this router's state as it is told to a host.

        Args:
            host: Whom it is for.
            asks: Whether an answer is wanted.
            **known: Further fields of the message.
        """
        now = self.followed.clock()
        member = self.members.get(host)
        current = self.followed.current
        return messages_forwarding.RouterState(
            name=self.name,
            incarnation=self.incarnation,
            host=self.host,
            zone=self.zone,
            leaving=self.leaving,
            asks=asks,
            sent_at=now,
            echo_incarnation=0 if member is None else member.incarnation,
            echo_at=None if member is None else member.sent_at,
            echo_held=0.0 if member is None else now - member.heard_by,
            proof_age=None if current is None else self.followed.age,
            revision=0 if current is None else current.revision,
            digest=0 if current is None else current.digest,
            **known,
        )

    def on_message(self, message: peer.Message) -> None:
        """Takes in a message of another router."""
        handler = self.handlers.get(type(message))
        if handler is not None:
            handler(message)

    def on_state(self, state: messages_forwarding.RouterState) -> None:
        """Takes in what another router tells."""
        if state.name == self.name:
            return
        DATAGRAMS.inc({'direction': 'in'})
        self.members.note(state)
        self.take(state)
        gained = self.freshness.note(state)
        if gained > PASS_ON_SECONDS:
            self.pass_on()
        if state.asks:
            self.send(state.host, self.full_state(state.host, new=True))
        elif self.should_answer(state, gained):
            self.send(state.host, self.state(state.host))

    def take(self, state: messages_forwarding.RouterState) -> None:
        """Takes in what a message says beside its sender's freshness."""
        if state.zone == self.zone:
            self.members.near.take(state.heard)
        self.members.learn_all(state.hosts)
        self.count.take(state.zones)
        if trio.current_time() - self.started < LEARN_BOUND_SECONDS:
            self.bound.note(state.bound)
        self.loads.merge(state)
        self.prompts.merge(state.prompts)
        self.facts.take_all(state.facts)

    def should_answer(
        self, state: messages_forwarding.RouterState, gained: float
    ) -> bool:
        """Returns whether one of two routers can make the other fresher.

        Either the sender is behind, or it is ahead and cannot prove it: it
        does not echo a message of this life of this router, and gets one.
        """
        if state.proof_age is None:
            return self.followed.current is not None
        ahead = state.proof_age + PASS_ON_SECONDS < self.followed.age
        if ahead and gained <= 0.0:
            return state.echo_incarnation != self.incarnation
        return self.followed.age + PASS_ON_SECONDS < state.proof_age

    def on_fact(self, fact: facts_module.Fact) -> None:
        """Passes a fact that is new here on to who uses it."""
        learn = self.on_learned.get(fact.kind)
        if learn is not None:
            learn(fact)
