"""How many requests each upstream holds, as far as this router knows."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs
import trio

if TYPE_CHECKING:
    from collections.abc import Container
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

    What peers hold is kept as one sum for each upstream: of hundreds of
    routers and thousands of upstreams, few pairs have a request.

    Attributes:
        own: Requests of this router by instance.
        peers: Requests of other routers, by their names, the latest heard
            last.
        told: Sum of what `peers` hold, by instance.
        reports: Reports of the last second, the latest last.
    """

    def __init__(self) -> None:
        self.own: collections.Counter[str] = collections.Counter()
        self.peers: dict[str, PeerLoads] = {}
        self.told: collections.Counter[str] = collections.Counter()
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
        self.reports.pop(instance, None)
        self.reports[instance] = Report(load, trio.current_time())

    def note_peer(self, name: str, counts: Mapping[str, int]) -> None:
        """Notes what a peer holds."""
        self.forget_peer(name)
        self.peers[name] = PeerLoads(counts, trio.current_time())
        self.told.update(counts)

    def forget_peer(self, name: str) -> None:
        """Takes out what a peer was last known to hold."""
        known = self.peers.pop(name, None)
        if known is None:
            return
        for instance, count in known.counts.items():
            self.told[instance] -= count
            if not self.told[instance]:
                del self.told[instance]

    def forget_old(self) -> None:
        """Drops peers and reports that were not heard of lately."""
        now = trio.current_time()
        while self.peers:
            name, oldest = next(iter(self.peers.items()))
            if now - oldest.at < PEER_SECONDS:
                break
            self.forget_peer(name)
        while self.reports:
            instance, report = next(iter(self.reports.items()))
            if now - report.at <= REPORT_SECONDS:
                break
            del self.reports[instance]

    def load(self, instance: str) -> int:
        """Returns how many requests an upstream holds."""
        self.forget_old()
        return self.known_load(instance)

    def known_load(self, instance: str) -> int:
        """Returns it by what is kept."""
        counted = self.own.get(instance, 0) + self.told.get(instance, 0)
        report = self.reports.get(instance)
        if report is None:
            return counted
        return max(counted, report.load + report.change)

    def total(self, instances: Container[str]) -> int:
        """Returns how many requests some upstreams hold together."""
        self.forget_old()
        busy = {*self.own, *self.told, *self.reports}
        return sum(self.known_load(one) for one in busy if one in instances)
