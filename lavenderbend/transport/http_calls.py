"""Calls to one HTTP/1.1 server on one persistent connection, by h11."""

from __future__ import annotations

from collections.abc import Mapping  # noqa: TC003 - attrs evaluates it
import contextlib

import attrs
import h11
import trio

from lavenderbend import errors
from lavenderbend.transport import socket_options

RECEIVE_BYTES = 256 * 1024
CONNECTION_ERRORS = (
    h11.ProtocolError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    OSError,
)


@attrs.frozen
class CallAnswer:
    """The answer to a call.

    Attributes:
        status: HTTP status.
        body: The complete body.
        headers: Values by name in lower case.
    """

    status: int
    body: bytes
    headers: Mapping[bytes, bytes] = attrs.field(factory=dict)


class HttpCaller:
    """Makes calls to one server, one at a time.

    Attributes:
        host: IP address of the server.
        port: Its port.
        timeout_seconds: Timeout of a call.
        stream: The persistent connection, None if there is none.
        protocol: HTTP/1.1 state of the connection.
    """

    def __init__(self, host: str, port: int, timeout_seconds: float) -> None:
        self.host = host
        self.port = port
        self.timeout_seconds = timeout_seconds
        self.stream: trio.SocketStream | None = None
        self.protocol = h11.Connection(h11.CLIENT)

    async def get(self, target: str) -> CallAnswer:
        """Returns the answer to a GET.

        Raises:
            KeyValueUnavailable: There was no answer within the timeout.
        """
        return await self.answer('GET', target, b'')

    async def post(self, target: str, body: bytes) -> CallAnswer:
        """Returns the answer to a POST of JSON.

        Raises:
            KeyValueUnavailable: There was no answer within the timeout; the
                call may have had its effect.
        """
        return await self.answer('POST', target, body)

    async def answer(self, method: str, target: str, body: bytes) -> CallAnswer:
        """Returns the answer to a call.

        Raises:
            KeyValueUnavailable: There was no answer within the timeout.
        """
        try:
            with trio.fail_after(self.timeout_seconds):
                answer = await self.call(method, target, body)
        except (*CONNECTION_ERRORS, trio.TooSlowError) as exc:
            self.close()
            cause = f'{type(exc).__name__}: {exc}'
            raise errors.KeyValueUnavailable(cause) from exc
        except trio.Cancelled:
            self.close()
            raise
        return answer

    async def call(self, method: str, target: str, body: bytes) -> CallAnswer:
        """Makes the call on the open connection, or on a new one."""
        stream = await self.ensure_connected()
        headers = [('host', f'{self.host}:{self.port}')]
        if body:
            headers.append(('content-type', 'application/json'))
            headers.append(('content-length', str(len(body))))
        request = h11.Request(method=method, target=target, headers=headers)
        data = self.protocol.send(request)
        if body:
            data += self.protocol.send(h11.Data(data=body))
        data += self.protocol.send(h11.EndOfMessage())
        await stream.send_all(data)
        answer = await self.read_answer(stream)
        if self.protocol.our_state is h11.DONE:
            with contextlib.suppress(h11.ProtocolError):
                self.protocol.start_next_cycle()
                return answer
        self.close()
        return answer

    async def ensure_connected(self) -> trio.SocketStream:
        """Returns the connection; opens a new one if it cannot be reused."""
        if self.reusable():
            return self.stream
        self.close()
        self.stream = await socket_options.connect(self.host, self.port)
        socket_options.prepare(self.stream.socket)
        self.protocol = h11.Connection(h11.CLIENT)
        return self.stream

    def reusable(self) -> bool:
        """Returns whether the open connection can carry another call.

        Bytes after the last answer, whether read or not, are the end of the
        connection or a duplicate answer. Taken for the answer to the next
        call, they would present outdated state as current.
        """
        if self.stream is None or self.protocol.trailing_data[0]:
            return False
        return not self.stream.socket.is_readable()

    async def read_answer(self, stream: trio.SocketStream) -> CallAnswer:
        """Reads one answer."""
        status = 0
        headers: dict[bytes, bytes] = {}
        parts: list[bytes] = []
        while True:
            event = self.protocol.next_event()
            if event is h11.NEED_DATA:
                data = await stream.receive_some(RECEIVE_BYTES)
                self.protocol.receive_data(data)
            elif isinstance(event, h11.Response):
                status = event.status_code
                headers = dict(event.headers)
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return CallAnswer(status, b''.join(parts), headers)
            elif isinstance(event, h11.ConnectionClosed):
                raise h11.RemoteProtocolError(
                    'connection closed before the answer'
                )

    def close(self) -> None:
        """Closes the connection."""
        if self.stream is not None:
            self.stream.socket.close()
            self.stream = None
