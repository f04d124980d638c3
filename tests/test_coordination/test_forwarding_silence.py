"""Upstreams that fall silent without closing anything."""

from __future__ import annotations

import pytest
import trio

from lavenderbend import errors
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


async def test_caller_that_is_waited_for_is_no_silence(watch, autojump_clock):
    # the router does not read the upstream while a write to the caller waits
    waiting = begin(watch, limit=0.5)
    waiting.flowing = True
    waiting.reading = False
    await trio.sleep(3.0)
    assert not waiting.scope.cancel_called
    assert not watch.health.is_suspected('e1')


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
    assert not watch.health.is_suspected('e1')


async def test_what_another_router_found_ends_waits_too(watch, autojump_clock):
    told = []
    watch.health.on_suspect = lambda instance, seconds: told.append(instance)
    waiting = begin(watch)
    await trio.sleep(0.3)
    watch.health.note_suspected('e1', 1.0)
    await trio.sleep(0.4)
    assert waiting.scope.cancel_called
    # told only by who found it: else routers would keep a rumour alive
    assert told == []


async def test_suspicion_ends_with_the_next_success(autojump_clock):
    known = health.Health()
    told = []
    known.on_suspect = lambda instance, seconds: told.append(instance)
    known.note_unreachable('e1')
    known.note_unreachable('e1')
    assert told == ['e1']
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
    answer, error = await router.send_request()
    assert answer.body == event(1) + event(2)
    assert trio.current_time() - began < 0.8


async def test_stream_that_nobody_can_go_on_with_is_waited_for(autojump_clock):
    # The engine numbers no event and pauses. Given up, the stream would end
    # there: no other engine can be told where to go on.
    exchanges = fakes.Exchanges(e1=(), e2=())
    steps = [fakes.reply(body=(b'data: a\n\n', 2.0, b'data: b\n\n'))]
    exchanges.steps = {'e1': steps, 'e2': steps}
    router = resumable_router(exchanges)
    answer, error = await router.send_request()
    assert error is None
    assert answer.body == b'data: a\n\ndata: b\n\n'
    assert len(exchanges.sent) == 1


class SocketAnswer(fakes.Answer):
    """Writes as a socket does: the caller has nothing before the write ends.

    Attributes:
        seconds: How long a write takes; a slow caller's takes long.
    """

    seconds = 0.0

    async def start(self, status, headers):
        self.started = True
        await trio.sleep(self.seconds)
        self.heads += 1
        self.status = status

    async def send(self, data):
        await trio.sleep(self.seconds)
        self.body += data

    async def finish(self):
        await trio.sleep(self.seconds)
        self.finished = True


class BytesAtTheLimit(fakes.Exchange):
    """Bytes that arrive in the very turn in which the wait is given up."""

    router = None
    late_part = 0

    async def read(self):
        data = await super().read()
        if self.instance == 'e1' and len(self.parts) == self.late_part:
            self.router.silence.check(trio.current_time() + 60.0)
        return data


def resumable_router(exchanges):
    rules = (fakes.rule(streaming=True, resumable=True, attempts=2),)
    content = fakes.snapshot(
        1, fakes.table(1, rules), fakes.upstream('e1'), fakes.upstream('e2')
    )
    return fakes.Router(content, exchanges)


class LateExchanges(fakes.Exchanges):
    async def open(self, one, repeatable):
        found = await super().open(one, repeatable)
        return BytesAtTheLimit(self, found.instance, found.step)


@pytest.mark.parametrize('late_part', [0, 1, 2])
async def test_wait_given_up_as_bytes_arrive_loses_no_byte(
    late_part, autojump_clock, monkeypatch
):
    # A caller got a bad status line, or a stream with an event missing. The
    # first event came in the turn in which its wait was given up: the read
    # returned it, and the write of the head to the caller was cancelled in
    # its place. The next engine's events followed without a head.
    exchanges = LateExchanges(e1=(), e2=())
    parts = (event(1), event(2), event(3))
    steps = [fakes.reply(body=parts), fakes.reply(body=(event(2), event(3)))]
    exchanges.steps = {'e1': steps, 'e2': steps}
    router = resumable_router(exchanges)
    monkeypatch.setattr(BytesAtTheLimit, 'router', router)
    monkeypatch.setattr(BytesAtTheLimit, 'late_part', late_part)
    answer = SocketAnswer()
    await router.forwarder.forward(fakes.request(), answer)
    assert (answer.heads, answer.status) == (1, 200)
    assert answer.body == event(1) + event(2) + event(3)
    assert answer.finished


async def test_slow_caller_is_not_its_upstreams_silence(
    nursery, autojump_clock
):
    # The caller takes each part of its answer only after seconds. The
    # upstream is not read meanwhile; it was blamed for the silence, and the
    # write was cut off half done.
    exchanges = fakes.Exchanges(e1=(), e2=())
    steps = [fakes.reply(body=(event(1), event(2)))]
    exchanges.steps = {'e1': steps, 'e2': steps}
    router = resumable_router(exchanges)
    nursery.start_soon(router.silence.run)
    answer = SocketAnswer()
    answer.seconds = 1.2
    await router.forwarder.forward(fakes.request(x_deadline_ms='60000'), answer)
    assert answer.body == event(1) + event(2)
    assert len(exchanges.sent) == 1
    assert not any(map(router.health.is_suspected, ('e1', 'e2')))


async def test_failure_answered_to_a_resume_is_no_second_head(autojump_clock):
    # A stream has begun when its engine dies. The engine that is to go on
    # answers 500, and so does the third: its answer was kept to be passed on
    # whole, in the midst of the stream.
    exchanges = fakes.Exchanges(e1=(), e2=(), e3=())
    shared = [
        fakes.reply(body=(event(1),), error=fakes.LOST_ANSWER),
        fakes.reply(500),
    ]
    exchanges.steps = {'e1': shared, 'e2': shared, 'e3': shared}
    rules = (fakes.rule(streaming=True, resumable=True, attempts=3),)
    found = [fakes.upstream(name) for name in ('e1', 'e2', 'e3')]
    router = fakes.Router(
        fakes.snapshot(1, fakes.table(1, rules), *found), exchanges
    )
    answer, error = await router.send_request()
    assert answer.heads == 1
    assert answer.body == event(1)
    assert not answer.finished
    assert isinstance(error, errors.OutcomeUnknown)


async def test_events_that_contradict_move_no_resume_ahead(autojump_clock):
    # A garbled stream jumps from event 2 to event 9 within one read. Event 2
    # is not passed on; a resume behind it would leave it out.
    exchanges = fakes.Exchanges(e1=(), e2=())
    shared = [
        fakes.reply(body=(event(1), event(2) + event(9))),
        fakes.reply(body=(event(2), event(3))),
    ]
    exchanges.steps = {'e1': shared, 'e2': shared}
    router = resumable_router(exchanges)
    answer, error = await router.send_request()
    assert error is None
    assert answer.body == event(1) + event(2) + event(3)
