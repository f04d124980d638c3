"""Readers of answer bodies, which check that a body is complete."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from lavenderbend import errors
from lavenderbend.coordination import caller_memory
from lavenderbend.protocol import counts
from lavenderbend.protocol import openai
from lavenderbend.protocol import sse

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable

    from lavenderbend.coordination import interfaces
    from lavenderbend.coordination.dispatch import pacing
    from lavenderbend.coordination.dispatch import relay
    from lavenderbend.protocol import http_limits

CONTENT_LENGTH = 'content-length'


class Body:
    """The body of one upstream's answer, read piece by piece.

    Attributes:
        iterator: The bytes as they arrive.
        limits: Limits on the answer.
        client_detects_stalls: Whether the iterator has a stall timeout of
            its own.
    """

    def __init__(
        self,
        answer: interfaces.UpstreamAnswer,
        limits: http_limits.AnswerLimits,
    ) -> None:
        self.iterator: AsyncIterator[bytes] = answer.chunks()
        self.client_detects_stalls = answer.detects_stalls
        self.limits = limits

    def receive_next(self) -> Awaitable[bytes | None]:
        """Returns an awaitable of the next bytes; as `receive`."""
        if self.client_detects_stalls:
            return self.receive_without_timeout()
        return self.receive()

    async def receive_without_timeout(self) -> bytes | None:
        """Returns the next bytes of an iterator with its own stall timeout."""
        try:
            return await self.iterator.__anext__()
        except StopAsyncIteration:
            return None

    async def receive(self) -> bytes | None:
        """Returns the next bytes, None at the end.

        Raises:
            UpstreamStalled: No bytes arrived within the stall timeout.
            UpstreamBroke: The answer ended early.
        """
        if self.client_detects_stalls:
            return await self.receive_without_timeout()
        try:
            # without this an upstream that stops sending would occupy the
            # caller, the permit and the memory of the exchange for ever
            with trio.move_on_after(self.limits.stall_seconds):
                return await self.iterator.__anext__()
        except StopAsyncIteration:
            return None
        raise errors.UpstreamStalled(
            'no bytes of the answer arrived within the stall timeout'
        )

    async def next_piece(self) -> bytes | None:
        """Returns bytes to relay, None when the body is complete."""
        return await self.receive()


class BufferedBody(Body):
    """A body that is relayed only when it is complete.

    Attributes:
        chat: Whether it must be a complete chat answer.
        expected_id: Text that the id of a chat answer must contain.
        reserve: Waits until the router may hold so many bytes of it.
        relayed: Whether the body was returned.
    """

    def __init__(
        self,
        answer: interfaces.UpstreamAnswer,
        limits: http_limits.AnswerLimits,
        chat: bool,
        expected_id: str = '',
        reserve: Callable[[int], Awaitable[None]] | None = None,
    ) -> None:
        super().__init__(answer, limits)
        self.reserve = reserve
        self.chat = chat
        self.expected_id = expected_id
        self.relayed = False

    async def next_piece(self) -> bytes | None:
        """Returns the complete body, then None."""
        if self.relayed:
            return None
        body = await self.read_whole()
        if self.chat:
            openai.check_complete(body, self.expected_id)
        self.relayed = True
        return body

    async def read_whole(self) -> bytes:
        """Returns the complete body."""
        parts = []
        size = 0
        while (data := await self.receive()) is not None:
            size += len(data)
            if size > self.limits.answer_bytes:
                raise errors.UpstreamBroke('the answer is over the size limit')
            if self.reserve is not None and size > caller_memory.SMALL_BYTES:
                await self.reserve(size)
            parts.append(data)
        return parts[0] if len(parts) == 1 else b''.join(parts)


class StreamBody(Body):
    """A streamed chat answer, complete only at its terminator.

    Attributes:
        stream_check: Checks of the events relayed so far; also used for the
            body of the next attempt if this one breaks.
        pacer: Sets the pause between two pieces.
        last_piece_at: Wall clock of the last piece.
    """

    def __init__(
        self,
        answer: interfaces.UpstreamAnswer,
        limits: http_limits.AnswerLimits,
        stream_check: relay.StreamCheck,
        pacer: pacing.RelayPacer,
    ) -> None:
        super().__init__(answer, limits)
        self.stream_check = stream_check
        self.pacer = pacer
        self.last_piece_at = 0.0
        answer.wait_to_read = self.wait_to_read

    async def next_piece(self) -> bytes | None:
        """Returns the next complete events, None after the terminator."""
        while not self.stream_check.done:
            self.stream_check.raise_deferred_error()
            data = await self.receive_next()
            if data is None:
                # the connection was closed properly, but an engine that
                # stops early does that too: only the terminator counts
                raise errors.UpstreamBroke(
                    'the answer ended before its terminator'
                )
            self.last_piece_at = self.pacer.clock()
            piece = self.stream_check.feed(data)
            if piece:
                return piece
        await self.read_to_end()
        return None

    def wait_to_read(self) -> float:
        """Returns the seconds for which received bytes may wait."""
        return self.pacer.pause_seconds(self.last_piece_at)

    async def read_to_end(self) -> None:
        """Reads to the end, so that the connection can be reused."""
        with trio.move_on_after(self.limits.close_seconds):
            try:
                await self.receive()
            except errors.UpstreamError:
                # the answer is complete; only the connection is lost
                return


def is_event_stream(start: interfaces.AnswerStart) -> bool:
    """Returns whether an answer is a stream of server-sent events."""
    kind = start.headers.get('content-type', '')
    return kind.partition(';')[0].strip().lower() == sse.CONTENT_TYPE


def content_length(start: interfaces.AnswerStart) -> int | None:
    """Returns the Content-Length of an answer, None if there is none."""
    return counts.parse_count(start.headers.get(CONTENT_LENGTH, ''))
