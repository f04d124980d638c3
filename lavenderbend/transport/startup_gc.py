"""Disables the garbage collector while a router starts.

Imports only the standard library: the process calls it before it imports
anything else.
"""

from __future__ import annotations

import gc


def disable() -> None:
    """Disables garbage collection.

    Importing libraries creates tens of thousands of objects, none of them
    garbage. Traversing them repeatedly takes a tenth of the time until a
    router serves, and hundreds of routers may start at once.
    """
    gc.disable()


def enable() -> None:
    """Enables garbage collection of objects created from now on."""
    gc.freeze()
    gc.enable()
