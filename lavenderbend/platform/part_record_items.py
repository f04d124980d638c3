"""Items of the platform's store on prompt parts that crash upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lavenderbend.state import forwarding

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping

# A key with this prefix and the key of a part in sixteen hexadecimal digits.
PREFIX = 'crashing-parts/'
PART_DIGITS = 16
MAX_STRIKE_DIGITS = 4


def part_records(
    items: Mapping[str, forwarding.RawItem],
) -> dict[int, forwarding.PartRecord]:
    """Returns the records among the items of the store, by part.

    Items of other programs are left out.
    """
    return {
        int(name, 16): forwarding.PartRecord(item.revision, int(item.value))
        for name, item in named_items(items)
        if is_record(name, item.value)
    }


def named_items(
    items: Mapping[str, forwarding.RawItem],
) -> Iterator[tuple[str, forwarding.RawItem]]:
    """Yields the items with the prefix, by the rest of their keys."""
    for name, item in items.items():
        if name.startswith(PREFIX):
            yield name[len(PREFIX) :], item


def is_record(name: str, value: bytes) -> bool:
    """Returns whether an item has the form of a record."""
    digits = set(name) <= set('0123456789abcdef')
    return (
        digits
        and len(name) == PART_DIGITS
        and value.isdigit()
        and len(value) <= MAX_STRIKE_DIGITS
    )


def key(part: int) -> str:
    """Returns the key of a part's record."""
    return f'{PREFIX}{part:016x}'


def value(strike: int) -> bytes:
    """Returns the value of a record."""
    return b'%d' % strike
