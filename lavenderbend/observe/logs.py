"""Structured log lines, by eliot: changes of state, and ended requests."""

from __future__ import annotations

import traceback
from typing import Any

import eliot

from lavenderbend.observe import log_writer
from lavenderbend.observe import metrics

# of a trace, the end of which says most
MAX_TRACE = 4000

ORDINARY = log_writer.LineBudget(
    log_writer.ORDINARY_PER_SECOND, log_writer.ORDINARY_BURST
)
SAMPLED_OUT = metrics.counter(
    'lavenderbend_log_requests_left_out_total',
    'Requests that ended well and got no line, to bound the volume.',
)


def change(event: str, **fields: Any) -> None:
    """Writes a line for a change of state, such as `router_left`.

    Requests are counted; those that forwarding ended have lines of their
    own, see `request_ended`.
    """
    eliot.log_message(message_type=f'lavenderbend:{event}', **fields)


def fault(event: str, exc: BaseException) -> None:
    """Writes a line for an exception that nothing expected, with its trace."""
    trace = ''.join(traceback.format_exception(exc))
    change(event, kind=type(exc).__name__, trace=trace[-MAX_TRACE:])


def sample_request() -> bool:
    """Returns whether a request's lines are written even if it ends well.

    Over a rate they are not, so that failures keep their room.
    """
    return ORDINARY.try_take()


def request_ended(left_out: bool, **fields: Any) -> None:
    """Writes the line of a request that has ended.

    Args:
        left_out: Whether it is only counted.
        **fields: Inputs of the decision and the outcome.
    """
    if left_out:
        SAMPLED_OUT.inc({})
        return
    eliot.log_message(message_type='lavenderbend:request_ended', **fields)


def write_to(stream: Any) -> None:
    """Sends the lines, as JSON, to a stream."""
    eliot.to_file(stream)


def write_unblocked(descriptor: int) -> log_writer.LogWriter:
    """Sends the lines to a file descriptor that is never waited for."""
    writer = log_writer.LogWriter(descriptor)
    eliot.add_destinations(writer)
    return writer
