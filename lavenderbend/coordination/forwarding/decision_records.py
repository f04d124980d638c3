"""Records of forwarded requests that operators can read."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import trio

from lavenderbend.coordination.rules import rules as rules_module
from lavenderbend.state import decisions
from lavenderbend.state import hashing

if TYPE_CHECKING:
    from lavenderbend.coordination.forwarding import interfaces
    from lavenderbend.coordination.forwarding import tickets

ANSWERED = 'answered'
# Outcomes as reported to callers; see the errors in the reference.
COMPLETE = 'complete'
UNKNOWN = 'unknown'
NOT_RUN = 'not-run'


def caller_outcome(outcome: str, ticket: tickets.Ticket | None) -> str:
    """Returns the outcome that the caller may conclude."""
    if outcome == ANSWERED:
        return COMPLETE
    if ticket is not None and ticket.may_have_run:
        return UNKNOWN
    return NOT_RUN


def make_decision(
    request: interfaces.CallerRequest,
    request_id: str,
    ticket: tickets.Ticket | None,
    version: int,
    outcome: str,
    detail: str,
) -> decisions.Decision:
    """Returns the record of a request that has ended.

    Args:
        request: As the caller sent it.
        request_id: Its id.
        ticket: The request's ticket, None if the request was refused before
            it got one.
        version: Version of the configuration that was applied.
        outcome: `answered`, or the kind of the error.
        detail: Message of that error.
    """
    names = {name.decode('latin-1') for name, _ in request.headers}
    headers = {name: request.header(name) or '' for name in names}
    # The credential must not be stored.
    headers.pop('authorization', None)
    duration = trio.current_time() - request.arrived
    record = decisions.Decision(
        id=request_id,
        method=request.method.decode('latin-1'),
        path=request.target.decode('latin-1'),
        revision=version,
        outcome=caller_outcome(outcome, ticket),
        error='' if outcome == ANSWERED else outcome,
        detail=detail,
        at=time.time() - duration,
        duration=duration,
        headers=rules_module.recorded_headers(headers),
    )
    if ticket is None:
        return record
    record.customer = ticket.customer
    record.rule = ticket.rule.name
    record.pool = ticket.service
    record.priority = str(ticket.rank)
    record.attempts = ticket.attempts
    if ticket.prompt.parts:
        record.chat = f'{hashing.hash64(ticket.prompt.chat):016x}'
    return record
