"""The routers of one availability zone that are alive."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend.protocol import packed_rows

if TYPE_CHECKING:
    import random

# When two hundred routers each send a quarter of the others ten times a second,
# signs of life of nearly all arrive within three seconds, at 2 % message loss.
ALIVE_SECONDS = 3.0
# A packed host takes 5 bytes.
MAX_HOSTS_PER_MESSAGE = 40
# Of a router of which no message has arrived, in hundredths of a core.
DEFAULT_CAPACITY = 100
MIN_CAPACITY = 1
# A thousand cores.
MAX_CAPACITY = 100_000


def bounded_capacity(capacity: int) -> int:
    """Returns a capacity limited to what can be the weight of a router."""
    return min(max(capacity, MIN_CAPACITY), MAX_CAPACITY)


@attrs.frozen
class Membership:
    """Routers of a zone that are alive.

    Attributes:
        hosts: Their hosts by capacity, in hundredths of a core.
    """

    hosts: dict[int, list[str]]


class ZoneMembers:
    """Routers of this router's zone and the times they were last seen alive.

    Each message contains, for some routers, the time at which its sender last
    had a sign of life of them, received directly or from other routers. The
    latest sign counts, so messages may be late, duplicated or out of order. No
    router needs messages from each of the others: a sign of life spreads
    through a zone of hundreds within two seconds at a few messages a second.

    Attributes:
        host: This router.
        capacity: This router's processor in hundredths of a core.
        last_seen: Router clock of the latest sign of life, by host.
        capacities: Capacities in the routers' own messages.
        reported_capacities: Capacities that others received from routers; they
            count for a router from which no message has arrived here.
    """

    def __init__(self, host: str, capacity: int = DEFAULT_CAPACITY) -> None:
        self.host = host
        self.capacity = bounded_capacity(capacity)
        self.last_seen: dict[str, float] = {}
        self.capacities: dict[str, int] = {}
        self.reported_capacities: dict[str, int] = {}
        self.latest_membership = Membership({})
        self.changed = True
        # No router of the latest membership was seen before this time, so none
        # of them can be silent until `ALIVE_SECONDS` later.
        self.oldest_seen = math.inf

    def note(self, host: str, age: float = 0.0) -> None:
        """Records that a router gave a sign of life `age` seconds ago."""
        now = trio.current_time()
        self.note_seen(host, now - age, now)

    def note_seen(self, host: str, seen_at: float, now: float) -> None:
        """Records a sign of life; times are of the router clock."""
        if host == self.host:
            return
        previous = self.last_seen.get(host, -math.inf)
        if seen_at <= previous:
            return
        self.last_seen[host] = seen_at
        if previous < now - ALIVE_SECONDS:
            self.changed = True

    def note_capacity(
        self, host: str, capacity: int, reported: bool = False
    ) -> None:
        """Records the capacity of a router.

        Args:
            host: The router.
            capacity: In hundredths of a core.
            reported: Whether it was in a message of another router.
        """
        capacity = bounded_capacity(capacity)
        known = self.reported_capacities if reported else self.capacities
        if known.get(host) == capacity:
            return
        known[host] = capacity
        self.changed = True

    def known_capacity(self, host: str) -> int:
        """Returns the capacity of another router, the usual if unknown."""
        reported = self.reported_capacities.get(host, DEFAULT_CAPACITY)
        return self.capacities.get(host, reported)

    def set_capacity(self, capacity: int) -> None:
        """Sets the capacity of this router."""
        self.capacity = bounded_capacity(capacity)
        self.changed = True

    def merge(self, rows: bytes, capacities: bytes = b'') -> None:
        """Merges the signs of life of another router's message.

        Args:
            rows: Routers that it knows, packed.
            capacities: Capacities of the first of them, packed.
        """
        now = trio.current_time()
        known = packed_rows.unpack_capacities(capacities)
        for host, age in packed_rows.unpack_hosts(rows):
            capacity = next(known, 0)
            if age >= ALIVE_SECONDS:
                continue
            self.note_seen(host, now - age, now)
            if capacity and host != self.host:
                self.note_capacity(host, capacity, reported=True)

    def rows_to_send(self, rng: random.Random) -> tuple[bytes, bytes]:
        """Returns routers that are alive, a random sample if many, packed.

        Returns:
            Their hosts with the times of the last signs of life, and their
            capacities, if any is unusual. Only what the routers themselves
            sent: a capacity that has changed would circulate for ever.
        """
        now = trio.current_time()
        alive = self.alive()
        if len(alive) > MAX_HOSTS_PER_MESSAGE:
            alive = rng.sample(alive, MAX_HOSTS_PER_MESSAGE)
        rows = packed_rows.pack_hosts(
            (host, now - self.last_seen[host]) for host in alive
        )
        capacities = [self.capacities.get(host, 0) for host in alive]
        if not set(capacities) - {0, DEFAULT_CAPACITY}:
            return rows, b''
        return rows, packed_rows.pack_capacities(capacities)

    def alive(self) -> list[str]:
        """Returns the other routers seen within `ALIVE_SECONDS`."""
        oldest = trio.current_time() - ALIVE_SECONDS
        return [
            host
            for host, seen_at in self.last_seen.items()
            if seen_at >= oldest
        ]

    def membership(self) -> Membership:
        """Returns the routers that are alive, this one included.

        Returns the same object until a router joins, leaves, becomes silent
        or changes its capacity.
        """
        oldest = trio.current_time() - ALIVE_SECONDS
        if not self.changed and self.oldest_seen >= oldest:
            return self.latest_membership
        self.changed = False
        membership = self.count_members()
        if membership != self.latest_membership:
            self.latest_membership = membership
        return self.latest_membership

    def count_members(self) -> Membership:
        """Returns the routers that are alive by their capacity."""
        alive = self.alive()
        self.oldest_seen = min(
            map(self.last_seen.__getitem__, alive), default=math.inf
        )
        hosts = {self.capacity: [self.host]}
        for host in alive:
            hosts.setdefault(self.known_capacity(host), []).append(host)
        return Membership(hosts)

    def silent(self) -> list[str]:
        """Returns the known routers not seen within `ALIVE_SECONDS`."""
        oldest = trio.current_time() - ALIVE_SECONDS
        return [
            host for host, seen_at in self.last_seen.items() if seen_at < oldest
        ]

    def remove_expired(self, seconds: float) -> None:
        """Removes routers that were not seen for `seconds`."""
        oldest = trio.current_time() - seconds
        for host in [
            name for name, seen_at in self.last_seen.items() if seen_at < oldest
        ]:
            self.forget(host)

    def remove(self, host: str) -> None:
        """Removes a router that announced that it is stopping."""
        self.forget(host)
        self.changed = True

    def forget(self, host: str) -> None:
        """Removes all that is known of a router."""
        self.last_seen.pop(host, None)
        self.capacities.pop(host, None)
        self.reported_capacities.pop(host, None)

    def choose(self, rng: random.Random, count: int) -> list[str]:
        """Returns some routers that are alive, recently seen ones preferred.

        Of two drawn at random the more recently seen one is chosen: when many
        routers die at once, messages soon go to those that are alive.
        """
        alive = self.alive()
        if len(alive) <= count:
            return alive
        chosen: set[str] = set()
        while len(chosen) < count:
            pair = rng.sample(alive, 2)
            chosen.add(max(pair, key=self.last_seen.__getitem__))
        return sorted(chosen)
