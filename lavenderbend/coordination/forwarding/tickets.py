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
        need: What it asks of its upstream.
        cutter: Where the stream stands.
        used: Instances that it was sent to.
        placed: The upstreams that were chosen: why, what was passed over,
            and what became of each attempt.
        taken: What the latest attempt is counted as by the owner of its
            upstream, None if it is not.
        unreachable: Instances that no connection was to be had to.
        replaced: Instances at whose addresses other processes answered.
        repeats: Repeats that were taken for it, sent or not.
        repeat_at: Router clock at which the last of them was taken.
        may_have_run: Whether an upstream may have begun to run it.
        wanted_in: Seconds after which an upstream takes requests again, 0 if
            some do now.
        fingerprint: What it has in common with its repetitions, None until
            it is asked for.
        logged: Whether lines are written on it even if it ends well.
        hop: The span of the request, None where nothing is traced.
        attempt_hop: The span of the latest attempt, below it.
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
    need: choice.RequestPrompt = attrs.field(factory=choice.RequestPrompt)
    cutter: events.EventCutter = attrs.field(factory=events.EventCutter)
    used: list[str] = attrs.field(factory=list)
    placed: list[decisions.Attempt] = attrs.field(factory=list)
    taken: reservations.ActiveReservation | None = None
    unreachable: list[str] = attrs.field(factory=list)
    replaced: list[str] = attrs.field(factory=list)
    repeats: int = 0
    repeat_at: float = 0.0
    may_have_run: bool = False
    wanted_in: float = 0.0
    fingerprint: int | None = None
    logged: bool = False
    hop: spans.Hop | None = None
    attempt_hop: spans.Hop | None = None
    fallback: WholeAnswer | None = None

    @property
    def left(self) -> float:
        """Seconds until the deadline."""
        return self.deadline - trio.current_time()

    @property
    def sends_left(self) -> int:
        """Upstreams that it may still be sent to."""
        return self.rule.then.attempts - len(self.used)

    @property
    def may_send(self) -> bool:
        """Whether it may be sent without another repeat.

        A repeat is spent when it is sent: an upstream that accepts no
        connection costs none. One that other processes have replaced has not
        had the request, but those have: it costs a repeat and no attempt.
        """
        return len(self.used) + len(self.replaced) <= self.repeats

    @property
    def tried(self) -> list[str]:
        """Instances that are of no use to it any more."""
        return [*self.used, *self.unreachable, *self.replaced]
