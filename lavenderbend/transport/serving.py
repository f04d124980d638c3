"""Serves an ASGI application by hypercorn, with a graceful stop."""

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

from lavenderbend.coordination import caller_memory
from lavenderbend.observe import logs
from lavenderbend.observe import metrics
from lavenderbend.protocol import http_limits
from lavenderbend.transport import body_memory
from lavenderbend.transport import header_limits
from lavenderbend.transport import socket_options
from lavenderbend.transport import stall_detector
from lavenderbend.transport import turns
from lavenderbend.transport import waiting_connections

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

BACKLOG = 1024
RECEIVE_BYTES = 16 * 1024
# at a time, of an answer whose caller may read it slowly
SENT_BYTES = 16 * 1024
# time for a caller that still sends to read its answer
LINGERING_CLOSE_SECONDS = 1.0
BODY_MESSAGE = 'http.response.body'
DEFAULT_GRACE_SECONDS = 900.0
# time for accepting connections still in the backlog before the listener closes
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
    """A TCP stream whose writes are limited in time.

    Attributes:
        stream: The trio stream.
        waiter: Records when a write in progress began.
        turns: Turns of the event loop.
        requests: Number of requests in progress.
        received: Bytes received since the last of them began.
        sending: Memory of the answer that is sent, None if it is not counted.
        closing: Whether the sending side is closed.
    """

    def __init__(
        self, stream: trio.SocketStream, loop_turns: turns.Turns
    ) -> None:
        self.stream = stream
        self.turns = loop_turns
        self.requests = 0
        self.received = 0
        self.sending: caller_memory.Holding | None = None
        self.closing = False
        self.waiter = stall_detector.Waiter(self.reset)

    @property
    def socket(self) -> trio.socket.SocketType:
        """The socket; hypercorn reads the addresses from it."""
        return self.stream.socket

    @property
    def request_arrived(self) -> bool:
        """Whether bytes have come that were not read; False once closed."""
        # its own task may have closed it, and not have ended yet: asked for
        # a closed socket, the system's poll raises an error, which would end
        # the task that accepts connections, and the process with it
        return self.socket.fileno() >= 0 and self.socket.is_readable()

    def close(self) -> None:
        """Closes the connection at once."""
        self.socket.close()

    async def send_all(self, data: bytes) -> None:
        """Sends all bytes; the stall detector resets a blocked connection."""
        # hypercorn shields its writes from cancellation: a caller that stops
        # reading would keep its answer, its upstream and its permit forever
        self.waiter.since = trio.current_time()
        try:
            if self.sending is None:
                await self.stream.send_all(data)
            else:
                await self.send_counted(data, self.sending)
        finally:
            self.waiter.since = None

    async def send_counted(
        self, data: bytes, sending: caller_memory.Holding
    ) -> None:
        """Sends a large part of an answer; notes what its caller takes."""
        with memoryview(data) as view:
            for start in range(0, len(view), SENT_BYTES):
                part = view[start : start + SENT_BYTES]
                await self.stream.send_all(part)
                sending.note_moved(len(part))

    def reset(self) -> None:
        """Resets the connection because the other side does not read."""
        if self.socket.fileno() < 0:
            # closed by its own task in the meantime
            return
        slow_callers.inc({})
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        self.socket.close()

    async def abort(self) -> None:
        """Resets the connection, so that no partial answer looks complete."""
        try:
            self.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER
            )
        except OSError:
            # already closed
            return
        await trio.aclose_forcefully(self.stream)

    async def wait_send_all_might_not_block(self) -> None:
        """Waits until a write might not block."""
        await self.stream.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Returns the next bytes, empty at the end of the stream.

        The rest of a body is read in turns: what many callers send would be
        held by the server before it is counted.
        """
        if self.requests and self.received:
            await self.turns.take()
            max_bytes = RECEIVE_BYTES
        data = await self.stream.receive_some(max_bytes)
        self.received += len(data)
        while data and self.closing:
            await self.turns.take()
            data = await self.stream.receive_some(RECEIVE_BYTES)
        return data

    async def send_eof(self) -> None:
        """Closes the sending side."""
        # connections are cancelled at the end of the grace period of a stop:
        # without the shield, hypercorn could not close them and the other side
        # would wait forever
        with trio.CancelScope(shield=True):
            await self.stream.send_eof()
        self.closing = True

    async def aclose(self) -> None:
        """Closes the connection."""
        with trio.CancelScope(shield=True):
            with trio.move_on_after(LINGERING_CLOSE_SECONDS):
                await self.discard_unread()
            await self.stream.aclose()

    async def discard_unread(self) -> None:
        """Reads what a caller still sends after its answer.

        Closed with unread bytes, the connection would be reset before the
        caller has read why its request was refused.
        """
        if not self.closing or not self.request_arrived:
            return
        try:
            await self.receive_some(RECEIVE_BYTES)
        except trio.BusyResourceError:
            # the server's own task reads on
            await trio.sleep(LINGERING_CLOSE_SECONDS)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return


class Server:
    """Accepts and serves connections.

    Attributes:
        app: The application, wrapped for hypercorn.
        limits: Limits on connections.
        config: Settings of hypercorn.
        context: Hypercorn's worker context; signals the stop to connections.
        stalls: Ends writes that take too long.
        waiting: Connections that wait for a request.
        turns: Turns of the event loop.
        open: Number of open connections.
    """

    def __init__(self, app: Any, limits: http_limits.HttpLimits) -> None:
        self.limits = limits
        self.config = make_config(limits)
        memory = caller_memory.CallerMemory(limits.held_bytes)
        self.turns = turns.Turns()
        counted = body_memory.BodyMemory(app, memory, self.turns)
        limited = header_limits.HeaderLimit(counted, limits.header_bytes)
        served = self.note_requests(shield_last_message(limited))
        size = self.config.wsgi_max_body_size
        self.app = utils.wrap_app(served, size, 'asgi')
        self.context = worker_context.WorkerContext(None)
        self.stalls = stall_detector.StallDetector(limits.send_seconds)
        self.waiting: waiting_connections.WaitingConnections[BoundedStream] = (
            waiting_connections.WaitingConnections()
        )
        self.open = 0

    def note_requests(self, app: Callable[..., Any]) -> Callable[..., Any]:
        """Returns the application, which records when connections wait."""

        async def noted(scope: Any, receive: Any, send: Any) -> None:
            stream = scope.get('state', {}).get(body_memory.STREAM)
            if stream is None:
                await app(scope, receive, send)
                return
            self.waiting.discard(stream)
            stream.requests += 1
            stream.received = 0
            try:
                await app(scope, receive, send)
            finally:
                stream.requests -= 1
                if not stream.requests:
                    self.waiting.add_kept(stream)

        return noted

    async def accept(
        self, listener: trio.SocketListener, nursery: trio.Nursery
    ) -> None:
        """Accepts connections until cancelled."""
        while True:
            try:
                stream = await listener.accept()
            except OSError:
                # out of file descriptors: some become free as requests end
                await trio.sleep(ACCEPT_PAUSE_SECONDS)
                continue
            full = self.open >= self.limits.connections
            if full and self.waiting.close_one() is None:
                refused_connections.inc({})
                await trio.aclose_forcefully(stream)
                continue
            self.open += 1
            nursery.start_soon(self.run_connection, stream)

    async def run_connection(self, stream: trio.SocketStream) -> None:
        """Serves one connection to its end."""
        bounded = BoundedStream(stream, self.turns)
        self.stalls.add(bounded.waiter)
        # available to the application as state of the ASGI scope
        state = {ABORT: bounded.abort, body_memory.STREAM: bounded}
        self.waiting.add_unused(bounded)
        size = self.limits.send_buffer_bytes
        try:
            if size:
                stream.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size)
            await tcp_server.TCPServer(
                self.app, self.config, self.context, state, bounded
            ).run()
        except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            # the other side closed the connection
            pass
        except* Exception as group:
            # for example when an application is cancelled while it sends the
            # head of its answer: hypercorn then also sends an error response,
            # which h11 rejects. Uncaught, the error of one connection would
            # end the server and all other connections
            for error in group.exceptions:
                failed_connections.inc({'error': type(error).__name__})
            await bounded.abort()
        finally:
            self.open -= 1
            self.waiting.discard(bounded)
            self.stalls.remove(bounded.waiter)


def shield_last_message(app: Callable[..., Any]) -> Callable[..., Any]:
    """Returns the application with the last body message shielded.

    When the last body message is sent, hypercorn signals the end of the
    exchange to the application; quart then cancels the task that is still
    sending it, before the connection is closed or prepared for its next
    request. Without the shield, the connection would stay open forever and a
    stop would wait for it.
    """

    async def shielded(scope: Any, receive: Any, send: Any) -> None:
        async def send_last(message: Any) -> None:
            with trio.CancelScope(shield=True):
                await send(message)

        # not a coroutine, to save its cost: called for each streamed chunk
        def send_message(message: Any) -> Awaitable[None]:
            if message['type'] != BODY_MESSAGE or message.get('more_body'):
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
    # errors are counted and reported to the caller, not logged
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
        host: IP address to bind.
        port: Port to bind, 0 for any free port.
        shutdown: Set to stop: the listener and idle connections are closed,
            requests in progress continue.
        limits: Limits on connections.
        grace_seconds: Grace period for requests in progress; those that take
            longer are cancelled.
        task_status: Gets the bound port.
    """
    server = Server(app, limits or http_limits.HttpLimits())
    listeners = await trio.open_tcp_listeners(port, host=host, backlog=BACKLOG)
    for listener in listeners:
        socket_options.limit_unread(listener.socket)
    bound = listeners[0].socket.getsockname()[1]
    async with trio.open_nursery() as connections:
        async with trio.open_nursery() as accepting:
            for listener in listeners:
                accepting.start_soon(server.accept, listener, connections)
            task_status.started(bound)
            await shutdown.wait()
            # connections in the backlog when the listener closes would be
            # reset, and their requests lost
            await trio.sleep(LAST_ACCEPT_SECONDS)
            accepting.cancel_scope.cancel()
        for listener in listeners:
            await listener.aclose()
        await server.context.terminated.set()
        deadline = trio.current_time() + grace_seconds
        connections.cancel_scope.deadline = deadline
    if connections.cancel_scope.cancelled_caught:
        logs.change('requests_broken_off_at_stop', port=bound)
