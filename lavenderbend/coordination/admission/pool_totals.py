"""Load totals of the groups of each pool, as last sent by their owners."""

from __future__ import annotations

import collections

import attrs
import trio

SEND_INTERVAL_SECONDS = 0.5
STALE_SECONDS = 3.0
# part of the other groups' load that may have ended since they sent it
ENDED_FRACTION = 0.02
# A chat without a place is redirected to another group if this group's mean
# load exceeds the pool's by this factor.
IMBALANCE_FACTOR = 1.05


@attrs.frozen
class GroupTotal:
    """Load total of one group.

    Attributes:
        load: Requests on its upstreams.
        engines: Number of its upstreams.
        received_at: Router clock at which it arrived.
    """

    load: int
    engines: int
    received_at: float

    @property
    def mean(self) -> float:
        """Mean load of an upstream."""
        return self.load / max(1, self.engines)


class PoolTotals:
    """Load totals of the groups of all pools.

    Attributes:
        pools: Totals by group index, by short id of the pool.
    """

    def __init__(self) -> None:
        self.pools: dict[int, dict[int, GroupTotal]] = collections.defaultdict(
            dict
        )

    def put(self, pool: int, index: int, load: int, engines: int) -> None:
        """Stores the load total of a group."""
        now = trio.current_time()
        self.pools[pool][index] = GroupTotal(load, engines, now)

    def others(self, pool: int, index: int) -> dict[int, GroupTotal]:
        """Returns the recent totals of the pool's other groups."""
        oldest = trio.current_time() - STALE_SECONDS
        return {
            other: total
            for other, total in self.pools[pool].items()
            if other != index
            and total.received_at >= oldest
            and total.engines > 0
        }

    def least_loaded(
        self, pool: int, index: int
    ) -> tuple[int, GroupTotal] | None:
        """Returns the other group with the lowest mean load, if any."""
        others = self.others(pool, index)
        if not others:
            return None
        return min(others.items(), key=lambda row: (row[1].mean, row[0]))
