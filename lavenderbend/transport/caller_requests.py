"""Reads callers' requests from HTTP/1.1 connections, within limits."""

from __future__ import annotations

import math
import sys
from typing import TYPE_CHECKING

import attrs
import h11
import trio

from lavenderbend import errors
from lavenderbend.coordination import caller_memory
from lavenderbend.coordination.forwarding import interfaces
from lavenderbend.protocol import counts

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from lavenderbend.state import forwarding
    from lavenderbend.transport import turns as turns_module

    Check = Callable[
        [interfaces.CallerRequest], Awaitable[tuple[caller_memory.Group, ...]]
    ]

# Bytes that were read beyond the end of a request are kept while it is
# answered: no more than these.
RECEIVE_BYTES = 16 * 1024
# a body that is known to be no larger is not checked by its head
UNCHECKED_BODY_BYTES = 16 * 1024
# of a body whose length is known
BODY_RECEIVE_BYTES = 64 * 1024
# a body that stops arriving occupies its connection for at most this time, and
# one that arrives for as long as it would take at the rate
BODY_SECONDS = 10.0
BODY_BYTES_PER_SECOND = 256 * 1024
# a larger head may take half a millisecond and more to parse
LARGE_HEAD_BYTES = 1024
# parts of a body that are parsed in one turn of the event loop
PARTS_PER_TURN = 64
REQUEST_TIMEOUT_STATUS = 408
HEADERS_TOO_LARGE_STATUS = 431
NOT_IMPLEMENTED_STATUS = 501
CONNECT = b'CONNECT'


@attrs.define
class Body:
    """The part of a body that has arrived.

    Attributes:
        holding: Memory that the request takes up.
        head_bytes: What its head takes up.
        limit: Maximum size of the body, in bytes.
        data: The bytes.
        parts: Number of parts in which they arrived.
    """

    holding: caller_memory.Holding
    head_bytes: int
    limit: int
    data: bytearray = attrs.field(factory=bytearray)
    parts: int = 0

    def add(self, part: bytes) -> None:
        """Adds the next part.

        Raises:
            RequestTooLarge: The body exceeds its limit.
            RouterOverloaded: There is no memory for it.
        """
        if len(self.data) + len(part) > self.limit:
            raise body_too_large(self.limit)
        self.data += part
        self.parts += 1
        self.holding.note_moved(len(part))
        self.holding.resize(self.head_bytes + sys.getsizeof(self.data))

    def whole(self) -> bytes:
        """Returns the complete body."""
        data = bytes(self.data)
        self.holding.resize(self.head_bytes + len(data))
        return data


class RequestReader:
    """Reads one request.

    Attributes:
        stream: The TCP stream.
        protocol: HTTP/1.1 state of the connection.
        limits: Limits on the size and the duration of a request.
        holding: Memory that the request takes up.
        turns: Turns of the event loop.
        check: Refuses a request by its head, before its body is awaited;
            returns the groups that its body is counted in.
        scope: Cancel scope of the part that is read, the head or the body.
        parsing: Whether bytes of the head wait to be parsed.
        head_bytes: Memory that the head takes up.
        refusal: What `check` raised, None if nothing.
    """

    def __init__(
        self,
        stream: trio.SocketStream,
        protocol: h11.Connection,
        limits: forwarding.CallerLimits,
        holding: caller_memory.Holding,
        turns: turns_module.Turns,
        check: Check,
    ) -> None:
        self.stream = stream
        self.protocol = protocol
        self.limits = limits
        self.holding = holding
        self.turns = turns
        self.check = check
        self.scope = trio.CancelScope()
        self.parsing = False
        self.head_bytes = 0
        self.refusal: errors.RequestError | None = None

    async def read_start(
        self, arrived: float
    ) -> interfaces.CallerRequest | None:
        """Returns the next request without its body.

        None if the caller closed the connection.

        Args:
            arrived: Earliest router clock at which it can have arrived.

        Raises:
            RequestError: Its head exceeds a limit or did not arrive in time.
        """
        self.set_time(self.limits.header_seconds)
        with self.scope:
            head = await self.read_head()
        if self.scope.cancelled_caught:
            raise request_timeout('the headers of the request')
        if head is None:
            return None
        headers = tuple((bytes(k), bytes(v)) for k, v in head.headers)
        request = interfaces.CallerRequest(
            bytes(head.method), bytes(head.target), headers, b'', arrived
        )
        text_bytes = text_size(request)
        check_head(request, text_bytes, self.limits)
        self.head_bytes = caller_memory.head_size(len(headers), text_bytes)
        return request

    async def read_rest(
        self, request: interfaces.CallerRequest
    ) -> interfaces.CallerRequest:
        """Returns the request with its body.

        Raises:
            RequestError: The body exceeds a limit or did not arrive in time,
                there is no memory for it, or the request is refused by its
                head.
        """
        self.set_time(BODY_SECONDS)
        with self.scope:
            body = await self.read_body(request)
        if self.scope.cancelled_caught:
            raise request_timeout('the body of the request')
        return attrs.evolve(request, body=body) if body else request

    def set_time(self, seconds: float) -> None:
        """Limits the time for the part that is read next."""
        deadline = trio.current_time() + seconds
        self.scope = trio.CancelScope(deadline=deadline)

    async def read_head(self) -> h11.Request | None:
        """Returns the head of a request, None if the connection was closed."""
        size = len(self.protocol.trailing_data[0])
        while True:
            if size > LARGE_HEAD_BYTES:
                self.parsing = True
                await self.take_turn()
                self.parsing = False
            event = self.protocol.next_event()
            if event is h11.NEED_DATA:
                size += await self.receive(RECEIVE_BYTES)
            elif isinstance(event, h11.Request):
                return event
            elif isinstance(event, h11.ConnectionClosed):
                return None

    async def read_body(self, request: interfaces.CallerRequest) -> bytes:
        """Returns the complete body of a request.

        Raises:
            RequestError: The request is refused before all of it has arrived.
        """
        length = content_length(request)
        if length > self.limits.body_bytes:
            raise body_too_large(self.limits.body_bytes)
        self.holding.resize(self.head_bytes)
        body = Body(self.holding, self.head_bytes, self.limits.body_bytes)
        awaited = False
        while True:
            event = self.protocol.next_event()
            if event is h11.NEED_DATA:
                if not awaited:
                    await self.await_body(request, length)
                    awaited = True
                await self.receive_body(length - len(body.data))
            elif isinstance(event, h11.EndOfMessage):
                return body.whole()
            elif isinstance(event, h11.Data):
                body.add(event.data)
                self.scope.deadline += len(event.data) / BODY_BYTES_PER_SECOND
                if body.parts % PARTS_PER_TURN == 0:
                    await self.take_turn()

    async def await_body(
        self, request: interfaces.CallerRequest, length: int
    ) -> None:
        """Prepares to wait for a body of which a part has not arrived.

        A body known to be small is not checked by its head: it often follows
        in a packet of its own, and its connection can be kept if the request
        is refused after it.

        Args:
            request: The request without its body.
            length: Length of the body, 0 if it is not known.

        Raises:
            RequestError: The request is refused by its head, or there is no
                memory for the body.
        """
        memory = self.holding.memory
        memory.await_caller(self.holding)
        expects = self.protocol.they_are_waiting_for_100_continue
        if not expects and 0 < length <= UNCHECKED_BODY_BYTES:
            return
        try:
            self.holding.join(await self.check(request))
        except errors.RequestError as exc:
            self.refusal = exc
            raise
        memory.require_room(self.holding, length)
        if expects:
            informational = h11.InformationalResponse(
                status_code=100, headers=[]
            )
            await self.stream.send_all(self.protocol.send(informational))

    async def receive_body(self, missing: int) -> None:
        """Reads the next bytes of a body.

        Chunks take a turn of the event loop, as they may be many. Without
        chunks, a read is one part.

        Args:
            missing: Bytes that are still to come if the length is known.
        """
        if missing > 0:
            # what follows the body stays in the kernel
            await self.receive(min(missing, BODY_RECEIVE_BYTES))
            return
        await self.take_turn()
        await self.receive(RECEIVE_BYTES)

    async def take_turn(self) -> None:
        """Takes a turn; the wait for it does not count as the caller's."""
        asked = trio.current_time()
        deadline = self.scope.deadline
        self.scope.deadline = math.inf
        await self.turns.take()
        waited = trio.current_time() - asked
        self.holding.moved_at += waited
        self.scope.deadline = deadline + waited

    async def receive(self, size: int) -> int:
        """Reads the next bytes from the socket into the protocol state.

        Args:
            size: Maximum number of bytes.

        Returns:
            How many were read.
        """
        data = await self.stream.receive_some(size)
        self.protocol.receive_data(data)
        return len(data)


def content_length(request: interfaces.CallerRequest) -> int:
    """Returns the length that a request gives its body, 0 if it gives none."""
    text = request.header('content-length') or ''
    return counts.parse_count(text) or 0


def text_size(request: interfaces.CallerRequest) -> int:
    """Returns the size of a request's head as it was sent, in bytes."""
    size = sum(len(name) + len(value) + 4 for name, value in request.headers)
    return size + len(request.target)


def check_head(
    request: interfaces.CallerRequest,
    text_bytes: int,
    limits: forwarding.CallerLimits,
) -> None:
    """Rejects a head that is too large, ambiguous or asks for a tunnel.

    With both a length and a transfer coding, this router and the upstream
    may disagree on where the body ends: bytes that one takes for the end of
    the body the other would execute as a request that no caller sent (request
    smuggling).

    Args:
        request: The request without its body.
        text_bytes: Size of its head as it was sent.
        limits: Limits on the size of a head.

    Raises:
        RequestError: The head is rejected.
    """
    if text_bytes > limits.header_bytes:
        error = errors.RequestTooLarge(
            f'the headers are over {limits.header_bytes} bytes'
        )
        error.status = HEADERS_TOO_LARGE_STATUS
        raise error
    if request.method == CONNECT:
        error = errors.RequestInvalid('tunnels are not opened')
        error.status = NOT_IMPLEMENTED_STATUS
        raise error
    names = {name for name, _ in request.headers}
    if b'content-length' in names and b'transfer-encoding' in names:
        raise errors.RequestInvalid('both content-length and transfer-encoding')


def body_too_large(limit: int) -> errors.RequestTooLarge:
    """Returns the error for a body over the limit, in bytes."""
    return errors.RequestTooLarge(f'the body is over {limit} bytes')


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
