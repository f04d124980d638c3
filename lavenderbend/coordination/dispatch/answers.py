"""The answer sent to a caller."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from lavenderbend import errors

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable
    from collections.abc import Mapping

    from lavenderbend.coordination.dispatch import exchange as exchange_module

CLOSE_SECONDS = 5.0


class Answer:
    """One answer; iterate over it to its end, and always close it.

    Attributes:
        status: HTTP status.
        headers: Names in lower case.
        decision_id: Id of the decision.
        first_piece: The first piece of the body, None for an empty one.
        exchange: Source of the further pieces, None if there are none.
        on_end: Called once with the error that ended the answer, or None.
        first_taken: Whether `first_piece` was returned.
        finished: Whether `on_end` was called.
    """

    def __init__(
        self,
        status: int,
        headers: Mapping[str, str],
        decision_id: str,
        first_piece: bytes | None,
        exchange: exchange_module.Exchange | None,
        on_end: Callable[[BaseException | None], None],
    ) -> None:
        self.status = status
        self.headers = headers
        self.decision_id = decision_id
        self.first_piece = first_piece
        self.exchange = exchange
        self.on_end = on_end
        self.first_taken = False
        self.finished = False

    async def next_piece(self) -> bytes | None:
        """Returns the next piece of the body, None at its end.

        Raises:
            RequestError: The answer cannot be completed.
        """
        if not self.first_taken:
            self.first_taken = True
            piece = self.first_piece
        elif self.exchange is None:
            piece = None
        else:
            try:
                piece = await self.exchange.next_piece()
            except errors.RequestError as exc:
                self.note_end(exc)
                raise
        if piece is None:
            self.note_end(None)
        return piece

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the pieces of the body; raises as `next_piece`."""
        while (piece := await self.next_piece()) is not None:
            yield piece

    def __aiter__(self) -> AsyncIterator[bytes]:
        return self.chunks()

    def note_end(self, error: BaseException | None) -> None:
        """Calls `on_end`, once."""
        if not self.finished:
            self.finished = True
            self.on_end(error)

    async def close(self) -> None:
        """Ends the answer; cancels an unfinished request at the upstream."""
        if self.finished:
            return
        # the caller disconnected and this task is being cancelled: the
        # permit must still be released and the upstream request closed
        with trio.move_on_after(CLOSE_SECONDS) as scope:
            scope.shield = True
            if self.exchange is not None:
                await self.exchange.abandon()
        self.note_end(errors.CallerGone('the caller disconnected'))
