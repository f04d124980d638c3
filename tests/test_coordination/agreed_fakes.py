"""In-memory links and membership for several routers in one process."""

from __future__ import annotations

import random

import trio

from lavenderbend import errors
from lavenderbend.coordination import interfaces
from lavenderbend.protocol import peer
from lavenderbend.standin import key_value
from lavenderbend.state import configuration


class Network:
    """Connects links; routers can be down or cut off from each other."""

    def __init__(self, seed: int = 1, latency: float = 0.001) -> None:
        self.rng = random.Random(seed)
        self.latency = latency
        self.links: dict[str, Link] = {}
        self.down: set[str] = set()
        self.cut: set[frozenset[str]] = set()
        self.loss_fraction = 0.0
        self.messages = 0
        self.bytes_by_router: dict[str, int] = {}

    def reachable(self, first: str, second: str) -> bool:
        down = first in self.down or second in self.down
        return not down and frozenset((first, second)) not in self.cut

    def transfer(self, sender: str, receiver: str, message: peer.Message):
        data = peer.encode(message)
        self.messages += 1
        for name in (sender, receiver):
            size = self.bytes_by_router.get(name, 0) + len(data)
            self.bytes_by_router[name] = size
        return peer.decode(data)


class Link(interfaces.PeerLink):
    """A peer link over a `Network`, whose delays are on trio's clock."""

    def __init__(self, name: str, network: Network) -> None:
        super().__init__(name)
        self.network = network
        network.links[name] = self
        self.notices: list[tuple[str, peer.Message]] = []
        self.notices_queued = trio.Event()

    def set_peers(self, addresses) -> None:
        """Does nothing: the network has every link."""

    async def request(self, peer_id, message, timeout):
        if peer_id == self.name:
            return await self.handlers[type(message)](self.name, message)
        network = self.network
        try:
            with trio.fail_after(timeout):
                await self.transmit(peer_id)
                received = network.transfer(self.name, peer_id, message)
                other = network.links[peer_id]
                reply = await self.call_handler(other, received)
                await self.transmit(peer_id)
                return network.transfer(peer_id, self.name, reply)
        except trio.TooSlowError as exc:
            raise errors.PeerUnreachable(peer_id) from exc

    async def call_handler(self, other, message):
        try:
            return await other.handlers[type(message)](self.name, message)
        except errors.RequestError as exc:
            raise errors.PeerRefused(type(exc).__name__, exc) from exc

    async def transmit(self, peer_id):
        network = self.network
        await trio.sleep(network.latency)
        lost = network.rng.random() < network.loss_fraction
        if lost or not network.reachable(self.name, peer_id):
            await trio.sleep_forever()

    def notify(self, peer_id, message):
        self.notices.append((peer_id, message))
        self.notices_queued.set()

    async def run(self):
        while True:
            await self.notices_queued.wait()
            self.notices_queued = trio.Event()
            notices, self.notices = self.notices, []
            await trio.sleep(self.network.latency)
            for peer_id, message in notices:
                if self.network.reachable(self.name, peer_id):
                    received = self.network.transfer(
                        self.name, peer_id, message
                    )
                    other = self.network.links[peer_id]
                    await other.handlers[type(message)](self.name, received)


class Membership(interfaces.Membership):
    """A fixed membership that tests can change."""

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


def start_tasks(nursery, *services) -> trio.CancelScope:
    """Runs the given services of a router; the returned scope stops them."""
    scope = trio.CancelScope()

    async def run():
        with scope:
            async with trio.open_nursery() as inner:
                for service in services:
                    inner.start_soon(service.run)

    nursery.start_soon(run)
    return scope


def service(seed: int = 1, **faults) -> key_value.MemoryStore:
    """Returns a store with a one-way latency of 1 to 2 ms."""
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
