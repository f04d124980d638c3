"""Type checks of fields that other programs write to the platform's store."""

from __future__ import annotations

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


def check_type(
    field: str, value: object, types: type | tuple[type, ...]
) -> None:
    """Checks the type of a field; booleans do not count as integers.

    Raises:
        TypeError: The value is of another type.
    """
    if isinstance(value, bool) or not isinstance(value, types):
        raise TypeError(f'{field}: {type(value).__name__}')
