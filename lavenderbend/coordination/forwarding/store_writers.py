"""Which router writes to the store what any of them could."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lavenderbend.coordination.forwarding import snapshots

# Each router waits for those before it in the order of store reads, so that
# usually one writes: what it wrote reaches the next one within this time.
POSITION_SECONDS = 2.0
MAX_POSITION_SECONDS = 20.0
# The same for a write that is urgent: several routers may write.
URGENT_POSITION_SECONDS = 0.25


def wait_seconds(
    followed: snapshots.Snapshots, each: float = POSITION_SECONDS
) -> float:
    """Returns for how long a router leaves a write to others.

    Args:
        followed: Knows the order of store reads.
        each: Wait for each router before it in that order, in seconds.
    """
    return min(each * followed.read_position(), MAX_POSITION_SECONDS)
