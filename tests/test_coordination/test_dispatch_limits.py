"""Rate limits of rules, deadlines, and spans of the request path."""

from __future__ import annotations

from opentelemetry import trace
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.trace import export
from opentelemetry.sdk.trace.export import in_memory_span_exporter
import pytest
import trio

from lavenderbend import errors
from lavenderbend.coordination.dispatch import rule_limits
from lavenderbend.observe import spans
from lavenderbend.state import configuration
from tests import path_fakes

LIMITED = configuration.Rule(
    'sorting', configuration.Then(pool='engines', limit=4.0)
)


async def test_limit_of_a_rule_is_divided_over_the_fleet(autojump_clock):
    # With two routers and a limit of four requests per second, each router
    # grants two per second to each customer.
    limits = rule_limits.RuleLimits(path_fakes.FakeMembership())
    for _ in range(2):
        limits.check(LIMITED, 'corte')
    with pytest.raises(errors.CustomerOverLimit) as caught:
        limits.check(LIMITED, 'corte')
    assert caught.value.retry_after == pytest.approx(0.5)
    assert caught.value.outcome is errors.Outcome.NOT_RUN
    limits.check(LIMITED, 'clinica')
    await trio.sleep(0.5)
    limits.check(LIMITED, 'corte')


async def test_rule_without_a_limit_needs_no_bucket():
    limits = rule_limits.RuleLimits(path_fakes.FakeMembership())
    limits.check(configuration.Rule('free', configuration.Then()), 'corte')
    assert not limits.buckets


async def test_request_over_a_rules_limit_is_not_run():
    async with path_fakes.running(limit=2.0) as path:
        for _ in range(2):
            response = await path.client.post(
                path_fakes.CHAT_PATH, json=path_fakes.chat_body()
            )
    assert response.status_code == 429
    assert response.headers['retry-after'] == '1'
    assert len(path.admission.permit_requests) == 1


async def test_engine_that_never_answers_ends_at_the_deadline():
    # The engine accepts the request and never answers. The rule's timeout
    # ends the wait, with the outcome "unknown".
    slow = {'step_seconds': 30.0}
    async with path_fakes.running(
        engines=1, engine_kwargs=slow, timeout=0.2, retries=0
    ) as path:
        response = await path.client.post(
            path_fakes.CHAT_PATH, json=path_fakes.chat_body()
        )
    assert response.status_code == 504
    assert response.json()['outcome'] == 'unknown'
    assert not path.admission.open


async def test_caller_that_disconnects_before_the_answer_is_recorded_as_gone():
    # The caller disconnects while the engine has not answered. The decision
    # records that, and the request at the engine is cancelled.
    slow = {'step_seconds': 30.0}
    async with path_fakes.running(engines=1, engine_kwargs=slow) as path:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(post_chat, path)
            await path_fakes.until(lambda: path.engines[0].waiting)
            nursery.cancel_scope.cancel()
        await path_fakes.until(lambda: path.last_decision().error)
        await path_fakes.until(lambda: not path.engines[0].waiting)
    assert path.last_decision().error == 'CallerGone'
    assert path.last_decision().attempts[0].result == 'CallerGone'
    assert not path.admission.open


async def post_chat(path):
    await path.client.post(path_fakes.CHAT_PATH, json=path_fakes.chat_body())


async def test_stream_longer_than_the_timeout_is_not_aborted():
    # The timeout limits the wait for the beginning of the answer only, not
    # the duration of a stream that is still arriving.
    async with path_fakes.running(
        engines=1, engine_kwargs={'step_seconds': 0.05}, timeout=1.0
    ) as path:
        response = await path.client.post(
            path_fakes.CHAT_PATH,
            json=path_fakes.chat_body(stream=True, max_tokens=30),
        )
    assert response.text.endswith('data: [DONE]\n\n')


def test_without_an_exporter_the_callers_trace_context_is_forwarded():
    headers = {'traceparent': '00-' + '1' * 32 + '-' + '2' * 16 + '-01'}
    hop = spans.Hop('request', headers, trace.SpanKind.SERVER)
    assert hop.headers == headers
    assert hop.span is None
    hop.end('error')


def test_each_span_is_a_child_of_the_previous_hop(monkeypatch):
    # A request can be traced from the caller through the router to the
    # engine: each span has the previous hop's span as its parent.
    exporter = in_memory_span_exporter.InMemorySpanExporter()
    provider = sdk_trace.TracerProvider()
    provider.add_span_processor(export.SimpleSpanProcessor(exporter))
    monkeypatch.setattr(trace, 'get_tracer_provider', lambda: provider)
    tracer = provider.get_tracer('test')
    monkeypatch.setattr(spans.tracing, 'tracer', lambda: tracer)
    sent = {'traceparent': '00-' + '1' * 32 + '-' + '2' * 16 + '-01'}
    first = spans.Hop('request', sent, trace.SpanKind.SERVER)
    second = spans.Hop('attempt', first.headers, trace.SpanKind.CLIENT)
    second.end('UpstreamLost')
    first.end()
    inner, outer = exporter.get_finished_spans()
    assert f'{outer.context.trace_id:x}' == '1' * 32
    assert f'{outer.parent.span_id:x}' == '2' * 16
    assert inner.parent.span_id == outer.context.span_id
    assert inner.status.status_code is trace.StatusCode.ERROR
    assert second.headers['traceparent'] != first.headers['traceparent']
