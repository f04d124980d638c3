"""What operators read back of a request that was forwarded."""

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
# as callers are told: see the errors of the reference
COMPLETE = 'complete'
UNKNOWN = 'unknown'
NOT_RUN = 'not-run'


def caller_outcome(outcome: str, ticket: tickets.Ticket | None) -> str:
    """Returns what the caller may conclude, in one word."""
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
        ticket: What was decided, None if it was refused at the entry.
        version: The configuration that decided.
        outcome: `answered`, or the kind of the error.
        detail: Text of that error.
    """
    names = {name.decode('latin-1') for name, _ in request.headers}
    headers = {name: request.header(name) or '' for name in names}
    # the credential is the caller's secret
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
        headers=rules_module.kept_headers(headers),
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
