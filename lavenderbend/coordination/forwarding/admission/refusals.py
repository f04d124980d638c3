"""Refusals of requests that cannot begin before their deadline."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lavenderbend import errors
from lavenderbend.observe import logs
from lavenderbend.observe import metrics

if TYPE_CHECKING:
    import random

    from lavenderbend.coordination.forwarding import reservations
    from lavenderbend.coordination.forwarding import tickets

MAX_RETRY_AFTER_FRACTION = 1.0 / 3.0
MAX_RETRY_AFTER_SECONDS = 1.0
# Callers that are refused together come again at different times.
MIN_RANDOM_FACTOR = 0.5
REFUSED = 'refused'

REFUSALS = metrics.counter(
    'lavenderbend_forward_refused_early_total',
    'Requests refused as no upstream could begin them in time, by what the '
    'upstream that would begin first is short of.',
)


def may_refuse(ticket: tickets.Ticket) -> bool:
    """Returns whether a refusal may say that a request did not run."""
    return not ticket.sent_to and not ticket.may_have_run


def retry_after_seconds(
    expected: float, seconds_left: float, rng: random.Random
) -> float:
    """Returns the Retry-After of a refused request.

    Args:
        expected: Expected seconds until an upstream could begin it.
        seconds_left: Seconds until its deadline.
        rng: Spreads the retries of callers.
    """
    longest = min(
        MAX_RETRY_AFTER_FRACTION * max(0.0, seconds_left),
        MAX_RETRY_AFTER_SECONDS,
    )
    return min(expected, longest) * rng.uniform(MIN_RANDOM_FACTOR, 1.0)


def refusal(
    ticket: tickets.Ticket,
    reservation: reservations.Reservation,
    shortage: str,
    expected: float,
    rng: random.Random,
) -> errors.BeginsTooLate:
    """Counts and logs a refusal, and returns it.

    Args:
        ticket: The request.
        reservation: The declined reservation that would begin first.
        shortage: What its upstream is short of.
        expected: Expected seconds until that begins.
        rng: Spreads the retries of callers.
    """
    REFUSALS.inc({'reason': shortage})
    logs.change(
        'request_waited',
        request=ticket.id,
        upstream=reservation.instance,
        owner=reservation.owner,
        seconds=round(ticket.waited_seconds, 4),
        short=shortage,
        outcome=REFUSED,
    )
    seconds = retry_after_seconds(expected, ticket.seconds_left, rng)
    return errors.BeginsTooLate(
        f'no upstream of {ticket.service!r} could begin in time',
        seconds,
    )
