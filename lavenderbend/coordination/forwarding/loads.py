"""How many requests each upstream holds, as far as this router knows."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs
import trio

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

# an upstream's own figure is worth less than what routers count after this
REPORT_SECONDS = 2.0
# a peer that was not heard for so long may have ended its requests
PEER_SECONDS = 3.0


@attrs.define
class Report:
    """What an upstream said of its load with an answer.

    Attributes:
        load: Requests that it ran or had waiting.
        at: Router clock at which it arrived, here or at another router.
        change: Requests that this router began less those it ended since.
    """

    load: int
    at: float
    change: int = 0


@attrs.frozen
class Step:
    """A request of this router that began or ended.

    Attributes:
        instance: Its upstream.
        at: Router clock.
        by: 1 for a beginning, -1 for an end.
    """

    instance: str
    at: float
    by: int


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
        reports: Reports of the last moments, the latest last.
        oldest: Router clock before which a report counts no more.
        steps: Own requests that began or ended since then.
    """

    def __init__(self) -> None:
        self.own: collections.Counter[str] = collections.Counter()
        self.peers: dict[str, PeerLoads] = {}
        self.told: collections.Counter[str] = collections.Counter()
        self.reports: dict[str, Report] = {}
        self.oldest = float('-inf')
        self.steps: collections.deque[Step] = collections.deque()

    def begin(self, instance: str) -> None:
        """Counts a request that is sent."""
        self.own[instance] += 1
        self.note_step(instance, 1)

    def end(self, instance: str) -> None:
        """Counts a request that has ended."""
        self.own[instance] -= 1
        if not self.own[instance]:
            del self.own[instance]
        self.note_step(instance, -1)

    def note_step(self, instance: str, by: int) -> None:
        """Notes a request that began or ended."""
        now = trio.current_time()
        self.steps.append(Step(instance, now, by))
        while self.steps[0].at < now - REPORT_SECONDS:
            self.steps.popleft()
        if instance in self.reports:
            self.reports[instance].change += by

    def note_report(self, instance: str, value: bytes) -> None:
        """Notes what an upstream said: running, waiting, slots."""
        parts = value.split(b',')
        if len(parts) < 2 or not parts[0].isdigit() or not parts[1].isdigit():
            return
        load = int(parts[0]) + int(parts[1])
        self.reports.pop(instance, None)
        self.reports[instance] = Report(load, trio.current_time())

    def note_told(self, instance: str, load: int, age: float) -> None:
        """Notes what an upstream said to another router.

        Args:
            instance: The upstream.
            load: What it said.
            age: Seconds since then.
        """
        at = trio.current_time() - age
        known = self.reports.get(instance)
        if age > REPORT_SECONDS or (known is not None and known.at >= at):
            return
        change = sum(
            one.by
            for one in self.steps
            if one.instance == instance and one.at > at
        )
        self.reports.pop(instance, None)
        self.reports[instance] = Report(load, at, change)

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
        self.oldest = now - REPORT_SECONDS
        while self.reports:
            # those that others told came late: an old one may lie behind
            instance, report = next(iter(self.reports.items()))
            if report.at > self.oldest:
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
        if report is None or report.at <= self.oldest:
            return counted
        return max(counted, report.load + report.change)

    def total(self, instances: Iterable[str]) -> int:
        """Returns how many requests some upstreams hold together."""
        self.forget_old()
        return sum(self.known_load(one) for one in instances)
