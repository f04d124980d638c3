"""Reads callers' requests from HTTP/1.1 connections, within limits."""

from __future__ import annotations

from typing import TYPE_CHECKING

import h11
import trio

from lavenderbend import errors
from lavenderbend.coordination.forwarding import interfaces

if TYPE_CHECKING:
    from lavenderbend.state import forwarding

RECEIVE_BYTES = 64 * 1024
# a body that stops arriving occupies its connection for at most this time
BODY_SECONDS = 10.0
REQUEST_TIMEOUT_STATUS = 408
HEADERS_TOO_LARGE_STATUS = 431
NOT_IMPLEMENTED_STATUS = 501
CONNECT = b'CONNECT'


class RequestReader:
    """Reads one request.

    Attributes:
        stream: The TCP stream.
        protocol: HTTP/1.1 state of the connection.
        limits: Limits on the size and the duration of a request.
    """

    def __init__(
        self,
        stream: trio.SocketStream,
        protocol: h11.Connection,
        limits: forwarding.CallerLimits,
    ) -> None:
        self.stream = stream
        self.protocol = protocol
        self.limits = limits

    async def read(self, arrived: float) -> interfaces.CallerRequest | None:
        """Returns the next request, None if the caller closed the connection.

        Args:
            arrived: Earliest router clock at which it can have arrived.

        Raises:
            RequestError: It exceeds a limit or did not arrive in time.
        """
        limits = self.limits
        with trio.move_on_after(limits.header_seconds) as scope:
            head = await self.read_head()
        if scope.cancelled_caught:
            raise request_timeout('the headers of the request')
        if head is None:
            return None
        check_head(head, limits)
        with trio.move_on_after(BODY_SECONDS) as scope:
            body = await self.read_body(limits.body_bytes)
        if scope.cancelled_caught:
            raise request_timeout('the body of the request')
        headers = tuple((bytes(k), bytes(v)) for k, v in head.headers)
        return interfaces.CallerRequest(
            bytes(head.method), bytes(head.target), headers, body, arrived
        )

    async def read_head(self) -> h11.Request | None:
        """Returns the head of a request, None if the connection was closed."""
        while True:
            event = self.protocol.next_event()
            if event is h11.NEED_DATA:
                await self.receive()
            elif isinstance(event, h11.Request):
                return event
            elif isinstance(event, h11.ConnectionClosed):
                return None

    async def read_body(self, limit: int) -> bytes:
        """Returns the complete body of the request.

        Raises:
            RequestTooLarge: It exceeds the limit, in bytes.
        """
        parts: list[bytes] = []
        size = 0
        if self.protocol.they_are_waiting_for_100_continue:
            informational = h11.InformationalResponse(
                status_code=100, headers=[]
            )
            await self.stream.send_all(self.protocol.send(informational))
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
        """Reads the next bytes from the socket into the protocol state."""
        data = await self.stream.receive_some(RECEIVE_BYTES)
        self.protocol.receive_data(data)


def check_head(head: h11.Request, limits: forwarding.CallerLimits) -> None:
    """Rejects a head that is too large, ambiguous or asks for a tunnel.

    With both a length and a transfer coding, this router and the upstream
    may disagree on where the body ends: bytes that one takes for the end of
    the body the other would execute as a request that no caller sent (request
    smuggling).

    Raises:
        RequestError: The head is rejected.
    """
    size = sum(len(name) + len(value) + 4 for name, value in head.headers)
    if size + len(head.target) > limits.header_bytes:
        error = errors.RequestTooLarge(
            f'the headers are over {limits.header_bytes} bytes'
        )
        error.status = HEADERS_TOO_LARGE_STATUS
        raise error
    if head.method == CONNECT:
        error = errors.RequestInvalid('tunnels are not opened')
        error.status = NOT_IMPLEMENTED_STATUS
        raise error
    names = {bytes(name) for name, _ in head.headers}
    if b'content-length' in names and b'transfer-encoding' in names:
        raise errors.RequestInvalid('both content-length and transfer-encoding')


def malformed_request(cause: h11.RemoteProtocolError) -> errors.RequestError:
    """Returns the error for a request that is not valid HTTP/1.1."""
    error = errors.RequestInvalid(str(cause))
    if cause.error_status_hint == HEADERS_TOO_LARGE_STATUS:
        error = errors.RequestTooLarge(str(cause))
    error.status = cause.error_status_hint
    return error


def request_timeout(part: str) -> errors.RequestError:
    """Returns the error for a request that did not arrive in time."""
    error = errors.RequestInvalid(f'{part} did not arrive in time')
    error.status = REQUEST_TIMEOUT_STATUS
    return error
