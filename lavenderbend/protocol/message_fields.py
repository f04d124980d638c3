"""Validators of the types of message fields.

A message from another program, or from a router of another version, can decode
as one of this protocol although its fields have other types. Without
validation, the error would occur far from the decoding, in the code that uses
the message, and would end the whole router.
"""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from attrs import validators

if TYPE_CHECKING:
    from collections.abc import Callable

    import attrs

TEXT = validators.instance_of(str)
INTEGER = validators.instance_of(int)
NUMBER = validators.instance_of((int, float))
FLAG = validators.instance_of(bool)
PACKED = validators.instance_of(bytes)
OPTIONAL_NUMBER = validators.optional(NUMBER)


def check_texts(_message: Any, field: attrs.Attribute, texts: Any) -> None:
    """Validates a list of texts.

    Raises:
        TypeError: It is none.
    """
    if not isinstance(texts, list):
        raise TypeError(f'{field.name}: not a list')
    if not all(isinstance(text, str) for text in texts):
        raise TypeError(f'{field.name}: not only texts')


def rows_of(
    *types: type, more: type | None = None
) -> Callable[[Any, attrs.Attribute, Any], None]:
    """Returns a validator for a list of rows with columns of these types.

    Args:
        *types: Types of the columns that each row has.
        more: Type of any further columns, None if there may be none.
    """

    def check(_message: Any, field: attrs.Attribute, rows: Any) -> None:
        if not isinstance(rows, list):
            raise TypeError(f'{field.name}: not a list')
        for row in rows:
            if not is_row(row, types, more):
                raise TypeError(f'{field.name}: {row!r}')

    return check


def is_row(row: Any, types: tuple[type, ...], more: type | None) -> bool:
    """Returns whether a value is a list with members of these types."""
    if not isinstance(row, list) or len(row) < len(types):
        return False
    if len(row) == len(types):
        return all(map(isinstance, row, types))
    further = row[len(types) :]
    if more is None:
        return False
    return all(map(isinstance, row, types)) and all(
        isinstance(value, more) for value in further
    )
