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
    found = in_memory_span_exporter.InMemorySpanExporter()
    provider = sdk_trace.TracerProvider()
    provider.add_span_processor(export.SimpleSpanProcessor(found))
    monkeypatch.setattr(trace, 'get_tracer_provider', lambda: provider)
    tracer = provider.get_tracer('test')
    monkeypatch.setattr(tracing, 'tracer', lambda: tracer)
    return found


def router(steps, rule):
    exchanges = fakes.Exchanges(e1=(), e2=())
    exchanges.steps = {'e1': steps, 'e2': steps}
    found = [fakes.upstream('e1'), fakes.upstream('e2')]
    content = fakes.snapshot(1, fakes.table(1, (rule,)), *found)
    subject = fakes.Router(content, exchanges)
    subject.forwarder.tracer = request_spans.Tracer()
    return subject


async def test_each_attempt_is_a_span_below_the_request(
    autojump_clock, exporter
):
    # an operator follows a slow request from its caller's trace through the
    # router: the attempt that failed and the one that answered stand below
    # the request, and each upstream is told its own attempt as parent
    rule = fakes.rule(idempotent=True, attempts=2)
    subject = router([fakes.LOST_ANSWER, fakes.reply()], rule)
    await subject.ask(traceparent=PARENT)
    first, second, request = exporter.get_finished_spans()
    assert f'{request.context.trace_id:x}' == '1' * 32
    assert f'{request.parent.span_id:x}' == '2' * 16
    assert request.attributes['rule'] == 'chat'
    for attempt in (first, second):
        assert attempt.parent.span_id == request.context.span_id
    assert first.status.description == 'UpstreamLost'
    assert second.status.is_ok
    told = [
        dict(sent.headers)[b'traceparent'].decode().split('-')[2]
        for _, sent in subject.exchanges.sent
    ]
    spans = [f'{one.context.span_id:016x}' for one in (first, second)]
    assert told == spans


async def test_refused_request_has_a_span_with_its_error(
    autojump_clock, exporter
):
    subject = router([fakes.reply()], fakes.rule())
    await subject.ask(key='wrong')
    (request,) = exporter.get_finished_spans()
    assert request.status.description == 'not-authenticated'


async def test_without_a_collector_the_callers_trace_is_passed_on(
    autojump_clock,
):
    subject = router([fakes.reply()], fakes.rule())
    subject.forwarder.tracer = None
    await subject.ask(traceparent=PARENT)
    (_, sent), *_ = subject.exchanges.sent
    assert dict(sent.headers)[b'traceparent'] == PARENT.encode()
