"""Ends connections on which nothing comes for too long."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Callable

TICKS_PER_LIMIT = 8


class Waiter:
    """One connection that may wait for its other side.

    A task notes in `since` when it begins to wait, and None when it goes
    on. A cancel scope for each wait would do the same; entering and leaving
    one costs a fifth of what a streamed chunk costs altogether.

    Attributes:
        since: Router clock since which it waits, None if it does not.
        expired: Whether it waited too long.
        abort: Breaks the connection off, which ends the wait.
    """

    __slots__ = ('abort', 'expired', 'since')

    def __init__(self, abort: Callable[[], None]) -> None:
        self.since: float | None = None
        self.expired = False
        self.abort = abort


class StallWatch:
    """Looks at all waiters now and then.

    Attributes:
        limit: Seconds that a wait may take; it ends up to an eighth later.
        waiters: The open connections.
    """

    def __init__(self, limit: float) -> None:
        self.limit = limit
        self.waiters: set[Waiter] = set()
        self.running = False

    def add(self, waiter: Waiter) -> None:
        """Watches a connection from now on."""
        self.waiters.add(waiter)
        if not self.running:
            self.running = True
            trio.lowlevel.spawn_system_task(self.run)

    def remove(self, waiter: Waiter) -> None:
        """Watches a connection no longer."""
        self.waiters.discard(waiter)

    async def run(self) -> None:
        """Ends waits that are too long, while there is any connection."""
        try:
            while self.waiters:
                await trio.sleep(self.limit / TICKS_PER_LIMIT)
                self.check(trio.current_time() - self.limit)
        finally:
            self.running = False

    def check(self, oldest: float) -> None:
        """Ends the waits that began before a time."""
        for waiter in tuple(self.waiters):
            if waiter.since is not None and waiter.since <= oldest:
                waiter.since = None
                waiter.expired = True
                self.end(waiter)

    def end(self, waiter: Waiter) -> None:
        """Ends one wait."""
        try:
            waiter.abort()
        except OSError:
            # closed by its own task in the meantime; an error in this task
            # would end the whole process
            return
