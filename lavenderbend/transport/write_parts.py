"""Parts of a message that are written one after the other."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# A larger part costs less to write by itself than to copy, and would take up
# twice its memory until it is written.
JOINED_BYTES = 64 * 1024


def join_short(parts: Iterable[bytes]) -> list[bytes]:
    """Returns the parts without empty ones; short ones in a row are joined."""
    joined: list[bytes] = []
    short: list[bytes] = []
    for part in parts:
        if len(part) <= JOINED_BYTES:
            short.append(part)
            continue
        joined.extend((b''.join(short), part))
        short = []
    joined.append(b''.join(short))
    return [part for part in joined if part]
