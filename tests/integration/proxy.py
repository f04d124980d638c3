"""A TCP proxy that injects faults between two processes."""

from __future__ import annotations

import enum

import attrs
import trio

CHUNK_BYTES = 65536


class Cut(enum.Enum):
    """Which direction of a connection is silently dropped."""

    NONE = 'none'
    TO_TARGET = 'to-target'
    FROM_TARGET = 'from-target'
    BOTH = 'both'


@attrs.define
class Faults:
    """What the proxy does to connections from now on.

    Attributes:
        delay: Seconds added to each piece, in each direction.
        bytes_per_second: Throttle of each direction, 0 for none.
        cut: Direction in which pieces vanish while connections stay open.
        refuse: New connections are closed at once.
        lose_answers: The connection is closed when the target answers, and
            nothing of the answer is passed on.
    """

    delay: float = 0.0
    bytes_per_second: float = 0.0
    cut: Cut = Cut.NONE
    refuse: bool = False
    lose_answers: bool = False


class FaultProxy:
    """Forwards connections to one target, with faults on order.

    Attributes:
        faults: What it does from now on.
        port: Where it listens.
        bytes_passed: Payload passed on, both directions together.
        streams: Connections that are open now.
    """

    def __init__(self, target_host: str, target_port: int) -> None:
        self.target_host = target_host
        self.target_port = target_port
        self.faults = Faults()
        self.port = 0
        self.bytes_passed = 0
        self.streams: set[trio.SocketStream] = set()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        self.port = listeners[0].socket.getsockname()[1]
        await trio.serve_listeners(
            self.forward, listeners, task_status=task_status
        )

    def heal(self) -> None:
        self.faults = Faults()

    async def reset(self) -> None:
        """Closes every connection that is open now."""
        for stream in list(self.streams):
            await trio.aclose_forcefully(stream)

    async def forward(self, caller: trio.SocketStream) -> None:
        if self.faults.refuse:
            await trio.aclose_forcefully(caller)
            return
        try:
            target = await trio.open_tcp_stream(
                self.target_host, self.target_port
            )
        except OSError:
            await trio.aclose_forcefully(caller)
            return
        self.streams.update((caller, target))
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    self.copy, caller, target, Cut.TO_TARGET, nursery
                )
                nursery.start_soon(
                    self.copy, target, caller, Cut.FROM_TARGET, nursery
                )
        finally:
            self.streams.difference_update((caller, target))
            await trio.aclose_forcefully(caller)
            await trio.aclose_forcefully(target)

    async def copy(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        direction: Cut,
        nursery: trio.Nursery,
    ) -> None:
        try:
            async for data in source:
                await self.pass_on(data, sink, direction, nursery)
            await sink.send_eof()
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            nursery.cancel_scope.cancel()

    async def pass_on(
        self,
        data: bytes,
        sink: trio.SocketStream,
        direction: Cut,
        nursery: trio.Nursery,
    ) -> None:
        faults = self.faults
        if faults.lose_answers and direction is Cut.FROM_TARGET:
            nursery.cancel_scope.cancel()
            return
        if faults.delay:
            await trio.sleep(faults.delay)
        if faults.bytes_per_second:
            await trio.sleep(len(data) / faults.bytes_per_second)
        if self.faults.cut in (direction, Cut.BOTH):
            return
        self.bytes_passed += len(data)
        await sink.send_all(data)
