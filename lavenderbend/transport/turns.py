"""Shares the event loop between callers that send much to parse."""

from __future__ import annotations

import trio


class Turns:
    """Turns of the event loop, taken in the order asked for.

    What many callers send in small parts would be parsed in the same turn of
    the event loop, one caller after the other, for seconds: all timers, leases
    and other callers would wait. A task that takes a turn before each step has
    the steps of all such tasks spread, one to a turn of the event loop.

    Attributes:
        lock: Held by the task whose turn it is.
    """

    def __init__(self) -> None:
        self.lock = trio.Lock()

    async def take(self) -> None:
        """Waits for a turn."""
        async with self.lock:
            pass
