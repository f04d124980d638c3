"""The routers of one availability zone that are alive."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from lavenderbend.protocol import packed_rows

if TYPE_CHECKING:
    import random

# When two hundred routers each send a quarter of the others ten times a second,
# signs of life of nearly all arrive within three seconds, at 2 % message loss.
ALIVE_SECONDS = 3.0
# A packed host takes 5 bytes.
MAX_HOSTS_PER_MESSAGE = 40


class ZoneMembers:
    """Routers of this router's zone and the times they were last seen alive.

    Each message contains, for some routers, the time at which its sender last
    had a sign of life of them, received directly or from other routers. The
    latest sign counts, so messages may be late, duplicated or out of order. No
    router needs messages from each of the others: a sign of life spreads
    through a zone of hundreds within two seconds at a few messages a second.

    Attributes:
        host: This router.
        last_seen: Router clock of the latest sign of life, by host.
    """

    def __init__(self, host: str) -> None:
        self.host = host
        self.last_seen: dict[str, float] = {}

    def note(self, host: str, age: float = 0.0) -> None:
        """Records that a router gave a sign of life `age` seconds ago."""
        if host == self.host:
            return
        seen_at = trio.current_time() - age
        if seen_at > self.last_seen.get(host, float('-inf')):
            self.last_seen[host] = seen_at

    def merge(self, rows: bytes) -> None:
        """Merges the signs of life of another router's message."""
        for host, age in packed_rows.unpack_hosts(rows):
            if age < ALIVE_SECONDS:
                self.note(host, age)

    def rows_to_send(self, rng: random.Random) -> bytes:
        """Returns routers that are alive, a random sample if many, packed."""
        now = trio.current_time()
        alive = self.alive()
        if len(alive) > MAX_HOSTS_PER_MESSAGE:
            alive = rng.sample(alive, MAX_HOSTS_PER_MESSAGE)
        return packed_rows.pack_hosts(
            (host, now - self.last_seen[host]) for host in alive
        )

    def alive(self) -> list[str]:
        """Returns the other routers seen within `ALIVE_SECONDS`."""
        oldest = trio.current_time() - ALIVE_SECONDS
        return [
            host
            for host, seen_at in self.last_seen.items()
            if seen_at >= oldest
        ]

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
            del self.last_seen[host]

    def remove(self, host: str) -> None:
        """Removes a router that announced that it is stopping."""
        self.last_seen.pop(host, None)

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
