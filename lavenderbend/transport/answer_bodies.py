"""The body of a response, taken from an answer as it arrives."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quart.wrappers import response as quart_response

from lavenderbend import errors
from lavenderbend.protocol import problems
from lavenderbend.protocol import sse

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from types import TracebackType

    from lavenderbend.coordination import dispatch
    from lavenderbend.observe import spans


class BrokenOff(errors.LavenderbendError):
    """The response is ended without its end; the connection is closed."""

    category = 'response broken off'


class AnswerBody(quart_response.ResponseBody):
    """Relays an answer, and closes it however the response ends.

    Attributes:
        answer: The answer.
        request_id: Named in the error event.
        hop: The span of the request.
        broken: The error that ended the answer early.
    """

    def __init__(
        self, answer: dispatch.Answer, request_id: str, hop: spans.Hop
    ) -> None:
        self.answer = answer
        self.request_id = request_id
        self.hop = hop
        self.broken: errors.RequestError | None = None

    async def __aenter__(self) -> AnswerBody:
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc_value: BaseException | None,
        tb: TracebackType | None,
    ) -> None:
        await self.close('' if exc_type is None else exc_type.__name__)

    async def close(self, error: str) -> None:
        """Closes the answer; a second call does nothing."""
        await self.answer.close()
        self.hop.end(error)

    def __aiter__(self) -> AsyncIterator[bytes]:
        return self

    async def __anext__(self) -> bytes:
        if self.broken is not None:
            # a clean end would make the part that came look whole
            raise BrokenOff(str(self.broken)) from self.broken
        try:
            piece = await self.answer.next_piece()
        except errors.RequestError as exc:
            return self.break_off(exc)
        if piece is None:
            raise StopAsyncIteration
        return piece

    def break_off(self, error: errors.RequestError) -> bytes:
        """Returns the last bytes of an answer that cannot be completed.

        Raises:
            BrokenOff: There are none.
        """
        kind = self.answer.headers.get('content-type', '')
        if not kind.startswith(sse.CONTENT_TYPE):
            raise BrokenOff(str(error)) from error
        self.broken = error
        return problems.to_event(error, self.request_id)
