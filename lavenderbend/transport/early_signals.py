"""Keeps signals that come before the router can act on them.

Imports nothing but the standard library: it is what the process does first.
"""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection
    from types import FrameType

# a router that loads its libraries for 0.3 to 0.5 s would end by any of these,
# and cut off the callers whose connections wait for it
HELD = (signal.SIGHUP, signal.SIGINT, signal.SIGTERM)

came: list[int] = []


def hold() -> None:
    """Keeps signals from now on."""
    for number in HELD:
        signal.signal(number, note)


def note(number: int, _frame: FrameType | None) -> None:
    """Notes that a signal came."""
    came.append(number)


def take(handled: Collection[int]) -> list[int]:
    """Returns the signals that came, once there are handlers for them.

    Args:
        handled: Signals that the program handles; others act as usual again.
    """
    for number in HELD:
        if number not in handled and signal.getsignal(number) is note:
            signal.signal(number, signal.SIG_DFL)
    found = list(came)
    came.clear()
    for number in found:
        if number not in handled:
            signal.raise_signal(number)
    return found
