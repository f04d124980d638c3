"""Tries several ways at once, each later one only if the earlier are slow."""

from __future__ import annotations

from typing import Generic
from typing import TYPE_CHECKING
from typing import TypeVar

import trio

from lavenderbend import errors

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterable

    from lavenderbend.coordination.forwarding import interfaces

T = TypeVar('T', bound='interfaces.Exchange')


class StaggeredConnect(Generic[T]):
    """Opens one connection by the first of several ways that works.

    Attributes:
        opened: The connection, None until there is one.
    """

    def __init__(self) -> None:
        self.opened: T | None = None

    async def run(
        self, ways: Iterable[Callable[[], Awaitable[T]]], stagger: float
    ) -> T | None:
        """Returns the first connection, None if all ways fail.

        A way is tried when the one before it has failed, or after a time. The
        connections of all but the first that works are closed.

        Args:
            ways: Each opens a connection or raises `UpstreamUnreachable`.
            stagger: Seconds after which the next way is tried.
        """
        complete = False
        try:
            async with trio.open_nursery() as nursery:
                for way in ways:
                    failed = trio.Event()
                    nursery.start_soon(
                        self.try_way, way, failed, nursery.cancel_scope
                    )
                    with trio.move_on_after(stagger):
                        await failed.wait()
            complete = True
        finally:
            if not complete and self.opened is not None:
                self.opened.close()
        return self.opened

    async def try_way(
        self,
        way: Callable[[], Awaitable[T]],
        failed: trio.Event,
        scope: trio.CancelScope,
    ) -> None:
        """Tries one way; the first connection ends the other tries."""
        try:
            opened = await way()
        except errors.UpstreamUnreachable:
            failed.set()
            return
        if self.opened is not None:
            opened.close()
            return
        self.opened = opened
        scope.cancel()
