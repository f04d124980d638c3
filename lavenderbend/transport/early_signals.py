"""Defers signals that arrive before the router has installed its handlers.

Imports only the standard library: the process calls it before it imports
anything else.
"""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection
    from types import FrameType

# by default each of these ends the process; a router takes 0.3 to 0.5 s to
# import its libraries, and callers whose connections wait for it would be
# disconnected
DEFERRED = (signal.SIGHUP, signal.SIGINT, signal.SIGTERM)

pending: list[int] = []


def defer() -> None:
    """Defers signals from now on."""
    for number in DEFERRED:
        signal.signal(number, record)


def record(number: int, _frame: FrameType | None) -> None:
    """Records a signal; installed as signal handler."""
    pending.append(number)


def take_pending(handled: Collection[int]) -> list[int]:
    """Returns the deferred signals, once the program handles signals itself.

    Args:
        handled: Signals that the program handles. The default action of the
            others is restored, and taken if they were deferred.
    """
    for number in DEFERRED:
        if number not in handled and signal.getsignal(number) is record:
            signal.signal(number, signal.SIG_DFL)
    received = list(pending)
    pending.clear()
    for number in received:
        if number not in handled:
            signal.raise_signal(number)
    return received
