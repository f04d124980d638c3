"""Traces, a span for each hop, by OpenTelemetry."""

from __future__ import annotations

import logging

from opentelemetry import trace
from opentelemetry.trace.propagation import tracecontext

# a collector that is down delays the end of a process by two of these
EXPORT_SECONDS = 2.0
PROPAGATOR = tracecontext.TraceContextTextMapPropagator()


def tracer() -> trace.Tracer:
    """Returns the tracer of the package.

    Spans follow the current context, which trio tasks inherit.
    """
    return trace.get_tracer('lavenderbend')


def set_up(name: str, otlp_endpoint: str | None) -> None:
    """Sends the spans of this process to an OTLP/HTTP address.

    Without an address the API's own no-op tracer stays, whose spans cost
    next to nothing and still carry the caller's traceparent on.

    Args:
        name: Id of the router, as `service.instance.id`.
        otlp_endpoint: Address of the collector, or None.
    """
    if otlp_endpoint is None:
        return
    # the exporter would write a line for each batch that it cannot deliver
    logging.getLogger('opentelemetry').addHandler(logging.NullHandler())
    logging.getLogger('opentelemetry').propagate = False
    # the SDK takes a tenth of a second to import; only who traces pays
    from opentelemetry.exporter.otlp.proto.http import trace_exporter
    from opentelemetry.sdk import resources
    from opentelemetry.sdk import trace as sdk
    from opentelemetry.sdk.trace import export

    resource = resources.Resource.create(
        {'service.name': 'lavenderbend', 'service.instance.id': name}
    )
    provider = sdk.TracerProvider(resource=resource)
    exporter = trace_exporter.OTLPSpanExporter(
        endpoint=otlp_endpoint, timeout=EXPORT_SECONDS
    )
    provider.add_span_processor(export.BatchSpanProcessor(exporter))
    trace.set_tracer_provider(provider)
