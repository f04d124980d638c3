"""Number of requests at each upstream, as far as this router knows."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend.protocol import counts

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

# After this time an upstream's own load report is less accurate than the
# counts of the routers.
REPORT_LIFETIME_SECONDS = 2.0
# A peer that sent no message for this time may have ended its requests.
PEER_LIFETIME_SECONDS = 3.0
# How long work may take, in percent of the usual time. Other figures are taken
# for faults of the upstream.
MIN_PACE_PERCENT = 10
MAX_PACE_PERCENT = 10_000
MAX_PACE_DIGITS = 5
# More requests than any upstream holds.
MAX_LOAD_DIGITS = 6


@attrs.define
class LoadReport:
    """The load that an upstream reported in the headers of an answer.

    Attributes:
        load: Requests that it was running or had queued.
        at: Router clock at which it arrived, here or at another router.
        change: Requests that this router has begun since, less those that it
            has ended.
    """

    load: int
    at: float
    change: int = 0


@attrs.frozen
class LoadChange:
    """The beginning or end of a request of this router.

    Attributes:
        instance: Its upstream.
        at: Router clock.
        delta: 1 for a beginning, -1 for an end.
    """

    instance: str
    at: float
    delta: int


@attrs.frozen
class PeerLoads:
    """Requests of a peer at upstreams.

    Attributes:
        counts: Requests by instance.
        at: Router clock at which the peer's message arrived.
    """

    counts: Mapping[str, int]
    at: float


class Loads:
    """Requests at upstreams: this router's, its peers' and reported ones.

    The requests of peers are kept as one sum for each upstream: of the pairs
    of hundreds of routers and thousands of upstreams, few have a request.

    Attributes:
        own: Requests of this router by instance.
        peers: Requests of other routers by router name, the most recently
            updated last.
        peer_totals: Sums of the requests in `peers`, by instance.
        reports: Recent load reports by instance, the most recently added
            last.
        oldest: Router clock up to which a report has expired.
        changes: Own requests that began or ended within the lifetime of a
            report.
    """

    def __init__(self) -> None:
        self.own: collections.Counter[str] = collections.Counter()
        self.peers: dict[str, PeerLoads] = {}
        self.peer_totals: collections.Counter[str] = collections.Counter()
        self.reports: dict[str, LoadReport] = {}
        self.oldest = float('-inf')
        self.changes: collections.deque[LoadChange] = collections.deque()

    def begin(self, instance: str) -> None:
        """Counts a request that is sent to an upstream."""
        self.own[instance] += 1
        self.note_change(instance, 1)

    def end(self, instance: str) -> None:
        """Removes a request that has ended."""
        self.own[instance] -= 1
        if not self.own[instance]:
            del self.own[instance]
        self.note_change(instance, -1)

    def note_change(self, instance: str, delta: int) -> None:
        """Records that an own request began or ended."""
        now = trio.current_time()
        self.changes.append(LoadChange(instance, now, delta))
        while self.changes[0].at < now - REPORT_LIFETIME_SECONDS:
            self.changes.popleft()
        if instance in self.reports:
            self.reports[instance].change += delta

    def note_report(self, instance: str, value: bytes) -> None:
        """Stores a load report of an upstream: running, waiting, slots."""
        parts = value.split(b',')
        if len(parts) < 2:
            return
        running = counts.parse_count(parts[0], MAX_LOAD_DIGITS)
        waiting = counts.parse_count(parts[1], MAX_LOAD_DIGITS)
        if running is None or waiting is None:
            return
        self.reports.pop(instance, None)
        self.reports[instance] = LoadReport(
            running + waiting, trio.current_time()
        )

    def note_peer_report(self, instance: str, load: int, age: float) -> None:
        """Stores a load report that another router received.

        Args:
            instance: The upstream.
            load: The reported load.
            age: Seconds since the other router received it.
        """
        at = trio.current_time() - age
        previous = self.reports.get(instance)
        if age > REPORT_LIFETIME_SECONDS or (
            previous is not None and previous.at >= at
        ):
            return
        change = sum(
            change.delta
            for change in self.changes
            if change.instance == instance and change.at > at
        )
        self.reports.pop(instance, None)
        self.reports[instance] = LoadReport(load, at, change)

    def note_peer(self, name: str, counts: Mapping[str, int]) -> None:
        """Stores the requests that a peer has at upstreams."""
        self.remove_peer(name)
        self.peers[name] = PeerLoads(counts, trio.current_time())
        self.peer_totals.update(counts)

    def remove_peer(self, name: str) -> None:
        """Removes the requests that a peer last reported."""
        previous = self.peers.pop(name, None)
        if previous is None:
            return
        for instance, count in previous.counts.items():
            self.peer_totals[instance] -= count
            if not self.peer_totals[instance]:
                del self.peer_totals[instance]

    def remove_expired(self) -> None:
        """Removes peers and reports whose lifetime has passed."""
        now = trio.current_time()
        while self.peers:
            name, oldest = next(iter(self.peers.items()))
            if now - oldest.at < PEER_LIFETIME_SECONDS:
                break
            self.remove_peer(name)
        self.oldest = now - REPORT_LIFETIME_SECONDS
        while self.reports:
            # The order is not strictly by time: a report from another router
            # arrives late, so that an expired one may stay behind a newer one.
            instance, report = next(iter(self.reports.items()))
            if report.at > self.oldest:
                break
            del self.reports[instance]

    def last_report(self, instance: str) -> LoadReport | None:
        """Returns the last report of an upstream, None if it has expired."""
        report = self.reports.get(instance)
        if report is None:
            return None
        age = trio.current_time() - report.at
        return report if age < REPORT_LIFETIME_SECONDS else None

    def load(self, instance: str) -> int:
        """Returns how many requests an upstream has."""
        self.remove_expired()
        return self.unexpired_load(instance)

    def unexpired_load(self, instance: str) -> int:
        """Returns how many requests an upstream has, expiring nothing."""
        counted = self.own.get(instance, 0) + self.peer_totals.get(instance, 0)
        report = self.reports.get(instance)
        if report is None or report.at <= self.oldest:
            return counted
        return max(counted, report.load + report.change)

    def total(self, instances: Iterable[str]) -> int:
        """Returns how many requests some upstreams have in total."""
        self.remove_expired()
        return sum(self.unexpired_load(instance) for instance in instances)


def parse_pace(value: bytes) -> int | None:
    """Returns how long work takes by a load report, None if it says nothing.

    Returns:
        The time in percent of the usual time.
    """
    parts = value.split(b',')
    if len(parts) < 4:
        return None
    percent = counts.parse_count(parts[3].strip(), MAX_PACE_DIGITS)
    if percent is None:
        return None
    if not MIN_PACE_PERCENT <= percent <= MAX_PACE_PERCENT:
        return None
    return percent
