"""Writes answers to callers on HTTP/1.1 connections."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import h11
import trio

from lavenderbend import errors
from lavenderbend.coordination import caller_memory
from lavenderbend.coordination.forwarding import interfaces
from lavenderbend.protocol import problems
from lavenderbend.transport import write_parts

if TYPE_CHECKING:
    from lavenderbend.transport import caller_connections

HEAD = b'HEAD'
# time for a caller to take what is ready when its request is cancelled
LATE_WRITE_SECONDS = 0.2
# what a write may take up in a router's memory beside the answers counted
UNCOUNTED_BYTES = 4 * 1024
CONNECTION_ERRORS = (
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    OSError,
)


class ConnectionAnswer(interfaces.CallerAnswer):
    """The answer to one request on a connection.

    Attributes:
        connection: Connection on which it is written.
        method: Method of the request, empty if it could not be parsed.
        unsent: Parts that were given to `write` and have not left.
        holding: Memory that the answer takes up.
        scope: Cancel scope of the request.
        late_until: Router clock until which writes go on although the request
            is cancelled, None before it is.
    """

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
        self.unsent: list[bytes | memoryview] = []
        memory = connection.server.memory
        self.holding = memory.open(self.end, (caller_memory.ANSWERS,))
        self.scope = trio.CancelScope()
        self.late_until: float | None = None

    def closing(self) -> bool:
        """Returns whether the connection is closed after this answer."""
        return self.connection.server.stopping

    async def write(self, *events: h11.Event) -> None:
        """Sends HTTP/1.1 events in one write.

        Raises:
            AnswerInterrupted: An earlier write was not completed.
            CallerGone: The caller has closed the connection.
        """
        if self.write_pending:
            # the caller would take these bytes for the rest of the cancelled
            # write: its answer would have a gap or break the protocol
            raise errors.AnswerInterrupted('an earlier write was interrupted')
        self.started = True
        size = self.set_unsent(events)
        counted = size > UNCOUNTED_BYTES
        if counted:
            memory = self.connection.server.memory
            memory.set_size(self.holding, max(size, self.holding.size))
            memory.await_caller(self.holding)
        self.write_pending = True
        try:
            await self.complete_write()
        except CONNECTION_ERRORS as exc:
            self.disconnected = True
            raise errors.CallerGone(type(exc).__name__) from exc
        finally:
            if counted:
                self.holding.release()
        self.write_pending = False

    def set_unsent(self, events: tuple[h11.Event, ...]) -> int:
        """Sets what is to be sent; returns its size in bytes.

        A large body is sent apart from its head: joined to it, it would be
        held twice.
        """
        protocol = self.connection.protocol
        parts: list[bytes] = []
        for event in events:
            parts.extend(protocol.send_with_data_passthrough(event) or ())
        self.unsent = write_parts.join_short(parts)
        return sum(map(len, self.unsent))

    async def reserve(self, size: int) -> None:
        """Waits until the router may hold so much of the answer, in bytes."""
        # a failure of an earlier attempt may be held beside the next one
        size = max(size, self.holding.size)
        await self.connection.server.memory.wait_room(self.holding, size)

    def end(self) -> None:
        """Ends the request of a caller that does not take its answer."""
        self.disconnected = True
        self.scope.cancel()

    async def complete_write(self) -> None:
        """Sends what is unsent, for a short time also in a cancelled request.

        A deadline may pass in the same turn of the event loop in which the end
        of an answer was read. The first send is cancelled then before a byte
        has left, and the caller would get neither the answer nor an error.
        """
        try:
            await self.send_unsent()
        except trio.Cancelled:
            if self.disconnected:
                raise
            if self.late_until is None:
                self.late_until = trio.current_time() + LATE_WRITE_SECONDS
            # one limit for all writes: a caller that reads slowly could make
            # each of them last
            with trio.CancelScope(deadline=self.late_until, shield=True):
                await self.send_unsent()
            if self.unsent:
                raise

    def limit_writes(self) -> trio.CancelScope:
        """Returns a scope that ends writes to a caller that does not read."""
        self.late_until = trio.current_time() + LATE_WRITE_SECONDS
        return trio.CancelScope(deadline=self.late_until)

    async def send_unsent(self) -> None:
        """Sends what is unsent; a cancelled call has counted what has left."""
        connection = self.connection.stream.socket
        while self.unsent:
            part = self.unsent[0]
            sent = await connection.send(part)
            if sent == len(part):
                self.unsent.pop(0)
            else:
                self.unsent[0] = memoryview(part)[sent:]
            self.sent_bytes += sent
            self.holding.note_moved(sent)

    def head(self, status: int, headers: interfaces.Headers) -> h11.Response:
        """Returns the head of the answer as an HTTP/1.1 event."""
        if self.closing():
            headers = (*headers, (b'connection', b'close'))
        return h11.Response(status_code=status, headers=list(headers))

    async def send_whole(
        self, status: int, headers: interfaces.Headers, body: bytes
    ) -> None:
        """Sends a complete answer with its length.

        It is ready, and sent also if the request was cancelled meanwhile.
        """
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
        """Sends the head of a streamed answer.

        If the request was cancelled meanwhile, the answer does not begin, and
        the caller can still get an error.
        """
        await trio.lowlevel.checkpoint_if_cancelled()
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
