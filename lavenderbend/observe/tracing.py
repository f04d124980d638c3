"""Set-up of tracing with OpenTelemetry."""

from __future__ import annotations

import logging

from opentelemetry import trace
from opentelemetry.trace.propagation import tracecontext

# An unreachable collector delays process exit by twice this timeout.
EXPORT_TIMEOUT_SECONDS = 2.0
PROPAGATOR = tracecontext.TraceContextTextMapPropagator()


def tracer() -> trace.Tracer:
    """Returns the tracer of the package.

    New spans have the current context as parent; trio tasks inherit it from
    the task that starts them.
    """
    return trace.get_tracer('lavenderbend')


def set_up(name: str, otlp_endpoint: str | None) -> None:
    """Exports the spans of this process over OTLP/HTTP.

    Without an address the no-op tracer of the OpenTelemetry API stays in
    use, whose spans cost very little and still propagate the caller's
    traceparent.

    Args:
        name: Id of the router, as `service.instance.id`.
        otlp_endpoint: URL of the collector, or None to export nothing.
    """
    if otlp_endpoint is None:
        return
    # The exporter would log a line for each batch it cannot deliver.
    logging.getLogger('opentelemetry').addHandler(logging.NullHandler())
    logging.getLogger('opentelemetry').propagate = False
    # Importing the SDK takes 0.1 s, so it is imported only when needed.
    from opentelemetry.exporter.otlp.proto.http import trace_exporter
    from opentelemetry.sdk import resources
    from opentelemetry.sdk import trace as sdk
    from opentelemetry.sdk.trace import export

    resource = resources.Resource.create(
        {'service.name': 'lavenderbend', 'service.instance.id': name}
    )
    provider = sdk.TracerProvider(resource=resource)
    exporter = trace_exporter.OTLPSpanExporter(
        endpoint=otlp_endpoint, timeout=EXPORT_TIMEOUT_SECONDS
    )
    provider.add_span_processor(export.BatchSpanProcessor(exporter))
    trace.set_tracer_provider(provider)
