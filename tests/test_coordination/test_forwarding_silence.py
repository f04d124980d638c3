"""Upstreams that stop sending bytes without closing their connections."""

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
def detector(nursery):
    detector = silence.SilenceDetector(health.Health())
    nursery.start_soon(detector.run)
    return detector


def begin(detector, name='e1', limit=5.0, repeatable=True):
    wait = detector.begin(fakes.upstream(name), limit, lambda: repeatable)
    detector.note_bytes(wait)
    return wait


async def test_request_to_a_silent_upstream_is_abandoned(
    detector, autojump_clock
):
    # An engine's VM loses power while it streams to one request and processes
    # the prompt of another. No connection is closed; the second request would
    # wait until its limit before another engine gets it.
    stream = begin(detector)
    stream.streaming = True
    first = begin(detector)
    await trio.sleep(0.3)
    assert not first.scope.cancel_called
    await trio.sleep(0.4)
    assert stream.scope.cancel_called
    assert first.scope.cancel_called
    assert detector.health.is_suspected('e1')


@pytest.fixture
def probes(detector):
    """Upstreams that accept connections, probed by the detector."""
    accepting = {'e1'}

    async def accepts(upstream):
        if upstream.instance not in accepting:
            # without power nothing answers
            await trio.sleep(0.5)
        return upstream.instance in accepting

    detector.accepts = accepts
    return accepting


async def test_engine_that_processes_prompts_is_not_suspected(
    detector, probes, autojump_clock
):
    """Guards against busy engines whose chats all move to other engines."""
    stream = begin(detector)
    stream.streaming = True
    first = begin(detector)
    for _ in range(4):
        await trio.sleep(1.1)
        detector.note_bytes(stream)
    assert not stream.scope.cancel_called
    assert not first.scope.cancel_called
    assert not detector.health.is_suspected('e1')


async def test_dead_upstream_is_suspected_as_early_with_probes(
    detector, probes, autojump_clock
):
    """Guards against probes that delay the detection of dead upstreams."""
    probes.clear()
    stream = begin(detector)
    stream.streaming = True
    await trio.sleep(silence.SILENT_SECONDS + 2 * silence.CHECK_SECONDS)
    assert stream.scope.cancel_called
    assert detector.health.is_suspected('e1')


async def test_hung_process_is_suspected_although_it_accepts_connections(
    detector, probes, autojump_clock
):
    """Guards against streams that wait for a process that does nothing."""
    stream = begin(detector)
    stream.streaming = True
    await trio.sleep(silence.MAX_BUSY_SECONDS + 2 * silence.CHECK_SECONDS)
    assert stream.scope.cancel_called
    assert detector.health.is_suspected('e1')


async def test_silent_upstream_is_probed_a_few_times_only(
    detector, probes, autojump_clock
):
    """Guards against a connection for each check and each stream."""
    count = 0

    async def accepts(upstream):
        nonlocal count
        count += 1
        return True

    detector.accepts = accepts
    for _ in range(20):
        begin(detector).streaming = True
    await trio.sleep(silence.MAX_BUSY_SECONDS)
    assert 1 <= count <= 3


async def test_wait_for_the_caller_is_no_silence(detector, autojump_clock):
    # The router does not read the upstream while a write to the caller blocks.
    wait = begin(detector, limit=0.5)
    wait.streaming = True
    wait.reading = False
    await trio.sleep(3.0)
    assert not wait.scope.cancel_called
    assert not detector.health.is_suspected('e1')


async def test_slow_first_token_is_no_silence(detector, autojump_clock):
    # The engine processes a long prompt; its other streams continue.
    stream = begin(detector)
    stream.streaming = True
    first = begin(detector)
    for _ in range(30):
        await trio.sleep(0.1)
        detector.note_bytes(stream)
    assert not first.scope.cancel_called
    assert not detector.health.is_suspected('e1')


async def test_wait_without_retry_is_not_abandoned(detector, autojump_clock):
    # The answer may still arrive; a request sent again would run twice.
    wait = begin(detector, limit=0.5, repeatable=False)
    wait.streaming = True
    await trio.sleep(3.0)
    assert not wait.scope.cancel_called


async def test_suspended_router_suspects_no_upstream(
    nursery, autojump_clock, monkeypatch
):
    # The router itself was suspended: bytes are unread in its sockets, and all
    # upstreams look silent for a moment.
    detector = silence.SilenceDetector(health.Health())
    wait = begin(detector)
    wait.streaming = True
    await trio.sleep(5.0)
    detector.restart_waits(trio.current_time())
    detector.check(trio.current_time())
    assert not wait.scope.cancel_called
    assert not detector.health.is_suspected('e1')


async def test_suspicion_of_another_router_ends_waits(detector, autojump_clock):
    announced = []
    detector.health.on_suspect = lambda instance, seconds: announced.append(
        instance
    )
    wait = begin(detector)
    await trio.sleep(0.3)
    detector.health.note_suspected('e1', 1.0)
    await trio.sleep(0.4)
    assert wait.scope.cancel_called
    # Only the router that detected the silence announces it: otherwise
    # routers would renew each other's suspicions without end.
    assert announced == []


async def test_suspicion_ends_with_the_next_success(autojump_clock):
    subject = health.Health()
    announced = []
    subject.on_suspect = lambda instance, seconds: announced.append(instance)
    subject.note_unreachable('e1')
    subject.note_unreachable('e1')
    assert announced == ['e1']
    subject.note_success('e1')
    assert not subject.is_suspected('e1')


async def test_silent_upstream_delays_a_stream_briefly(autojump_clock):
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


async def test_stream_without_event_ids_is_not_abandoned(autojump_clock):
    # The engine sends no event ids and pauses. An abandoned stream would end
    # there: no other engine can be asked to resume it.
    exchanges = fakes.Exchanges(e1=(), e2=())
    steps = [fakes.reply(body=(b'data: a\n\n', 2.0, b'data: b\n\n'))]
    exchanges.steps = {'e1': steps, 'e2': steps}
    router = resumable_router(exchanges)
    answer, error = await router.send_request()
    assert error is None
    assert answer.body == b'data: a\n\ndata: b\n\n'
    assert len(exchanges.sent) == 1


class SocketAnswer(fakes.Answer):
    """Writes like a socket: the caller has no bytes before the write ends.

    Attributes:
        seconds: Duration of a write; long for a slow caller.
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
    """Bytes that arrive in the turn in which the wait is abandoned."""

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
        exchange = await super().open(one, repeatable)
        return BytesAtTheLimit(self, exchange.instance, exchange.step)


@pytest.mark.parametrize('late_part', [0, 1, 2])
async def test_wait_abandoned_as_bytes_arrive_loses_no_byte(
    late_part, autojump_clock, monkeypatch
):
    # A caller got a bad status line, or a stream without one event. The event
    # arrived in the turn in which its wait was abandoned: the read returned
    # it, and the write to the caller was cancelled instead.
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


async def test_slow_caller_makes_no_upstream_suspected(nursery, autojump_clock):
    # The caller accepts each part of its answer only after seconds. The
    # upstream is not read meanwhile; it was suspected of silence, and the
    # write was cancelled halfway.
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


async def test_error_reply_to_a_resume_is_no_second_head(autojump_clock):
    # A stream has begun when its engine dies. The engine that is to resume it
    # answers 500, and so does the third: its answer was kept and sent whole
    # in the middle of the stream.
    exchanges = fakes.Exchanges(e1=(), e2=(), e3=())
    shared = [
        fakes.reply(body=(event(1),), error=fakes.LOST_ANSWER),
        fakes.reply(500),
    ]
    exchanges.steps = {'e1': shared, 'e2': shared, 'e3': shared}
    rules = (fakes.rule(streaming=True, resumable=True, attempts=3),)
    upstreams = [fakes.upstream(name) for name in ('e1', 'e2', 'e3')]
    router = fakes.Router(
        fakes.snapshot(1, fakes.table(1, rules), *upstreams), exchanges
    )
    answer, error = await router.send_request()
    assert answer.heads == 1
    assert answer.body == event(1)
    assert not answer.finished
    assert isinstance(error, errors.OutcomeUnknown)


async def test_contradicting_events_do_not_advance_a_resume(autojump_clock):
    # A garbled stream jumps from event 2 to event 9 within one read. Event 2
    # is not passed on; a resume after it would omit it.
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


SECOND = 1.2


def pausing_router(pause_after, **then):
    """Returns a router before engines that stand still once for a second."""
    events = [event(number) for number in range(1, 6)]
    events.insert(pause_after, SECOND)
    content = fakes.snapshot(
        1,
        fakes.table(1, (fakes.rule(**then),)),
        fakes.upstream('e1'),
    )
    return fakes.Router(content, fakes.Exchanges(e1=[fakes.reply(body=events)]))


@pytest.mark.parametrize('pause_after', [0, 1, 4])
@pytest.mark.parametrize('resumable', [False, True])
async def test_stream_goes_on_whole_after_a_second_of_silence(
    autojump_clock, pause_after, resumable
):
    # Guards against a sound engine whose pause breaks off or doubles a stream.
    router = pausing_router(
        pause_after, streaming=True, resumable=resumable, idempotent=resumable
    )
    answer, error = await router.send_request()
    assert error is None
    assert answer.body == b''.join(event(number) for number in range(1, 6))
    assert len(router.exchanges.sent) == 1


@pytest.mark.parametrize('attempts', [1, 2])
async def test_request_that_may_run_once_waits_out_a_second_of_silence(
    autojump_clock, attempts
):
    # Guards against a second run of what the silent upstream still completes.
    content = fakes.snapshot(
        1,
        fakes.table(
            1, (fakes.rule(idempotent=False, attempts=attempts, target=0.1),)
        ),
        *(fakes.upstream(name) for name in ('e1', 'e2')),
    )
    late = [fakes.reply(delay=SECOND)]
    router = fakes.Router(content, fakes.Exchanges(e1=late, e2=late))
    answer, error = await router.send_request()
    assert (error, answer.status) == (None, 200)
    assert len(router.exchanges.sent) == 1
