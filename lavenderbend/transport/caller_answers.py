"""Writes answers to callers on HTTP/1.1 connections."""

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
        """Initializes the answer.

        Args:
            connection: Connection on which it is written.
            method: Method of the request, empty if the request could not be
                parsed.
        """
        self.connection = connection
        self.method = method

    def closing(self) -> bool:
        """Returns whether the connection is closed after this answer."""
        return self.connection.server.stopping

    async def write(self, *events: h11.Event) -> None:
        """Sends HTTP/1.1 events in one write.

        Raises:
            AnswerInterrupted: An earlier write was cancelled part-way.
            CallerGone: The caller has closed the connection.
        """
        if self.write_pending:
            # the caller would take these bytes for the rest of the cancelled
            # write: its answer would have a gap or break the protocol
            raise errors.AnswerInterrupted('an earlier write was interrupted')
        protocol = self.connection.protocol
        data = b''.join(protocol.send(event) or b'' for event in events)
        self.write_pending = True
        try:
            await self.connection.stream.send_all(data)
        except CONNECTION_ERRORS as exc:
            self.disconnected = True
            raise errors.CallerGone(type(exc).__name__) from exc
        self.write_pending = False
        self.sent_bytes += len(data)

    def head(self, status: int, headers: interfaces.Headers) -> h11.Response:
        """Returns the head of the answer as an HTTP/1.1 event."""
        if self.closing():
            headers = (*headers, (b'connection', b'close'))
        return h11.Response(status_code=status, headers=list(headers))

    async def send_whole(
        self, status: int, headers: interfaces.Headers, body: bytes
    ) -> None:
        """Sends a complete answer with its length."""
        self.started = True
        headers = without_length(headers)
        length = (b'content-length', b'%d' % len(body))
        await self.write(
            self.head(status, (*headers, length)),
            # the answer to HEAD has a content-length and no body
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
        """Marks the end of a streamed answer."""
        await self.write(h11.EndOfMessage())
        self.finished = True


def without_length(headers: interfaces.Headers) -> interfaces.Headers:
    """Returns the headers without content-length, which is set separately."""
    return tuple(pair for pair in headers if pair[0] != b'content-length')


async def send_problem(
    answer: interfaces.CallerAnswer,
    error: errors.RequestError,
    request_id: str,
    close: bool = False,
) -> None:
    """Sends an error of the router as problem details (RFC 9457)."""
    headers = [
        (b'content-type', problems.CONTENT_TYPE.encode()),
    ]
    if error.retry_after is not None:
        # fractions of a second are kept: a caller whose deadline is a second
        # away can still retry before it
        seconds = math.ceil(error.retry_after * 1000) / 1000
        headers.append((b'retry-after', b'%g' % seconds))
    if close:
        headers.append((b'connection', b'close'))
    await answer.send_whole(
        error.status, tuple(headers), problems.to_body(error, request_id)
    )
