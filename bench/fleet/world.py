"""Fleets of forwarding routers in memory, with what they share."""

from __future__ import annotations

import random

import attrs
import trio

from bench.fleet import network as network_lib
from lavenderbend import errors
from lavenderbend.coordination.forwarding import budget
from lavenderbend.coordination.forwarding import crashes
from lavenderbend.coordination.forwarding import departures
from lavenderbend.coordination.forwarding import directory
from lavenderbend.coordination.forwarding import health
from lavenderbend.coordination.forwarding import interfaces
from lavenderbend.coordination.forwarding import loads
from lavenderbend.coordination.forwarding import peers
from lavenderbend.coordination.forwarding import snapshots
from lavenderbend.coordination.forwarding import suspicions
from lavenderbend.coordination.forwarding import zone_members
from lavenderbend.state import forwarding
from lavenderbend.state import upstreams

STORE_SECONDS = 0.004
# all routers of a real fleet start within so long of each other
START_SECONDS = 0.3
APPLY_SECONDS = 4.0
REVOCATION_SECONDS = 5.0
REPEATS = budget.RetryBudgetSettings(
    share=0.2, extra=400.0, window_seconds=10.0
)
SEEDS = 3
SERVICE = 'engines'


def host_of(number: int) -> str:
    """Returns the IP number of a router."""
    return f'10.{number // 50_000}.{number // 250 % 200}.{number % 250 + 1}'


def zone_of(number: int, zones: int) -> str:
    """Returns the availability zone of a router."""
    return f'zone-{number % zones}'


class Store(interfaces.SnapshotSource):
    """The platform's store, shared by all routers.

    Attributes:
        content: What it holds.
        known: All that it ever held, by digest.
        reads: Calls so far.
        down: Whether it refuses all calls.
    """

    def __init__(self, count: int) -> None:
        self.content = snapshot_of(count)
        self.known = {self.content.digest: self.content}
        self.reads = 0
        self.down = False

    def put(self, version: int) -> None:
        """Accepts a version."""
        table = forwarding.ForwardingTable(version)
        items = dict(self.content.raw.items)
        revision = self.content.revision + 1
        items['config'] = forwarding.RawItem(revision, b'')
        raw = forwarding.RawSnapshot(revision, items)
        self.content = forwarding.Snapshot(
            revision, raw.digest, table, self.content.upstreams, raw
        )
        self.known[raw.digest] = self.content

    def replace(
        self,
        table: forwarding.ForwardingTable,
        found: dict[str, forwarding.Upstream],
    ) -> None:
        """Puts other content in place of what a new store holds."""
        items = {name: forwarding.RawItem(2, b'') for name in found}
        items['config'] = forwarding.RawItem(2, b'')
        raw = forwarding.RawSnapshot(2, items)
        self.content = forwarding.Snapshot(2, raw.digest, table, found, raw)
        self.known[raw.digest] = self.content

    async def read(self) -> forwarding.RawSnapshot:
        """Reads the whole store.

        Raises:
            KeyValueUnavailable: It is down.
        """
        self.reads += 1
        content = self.content
        await trio.sleep(STORE_SECONDS)
        if self.down:
            raise errors.KeyValueUnavailable('down')
        return content.raw

    async def newest_position(self) -> forwarding.StorePosition:
        """Returns the store's position."""
        return (await self.read()).position

    async def changes_since(self, revision: int) -> forwarding.Changes | None:
        """Returns nothing: the whole store is read."""
        return None

    def decode(self, raw: forwarding.RawSnapshot) -> forwarding.Snapshot:
        """Returns what a read returned, decoded."""
        return attrs.evolve(
            self.known[raw.digest], revision=raw.revision, raw=raw
        )

    def keep_table(
        self, raw: forwarding.RawSnapshot, kept: forwarding.RawSnapshot
    ) -> forwarding.RawSnapshot:
        """Returns the read: versions only rise here."""
        return raw


def snapshot_of(count: int) -> forwarding.Snapshot:
    """Returns a snapshot with so many upstreams of one service."""
    found = {}
    for number in range(count):
        vm = upstreams.Vm(
            f'i-{number:08x}',
            f'10.9.{number // 250}.{number % 250 + 1}',
            9000,
            zone_of(number, 5),
            SERVICE,
            upstreams.UpstreamKind.SERVICE,
        )
        found[vm.id] = forwarding.Upstream(vm.id, vm, 32)
    items = {name: forwarding.RawItem(1, b'') for name in found}
    items['config'] = forwarding.RawItem(1, b'')
    raw = forwarding.RawSnapshot(1, items)
    table = forwarding.ForwardingTable(1)
    return forwarding.Snapshot(1, raw.digest, table, found, raw)


class Router:
    """One router's knowledge.

    Attributes:
        scope: Ends it.
    """

    def __init__(
        self,
        number: int,
        zones: int,
        net: network_lib.Network,
        store: Store,
        seeds: list[str],
        life: int = 0,
        capacity: int = zone_members.DEFAULT_CAPACITY,
    ) -> None:
        self.host = host_of(number)
        self.zone = zone_of(number, zones)
        rng = random.Random(f'{self.host}-{life}')
        self.scope = trio.CancelScope()
        self.snapshots = snapshots.Snapshots(
            store,
            snapshots.FollowSettings(APPLY_SECONDS, REVOCATION_SECONDS),
            rng,
            trio.current_time,
        )
        self.loads = loads.Loads()
        self.health = health.Health()
        link = net.link(self.host, self.zone)
        link.followed = self.snapshots
        self.peers = peers.Peers(
            f'router-{number}',
            self.host,
            self.zone,
            seeds,
            self.snapshots,
            self.loads,
            link,
            rng,
            capacity,
        )
        self.crashes = crashes.CrashDetector(lambda one: True, self.peers.facts)
        self.suspicions = suspicions.Suspicions(
            self.peers.facts, self.peers.fleet_size
        )
        self.health.on_suspect = self.suspicions.announce
        self.directory = directory.Directory(self.snapshots)
        self.departures = departures.Departures(
            self.snapshots, self.directory, self.peers.facts
        )
        self.peers.fact_callbacks[departures.LEFT] = (
            self.departures.apply_departure
        )
        self.budget = budget.RetryBudget(REPEATS, self.peers.budget_divisor)

    def extra(self) -> float:
        """Returns the repeats that it may make without a request."""
        return self.budget.allowed(SERVICE)

    async def run(self) -> None:
        """Runs until it is ended."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.snapshots.run)
                nursery.start_soon(self.peers.run)


@attrs.define
class Fleet:
    """Routers on one network.

    Attributes:
        size: How many there are at the start.
        zones: How many availability zones.
        net: The network.
        store: The store.
        routers: Those that live, by number.
        capacities: Capacities of routers that differ from the default, by
            number.
    """

    nursery: trio.Nursery
    size: int
    zones: int
    net: network_lib.Network
    store: Store
    rng: random.Random
    routers: dict[int, Router] = attrs.field(factory=dict)
    lives: int = 0
    capacities: dict[int, int] = attrs.field(factory=dict)

    @property
    def seeds(self) -> list[str]:
        """The hosts in every router's settings; the first is stale."""
        return ['10.250.0.1', *(host_of(number) for number in range(SEEDS - 1))]

    def start(self, number: int) -> None:
        """Starts a router."""
        self.lives += 1
        router = Router(
            number,
            self.zones,
            self.net,
            self.store,
            self.seeds,
            self.lives,
            self.capacities.get(number, zone_members.DEFAULT_CAPACITY),
        )
        self.routers[number] = router
        self.nursery.start_soon(router.run)

    async def start_all(self, numbers: list[int]) -> None:
        """Starts routers within a moment, in any order."""
        moments = sorted(
            (self.rng.uniform(0.0, START_SECONDS), n) for n in numbers
        )
        begin = trio.current_time()
        for moment, number in moments:
            await trio.sleep_until(begin + moment)
            self.start(number)

    def end(self, number: int) -> None:
        """Ends a router at once; nobody is told."""
        router = self.routers.pop(number)
        router.scope.cancel()
        del self.net.links[router.host]

    def sizes(self) -> list[int]:
        """Returns how many routers each one counts."""
        return [one.peers.fleet_size() for one in self.routers.values()]

    def extra(self) -> float:
        """Returns the extra repeats that all may make together."""
        return sum(one.extra() for one in self.routers.values())


def make(
    nursery: trio.Nursery,
    size: int,
    zones: int = 5,
    engines: int = 60,
    loss: float = 0.02,
    seed: int = 1,
) -> Fleet:
    """Returns a fleet of which no router runs yet."""
    rng = random.Random(seed)
    net = network_lib.Network(rng)
    net.loss = loss
    nursery.start_soon(net.run)
    return Fleet(nursery, size, zones, net, Store(engines), rng)
