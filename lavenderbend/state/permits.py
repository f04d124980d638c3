"""Live permits of a group of upstreams, joined with lagging reports."""

from __future__ import annotations

import collections

import attrs

# a report's time is known to about a round trip; a request on its way to
# the engine or an answer on its way back must not count as foreign load
REPORT_SLACK_SECONDS = 0.05
RELEASED_SECONDS = 15.0


@attrs.frozen
class LivePermit:
    """A permit that has not been given back.

    Attributes:
        entry: Router that uses it.
        number: The entry's number for it.
        upstream: VM id.
        granted_at: Owner clock.
        customer: Short id of its customer, 0 if unknown.
        suspect_chat: Chat of a request that was on an upstream that died.
    """

    entry: str
    number: int
    upstream: str
    granted_at: float
    customer: int = 0
    suspect_chat: int | None = None


@attrs.frozen
class Seen:
    """A report joined with the permits at the time it was taken.

    Attributes:
        at: Owner clock at which the report was taken.
        load: Load in the report, at least `own`.
        own: Permits of this owner that were live then.
        reported: Load in the report.
    """

    at: float
    load: int
    own: int
    reported: int = 0

    @property
    def foreign(self) -> int:
        """Load that came from elsewhere: other owners, degraded entries."""
        return self.load - self.own


class PermitTable:
    """Live permits by upstream and entry.

    The load of an upstream is the permits that are live now, plus what its
    last report shows above the permits that were live when it was taken.
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
        self.seen: dict[str, Seen] = {}

    def get(self, entry: str, number: int) -> LivePermit | None:
        """Returns the live permit of that number, if there is one."""
        return self.permits.get((entry, number))

    def add(self, permit: LivePermit) -> None:
        """Adds a live permit."""
        key = (permit.entry, permit.number)
        if key in self.permits:
            return
        self.permits[key] = permit
        self.numbers[permit.entry].add(permit.number)
        self.live[permit.upstream][key] = permit

    def remove(self, entry: str, number: int, now: float) -> LivePermit | None:
        """Removes a permit; returns it, None if it is not live."""
        permit = self.permits.get((entry, number))
        if permit is None:
            return None
        self.discard(permit)
        released = self.released[permit.upstream]
        released.append((permit.granted_at, now))
        while released[0][1] < now - RELEASED_SECONDS:
            released.popleft()
        return permit

    def discard(self, permit: LivePermit) -> None:
        """Drops a permit that was not live any more at the last report."""
        key = (permit.entry, permit.number)
        del self.permits[key]
        del self.live[permit.upstream][key]
        numbers = self.numbers[permit.entry]
        numbers.discard(permit.number)
        if not numbers:
            del self.numbers[permit.entry]

    def count_before(self, entry: str, at: float) -> int:
        """Returns how many of an entry's permits were granted before a time.

        Args:
            entry: The entry.
            at: Owner clock.
        """
        return sum(
            self.permits[entry, number].granted_at < at
            for number in self.numbers.get(entry, ())
        )

    def running_at(self, upstream: str, at: float) -> list[LivePermit]:
        """Returns live permits whose requests had reached an upstream then.

        Args:
            upstream: VM id.
            at: Owner clock.
        """
        before = at - REPORT_SLACK_SECONDS
        return [
            permit
            for permit in self.live[upstream].values()
            if permit.granted_at < before
        ]

    def digest(self, entry: str) -> tuple[int, int]:
        """Returns the number of an entry's permits and their digest."""
        numbers = self.numbers.get(entry, ())
        return len(numbers), digest(numbers)

    def join(self, upstream: str, at: float, load: int) -> None:
        """Joins the upstream's last report.

        Args:
            upstream: VM id.
            at: Owner clock at which the report was taken.
            load: Load that it gives.
        """
        own = 0
        after = at + REPORT_SLACK_SECONDS
        before = at - REPORT_SLACK_SECONDS
        for permit in self.live[upstream].values():
            own += permit.granted_at <= after
        for granted_at, released_at in self.released[upstream]:
            own += granted_at <= after and released_at >= before
        self.seen[upstream] = Seen(at, max(load, own), own, load)

    def forget(self, upstream: str) -> None:
        """Forgets the report of an upstream."""
        self.seen.pop(upstream, None)

    def own(self, upstream: str) -> int:
        """Returns how many permits of the upstream are live."""
        return len(self.live[upstream])

    def load(self, upstream: str) -> int:
        """Returns the load of the upstream as far as it is known."""
        seen = self.seen.get(upstream)
        foreign = seen.foreign if seen is not None else 0
        return len(self.live[upstream]) + foreign

    def growth(self, upstream: str) -> int:
        """Returns the permits added since the last report, net."""
        seen = self.seen.get(upstream)
        own = seen.own if seen is not None else 0
        return len(self.live[upstream]) - own


def digest(numbers: set[int] | tuple[int, ...]) -> int:
    """Returns the exclusive or of the numbers."""
    value = 0
    for number in numbers:
        value ^= number
    return value
