"""The server that accepts callers' connections, and its graceful stop."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from lavenderbend.coordination import caller_memory
from lavenderbend.observe import logs
from lavenderbend.observe import metrics
from lavenderbend.state import settings
from lavenderbend.transport import caller_answers
from lavenderbend.transport import caller_connections
from lavenderbend.transport import early_listener
from lavenderbend.transport import socket_options
from lavenderbend.transport import turns
from lavenderbend.transport import waiting_connections

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from lavenderbend.coordination.forwarding import interfaces
    from lavenderbend.state import forwarding
    from lavenderbend.transport import caller_requests

    Handler = Callable[
        [interfaces.CallerRequest, interfaces.CallerAnswer], Awaitable[None]
    ]

BACKLOG = 1024
# connections opened while the router started are accepted within this time
EARLY_ACCEPT_SECONDS = 0.05

REFUSED_CONNECTIONS = metrics.counter(
    'lavenderbend_caller_connections_refused_total',
    'Connections of callers closed because too many were open.',
)
FAULTS = metrics.counter(
    'lavenderbend_caller_connection_faults_total',
    'Connections of callers ended by a fault of the router itself.',
)


class CallerServer:
    """Serves callers.

    Attributes:
        handler: Answers one request.
        limits: Returns the current limits.
        max_connections: Maximum number of open connections. For another one
            the one that has waited the longest for a request is closed.
        memory: Memory for what callers send and are sent.
        check: Refuses a request by its head, before its body is awaited;
            returns the groups that its body is counted in.
        turns: Turns of the event loop.
        stopping: Whether answers ask callers to close their connections.
        closing_idle: Whether connections that become idle are closed.
        connections: Open connections.
        waiting: Those that wait for a request.
        accept_scope: Cancelled to stop accepting connections.
        all_closed: Set when the last connection closes.
        waiting_since: Router clock since which callers may have been waiting
            for this router to start.
        early_until: Router clock until which connections opened during the
            start are accepted.
    """

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], forwarding.CallerLimits],
        max_connections: int,
        max_held_bytes: int = settings.DEFAULT_HELD_BYTES,
        check: caller_requests.Check | None = None,
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.max_connections = max_connections
        self.memory = caller_memory.CallerMemory(max_held_bytes)
        self.check = check or accept
        self.turns = turns.Turns()
        self.stopping = False
        self.closing_idle = False
        self.accept_scope = trio.CancelScope()
        self.connections: set[caller_connections.CallerConnection] = set()
        self.waiting: waiting_connections.WaitingConnections[
            caller_connections.CallerConnection
        ] = waiting_connections.WaitingConnections()
        self.all_closed = trio.Event()
        self.waiting_since = 0.0
        self.early_until = 0.0

    async def serve(
        self,
        host: str,
        port: int,
        task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves until cancelled; `task_status` gets the bound port."""
        listeners = await self.open_listeners(host, port)
        bound = listeners[0].socket.getsockname()[1]
        async with trio.open_nursery() as nursery:
            with self.accept_scope:
                await trio.serve_listeners(
                    self.serve_connection,
                    listeners,
                    handler_nursery=nursery,
                    task_status=PortStatus(task_status, bound),
                )

    async def open_listeners(
        self, host: str, port: int
    ) -> list[trio.SocketListener]:
        """Returns the listeners, which keep little of what is not accepted."""
        listeners = await self.find_listeners(host, port)
        for listener in listeners:
            socket_options.limit_unread(listener.socket)
        return listeners

    async def find_listeners(
        self, host: str, port: int
    ) -> list[trio.SocketListener]:
        """Returns the early listener of the address, or opens new listeners."""
        early = early_listener.take_listener(host, port)
        if early is None:
            return await trio.open_tcp_listeners(
                port, host=host, backlog=BACKLOG
            )
        now = trio.current_time()
        self.waiting_since = now - early.waited_seconds
        self.early_until = now + EARLY_ACCEPT_SECONDS
        listening = trio.socket.from_stdlib_socket(early.socket)
        return [trio.SocketListener(listening)]

    async def serve_connection(self, stream: trio.SocketStream) -> None:
        """Serves one connection."""
        full = len(self.connections) >= self.max_connections
        if full and self.waiting.close_one() is None:
            REFUSED_CONNECTIONS.inc({})
            await trio.aclose_forcefully(stream)
            return
        connection = caller_connections.CallerConnection(self, stream)
        self.connections.add(connection)
        self.waiting.add_unused(connection)
        try:
            with connection.scope:
                await connection.run()
        except caller_answers.CONNECTION_ERRORS:
            pass
        except Exception as exc:
            # a bug that one request triggers must not end the requests of
            # all other callers
            FAULTS.inc({})
            logs.fault('caller_connection_failed', exc)
        finally:
            connection.holding.release()
            stream.socket.close()
            self.waiting.discard(connection)
            self.connections.discard(connection)
            if not self.connections:
                self.all_closed.set()

    def begin_stop(self) -> None:
        """Asks callers, with each answer, to close their connections."""
        self.stopping = True

    def close_idle(self) -> None:
        """Stops accepting connections, and closes those without a request.

        The load balancer sends callers to a stopping router if too few others
        are left. A request accepted late in the stop could not end before the
        process does; a caller whose connection is refused uses another router.
        """
        self.closing_idle = True
        self.accept_scope.cancel()
        for connection in self.connections:
            connection.idle_scope.cancel()

    def end_reading(self) -> None:
        """Refuses the requests of which a part has not arrived."""
        for connection in self.connections:
            connection.read_scope.cancel()

    async def wait_all_closed(self) -> None:
        """Waits until no connection is open."""
        while self.connections:
            self.all_closed = trio.Event()
            await self.all_closed.wait()


async def accept(
    request: interfaces.CallerRequest,
) -> tuple[caller_memory.Group, ...]:
    """Refuses no request; the default of `CallerServer.check`."""
    return ()


class PortStatus:
    """A task status that reports the port that a listener is bound to."""

    def __init__(self, task_status: trio.TaskStatus[int], port: int) -> None:
        self.task_status = task_status
        self.port = port

    def started(self, _: object = None) -> None:
        """Reports the port."""
        self.task_status.started(self.port)
