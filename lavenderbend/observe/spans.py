"""Spans of a request, one per hop, with little cost when not exported."""

from __future__ import annotations

from typing import TYPE_CHECKING

from opentelemetry import trace

from lavenderbend.observe import tracing

if TYPE_CHECKING:
    from collections.abc import Mapping

TRACE_HEADERS = ('traceparent', 'tracestate')


def recording() -> bool:
    """Returns whether spans are recorded, which needs a tracer provider."""
    provider = trace.get_tracer_provider()
    return not isinstance(provider, trace.ProxyTracerProvider)


class Hop:
    """One span, or the received trace context if nothing is recorded.

    Attributes:
        span: The span, None if nothing is recorded.
        headers: Trace context headers for the next hop.
    """

    def __init__(
        self, name: str, headers: Mapping[str, str], kind: trace.SpanKind
    ) -> None:
        self.span: trace.Span | None = None
        self.headers = {
            key: headers[key] for key in TRACE_HEADERS if key in headers
        }
        if not recording():
            return
        parent = tracing.PROPAGATOR.extract(self.headers)
        self.span = tracing.tracer().start_span(name, context=parent, kind=kind)
        self.headers = {}
        tracing.PROPAGATOR.inject(
            self.headers, context=trace.set_span_in_context(self.span)
        )

    def set_attribute(self, key: str, value: str | int | float) -> None:
        """Sets an attribute of the span."""
        if self.span is not None:
            self.span.set_attribute(key, value)

    def end(self, error: str = '') -> None:
        """Ends the span; a second call does nothing.

        Args:
            error: Description of the failure; empty on success.
        """
        if self.span is None:
            return
        if error:
            self.span.set_status(trace.StatusCode.ERROR, error)
        self.span.end()
        self.span = None
