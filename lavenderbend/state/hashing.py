"""Hashes that are the same on every router."""

from __future__ import annotations

import functools
import math
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

MAX_HASH = 2**64
SHORT_SHIFT = 32
# names of upstreams and chats that are hashed again and again
MAX_FRAMED = 32_768


def hash64(*parts: str | bytes) -> int:
    """Returns a 64-bit hash of the parts, told apart by their lengths."""
    return xxhash.xxh3_64_intdigest(b''.join(map(framed, parts)))


def short_id(name: str) -> int:
    """Returns what names something in a datagram, in four bytes.

    Of 6,100 names two have the same with a chance of one in 200: only for
    what may be wrong.
    """
    return hash64(name) >> SHORT_SHIFT


@functools.lru_cache(maxsize=MAX_FRAMED)
def framed(part: str | bytes) -> bytes:
    """Returns a part behind its length."""
    data = part.encode() if isinstance(part, str) else part
    return len(data).to_bytes(4, 'big') + data


def scores(
    key: str | bytes, members: Iterable[str]
) -> Iterator[tuple[int, str]]:
    """Yields the members with what orders them, the first the least.

    A score is the `hash64` of key and member; made at once it takes a third
    of the time, 0.4 us, which 3,000 upstreams make felt.
    """
    head = framed(key)
    for member in members:
        yield -xxhash.xxh3_64_intdigest(head + framed(member)), member


def rendezvous_order(key: str | bytes, members: Iterable[str]) -> list[str]:
    """Returns the members by falling rendezvous score for the key."""
    return [member for _, member in sorted(scores(key, members))]


def rendezvous(key: str | bytes, members: Iterable[str]) -> str | None:
    """Returns the member with the highest score, None if there is none."""
    best = min(scores(key, members), default=None)
    return None if best is None else best[1]


def weighted_score(key: str | bytes, member: str, weight: float) -> float:
    """Returns the weighted rendezvous score (logarithmic method)."""
    unit = (hash64(key, member) + 1) / (MAX_HASH + 1)
    return -weight / math.log(unit)
