"""One attempt to have a request answered by an upstream."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from lavenderbend import errors
from lavenderbend.coordination.forwarding import answer_bodies
from lavenderbend.coordination.forwarding import failed_attempts
from lavenderbend.coordination.forwarding import interfaces
from lavenderbend.coordination.forwarding import loads as loads_module
from lavenderbend.coordination.forwarding import tickets
from lavenderbend.coordination.forwarding.stream_versions import origins

if TYPE_CHECKING:
    from collections.abc import Callable

    from lavenderbend.coordination.forwarding import crashes as crashes_module
    from lavenderbend.coordination.forwarding import departures as departing
    from lavenderbend.coordination.forwarding import directory as directories
    from lavenderbend.coordination.forwarding import health as health_module
    from lavenderbend.coordination.forwarding import outgoing
    from lavenderbend.coordination.forwarding import (
        rejection_limits as rejection_limits_module,
    )
    from lavenderbend.coordination.forwarding import (
        reservations as reservations_module,
    )
    from lavenderbend.coordination.forwarding import silence as silence_module
    from lavenderbend.coordination.forwarding import (
        stream_services as stream_services_module,
    )
    from lavenderbend.coordination.forwarding.admission import (
        crowding as crowding_module,
    )
    from lavenderbend.coordination.forwarding.stream_versions import (
        stream_versions as stream_versions_module,
    )
    from lavenderbend.coordination.forwarding.warm_up import (
        cold_starts as cold_starts_module,
    )
    from lavenderbend.state import forwarding
    from lavenderbend.state import forwarding_settings

EVENT_STREAM = b'text/event-stream'
MULTIPLE_CHOICES = 300
MISDIRECTED = 421
SERVER_ERROR = 500
SERVICE_UNAVAILABLE = 503
HEADER_TRUE = b'1'
RETRY_AFTER = b'retry-after'
# An upstream has this many latency targets to begin its response, and at most
# this fraction of the time left: a slow upstream answers within that, and one
# that hangs must leave time for another attempt.
FIRST_BYTE_TARGET_MULTIPLE = 3.0
MIN_FIRST_BYTE_SECONDS = 0.3
FIRST_BYTE_TIME_FRACTION = 0.4
# A stream stalls when it pauses for this many times the largest gap that the
# rule aims for: a slow upstream does not pause that long.
STALL_GAP_MULTIPLE = 4.0
MIN_STALL_SECONDS = 0.8


class Attempts:
    """Sends requests to upstreams and passes the responses to callers.

    Attributes:
        exchanges: Connections to upstreams.
        directory: Known upstreams by service.
        health: Failures of upstreams.
        loads: Requests that each upstream has.
        requests: Builds the requests to upstreams.
        crashes: Detects requests that crash upstreams.
        silence: Ends attempts at upstreams that send nothing.
        departures: Shares with other routers which upstreams leave.
        signature_header: Header that marks a success as the upstream's own.
        not_run_header: Header that says that the request did not run.
        load_header: Header with the load of the upstream.
        leaving_header: Header that says that the upstream leaves.
        rejection_limit_header: Header with the rejections that the
            upstream stands.
        cold_starts: Limits the requests to cold upstreams, None for no limit.
        rejection_limits: Limits the rejections at upstreams that crash of too
            many, None for no limit.
        stream_versions: Knows which software began streams, None where any
            may go on.
        stream_services: Knows whether rules name the services of streams, None
            where none changes.
    """

    def __init__(
        self,
        exchanges: interfaces.Exchanges,
        directory: directories.Directory,
        health: health_module.Health,
        loads: loads_module.Loads,
        requests: outgoing.OutgoingRequests,
        crashes: crashes_module.CrashDetector,
        silence: silence_module.SilenceDetector,
        departures: departing.Departures,
        headers: forwarding_settings.ForwardHeaders,
    ) -> None:
        self.exchanges = exchanges
        self.directory = directory
        self.health = health
        self.loads = loads
        self.requests = requests
        self.crashes = crashes
        self.silence = silence
        self.departures = departures
        self.signature_header = headers.signature.encode()
        self.not_run_header = headers.not_run.encode()
        self.load_header = headers.load.encode()
        self.leaving_header = headers.leaving.encode()
        self.rejection_limit_header = headers.rejection_limit.encode()
        self.cold_starts: cold_starts_module.ColdStarts | None = None
        self.rejection_limits: (
            rejection_limits_module.RejectionLimits | None
        ) = None
        self.stream_versions: stream_versions_module.StreamVersions | None = (
            None
        )
        self.stream_services: stream_services_module.StreamServices | None = (
            None
        )
        self.crowding: crowding_module.Crowding | None = None
        self.on_pace: Callable[
            [
                forwarding.Upstream,
                reservations_module.Reservation | None,
                int,
            ],
            None,
        ] = ignore_pace

    async def attempt(
        self,
        ticket: tickets.Ticket,
        upstream: forwarding.Upstream,
        answer: interfaces.CallerAnswer,
        may_retry: Callable[[], bool],
    ) -> None:
        """Sends a request to an upstream and the response to the caller.

        Args:
            ticket: The request.
            upstream: The upstream that it is sent to.
            answer: The response to the caller.
            may_retry: Returns whether another upstream may be tried, so that
                this attempt can be ended early. Each retry that it allows
                counts against the retry budget.

        Raises:
            UpstreamUnreachable: Nothing was sent.
            UpstreamError: The caller has no complete response yet. Whether
                the request may have run is in the ticket.
        """
        self.loads.begin(upstream.instance)
        self.begin_unanswered(ticket, upstream)
        try:
            exchange = await self.open(ticket, upstream)
            ticket.attempts[-1].relay = exchange.relay
            limit = self.first_byte_timeout(ticket)
            waiting = self.silence.begin(upstream, limit, may_retry)
            try:
                await self.run_exchange(
                    ticket, upstream, exchange, answer, waiting
                )
            except BaseException as exc:
                failed_attempts.log_failure(
                    ticket, upstream, answer, waiting, exc
                )
                self.note_relay(exchange, exc)
                raise
            finally:
                self.silence.end(waiting)
                exchange.close()
        except errors.RelayLost:
            # nothing is known of the upstream
            raise
        except errors.UpstreamLost:
            self.note_failure(ticket, upstream)
            self.crashes.note_lost(ticket, upstream)
            raise
        except (errors.UpstreamBroke, errors.AnswerMismatch):
            self.note_failure(ticket, upstream)
            raise
        finally:
            self.loads.end(upstream.instance)
            self.end_unanswered(ticket)
            if ticket.reservation is not None:
                ticket.reservation.note_ended()

    def begin_unanswered(
        self, ticket: tickets.Ticket, upstream: forwarding.Upstream
    ) -> None:
        """Counts a request until its upstream answers."""
        if self.rejection_limits is not None:
            ticket.unanswered_at = upstream.instance
            self.rejection_limits.begin(upstream.instance)

    def end_unanswered(self, ticket: tickets.Ticket) -> None:
        """Counts a request no more, if it still was."""
        if ticket.unanswered_at:
            self.rejection_limits.end(ticket.unanswered_at)
            ticket.unanswered_at = ''

    def note_relay(
        self, exchange: interfaces.Exchange, cause: BaseException
    ) -> None:
        """Records that the router that relayed an exchange may have failed."""
        faults = (errors.RelayLost, errors.UpstreamStalled)
        if exchange.relay and isinstance(cause, faults):
            self.exchanges.note_relay_failed(exchange.relay)

    async def open(
        self, ticket: tickets.Ticket, upstream: forwarding.Upstream
    ) -> interfaces.Exchange:
        """Returns a connection to the upstream.

        Raises:
            UpstreamUnreachable: The upstream accepts no connection.
            UpstreamWithdrawn: It accepts no more requests.
        """
        try:
            exchange = await self.exchanges.open(
                upstream, ticket.rule.then.repeatable
            )
        except errors.UpstreamWithdrawn:
            raise
        except errors.UpstreamUnreachable:
            self.health.note_unreachable(upstream.instance)
            raise
        if self.accepts_requests(ticket, upstream):
            return exchange
        exchange.close()
        raise errors.UpstreamWithdrawn('upstream withdrawn while connecting')

    def accepts_requests(
        self, ticket: tickets.Ticket, upstream: forwarding.Upstream
    ) -> bool:
        """Returns whether an upstream still accepts a request.

        It may have left, turned cold, have rejected a request although it has
        a rejection limit or have sent a Retry-After since it was chosen, or
        connecting may have taken longer than its permit lasts.
        """
        instance = upstream.instance
        if self.health.is_paused(instance):
            return False
        if self.rejection_limits is not None and self.rejection_limits.is_full(
            instance
        ):
            return False
        if self.cold_starts is not None and not self.cold_starts.may_send(
            instance, ticket.permitted_until
        ):
            return False
        return instance in self.directory.candidates(ticket.service).by_name

    async def run_exchange(
        self,
        ticket: tickets.Ticket,
        upstream: forwarding.Upstream,
        exchange: interfaces.Exchange,
        answer: interfaces.CallerAnswer,
        waiting: silence_module.UpstreamWait,
    ) -> None:
        """Sends the request and passes the response on.

        Raises:
            UpstreamError: The caller has no complete response yet.
        """
        ticket.sent_to.append(upstream.instance)
        ticket.splitter.restart()
        previously = ticket.may_have_run
        # Once the first byte is sent only the upstream can tell that the
        # request did not run. A caller that is told so sends it again.
        ticket.may_have_run = True
        outgoing_request = self.requests.build(ticket, upstream)
        head = await waiting.read(lambda: exchange.send(outgoing_request))
        record = ticket.attempts[-1]
        record.first_byte = trio.current_time() - record.started
        self.silence.note_bytes(waiting)
        ticket.unframed = not head.framed
        self.note_head(upstream, head)
        self.note_pace(ticket, upstream, head)
        self.end_unanswered(ticket)
        if self.reports_not_run(head):
            self.note_crowded(ticket, upstream, head)
            ticket.may_have_run = previously
            if head.status == MISDIRECTED:
                # The intended upstream has not received the request.
                ticket.sent_to.remove(upstream.instance)
            await self.raise_refusal(upstream, exchange, head, waiting)
        self.check_answer(head)
        self.requests.note_prompt_read(ticket, upstream)
        if ticket.reservation is not None:
            ticket.reservation.note_begun()
        if ticket.rule.then.streaming and head.status < MULTIPLE_CHOICES:
            await self.relay_stream(
                ticket, upstream, exchange, head, answer, waiting
            )
            self.note_success(ticket, upstream)
            self.crashes.note_answered(ticket, upstream)
            return
        await self.relay_whole(
            ticket, upstream, exchange, head, answer, waiting
        )

    async def relay_whole(
        self,
        ticket: tickets.Ticket,
        upstream: forwarding.Upstream,
        exchange: interfaces.Exchange,
        head: interfaces.AnswerHead,
        answer: interfaces.CallerAnswer,
        waiting: silence_module.UpstreamWait,
    ) -> None:
        """Reads a response completely, then passes it on.

        Raises:
            UpstreamError: The response broke off, or it is a server error
                after which another upstream is tried.
        """
        failed = head.status >= SERVER_ERROR
        seconds = answer_bodies.ERROR_BODY_SECONDS if failed else math.inf
        body = await answer_bodies.read_body(
            exchange, waiting, seconds, answer.reserve
        )
        if failed:
            self.note_failure(ticket, upstream)
        else:
            self.note_success(ticket, upstream)
        if head.status < MULTIPLE_CHOICES:
            self.crashes.note_answered(ticket, upstream)
        if answer.started:
            # The caller already has the head of the resumed stream. A second
            # head would reach it as bytes of the body.
            raise errors.UpstreamError(
                f'answered {head.status} to a resumed stream'
            )
        if failed and waiting.may_retry():
            ticket.fallback = tickets.WholeAnswer(head, body)
            raise errors.UpstreamError(f'answered {head.status}')
        await answer.send_whole(head.status, head.headers, body)

    async def note_begun(
        self, ticket: tickets.Ticket, upstream: forwarding.Upstream
    ) -> None:
        """Records that a caller is about to get events of an upstream."""
        if ticket.software_id is not None:
            return
        ticket.software_id = upstream.software_id
        if self.stream_versions is not None:
            await self.stream_versions.note_begun(ticket, upstream)
            self.tell_of_changed_rule(ticket, upstream)

    def tell_of_changed_rule(
        self, ticket: tickets.Ticket, upstream: forwarding.Upstream
    ) -> None:
        """Tells other routers of a stream whose rule cannot name its service.

        Those of a rule with several services are told in any case.
        """
        if self.stream_services is None or not ticket.id:
            return
        then = ticket.rule.then
        if ticket.takes_up or not then.resumable or len(then.pools) > 1:
            return
        if not self.stream_services.tells_origin(ticket):
            stream = origins.stream_key(ticket.customer, ticket.id)
            self.stream_versions.tell(stream, upstream.software_id, 0.0)

    def note_failure(
        self, ticket: tickets.Ticket, upstream: forwarding.Upstream
    ) -> None:
        """Records a failed attempt in the upstream's health."""
        others = self.directory.candidates(ticket.service).rendezvous.names
        self.health.note_failure(upstream.instance, others)

    def note_success(
        self, ticket: tickets.Ticket, upstream: forwarding.Upstream
    ) -> None:
        """Records that the upstream ran the request successfully."""
        self.health.note_success(upstream.instance)
        self.crashes.note_success(ticket)

    def note_head(
        self, upstream: forwarding.Upstream, head: interfaces.AnswerHead
    ) -> None:
        """Records what the response headers say about the upstream."""
        if head.status == MISDIRECTED:
            # The response is from another process at the same address.
            return
        load = interfaces.header(head.headers, self.load_header)
        if load is not None:
            self.loads.note_report(upstream.instance, load)
        if interfaces.header(head.headers, self.leaving_header) == HEADER_TRUE:
            self.departures.note_announcement(upstream.instance)
        if self.rejection_limits is not None:
            self.rejection_limits.note_answer(
                upstream.instance,
                interfaces.header(head.headers, self.rejection_limit_header),
            )
        if head.status == SERVICE_UNAVAILABLE:
            self.note_retry_after(upstream, head)

    def note_pace(
        self,
        ticket: tickets.Ticket,
        upstream: forwarding.Upstream,
        head: interfaces.AnswerHead,
    ) -> None:
        """Passes on how long work takes at an upstream, if it says so."""
        load = interfaces.header(head.headers, self.load_header)
        if load is None or head.status == MISDIRECTED:
            return
        percent = loads_module.parse_pace(load)
        if percent is None:
            return
        reservation = None
        if ticket.reservation is not None:
            reservation = ticket.reservation.reservation
        self.on_pace(upstream, reservation, percent)

    def note_crowded(
        self,
        ticket: tickets.Ticket,
        upstream: forwarding.Upstream,
        head: interfaces.AnswerHead,
    ) -> None:
        """Records that an upstream had no room for a request without a prompt.

        One that leaves rejects requests for another reason.
        """
        if self.crowding is None or ticket.prompt.parts:
            return
        leaving = interfaces.header(head.headers, self.leaving_header)
        if head.status == SERVICE_UNAVAILABLE and leaving != HEADER_TRUE:
            self.crowding.note_rejected(upstream.instance)

    def note_retry_after(
        self, upstream: forwarding.Upstream, head: interfaces.AnswerHead
    ) -> None:
        """Records for how long an upstream asks for no requests."""
        value = interfaces.header(head.headers, RETRY_AFTER)
        seconds = parse_retry_after(value)
        if seconds > 0.0:
            self.health.note_paused(upstream.instance, seconds)

    def reports_not_run(self, head: interfaces.AnswerHead) -> bool:
        """Returns whether the upstream reports that the request did not run."""
        if head.status == MISDIRECTED:
            return True
        if head.status < 400:
            return False
        return interfaces.header(head.headers, self.not_run_header) is not None

    async def raise_refusal(
        self,
        upstream: forwarding.Upstream,
        exchange: interfaces.Exchange,
        head: interfaces.AnswerHead,
        waiting: silence_module.UpstreamWait,
    ) -> None:
        """Records why the upstream refused the request.

        Raises:
            UpstreamReplaced: Another process answered at its address.
            UpstreamRefused: In all other cases.
        """
        if head.status == MISDIRECTED:
            self.directory.replaced.add(upstream.instance)
            raise errors.UpstreamReplaced(
                'another process answered at the address of the upstream'
            )
        self.health.note_full(upstream.instance)
        if self.rejection_limits is not None:
            self.rejection_limits.note_rejected(upstream.instance)
        try:
            await answer_bodies.read_body(
                exchange, waiting, answer_bodies.ERROR_BODY_SECONDS
            )
        except errors.UpstreamBroke as exc:
            raise errors.UpstreamRefused(
                f'answered {head.status}, then: {exc}'
            ) from exc
        raise errors.UpstreamRefused(f'answered {head.status}, not run')

    def check_answer(self, head: interfaces.AnswerHead) -> None:
        """Checks that a success is signed and not encoded.

        Raises:
            UpstreamBroke: The response lacks the signature or has a
                content encoding. The request may have run.
        """
        if head.status >= MULTIPLE_CHOICES:
            return
        if not interfaces.header(head.headers, self.signature_header):
            raise errors.UpstreamBroke('success without a signature')
        if interfaces.header(head.headers, b'content-encoding') is not None:
            raise errors.UpstreamBroke('content encoding was not requested')

    def check_stream_end(
        self, ticket: tickets.Ticket, head: interfaces.AnswerHead
    ) -> None:
        """Checks the end of a stream within an event or before the first one.

        Raises:
            UpstreamLost: The stream is ended only by the close of its
                connection. The caller would take the truncated stream for
                complete.
            AnswerContradicts: The event does not follow the last one.
        """
        splitter = ticket.splitter
        if not head.framed and self.is_of_events(ticket, head):
            if splitter.partial_event:
                raise errors.UpstreamLost('connection closed within an event')
            self.check_empty_end(ticket)
        if splitter.partial_event:
            splitter.check_partial_event()

    def is_of_events(
        self, ticket: tickets.Ticket, head: interfaces.AnswerHead
    ) -> bool:
        """Returns whether a response is known to consist of events."""
        kind = interfaces.header(head.headers, b'content-type') or b''
        return ticket.splitter.passed_events or kind.startswith(EVENT_STREAM)

    def check_empty_end(self, ticket: tickets.Ticket) -> None:
        """Checks the close of a connection before the first event.

        A caller that has all events may take up a stream whose end it missed.
        It gets that end once two upstreams have shown it: one of them may have
        crashed after the head of its response.

        Raises:
            UpstreamLost: The upstream may have crashed.
        """
        taken_up = ticket.takes_up and not ticket.splitter.passed_events
        if taken_up and ticket.ended_empty:
            return
        ticket.ended_empty = True
        raise errors.UpstreamLost('connection closed before an event')

    async def check_not_crashed(
        self, ticket: tickets.Ticket, upstream: forwarding.Upstream
    ) -> None:
        """Checks that a stream was not ended by the crash of its upstream.

        The connections of a process that crashes may be closed as regularly as
        the one of a stream without length that has ended. One that ended is
        resumed without harm.

        Raises:
            UpstreamLost: The upstream is gone.
        """
        if not ticket.rule.then.resumable:
            return
        if not await self.exchanges.accepts(upstream):
            raise errors.UpstreamLost('gone at the end of a stream')

    def first_byte_timeout(self, ticket: tickets.Ticket) -> float:
        """Returns the seconds that an upstream has to begin its response."""
        from_target = FIRST_BYTE_TARGET_MULTIPLE * ticket.rule.then.target
        from_deadline = FIRST_BYTE_TIME_FRACTION * ticket.seconds_left
        return max(min(from_target, from_deadline), MIN_FIRST_BYTE_SECONDS)

    async def relay_stream(
        self,
        ticket: tickets.Ticket,
        upstream: forwarding.Upstream,
        exchange: interfaces.Exchange,
        head: interfaces.AnswerHead,
        answer: interfaces.CallerAnswer,
        waiting: silence_module.UpstreamWait,
    ) -> None:
        """Passes a stream on in complete events.

        Raises:
            UpstreamBroke: The stream broke off.
        """
        splitter = ticket.splitter
        while (data := await waiting.read(exchange.read)) is not None:
            self.silence.note_bytes(waiting)
            complete = splitter.feed(data)
            if not complete:
                continue
            waiting.streaming = True
            gaps = STALL_GAP_MULTIPLE * ticket.rule.then.max_gap
            waiting.limit = max(gaps, MIN_STALL_SECONDS)
            # even a write that is cancelled may have reached the caller
            await self.note_begun(ticket, upstream)
            if not answer.started:
                await answer.start(head.status, head.headers)
            await answer.send(complete)
            splitter.mark_written()
        if splitter.partial_event or not splitter.run_has_events:
            self.check_stream_end(ticket, head)
        elif not head.framed:
            await self.check_not_crashed(ticket, upstream)
        if not answer.started:
            await answer.start(head.status, head.headers)
        if splitter.partial_event:
            await answer.send(splitter.partial_event)
        await answer.finish()


def ignore_pace(
    upstream: forwarding.Upstream,
    reservation: reservations_module.Reservation | None,
    percent: int,
) -> None:
    """Does nothing; the default of `Attempts.on_pace`."""


def parse_retry_after(value: bytes | None) -> float:
    """Returns the seconds of a Retry-After header, 0 if it has none.

    Dates, which the header allows too, are ignored: the clocks of two VMs
    differ by more than the times that upstreams ask for.
    """
    try:
        seconds = float(value or 0)
    except ValueError:
        return 0.0
    return seconds if 0.0 < seconds < math.inf else 0.0
