"""Numbers on the command line."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from lavenderbend import errors

if TYPE_CHECKING:
    from collections.abc import Mapping


def read(
    option: str, arguments: Mapping[str, Any], least: float, most: float
) -> float:
    """Returns the number that an option gives.

    Raises:
        SettingsError: It is none, or out of bounds.
    """
    try:
        value = float(arguments[option])
    except ValueError as exc:
        raise errors.SettingsError(f'{option}: {exc}') from exc
    if not least <= value <= most:
        raise errors.SettingsError(f'{option}: {least:g} to {most:g}')
    return value
