"""Types of fields that others write into the platform's store."""

from __future__ import annotations


def check_type(
    field: str, value: object, kinds: type | tuple[type, ...]
) -> None:
    """Checks the type of a field; true and false are no numbers.

    Raises:
        TypeError: It is of another type.
    """
    if isinstance(value, bool) or not isinstance(value, kinds):
        raise TypeError(f'{field}: {type(value).__name__}')
