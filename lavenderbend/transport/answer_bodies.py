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
    from lavenderbend.coordination.dispatch import spans


class BrokenOff(errors.LavenderbendError):
    """The response is ended without its end; the connection is closed."""

    category = 'response broken off'


class AnswerBody(quart_response.ResponseBody):
    """Relays an answer, and closes it however the response ends.

    Attributes:
        answer: The answer.
        request_id: Named in the error event.
        hop: The span of the request.
    """

    def __init__(
        self, answer: dispatch.Answer, request_id: str, hop: spans.Hop
    ) -> None:
        self.answer = answer
        self.request_id = request_id
        self.hop = hop

    async def __aenter__(self) -> AnswerBody:
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc_value: BaseException | None,
        tb: TracebackType | None,
    ) -> None:
        await self.answer.close()
        self.hop.end('' if exc_type is None else exc_type.__name__)

    async def __aiter__(self) -> AsyncIterator[bytes]:
        try:
            async for piece in self.answer.chunks():
                yield piece
        except errors.RequestError as exc:
            kind = self.answer.headers.get('content-type', '')
            if kind.startswith(sse.CONTENT_TYPE):
                yield problems.to_event(exc, self.request_id)
            # a clean end would make the part that came look whole
            raise BrokenOff(str(exc)) from exc
