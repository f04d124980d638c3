"""How many routers there are, and by how many what they share is divided."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs
import trio

if TYPE_CHECKING:
    from collections.abc import Iterable

# a zone that nothing was heard of for so long is cut off or gone
ZONE_SECONDS = 10.0
# regions lose each other for minutes; those who cannot see each other must
# not divide among fewer meanwhile
HOLD_SECONDS = 300.0
# while routers find each other, each counts more every moment
SETTLE_SECONDS = 3.0
# one router that joins many takes no part from them
SMALL_GROWTH = 1.1
MILLISECONDS = 1000


@attrs.frozen
class ZoneCount:
    """How many routers a zone had.

    Attributes:
        routers: Their number.
        at: Router clock at which it was counted there.
    """

    routers: int
    at: float


class FleetCount:
    """Routers by availability zone.

    Routers of a zone count each other and tell the other zones only their
    number: what passes between zones does not grow with them. The latest
    count of a zone wins.

    Attributes:
        zone: This router's zone.
        counts: By zone.
    """

    def __init__(self, zone: str) -> None:
        self.zone = zone
        self.counts: dict[str, ZoneCount] = {}

    def note(self, zone: str, routers: int, age: float = 0.0) -> None:
        """Notes how many a zone had so many seconds ago."""
        at = trio.current_time() - age
        known = self.counts.get(zone)
        if known is None or at > known.at:
            self.counts[zone] = ZoneCount(routers, at)

    def take(self, rows: Iterable[list]) -> None:
        """Takes in what another router tells of other zones."""
        for zone, routers, age in rows:
            if zone != self.zone:
                self.note(zone, routers, age / MILLISECONDS)

    def told(self) -> list[list[str | int]]:
        """Returns what others are told."""
        now = trio.current_time()
        return [
            [zone, one.routers, round((now - one.at) * MILLISECONDS)]
            for zone, one in self.known().items()
        ]

    def known(self) -> dict[str, ZoneCount]:
        """Returns the zones that were heard of lately."""
        oldest = trio.current_time() - ZONE_SECONDS
        return {
            zone: one for zone, one in self.counts.items() if one.at >= oldest
        }

    def size(self) -> int:
        """Returns how many routers there are."""
        return sum(one.routers for one in self.known().values())


class FleetBound:
    """By how many routers a limit of the whole fleet is divided.

    Too small a number lets the fleet pass its limit; too large a one only
    leaves a part of it unused. So the number is 0, for no part at all, until
    the count has hardly grown for a while, and afterwards the most that was
    counted in some minutes. Routers that died or are cut off count on for
    that long; those that start are told of it by others.

    The sum of all parts holds at any size for all that were counted, or told
    of it, before a cut. Routers that start while they can reach but few
    others, and none that knows better, divide by those few.

    Attributes:
        peaks: Counts that no later one reached, and when each was noted.
        growths: When the most grew lately, and what it was before.
    """

    def __init__(self) -> None:
        self.peaks: collections.deque[tuple[float, int]] = collections.deque()
        self.growths: collections.deque[tuple[float, int]] = collections.deque()

    def note(self, size: int) -> None:
        """Notes how many routers are counted now, or were by another."""
        now = trio.current_time()
        most = self.most()
        if size > most:
            self.growths.append((now, most))
        while self.peaks and self.peaks[-1][1] <= size:
            self.peaks.pop()
        self.peaks.append((now, size))
        while self.peaks[0][0] < now - HOLD_SECONDS:
            self.peaks.popleft()

    def most(self) -> int:
        """Returns the most that was counted lately, 0 for nothing."""
        return self.peaks[0][1] if self.peaks else 0

    def parts(self) -> int:
        """Returns by how many to divide, 0 for no part."""
        oldest = trio.current_time() - SETTLE_SECONDS
        while self.growths and self.growths[0][0] < oldest:
            self.growths.popleft()
        most = self.most()
        if self.growths and most > SMALL_GROWTH * self.growths[0][1]:
            return 0
        return most
