"""The answer that goes to a caller."""

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
    """One answer; iterate it to its end, and close it in any case.

    Attributes:
        status: HTTP status.
        headers: Names in lower case.
        decision_id: Id of the decision.
        first: The first piece of the body, None for an empty one.
        run: Where the rest comes from, None if `first` is all.
        finish: Called once with the error that ended the answer, or None.
        begun: Whether `first` was taken.
        finished: Whether the end was noted.
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
        """Returns more of the body, None at its end.

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
        """Yields the body; raises as `next_piece`."""
        while (piece := await self.next_piece()) is not None:
            yield piece

    def __aiter__(self) -> AsyncIterator[bytes]:
        return self.chunks()

    def note_end(self, error: BaseException | None) -> None:
        """Notes the end, once."""
        if not self.finished:
            self.finished = True
            self.on_end(error)

    async def close(self) -> None:
        """Ends the answer; the upstream's work is cancelled if unfinished."""
        if self.finished:
            return
        # the caller is gone and this task is being cancelled: the permit
        # must go back and the upstream must be told all the same
        with trio.move_on_after(CLOSE_SECONDS) as scope:
            scope.shield = True
            if self.exchange is not None:
                await self.exchange.abandon()
        self.note_end(errors.CallerGone('the caller went away'))
