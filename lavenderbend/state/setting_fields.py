"""Units and bounds of the fields of settings."""

from __future__ import annotations

from typing import Any
from typing import NewType

import attrs

Seconds = NewType('Seconds', float)
ByteCount = NewType('ByteCount', int)

MAX_PORT = 65535
DAY = 86400.0


@attrs.frozen
class Bounds:
    """The values that a number may take.

    Attributes:
        least: Smallest allowed.
        most: Largest allowed, None for no bound.
    """

    least: float
    most: float | None = None

    def __str__(self) -> str:
        if self.most is None:
            return f'at least {self.least:g}'
        return f'{self.least:g} to {self.most:g}'

    def holds(self, value: float) -> bool:
        """Returns whether the value may be taken; never for NaN."""
        if not value >= self.least:
            return False
        return self.most is None or value <= self.most


def bounded(default: Any, least: float, most: float | None = None) -> Any:
    """Returns an attrs field with a default and bounds."""
    return attrs.field(
        default=default, metadata={'bounds': Bounds(least, most)}
    )


def port(default: int) -> Any:
    """Returns an attrs field for a TCP port; 0 lets the system choose."""
    return bounded(default, 0, MAX_PORT)
