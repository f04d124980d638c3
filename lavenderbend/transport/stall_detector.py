"""Detects connections that make no progress, and aborts them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Callable

CHECKS_PER_LIMIT = 8


class Waiter:
    """The waiting state of one connection.

    A task sets `since` when it begins to wait for the other side, and resets
    it to None afterwards. A cancel scope for each wait would do the same, but
    entering and leaving one takes a fifth of the total cost of a streamed
    chunk.

    Attributes:
        since: Router clock since which it waits, None if it does not.
        expired: Whether a wait exceeded the limit.
        abort: Closes the connection, which ends the wait.
    """

    __slots__ = ('abort', 'expired', 'since')

    def __init__(self, abort: Callable[[], None]) -> None:
        self.since: float | None = None
        self.expired = False
        self.abort = abort


class StallDetector:
    """Checks all waiters periodically and ends waits that take too long.

    Attributes:
        limit: Maximum duration of a wait in seconds; a wait is ended up to an
            eighth of it later.
        waiters: Waiters of the open connections.
        running: Whether the periodic check is running.
    """

    def __init__(self, limit: float) -> None:
        self.limit = limit
        self.waiters: set[Waiter] = set()
        self.running = False

    def add(self, waiter: Waiter) -> None:
        """Adds a connection to the checked ones."""
        self.waiters.add(waiter)
        if not self.running:
            self.running = True
            trio.lowlevel.spawn_system_task(self.run)

    def remove(self, waiter: Waiter) -> None:
        """Removes a connection from the checked ones."""
        self.waiters.discard(waiter)

    async def run(self) -> None:
        """Checks periodically while there is any connection."""
        try:
            while self.waiters:
                await trio.sleep(self.limit / CHECKS_PER_LIMIT)
                self.check(trio.current_time() - self.limit)
        finally:
            self.running = False

    def check(self, oldest: float) -> None:
        """Ends the waits that began at or before a router clock."""
        for waiter in tuple(self.waiters):
            if waiter.since is not None and waiter.since <= oldest:
                waiter.since = None
                waiter.expired = True
                self.abort(waiter)

    def abort(self, waiter: Waiter) -> None:
        """Aborts one connection."""
        try:
            waiter.abort()
        except OSError:
            # closed by its own task in the meantime; an error in this system
            # task would end the process
            return
