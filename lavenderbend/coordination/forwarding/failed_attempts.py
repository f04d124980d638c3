"""Lines and counts of attempts that gave the caller no whole answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from lavenderbend import errors
from lavenderbend.observe import logs
from lavenderbend.observe import metrics

if TYPE_CHECKING:
    from lavenderbend.coordination.forwarding import interfaces
    from lavenderbend.coordination.forwarding import silence
    from lavenderbend.coordination.forwarding import tickets
    from lavenderbend.state import forwarding

CANCELLED = 'Cancelled'
CALLER_LEFT = 'the caller left'
DEADLINE = 'the deadline came'
STOPPED = 'the router stopped'

FAILED_ATTEMPTS = metrics.counter(
    'lavenderbend_forward_attempts_failed_total',
    'Attempts that gave no whole answer, by who ended them, how, and whether '
    'events that had been read were not yet written to the caller.',
)


def log_failure(
    ticket: tickets.Ticket,
    upstream: forwarding.Upstream,
    answer: interfaces.CallerAnswer,
    waiting: silence.Waiting,
    cause: BaseException,
) -> None:
    """Writes how an attempt ended, and how far it had come."""
    splitter = ticket.splitter
    by = ended_by(answer, cause)
    # a nursery on the way may have wrapped a cancellation
    cancelled = not isinstance(cause, Exception)
    kind = CANCELLED if cancelled else type(cause).__name__
    unwritten = (
        answer.write_pending
        or splitter.read_position != splitter.written_position
    )
    FAILED_ATTEMPTS.inc(
        {'by': by.value, 'kind': kind, 'unwritten': str(int(unwritten))}
    )
    logs.change(
        'attempt_failed',
        request=ticket.id,
        upstream=upstream.instance,
        kind=kind,
        cause=cancel_cause(ticket, answer) if cancelled else str(cause),
        ended_by=by.value,
        may_have_run=ticket.may_have_run,
        began=answer.started,
        last_event=splitter.read_position.number,
        written_event=splitter.written_position.number,
        unfinished_bytes=len(splitter.partial_event),
        waited_for=waited_for(answer, waiting),
        waited=round(trio.current_time() - waiting.since, 4),
    )


def ended_by(
    answer: interfaces.CallerAnswer, cause: BaseException
) -> errors.EndedBy:
    """Returns who ended the attempt."""
    if isinstance(cause, errors.UpstreamError):
        return cause.ended_by
    if answer.disconnected:
        return errors.EndedBy.CALLER
    return errors.EndedBy.ROUTER


def waited_for(
    answer: interfaces.CallerAnswer, waiting: silence.Waiting
) -> str:
    """Returns who was waited for, empty if it was nobody."""
    if answer.write_pending:
        return 'caller'
    return 'upstream' if waiting.reading else ''


def cancel_cause(
    ticket: tickets.Ticket, answer: interfaces.CallerAnswer
) -> str:
    """Returns why an attempt was cancelled, in words."""
    if answer.disconnected:
        return CALLER_LEFT
    return DEADLINE if ticket.seconds_left <= 0 else STOPPED
