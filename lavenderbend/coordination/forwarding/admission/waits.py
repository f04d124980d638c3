"""Waits of requests for room, with their metrics and log lines."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend.coordination.forwarding.admission import grants
from lavenderbend.coordination.forwarding.admission import offers
from lavenderbend.observe import logs
from lavenderbend.observe import metrics
from lavenderbend.protocol import messages_forwarding

if TYPE_CHECKING:
    from collections.abc import Callable

    from lavenderbend.coordination.forwarding import (
        reservations as reservations_module,
    )
    from lavenderbend.coordination.forwarding import tickets
    from lavenderbend.coordination.forwarding.admission import demand as demands
    from lavenderbend.state import forwarding

Outcome = messages_forwarding.ReservationOutcome
WaitEnd = grants.WaitEnd

# A wait ends this long before the deadline, so that its request is refused
# with a Retry-After and not cut off.
DEADLINE_MARGIN_SECONDS = 0.05
# A shorter wait is not begun.
MIN_WAIT_SECONDS = 0.01

SECONDS_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 10.0)
WAITS = metrics.counter(
    'lavenderbend_forward_entry_waits_total',
    'Waits of requests of this router for room at upstreams, by outcome.',
)
WAIT_SECONDS = metrics.histogram(
    'lavenderbend_forward_entry_wait_seconds',
    'Time that a request of this router waited for room at an upstream.',
    SECONDS_BUCKETS,
)
WAITING = metrics.gauge(
    'lavenderbend_forward_entry_waiting_requests',
    'Requests of this router that wait for room at upstreams.',
)


@attrs.frozen
class WaitResult:
    """How a request for a grant ended.

    Attributes:
        end: How.
        waited: Whether the request waited in the owner's queue.
        reservation: The owner's last answer, None if it did not reply.
    """

    end: grants.WaitEnd
    waited: bool = False
    reservation: reservations_module.Reservation | None = None


@attrs.frozen
class WaitRequest:
    """A request for room at an upstream.

    Attributes:
        reservations: Reserves with owners.
        ticket: The request.
        upstream: The upstream.
        prompt: The prompt.
        max_load: Returns how many requests the upstream may hold now.
        demand: What the request needs.
        usable: Returns whether the upstream may still be used.
        longest: Longest time that it waits there, in seconds.
    """

    reservations: reservations_module.Reservations
    ticket: tickets.Ticket
    upstream: forwarding.Upstream
    prompt: reservations_module.PromptSummary
    max_load: Callable[[], int]
    demand: demands.Demand
    usable: Callable[[], bool]
    longest: float = math.inf


class Waits:
    """Has requests wait for room at upstreams.

    Attributes:
        queue_seconds: Longest time for which a request waits in total, 0 if
            none waits.
        waiting: Requests that wait now.
    """

    def __init__(self) -> None:
        self.queue_seconds = 0.0
        self.waiting = 0

    def seconds_left(self, ticket: tickets.Ticket) -> float:
        """Returns how long a request may still wait."""
        return min(
            self.queue_seconds - ticket.waited_seconds,
            ticket.seconds_left - DEADLINE_MARGIN_SECONDS,
        )

    def may_wait(self, ticket: tickets.Ticket) -> bool:
        """Returns whether a request may still wait."""
        return self.seconds_left(ticket) >= MIN_WAIT_SECONDS

    async def wait(
        self, request: WaitRequest, on_waiting: Callable[[], None]
    ) -> WaitResult:
        """Reserves at an upstream, and waits at its owner if it has no room.

        Args:
            request: The request for room.
            on_waiting: Called when the owner has queued the request.
        """
        ticket = request.ticket
        reservation = await request.reservations.reserve(
            request.upstream,
            request.prompt,
            ticket.seconds_left,
            request.max_load(),
            request.demand,
            min(self.seconds_left(ticket), request.longest),
        )
        if reservation is None:
            return WaitResult(WaitEnd.SILENT)
        if reservation.granted:
            return WaitResult(WaitEnd.GRANTED, reservation=reservation)
        if reservation.outcome != Outcome.WAITING:
            return WaitResult(WaitEnd.DECLINED, reservation=reservation)
        on_waiting()
        await self.wait_queued(request, reservation)
        return WaitResult(reservation.wait_end, True, reservation)

    async def wait_queued(
        self,
        request: WaitRequest,
        reservation: reservations_module.Reservation,
    ) -> None:
        """Waits until the wait of a queued reservation ends."""
        begun = trio.current_time()
        short = reservation.shortage
        self.waiting += 1
        WAITING.set({}, self.waiting)
        try:
            await grants.Grants(request.reservations).wait(
                reservation, request.usable, request.max_load
            )
        finally:
            self.waiting -= 1
            WAITING.set({}, self.waiting)
            seconds = trio.current_time() - begun
            request.ticket.waited_seconds += seconds
            record_wait(request.ticket, reservation, short, seconds)


def record_wait(
    ticket: tickets.Ticket,
    reservation: reservations_module.Reservation,
    shortage: int,
    seconds: float,
) -> None:
    """Counts a wait that has ended, and logs it if the request is logged.

    Args:
        ticket: The request.
        reservation: The reservation that waited.
        shortage: What the upstream was short of when the wait began.
        seconds: How long it waited.
    """
    outcome = reservation.wait_end.value
    WAITS.inc({'outcome': outcome})
    WAIT_SECONDS.observe({}, seconds)
    if not ticket.logged:
        return
    logs.change(
        'request_waited',
        request=ticket.id,
        upstream=reservation.instance,
        owner=reservation.owner,
        seconds=round(seconds, 4),
        short=offers.shortage_name(shortage),
        outcome=outcome,
    )
