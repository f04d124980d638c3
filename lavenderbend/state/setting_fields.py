"""Units and bounds for the fields of settings classes."""

from __future__ import annotations

from typing import Any
from typing import NewType

import attrs

Seconds = NewType('Seconds', float)
ByteCount = NewType('ByteCount', int)

MAX_PORT = 65535
DAY_SECONDS = 86400.0


@attrs.frozen
class Bounds:
    """Inclusive range of a numeric setting.

    Attributes:
        minimum: Smallest allowed value.
        maximum: Largest allowed value, None for no upper bound.
    """

    minimum: float
    maximum: float | None = None

    def __str__(self) -> str:
        if self.maximum is None:
            return f'at least {self.minimum:g}'
        return f'{self.minimum:g} to {self.maximum:g}'

    def contains(self, value: float) -> bool:
        """Returns whether the value is in the range; NaN never is."""
        if not value >= self.minimum:
            return False
        return self.maximum is None or value <= self.maximum


def bounded(default: Any, minimum: float, maximum: float | None = None) -> Any:
    """Returns an attrs field with a default and bounds as metadata."""
    return attrs.field(
        default=default, metadata={'bounds': Bounds(minimum, maximum)}
    )


def port(default: int) -> Any:
    """Returns an attrs field for a TCP port; 0 lets the system choose."""
    return bounded(default, 0, MAX_PORT)
