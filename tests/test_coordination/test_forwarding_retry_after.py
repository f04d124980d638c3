"""Upstreams that refuse requests with a Retry-After header."""

from __future__ import annotations

import pytest
import trio

from lavenderbend.coordination.forwarding import health
from tests import forwarding_fakes as fakes


def refusal(seconds, status=503):
    """Returns a refusal with a Retry-After of some seconds."""
    headers = {'x-signature': '', 'x-not-run': '1', 'retry-after': seconds}
    return fakes.reply(status, (b'',), **headers)


def make_router(exchanges, *names, **then):
    upstreams = [fakes.upstream(name) for name in names]
    table = fakes.table(1, (fakes.rule(**then),))
    return fakes.Router(fakes.snapshot(1, table, *upstreams), exchanges)


@pytest.mark.parametrize('seconds', ['3', '2.5'])
async def test_upstream_gets_no_requests_during_its_retry_after(
    autojump_clock, seconds
):
    # Guards against sending requests to a full upstream again and again.
    exchanges = fakes.Exchanges(
        e1=[refusal(seconds), fakes.reply()], e2=[fakes.reply()]
    )
    router = make_router(exchanges, 'e1', 'e2', attempts=2)
    while 'e1' not in exchanges.names():
        await router.send_request()
        router.loads.begin('e2')
    began = trio.current_time()
    exchanges.sent.clear()
    while trio.current_time() < began + float(seconds) - 0.1:
        await router.send_request()
        await trio.sleep(0.1)
    assert set(exchanges.names()) == {'e2'}
    await trio.sleep(0.2)
    for _ in range(5):
        await router.send_request()
        router.loads.begin('e2')
    assert 'e1' in exchanges.names()


async def test_request_is_refused_at_once_while_all_upstreams_are_paused(
    autojump_clock,
):
    # Guards against sending to the only upstream during its Retry-After, and
    # against holding requests that cannot be served.
    exchanges = fakes.Exchanges(e1=[refusal('2')])
    router = make_router(exchanges, 'e1')
    await router.send_request()
    began = trio.current_time()
    answer, error = await router.send_request()
    assert exchanges.names() == ['e1']
    assert not answer.started
    assert (error.status, error.retry_after) == (503, pytest.approx(2.0))
    assert trio.current_time() - began < 0.1


async def test_request_connecting_to_a_paused_upstream_is_sent_elsewhere(
    autojump_clock,
):
    # Guards against sending a request whose upstream was chosen before the
    # upstream sent its Retry-After.
    exchanges = fakes.Exchanges(e1=[fakes.reply()], e2=[fakes.reply()])
    router = make_router(exchanges, 'e1', 'e2', attempts=2)
    open_at_once = exchanges.open

    async def slow(upstream, repeatable):
        await trio.sleep(1.0)
        return await open_at_once(upstream, repeatable)

    exchanges.open = slow
    async with trio.open_nursery() as nursery:
        nursery.start_soon(router.send_request)
        await trio.sleep(0.5)
        (placed,) = [n for n in ('e1', 'e2') if router.loads.load(n)]
        router.health.note_paused(placed, 5.0)
    assert exchanges.names() == [{'e1': 'e2', 'e2': 'e1'}[placed]]


@pytest.mark.parametrize('value', ['', '-1', 'soon', 'nan', 'inf', '1e400'])
async def test_invalid_retry_after_is_ignored(autojump_clock, value):
    # Guards against an upstream that is never used again after an invalid
    # Retry-After.
    exchanges = fakes.Exchanges(e1=[refusal(value), fakes.reply()])
    router = make_router(exchanges, 'e1')
    await router.send_request()
    await trio.sleep(0.5)
    answer, _ = await router.send_request()
    assert answer.status == 200


async def test_retry_after_is_bounded(autojump_clock):
    # Guards against losing an upstream for long to one wrong header.
    exchanges = fakes.Exchanges(e1=[refusal('99999999'), fakes.reply()])
    router = make_router(exchanges, 'e1')
    await router.send_request()
    await trio.sleep(health.MAX_PAUSE_SECONDS + 0.1)
    answer, _ = await router.send_request()
    assert answer.status == 200
