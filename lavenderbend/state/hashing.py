"""Hashes that are the same on every router."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_HASH = 2**64


def hash64(*parts: str | bytes) -> int:
    """Returns a 64-bit hash of the parts, told apart by their lengths."""
    state = xxhash.xxh3_64()
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        state.update(len(data).to_bytes(4, 'big'))
        state.update(data)
    return state.intdigest()


def rendezvous_order(key: str | bytes, members: Iterable[str]) -> list[str]:
    """Returns the members by falling rendezvous score for the key."""
    return sorted(members, key=lambda member: (-hash64(key, member), member))


def rendezvous(key: str | bytes, members: Iterable[str]) -> str | None:
    """Returns the member with the highest score, None if there is none."""
    return min(
        members,
        key=lambda member: (-hash64(key, member), member),
        default=None,
    )


def weighted_score(key: str | bytes, member: str, weight: float) -> float:
    """Returns the weighted rendezvous score (logarithmic method)."""
    unit = (hash64(key, member) + 1) / (MAX_HASH + 1)
    return -weight / math.log(unit)
