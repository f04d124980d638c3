"""The load generator against a request path with and without faults."""

from __future__ import annotations

import io

import pytest

from lavenderbend import load
from lavenderbend.load import driver as driver_module
from lavenderbend.load import plots
from lavenderbend.load import results
from lavenderbend.standin import engine_faults
from lavenderbend.standin import engine_texts
from tests import path_fakes


def make_plan(**fields):
    customers = (load.LoadCustomer('corte', path_fakes.CREDENTIAL),) * 2
    values = {'mix': 'correo', 'seconds': 0.6, 'rate': 40.0, 'seed': 3}
    return load.LoadPlan(
        **{**values, **fields, 'customers': customers, 'model': 'model'}
    )


def address(path):
    return f'http://{path_fakes.HOST}:{path.port}'


async def test_correct_answers_are_counted_as_whole():
    async with path_fakes.running() as path:
        result = await load.run_load(
            make_plan(), [address(path)], engine_texts.answer_text
        )
        records = path.services[0].log.records
    assert result.calls == result.whole > 5
    assert result.refused == result.wrong == result.cut == 0
    run_keys = [key for key, was_run in result.once_keys.items() if was_run]
    assert sorted(record.idempotency_key for record in records) == sorted(
        run_keys
    )
    assert 0 < result.cached_tokens < result.prompt_tokens


async def test_wrong_answers_are_counted():
    # Guards against an undetected mix-up: a router that returns the answer of
    # another request must be counted as wrong, by the expected text.
    async with path_fakes.running() as path:
        result = await load.run_load(
            make_plan(),
            [address(path)],
            lambda request_id, body: 'something else',
        )
    assert result.wrong > 0
    assert 'chat' in result.examples[0]


async def test_cut_answers_are_counted():
    # Every engine ends its streams early and the router may not retry.
    async with path_fakes.running(retries=0) as path:
        for engine in path.engines:
            fault = engine_faults.Fault('short', after=1)
            engine.faults.extend([fault] * 1000)
        result = await load.run_load(
            make_plan(), [address(path)], engine_texts.answer_text
        )
    assert result.cut > 0
    assert result.wrong == 0


async def test_call_that_was_not_run_is_sent_to_another_address():
    # One of the addresses refuses connections, as during a restart: every call
    # must be served at the other one.
    async with path_fakes.running() as path:
        result = await load.run_load(
            make_plan(),
            [f'http://{path_fakes.HOST}:1', address(path)],
            engine_texts.answer_text,
        )
    assert result.calls == result.whole
    assert result.retried > 0


async def test_refusals_are_counted_by_kind():
    async with path_fakes.running() as path:
        path.app.configurations.document = None
        result = await load.run_load(
            make_plan(seconds=0.2, tries=1), [address(path)]
        )
    assert result.refused == result.calls
    assert set(result.refusals) == {'no-configuration'}


def test_surge_raises_the_rate_of_its_customers_only():
    surge = load.Surge(('a',), 10.0, 5.0, 2.0)
    customers = (load.LoadCustomer('a', 'x'), load.LoadCustomer('b', 'y'))
    plan = load.LoadPlan('correo', customers, surges=(surge,))
    assert plan.customer_rate(0, 6.0) == pytest.approx(
        10 * plan.customer_rate(0, 1.0)
    )
    assert plan.customer_rate(1, 6.0) == plan.customer_rate(1, 1.0)
    assert plan.customer_rate(0, 7.0) == plan.customer_rate(0, 1.0)


async def test_equal_plans_make_equal_chats():
    first, second = (
        driver_module.Driver(make_plan(), [], None) for _ in range(2)
    )
    for _ in range(5):
        left = first.chats.next_turn(0)
        right = second.chats.next_turn(0)
        assert first.chats.request_body(left) == second.chats.request_body(
            right
        )
        first.chats.complete_turn(left, 'answer')
        second.chats.complete_turn(right, 'answer')


def test_result_is_written_and_plotted(tmp_path):
    result = results.LoadResult()
    for index in range(100):
        result.record_latency(results.Timing.CHAT, 0.001 * (index + 1))
    result.record_call(results.Verdict.WHOLE)
    stream = io.BytesIO()
    plots.write_histograms(result, stream)
    target = tmp_path / 'plot.png'
    plots.write_plot(result, str(target))
    assert b'# chat, ms' in stream.getvalue()
    assert target.read_bytes().startswith(b'\x89PNG')
    document = result.to_document()
    assert document['latency_ms']['chat']['p50'] == pytest.approx(50, rel=0.05)
