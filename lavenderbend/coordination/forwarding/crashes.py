"""Requests that crash each upstream that runs them."""

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
    from lavenderbend.state import forwarding

# one death may be any request's that was there; at a second one on another
# upstream a request that never succeeded between is taken for the cause
DEATHS_TO_STOP = 2
# a caller that sends such a request keeps on for so long at most
REMEMBER_SECONDS = 120.0
# a process that died refuses connections by then; one whose connection was
# only reset accepts them
CONFIRM_SECONDS = 0.05
MAX_LOSSES = 1000
COME_BACK_SECONDS = 30.0
# kinds of facts that routers tell each other
DEATH = 'death'
CLEARED = 'cleared'

DEATHS = metrics.counter(
    'lavenderbend_forward_upstream_deaths_total',
    'Upstreams that died while they had requests of this router.',
)
STOPPED = metrics.counter(
    'lavenderbend_forward_crashing_requests_total',
    'Requests refused because upstreams died of them before.',
)


def fingerprint(request: interfaces.CallerRequest, customer: str) -> int:
    """Returns what a request has in common with its repetitions."""
    return hashing.hash64(
        request.header('host') or '',
        request.method,
        request.target,
        customer,
        request.body,
    )


@facts_module.FACT_KINDS.register(DEATH)
class Death(facts_module.FactKind):
    """A request that an upstream died of; the source is the upstream."""

    max_seconds = REMEMBER_SECONDS
    cleared_by = CLEARED


@facts_module.FACT_KINDS.register(CLEARED)
class Cleared(facts_module.FactKind):
    """A request that ran to a good end."""

    max_seconds = REMEMBER_SECONDS


@attrs.define(eq=False)
class Loss:
    """A connection that was lost while it had a request.

    Attributes:
        mark: Fingerprint of the request.
        upstream: The upstream.
        cleared: Whether the request has run to a good end since.
    """

    mark: int
    upstream: forwarding.Upstream
    cleared: bool = False


class Crashes:
    """Finds requests that upstreams die of, and refuses them.

    A death is told to all routers: the caller sends the request again
    through any of them. A success clears the request: what has run to a
    good end does not crash upstreams, and many callers may send the same.

    Attributes:
        facts: What this router and others found.
        losses: Lost connections of which it is not known yet whether their
            upstreams died.
        alive: Returns whether an upstream accepts connections.
    """

    def __init__(
        self,
        alive: Callable[[forwarding.Upstream], object],
        facts: facts_module.Facts,
    ) -> None:
        self.alive = alive
        self.facts = facts
        self.losses: set[Loss] = set()
        self.successes = itertools.count()
        self.lost: trio.MemorySendChannel | None = None

    def deaths(self, mark: int) -> list[str]:
        """Returns the upstreams that died of a request."""
        found = self.facts.current(DEATH, subject_of(mark))
        return sorted(one.source for one in found)

    def check(self, ticket: tickets.Ticket) -> None:
        """Refuses a request that upstreams died of.

        Raises:
            RequestQuarantined: It is one.
        """
        if not self.facts.may_have(DEATH):
            return
        deaths = self.deaths(self.fingerprint(ticket))
        if len(deaths) < DEATHS_TO_STOP:
            return
        STOPPED.inc({})
        error = errors.RequestQuarantined(
            f'{len(deaths)} upstreams died of this request',
            COME_BACK_SECONDS,
        )
        error.status = errors.NoUpstream.status
        raise error

    def fingerprint(self, ticket: tickets.Ticket) -> int:
        """Returns the fingerprint of a ticket's request, made once."""
        if ticket.fingerprint is None:
            ticket.fingerprint = fingerprint(ticket.request, ticket.customer)
        return ticket.fingerprint

    def note_success(self, ticket: tickets.Ticket) -> None:
        """Clears a request that ran to a good end."""
        if not self.facts.may_have(DEATH) and not self.losses:
            return
        mark = self.fingerprint(ticket)
        self.clear_losses(mark)
        if self.deaths(mark):
            # a fact of its own: a death between two successes is cleared by
            # the second one
            source = f'{self.facts.origin} {next(self.successes)}'
            self.facts.add(CLEARED, subject_of(mark), source, REMEMBER_SECONDS)

    def clear_losses(self, mark: int) -> None:
        """Forgets lost connections of a request that has run since.

        Their deaths are noted after this success, and must not outlive it.
        """
        for loss in self.losses:
            if loss.mark == mark:
                loss.cleared = True

    def learn(self, fact: facts_module.Fact) -> None:
        """Takes in what this or another router has found."""
        mark = int(fact.subject, 16)
        if fact.kind == CLEARED:
            self.clear_losses(mark)
            return
        deaths = self.deaths(mark)
        if len(deaths) == DEATHS_TO_STOP:
            logs.change(
                'request_stopped',
                fingerprint=fact.subject,
                upstreams=deaths,
                age=round(trio.current_time() - fact.found_at, 3),
            )

    def note_lost(
        self, ticket: tickets.Ticket, upstream: forwarding.Upstream
    ) -> None:
        """Notes that a connection was lost while it had a request."""
        if self.lost is None:
            return
        loss = Loss(self.fingerprint(ticket), upstream)
        try:
            self.lost.send_nowait(loss)
        except trio.WouldBlock:
            logs.change('crash_not_examined', upstream=upstream.instance)
            return
        self.losses.add(loss)

    async def run(self) -> None:
        """Examines lost connections."""
        self.lost, received = trio.open_memory_channel(MAX_LOSSES)
        async with trio.open_nursery() as nursery:
            async for loss in received:
                nursery.start_soon(self.examine, loss)

    async def examine(self, loss: Loss) -> None:
        """Finds out whether an upstream died, or a connection was reset."""
        try:
            await trio.sleep(CONFIRM_SECONDS)
            if await self.alive(loss.upstream):
                return
        finally:
            self.losses.discard(loss)
        DEATHS.inc({})
        if loss.cleared:
            return
        subject = subject_of(loss.mark)
        logs.change(
            'request_at_death',
            fingerprint=subject,
            upstream=loss.upstream.instance,
        )
        self.facts.add(DEATH, subject, loss.upstream.instance, REMEMBER_SECONDS)


def subject_of(mark: int) -> str:
    """Returns how a fingerprint is written."""
    return f'{mark:016x}'
