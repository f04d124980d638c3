"""Waits at the entry for grants of the owners of upstreams."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend.protocol import messages_forwarding

if TYPE_CHECKING:
    from collections.abc import Callable

    from lavenderbend.coordination.forwarding import reservations

Outcome = messages_forwarding.ReservationOutcome

# The owner drops a waiting request that it has not heard of for 0.35 s, so that
# two of three messages in a row may be lost.
RESEND_SECONDS = 0.1
MAX_UNANSWERED_RESENDS = 2


class WaitEnd(enum.Enum):
    """How a wait for a grant ended.

    Attributes:
        GRANTED: The owner granted the request.
        DECLINED: The owner took it out of the queue or did not queue it.
        SILENT: The owner does not reply.
        UNUSABLE: The upstream must not be used any more.
        TIMED_OUT: The request has waited for as long as it may.
        CANCELLED: The caller left or the deadline passed.
    """

    GRANTED = 'granted'
    DECLINED = 'declined'
    SILENT = 'owner silent'
    UNUSABLE = 'upstream unusable'
    TIMED_OUT = 'timed out'
    CANCELLED = 'cancelled'


@attrs.define
class WaitState:
    """What the entry knows of a request that waits at an owner.

    Attributes:
        until: Router clock at which the wait ends.
        outcome: The latest outcome that the owner stated.
        unanswered: Resends since the latest reply.
        changed: Set when a reply arrives.
    """

    until: float
    outcome: int = Outcome.WAITING
    unanswered: int = 0
    changed: trio.Event = attrs.field(factory=trio.Event)

    def note_reply(self, outcome: int) -> bool:
        """Applies a reply; returns whether it is news.

        A grant is final: a reply that was sent before it may arrive after it.
        """
        if self.outcome == Outcome.GRANTED:
            return False
        self.outcome = outcome
        self.unanswered = 0
        self.changed.set()
        return True

    def end(self, now: float, usable: bool) -> WaitEnd | None:
        """Returns how the wait has ended, None while it goes on.

        Args:
            now: Router clock.
            usable: Whether the upstream may still be used.
        """
        if not usable:
            return WaitEnd.UNUSABLE
        if self.outcome == Outcome.GRANTED:
            return WaitEnd.GRANTED
        if self.outcome == Outcome.DECLINED:
            return WaitEnd.DECLINED
        if now >= self.until:
            return WaitEnd.TIMED_OUT
        return None

    def is_silent(self) -> bool:
        """Returns whether the owner has left too many resends unanswered."""
        return self.unanswered >= MAX_UNANSWERED_RESENDS


class Grants:
    """Waits for grants, and gives up where none is to be expected.

    Attributes:
        reservations: Sends messages to owners and receives theirs.
    """

    def __init__(self, reservations: reservations.Reservations) -> None:
        self.reservations = reservations

    async def wait(
        self,
        reservation: reservations.Reservation,
        usable: Callable[[], bool],
        max_load: Callable[[], int],
    ) -> reservations.Reservation | None:
        """Waits until the owner grants a request or the wait ends otherwise.

        How it ended is in `wait_end` of the reservation. Unless it was
        granted, the reservation is released, also if the wait is cancelled.

        Args:
            reservation: The reservation that waits at the owner.
            usable: Returns whether the upstream may still be used.
            max_load: Returns how many requests the upstream may hold now.

        Returns:
            The granted reservation, None if the wait ended otherwise.
        """
        reservation.wait_end = WaitEnd.CANCELLED
        _, state = self.reservations.waiting[reservation.number]
        try:
            reservation.wait_end = await self.until_end(
                reservation, state, usable, max_load
            )
        finally:
            if reservation.wait_end is WaitEnd.GRANTED:
                self.reservations.keep(reservation)
            else:
                self.reservations.abandon(reservation)
        if reservation.wait_end is WaitEnd.GRANTED:
            return reservation
        if reservation.wait_end is WaitEnd.SILENT:
            self.reservations.owners.note_unresponsive(reservation.owner)
        return None

    async def until_end(
        self,
        reservation: reservations.Reservation,
        state: WaitState,
        usable: Callable[[], bool],
        max_load: Callable[[], int],
    ) -> WaitEnd:
        """Resends a waiting request until its wait ends; returns how.

        Each resend names the load bound of its time. With that of its arrival
        a request would wait, while the load rises, until all that came later
        have ended.
        """
        while True:
            end = state.end(trio.current_time(), usable())
            if end is not None:
                return end
            state.changed = trio.Event()
            with trio.move_on_at(
                min(state.until, trio.current_time() + RESEND_SECONDS)
            ) as pause:
                await state.changed.wait()
            if not pause.cancelled_caught or trio.current_time() >= state.until:
                continue
            if state.is_silent():
                return WaitEnd.SILENT
            state.unanswered += 1
            self.reservations.resend(reservation, max_load())
