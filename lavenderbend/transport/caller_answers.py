"""Answers to callers on their HTTP/1.1 connections."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import h11
import trio

from lavenderbend import errors
from lavenderbend.coordination.forwarding import interfaces
from lavenderbend.protocol import problems

if TYPE_CHECKING:
    from lavenderbend.transport import caller_connections

HEAD = b'HEAD'
CONNECTION_ERRORS = (
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    OSError,
)


class ConnectionAnswer(interfaces.CallerAnswer):
    """The answer to one request on a connection."""

    def __init__(
        self,
        connection: caller_connections.CallerConnection,
        method: bytes = b'',
    ) -> None:
        """Makes an answer.

        Args:
            connection: Where it is written.
            method: Of the request, empty for one that could not be read.
        """
        self.connection = connection
        self.method = method

    def closing(self) -> bool:
        """Whether the connection closes after this answer."""
        return self.connection.server.stopping

    async def write(self, *events: h11.Event) -> None:
        """Sends events in one write.

        Raises:
            AnswerInterrupted: The write before was cut.
            CallerGone: The caller has closed.
        """
        if self.write_pending:
            # the caller would read these bytes as the rest of those that were
            # cut: a gap in its answer, or no answer in the protocol
            raise errors.AnswerInterrupted('the write before was cut')
        protocol = self.connection.protocol
        data = b''.join(protocol.send(event) or b'' for event in events)
        self.write_pending = True
        try:
            await self.connection.stream.send_all(data)
        except CONNECTION_ERRORS as exc:
            self.disconnected = True
            raise errors.CallerGone(type(exc).__name__) from exc
        self.write_pending = False

    def head(self, status: int, headers: interfaces.Headers) -> h11.Response:
        """Returns the head as an event."""
        if self.closing():
            headers = (*headers, (b'connection', b'close'))
        return h11.Response(status_code=status, headers=list(headers))

    async def send_whole(
        self, status: int, headers: interfaces.Headers, body: bytes
    ) -> None:
        """Sends an answer of known length."""
        self.started = True
        headers = without_length(headers)
        length = (b'content-length', b'%d' % len(body))
        await self.write(
            self.head(status, (*headers, length)),
            # the answer to HEAD states a length and has no body
            h11.Data(data=b'' if self.method == HEAD else body),
            h11.EndOfMessage(),
        )
        self.finished = True

    async def start(self, status: int, headers: interfaces.Headers) -> None:
        """Sends the head of a streamed answer."""
        self.started = True
        await self.write(self.head(status, without_length(headers)))

    async def send(self, data: bytes) -> None:
        """Sends a part of a streamed answer."""
        await self.write(h11.Data(data=data))

    async def finish(self) -> None:
        """Ends a streamed answer as complete."""
        await self.write(h11.EndOfMessage())
        self.finished = True


def without_length(headers: interfaces.Headers) -> interfaces.Headers:
    """Returns the headers without a length, which is stated anew."""
    return tuple(item for item in headers if item[0] != b'content-length')


async def send_problem(
    answer: interfaces.CallerAnswer,
    error: errors.RequestError,
    request_id: str,
    close: bool = False,
) -> None:
    """Sends an error of the router as problem details."""
    headers = [
        (b'content-type', problems.CONTENT_TYPE.encode()),
    ]
    if error.retry_after is not None:
        # a fraction: callers with a second left come back within it
        seconds = math.ceil(error.retry_after * 1000) / 1000
        headers.append((b'retry-after', b'%g' % seconds))
    if close:
        headers.append((b'connection', b'close'))
    await answer.send_whole(
        error.status, tuple(headers), problems.to_body(error, request_id)
    )
