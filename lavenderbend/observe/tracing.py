"""Traces, a span for each hop, by OpenTelemetry."""

from __future__ import annotations

from opentelemetry import trace
from opentelemetry.trace.propagation import tracecontext

PROPAGATOR = tracecontext.TraceContextTextMapPropagator()


def tracer() -> trace.Tracer:
    """Returns the tracer of the package.

    Spans follow the current context, which trio tasks inherit.
    """
    return trace.get_tracer('lavenderbend')
