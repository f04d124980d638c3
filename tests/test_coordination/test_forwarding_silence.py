"""Upstreams that fall silent without closing anything."""

from __future__ import annotations

import pytest
import trio

from lavenderbend.coordination.forwarding import health
from lavenderbend.coordination.forwarding import silence
from tests import forwarding_fakes as fakes


def event(number):
    return b'id: %d\ndata: x%d\n\n' % (number, number)


@pytest.fixture
def watch(nursery):
    watch = silence.SilenceWatch(health.Health())
    nursery.start_soon(watch.run)
    return watch


def begin(watch, name='e1', limit=5.0, repeatable=True):
    waiting = watch.begin(fakes.upstream(name), limit, lambda: repeatable)
    watch.note_bytes(waiting)
    return waiting


async def test_request_behind_a_dark_upstream_is_not_kept_waiting(
    watch, autojump_clock
):
    # An engine's VM loses power while it streams to one request and reads
    # the prompt of another. Nothing is closed; the second would wait out its
    # whole limit before another engine gets it.
    stream = begin(watch)
    stream.flowing = True
    first = begin(watch)
    await trio.sleep(0.3)
    assert not first.scope.cancel_called
    await trio.sleep(0.4)
    assert stream.scope.cancel_called
    assert first.scope.cancel_called
    assert watch.health.is_suspected('e1')


async def test_slow_first_token_is_no_silence(watch, autojump_clock):
    # The engine reads a long prompt; its other streams go on.
    stream = begin(watch)
    stream.flowing = True
    first = begin(watch)
    for _ in range(30):
        await trio.sleep(0.1)
        watch.note_bytes(stream)
    assert not first.scope.cancel_called
    assert not watch.health.is_suspected('e1')


async def test_request_that_may_run_once_waits_on(watch, autojump_clock):
    # its answer may still come; sent again it would run twice
    waiting = begin(watch, limit=0.5, repeatable=False)
    waiting.flowing = True
    await trio.sleep(3.0)
    assert not waiting.scope.cancel_called


async def test_router_that_stood_still_blames_nobody(
    nursery, autojump_clock, monkeypatch
):
    # The router itself was frozen: bytes lie unread in its sockets, and all
    # upstreams look silent for a moment.
    watch = silence.SilenceWatch(health.Health())
    waiting = begin(watch)
    waiting.flowing = True
    await trio.sleep(5.0)
    watch.start_anew(trio.current_time())
    watch.check(trio.current_time())
    assert not waiting.scope.cancel_called
    assert not watch.health.suspects()


async def test_what_another_router_found_ends_waits_too(watch, autojump_clock):
    waiting = begin(watch)
    await trio.sleep(0.3)
    watch.health.note_suspected('e1')
    await trio.sleep(0.4)
    assert waiting.scope.cancel_called
    # told on only by who found it: else routers would keep a rumour alive
    assert watch.health.suspects() == []


async def test_suspicion_ends_with_the_next_success(autojump_clock):
    known = health.Health()
    told = []
    known.on_suspect = lambda: told.append(known.suspects())
    known.note_unreachable('e1')
    known.note_unreachable('e1')
    assert told == [['e1']]
    known.note_success('e1')
    assert not known.is_suspected('e1')


async def test_dark_upstream_costs_a_stream_little_time(autojump_clock):
    first = fakes.reply(body=(event(1), 30.0))
    exchanges = fakes.Exchanges(e1=(), e2=())
    shared = [first, fakes.reply(body=(event(2),))]
    exchanges.steps = {'e1': shared, 'e2': shared}
    rules = (fakes.rule(streaming=True, resumable=True, attempts=2),)
    content = fakes.snapshot(
        1, fakes.table(1, rules), fakes.upstream('e1'), fakes.upstream('e2')
    )
    router = fakes.Router(content, exchanges)
    began = trio.current_time()
    answer, error = await router.ask()
    assert answer.body == event(1) + event(2)
    assert trio.current_time() - began < 0.8
