"""Router count of the fleet, and the divisor of limits that it shares."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs
import trio

if TYPE_CHECKING:
    from collections.abc import Iterable

# A zone without a count for this long is partitioned or gone.
ZONE_COUNT_SECONDS = 10.0
# Regions lose contact for minutes. Routers that cannot reach each other must
# not divide a limit by a smaller number meanwhile.
PEAK_SECONDS = 300.0
# While routers discover each other, the count of each grows continuously.
GROWTH_SECONDS = 3.0
# Up to this growth the divisor is used: one router that joins many does not
# take their shares from them.
MAX_STABLE_GROWTH_RATIO = 1.1
MILLISECONDS_PER_SECOND = 1000


@attrs.frozen
class ZoneCount:
    """Router count of an availability zone.

    Attributes:
        routers: Number of routers.
        counted_at: Router clock at which they were counted in that zone.
    """

    routers: int
    counted_at: float


class FleetCount:
    """Number of routers by availability zone.

    The routers of a zone count each other and send other zones only the
    number, so that traffic between zones does not grow with them. The latest
    count of a zone wins.

    Attributes:
        zone: This router's zone.
        counts: Latest count by zone.
    """

    def __init__(self, zone: str) -> None:
        self.zone = zone
        self.counts: dict[str, ZoneCount] = {}

    def note(self, zone: str, routers: int, age: float = 0.0) -> None:
        """Records a zone's router count from `age` seconds ago."""
        counted_at = trio.current_time() - age
        previous = self.counts.get(zone)
        if previous is None or counted_at > previous.counted_at:
            self.counts[zone] = ZoneCount(routers, counted_at)

    def merge(self, rows: Iterable[list]) -> None:
        """Merges another router's counts of zones other than this one."""
        for zone, routers, age in rows:
            if zone != self.zone:
                self.note(zone, routers, age / MILLISECONDS_PER_SECOND)

    def rows_to_send(self) -> list[list[str | int]]:
        """Returns the counts for a message, with ages in milliseconds."""
        now = trio.current_time()
        return [
            [
                zone,
                count.routers,
                round((now - count.counted_at) * MILLISECONDS_PER_SECOND),
            ]
            for zone, count in self.recent().items()
        ]

    def recent(self) -> dict[str, ZoneCount]:
        """Returns the counts younger than `ZONE_COUNT_SECONDS`, by zone."""
        oldest = trio.current_time() - ZONE_COUNT_SECONDS
        return {
            zone: count
            for zone, count in self.counts.items()
            if count.counted_at >= oldest
        }

    def silent_zones(self) -> list[str]:
        """Returns the zones that were counted lately but are not now."""
        now = trio.current_time()
        return [
            zone
            for zone, count in self.counts.items()
            if ZONE_COUNT_SECONDS < now - count.counted_at < PEAK_SECONDS
        ]

    def size(self) -> int:
        """Returns the number of routers in all zones."""
        return sum(count.routers for count in self.recent().values())


class FleetDivisor:
    """Number of routers by which a limit of the whole fleet is divided.

    Too small a number lets the fleet exceed its limit; too large a number only
    leaves a part of it unused. The divisor is therefore 0, meaning no share at
    all, until the count has hardly grown for `GROWTH_SECONDS`, and afterwards
    the highest count of the last `PEAK_SECONDS`. Routers that died or were
    partitioned still count for that long; routers that start get this peak
    from others.

    The sum of all shares stays within the limit, at any fleet size, for all
    routers that were counted, or received the count, before a partition.
    Routers that start while they can reach only a few others, none of which
    has a higher count, divide by those few.

    Attributes:
        peaks: Counts that no later count reached, with their times.
        growths: Times within `GROWTH_SECONDS` at which the peak grew, with the
            peak before.
    """

    def __init__(self) -> None:
        self.peaks: collections.deque[tuple[float, int]] = collections.deque()
        self.growths: collections.deque[tuple[float, int]] = collections.deque()

    def note(self, size: int) -> None:
        """Records a count, made now or received from another router."""
        now = trio.current_time()
        peak = self.peak()
        if size > peak:
            self.growths.append((now, peak))
        while self.peaks and self.peaks[-1][1] <= size:
            self.peaks.pop()
        self.peaks.append((now, size))
        while self.peaks[0][0] < now - PEAK_SECONDS:
            self.peaks.popleft()

    def peak(self) -> int:
        """Returns the highest recent count, 0 if there is none."""
        return self.peaks[0][1] if self.peaks else 0

    def divisor(self) -> int:
        """Returns the number to divide by, 0 for no share."""
        oldest = trio.current_time() - GROWTH_SECONDS
        while self.growths and self.growths[0][0] < oldest:
            self.growths.popleft()
        peak = self.peak()
        if self.growths and peak > MAX_STABLE_GROWTH_RATIO * self.growths[0][1]:
            return 0
        return peak
