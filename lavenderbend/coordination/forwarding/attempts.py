"""One request at one upstream."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from lavenderbend import errors
from lavenderbend.coordination.forwarding import failed_attempts
from lavenderbend.coordination.forwarding import interfaces
from lavenderbend.coordination.forwarding import tickets

if TYPE_CHECKING:
    from collections.abc import Callable

    from lavenderbend.coordination.forwarding import crashes as crashes_module
    from lavenderbend.coordination.forwarding import departures as departing
    from lavenderbend.coordination.forwarding import directory as directories
    from lavenderbend.coordination.forwarding import events
    from lavenderbend.coordination.forwarding import health as health_module
    from lavenderbend.coordination.forwarding import loads as loads_module
    from lavenderbend.coordination.forwarding import outgoing
    from lavenderbend.coordination.forwarding import silence as silence_module
    from lavenderbend.state import forwarding
    from lavenderbend.state import forwarding_settings

EVENT_STREAM = b'text/event-stream'
MISDIRECTED = 421
SERVER_ERROR = 500
SERVICE_UNAVAILABLE = 503
HEADER_TRUE = b'1'
RETRY_AFTER = b'retry-after'
# an upstream that is only slow answers within this many targets; one that
# hangs would use up the time that another needs
FIRST_BYTE_TARGET_MULTIPLE = 3.0
MIN_FIRST_BYTE_SECONDS = 0.3
FIRST_BYTE_TIME_FRACTION = 0.4
# pauses of this many of the longest wanted ones are no slow upstream's
STALL_GAP_MULTIPLE = 4.0
MIN_STALL_SECONDS = 0.8


class Attempts:
    """Sends requests to upstreams.

    Attributes:
        exchanges: Connections to upstreams.
        requests: Makes what is sent to them.
    """

    def __init__(
        self,
        exchanges: interfaces.Exchanges,
        directory: directories.Directory,
        health: health_module.Health,
        loads: loads_module.Loads,
        requests: outgoing.OutgoingRequests,
        crashes: crashes_module.CrashDetector,
        silence: silence_module.SilenceWatch,
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

    async def attempt(
        self,
        ticket: tickets.Ticket,
        upstream: forwarding.Upstream,
        answer: interfaces.CallerAnswer,
        may_retry: Callable[[], bool],
    ) -> None:
        """Sends a request to an upstream and its answer to the caller.

        Args:
            ticket: The request.
            upstream: Where it goes.
            answer: The caller's answer.
            may_retry: Returns whether another upstream may follow, so that
                this one is not waited for to the end; what it allows counts
                against what may be repeated.

        Raises:
            UpstreamUnreachable: Nothing was sent.
            UpstreamError: The caller has no whole answer yet; whether it
                may have run is in the ticket.
        """
        self.loads.begin(upstream.instance)
        try:
            exchange = await self.open(ticket, upstream)
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
                raise
            finally:
                self.silence.end(waiting)
                exchange.close()
        except errors.UpstreamLost:
            self.note_failure(ticket, upstream)
            self.crashes.note_lost(ticket, upstream)
            raise
        except errors.UpstreamBroke:
            self.note_failure(ticket, upstream)
            raise
        finally:
            self.loads.end(upstream.instance)
            if ticket.reservation is not None:
                ticket.reservation.ended()

    async def open(
        self, ticket: tickets.Ticket, upstream: forwarding.Upstream
    ) -> interfaces.Exchange:
        """Returns a connection to the upstream.

        Raises:
            UpstreamUnreachable: There is none to be had.
        """
        try:
            exchange = await self.exchanges.open(
                upstream, ticket.rule.then.repeatable
            )
        except errors.UpstreamUnreachable:
            self.health.note_unreachable(upstream.instance)
            raise
        if self.accepts_requests(ticket.service, upstream):
            return exchange
        exchange.close()
        raise errors.UpstreamWithdrawn('it takes no more requests')

    def accepts_requests(
        self, service: str, upstream: forwarding.Upstream
    ) -> bool:
        """Returns whether an upstream still takes requests.

        It may have left, or have asked for none, since it was chosen.
        """
        if self.health.wants_none(upstream.instance):
            return False
        return upstream.instance in self.directory.candidates(service).by_name

    async def run_exchange(
        self,
        ticket: tickets.Ticket,
        upstream: forwarding.Upstream,
        exchange: interfaces.Exchange,
        answer: interfaces.CallerAnswer,
        waiting: silence_module.Waiting,
    ) -> None:
        """Runs the exchange.

        Raises:
            UpstreamError: The caller has no whole answer yet.
        """
        ticket.sent_to.append(upstream.instance)
        ticket.splitter.restart()
        previously = ticket.may_have_run
        # from the first byte on only the upstream can say that it did not
        # run: a caller that is told so sends the request again
        ticket.may_have_run = True
        outgoing_request = self.requests.build(ticket, upstream)
        head = await waiting.read(lambda: exchange.send(outgoing_request))
        record = ticket.attempts[-1]
        record.first_byte = trio.current_time() - record.started
        self.silence.note_bytes(waiting)
        self.note_head(upstream, head)
        if self.reports_not_run(head):
            ticket.may_have_run = previously
            if head.status == MISDIRECTED:
                # the upstream that was meant has not had it
                ticket.sent_to.remove(upstream.instance)
            await self.raise_refusal(upstream, exchange, head, waiting)
        self.check_answer(head)
        self.requests.note_prompt_read(ticket, upstream)
        if ticket.reservation is not None:
            ticket.reservation.begun()
        if ticket.rule.then.streaming and head.status < 300:
            await self.relay_stream(ticket, exchange, head, answer, waiting)
            self.note_success(ticket, upstream)
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
        waiting: silence_module.Waiting,
    ) -> None:
        """Passes an answer on that is read whole first.

        Raises:
            UpstreamError: It is a failure that another upstream may make
                good, or broke off.
        """
        body = await read_body(exchange, waiting)
        failed = head.status >= SERVER_ERROR
        if failed:
            self.note_failure(ticket, upstream)
        else:
            self.note_success(ticket, upstream)
        if answer.started:
            # a stream that is resumed has its head; a second one within it
            # would reach the caller as bytes of no answer
            raise errors.UpstreamError(f'answered {head.status} to a resume')
        if failed and waiting.may_repeat():
            ticket.fallback = tickets.WholeAnswer(head, body)
            raise errors.UpstreamError(f'answered {head.status}')
        await answer.send_whole(head.status, head.headers, body)

    def note_failure(
        self, ticket: tickets.Ticket, upstream: forwarding.Upstream
    ) -> None:
        """Notes that a request did not run to a good end."""
        others = self.directory.candidates(ticket.service).places.names
        self.health.note_failure(upstream.instance, others)

    def note_success(
        self, ticket: tickets.Ticket, upstream: forwarding.Upstream
    ) -> None:
        """Notes that a request ran to a good end."""
        self.health.note_success(upstream.instance)
        self.crashes.note_success(ticket)

    def note_head(
        self, upstream: forwarding.Upstream, head: interfaces.AnswerHead
    ) -> None:
        """Notes what the upstream says of itself."""
        if head.status == MISDIRECTED:
            # another process speaks
            return
        load = interfaces.header(head.headers, self.load_header)
        if load is not None:
            self.loads.note_report(upstream.instance, load)
        if interfaces.header(head.headers, self.leaving_header) == HEADER_TRUE:
            self.departures.note_announcement(upstream.instance)
        if head.status == SERVICE_UNAVAILABLE:
            self.note_retry_after(upstream, head)

    def note_retry_after(
        self, upstream: forwarding.Upstream, head: interfaces.AnswerHead
    ) -> None:
        """Notes for how long an upstream wants no requests."""
        value = interfaces.header(head.headers, RETRY_AFTER)
        seconds = parse_retry_after(value)
        if seconds > 0.0:
            self.health.note_unwanted(upstream.instance, seconds)

    def reports_not_run(self, head: interfaces.AnswerHead) -> bool:
        """Returns whether the upstream says that it did not run it."""
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
        waiting: silence_module.Waiting,
    ) -> None:
        """Notes why the upstream refused.

        Raises:
            UpstreamRefused: Always.
        """
        if head.status == MISDIRECTED:
            self.directory.misplaced.add(upstream.instance)
            raise errors.UpstreamReplaced('another process is at its address')
        self.health.note_full(upstream.instance)
        try:
            await read_body(exchange, waiting)
        except errors.UpstreamBroke as exc:
            raise errors.UpstreamRefused(f'{head.status}, then {exc}') from exc
        raise errors.UpstreamRefused(f'answered {head.status}, not run')

    def check_answer(self, head: interfaces.AnswerHead) -> None:
        """Checks that the answer is the upstream's own work.

        Raises:
            UpstreamBroke: It is not, though the request may have run.
        """
        if head.status >= 300:
            return
        if interfaces.header(head.headers, self.signature_header) is None:
            raise errors.UpstreamBroke('a success without a signature')
        if interfaces.header(head.headers, b'content-encoding') is not None:
            raise errors.UpstreamBroke('an encoded body that nobody asked for')

    def check_stream_end(
        self, head: interfaces.AnswerHead, splitter: events.EventSplitter
    ) -> None:
        """Checks the end of a stream whose last event lacks its blank line.

        Raises:
            UpstreamLost: It broke off. Only the close of its connection ends
                this stream: within an event its caller would take what broke
                off for complete.
            AnswerContradicts: The event does not go on behind the last one.
        """
        kind = interfaces.header(head.headers, b'content-type') or b''
        of_events = splitter.passed_events or kind.startswith(EVENT_STREAM)
        if of_events and not head.framed:
            raise errors.UpstreamLost('closed within an event')
        splitter.check_partial_event()

    def first_byte_timeout(self, ticket: tickets.Ticket) -> float:
        """Returns how long an upstream may take to begin its answer."""
        from_target = FIRST_BYTE_TARGET_MULTIPLE * ticket.rule.then.target
        from_deadline = FIRST_BYTE_TIME_FRACTION * ticket.seconds_left
        return max(min(from_target, from_deadline), MIN_FIRST_BYTE_SECONDS)

    async def relay_stream(
        self,
        ticket: tickets.Ticket,
        exchange: interfaces.Exchange,
        head: interfaces.AnswerHead,
        answer: interfaces.CallerAnswer,
        waiting: silence_module.Waiting,
    ) -> None:
        """Passes a stream on, event by event.

        Raises:
            UpstreamBroke: It broke off.
        """
        splitter = ticket.splitter
        while (data := await waiting.read(exchange.read)) is not None:
            self.silence.note_bytes(waiting)
            complete = splitter.feed(data)
            if not complete:
                continue
            waiting.flowing = True
            gaps = STALL_GAP_MULTIPLE * ticket.rule.then.max_gap
            waiting.limit = max(gaps, MIN_STALL_SECONDS)
            if not answer.started:
                await answer.start(head.status, head.headers)
            await answer.send(complete)
            splitter.mark_written()
        if splitter.partial_event:
            self.check_stream_end(head, splitter)
        if not answer.started:
            await answer.start(head.status, head.headers)
        if splitter.partial_event:
            await answer.send(splitter.partial_event)
        await answer.finish()


def parse_retry_after(value: bytes | None) -> float:
    """Returns the seconds that a header names, 0 if it names none.

    A date, which the header may hold too, is taken for none: the clocks of
    two VMs differ by more than what upstreams ask for.
    """
    try:
        seconds = float(value or 0)
    except ValueError:
        return 0.0
    return seconds if 0.0 < seconds < math.inf else 0.0


async def read_body(
    exchange: interfaces.Exchange, waiting: silence_module.Waiting
) -> bytes:
    """Returns the whole body of an answer.

    Raises:
        UpstreamBroke: The answer broke off.
    """
    parts = []
    while (data := await waiting.read(exchange.read)) is not None:
        parts.append(data)
    return b''.join(parts)
