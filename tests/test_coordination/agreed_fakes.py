"""Routers in one process: links and membership in memory."""

from __future__ import annotations

import random

import trio

from lavenderbend import errors
from lavenderbend.coordination import interfaces
from lavenderbend.protocol import peer
from lavenderbend.standin import key_value
from lavenderbend.state import configuration


class Network:
    """Connects links; routers can be cut off or gone."""

    def __init__(self, seed: int = 1, latency: float = 0.001) -> None:
        self.rng = random.Random(seed)
        self.latency = latency
        self.links: dict[str, Link] = {}
        self.down: set[str] = set()
        self.cut: set[frozenset[str]] = set()
        self.lost = 0.0
        self.messages = 0
        self.bytes_by_router: dict[str, int] = {}

    def reachable(self, first: str, second: str) -> bool:
        gone = first in self.down or second in self.down
        return not gone and frozenset((first, second)) not in self.cut

    def carry(self, sender: str, receiver: str, item: peer.Message):
        data = peer.encode(item)
        self.messages += 1
        for name in (sender, receiver):
            size = self.bytes_by_router.get(name, 0) + len(data)
            self.bytes_by_router[name] = size
        return peer.decode(data)


class Link(interfaces.PeerLink):
    """A peer link over a `Network`, on trio's clock."""

    def __init__(self, name: str, network: Network) -> None:
        super().__init__(name)
        self.network = network
        network.links[name] = self
        self.queue: list[tuple[str, peer.Message]] = []
        self.queued = trio.Event()

    def set_peers(self, addresses) -> None:
        """Not needed: the network knows every link."""

    async def request(self, peer_id, item, timeout):
        if peer_id == self.name:
            return await self.handlers[type(item)](self.name, item)
        network = self.network
        try:
            with trio.fail_after(timeout):
                await self.travel(peer_id)
                sent = network.carry(self.name, peer_id, item)
                other = network.links[peer_id]
                answer = await self.answer_of(other, sent)
                await self.travel(peer_id)
                return network.carry(peer_id, self.name, answer)
        except trio.TooSlowError as exc:
            raise errors.PeerUnreachable(peer_id) from exc

    async def answer_of(self, other, item):
        try:
            return await other.handlers[type(item)](self.name, item)
        except errors.RequestError as exc:
            raise errors.PeerRefused(type(exc).__name__, exc) from exc

    async def travel(self, peer_id):
        network = self.network
        await trio.sleep(network.latency)
        lost = network.rng.random() < network.lost
        if lost or not network.reachable(self.name, peer_id):
            await trio.sleep_forever()

    def notify(self, peer_id, item):
        self.queue.append((peer_id, item))
        self.queued.set()

    async def run(self):
        while True:
            await self.queued.wait()
            self.queued = trio.Event()
            queue, self.queue = self.queue, []
            await trio.sleep(self.network.latency)
            for peer_id, item in queue:
                if self.network.reachable(self.name, peer_id):
                    sent = self.network.carry(self.name, peer_id, item)
                    other = self.network.links[peer_id]
                    await other.handlers[type(item)](self.name, sent)


class Membership(interfaces.Membership):
    """A list that tests change."""

    def __init__(self, routers, upstreams=()) -> None:
        self.names = list(routers)
        self.vms = list(upstreams)
        self.changed = trio.Event()

    def routers(self):
        return tuple(self.names)

    def upstreams(self, service):
        return tuple(vm for vm in self.vms if vm.service == service)

    def report(self, upstream):
        return None

    def report_at(self, upstream):
        return 0.0

    def set_routers(self, names):
        self.names = list(names)
        changed, self.changed = self.changed, trio.Event()
        changed.set()

    async def wait_changed(self):
        await self.changed.wait()


def start_parts(nursery, *parts) -> trio.CancelScope:
    """Starts the parts of a router; the scope that is returned ends them."""
    scope = trio.CancelScope()

    async def run():
        with scope:
            async with trio.open_nursery() as inner:
                for part in parts:
                    inner.start_soon(part.run)

    nursery.start_soon(run)
    return scope


def service(seed: int = 1, **faults) -> key_value.MemoryStore:
    """Returns a store with 1 to 2 ms one way."""
    values = {'latency': 0.001, 'jitter': 0.001, **faults}
    return key_value.MemoryStore(
        random.Random(seed), key_value.Faults(**values)
    )


def document(*names: str, pool: str = 'p') -> configuration.Configuration:
    """Returns a configuration with one rule for each name."""
    return configuration.Configuration(
        rules=tuple(
            configuration.Rule(name, configuration.Then(pool=pool))
            for name in names
        ),
        pools=(configuration.Pool('p', 's'),),
    )
