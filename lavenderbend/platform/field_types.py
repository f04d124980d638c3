"""Type checks of fields that other programs write to the platform's store."""

from __future__ import annotations

import types
from typing import Any
from typing import TYPE_CHECKING
from typing import TypeAlias

if TYPE_CHECKING:
    from collections.abc import Mapping

Types: TypeAlias = 'type | tuple[type, ...]'
NUMBER = (int, float)
# What reading a value of another form may raise: a number too large to convert
# raises an ArithmeticError, a comparison of deeply nested lists a
# RecursionError. Any other type ends the router.
UNFIT = (
    ValueError,
    TypeError,
    LookupError,
    AttributeError,
    ArithmeticError,
    RecursionError,
)


def check_type(field: str, value: object, expected: Types) -> None:
    """Checks the type of a field; booleans do not count as integers.

    Raises:
        TypeError: The value is of another type.
    """
    if isinstance(value, bool) or not isinstance(value, expected):
        raise TypeError(f'{field}: {type(value).__name__}')


def check_fields(
    value: Mapping[str, Any],
    required: Mapping[str, Types],
    optional: Mapping[str, Types] = types.MappingProxyType({}),
) -> None:
    """Checks the types of fields; those not named are ignored.

    Args:
        value: The fields by name.
        required: Types of the fields that must be there.
        optional: Types of those that may be missing or None.

    Raises:
        KeyError: A field is missing.
        TypeError: A value is of another type, or no fields at all.
    """
    check_type('fields', value, dict)
    for field, field_type in required.items():
        check_type(field, value[field], field_type)
    for field, field_type in optional.items():
        if value.get(field) is not None:
            check_type(field, value[field], field_type)
