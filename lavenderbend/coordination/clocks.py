"""Clocks by which routers judge how old their knowledge is."""

from __future__ import annotations

import time


def suspension_clock() -> float:
    """Returns the seconds of a clock that includes time of suspension.

    The monotonic clock stops while the VM is suspended. By that clock a resumed
    router would take its configuration for fresh and accept a credential that
    was revoked meanwhile.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
