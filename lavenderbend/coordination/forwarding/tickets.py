"""The state of one request while the router forwards it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend.coordination.forwarding import choice
from lavenderbend.coordination.forwarding import directory
from lavenderbend.coordination.forwarding import events

if TYPE_CHECKING:
    from lavenderbend import errors
    from lavenderbend.coordination.forwarding import interfaces
    from lavenderbend.coordination.forwarding import reservations
    from lavenderbend.observe import spans
    from lavenderbend.state import decisions
    from lavenderbend.state import forwarding


@attrs.frozen
class WholeAnswer:
    """A complete response of an upstream that is held in memory.

    Attributes:
        head: Status and headers.
        body: The body.
    """

    head: interfaces.AnswerHead
    body: bytes


@attrs.define
class Ticket:
    """One request, the decisions about it and its attempts.

    Attributes:
        id: The request's id.
        request: The request.
        rule: The first rule that matched.
        service: The service that it is sent to, empty while only other
            routers can tell which one began its stream.
        customer: The customer, empty on public rules.
        rank: Priority that is sent to upstreams.
        regions: The regions that it may be sent to, None for all.
        software_id: The software that began the stream, which alone may
            continue it; None if the caller has no event yet.
        deadline: Router clock by which the caller has its final response.
        prompt: The parts of the request's prompt.
        target_at: Router clock by which its output should begin.
        output_tokens: Expected length of its output, 0 if it is not known.
        waited_seconds: Time that it has waited for room at upstreams.
        drawn_software_id: The software at which its stream should begin, None
            if at any.
        splitter: The position in the response stream.
        resumes: The id of the request that brought the first event of the
            stream that this one takes up, empty if it names none.
        sent_to: Instances that the request was sent to.
        attempts: Records of the attempts: the upstream, why it was chosen,
            which ones were passed over, and the result.
        reservation: The reservation of the latest attempt at the owner of its
            upstream, None without one.
        permitted_until: Suspension clock until which the request may be sent to
            the cold upstream that was chosen, None for a warm one.
        unanswered_at: The upstream whose answer it waits for, empty if none.
        unreachable: Instances that accepted no connection.
        replaced: Instances at whose addresses other processes answered.
        retries: Retries reserved for the request, sent or not.
        retry_reserved_at: Router clock at the last of these reservations.
        may_have_run: Whether an upstream may have begun to run the request.
        unframed: Whether its latest answer had neither a length nor chunks, so
            that it ended with its connection.
        ended_empty: Whether an upstream closed its connection where an event
            of the stream was due.
        retry_after_seconds: Seconds until an upstream of the service accepts
            requests again, 0 if some do now.
        refusal: Why it may not be sent any more, None if it may.
        no_choice_reason: Why no upstream could be chosen, empty if it is not
            known or one was.
        fingerprint: Hash that is the same when the caller sends the request
            again, None until it is computed.
        trials: Strikes of the quarantined prompt parts that it tries, by the
            keys of the parts.
        logged: Whether the request is logged even if it succeeds.
        span: The span of the request, None where nothing is traced.
        attempt_span: The span of the latest attempt, a child of `span`.
        fallback: An error response that is passed on if no other upstream
            answers better.
    """

    id: str
    request: interfaces.CallerRequest
    rule: forwarding.ForwardRule
    service: str
    customer: str
    rank: int
    deadline: float
    prompt: choice.RequestPrompt = attrs.field(factory=choice.RequestPrompt)
    target_at: float = 0.0
    output_tokens: int = 0
    waited_seconds: float = 0.0
    regions: frozenset[str] | None = None
    software_id: int | None = None
    drawn_software_id: int | None = None
    splitter: events.EventSplitter = attrs.field(factory=events.EventSplitter)
    resumes: str = ''
    sent_to: list[str] = attrs.field(factory=list)
    attempts: list[decisions.Attempt] = attrs.field(factory=list)
    reservation: reservations.ActiveReservation | None = None
    permitted_until: float | None = None
    unanswered_at: str = ''
    unreachable: list[str] = attrs.field(factory=list)
    replaced: list[str] = attrs.field(factory=list)
    retries: int = 0
    retry_reserved_at: float = 0.0
    may_have_run: bool = False
    unframed: bool = False
    ended_empty: bool = False
    retry_after_seconds: float = 0.0
    refusal: errors.RequestError | None = None
    no_choice_reason: str = ''
    fingerprint: int | None = None
    trials: dict[int, int] = attrs.field(factory=dict)
    logged: bool = False
    span: spans.Hop | None = None
    attempt_span: spans.Hop | None = None
    fallback: WholeAnswer | None = None

    @property
    def takes_up(self) -> bool:
        """Whether its caller has events of the stream from earlier tries."""
        last = self.splitter.first_position.number
        return self.rule.then.resumable and last is not None

    @property
    def selection(self) -> directory.Selection:
        """Which upstreams of its service it may be sent to."""
        return directory.Selection(self.regions, self.software_id)

    @property
    def seconds_left(self) -> float:
        """Seconds until the deadline."""
        return self.deadline - trio.current_time()

    @property
    def attempts_left(self) -> int:
        """How many more upstreams the rule allows to send the request to."""
        return self.rule.then.attempts - len(self.sent_to)

    @property
    def may_send(self) -> bool:
        """Whether the request may be sent without reserving another retry.

        A retry is used up when it is sent, so an unreachable upstream uses
        none. Where another process answered at the address of an upstream,
        that process received the request but the upstream did not: this uses
        up a retry but no attempt of the rule.
        """
        return len(self.sent_to) + len(self.replaced) <= self.retries

    @property
    def tried(self) -> list[str]:
        """Instances that are not to be chosen again for the request."""
        return [*self.sent_to, *self.unreachable, *self.replaced]
