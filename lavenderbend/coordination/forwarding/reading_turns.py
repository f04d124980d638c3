"""Which router reads the store next."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lavenderbend.state import hashing

if TYPE_CHECKING:
    from collections.abc import Iterable

# what a read shows reaches nearly all routers within this time
TURN_SECONDS = 0.25
# draws few short times: drawn evenly, some routers of a large fleet would read
# before the first one's proof has reached them
LATE_EXPONENT = 1 / 3
ORDER = 'reads the store'


def place(
    host: str, neighbours: Iterable[str], zone: str, zones: Iterable[str]
) -> int:
    """Returns a router's place in the order of who reads the store.

    One read serves all, so that one router reads while it can. All routers
    order themselves alike by hashes, without a word; the first of each zone
    come before the second ones. Each reads only if those before it have not
    proved by its turn that they did. Where they disagree on who is alive, the
    store is read once more than needed.

    Args:
        host: The router.
        neighbours: The other routers of its zone that are alive.
        zone: Its zone.
        zones: All zones that are known.
    """
    hosts = hashing.rendezvous_order(ORDER, {host, *neighbours})
    ordered = hashing.rendezvous_order(ORDER, {zone, *zones})
    return hosts.index(host) * len(ordered) + ordered.index(zone)


def wait_seconds(own_place: int, most: float, drawn: float) -> float:
    """Returns how long a router lets others read before it.

    Args:
        own_place: Its place in the order.
        most: Seconds by which each router has had its turn.
        drawn: Even random number from 0 to 1.
    """
    turn = own_place * TURN_SECONDS
    if turn < most:
        return turn
    return most * drawn**LATE_EXPONENT
