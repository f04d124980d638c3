"""Preference orders of chats among the upstreams of a service."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

import attrs

from lavenderbend.state import hashing

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

# Computing one hash for each of this many upstreams adds little to the cost of
# a request.
MAX_LEAF_UPSTREAMS = 256
HASH_BITS = 64


@attrs.frozen
class Leaf:
    """Upstreams that are few enough to be hashed one by one.

    Attributes:
        names: Their instances.
    """

    names: tuple[str, ...]

    @property
    def size(self) -> int:
        """Number of upstreams."""
        return len(self.names)

    def order(self, key: str) -> Iterator[str]:
        """Yields the upstreams in a chat's order, the preferred one first."""
        # A heap instead of a sort: most requests only need the first one.
        scored = list(hashing.sort_keys(key, self.names))
        heapq.heapify(scored)
        while scored:
            yield heapq.heappop(scored)[1]


@attrs.frozen
class Branch:
    """Upstreams split in two by one bit of their hashes.

    Attributes:
        label: Identifies the split in hashes.
        halves: Those without the bit and those with it.
    """

    label: str
    halves: tuple[Leaf | Branch, Leaf | Branch]

    @property
    def size(self) -> int:
        """Number of upstreams."""
        return sum(half.size for half in self.halves)

    def order(self, key: str) -> Iterator[str]:
        """Yields the upstreams in a chat's order, the preferred one first."""
        first, second = self.halves
        if self.score(key, second, '1') > self.score(key, first, '0'):
            first, second = second, first
        yield from first.order(key)
        yield from second.order(key)

    def score(self, key: str, half: Leaf | Branch, bit: str) -> float:
        """Returns a chat's score of a half, weighted by its size."""
        if not half.size:
            return float('-inf')
        return hashing.weighted_score(key, self.label + bit, half.size)


class RendezvousTree:
    """The upstreams of a service, ordered for each chat by preference.

    The order is by rendezvous hashing: it is the same on all routers, and when
    upstreams come or go only the chats that must move do. With thousands of
    upstreams one hash for each would be most of a request's cost, so they are
    split in halves until few are left, and at each split a chat prefers one
    half, weighted by the sizes of the halves. When a leaf has to be split, few
    chats of the service move, and none of those in other leaves.

    Attributes:
        names: Instances of the upstreams.
        sample: Instances to estimate the mean load from: all of them, or an
            even selection if they are many.
        root: The tree over `names`.
    """

    def __init__(self, names: Iterable[str]) -> None:
        self.names = frozenset(names)
        ordered = sorted(self.names)
        self.sample = tuple(ordered[:: len(ordered) // MAX_LEAF_UPSTREAMS + 1])
        self.root = build_tree(ordered, '')

    def order(self, key: str) -> Iterator[str]:
        """Yields the upstreams in a chat's order, the preferred one first."""
        return self.root.order(key)

    def first(self, key: str) -> str | None:
        """Returns a chat's preferred upstream, None if there is none."""
        return next(self.order(key), None)


def build_tree(names: list[str], label: str) -> Leaf | Branch:
    """Splits upstreams by bits of their hashes until the groups are small.

    Args:
        names: The upstreams.
        label: The bits by which they were split so far.
    """
    if len(names) <= MAX_LEAF_UPSTREAMS or len(label) == HASH_BITS:
        return Leaf(tuple(names))
    mask = 1 << len(label)
    without = [name for name in names if not hashing.hash64(name) & mask]
    having = [name for name in names if hashing.hash64(name) & mask]
    return Branch(
        label,
        (build_tree(without, label + '0'), build_tree(having, label + '1')),
    )
