"""Where chats have their places among the upstreams of a service."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

import attrs

from lavenderbend.state import hashing

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

# a hash for each of so many upstreams costs a request little
MAX_GROUP = 256
HASH_BITS = 64


@attrs.frozen
class Group:
    """Upstreams that are few enough to be ordered one by one.

    Attributes:
        names: Their instances.
    """

    names: tuple[str, ...]

    @property
    def size(self) -> int:
        """How many there are."""
        return len(self.names)

    def order(self, key: str) -> Iterator[str]:
        """Yields the upstreams, the one that a chat prefers first."""
        # most requests need the first one only
        scored = list(hashing.scores(key, self.names))
        heapq.heapify(scored)
        while scored:
            yield heapq.heappop(scored)[1]


@attrs.frozen
class Halves:
    """Many upstreams, parted by one bit of their hashes.

    Attributes:
        label: Names the parting in hashes.
        parts: Those without the bit and those with it.
    """

    label: str
    parts: tuple[Group | Halves, Group | Halves]

    @property
    def size(self) -> int:
        """How many there are."""
        return sum(part.size for part in self.parts)

    def order(self, key: str) -> Iterator[str]:
        """Yields the upstreams, the one that a chat prefers first."""
        first, second = self.parts
        if self.score(key, second, '1') > self.score(key, first, '0'):
            first, second = second, first
        yield from first.order(key)
        yield from second.order(key)

    def score(self, key: str, part: Group | Halves, bit: str) -> float:
        """Returns how much a chat prefers a part, by its size."""
        if not part.size:
            return float('-inf')
        return hashing.weighted_score(key, self.label + bit, part.size)


class Places:
    """The upstreams of a service, in the order in which a chat prefers them.

    The order is by rendezvous hashing: the same on all routers, and of a
    change of upstreams only those chats move that must. With thousands of
    upstreams one hash for each would be most of a request's cost. They are
    parted in halves until few are left, and a chat chooses a half, weighted
    by the halves' sizes, at each parting. Few chats move where a group is
    parted anew, and none elsewhere.

    Attributes:
        names: Instances of the upstreams.
        sample: Some of them if they are many, to judge their mean load by.
        root: The same as `names`, parted.
    """

    def __init__(self, names: Iterable[str]) -> None:
        self.names = frozenset(names)
        ordered = sorted(self.names)
        self.sample = tuple(ordered[:: len(ordered) // MAX_GROUP + 1])
        self.root = parted(ordered, '')

    def order(self, key: str) -> Iterator[str]:
        """Yields the upstreams, the one that a chat prefers first."""
        return self.root.order(key)

    def first(self, key: str) -> str | None:
        """Returns the upstream that a chat prefers, None if there is none."""
        return next(self.order(key), None)


def parted(names: list[str], label: str) -> Group | Halves:
    """Returns upstreams in groups.

    Args:
        names: The upstreams.
        label: The bits by which they were parted so far.
    """
    if len(names) <= MAX_GROUP or len(label) == HASH_BITS:
        return Group(tuple(names))
    mask = 1 << len(label)
    without = [name for name in names if not hashing.hash64(name) & mask]
    having = [name for name in names if hashing.hash64(name) & mask]
    return Halves(
        label, (parted(without, label + '0'), parted(having, label + '1'))
    )
