"""HTTP server of the load balancer's readiness check and the metrics."""

from __future__ import annotations

import errno
import socket
from typing import TYPE_CHECKING

import h11
import trio

from lavenderbend.observe import metrics

if TYPE_CHECKING:
    from collections.abc import Callable

RECEIVE_BYTES = 8 * 1024
# closes connections on which no further request is received
IDLE_SECONDS = 30.0
METRICS_PATH = b'/metrics'
OK = 200
UNAVAILABLE = 503
NOT_FOUND = 404


class ReadinessServer:
    """Answers the readiness checks of the balancer and serves the metrics.

    Attributes:
        path: Path of the readiness check.
        ready: Returns whether this router accepts requests.
    """

    def __init__(self, path: str, ready: Callable[[], bool]) -> None:
        self.path = path.encode()
        self.ready = ready

    async def serve(
        self,
        host: str,
        port: int,
        task_status: trio.TaskStatus[object] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves until cancelled."""
        listeners = await trio.open_tcp_listeners(port, host=host)
        await trio.serve_listeners(
            self.serve_connection, listeners, task_status=task_status
        )

    async def serve_connection(self, stream: trio.SocketStream) -> None:
        """Serves one connection."""
        stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        protocol = h11.Connection(h11.SERVER)
        try:
            while True:
                with trio.move_on_after(IDLE_SECONDS) as scope:
                    target = await self.read_target(stream, protocol)
                if scope.cancelled_caught or target is None:
                    return
                status, body = self.answer(target)
                await stream.send_all(encode(protocol, status, body))
                if protocol.our_state is not h11.DONE:
                    return
                protocol.start_next_cycle()
        except (h11.ProtocolError, trio.BrokenResourceError):
            return
        except OSError as exc:
            if exc.errno not in (errno.ECONNRESET, errno.EPIPE, errno.EBADF):
                raise
        finally:
            stream.socket.close()

    async def read_target(
        self, stream: trio.SocketStream, protocol: h11.Connection
    ) -> bytes | None:
        """Returns the target of the next request, None at the end."""
        target = None
        while True:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                protocol.receive_data(await stream.receive_some(RECEIVE_BYTES))
            elif isinstance(event, h11.Request):
                target = bytes(event.target)
            elif isinstance(event, h11.EndOfMessage):
                return target
            elif isinstance(event, h11.ConnectionClosed):
                return None

    def answer(self, target: bytes) -> tuple[int, bytes]:
        """Returns the status and body of the response to a request target."""
        if target == self.path:
            return (OK if self.ready() else UNAVAILABLE), b''
        if target == METRICS_PATH:
            return OK, metrics.render()
        return NOT_FOUND, b''


def encode(protocol: h11.Connection, status: int, body: bytes) -> bytes:
    """Returns an encoded HTTP response."""
    headers = [(b'content-length', b'%d' % len(body))]
    data = protocol.send(h11.Response(status_code=status, headers=headers))
    if body:
        data += protocol.send(h11.Data(data=body))
    return data + (protocol.send(h11.EndOfMessage()) or b'')
