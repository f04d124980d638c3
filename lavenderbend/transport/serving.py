"""Serves an ASGI application by hypercorn until it is told to stop."""

from __future__ import annotations

import socket
import struct
from typing import Any
from typing import TYPE_CHECKING

import hypercorn
from hypercorn import utils
from hypercorn.trio import tcp_server
from hypercorn.trio import worker_context
import trio

from lavenderbend.observe import logs
from lavenderbend.observe import metrics
from lavenderbend.protocol import http_limits
from lavenderbend.transport import header_limits
from lavenderbend.transport import stall_watch

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

BACKLOG = 1024
LAST_PART = 'http.response.body'
DEFAULT_GRACE_SECONDS = 900.0
# time in which connections that the kernel has accepted are still taken
LAST_ACCEPT_SECONDS = 0.05
ACCEPT_PAUSE_SECONDS = 0.05
# key in the state of an ASGI scope: a function that resets the connection
ABORT = 'lavenderbend.abort'
NO_LINGER = struct.pack('ii', 1, 0)

refused_connections = metrics.counter(
    'lavenderbend_connections_refused_total',
    'Connections closed at once because too many were open.',
)
slow_callers = metrics.counter(
    'lavenderbend_slow_callers_total',
    'Connections broken off because the other side did not read.',
)


failed_connections = metrics.counter(
    'lavenderbend_connections_failed_total',
    'Connections that ended by an error outside of any request.',
)


class BoundedStream(trio.abc.HalfCloseableStream):
    """A TCP stream whose writes end in time.

    Attributes:
        stream: The stream of trio.
        waiter: Noted while a write is in progress.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self.waiter = stall_watch.Waiter(self.reset)

    @property
    def socket(self) -> trio.socket.SocketType:
        """The socket; hypercorn reads the addresses from it."""
        return self.stream.socket

    async def send_all(self, data: bytes) -> None:
        """Sends all bytes, or breaks the connection off."""
        # a caller that stops reading would hold its answer, its upstream
        # and its permit for ever: hypercorn shields its writes
        self.waiter.since = trio.current_time()
        try:
            await self.stream.send_all(data)
        finally:
            self.waiter.since = None

    def reset(self) -> None:
        """Resets the connection because the other side does not read."""
        slow_callers.inc({})
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        self.socket.close()

    async def abort(self) -> None:
        """Resets the connection, so that nothing that was sent looks whole."""
        try:
            self.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER
            )
        except OSError:
            # already closed
            return
        await trio.aclose_forcefully(self.stream)

    async def wait_send_all_might_not_block(self) -> None:
        """Waits until a write may go through."""
        await self.stream.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Returns the next bytes, none at the end."""
        return await self.stream.receive_some(max_bytes)

    async def send_eof(self) -> None:
        """Ends the sending side."""
        # a connection is cancelled at the end of a stop's grace: unshielded,
        # hypercorn's own closing fails and the other side waits for ever
        with trio.CancelScope(shield=True):
            await self.stream.send_eof()

    async def aclose(self) -> None:
        """Closes the connection."""
        with trio.CancelScope(shield=True):
            await self.stream.aclose()


class Server:
    """Connections of one address.

    Attributes:
        app: The application as hypercorn takes it.
        limits: Limits on connections.
        config: Settings of hypercorn.
        context: Tells connections of the end.
        watch: Ends writes that take too long.
        open: Connections that are open now.
    """

    def __init__(self, app: Any, limits: http_limits.HttpLimits) -> None:
        self.limits = limits
        self.config = make_config(limits)
        limited = header_limits.HeaderLimit(app, limits.header_bytes)
        size = self.config.wsgi_max_body_size
        self.app = utils.wrap_app(shield_ends(limited), size, 'asgi')
        self.context = worker_context.WorkerContext(None)
        self.watch = stall_watch.StallWatch(limits.send_seconds)
        self.open = 0

    async def accept(
        self, listener: trio.SocketListener, nursery: trio.Nursery
    ) -> None:
        """Takes connections until cancelled."""
        while True:
            try:
                stream = await listener.accept()
            except OSError:
                # out of file descriptors: they come back as requests end
                await trio.sleep(ACCEPT_PAUSE_SECONDS)
                continue
            if self.open >= self.limits.connections:
                refused_connections.inc({})
                await trio.aclose_forcefully(stream)
                continue
            self.open += 1
            nursery.start_soon(self.run_connection, stream)

    async def run_connection(self, stream: trio.SocketStream) -> None:
        """Serves one connection to its end."""
        bounded = BoundedStream(stream)
        self.watch.add(bounded.waiter)
        # an application finds this in the state of its scope
        state = {ABORT: bounded.abort}
        size = self.limits.send_buffer_bytes
        try:
            if size:
                stream.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size)
            await tcp_server.TCPServer(
                self.app, self.config, self.context, state, bounded
            ).run()
        except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            # the other side went away, which is its right
            pass
        except* Exception as group:
            # such as an application that is cancelled while it sends the
            # head of its answer: hypercorn then sends an error of its own on
            # top, which h11 refuses. Unguarded, a fault of one connection
            # ended the whole server and cut off every other one
            for error in group.exceptions:
                failed_connections.inc({'error': type(error).__name__})
            await bounded.abort()
        finally:
            self.open -= 1
            self.watch.remove(bounded.waiter)


def shield_ends(app: Callable[..., Any]) -> Callable[..., Any]:
    """Returns the application with the last part of answers shielded.

    Sending the last part makes hypercorn tell the application that the
    exchange is over; quart then cancels the task that is still sending it,
    before the connection is closed or made ready for its next request. The
    connection stayed open for ever, and a stop waited for it.
    """

    async def shielded(scope: Any, receive: Any, send: Any) -> None:
        async def send_last(message: Any) -> None:
            with trio.CancelScope(shield=True):
                await send(message)

        # no coroutine of its own: this is called for each streamed chunk
        def send_message(message: Any) -> Awaitable[None]:
            if message['type'] != LAST_PART or message.get('more_body'):
                return send(message)
            return send_last(message)

        await app(scope, receive, send_message)

    return shielded


def make_config(limits: http_limits.HttpLimits) -> hypercorn.Config:
    """Returns the settings of hypercorn."""
    config = hypercorn.Config()
    config.alpn_protocols = ['http/1.1']
    config.h11_max_incomplete_size = limits.header_bytes
    config.keep_alive_timeout = limits.idle_seconds
    config.keep_alive_max_requests = 1_000_000
    config.include_server_header = False
    # errors are counted and told to the caller; nothing goes to a log
    config.errorlog = None
    config.accesslog = None
    return config


async def serve(
    app: Callable[..., Any],
    host: str,
    port: int,
    *,
    shutdown: trio.Event,
    limits: http_limits.HttpLimits | None = None,
    grace_seconds: float = DEFAULT_GRACE_SECONDS,
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves until `shutdown`, then until the last request has ended.

    Args:
        app: An ASGI application.
        host: IP number to bind.
        port: Port to bind, 0 for any.
        shutdown: Set to stop: the listener closes, idle connections close,
            requests in progress go on.
        limits: Limits on connections.
        grace_seconds: Longest time that requests in progress get; those
            that take longer are broken off.
        task_status: Gets the bound port.
    """
    server = Server(app, limits or http_limits.HttpLimits())
    listeners = await trio.open_tcp_listeners(port, host=host, backlog=BACKLOG)
    bound = listeners[0].socket.getsockname()[1]
    async with trio.open_nursery() as connections:
        async with trio.open_nursery() as accepting:
            for listener in listeners:
                accepting.start_soon(server.accept, listener, connections)
            task_status.started(bound)
            await shutdown.wait()
            # connections that the kernel took before the listener closes
            # would be reset, and their requests lost
            await trio.sleep(LAST_ACCEPT_SECONDS)
            accepting.cancel_scope.cancel()
        for listener in listeners:
            await listener.aclose()
        await server.context.terminated.set()
        deadline = trio.current_time() + grace_seconds
        connections.cancel_scope.deadline = deadline
    if connections.cancel_scope.cancelled_caught:
        logs.change('requests_broken_off_at_stop', port=bound)
