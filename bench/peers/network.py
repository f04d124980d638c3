"""Routers in memory, on trio's virtual clock, with the real codec."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import msgpack
import trio

from lavenderbend import errors
from lavenderbend.coordination import interfaces
from lavenderbend.protocol import peer
from lavenderbend.state import upstreams

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    import random

FRAME_BYTES = 4


class MemoryNetwork:
    """Carries messages between links, with faults.

    Attributes:
        latency: Seconds one way.
        jitter: Seconds at most added to it.
        links: By router id.
        cut: Pairs (from, to) whose messages are lost.
        down: Routers whose process has ended; they refuse at once.
        silent: Routers whose VM is gone; nothing comes back.
        loss: Share of messages lost.
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        rng: random.Random,
        latency: float = 0.001,
        jitter: float = 0.0005,
    ) -> None:
        self.nursery = nursery
        self.rng = rng
        self.latency = latency
        self.jitter = jitter
        self.links: dict[str, MemoryLink] = {}
        self.cut: set[tuple[str, str]] = set()
        self.down: set[str] = set()
        self.silent: set[str] = set()
        self.paused: dict[str, trio.Event] = {}
        self.loss = 0.0

    def link(self, name: str) -> MemoryLink:
        """Returns a new link of a router."""
        self.links[name] = MemoryLink(name, self)
        return self.links[name]

    def pause(self, name: str) -> None:
        """Stops a router's messages; they arrive when it goes on."""
        self.paused[name] = trio.Event()

    def resume(self, name: str) -> None:
        """Ends a pause."""
        self.paused.pop(name).set()

    def cut_off(self, side: Iterable[str], other: Iterable[str]) -> None:
        """Cuts both ways between two sets of routers."""
        others = list(other)
        for first in side:
            for second in others:
                self.cut.add((first, second))
                self.cut.add((second, first))

    async def carry(self, source: str, target: str) -> bool:
        """Takes the time of a message; returns whether it arrives."""
        await trio.sleep(self.latency + self.rng.uniform(0, self.jitter))
        for name in (source, target):
            if name in self.paused:
                await self.paused[name].wait()
        if (source, target) in self.cut or {source, target} & self.silent:
            return False
        if target in self.down or source in self.down:
            return False
        return self.rng.random() >= self.loss


class MemoryLink(interfaces.PeerLink):
    """A peer link over a memory network; bytes as the frames have them."""

    def __init__(self, name: str, network: MemoryNetwork) -> None:
        super().__init__(name)
        self.network = network
        self.addresses: dict[str, tuple[str, int]] = {}
        self.bytes_sent = 0
        self.bytes_received = 0
        self.messages_sent = 0
        self.messages_received = 0
        self.next_call = 1
        self.by_class: dict[str, int] = {}

    def set_peers(self, addresses: Mapping[str, tuple[str, int]]) -> None:
        """Sets the addresses of the peers."""
        self.addresses = dict(addresses)

    def count_sent(self, number: int, item: peer.Message) -> bytes:
        """Returns the message as bytes and counts it."""
        data = msgpack.packb([number, peer.to_wire(item)])
        size = len(data) + FRAME_BYTES
        self.bytes_sent += size
        self.messages_sent += 1
        name = type(item).__name__
        self.by_class[name] = self.by_class.get(name, 0) + size
        return data

    def count_received(self, data: bytes) -> peer.Message:
        """Returns the message of bytes and counts it."""
        self.bytes_received += len(data) + FRAME_BYTES
        self.messages_received += 1
        return peer.from_wire(msgpack.unpackb(data)[1])

    async def request(
        self, peer_id: str, item: peer.Message, timeout: float
    ) -> peer.Message:
        """Sends a request and returns its answer; see `PeerLink`."""
        if peer_id == self.name:
            return checked(await answer_of(self, self.name, item))
        if peer_id in self.network.down:
            await trio.sleep(2 * self.network.latency)
            raise errors.PeerUnreachable(f'{peer_id} refuses')
        number = self.next_call
        self.next_call += 1
        data = self.count_sent(number, item)
        reply: list[bytes] = []
        with trio.move_on_after(timeout):
            if await self.network.carry(self.name, peer_id):
                done = trio.Event()
                self.network.nursery.start_soon(
                    self.serve, peer_id, number, data, reply, done
                )
                await done.wait()
            else:
                await trio.sleep_forever()
        if not reply:
            raise errors.PeerUnreachable(f'{peer_id}: no answer')
        return checked(self.count_received(reply[0]))

    async def serve(
        self,
        peer_id: str,
        number: int,
        data: bytes,
        reply: list[bytes],
        done: trio.Event,
    ) -> None:
        """Runs the peer's handler and carries its answer back."""
        other = self.network.links[peer_id]
        message = other.count_received(data)
        answer = await answer_of(other, self.name, message)
        answer_data = other.count_sent(-number, answer)
        if await self.network.carry(peer_id, self.name):
            reply.append(answer_data)
            done.set()

    def notify(self, peer_id: str, item: peer.Message) -> None:
        """Sends a notice, which may get lost."""
        if peer_id in self.network.links:
            data = self.count_sent(0, item)
            self.network.nursery.start_soon(self.carry_notice, peer_id, data)

    async def carry_notice(self, peer_id: str, data: bytes) -> None:
        """Carries a notice to its handler."""
        if await self.network.carry(self.name, peer_id):
            other = self.network.links[peer_id]
            await answer_of(other, self.name, other.count_received(data))

    async def run(self) -> None:
        """Does nothing: the network serves."""
        await trio.sleep_forever()


async def answer_of(
    link: MemoryLink, peer_id: str, message: peer.Message
) -> peer.Message:
    """Returns the answer of a link's handler, or its failure."""
    try:
        answer = await link.handlers[type(message)](peer_id, message)
    except errors.LavenderbendError as exc:
        return peer.Failure(type(exc).__name__, str(exc))
    return peer.Done() if answer is None else answer


def checked(answer: peer.Message) -> peer.Message:
    """Returns an answer that is no failure.

    Raises:
        PeerRefused: It is one.
    """
    if isinstance(answer, peer.Failure):
        raise errors.PeerRefused(answer.kind, answer)
    return answer


@attrs.define
class Engine:
    """What an engine in memory reports.

    Attributes:
        instance: Its process.
        draining: Whether it says that it is leaving.
        reachable: Whether it answers at all.
        hidden_from: Routers that do not reach it.
    """

    instance: str = 'i1'
    draining: bool = False
    reachable: bool = True
    hidden_from: set[str] = attrs.field(factory=set)


class MemoryUpstreams(interfaces.UpstreamClient):
    """Engines in memory, as one router reaches them.

    Attributes:
        router: Id of the router.
        engines: Shared by all routers, by VM id.
        reports: Reports given.
    """

    def __init__(self, router: str, engines: dict[str, Engine]) -> None:
        self.router = router
        self.engines = engines
        self.reports = 0

    async def open(self, vm, request, headers, timeout):
        """Is not used here."""
        raise errors.UpstreamUnreachable(vm.id)

    async def report(self, vm: upstreams.Vm) -> upstreams.LoadReport:
        """Returns an engine's report."""
        await trio.sleep(0.002)
        self.reports += 1
        engine = self.engines.get(vm.id)
        if engine is None or not engine.reachable:
            raise errors.UpstreamUnreachable(vm.id)
        if self.router in engine.hidden_from:
            raise errors.UpstreamUnreachable(vm.id)
        return upstreams.LoadReport(
            vm.id, engine.instance, 0, 0, draining=engine.draining
        )
