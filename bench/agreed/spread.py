"""Bytes and calls of a router that follows a large configuration."""

from __future__ import annotations

import json
import random

import attrs
import trio

from bench.agreed import fleets
from lavenderbend.coordination import interfaces
from lavenderbend.coordination.configuration import (
    follower as configuration_follower,
)
from lavenderbend.coordination.configuration import log as configuration_log
from lavenderbend.protocol import etcd
from lavenderbend.standin import key_value
from lavenderbend.standin import key_value_http
from lavenderbend.state import configuration
from lavenderbend.state import documents
from tests.test_coordination import agreed_fakes as fakes

CHANGES_PER_DAY = 14_000
DAY_SECONDS = 86_400
# heads of a request and its answer on a kept connection, both ways
HTTP_HEAD_BYTES = 350
# length, tag and TCP/IP headers of a small peer message on its own
PEER_OVERHEAD_BYTES = 60


@attrs.frozen
class Result:
    """What the run showed.

    Attributes:
        routers: How many follow.
        document_bytes: The configuration as JSON.
        changes: Changes accepted in the run.
        bytes_per_second: At the busiest router, both directions.
        service_bytes_per_second: Part of it that the service carries.
        start_bytes: Bytes that a new router reads to start.
        calls_per_router_second: Calls to the service, watches not counted.
        watches_per_router: Watches open.
        slowest_ms: Longest time from acceptance until in force everywhere.
    """

    routers: int
    document_bytes: int
    changes: int
    bytes_per_second: float
    service_bytes_per_second: float
    start_bytes: int
    calls_per_router_second: float
    watches_per_router: float
    slowest_ms: float


class CountingStore(interfaces.KeyValueStore):
    """Counts the bytes that the JSON gateway would carry for a router."""

    def __init__(self, store: key_value.MemoryStore) -> None:
        self.store = store
        self.bytes = 0
        self.calls = 0
        self.watches = 0

    async def read(self, key, end=None, limit=0):
        """Reads and counts."""
        found = await self.store.read(key, end, limit)
        body = [etcd.key_value_to_wire(item) for item in found.items]
        self.bytes += HTTP_HEAD_BYTES + len(json.dumps(body)) + 2 * len(key)
        self.calls += 1
        return found

    async def watch(self, key, end, start_revision):
        """Watches and counts."""
        self.watches += 1
        self.bytes += HTTP_HEAD_BYTES
        async for changes in self.store.watch(key, end, start_revision):
            events = [key_value_http.event(change) for change in changes]
            self.bytes += len(key_value_http.line({'events': events}))
            yield changes

    async def create(self, key, value, lease=0, present=None, absent=None):
        """Writes and counts."""
        self.calls += 1
        self.bytes += HTTP_HEAD_BYTES + len(value) * 4 // 3 + 200
        return await self.store.create(key, value, lease, present, absent)

    async def replace(self, *args):
        """Not counted: followers do not use it."""
        return await self.store.replace(*args)

    async def delete(self, *args):
        """Not counted: followers do not use it."""
        return await self.store.delete(*args)

    async def grant_lease(self, seconds):
        """Not counted: followers do not use it."""
        return await self.store.grant_lease(seconds)

    async def renew_lease(self, lease):
        """Not counted: followers do not use it."""
        return await self.store.renew_lease(lease)

    async def revoke_lease(self, lease):
        """Not counted: followers do not use it."""
        return await self.store.revoke_lease(lease)


def large_document(rng: random.Random) -> configuration.Configuration:
    """Returns a configuration of about 500 KB of JSON."""
    customers = tuple(
        configuration.Customer(
            f'customer {number}',
            tuple(
                f'{rng.randbytes(8).hex()}${rng.randbytes(32).hex()}'
                for _ in range(2)
            ),
            weight=1.5,
        )
        for number in range(1800)
    )
    rules = tuple(
        configuration.Rule(
            f'rule {number}',
            configuration.Then(pool='pool', timeout=30.0 + number),
            configuration.When(
                customer=(f'customer {number}',), path=('/v1/chat/*',)
            ),
        )
        for number in range(700)
    )
    pools = (configuration.Pool('pool', 'service'),)
    return configuration.Configuration(rules, pools, customers)


class Trial:
    """One run."""

    def __init__(self, routers: int, seconds: float) -> None:
        self.routers = routers
        self.seconds = seconds
        self.rng = random.Random(1)
        self.store = key_value.MemoryStore(
            random.Random(2), key_value.Faults(latency=0.001, jitter=0.001)
        )
        self.network = fakes.Network(3)
        self.stores: dict[str, CountingStore] = {}
        self.followers: list = []
        self.slowest = 0.0

    async def run(self) -> Result:
        """Runs everything and returns what it showed."""
        document = large_document(self.rng)
        operator = configuration_log.ConfigurationLog(self.store)
        await operator.accept(document, 0, 'bench', 'start')
        async with trio.open_nursery() as nursery:
            names = [f'router-{number}' for number in range(self.routers)]
            view = fakes.Membership(names)
            for name in names:
                self.start(name, view, nursery)
            await trio.sleep(20)
            start_bytes = max(s.bytes for s in self.stores.values())
            self.clear()
            began = trio.current_time()
            changes = await self.change(operator, began + self.seconds)
            result = self.result(document, changes, start_bytes)
            nursery.cancel_scope.cancel()
        return result

    def start(self, name, view, nursery) -> None:
        """Starts a router."""
        store = self.stores[name] = CountingStore(self.store)
        link = fakes.Link(name, self.network)
        follower = configuration_follower.ConfigurationFollower(
            name, store, link, view, random.Random(name)
        )
        self.followers.append(follower)
        nursery.start_soon(link.run)
        nursery.start_soon(follower.run)

    def clear(self) -> None:
        """Forgets what starting cost."""
        for store in self.stores.values():
            store.bytes = store.calls = 0
        self.network.bytes_by_router.clear()
        self.network.messages = 0

    async def change(self, operator, end: float) -> int:
        """Changes one item at the target's rate until the end."""
        count = 0
        rate = CHANGES_PER_DAY / DAY_SECONDS
        while True:
            await trio.sleep(self.rng.expovariate(rate))
            if trio.current_time() > end:
                return count
            await operator.catch_up()
            document = operator.chain.revision.document
            rules = list(document.rules)
            place = self.rng.randrange(len(rules))
            then = attrs.evolve(
                rules[place].then, timeout=self.rng.uniform(1, 100)
            )
            rules[place] = attrs.evolve(rules[place], then=then)
            wanted = attrs.evolve(document, rules=tuple(rules))
            seen = operator.chain.number
            await operator.accept(wanted, seen, 'bench', f'change {count}')
            count += 1
            began = trio.current_time()
            for follower in self.followers:
                await follower.wait_beyond(seen)
            self.slowest = max(self.slowest, trio.current_time() - began)

    def result(self, document, changes: int, start_bytes: int) -> Result:
        """Adds up what was counted."""
        packed = documents.from_configuration(document)
        sizes = [sum(map(len, part)) for part in packed.sections.values()]
        service = max(store.bytes for store in self.stores.values())
        peers = max(self.network.bytes_by_router.values())
        overhead = (
            2 * PEER_OVERHEAD_BYTES * self.network.messages / self.routers
        )
        calls = sum(store.calls for store in self.stores.values())
        watches = sum(store.watches for store in self.stores.values())
        return Result(
            routers=self.routers,
            document_bytes=sum(sizes),
            changes=changes,
            bytes_per_second=(service + peers + overhead) / self.seconds,
            service_bytes_per_second=service / self.seconds,
            start_bytes=start_bytes,
            calls_per_router_second=calls / self.routers / self.seconds,
            watches_per_router=watches / self.routers,
            slowest_ms=1000 * self.slowest,
        )


def run(routers: int = 7, seconds: float = 1200.0) -> Result:
    """Runs the trial on the virtual clock."""
    return fleets.virtual(1, Trial(routers, seconds).run)
