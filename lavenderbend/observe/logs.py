"""Structured log lines written with eliot: state changes and requests."""

from __future__ import annotations

import traceback
from typing import Any

import eliot

from lavenderbend.observe import log_writer
from lavenderbend.observe import metrics

# Characters kept of a traceback; its end names the exception.
MAX_TRACEBACK_CHARACTERS = 4000

SUCCESS_BUDGET = log_writer.LineBudget(
    log_writer.SUCCESS_LINES_PER_SECOND, log_writer.SUCCESS_LINES_BURST
)
CALLER_FAULT_BUDGET = log_writer.LineBudget(
    log_writer.CALLER_FAULT_LINES_PER_SECOND,
    log_writer.CALLER_FAULT_LINES_BURST,
)
CALLER_FAULTS_LEFT_OUT = metrics.counter(
    'lavenderbend_log_caller_faults_left_out_total',
    'Faults of callers that got no line, to leave lines to others.',
)
SAMPLED_OUT = metrics.counter(
    'lavenderbend_log_requests_left_out_total',
    'Requests that ended well and got no line, to bound the volume.',
)


def change(event: str, **fields: Any) -> None:
    """Writes a line for a change of state, such as `router_left`.

    Requests are counted in metrics; requests that forwarding has ended also
    get lines, see `request_ended`.
    """
    eliot.log_message(message_type=f'lavenderbend:{event}', **fields)


def caller_fault(event: str, **fields: Any) -> None:
    """Writes a line for what a caller does wrong, up to a rate.

    A crowd of such callers would use up the lines of everything else.
    """
    if CALLER_FAULT_BUDGET.try_take():
        change(event, **fields)
        return
    CALLER_FAULTS_LEFT_OUT.inc({})


def fault(event: str, exc: BaseException) -> None:
    """Writes a line for an unexpected exception, with its traceback."""
    trace = ''.join(traceback.format_exception(exc))
    change(
        event, kind=type(exc).__name__, trace=trace[-MAX_TRACEBACK_CHARACTERS:]
    )


def sample_request() -> bool:
    """Returns whether a request's lines are written even if it succeeds.

    Above the rate of `SUCCESS_BUDGET` they are not, so that successful
    requests do not use up the lines that failures need.
    """
    return SUCCESS_BUDGET.try_take()


def request_ended(left_out: bool, **fields: Any) -> None:
    """Writes the line of a request that has ended.

    Args:
        left_out: Whether the request is only counted and gets no line.
        **fields: Inputs of the routing decision, and the outcome.
    """
    if left_out:
        SAMPLED_OUT.inc({})
        return
    eliot.log_message(message_type='lavenderbend:request_ended', **fields)


def write_to(stream: Any) -> None:
    """Writes log lines as JSON to a stream."""
    eliot.to_file(stream)


def write_nonblocking(descriptor: int) -> log_writer.LogWriter:
    """Writes log lines to a file descriptor without blocking."""
    writer = log_writer.LogWriter(descriptor)
    eliot.add_destinations(writer)
    return writer
