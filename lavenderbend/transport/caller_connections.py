"""Callers' HTTP/1.1 connections, a task each, by h11 on trio sockets."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import h11
import trio

from lavenderbend import errors
from lavenderbend.coordination.forwarding import interfaces
from lavenderbend.observe import logs
from lavenderbend.observe import metrics
from lavenderbend.transport import caller_answers
from lavenderbend.transport import early_listener
from lavenderbend.transport import socket_options

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from lavenderbend.state import forwarding

    Handler = Callable[
        [interfaces.CallerRequest, interfaces.CallerAnswer], Awaitable[None]
    ]

RECEIVE_BYTES = 64 * 1024
BACKLOG = 1024
# connections that waited for the router to start are accepted within this
EARLY_SECONDS = 0.05
# a body that stops arriving holds its connection no longer than this
BODY_SECONDS = 10.0
# time for a caller to take the answer that says why its connection closes
FAREWELL_SECONDS = 1.0
REQUEST_TIMEOUT = 408
HEADERS_TOO_LARGE = 431

REFUSED_CONNECTIONS = metrics.counter(
    'lavenderbend_caller_connections_refused_total',
    'Connections of callers closed because too many were open.',
)
FAULTS = metrics.counter(
    'lavenderbend_caller_connection_faults_total',
    'Connections of callers ended by a fault of the router itself.',
)
BAD_REQUESTS = metrics.counter(
    'lavenderbend_caller_bad_requests_total',
    'Requests that could not be read, by status.',
)


class CallerServer:
    """Serves callers.

    Attributes:
        handler: Answers one request.
        limits: Returns the limits in force.
        max_connections: Connections beyond this are closed at once.
        stopping: Whether answers tell callers to close their connections.
        connections: Those open now.
        accepting: Cancelled to take no new connections.
        waiting_since: Router clock from which callers may have waited for
            this router to start.
        early_until: Router clock until which such callers are accepted.
    """

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], forwarding.CallerLimits],
        max_connections: int,
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.max_connections = max_connections
        self.stopping = False
        self.closing_idle = False
        self.accepting = trio.CancelScope()
        self.connections: set[CallerConnection] = set()
        self.empty = trio.Event()
        self.waiting_since = 0.0
        self.early_until = 0.0

    async def serve(
        self,
        host: str,
        port: int,
        task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves until cancelled; starts with the bound port."""
        listeners = await self.open_listeners(host, port)
        bound = listeners[0].socket.getsockname()[1]
        async with trio.open_nursery() as nursery:
            with self.accepting:
                await trio.serve_listeners(
                    self.serve_connection,
                    listeners,
                    handler_nursery=nursery,
                    task_status=StartedWith(task_status, bound),
                )

    async def open_listeners(
        self, host: str, port: int
    ) -> list[trio.SocketListener]:
        """Returns what to accept from, opened at the process's start or now."""
        early = early_listener.take(host, port)
        if early is None:
            return await trio.open_tcp_listeners(
                port, host=host, backlog=BACKLOG
            )
        now = trio.current_time()
        self.waiting_since = now - early.waited_seconds
        self.early_until = now + EARLY_SECONDS
        listening = trio.socket.from_stdlib_socket(early.socket)
        return [trio.SocketListener(listening)]

    async def serve_connection(self, stream: trio.SocketStream) -> None:
        """Serves one connection."""
        if len(self.connections) >= self.max_connections:
            REFUSED_CONNECTIONS.inc({})
            await trio.aclose_forcefully(stream)
            return
        connection = CallerConnection(self, stream)
        self.connections.add(connection)
        try:
            await connection.run()
        except caller_answers.CONNECTION_ERRORS:
            pass
        except Exception as exc:
            # a fault of this program in one request must not end the
            # requests of all other callers with it
            FAULTS.inc({})
            logs.fault('caller_connection_failed', exc)
        finally:
            stream.socket.close()
            self.connections.discard(connection)
            if not self.connections:
                self.empty.set()

    def begin_stop(self) -> None:
        """Tells callers, with each answer, to close their connections."""
        self.stopping = True

    def close_idle(self) -> None:
        """Takes no new connections, and closes those without a request.

        The balancer sends callers to a router that stops if too few others
        are left. What would be taken late in the stop could not end before
        it; a caller that is refused goes on to another router.
        """
        self.closing_idle = True
        self.accepting.cancel()
        for connection in self.connections:
            connection.idle_scope.cancel()

    async def wait_empty(self) -> None:
        """Waits until no connection is open."""
        while self.connections:
            self.empty = trio.Event()
            await self.empty.wait()


class StartedWith:
    """Tells who waits for a listener the port that it is bound to."""

    def __init__(self, task_status: trio.TaskStatus[int], value: int) -> None:
        self.task_status = task_status
        self.value = value

    def started(self, _: object = None) -> None:
        """Passes the port on."""
        self.task_status.started(self.value)


class CallerConnection:
    """One connection of a caller.

    Attributes:
        server: The server.
        stream: The TCP stream.
        protocol: HTTP/1.1 state.
        idle_scope: Cancelled to end the wait for a next request.
        waiting_since: Router clock from which its first request may have
            waited unread, None if it has not.
    """

    def __init__(self, server: CallerServer, stream: trio.SocketStream) -> None:
        self.server = server
        self.stream = stream
        self.idle_scope = trio.CancelScope()
        self.waiting_since: float | None = None
        if trio.current_time() < server.early_until:
            self.waiting_since = server.waiting_since
        limits = server.limits()
        self.protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )
        socket_options.prepare(stream.socket)

    async def run(self) -> None:
        """Serves requests until either side closes."""
        while True:
            if not await self.wait_for_request():
                return
            try:
                request = await self.read_request()
            except h11.RemoteProtocolError as exc:
                await self.refuse(unreadable(exc))
                return
            except errors.RequestError as exc:
                await self.refuse(exc)
                return
            if request is None:
                return
            if not await self.answer(request):
                return
            if self.protocol.our_state is not h11.DONE:
                return
            if self.protocol.their_state is not h11.DONE:
                return
            self.protocol.start_next_cycle()

    async def wait_for_request(self) -> bool:
        """Waits for the first byte of a request; False if none came."""
        if self.protocol.trailing_data[0]:
            return True
        idle = self.server.limits().idle_seconds
        self.idle_scope = trio.CancelScope(deadline=trio.current_time() + idle)
        if self.server.closing_idle:
            self.idle_scope.cancel()
        with self.idle_scope:
            await trio.lowlevel.wait_readable(self.stream.socket)
            return True
        # a request that arrived just now is served: closing over its bytes
        # would reset the connection
        return self.stream.socket.is_readable()

    async def read_request(self) -> interfaces.CallerRequest | None:
        """Returns the next request, None if the caller closed.

        Raises:
            RequestError: It is over a limit, or took too long.
        """
        arrived = self.arrival()
        limits = self.server.limits()
        with trio.move_on_after(limits.header_seconds) as scope:
            head = await self.read_head()
        if scope.cancelled_caught:
            raise too_slow('the headers of the request')
        if head is None:
            return None
        check_head(head, limits)
        with trio.move_on_after(BODY_SECONDS) as scope:
            body = await self.read_body(limits.body_bytes)
        if scope.cancelled_caught:
            raise too_slow('the body of the request')
        headers = tuple((bytes(k), bytes(v)) for k, v in head.headers)
        return interfaces.CallerRequest(
            bytes(head.method), bytes(head.target), headers, body, arrived
        )

    def arrival(self) -> float:
        """Returns the router clock at which a request came, at the earliest.

        The time that a caller gives for its request runs while it waits for
        a router that starts; an upstream must not be told more.
        """
        if self.waiting_since is None:
            return trio.current_time()
        arrived = self.waiting_since
        self.waiting_since = None
        return arrived

    async def read_head(self) -> h11.Request | None:
        """Returns the head of a request, None if the caller closed."""
        while True:
            event = self.protocol.next_event()
            if event is h11.NEED_DATA:
                await self.receive()
            elif isinstance(event, h11.Request):
                return event
            elif isinstance(event, h11.ConnectionClosed):
                return None

    async def read_body(self, limit: int) -> bytes:
        """Returns the whole body of the request.

        Raises:
            RequestTooLarge: It is over the limit.
        """
        parts: list[bytes] = []
        size = 0
        if self.protocol.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            await self.stream.send_all(self.protocol.send(go_on))
        while True:
            event = self.protocol.next_event()
            if event is h11.NEED_DATA:
                await self.receive()
            elif isinstance(event, h11.EndOfMessage):
                return b''.join(parts)
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                size += len(event.data)
                if size > limit:
                    raise errors.RequestTooLarge(
                        f'the body is over {limit} bytes'
                    )

    async def receive(self) -> None:
        """Reads what comes next into the protocol."""
        data = await self.stream.receive_some(RECEIVE_BYTES)
        self.protocol.receive_data(data)

    async def answer(self, request: interfaces.CallerRequest) -> bool:
        """Has the request answered, and stops when the caller leaves.

        Returns:
            Whether all of the answer was written. A deadline may cancel the
            last write half done, when the protocol already counts it as
            sent: what followed on this connection would be read as the rest
            of this answer.
        """
        answer = caller_answers.ConnectionAnswer(self)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.watch_caller, answer, nursery.cancel_scope)
            await self.handle(request, answer)
            nursery.cancel_scope.cancel()
        return answer.finished

    async def handle(
        self,
        request: interfaces.CallerRequest,
        answer: caller_answers.ConnectionAnswer,
    ) -> None:
        """Has the request answered, or says why it is not.

        An answer that has begun and cannot be completed ends with its
        connection: without its last chunk it cannot pass for complete.
        """
        try:
            await self.server.handler(request, answer)
        except errors.CallerGone:
            return
        except errors.RequestError as exc:
            if not answer.started:
                await caller_answers.send_problem(answer, exc, '')

    async def watch_caller(
        self, answer: caller_answers.ConnectionAnswer, scope: trio.CancelScope
    ) -> None:
        """Cancels the request when its caller closes the connection.

        An upstream would go on working for a caller that has left, and the
        next one would wait for its slot.
        """
        try:
            data = await self.stream.socket.recv(1, socket.MSG_PEEK)
        except OSError:
            data = b''
        if data:
            return
        answer.gone = True
        scope.cancel()

    async def refuse(self, error: errors.RequestError) -> None:
        """Tells why the request was not taken, and closes."""
        BAD_REQUESTS.inc({'status': str(error.status)})
        logs.change(
            'request_unreadable', status=error.status, cause=error.detail
        )
        if self.protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        answer = caller_answers.ConnectionAnswer(self)
        with trio.move_on_after(FAREWELL_SECONDS):
            await caller_answers.send_problem(answer, error, '', close=True)
            await self.stream.send_eof()
            # closing over unread bytes would reset the connection before
            # the caller has read why
            while await self.stream.receive_some(RECEIVE_BYTES):
                pass


def check_head(head: h11.Request, limits: forwarding.CallerLimits) -> None:
    """Refuses a head that is too large or can be read in two ways.

    With both a length and a transfer coding, this router and the upstream
    might disagree on where the body ends; what one takes for the end of a
    body the other would run as a request that no caller sent.

    Raises:
        RequestError: It is refused.
    """
    size = sum(len(name) + len(value) + 4 for name, value in head.headers)
    if size + len(head.target) > limits.header_bytes:
        error = errors.RequestTooLarge(
            f'the headers are over {limits.header_bytes} bytes'
        )
        error.status = HEADERS_TOO_LARGE
        raise error
    names = {bytes(name) for name, _ in head.headers}
    if b'content-length' in names and b'transfer-encoding' in names:
        raise errors.RequestInvalid('both a length and a transfer coding')


def unreadable(cause: h11.RemoteProtocolError) -> errors.RequestError:
    """Returns the error for a request that is not HTTP/1.1."""
    error = errors.RequestInvalid(str(cause))
    if cause.error_status_hint == HEADERS_TOO_LARGE:
        error = errors.RequestTooLarge(str(cause))
    error.status = cause.error_status_hint
    return error


def too_slow(what: str) -> errors.RequestError:
    """Returns the error for a request that did not arrive in time."""
    error = errors.RequestInvalid(f'{what} did not arrive in time')
    error.status = REQUEST_TIMEOUT
    return error
