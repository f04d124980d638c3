"""Checks of what the fields of a message hold.

A message of another program, or of a router of another version, can be read as
one of ours though its fields hold something else. What takes it in would fail
far from here, and the whole router with it.
"""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from attrs import validators

if TYPE_CHECKING:
    from collections.abc import Callable

    import attrs

TEXT = validators.instance_of(str)
WHOLE = validators.instance_of(int)
NUMBER = validators.instance_of((int, float))
FLAG = validators.instance_of(bool)
PACKED = validators.instance_of(bytes)
MAYBE_NUMBER = validators.optional(NUMBER)


def rows_of(*types: type) -> Callable[[Any, attrs.Attribute, Any], None]:
    """Returns a check that a field is a list of rows with these columns."""

    def check(_message: Any, field: attrs.Attribute, rows: Any) -> None:
        if not isinstance(rows, list):
            raise TypeError(f'{field.name}: not a list')
        for row in rows:
            if not is_row(row, types):
                raise TypeError(f'{field.name}: {row!r}')

    return check


def is_row(row: Any, types: tuple[type, ...]) -> bool:
    """Returns whether a row has columns of these types."""
    if not isinstance(row, list) or len(row) != len(types):
        return False
    return all(map(isinstance, row, types))
