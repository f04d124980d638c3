"""Keeps the garbage collector out of a router's start.

Imports nothing but the standard library: it is what the process does first.
"""

from __future__ import annotations

import gc


def hold() -> None:
    """Stops collecting.

    Loading libraries makes tens of thousands of objects, none of them
    garbage. Looking through them again and again is a tenth of the time until
    a router serves, and hundreds of routers may start at once.
    """
    gc.disable()


def begin() -> None:
    """Collects from now on, among what is made from now on."""
    gc.freeze()
    gc.enable()
