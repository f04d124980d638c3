"""Decision record and metrics of each request."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import trio

from lavenderbend import errors
from lavenderbend.coordination.rules import rules
from lavenderbend.observe import metrics
from lavenderbend.state import decisions

if TYPE_CHECKING:
    from lavenderbend.state import configuration
    from lavenderbend.state import requests

LATENCY_BUCKETS = (
    0.001,
    0.003,
    0.01,
    0.03,
    0.1,
    0.3,
    1.0,
    3.0,
    10.0,
    30.0,
    100.0,
)

finished = metrics.counter(
    'lavenderbend_requests_total',
    'Requests that ended, by rule, outcome and error.',
)
duration = metrics.histogram(
    'lavenderbend_request_duration_seconds',
    'Time from arrival to the end of the answer.',
    LATENCY_BUCKETS,
)


def begin(request: requests.Request, chat: int) -> decisions.Decision:
    """Returns the decision record of a request that just arrived."""
    return decisions.Decision(
        id=request.id,
        customer=request.customer,
        method=request.method,
        path=request.path.partition('?')[0],
        model=request.model or '',
        chat=f'{chat:016x}' if chat else '',
        at=time.time(),
        idempotency_key=request.idempotency_key or '',
        adapter=request.adapter or '',
        availability_zone=request.availability_zone,
        headers=rules.recorded_headers(request.headers),
    )


def note_rule(
    decision: decisions.Decision,
    revision: configuration.Revision,
    rule: configuration.Rule,
) -> None:
    """Records which rule matched."""
    decision.revision = revision.number
    decision.rule = rule.name
    decision.pool = rule.then.pool or ''
    decision.priority = rule.then.priority.name.lower()


def end(
    decision: decisions.Decision,
    arrived: float,
    error: BaseException | None,
) -> None:
    """Records the outcome of a request and counts it."""
    decision.duration = trio.current_time() - arrived
    if error is None:
        decision.outcome = errors.Outcome.COMPLETE.value
    elif isinstance(error, errors.RequestError):
        decision.outcome = error.outcome.value
        decision.error = type(error).__name__
        decision.detail = error.detail
    else:
        decision.outcome = errors.Outcome.UNKNOWN.value
        decision.error = type(error).__name__
    labels = {
        'rule': decision.rule,
        'outcome': decision.outcome,
        'error': decision.error,
    }
    finished.inc(labels)
    duration.observe({'rule': decision.rule}, decision.duration)
