"""The server that accepts callers' connections, and its stop."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from lavenderbend.observe import logs
from lavenderbend.observe import metrics
from lavenderbend.transport import caller_answers
from lavenderbend.transport import caller_connections
from lavenderbend.transport import early_listener

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from lavenderbend.coordination.forwarding import interfaces
    from lavenderbend.state import forwarding

    Handler = Callable[
        [interfaces.CallerRequest, interfaces.CallerAnswer], Awaitable[None]
    ]

BACKLOG = 1024
# connections that waited for the router to start are accepted within this
EARLY_SECONDS = 0.05

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
        self.connections: set[caller_connections.CallerConnection] = set()
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
        connection = caller_connections.CallerConnection(self, stream)
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
