"""Exchange of state between routers by gossip."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from lavenderbend.coordination.forwarding import facts as facts_module
from lavenderbend.coordination.forwarding import fleet_count
from lavenderbend.coordination.forwarding import members as members_module
from lavenderbend.coordination.forwarding import owners
from lavenderbend.coordination.forwarding import prompt_holders
from lavenderbend.coordination.forwarding import read_order
from lavenderbend.coordination.forwarding import reservations
from lavenderbend.coordination.forwarding import shared_freshness
from lavenderbend.coordination.forwarding import shared_loads
from lavenderbend.coordination.forwarding import zone_members
from lavenderbend.observe import logs
from lavenderbend.observe import metrics
from lavenderbend.protocol import messages_forwarding

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping
    import random

    from lavenderbend.coordination.forwarding import interfaces
    from lavenderbend.coordination.forwarding import loads as loads_module
    from lavenderbend.coordination.forwarding import (
        snapshots as snapshots_module,
    )
    from lavenderbend.protocol import peer

# Loads change within one or two tenths of a second.
GOSSIP_INTERVAL_SECONDS = 0.2
# For a router that has just started.
STARTUP_INTERVAL_SECONDS = 0.1
STARTUP_SECONDS = 3.0
# Receivers in the same zone per gossip interval, at any number of routers.
SAME_ZONE_FAN_OUT = 2
# Of all routers of a zone together to the other zones: traffic between zones is
# expensive, and what one router of a zone receives it sends to the others.
OTHER_ZONE_MESSAGES_PER_SECOND = 10.0
# Rate while the number of routers in the zone changes.
CHANGED_ZONE_MESSAGES_PER_SECOND = 40.0
CHANGED_ZONE_SECONDS = 1.5
ZONE_CHANGE_FRACTION = 0.04
# New facts are sent within this time.
NEW_FACT_DELAY_SECONDS = 0.05
# A router that has read the store sends the proof to this many routers of its
# zone, and to one of each other zone.
PROOF_FAN_OUT = 4
MAX_PROOF_ZONES = 6
# A router whose proof of freshness became newer by more than
# `RELAY_GAIN_SECONDS` sends it at once to this many others.
RELAY_FAN_OUT = 3
RELAY_GAIN_SECONDS = 0.3
# Hosts that do not answer are probed at this interval.
PROBE_INTERVAL_SECONDS = 1.0
PROBE_FAN_OUT = 4
# After its start a router merges the peak counts of others for this time.
MERGE_COUNT_SECONDS = 10.0
# The size of the fleet is logged when it differs by more than this fraction.
SIZE_CHANGE_FRACTION = 0.1

DATAGRAMS = metrics.counter(
    'lavenderbend_forward_peer_messages_total',
    'Messages to and from other routers, by direction.',
)
SIZE = metrics.gauge(
    'lavenderbend_forward_routers', 'Routers of the fleet, as counted here.'
)
DIVISOR = metrics.gauge(
    'lavenderbend_forward_routers_bound',
    'Routers by which what the fleet may repeat is divided, 0 for no part.',
)


class Peers:
    """Exchanges messages with other routers.

    Messages may be lost: each contains the present state of its sender.
    Neither the number of messages that a router sends nor their size grows
    with the fleet; the few receivers relay the content. Routers of one zone
    exchange messages often; between zones each zone sends at one rate,
    whatever its number of routers.

    Attributes:
        name: This router.
        host: Its IP address.
        zone: Its availability zone.
        members: Other routers.
        fleet: Number of routers.
        divisor: Number by which limits of the fleet are divided.
        zone_divisor: Number by which limits of this zone are divided.
        facts: Facts that all routers need.
        fact_callbacks: Called with a new fact, by the fact's kind.
        owners: Finds the owners of upstreams.
        reservations: Requests reservations from owners and grants them as an
            owner.
        handlers: Handler by type of message.
        freshness: Takes over proofs and snapshots from other routers.
        loads: Shares the loads of upstreams.
        prompts: Upstreams that hold prompts beside those chosen by hashing.
        link: Sends messages to other routers.
        leaving: Whether this router is stopping.
        upstreams_lost: Returns whether this router seems to be cut off from
            all upstreams.
        draws_versions: Whether this build draws the versions of streams.
        on_earlier_build: Called with each message of a router whose build
            draws no versions.
    """

    def __init__(
        self,
        name: str,
        host: str,
        zone: str,
        seeds: Iterable[str],
        snapshots: snapshots_module.Snapshots,
        loads: loads_module.Loads,
        link: interfaces.DatagramLink,
        rng: random.Random,
        capacity: int = zone_members.DEFAULT_CAPACITY,
    ) -> None:
        self.name = name
        self.host = host
        self.zone = zone
        self.snapshots = snapshots
        self.loads = shared_loads.SharedLoads(snapshots, loads)
        self.link = link
        self.rng = rng
        self.incarnation = rng.getrandbits(48)
        self.members = members_module.Members(
            host, zone, seeds, snapshots.clock, capacity
        )
        self.fleet = fleet_count.FleetCount(zone)
        self.divisor = fleet_count.FleetDivisor()
        self.zone_divisor = fleet_count.FleetDivisor()
        self.prompts = prompt_holders.PromptHolders()
        self.facts = facts_module.Facts(host, self.on_fact)
        self.fact_callbacks: dict[str, Callable[[facts_module.Fact], None]] = {}
        self.freshness = shared_freshness.SharedFreshness(
            self.incarnation, snapshots, link, zone
        )
        self.freshness.zone_size = self.zone_size
        self.freshness.on_fetched = self.relay
        self.owners = owners.Owners(host, zone, self.members, self.fleet, rng)
        self.reservations = reservations.Reservations(
            host, self.owners, link, rng, self.loads.last_report
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
        self.upstreams_lost: Callable[[], bool] = lambda: False
        self.draws_versions = True
        self.on_earlier_build: Callable[[], None] = lambda: None
        self.started = math.inf
        self.logged_size = 0
        self.last_zone_size = 0
        self.frequent_until = 0.0
        snapshots.read_position = self.read_position
        snapshots.on_proof.append(self.send_proof)
        link.receiver = self.on_message

    def fleet_size(self) -> int:
        """Returns the number of live routers, this one included."""
        return max(1, self.fleet.size())

    def budget_divisor(self) -> int:
        """Returns the divisor of the fleet's retry budget, 0 for no share.

        A router that has reached none of its configured seeds cannot know the
        size of the fleet.
        """
        divisor = self.divisor.divisor()
        if divisor <= 1 and self.members.seeds:
            return 0
        return divisor

    def is_alone(self) -> bool:
        """Returns whether the fleet is known to be this router alone."""
        return self.budget_divisor() == 1

    def hears_fleet(self) -> bool:
        """Returns whether no zone, nor half of the routers, fell silent lately.

        Those that are not heard may be cut off, and see what this router does
        not.
        """
        return (
            not self.fleet.silent_zones()
            and 2 * self.fleet_size() > self.divisor.peak()
        )

    def read_position(self) -> int:
        """Returns this router's position in the order of store reads."""
        return read_order.position(
            self.host,
            self.members.same_zone.alive(),
            self.zone,
            self.fleet.recent(),
        )

    async def run(self) -> None:
        """Sends periodic messages and fetches newer snapshots from peers."""
        self.started = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.freshness.run)
            nursery.start_soon(self.send_new_facts)
            nursery.start_soon(self.run_maintenance)
            nursery.start_soon(self.reservations.run)
            while True:
                self.gossip()
                pause = (
                    STARTUP_INTERVAL_SECONDS
                    if self.is_starting()
                    else GOSSIP_INTERVAL_SECONDS
                )
                await trio.sleep(pause * self.rng.uniform(0.9, 1.1))

    async def send_new_facts(self) -> None:
        """Sends new facts."""
        while True:
            await self.facts.new_fact.wait()
            # Facts added at the same moment go into the same message.
            await trio.sleep(NEW_FACT_DELAY_SECONDS * self.rng.random())
            self.send_facts()

    async def run_maintenance(self) -> None:
        """Removes expired entries and probes silent hosts."""
        while True:
            self.members.remove_expired()
            self.facts.remove_expired()
            self.prompts.remove_expired()
            self.owners.remove_expired()
            self.reservations.owned.remove_expired()
            self.report_size()
            self.probe_silent()
            pause = (
                STARTUP_INTERVAL_SECONDS
                if self.is_starting()
                else PROBE_INTERVAL_SECONDS
            )
            await trio.sleep(pause * self.rng.uniform(0.9, 1.1))

    def is_starting(self) -> bool:
        """Returns whether this router may not have discovered the others."""
        return trio.current_time() - self.started < STARTUP_SECONDS

    def gossip(self) -> None:
        """Sends this router's state to some routers."""
        neighbours = self.members.same_zone
        alive = len(neighbours.alive()) + 1
        self.fleet.note(self.zone, alive)
        self.divisor.note(self.fleet_size())
        # Routers that are not heard now may hold shares of this zone's limits.
        self.zone_divisor.note(len(neighbours.last_seen) + 1)
        receivers = neighbours.choose(self.rng, SAME_ZONE_FAN_OUT)
        if receivers:
            common = self.common_fields(same_zone=True)
            for host in receivers:
                self.send(host, self.full_state(host, common=common))
        due = self.other_zone_rate(alive) * GOSSIP_INTERVAL_SECONDS / alive
        if self.rng.random() < due:
            self.send_to_other_zone()

    def other_zone_rate(self, alive: int) -> float:
        """Returns the messages per second that the zone sends to others.

        Args:
            alive: Number of live routers of the zone.
        """
        now = trio.current_time()
        if (
            abs(alive - self.last_zone_size)
            > ZONE_CHANGE_FRACTION * self.last_zone_size
        ):
            self.last_zone_size = alive
            self.frequent_until = now + CHANGED_ZONE_SECONDS
        if now < self.frequent_until:
            return CHANGED_ZONE_MESSAGES_PER_SECOND
        return OTHER_ZONE_MESSAGES_PER_SECOND

    def send_to_other_zone(self) -> None:
        """Sends this router's state to one router of another zone."""
        zones = sorted(self.members.other_zones)
        if not zones:
            return
        host = self.members.choose_in_zone(self.rng, self.rng.choice(zones))
        if host is not None:
            self.send(host, self.full_state(host))

    def send_facts(self) -> None:
        """Sends new facts, also to other zones."""
        hosts = self.members.same_zone.choose(self.rng, SAME_ZONE_FAN_OUT)
        zones = sorted(self.members.other_zones)
        # On average as many routers of the zone as there are other zones send
        # the facts to another zone.
        if zones and self.rng.random() < len(zones) / self.zone_size():
            other = self.members.choose_in_zone(
                self.rng, self.rng.choice(zones)
            )
            hosts += [] if other is None else [other]
        if not hosts:
            self.facts.rows_to_send()
        for host in hosts:
            self.send(host, self.state(host, facts=self.facts.rows_to_send()))

    def zone_size(self) -> int:
        """Returns the number of live routers of this zone."""
        return len(self.members.same_zone.alive()) + 1

    def probe_silent(self) -> None:
        """Probes hosts that are not known to be alive."""
        silent = self.members.silent_hosts()
        if len(silent) > PROBE_FAN_OUT:
            silent = self.rng.sample(silent, PROBE_FAN_OUT)
        for host in silent:
            self.send(host, self.full_state(host, reply_requested=True))

    def report_size(self) -> None:
        """Sets the metrics, and logs a changed size of the fleet."""
        size = self.fleet_size()
        SIZE.set({}, size)
        DIVISOR.set({}, self.budget_divisor())
        if (
            abs(size - self.logged_size)
            <= SIZE_CHANGE_FRACTION * self.logged_size
        ):
            return
        self.logged_size = size
        zones = {
            name: count.routers for name, count in self.fleet.recent().items()
        }
        logs.change(
            'fleet_size_changed',
            routers=size,
            zones=zones,
            bound=self.divisor.peak(),
        )

    def send_proof(self) -> None:
        """Sends the proof of a store read to other routers."""
        hosts = self.members.same_zone.choose(self.rng, PROOF_FAN_OUT)
        zones = sorted(self.members.other_zones)
        if len(zones) > MAX_PROOF_ZONES:
            zones = self.rng.sample(zones, MAX_PROOF_ZONES)
        others = [self.members.choose_in_zone(self.rng, zone) for zone in zones]
        for host in (*hosts, *others):
            if host is not None:
                self.send(host, self.state(host))

    def relay(self) -> None:
        """Sends a newer proof or snapshot to others of the zone."""
        for host in self.members.same_zone.choose(self.rng, RELAY_FAN_OUT):
            self.send(host, self.state(host))

    def leave(self) -> None:
        """Announces to other routers that this one is stopping."""
        self.leaving = True
        self.send_proof()

    def send(self, host: str, state: messages_forwarding.RouterState) -> None:
        """Sends a message to a host; it may be lost."""
        DATAGRAMS.inc({'direction': 'out'})
        self.link.send(host, state)

    def full_state(
        self,
        host: str,
        reply_requested: bool = False,
        new: bool = False,
        common: Mapping[str, object] | None = None,
    ) -> messages_forwarding.RouterState:
        """Returns a message with all that one message can hold.

        Args:
            host: The receiver.
            reply_requested: Whether the receiver should reply.
            new: Whether the receiver has yet to discover the routers of its
                zone.
            common: The fields that do not depend on the receiver, if it is in
                the same zone; None to compute them.
        """
        member = self.members.get(host)
        zone = '' if member is None else member.zone
        same_zone = not zone or zone == self.zone
        if common is None or not same_zone:
            common = self.common_fields(same_zone)
        # Other zones need only the number of routers.
        hosts, capacities = (
            self.members.same_zone.rows_to_send(self.rng)
            if same_zone
            else (b'', b'')
        )
        if 'other_zone_hosts' not in common:
            rows = self.members.rows_to_send(self.rng, zone, new)
            common = {**common, 'other_zone_hosts': rows}
        return self.state(
            host,
            reply_requested=reply_requested,
            facts=self.facts.rows_for_starting()
            if new
            else self.facts.rows_to_send(),
            same_zone_hosts=hosts,
            prompts=self.prompts.rows_to_send(other_zone=not same_zone),
            same_zone_capacities=capacities,
            **common,
        )

    def common_fields(self, same_zone: bool) -> dict[str, object]:
        """Returns the fields that are equal for all receivers of a zone.

        Computed once for the receivers of one moment.

        Args:
            same_zone: Whether the receivers are in this router's zone.
        """
        fields = {
            'peak_routers': self.divisor.peak(),
            'zones': self.fleet.rows_to_send(),
            'reports': self.loads.packed_reports(other_zone=not same_zone),
            'requests': self.loads.packed_requests(),
        }
        if same_zone and not self.members.draws_zones():
            fields['other_zone_hosts'] = self.members.rows_to_send(
                self.rng, self.zone, new=False
            )
        return fields

    def state(
        self, host: str, reply_requested: bool = False, **fields: object
    ) -> messages_forwarding.RouterState:
        """Returns a message with this router's state for a host.

        Args:
            host: The receiver.
            reply_requested: Whether the receiver should reply.
            **fields: Further fields of the message.
        """
        now = self.snapshots.clock()
        member = self.members.get(host)
        current = self.snapshots.current
        return messages_forwarding.RouterState(
            name=self.name,
            incarnation=self.incarnation,
            host=self.host,
            zone=self.zone,
            leaving=self.leaving,
            reply_requested=reply_requested,
            sent_at=now,
            echo_incarnation=0 if member is None else member.incarnation,
            echo_at=None if member is None else member.sent_at,
            echo_delay=0.0
            if member is None
            else now - member.received_at_suspension_clock,
            proof_age=None if current is None else self.snapshots.age,
            revision=0 if current is None else current.revision,
            digest=0 if current is None else current.digest,
            upstreams_lost=self.upstreams_lost(),
            draws_versions=self.draws_versions,
            era=0 if current is None else current.era,
            version=0 if current is None else current.version,
            capacity=self.members.same_zone.capacity,
            **fields,
        )

    def on_message(self, message: peer.Message) -> None:
        """Handles a message of another router."""
        handler = self.handlers.get(type(message))
        if handler is not None:
            handler(message)

    def on_state(self, state: messages_forwarding.RouterState) -> None:
        """Handles the state of another router, and replies if needed."""
        if state.name == self.name:
            return
        DATAGRAMS.inc({'direction': 'in'})
        self.members.note(state)
        if not state.draws_versions:
            self.on_earlier_build()
        self.merge(state)
        gained = self.freshness.note(state)
        if gained > RELAY_GAIN_SECONDS:
            self.relay()
        if state.reply_requested:
            self.send(state.host, self.full_state(state.host, new=True))
        elif self.should_answer(state, gained):
            self.send(state.host, self.state(state.host))

    def merge(self, state: messages_forwarding.RouterState) -> None:
        """Merges the content of a message except the proof of freshness."""
        if state.zone == self.zone:
            self.members.same_zone.merge(
                state.same_zone_hosts, state.same_zone_capacities
            )
        self.members.merge_hosts(state.other_zone_hosts)
        self.fleet.merge(state.zones)
        if trio.current_time() - self.started < MERGE_COUNT_SECONDS:
            self.divisor.note(state.peak_routers)
        self.loads.merge(state)
        self.prompts.merge(state.prompts)
        self.facts.merge_rows(state.facts, self.members.waited(state))

    def should_answer(
        self, state: messages_forwarding.RouterState, gained: float
    ) -> bool:
        """Returns whether a reply lets either router gain freshness.

        Either the sender's proof is older than this router's, or it is newer
        and cannot be used: the message does not echo a message of this router's
        present incarnation, and the reply provides one to echo.
        """
        if state.proof_age is None:
            return self.snapshots.current is not None
        ahead = state.proof_age + RELAY_GAIN_SECONDS < self.snapshots.age
        if ahead and gained <= 0.0:
            return state.echo_incarnation != self.incarnation
        return self.snapshots.age + RELAY_GAIN_SECONDS < state.proof_age

    def on_fact(self, fact: facts_module.Fact) -> None:
        """Calls the callback for the kind of a new fact."""
        callback = self.fact_callbacks.get(fact.kind)
        if callback is not None:
            callback(fact)
