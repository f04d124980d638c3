"""Loads of the groups of each pool, as their owners last told them."""

from __future__ import annotations

import collections

import attrs
import trio

SUMS_SECONDS = 0.5
STALE_SECONDS = 3.0
# what the other groups' load may have fallen by since they told it
DRIFT = 0.02
# a chat that is nowhere goes to another group if this one's mean load is
# above the pool's by this factor
UNEVEN = 1.05


@attrs.frozen
class GroupSum:
    """Load of one group.

    Attributes:
        load: Requests on its upstreams.
        engines: Its upstreams.
        at: Router clock when it came.
    """

    load: int
    engines: int
    at: float

    @property
    def mean(self) -> float:
        """Mean load of an upstream."""
        return self.load / max(1, self.engines)


class PoolSums:
    """Sums of the groups of all pools, by short id of the pool."""

    def __init__(self) -> None:
        self.pools: dict[int, dict[int, GroupSum]] = collections.defaultdict(
            dict
        )

    def put(self, pool: int, index: int, load: int, engines: int) -> None:
        """Notes the load of a group."""
        now = trio.current_time()
        self.pools[pool][index] = GroupSum(load, engines, now)

    def others(self, pool: int, index: int) -> dict[int, GroupSum]:
        """Returns the fresh sums of the pool's other groups."""
        oldest = trio.current_time() - STALE_SECONDS
        return {
            other: item
            for other, item in self.pools[pool].items()
            if other != index and item.at >= oldest and item.engines > 0
        }

    def emptiest(self, pool: int, index: int) -> tuple[int, GroupSum] | None:
        """Returns the other group with the least mean load, if any."""
        others = self.others(pool, index)
        if not others:
            return None
        return min(others.items(), key=lambda row: (row[1].mean, row[0]))
