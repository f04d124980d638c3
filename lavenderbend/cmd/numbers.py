"""Parses numeric command line options."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from lavenderbend import errors

if TYPE_CHECKING:
    from collections.abc import Mapping


def read_number(
    option: str, arguments: Mapping[str, Any], minimum: float, maximum: float
) -> float:
    """Returns the numeric value of an option.

    Raises:
        SettingsError: The value is not a number or out of bounds.
    """
    try:
        value = float(arguments[option])
    except ValueError as exc:
        raise errors.SettingsError(f'{option}: {exc}') from exc
    if not minimum <= value <= maximum:
        raise errors.SettingsError(f'{option}: {minimum:g} to {maximum:g}')
    return value
