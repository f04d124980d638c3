"""Connections to upstreams, by h11 on trio streams."""

from __future__ import annotations

from typing import TYPE_CHECKING

import h11
import trio

from lavenderbend import errors
from lavenderbend.transport import answer_heads
from lavenderbend.transport import socket_options
from lavenderbend.transport import stall_detector

if TYPE_CHECKING:
    from collections.abc import Callable

    from lavenderbend.state import upstreams

RECEIVE_BYTES = 64 * 1024
CONNECT_SECONDS = 1.0
MAX_IDLE_SECONDS = 15.0


class UpstreamConnection:
    """One connection to an upstream, used by one request at a time.

    Attributes:
        stream: The TCP stream.
        protocol: The HTTP/1.1 state of the connection.
        waiter: Records since when the connection waits for the upstream.
        idle_since: Router clock at which the connection became idle.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self.protocol = h11.Connection(h11.CLIENT)
        self.waiter = stall_detector.Waiter(self.abort)
        self.idle_since = 0.0

    def abort(self) -> None:
        """Closes the socket; a task that reads from it gets an error."""
        self.stream.socket.close()

    async def send(self, request: h11.Request, body: bytes) -> None:
        """Sends a complete request in one write."""
        protocol = self.protocol
        data = protocol.send(request)
        if body:
            data += protocol.send(h11.Data(data=body))
        data += protocol.send(h11.EndOfMessage())
        await self.stream.send_all(data)

    async def receive(
        self, wait_to_read: Callable[[], float] | None = None
    ) -> None:
        """Waits for bytes and reads them into the protocol state.

        Args:
            wait_to_read: Returns seconds to wait before reading, so that more
                bytes are read at once; called when bytes are available.
        """
        waiter = self.waiter
        if waiter.expired:
            # closed in the same turn of the event loop as the previous read
            raise trio.ClosedResourceError('closed by the stall detector')
        waiter.since = trio.current_time()
        if wait_to_read is not None:
            await trio.lowlevel.wait_readable(self.stream.socket)
            wait = wait_to_read()
            if wait > 0.0:
                await trio.sleep(wait)
        data = await self.stream.receive_some(RECEIVE_BYTES)
        waiter.since = None
        self.protocol.receive_data(data)

    async def read_head(self) -> h11.Response:
        """Returns the head of the answer."""
        return await answer_heads.next_head(self.protocol, self.receive)

    def read_available(self, parts: list[bytes]) -> bool:
        """Appends the data received so far; returns whether it is complete."""
        while True:
            event = self.protocol.next_event()
            if event is h11.NEED_DATA:
                return False
            if isinstance(event, h11.Data):
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return True

    def reusable(self) -> bool:
        """Returns whether an idle connection can carry another request.

        Bytes on an idle connection are its end or a late answer to an
        abandoned request; neither must be taken for the next answer.
        """
        fresh = trio.current_time() - self.idle_since < MAX_IDLE_SECONDS
        return fresh and not self.stream.socket.is_readable()


CONNECTION_ERRORS = (
    h11.RemoteProtocolError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    OSError,
)


def connection_lost(
    connection: UpstreamConnection, cause: Exception
) -> errors.UpstreamBroke:
    """Returns the error for an exchange that was interrupted."""
    if connection.waiter.expired:
        return errors.UpstreamStalled('the answer stopped arriving')
    return errors.UpstreamLost(f'connection lost: {type(cause).__name__}')


async def connect(vm: upstreams.Vm) -> UpstreamConnection:
    """Opens a connection.

    Raises:
        UpstreamUnreachable: The connection cannot be opened.
    """
    stream = await socket_options.connect_upstream(vm, CONNECT_SECONDS)
    return UpstreamConnection(stream)
