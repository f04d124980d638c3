"""Log lines and metrics of attempts without a complete response."""

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
    waiting: silence.UpstreamWait,
    cause: BaseException,
) -> None:
    """Logs and counts a failed attempt: its cause and its progress.

    Args:
        ticket: The request.
        upstream: The upstream that it was sent to.
        answer: The response to the caller.
        waiting: The wait for the upstream.
        cause: The error or cancellation that ended the attempt.
    """
    splitter = ticket.splitter
    by = ended_by(answer, cause)
    # A nursery may have wrapped the cancellation in an exception group.
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
    answer: interfaces.CallerAnswer, waiting: silence.UpstreamWait
) -> str:
    """Returns which side the attempt was waiting for, empty for neither."""
    if answer.write_pending:
        return 'caller'
    return 'upstream' if waiting.reading else ''


def cancel_cause(
    ticket: tickets.Ticket, answer: interfaces.CallerAnswer
) -> str:
    """Returns the log text for the cause of a cancellation."""
    if answer.disconnected:
        return CALLER_LEFT
    return DEADLINE if ticket.seconds_left <= 0 else STOPPED
