"""Parsing and formatting of numbers with units."""

from __future__ import annotations

import decimal
import re
from typing import Any

QUANTITY = re.compile(r'([0-9]+(?:\.[0-9]+)?) ?([A-Za-z/%]+)')
DURATION_UNITS = {'ms': 0.001, 's': 1.0, 'm': 60.0, 'h': 3600.0, 'd': 86400.0}
SIZE_UNITS = {'B': 1, 'KiB': 1024, 'MiB': 1024**2, 'GiB': 1024**3}
RATE_UNITS = {'/s': 1.0, '/m': 1 / 60}
SHARE_UNITS = {'%': 1.0}

DURATION = 'a duration such as 500ms, 30s, 5m, 2h, 1d'
SIZE = 'a size such as 512B, 32KiB, 1MiB, 1GiB'
RATE = 'a rate such as 20/s or 300/m'
SHARE = 'a share such as 12.5%'


class Fault(ValueError):
    """An invalid value.

    Attributes:
        fault: What is wrong with the value.
        allowed: Description of valid values.
    """

    def __init__(self, fault: str, allowed: str) -> None:
        super().__init__(fault)
        self.fault = fault
        self.allowed = allowed


def describe(value: Any) -> str:
    """Returns a short text for a value, for error messages."""
    kinds = {dict: 'a map', list: 'a list', type(None): 'nothing'}
    if type(value) in kinds:
        return kinds[type(value)]
    if not isinstance(value, str):
        return str(value)
    return repr(value if len(value) <= 60 else value[:57] + '...')


def quantity(value: Any, units: dict[str, float], allowed: str) -> float:
    """Returns the number of a text such as `500ms`, in the base unit.

    Args:
        value: The text.
        units: Factor to the base unit, by name of unit.
        allowed: Description of valid values, for the error.

    Raises:
        Fault: The value is not a number with one of the units.
    """
    match = QUANTITY.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise Fault(f'{describe(value)} is not a number with a unit', allowed)
    if match[2] not in units:
        raise Fault(f'unknown unit {match[2]!r}', allowed)
    return float(match[1]) * units[match[2]]


def duration(value: Any, _: Any) -> float:
    """Parses a duration into seconds; a structure hook."""
    return quantity(value, DURATION_UNITS, DURATION)


def size(value: Any, _: Any) -> int:
    """Parses a size into bytes; a structure hook."""
    return int(quantity(value, SIZE_UNITS, SIZE))


def rate(value: Any, _: Any) -> float:
    """Parses a rate into events per second; a structure hook."""
    return quantity(value, RATE_UNITS, RATE)


def share(value: Any, _: Any) -> float:
    """Parses a share into per cent; a structure hook."""
    return quantity(value, SHARE_UNITS, SHARE)


def decimal_text(value: float) -> str:
    """Formats a number in full, without an exponent."""
    return f'{decimal.Decimal(repr(value)):f}'.removesuffix('.0')


def write_duration(value: float) -> str:
    """Formats a duration in seconds, or in milliseconds if below 1 s."""
    count = round(value * 1000)
    # Milliseconds are used only if parsing them returns exactly this value.
    if value < 1 and count * DURATION_UNITS['ms'] == value:
        return f'{count}ms'
    return f'{decimal_text(value)}s'


def write_rate(value: float) -> str:
    """Formats a rate per second."""
    return f'{decimal_text(value)}/s'


def write_share(value: float) -> str:
    """Formats a percentage."""
    return f'{decimal_text(value)}%'
