"""Numbers with units, read and written."""

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
    """A value that may not stand where it stands.

    Attributes:
        fault: What is wrong.
        allowed: What may stand there.
    """

    def __init__(self, fault: str, allowed: str) -> None:
        super().__init__(fault)
        self.fault = fault
        self.allowed = allowed


def shown(value: Any) -> str:
    """Returns a value as an error message shows it."""
    kinds = {dict: 'a map', list: 'a list', type(None): 'nothing'}
    if type(value) in kinds:
        return kinds[type(value)]
    if not isinstance(value, str):
        return str(value)
    return repr(value if len(value) <= 60 else value[:57] + '...')


def quantity(value: Any, units: dict[str, float], allowed: str) -> float:
    """Returns a number with a unit, in the base unit."""
    found = QUANTITY.fullmatch(value) if isinstance(value, str) else None
    if found is None:
        raise Fault(f'{shown(value)} is no number with a unit', allowed)
    if found[2] not in units:
        raise Fault(f'unknown unit {found[2]!r}', allowed)
    return float(found[1]) * units[found[2]]


def duration(value: Any, _: Any) -> float:
    """Returns seconds."""
    return quantity(value, DURATION_UNITS, DURATION)


def size(value: Any, _: Any) -> int:
    """Returns bytes."""
    return int(quantity(value, SIZE_UNITS, SIZE))


def rate(value: Any, _: Any) -> float:
    """Returns events a second."""
    return quantity(value, RATE_UNITS, RATE)


def share(value: Any, _: Any) -> float:
    """Returns a percentage."""
    return quantity(value, SHARE_UNITS, SHARE)


def decimal_text(value: float) -> str:
    """Returns all digits of a number, without an exponent."""
    return f'{decimal.Decimal(repr(value)):f}'.removesuffix('.0')


def write_duration(value: float) -> str:
    """Returns a duration in seconds, or in milliseconds if it is short."""
    count = round(value * 1000)
    # only if reading it again gives the same number to the last bit
    if value < 1 and count * DURATION_UNITS['ms'] == value:
        return f'{count}ms'
    return f'{decimal_text(value)}s'


def write_rate(value: float) -> str:
    """Returns a rate a second."""
    return f'{decimal_text(value)}/s'


def write_share(value: float) -> str:
    """Returns a percentage."""
    return f'{decimal_text(value)}%'
