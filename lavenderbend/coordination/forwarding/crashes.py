"""Detects requests that crash the upstreams that run them."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend import errors
from lavenderbend.coordination.forwarding import facts as facts_module
from lavenderbend.observe import logs
from lavenderbend.observe import metrics
from lavenderbend.state import hashing

if TYPE_CHECKING:
    from collections.abc import Callable

    from lavenderbend.coordination.forwarding import interfaces
    from lavenderbend.coordination.forwarding import tickets
    from lavenderbend.coordination.forwarding.crashing_parts import (
        crashing_parts as crashing_parts_module,
    )
    from lavenderbend.state import forwarding

# Any of the requests at an upstream may have caused its crash. A request that
# was at a second crash of another upstream, and did not succeed in between, is
# taken for the cause.
CRASHES_TO_QUARANTINE = 2
# Callers retry a crashing request for at most this long.
FACT_SECONDS = 120.0
# After this delay a crashed process refuses connections, while one whose
# connection was only reset accepts them.
PROBE_DELAY_SECONDS = 0.05
MAX_PENDING_PROBES = 1000
RETRY_AFTER_SECONDS = 30.0
# Kinds of facts that routers exchange by gossip.
DEATH = 'death'
CLEARED = 'cleared'

UPSTREAM_CRASHES = metrics.counter(
    'lavenderbend_forward_upstream_deaths_total',
    'Upstreams that died while they had requests of this router.',
)
CRASHES_RULED_OUT = metrics.counter(
    'lavenderbend_forward_crashes_ruled_out_total',
    'Connections lost with a request to upstreams that accept others.',
)
REFUSED_REQUESTS = metrics.counter(
    'lavenderbend_forward_crashing_requests_total',
    'Requests refused because upstreams died of them before.',
)


def request_fingerprint(
    request: interfaces.CallerRequest, customer: str
) -> int:
    """Returns a hash that is the same when a caller sends a request again."""
    return hashing.hash64(
        request.header('host') or '',
        request.method,
        request.target,
        customer,
        request.body,
    )


@facts_module.FACT_KINDS.register(DEATH)
class CrashFact(facts_module.FactKind):
    """A request that was at an upstream's crash; the source is the upstream."""

    max_seconds = FACT_SECONDS
    subject_form = facts_module.HASH_SUBJECT
    cleared_by = CLEARED


@facts_module.FACT_KINDS.register(CLEARED)
class ClearedFact(facts_module.FactKind):
    """A request that succeeded after a crash."""

    max_seconds = FACT_SECONDS
    subject_form = facts_module.HASH_SUBJECT


@attrs.define(eq=False)
class LostConnection:
    """A connection that was lost while it had a request.

    Attributes:
        fingerprint: Fingerprint of the request.
        upstream: The upstream.
        ticket: The request.
        last_event: Last event of its answer that was read.
        lost_at: Router clock at which it was lost.
        cleared: Whether the request has succeeded since.
        ended: Whether its answer looks complete, but ended with the
            connection.
    """

    fingerprint: int
    upstream: forwarding.Upstream
    ticket: tickets.Ticket
    last_event: int | None
    lost_at: float
    cleared: bool = False
    ended: bool = False


class CrashDetector:
    """Detects requests that crash upstreams, and refuses them.

    A crash is shared with all routers, because the caller may send the
    request again through any of them. A success clears the request: it does
    not crash upstreams, and many callers may send the same one.

    Attributes:
        facts: Crashes and successes that this router and others found.
        pending: Lost connections for which it is not known yet whether the
            upstream crashed.
        successes: Numbers for the facts of successes.
        parts: Finds parts of prompts that crash upstreams, None where requests
            name no parts.
        pending_sender: Passes lost connections to `run`, None before it runs.
        accepts_connections: Returns whether an upstream accepts connections.
    """

    def __init__(
        self,
        accepts_connections: Callable[[forwarding.Upstream], object],
        facts: facts_module.Facts,
    ) -> None:
        self.accepts_connections = accepts_connections
        self.facts = facts
        self.pending: set[LostConnection] = set()
        self.successes = itertools.count()
        self.parts: crashing_parts_module.CrashingParts | None = None
        self.pending_sender: trio.MemorySendChannel | None = None

    def crashed_upstreams(self, fingerprint: int) -> list[str]:
        """Returns the upstreams that crashed while they had a request."""
        crash_facts = self.facts.current(DEATH, fact_subject(fingerprint))
        return sorted(fact.source for fact in crash_facts)

    def refusal(
        self, ticket: tickets.Ticket
    ) -> errors.RequestQuarantined | None:
        """Returns why a request is refused, None if it may be sent.

        It is refused if at least CRASHES_TO_QUARANTINE upstreams crashed while
        they had it, or if a part of its prompt crashes upstreams.
        """
        error = self.whole_refusal(ticket)
        if error is None and self.parts is not None:
            error = self.parts.refusal(ticket)
        if error is not None:
            error.status = errors.NoUpstream.status
        return error

    def whole_refusal(
        self, ticket: tickets.Ticket
    ) -> errors.RequestQuarantined | None:
        """Returns the refusal of a request that crashed upstreams itself."""
        if not self.facts.may_have(DEATH):
            return None
        crashed = self.crashed_upstreams(self.fingerprint(ticket))
        if len(crashed) < CRASHES_TO_QUARANTINE:
            return None
        REFUSED_REQUESTS.inc({})
        return errors.RequestQuarantined(
            f'{len(crashed)} upstreams crashed on this request',
            RETRY_AFTER_SECONDS,
        )

    def fingerprint(self, ticket: tickets.Ticket) -> int:
        """Returns the fingerprint of a ticket's request, computed once."""
        if ticket.fingerprint is None:
            ticket.fingerprint = request_fingerprint(
                ticket.request, ticket.customer
            )
        return ticket.fingerprint

    def note_success(self, ticket: tickets.Ticket) -> None:
        """Clears a request that succeeded."""
        if not self.facts.may_have(DEATH) and not self.pending:
            return
        fingerprint = self.fingerprint(ticket)
        self.clear_pending(fingerprint)
        if self.crashed_upstreams(fingerprint):
            # Each success is a new fact, so that the second of two successes
            # clears a crash between them.
            source = f'{self.facts.origin} {next(self.successes)}'
            self.facts.add(
                CLEARED, fact_subject(fingerprint), source, FACT_SECONDS
            )

    def note_answered(
        self, ticket: tickets.Ticket, upstream: forwarding.Upstream
    ) -> None:
        """Records that an upstream answered a request completely.

        An answer that ended with its connection may have ended by a crash. It
        clears no part then until the upstream is seen to be alive.
        """
        if self.parts is None:
            return
        if not ticket.unframed:
            self.parts.note_answered(ticket)
        elif self.parts.is_quarantined(ticket):
            self.examine_later(ticket, upstream, ended=True)

    def clear_pending(self, fingerprint: int) -> None:
        """Clears the pending lost connections of a request that succeeded.

        Otherwise their crashes, confirmed only after the success, would count
        as later than it.
        """
        for loss in self.pending:
            if loss.fingerprint == fingerprint:
                loss.cleared = True

    def apply_fact(self, fact: facts_module.Fact) -> None:
        """Applies a fact found by this or another router."""
        fingerprint = int(fact.subject, 16)
        if fact.kind == CLEARED:
            self.clear_pending(fingerprint)
            return
        crashed = self.crashed_upstreams(fingerprint)
        if len(crashed) == CRASHES_TO_QUARANTINE:
            logs.change(
                'request_stopped',
                fingerprint=fact.subject,
                upstreams=crashed,
                age=round(trio.current_time() - fact.found_at, 3),
            )

    def note_lost(
        self, ticket: tickets.Ticket, upstream: forwarding.Upstream
    ) -> None:
        """Records that a connection was lost while it had a request."""
        self.examine_later(ticket, upstream, ended=False)

    def examine_later(
        self,
        ticket: tickets.Ticket,
        upstream: forwarding.Upstream,
        ended: bool,
    ) -> None:
        """Has it examined whether an upstream crashed with a request.

        Args:
            ticket: The request.
            upstream: The upstream.
            ended: Whether the answer looks complete.
        """
        if self.pending_sender is None:
            return
        loss = LostConnection(
            self.fingerprint(ticket),
            upstream,
            ticket,
            ticket.splitter.read_position.number,
            trio.current_time(),
            ended=ended,
        )
        try:
            self.pending_sender.send_nowait(loss)
        except trio.WouldBlock:
            logs.change('crash_not_examined', upstream=upstream.instance)
            return
        self.pending.add(loss)

    async def run(self) -> None:
        """Checks the upstreams of lost connections until cancelled."""
        self.pending_sender, received = trio.open_memory_channel(
            MAX_PENDING_PROBES
        )
        async with trio.open_nursery() as nursery:
            async for loss in received:
                nursery.start_soon(self.examine, loss)

    async def examine(self, loss: LostConnection) -> None:
        """Finds out whether an upstream crashed or only reset a connection."""
        try:
            await trio.sleep(PROBE_DELAY_SECONDS)
            if await self.accepts_connections(loss.upstream):
                self.rule_out(loss)
                return
        finally:
            self.pending.discard(loss)
        UPSTREAM_CRASHES.inc({})
        if not loss.cleared:
            self.add_crash(loss)
        if self.parts is not None:
            await self.parts.note_crash(
                loss.ticket, loss.upstream, loss.lost_at
            )

    def rule_out(self, loss: LostConnection) -> None:
        """Records that an upstream did not crash with a request."""
        if loss.ended:
            self.parts.note_answered(loss.ticket)
        else:
            log_ruled_out(loss)

    def add_crash(self, loss: LostConnection) -> None:
        """Tells all routers of a request that was at a crash."""
        subject = fact_subject(loss.fingerprint)
        ticket = loss.ticket
        logs.change(
            'request_at_death',
            fingerprint=subject,
            upstream=loss.upstream.instance,
            request=ticket.id,
            service=ticket.service,
            customer=ticket.customer,
            parts=ticket.prompt.shared_ids,
            last_event=loss.last_event,
        )
        self.facts.add(DEATH, subject, loss.upstream.instance, FACT_SECONDS)


def log_ruled_out(loss: LostConnection) -> None:
    """Counts and logs a lost connection that was no crash of its upstream."""
    CRASHES_RULED_OUT.inc({})
    logs.change(
        'crash_ruled_out',
        upstream=loss.upstream.instance,
        request=loss.ticket.id,
        parts=loss.ticket.prompt.shared_ids,
        last_event=loss.last_event,
    )


def fact_subject(fingerprint: int) -> str:
    """Returns the subject under which facts name a fingerprint."""
    return f'{fingerprint:016x}'
