"""What a part of a body counts for against a limit on its size."""

from __future__ import annotations

# Parts of a few bytes take longer to read than they take up memory: a limit on
# bytes alone would let an answer keep the router busy for seconds.
MIN_PART_BYTES = 512


def counted_size(part: bytes) -> int:
    """Returns the size of a part, or what a smaller one counts for."""
    return max(len(part), MIN_PART_BYTES)
