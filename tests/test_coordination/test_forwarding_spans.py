"""Spans of forwarded requests."""

from __future__ import annotations

from opentelemetry import trace
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.trace import export
from opentelemetry.sdk.trace.export import in_memory_span_exporter
import pytest

from lavenderbend.coordination.forwarding import request_spans
from lavenderbend.observe import tracing
from tests import forwarding_fakes as fakes

PARENT = '00-' + '1' * 32 + '-' + '2' * 16 + '-01'


@pytest.fixture
def exporter(monkeypatch):
    span_exporter = in_memory_span_exporter.InMemorySpanExporter()
    provider = sdk_trace.TracerProvider()
    provider.add_span_processor(export.SimpleSpanProcessor(span_exporter))
    monkeypatch.setattr(trace, 'get_tracer_provider', lambda: provider)
    tracer = provider.get_tracer('test')
    monkeypatch.setattr(tracing, 'tracer', lambda: tracer)
    return span_exporter


def make_router(steps, rule):
    exchanges = fakes.Exchanges(e1=(), e2=())
    exchanges.steps = {'e1': steps, 'e2': steps}
    upstreams = [fakes.upstream('e1'), fakes.upstream('e2')]
    content = fakes.snapshot(1, fakes.table(1, (rule,)), *upstreams)
    router = fakes.Router(content, exchanges)
    router.forwarder.tracer = request_spans.Tracer()
    return router


async def test_attempts_are_child_spans_of_the_request(
    autojump_clock, exporter
):
    # A failed attempt and the one that answered must be children of the
    # request's span, which belongs to the caller's trace, and each upstream
    # must get its own attempt as parent.
    rule = fakes.rule(idempotent=True, attempts=2)
    router = make_router([fakes.LOST_ANSWER, fakes.reply()], rule)
    await router.send_request(traceparent=PARENT)
    first, second, request = exporter.get_finished_spans()
    assert f'{request.context.trace_id:x}' == '1' * 32
    assert f'{request.parent.span_id:x}' == '2' * 16
    assert request.attributes['rule'] == 'chat'
    for attempt in (first, second):
        assert attempt.parent.span_id == request.context.span_id
    assert first.status.description == 'UpstreamLost'
    assert second.status.is_ok
    parent_ids = [
        dict(sent.headers)[b'traceparent'].decode().split('-')[2]
        for _, sent in router.exchanges.sent
    ]
    span_ids = [
        f'{attempt.context.span_id:016x}' for attempt in (first, second)
    ]
    assert parent_ids == span_ids


async def test_refused_request_has_a_span_with_its_error(
    autojump_clock, exporter
):
    router = make_router([fakes.reply()], fakes.rule())
    await router.send_request(key='wrong')
    (request,) = exporter.get_finished_spans()
    assert request.status.description == 'not-authenticated'


async def test_without_a_collector_the_callers_trace_is_passed_on(
    autojump_clock,
):
    router = make_router([fakes.reply()], fakes.rule())
    router.forwarder.tracer = None
    await router.send_request(traceparent=PARENT)
    (_, sent), *_ = router.exchanges.sent
    assert dict(sent.headers)[b'traceparent'] == PARENT.encode()
