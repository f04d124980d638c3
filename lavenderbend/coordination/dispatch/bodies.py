"""How the body of an answer is read until it is proven whole."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from lavenderbend import errors
from lavenderbend.protocol import openai
from lavenderbend.protocol import sse

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable

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
        watched: Whether the iterator itself ends stalls.
    """

    def __init__(
        self,
        answer: interfaces.UpstreamAnswer,
        limits: http_limits.AnswerLimits,
    ) -> None:
        self.iterator: AsyncIterator[bytes] = answer.chunks()
        self.client_detects_stalls = answer.watches_stalls
        self.limits = limits

    def receive_next(self) -> Awaitable[bytes | None]:
        """Returns what to await for the next bytes; as `receive`."""
        if self.client_detects_stalls:
            return self.receive_without_timeout()
        return self.receive()

    async def receive_without_timeout(self) -> bytes | None:
        """Returns the next bytes of an iterator that itself ends stalls."""
        try:
            return await self.iterator.__anext__()
        except StopAsyncIteration:
            return None

    async def receive(self) -> bytes | None:
        """Returns the next bytes, None at the end.

        Raises:
            UpstreamStalled: Nothing came in time.
            UpstreamBroke: The answer ended early.
        """
        if self.client_detects_stalls:
            return await self.receive_without_timeout()
        try:
            # without this an upstream that goes silent would hold the
            # caller, the permit and the memory of the exchange for ever
            with trio.move_on_after(self.limits.stall_seconds):
                return await self.iterator.__anext__()
        except StopAsyncIteration:
            return None
        raise errors.UpstreamStalled('the answer stopped arriving')

    async def next_piece(self) -> bytes | None:
        """Returns bytes to pass on, None when the body is whole."""
        return await self.receive()


class BufferedBody(Body):
    """A body that is passed on only when it is whole.

    Attributes:
        chat: Whether it must be a whole chat answer.
        named_by: Text that the id of a chat answer must hold.
        given: Whether the body was passed on.
    """

    def __init__(
        self,
        answer: interfaces.UpstreamAnswer,
        limits: http_limits.AnswerLimits,
        chat: bool,
        expected_id: str = '',
    ) -> None:
        super().__init__(answer, limits)
        self.chat = chat
        self.expected_id = expected_id
        self.relayed = False

    async def next_piece(self) -> bytes | None:
        """Returns the whole body, then None."""
        if self.relayed:
            return None
        body = await self.read_whole()
        if self.chat:
            openai.check_whole(body, self.expected_id)
        self.relayed = True
        return body

    async def read_whole(self) -> bytes:
        """Returns the whole body."""
        parts = []
        size = 0
        while (data := await self.receive()) is not None:
            size += len(data)
            if size > self.limits.whole_bytes:
                raise errors.UpstreamBroke('the answer is too large')
            parts.append(data)
        return parts[0] if len(parts) == 1 else b''.join(parts)


class StreamBody(Body):
    """A streamed chat answer, whole only at its terminator.

    Attributes:
        check: What was passed on; outlives this body when it breaks.
        pacer: Sets the pause between two pieces.
        last: Wall clock of the last piece.
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
        """Returns the next whole events, None after the terminator."""
        while not self.stream_check.done:
            self.stream_check.raise_deferred_error()
            data = await self.receive_next()
            if data is None:
                # the connection ended in good order, but an engine that
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
        """Returns how long bytes that have come may wait to be read."""
        return self.pacer.pause_seconds(self.last_piece_at)

    async def read_to_end(self) -> None:
        """Reads up to the end so that the connection can be used again."""
        with trio.move_on_after(self.limits.close_seconds):
            try:
                await self.receive()
            except errors.UpstreamError:
                # the answer is whole; only the connection is lost
                return


def is_event_stream(start: interfaces.AnswerStart) -> bool:
    """Returns whether an answer is a stream of events."""
    kind = start.headers.get('content-type', '')
    return kind.partition(';')[0].strip().lower() == sse.CONTENT_TYPE


def content_length(start: interfaces.AnswerStart) -> int | None:
    """Returns the length that an answer states, None if it does not."""
    value = start.headers.get(CONTENT_LENGTH, '')
    return int(value) if value.isdigit() and len(value) < 18 else None
