"""Forwards requests from callers to upstreams, with retries."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from lavenderbend import errors
from lavenderbend.coordination.forwarding import attempts as attempts_module
from lavenderbend.coordination.forwarding import decision_records
from lavenderbend.coordination.forwarding import request_resolver
from lavenderbend.coordination.forwarding import stop_times
from lavenderbend.coordination.forwarding import stream_services
from lavenderbend.observe import logs
from lavenderbend.observe import metrics
from lavenderbend.state import decisions as decisions_module

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from lavenderbend.coordination import caller_memory
    from lavenderbend.coordination.forwarding import budget as budget_module
    from lavenderbend.coordination.forwarding import interfaces
    from lavenderbend.coordination.forwarding import request_spans
    from lavenderbend.coordination.forwarding import (
        reserving_chooser as reserving_chooser_module,
    )
    from lavenderbend.coordination.forwarding import tickets
    from lavenderbend.state import forwarding

# A connection that times out costs half a second. After this many unreachable
# upstreams and seconds the caller is refused, while it has time to try another
# router.
MAX_SLOW_UNREACHABLE = 4
SLOW_CONNECT_SECONDS = 2.0
# A running VM without the process refuses connections at once, so that more
# upstreams can be tried.
MAX_UNREACHABLE = 16
# Attempts answered by another process at the address of a former upstream.
MAX_REPLACED = 4
# Time that a reserved retry may stay unsent: two connects that time out.
RETRY_HOLD_SECONDS = 1.0

SECONDS_BUCKETS = (0.025, 0.05, 0.1, 0.125, 0.25, 0.5, 0.6, 1.0, 2.0, 5.0, 15.0)
REQUESTS_ENDED = metrics.counter(
    'lavenderbend_forward_requests_total',
    'Requests that ended, by rule and outcome.',
)
REQUEST_SECONDS = metrics.histogram(
    'lavenderbend_forward_request_seconds',
    'Time from the first byte of a request to the end of its answer.',
    SECONDS_BUCKETS,
)


class NoAnswer:
    """Stands for the response to a request that is refused by its head."""

    started = False
    finished = False
    disconnected = False
    sent_bytes = 0


class Forwarder:
    """Forwards requests.

    Attributes:
        resolver: Finds the rule and the customer of a request.
        chooser: Ranks the upstreams of a service.
        reserving_chooser: Chooses the upstream of each attempt.
        attempts: Sends a request to one upstream.
        budget: Limits retries.
        decisions: Records of decisions that operators can read, None where
            no operators' interface is served.
        tracer: Makes spans, None where no collector is configured.
        fleet_size: Returns how many routers are known, for log lines.
        stop: The times of this router's graceful stop.
        stream_services: Knows whether rules name the services of streams.
    """

    def __init__(
        self,
        resolver: request_resolver.RequestResolver,
        reserving_chooser: reserving_chooser_module.ReservingChooser,
        attempts: attempts_module.Attempts,
        budget: budget_module.RetryBudget,
    ) -> None:
        self.resolver = resolver
        self.reserving_chooser = reserving_chooser
        self.chooser = reserving_chooser.chooser
        self.attempts = attempts
        self.budget = budget
        self.decisions: decisions_module.DecisionStore | None = None
        self.tracer: request_spans.Tracer | None = None
        self.fleet_size: Callable[[], int] = lambda: 1
        self.stop = stop_times.StopTimes()
        self.stream_services = stream_services.StreamServices(
            resolver.snapshots
        )
        attempts.stream_services = self.stream_services

    async def forward(
        self,
        request: interfaces.CallerRequest,
        answer: interfaces.CallerAnswer,
    ) -> None:
        """Forwards a request and sends the response to its caller.

        Raises:
            RequestError: The request has no response from an upstream.
        """
        ticket = None
        span = None
        outcome = 'cancelled'
        detail = ''
        if self.tracer is not None:
            span = self.tracer.begin_request(request)
        try:
            ticket = await self.resolver.admit(request)
            ticket.span = span
            self.stop.check(ticket.deadline)
            self.log_admitted(ticket)
            await self.run_until_deadline(ticket, answer)
            outcome = decision_records.ANSWERED
        except errors.RequestError as exc:
            outcome = exc.kind
            detail = exc.detail
            raise
        finally:
            self.record_end(request, ticket, answer, outcome, detail)
            if span is not None:
                error = '' if outcome == decision_records.ANSWERED else outcome
                self.tracer.end_request(span, ticket, error)

    async def check(
        self, request: interfaces.CallerRequest
    ) -> tuple[caller_memory.Group, ...]:
        """Checks a request by its head, before its body is awaited.

        Returns:
            The groups that its body is counted in.

        Raises:
            RequestError: The request is refused.
        """
        try:
            return await self.resolver.check(request)
        except errors.RequestError as exc:
            self.record_end(request, None, NoAnswer(), exc.kind, exc.detail)
            raise

    def log_admitted(self, ticket: tickets.Ticket) -> None:
        """Logs the rule and customer of a request, if it is sampled.

        A request that takes up a stream has an earlier try that failed, and is
        logged as well.
        """
        ticket.logged = logs.sample_request() or ticket.takes_up
        if not ticket.logged:
            return
        logs.change(
            'request_admitted',
            request=ticket.id,
            rule=ticket.rule.name,
            version=self.resolver.version,
            age=round(self.resolver.snapshots.age, 3),
            customer=ticket.customer,
            service=ticket.service,
            chat=ticket.prompt.chat,
            rank=ticket.rank,
            resumes=ticket.resumes,
            after_event=ticket.splitter.first_position.number,
            seconds_left=round(ticket.seconds_left, 3),
        )

    def record_end(
        self,
        request: interfaces.CallerRequest,
        ticket: tickets.Ticket | None,
        answer: interfaces.CallerAnswer | NoAnswer,
        outcome: str,
        detail: str,
    ) -> None:
        """Counts a request that has ended, logs it and keeps its record."""
        if answer.disconnected and not answer.finished:
            outcome = errors.CallerGone.kind
        seconds = trio.current_time() - request.arrived
        request_id = request.header(self.resolver.headers.request_id) or ''
        attempts = [] if ticket is None else ticket.attempts
        rule = '' if ticket is None else ticket.rule.name
        REQUESTS_ENDED.inc({'rule': rule, 'outcome': outcome})
        REQUEST_SECONDS.observe({}, seconds)
        ordinary = outcome == decision_records.ANSWERED and len(attempts) == 1
        logs.request_ended(
            ordinary and not ticket.logged,
            request=request_id,
            rule=rule,
            version=self.resolver.version,
            age=round(self.resolver.snapshots.age, 3),
            customer='' if ticket is None else ticket.customer,
            service='' if ticket is None else ticket.service,
            placed=[
                f'{attempt.upstream} {attempt.reason}' for attempt in attempts
            ],
            passed_over=passed_over_summaries(attempts),
            copied_from=[
                attempt.copied_from
                for attempt in attempts
                if attempt.copied_from
            ],
            relays=[attempt.relay for attempt in attempts if attempt.relay],
            software=[attempt.software for attempt in attempts],
            sent_to=[] if ticket is None else ticket.sent_to,
            unreachable=[] if ticket is None else ticket.unreachable,
            outcome=outcome,
            detail=detail,
            may_have_run=ticket is not None and ticket.may_have_run,
            unframed=ticket is not None and ticket.unframed,
            last_event=None
            if ticket is None
            else ticket.splitter.read_position.number,
            peers=self.fleet_size(),
            budget_parts=self.budget.divisor(),
            began=answer.started,
            finished=answer.finished,
            answer_bytes=answer.sent_bytes,
            seconds=round(seconds, 4),
        )
        if self.decisions is not None:
            self.decisions.add(
                decision_records.make_decision(
                    request,
                    request_id,
                    ticket,
                    self.resolver.version,
                    outcome,
                    detail,
                )
            )

    async def run_until_deadline(
        self, ticket: tickets.Ticket, answer: interfaces.CallerAnswer
    ) -> None:
        """Runs the attempts of a request until its deadline.

        An answer that is ready by then is sent, and the end of a stop is a
        deadline too.

        Raises:
            RequestError: The request was not answered.
        """
        with self.stop.limit(ticket.deadline) as scope:
            await self.run_attempts(ticket, answer)
        if not scope.cancelled_caught or answer.finished:
            return
        # this scope has expired as well: what is written in it has the short
        # time of a cancelled request
        with trio.CancelScope(deadline=scope.deadline):
            await self.send_fallback(ticket, answer)
        if answer.finished:
            return
        if trio.current_time() < ticket.deadline:
            raise self.stop.end_request(ticket.may_have_run)
        if ticket.may_have_run:
            raise errors.OutcomeUnknown('no answer before the deadline')
        raise errors.NoUpstream('not sent before the deadline')

    async def run_attempts(
        self, ticket: tickets.Ticket, answer: interfaces.CallerAnswer
    ) -> None:
        """Sends a request to one upstream after the other.

        Raises:
            RequestError: None of them answered.
            RequestQuarantined: The request crashes upstreams.
            StreamVersionUnknown: It takes up a stream, and nobody knows which
                software began it.
        """
        refusal = self.attempts.crashes.refusal(ticket)
        if refusal is not None:
            raise refusal
        await self.prepare_stream(ticket)
        self.budget.note_request(ticket.service)
        while (upstream := await self.next_upstream(ticket)) is not None:
            if await self.try_upstream(ticket, upstream, answer):
                return
            if not self.may_continue(ticket, answer):
                break
        await self.finish_unanswered(ticket, answer)

    async def prepare_stream(self, ticket: tickets.Ticket) -> None:
        """Finds at which software and service a stream begins or goes on.

        Raises:
            StreamVersionUnknown: It takes up a stream, and nobody knows which
                software began it.
        """
        if self.attempts.stream_versions is None:
            return
        drawn = ticket.service
        if (
            ticket.takes_up
            and ticket.resumes
            and not self.stream_services.tells_origin(ticket)
        ):
            # Only routers that know the stream can tell the service, whatever
            # the one that the rule names now runs.
            ticket.service = ''
        try:
            await self.attempts.stream_versions.prepare(ticket)
        finally:
            ticket.service = ticket.service or drawn

    async def try_upstream(
        self,
        ticket: tickets.Ticket,
        upstream: forwarding.Upstream,
        answer: interfaces.CallerAnswer,
    ) -> bool:
        """Sends a request to an upstream; returns whether it succeeded."""
        record = ticket.attempts[-1]
        if ticket.span is not None:
            ticket.attempt_span = self.tracer.begin_attempt(ticket, upstream)
        try:
            await self.attempts.attempt(
                ticket, upstream, answer, self.retry_check(ticket, answer)
            )
            record.result = decision_records.COMPLETE
        except errors.UpstreamUnreachable as exc:
            record.result = type(exc).__name__
            ticket.unreachable.append(upstream.instance)
        except errors.UpstreamReplaced as exc:
            record.result = type(exc).__name__
            ticket.replaced.append(upstream.instance)
        except errors.UpstreamError as exc:
            record.result = type(exc).__name__
        finally:
            record.finished = trio.current_time() - record.started
            if ticket.attempt_span is not None:
                if record.relay:
                    ticket.attempt_span.set_attribute('relay', record.relay)
                ticket.attempt_span.end(failed_result(record))
        return record.result == decision_records.COMPLETE

    async def next_upstream(
        self, ticket: tickets.Ticket
    ) -> forwarding.Upstream | None:
        """Returns the upstream of the next attempt, None if there is none."""
        choice = await self.reserving_chooser.choose(ticket)
        ticket.retry_after_seconds = choice.retry_after_seconds
        if choice.upstream is None:
            ticket.no_choice_reason = choice.reason
            return None
        # It may have waited since it was checked, or crashed an upstream.
        ticket.refusal = self.attempts.crashes.refusal(ticket)
        if ticket.refusal is not None:
            if ticket.reservation is not None:
                ticket.reservation.note_ended()
            return None
        record = decisions_module.Attempt(
            choice.upstream.instance,
            reason=f'{choice.reason} {choice.load}/{choice.allowed}',
            passed_over=choice.passed_over,
            started=trio.current_time(),
            software=choice.upstream.software,
        )
        ticket.attempts.append(record)
        log_request_sent(ticket, record)
        return choice.upstream

    def retry_check(
        self, ticket: tickets.Ticket, answer: interfaces.CallerAnswer
    ) -> Callable[[], bool]:
        """Returns a check whether an attempt may be ended for a retry.

        The check reserves the retry that it allows: several requests may end
        their attempts at the same moment, and each needs a retry of its own.
        """

        def check() -> bool:
            if not ticket.rule.then.repeatable:
                return False
            if answer.started and not self.may_resume(ticket):
                # No upstream could resume the stream, and the silent one may
                # still continue it.
                return False
            if not self.chooser.any_accepts(ticket.service, ticket.selection):
                return False
            self.release_expired_retry(ticket)
            if ticket.may_send:
                return True
            if not self.budget.available(ticket.service):
                return False
            return self.reserve_retry(ticket)

        return check

    def reserve_retry(self, ticket: tickets.Ticket) -> bool:
        """Reserves a retry for a request; returns whether it may have one."""
        if ticket.attempts_left <= 0:
            return False
        if not self.budget.try_take(ticket.service):
            return False
        ticket.retries += 1
        ticket.retry_reserved_at = trio.current_time()
        return True

    def release_expired_retry(self, ticket: tickets.Ticket) -> None:
        """Drops a reserved retry that was not sent within RETRY_HOLD_SECONDS.

        The attempt that it was reserved for went on by itself. Sent much
        later, when that upstream fails, the retry would exceed the retry
        budget of the fleet by then.
        """
        reserved = ticket.sent_to and ticket.may_send
        if (
            reserved
            and trio.current_time() - ticket.retry_reserved_at
            > RETRY_HOLD_SECONDS
        ):
            ticket.retries -= 1

    def may_continue(
        self, ticket: tickets.Ticket, answer: interfaces.CallerAnswer
    ) -> bool:
        """Returns whether another upstream may be tried."""
        if answer.disconnected:
            return False
        if answer.write_pending:
            # The caller may have received a part of the write, after which
            # the stream cannot be resumed.
            return False
        if ticket.may_have_run and not ticket.rule.then.repeatable:
            return False
        if answer.started and not self.may_resume(ticket):
            return False
        self.release_expired_retry(ticket)
        if self.connect_attempts_exhausted(ticket):
            return False
        return ticket.may_send or self.reserve_retry(ticket)

    def connect_attempts_exhausted(self, ticket: tickets.Ticket) -> bool:
        """Returns whether too many upstreams were unreachable or replaced."""
        if len(ticket.replaced) >= MAX_REPLACED:
            return True
        tried = len(ticket.unreachable)
        if tried < MAX_SLOW_UNREACHABLE:
            return False
        waited = trio.current_time() - ticket.request.arrived
        return waited >= SLOW_CONNECT_SECONDS or tried >= MAX_UNREACHABLE

    def may_resume(self, ticket: tickets.Ticket) -> bool:
        """Returns whether another upstream can resume the stream."""
        return (
            ticket.rule.then.resumable
            and ticket.splitter.written_position.numbered
        )

    async def send_fallback(
        self, ticket: tickets.Ticket, answer: interfaces.CallerAnswer
    ) -> bool:
        """Sends an error response held from an earlier attempt.

        Returns:
            Whether there was one. A stream that has begun cannot take a second
            response.
        """
        fallback = ticket.fallback
        if fallback is None or answer.started:
            return False
        await answer.send_whole(
            fallback.head.status, fallback.head.headers, fallback.body
        )
        return True

    async def finish_unanswered(
        self, ticket: tickets.Ticket, answer: interfaces.CallerAnswer
    ) -> None:
        """Ends a request for which no further upstream is tried.

        An error response held from an earlier attempt is passed on. A request
        that may have run is not reported as not run.

        Raises:
            RequestError: No upstream answered.
        """
        if await self.send_fallback(ticket, answer):
            return
        if ticket.may_have_run:
            raise errors.OutcomeUnknown('the upstream broke off its response')
        if ticket.refusal is not None:
            raise ticket.refusal
        cause = f'no upstream of {ticket.service!r} is known'
        if ticket.attempts:
            cause = 'no upstream accepted the request'
        if ticket.retry_after_seconds:
            cause = f'all upstreams of {ticket.service!r} asked for a pause'
        elif ticket.no_choice_reason:
            cause = f'{ticket.service!r}: {ticket.no_choice_reason}'
        seconds = request_resolver.retry_after_seconds(ticket.seconds_left)
        raise errors.NoUpstream(cause, max(seconds, ticket.retry_after_seconds))


def log_request_sent(
    ticket: tickets.Ticket, record: decisions_module.Attempt
) -> None:
    """Logs where a request is sent, and why.

    Retries are always logged, because each uses up the retry budget.
    """
    number = len(ticket.attempts)
    if not ticket.logged and number == 1:
        return
    logs.change(
        'request_sent',
        request=ticket.id,
        attempt=number,
        upstream=record.upstream,
        software=record.software,
        why=record.reason,
        passed_over=passed_over_summaries([record]),
        after_event=ticket.splitter.written_position.number,
        seconds_left=round(ticket.seconds_left, 3),
    )


def failed_result(record: decisions_module.Attempt) -> str:
    """Returns the error of an attempt, empty if it succeeded."""
    return '' if record.result == decision_records.COMPLETE else record.result


def passed_over_summaries(
    attempts: Iterable[decisions_module.Attempt],
) -> list[str]:
    """Returns the upstreams that were passed over and why, for the log."""
    return [
        f'{candidate.upstream} {candidate.reason}'
        for attempt in attempts
        for candidate in attempt.passed_over
    ]
