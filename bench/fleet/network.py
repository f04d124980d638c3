"""Datagrams of many forwarding routers on the virtual clock."""

from __future__ import annotations

import collections
import heapq
import itertools
import math
from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend import errors
from lavenderbend.coordination.forwarding import interfaces
from lavenderbend.protocol import peer

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from lavenderbend.coordination.forwarding import snapshots
    from lavenderbend.protocol import messages_forwarding
    from lavenderbend.state import forwarding

NEAR_SECONDS = 0.0003
FAR_SECONDS = 0.0012
JITTER_SECONDS = 0.0005
# IP and UDP headers
HEADER_BYTES = 28
# request and answer of a snapshot over TCP, with the handshake
FETCH_TRIPS = 2


@attrs.define
class Traffic:
    """What went over the network.

    Attributes:
        messages: Datagrams by kind, `near` or `far`.
        size: Bytes by kind, headers included.
        size_by_host: Bytes by sender, headers included.
        largest: Bytes of the largest datagram, without headers.
        fetches: Snapshots that were fetched.
    """

    messages: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    size: collections.Counter[str] = attrs.field(factory=collections.Counter)
    size_by_host: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    largest: int = 0
    fetches: int = 0


class Network:
    """Carries datagrams between routers, with faults.

    One task delivers all of them: a task each would be most of the cost of a
    thousand routers.

    Attributes:
        links: By host.
        zones: Availability zone by host.
        loss: Share of datagrams that are lost.
        cut: Returns whether nothing passes from one host to another.
        traffic: What was sent.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.links: dict[str, Link] = {}
        self.zones: dict[str, str] = {}
        self.loss = 0.0
        self.cut: Callable[[str, str], bool] = lambda source, target: False
        self.traffic = Traffic()
        self.queue: list[tuple[float, int, str, bytes]] = []
        self.numbers = itertools.count()
        self.queued = trio.Event()

    def link(self, host: str, zone: str) -> Link:
        """Returns a new link of a router."""
        self.zones[host] = zone
        self.links[host] = Link(self, host)
        return self.links[host]

    def delay(self, source: str, target: str) -> float:
        """Returns the seconds that a message takes."""
        near = self.zones.get(source) == self.zones.get(target)
        base = NEAR_SECONDS if near else FAR_SECONDS
        return base + self.rng.random() * JITTER_SECONDS

    def passes(self, source: str, target: str) -> bool:
        """Returns whether a message arrives."""
        if target not in self.links or self.cut(source, target):
            return False
        return self.rng.random() >= self.loss

    def send(self, source: str, target: str, data: bytes) -> None:
        """Sends a datagram."""
        near = self.zones.get(source) == self.zones.get(target)
        kind = 'near' if near else 'far'
        self.traffic.messages[kind] += 1
        self.traffic.size[kind] += len(data) + HEADER_BYTES
        self.traffic.size_by_host[source] += len(data) + HEADER_BYTES
        self.traffic.largest = max(self.traffic.largest, len(data))
        if not self.passes(source, target):
            return
        at = trio.current_time() + self.delay(source, target)
        heapq.heappush(self.queue, (at, next(self.numbers), target, data))
        self.queued.set()

    async def run(self) -> None:
        """Delivers datagrams at their times."""
        while True:
            due = self.queue[0][0] if self.queue else math.inf
            self.queued = trio.Event()
            with trio.move_on_at(due):
                await self.queued.wait()
            while self.queue and self.queue[0][0] <= trio.current_time():
                _, _, target, data = heapq.heappop(self.queue)
                link = self.links.get(target)
                if link is not None:
                    link.receiver(peer.decode(data))


class Link(interfaces.DatagramLink):
    """The datagrams of one router.

    Attributes:
        network: Carries them.
        host: IP number of the router.
        followed: What the router knows of the store.
    """

    def __init__(self, network: Network, host: str) -> None:
        self.network = network
        self.host = host
        self.receiver = ignore
        self.followed: snapshots.Snapshots | None = None

    def send(self, host: str, message: peer.Message) -> None:
        """Sends a message; it may be lost."""
        self.network.send(self.host, host, peer.encode(message))

    async def fetch(
        self, host: str, known: forwarding.RawSnapshot | None
    ) -> forwarding.RawSnapshot:
        """Returns the snapshot of another router.

        Raises:
            PeerUnreachable: There is no such router, or it has none.
        """
        self.network.traffic.fetches += 1
        trip = 2 * self.network.delay(self.host, host)
        await trio.sleep(FETCH_TRIPS * trip)
        other = self.network.links.get(host)
        cut = self.network.cut(self.host, host)
        if other is None or cut or other.followed.current is None:
            raise errors.PeerUnreachable('no snapshot')
        return other.followed.current.raw


def ignore(message: messages_forwarding.RouterState) -> None:
    """Drops messages that come before somebody takes them."""
