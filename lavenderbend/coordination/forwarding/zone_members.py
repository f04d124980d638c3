"""Which routers of one availability zone are alive."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from lavenderbend.protocol import packed_rows

if TYPE_CHECKING:
    import random

# two hundred routers that each tell a quarter of the others ten times a second
# have nearly all been heard of within three seconds, with 2 % loss
HEARD_SECONDS = 3.0
# in one message: 5 bytes each
MAX_TOLD = 40


class ZoneMembers:
    """Routers of this router's zone, and when each was last heard of.

    Each message tells when its sender last had a sign of life of some
    routers, its own or told by others. The latest sign counts, so that
    messages may come late, twice or in any order. No router has to hear each
    of the others itself: a sign passes through a zone of hundreds within two
    seconds at a few messages a second.

    Attributes:
        host: This router.
        heard: Router clock of the latest sign of life, by host.
    """

    def __init__(self, host: str) -> None:
        self.host = host
        self.heard: dict[str, float] = {}

    def note(self, host: str, age: float = 0.0) -> None:
        """Notes that a router gave a sign of life so many seconds ago."""
        if host == self.host:
            return
        at = trio.current_time() - age
        if at > self.heard.get(host, float('-inf')):
            self.heard[host] = at

    def take(self, rows: bytes) -> None:
        """Takes in what another router heard."""
        for host, age in packed_rows.unpack_heard(rows):
            if age < HEARD_SECONDS:
                self.note(host, age)

    def told(self, rng: random.Random) -> bytes:
        """Returns what others are told, some at random if there are many."""
        now = trio.current_time()
        alive = self.alive()
        if len(alive) > MAX_TOLD:
            alive = rng.sample(alive, MAX_TOLD)
        return packed_rows.pack_heard(
            (host, now - self.heard[host]) for host in alive
        )

    def alive(self) -> list[str]:
        """Returns the other routers that gave a sign of life lately."""
        oldest = trio.current_time() - HEARD_SECONDS
        return [host for host, at in self.heard.items() if at >= oldest]

    def silent(self) -> list[str]:
        """Returns those that did not, and are not forgotten yet."""
        oldest = trio.current_time() - HEARD_SECONDS
        return [host for host, at in self.heard.items() if at < oldest]

    def forget(self, seconds: float) -> None:
        """Forgets those that were not heard of for so long."""
        oldest = trio.current_time() - seconds
        for host in [one for one, at in self.heard.items() if at < oldest]:
            del self.heard[host]

    def drop(self, host: str) -> None:
        """Forgets a router that says that it leaves."""
        self.heard.pop(host, None)

    def choose(self, rng: random.Random, count: int) -> list[str]:
        """Returns some that are alive, those heard lately more likely.

        Of two drawn at random the one that was heard later is taken: when
        many die at once, messages soon go to those that live.
        """
        alive = self.alive()
        if len(alive) <= count:
            return alive
        chosen: set[str] = set()
        while len(chosen) < count:
            pair = rng.sample(alive, 2)
            chosen.add(max(pair, key=self.heard.__getitem__))
        return sorted(chosen)
