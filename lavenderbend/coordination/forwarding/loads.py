"""How many requests each upstream holds, as far as this router knows."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs
import trio

if TYPE_CHECKING:
    from collections.abc import Mapping

# an upstream's own figure is worth less than what routers count after this
REPORT_SECONDS = 1.0
# a peer that was not heard for so long may have ended its requests
PEER_SECONDS = 3.0


@attrs.define
class Report:
    """What an upstream said of its load with an answer.

    Attributes:
        load: Requests that it ran or had waiting.
        at: Router clock of its arrival.
        change: Requests that this router began less those it ended since.
    """

    load: int
    at: float
    change: int = 0


@attrs.frozen
class PeerLoads:
    """What a peer holds at upstreams.

    Attributes:
        counts: Requests by instance.
        at: Router clock of its arrival.
    """

    counts: Mapping[str, int]
    at: float


class Loads:
    """Requests on upstreams: this router's, its peers' and reported ones.

    Attributes:
        own: Requests of this router by instance.
        peers: Requests of other routers, by their names.
        reports: The latest report of each upstream.
    """

    def __init__(self) -> None:
        self.own: collections.Counter[str] = collections.Counter()
        self.peers: dict[str, PeerLoads] = {}
        self.reports: dict[str, Report] = {}

    def begin(self, instance: str) -> None:
        """Counts a request that is sent."""
        self.own[instance] += 1
        if instance in self.reports:
            self.reports[instance].change += 1

    def end(self, instance: str) -> None:
        """Counts a request that has ended."""
        self.own[instance] -= 1
        if not self.own[instance]:
            del self.own[instance]
        if instance in self.reports:
            self.reports[instance].change -= 1

    def note_report(self, instance: str, value: bytes) -> None:
        """Notes what an upstream said: running, waiting, slots."""
        parts = value.split(b',')
        if len(parts) < 2 or not parts[0].isdigit() or not parts[1].isdigit():
            return
        load = int(parts[0]) + int(parts[1])
        self.reports[instance] = Report(load, trio.current_time())

    def note_peer(self, name: str, counts: Mapping[str, int]) -> None:
        """Notes what a peer holds."""
        self.peers[name] = PeerLoads(counts, trio.current_time())

    def load(self, instance: str) -> int:
        """Returns how many requests an upstream holds."""
        now = trio.current_time()
        counted = self.own.get(instance, 0)
        for peer in self.peers.values():
            if now - peer.at < PEER_SECONDS:
                counted += peer.counts.get(instance, 0)
        report = self.reports.get(instance)
        if report is None or now - report.at > REPORT_SECONDS:
            return counted
        return max(counted, report.load + report.change)
