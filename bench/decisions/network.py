"""Messages between routers in memory, with latency, cuts and counts."""

from __future__ import annotations

import collections
import contextlib
from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend import errors
from lavenderbend.coordination import interfaces
from lavenderbend.protocol import peer

if TYPE_CHECKING:
    from collections.abc import Mapping

# what a frame carries besides the message: length, kind, request number
FRAME_BYTES = 6


@attrs.define
class Counts:
    """What one router sent and received.

    Attributes:
        messages: Number of messages sent.
        sent: Bytes sent.
        received: Bytes received.
        kinds: Bytes sent, by message class.
    """

    messages: int = 0
    sent: int = 0
    received: int = 0
    kinds: collections.Counter[str] = attrs.field(factory=collections.Counter)


class Network:
    """The links of one run.

    Attributes:
        latency: Seconds one way.
        links: By router.
        counts: By router.
        cuts: Pairs of routers, the smaller first, that cannot talk.
        dead: Routers that do not answer.
    """

    def __init__(self, nursery: trio.Nursery, latency: float) -> None:
        self.nursery = nursery
        self.latency = latency
        self.links: dict[str, MemoryLink] = {}
        self.counts: dict[str, Counts] = collections.defaultdict(Counts)
        self.cuts: set[tuple[str, str]] = set()
        self.dead: set[str] = set()

    def link(self, name: str) -> MemoryLink:
        """Returns a new link for a router."""
        link = MemoryLink(name, self)
        self.links[name] = link
        return link

    def cut(self, left: str, right: str) -> None:
        """Stops messages between two routers."""
        self.cuts.add((min(left, right), max(left, right)))

    def mend(self, left: str, right: str) -> None:
        """Lets messages between two routers through again."""
        self.cuts.discard((min(left, right), max(left, right)))

    def open(self, left: str, right: str) -> bool:
        """Returns whether messages between two routers arrive."""
        if left in self.dead or right in self.dead:
            return False
        if left == right:
            return True
        pair = (min(left, right), max(left, right))
        return right in self.links and pair not in self.cuts

    def count(self, sender: str, receiver: str, item: peer.Message) -> bytes:
        """Returns the bytes of a message and counts them."""
        data = peer.encode(item)
        if sender == receiver:
            return data
        size = len(data) + FRAME_BYTES
        counts = self.counts[sender]
        counts.messages += 1
        counts.sent += size
        counts.kinds[type(item).__name__] += size
        self.counts[receiver].received += size
        return data


class MemoryLink(interfaces.PeerLink):
    """A link of the network; the codec is the real one."""

    def __init__(self, name: str, network: Network) -> None:
        super().__init__(name)
        self.network = network

    def set_peers(self, addresses: Mapping[str, tuple[str, int]]) -> None:
        """Does nothing: the network knows its links by name."""

    async def request(
        self, peer_id: str, item: peer.Message, timeout: float
    ) -> peer.Message:
        """Sends a request and returns its answer."""
        if peer_id == self.name:
            return await self.request_self(item)
        data = self.network.count(self.name, peer_id, item)
        send, receive = trio.open_memory_channel[peer.Message](1)
        self.network.nursery.start_soon(self.serve, peer_id, data, send)
        with trio.move_on_after(timeout):
            answer = await receive.receive()
            if isinstance(answer, peer.Failure):
                raise errors.PeerRefused(answer.kind, answer)
            return answer
        raise errors.PeerUnreachable(peer_id)

    async def request_self(self, item: peer.Message) -> peer.Message:
        """Calls this router's own handler."""
        try:
            answer = await self.handlers[type(item)](self.name, item)
        except errors.RequestError as exc:
            failure = peer.Failure(
                type(exc).__name__, exc.detail, exc.retry_after
            )
            raise errors.PeerRefused(failure.kind, failure) from exc
        return answer or peer.Done()

    async def serve(
        self,
        peer_id: str,
        data: bytes,
        send: trio.MemorySendChannel[peer.Message],
    ) -> None:
        """Carries a request there and its answer back."""
        network = self.network
        await trio.sleep(network.latency)
        if not network.open(self.name, peer_id):
            return
        target = network.links[peer_id]
        item = peer.decode(data)
        answer: peer.Message | None
        try:
            answer = await target.handlers[type(item)](self.name, item)
        except errors.RequestError as exc:
            answer = peer.Failure(
                type(exc).__name__, exc.detail, exc.retry_after
            )
        reply = network.count(peer_id, self.name, answer or peer.Done())
        await trio.sleep(network.latency)
        if network.open(self.name, peer_id):
            send.send_nowait(peer.decode(reply))

    def notify(self, peer_id: str, item: peer.Message) -> None:
        """Sends a notice; it arrives one latency later, or never."""
        data = self.network.count(self.name, peer_id, item)
        self.network.nursery.start_soon(self.deliver, peer_id, data)

    async def deliver(self, peer_id: str, data: bytes) -> None:
        """Carries a notice."""
        network = self.network
        if peer_id != self.name:
            await trio.sleep(network.latency)
        if not network.open(self.name, peer_id):
            return
        item = peer.decode(data)
        # as on a real link: a notice that cannot be taken is dropped
        with contextlib.suppress(errors.RequestError):
            await network.links[peer_id].handlers[type(item)](self.name, item)

    async def run(self) -> None:
        """Does nothing: the network delivers."""
        await trio.sleep_forever()
