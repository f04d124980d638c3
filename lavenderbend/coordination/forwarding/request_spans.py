"""Trace spans of forwarded requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from opentelemetry import trace

from lavenderbend.observe import spans

if TYPE_CHECKING:
    from lavenderbend.coordination.forwarding import interfaces
    from lavenderbend.coordination.forwarding import tickets
    from lavenderbend.state import forwarding


class Tracer:
    """Makes a span for each request, and a child span for each attempt.

    Routers whose settings name no collector have no tracer and load no
    tracing library.
    """

    def begin_request(self, request: interfaces.CallerRequest) -> spans.Hop:
        """Returns the span of a request, a child of the caller's if any."""
        headers = {
            name: value
            for name in spans.TRACE_HEADERS
            if (value := request.header(name)) is not None
        }
        return spans.Hop('forward', headers, trace.SpanKind.SERVER)

    def begin_attempt(
        self, ticket: tickets.Ticket, upstream: forwarding.Upstream
    ) -> spans.Hop:
        """Returns the span of one attempt."""
        span = spans.Hop('attempt', ticket.span.headers, trace.SpanKind.CLIENT)
        span.set_attribute('upstream', upstream.instance)
        return span

    def end_request(
        self, span: spans.Hop, ticket: tickets.Ticket | None, outcome: str
    ) -> None:
        """Ends the span of a request.

        Args:
            span: The span.
            ticket: The request's ticket, None if the request was refused
                before it got one.
            outcome: Kind of the error, empty if the request was answered.
        """
        if ticket is not None:
            span.set_attribute('request.id', ticket.id)
            span.set_attribute('rule', ticket.rule.name)
            span.set_attribute('service', ticket.service)
        span.end(outcome)
