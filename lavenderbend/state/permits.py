"""Live permits of a group of upstreams, combined with delayed load reports."""

from __future__ import annotations

import collections

import attrs

# The time of a report is known only to within about a round trip. Requests in
# transit to the engine and answers in transit back must not be counted as
# load from other owners.
REPORT_SLACK_SECONDS = 0.05
# Time for which released permits are retained to be matched with reports.
RELEASED_RETENTION_SECONDS = 15.0


@attrs.frozen
class LivePermit:
    """A permit that has not been released.

    Attributes:
        entry: Entry router that uses it.
        number: Number that the entry router gave it.
        upstream: VM id.
        granted_at: Time of the grant, by the owner's clock.
        customer: Short id of its customer, 0 if unknown.
        suspect_chat: Chat of the request if it was running on an upstream
            that crashed, else None.
    """

    entry: str
    number: int
    upstream: str
    granted_at: float
    customer: int = 0
    suspect_chat: int | None = None


@attrs.frozen
class MatchedReport:
    """A load report with the number of permits live when it was made.

    Attributes:
        at: Time of the report, by the owner's clock.
        load: Reported load, but at least `own`.
        own: Permits of this owner that were live at that time.
        reported: Reported load.
    """

    at: float
    load: int
    own: int
    reported: int = 0

    @property
    def foreign(self) -> int:
        """Load from other owners and from entry routers in degraded mode."""
        return self.load - self.own


class PermitTable:
    """Live permits by upstream and entry router.

    The load of an upstream is the number of permits that are live now, plus
    the excess of its last reported load over the permits that were live when
    the report was made.
    """

    def __init__(self) -> None:
        self.permits: dict[tuple[str, int], LivePermit] = {}
        self.numbers: dict[str, set[int]] = collections.defaultdict(set)
        self.live: dict[str, dict[tuple[str, int], LivePermit]] = (
            collections.defaultdict(dict)
        )
        self.released: dict[str, collections.deque[tuple[float, float]]] = (
            collections.defaultdict(collections.deque)
        )
        self.reports: dict[str, MatchedReport] = {}

    def get(self, entry: str, number: int) -> LivePermit | None:
        """Returns the live permit with a number, None if there is none."""
        return self.permits.get((entry, number))

    def add(self, permit: LivePermit) -> None:
        """Adds a live permit, unless it is already present."""
        key = (permit.entry, permit.number)
        if key in self.permits:
            return
        self.permits[key] = permit
        self.numbers[permit.entry].add(permit.number)
        self.live[permit.upstream][key] = permit

    def remove(self, entry: str, number: int, now: float) -> LivePermit | None:
        """Removes a permit and returns it; returns None if it is not live.

        It is still counted by `join` for reports made before its release.
        """
        permit = self.permits.get((entry, number))
        if permit is None:
            return None
        self.discard(permit)
        released = self.released[permit.upstream]
        released.append((permit.granted_at, now))
        while released[0][1] < now - RELEASED_RETENTION_SECONDS:
            released.popleft()
        return permit

    def discard(self, permit: LivePermit) -> None:
        """Removes a permit that was no longer live at the last report."""
        key = (permit.entry, permit.number)
        del self.permits[key]
        del self.live[permit.upstream][key]
        numbers = self.numbers[permit.entry]
        numbers.discard(permit.number)
        if not numbers:
            del self.numbers[permit.entry]

    def count_before(self, entry: str, at: float) -> int:
        """Returns how many permits of an entry were granted before a time.

        Args:
            entry: The entry router.
            at: The time, by the owner's clock.
        """
        return sum(
            self.permits[entry, number].granted_at < at
            for number in self.numbers.get(entry, ())
        )

    def running_at(self, upstream: str, at: float) -> list[LivePermit]:
        """Returns the live permits whose requests had reached an upstream.

        Args:
            upstream: VM id.
            at: Time by which they had reached it, by the owner's clock.
        """
        before = at - REPORT_SLACK_SECONDS
        return [
            permit
            for permit in self.live[upstream].values()
            if permit.granted_at < before
        ]

    def digest(self, entry: str) -> tuple[int, int]:
        """Returns the count and the digest of an entry router's permits."""
        numbers = self.numbers.get(entry, ())
        return len(numbers), digest(numbers)

    def join(self, upstream: str, at: float, load: int) -> None:
        """Matches an upstream's last report with the permits live at its time.

        Args:
            upstream: VM id.
            at: Time of the report, by the owner's clock.
            load: Reported load.
        """
        own = 0
        after = at + REPORT_SLACK_SECONDS
        before = at - REPORT_SLACK_SECONDS
        for permit in self.live[upstream].values():
            own += permit.granted_at <= after
        for granted_at, released_at in self.released[upstream]:
            own += granted_at <= after and released_at >= before
        self.reports[upstream] = MatchedReport(at, max(load, own), own, load)

    def remove_report(self, upstream: str) -> None:
        """Removes the report of an upstream."""
        self.reports.pop(upstream, None)

    def remove_idle(self, now: float) -> None:
        """Removes upstreams that have no live or retained permits."""
        oldest = now - RELEASED_RETENTION_SECONDS
        for upstream, live in list(self.live.items()):
            released = self.released.get(upstream)
            if live or (released and released[-1][1] >= oldest):
                continue
            del self.live[upstream]
            self.released.pop(upstream, None)
            self.reports.pop(upstream, None)

    def own(self, upstream: str) -> int:
        """Returns how many permits of the upstream are live."""
        return len(self.live[upstream])

    def load(self, upstream: str) -> int:
        """Returns the load of the upstream, estimated from its last report."""
        report = self.reports.get(upstream)
        foreign = report.foreign if report is not None else 0
        return len(self.live[upstream]) + foreign

    def growth(self, upstream: str) -> int:
        """Returns the net number of permits added since the last report."""
        report = self.reports.get(upstream)
        own = report.own if report is not None else 0
        return len(self.live[upstream]) - own


def digest(numbers: set[int] | tuple[int, ...]) -> int:
    """Returns the digest of permit numbers: their exclusive or."""
    value = 0
    for number in numbers:
        value ^= number
    return value
