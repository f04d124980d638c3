"""The order in which routers read the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lavenderbend.state import hashing

if TYPE_CHECKING:
    from collections.abc import Iterable

# Delay from one position to the next. The result of a read reaches nearly all
# routers within this time.
POSITION_SECONDS = 0.25
# Makes short delays rare: with evenly drawn delays some routers of a large
# fleet would read before the first one's proof of freshness has reached them.
DELAY_EXPONENT = 1 / 3
ORDER_KEY = 'reads the store'


def position(
    host: str, neighbours: Iterable[str], zone: str, zones: Iterable[str]
) -> int:
    """Returns a router's position in the order of reading the store.

    One read serves all routers, so a single one reads as long as it can. All
    routers compute the same order by rendezvous hashing, without messages; the
    first routers of all zones come before the second ones. A router reads only
    if, when its delay is over, none of those before it has sent a proof that it
    read. Where routers disagree on which of them are alive, the store is read
    once more than needed.

    Args:
        host: The router.
        neighbours: The other routers of its zone that are alive.
        zone: Its zone.
        zones: All known zones.
    """
    hosts = hashing.rendezvous_order(ORDER_KEY, {host, *neighbours})
    ordered = hashing.rendezvous_order(ORDER_KEY, {zone, *zones})
    return hosts.index(host) * len(ordered) + ordered.index(zone)


def wait_seconds(
    own_position: int, max_seconds: float, random_fraction: float
) -> float:
    """Returns how long a router waits for others to read first.

    Args:
        own_position: Its position in the order.
        max_seconds: Upper bound of the wait, also for the last router.
        random_fraction: Uniform random number from 0 to 1.
    """
    delay = own_position * POSITION_SECONDS
    if delay < max_seconds:
        return delay
    return max_seconds * random_fraction**DELAY_EXPONENT
