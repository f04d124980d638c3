"""A request on its way through the router."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend.coordination.forwarding import choice
from lavenderbend.coordination.forwarding import events

if TYPE_CHECKING:
    from lavenderbend.coordination.forwarding import interfaces
    from lavenderbend.coordination.forwarding import reservations
    from lavenderbend.observe import spans
    from lavenderbend.state import decisions
    from lavenderbend.state import forwarding


@attrs.frozen
class WholeAnswer:
    """An answer of an upstream that is held complete.

    Attributes:
        head: Status and headers.
        body: The body.
    """

    head: interfaces.AnswerHead
    body: bytes


@attrs.define
class Ticket:
    """One request, what was decided on it and what became of it.

    Attributes:
        id: The request's id.
        request: The request.
        rule: The first rule that matched.
        service: The service that it goes to.
        customer: The customer, empty on public rules.
        rank: Urgency told to upstreams.
        deadline: Router clock at which the caller has its final answer.
        prompt: What it asks of its upstream.
        splitter: Where the stream stands.
        sent_to: Instances that it was sent to.
        attempts: The upstreams that were chosen: why, what was passed over,
            and what became of each attempt.
        reservation: What the latest attempt is counted as by the owner of its
            upstream, None if it is not.
        unreachable: Instances that no connection was to be had to.
        replaced: Instances at whose addresses other processes answered.
        retries: Repeats that were taken for it, sent or not.
        retry_reserved_at: Router clock at which the last of them was taken.
        may_have_run: Whether an upstream may have begun to run it.
        retry_after_seconds: Seconds after which an upstream takes requests again, 0 if
            some do now.
        fingerprint: What it has in common with its repetitions, None until
            it is asked for.
        logged: Whether lines are written on it even if it ends well.
        span: The span of the request, None where nothing is traced.
        attempt_span: The span of the latest attempt, below it.
        fallback: A failure answered by an upstream, to be passed on if no
            other upstream does better.
    """

    id: str
    request: interfaces.CallerRequest
    rule: forwarding.ForwardRule
    service: str
    customer: str
    rank: int
    deadline: float
    prompt: choice.Need = attrs.field(factory=choice.Need)
    splitter: events.EventSplitter = attrs.field(factory=events.EventSplitter)
    sent_to: list[str] = attrs.field(factory=list)
    attempts: list[decisions.Attempt] = attrs.field(factory=list)
    reservation: reservations.Taken | None = None
    unreachable: list[str] = attrs.field(factory=list)
    replaced: list[str] = attrs.field(factory=list)
    retries: int = 0
    retry_reserved_at: float = 0.0
    may_have_run: bool = False
    retry_after_seconds: float = 0.0
    fingerprint: int | None = None
    logged: bool = False
    span: spans.Hop | None = None
    attempt_span: spans.Hop | None = None
    fallback: WholeAnswer | None = None

    @property
    def seconds_left(self) -> float:
        """Seconds until the deadline."""
        return self.deadline - trio.current_time()

    @property
    def attempts_left(self) -> int:
        """Upstreams that it may still be sent to."""
        return self.rule.then.attempts - len(self.sent_to)

    @property
    def may_send(self) -> bool:
        """Whether it may be sent without another repeat.

        A repeat is spent when it is sent: an upstream that accepts no
        connection costs none. One that other processes have replaced has not
        had the request, but those have: it costs a repeat and no attempt.
        """
        return len(self.sent_to) + len(self.replaced) <= self.retries

    @property
    def tried(self) -> list[str]:
        """Instances that are of no use to it any more."""
        return [*self.sent_to, *self.unreachable, *self.replaced]
