"""Parts of a message that are written one after the other."""

from __future__ import annotations

from lavenderbend.transport import write_parts

LARGE = bytes(write_parts.JOINED_BYTES + 1)


def test_short_parts_are_written_at_once():
    """Guards against a packet for each line of a head."""
    assert write_parts.join_short([b'a', b'', b'b']) == [b'ab']
    assert write_parts.join_short([]) == []


def test_large_part_is_not_copied():
    """Guards against a body that takes up its memory twice."""
    parts = write_parts.join_short([b'a', b'b', LARGE, b'', b'c'])
    assert parts == [b'ab', LARGE, b'c']
    assert parts[1] is LARGE
