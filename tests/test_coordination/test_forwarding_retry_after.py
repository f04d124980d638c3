"""Upstreams that turn requests away and say for how long."""

from __future__ import annotations

import pytest
import trio

from lavenderbend.coordination.forwarding import health
from tests import forwarding_fakes as fakes


def away(seconds, status=503):
    """Returns a refusal that asks for so many seconds without requests."""
    headers = {'x-signature': '', 'x-not-run': '1', 'retry-after': seconds}
    return fakes.reply(status, (b'',), **headers)


def router_of(exchanges, *names, **then):
    found = [fakes.upstream(name) for name in names]
    table = fakes.table(1, (fakes.rule(**then),))
    return fakes.Router(fakes.snapshot(1, table, *found), exchanges)


@pytest.mark.parametrize('seconds', ['3', '2.5'])
async def test_upstream_gets_nothing_for_as_long_as_it_asks(
    autojump_clock, seconds
):
    # guards against a full upstream that is asked again and again
    exchanges = fakes.Exchanges(
        e1=[away(seconds), fakes.reply()], e2=[fakes.reply()]
    )
    router = router_of(exchanges, 'e1', 'e2', attempts=2)
    while 'e1' not in exchanges.names():
        await router.ask()
        router.loads.begin('e2')
    began = trio.current_time()
    exchanges.sent.clear()
    while trio.current_time() < began + float(seconds) - 0.1:
        await router.ask()
        await trio.sleep(0.1)
    assert set(exchanges.names()) == {'e2'}
    await trio.sleep(0.2)
    for _ in range(5):
        await router.ask()
        router.loads.begin('e2')
    assert 'e1' in exchanges.names()


async def test_request_that_no_upstream_wants_is_refused_at_once(
    autojump_clock,
):
    # guards against sending to the one that is left, and against holding
    # what cannot be served
    exchanges = fakes.Exchanges(e1=[away('2')])
    router = router_of(exchanges, 'e1')
    await router.ask()
    began = trio.current_time()
    answer, error = await router.ask()
    assert exchanges.names() == ['e1']
    assert not answer.started
    assert (error.status, error.retry_after) == (503, pytest.approx(2.0))
    assert trio.current_time() - began < 0.1


async def test_request_that_was_on_its_way_goes_elsewhere(autojump_clock):
    # guards against sending what was placed before the upstream asked
    exchanges = fakes.Exchanges(e1=[fakes.reply()], e2=[fakes.reply()])
    router = router_of(exchanges, 'e1', 'e2', attempts=2)
    opened = exchanges.open

    async def slow(one, repeatable):
        await trio.sleep(1.0)
        return await opened(one, repeatable)

    exchanges.open = slow
    async with trio.open_nursery() as nursery:
        nursery.start_soon(router.ask)
        await trio.sleep(0.5)
        (placed,) = [n for n in ('e1', 'e2') if router.loads.load(n)]
        router.health.note_paused(placed, 5.0)
    assert exchanges.names() == [{'e1': 'e2', 'e2': 'e1'}[placed]]


@pytest.mark.parametrize('value', ['', '-1', 'soon', 'nan', 'inf', '1e400'])
async def test_value_that_is_no_time_closes_nobody(autojump_clock, value):
    # guards against an upstream that is never used again
    exchanges = fakes.Exchanges(e1=[away(value), fakes.reply()])
    router = router_of(exchanges, 'e1')
    await router.ask()
    await trio.sleep(0.5)
    answer, _ = await router.ask()
    assert answer.status == 200


async def test_time_that_an_upstream_asks_for_is_bounded(autojump_clock):
    # guards against losing an upstream to a mistake in one header
    exchanges = fakes.Exchanges(e1=[away('99999999'), fakes.reply()])
    router = router_of(exchanges, 'e1')
    await router.ask()
    await trio.sleep(health.MAX_PAUSE_SECONDS + 0.1)
    answer, _ = await router.ask()
    assert answer.status == 200
