"""Counts the crashes at which a prompt part was."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs
import trio

if TYPE_CHECKING:
    from collections.abc import Iterable

# Crashes this close to each other count as one: upstreams that lose power
# together crash of no request.
MOMENT_SECONDS = 0.25
MOMENTS_TO_BLAME = 3
# So many upstreams are enough however close their crashes are.
CRASHES_TO_BLAME = 5
COUNT_SECONDS = 120.0
# Above this the parts are forgotten that were at no crash for longest.
MAX_PARTS = 1024
# Above this the earliest crashes of a part are forgotten.
MAX_CRASHES = 8


@attrs.define
class Crash:
    """A crash at which a part was.

    Attributes:
        at: Router clock of the crash.
        beside: Other parts of the requests with which it was there.
    """

    at: float
    beside: set[int] = attrs.field(factory=set)


class CrashCounts:
    """The crashes at which parts were, as far as they were told here.

    Attributes:
        by_part: Crashes by upstream, by part; the part of the latest report is
            the last.
    """

    def __init__(self) -> None:
        self.by_part: collections.OrderedDict[int, dict[int, Crash]] = (
            collections.OrderedDict()
        )

    def note(
        self, part: int, upstream: int, at: float, beside: Iterable[int] = ()
    ) -> None:
        """Records that a part was at an upstream's crash.

        Args:
            part: Key of the part.
            upstream: Short id of the upstream.
            at: Router clock of the crash.
            beside: Other parts of the request.
        """
        crashes = self.by_part.setdefault(part, {})
        self.by_part.move_to_end(part)
        crash = crashes.setdefault(upstream, Crash(at))
        crash.beside.update(beside)
        if len(crashes) > MAX_CRASHES:
            del crashes[min(crashes, key=lambda name: crashes[name].at)]
        if len(self.by_part) > MAX_PARTS:
            self.by_part.popitem(last=False)

    def blamed_since(self, part: int) -> float | None:
        """Returns the first of the crashes that suffice to blame a part.

        Returns:
            Its router clock, None if the crashes do not suffice.
        """
        oldest = trio.current_time() - COUNT_SECONDS
        crashes = sorted(
            crash.at
            for crash in self.by_part.get(part, {}).values()
            if crash.at > oldest
        )
        if (
            len(crashes) >= CRASHES_TO_BLAME
            or moments(crashes) >= MOMENTS_TO_BLAME
        ):
            return crashes[0]
        return None

    def explained_by(self, part: int) -> int | None:
        """Returns a part that was beside this one at all of its crashes."""
        crashes = self.by_part.get(part, {}).values()
        beside = [crash.beside for crash in crashes]
        return min(set.intersection(*beside), default=None) if beside else None

    def clear(self, part: int, until: float) -> None:
        """Removes the crashes of a part up to a success."""
        crashes = self.by_part.get(part, {})
        later = {
            name: crash for name, crash in crashes.items() if crash.at > until
        }
        if later:
            self.by_part[part] = later
        else:
            self.by_part.pop(part, None)

    def remove_expired(self) -> None:
        """Removes the crashes that count no more."""
        oldest = trio.current_time() - COUNT_SECONDS
        for part in list(self.by_part):
            self.clear(part, oldest)


def moments(times: list[float]) -> int:
    """Returns the number of times that are MOMENT_SECONDS apart, sorted."""
    count = 0
    last = float('-inf')
    for at in times:
        if at - last >= MOMENT_SECONDS:
            count += 1
            last = at
    return count
