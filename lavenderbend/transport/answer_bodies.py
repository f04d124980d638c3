"""Response bodies that relay an upstream's answer as it arrives."""

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
    """The response is incomplete; the server closes the connection."""

    category = 'response broken off'


class AnswerBody(quart_response.ResponseBody):
    """Relays an answer and closes it when the response ends for any reason.

    Attributes:
        answer: The answer.
        request_id: Id of the request, stated in the error event.
        hop: Tracing span of the request.
        error: The error that ended the answer early, None if there is none.
    """

    def __init__(
        self, answer: dispatch.Answer, request_id: str, hop: spans.Hop
    ) -> None:
        self.answer = answer
        self.request_id = request_id
        self.hop = hop
        self.error: errors.RequestError | None = None

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
        if self.error is not None:
            # a regular end of the response would make the partial answer
            # look complete
            raise BrokenOff(str(self.error)) from self.error
        try:
            piece = await self.answer.next_piece()
        except errors.RequestError as exc:
            return self.error_event(exc)
        if piece is None:
            raise StopAsyncIteration
        return piece

    def error_event(self, error: errors.RequestError) -> bytes:
        """Returns the event that reports an error to the caller of a stream.

        Raises:
            BrokenOff: The answer is not a stream of server-sent events, so the
                error cannot be reported in its body.
        """
        content_type = self.answer.headers.get('content-type', '')
        if not content_type.startswith(sse.CONTENT_TYPE):
            raise BrokenOff(str(error)) from error
        self.error = error
        return problems.to_event(error, self.request_id)
