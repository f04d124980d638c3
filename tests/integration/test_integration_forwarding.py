"""Forwarding routers as real processes, before the platform's stand-ins."""

from __future__ import annotations

import io
import signal

import pytest
import trio

from lavenderbend.cmd import base
from lavenderbend.cmd import main
from lavenderbend.cmd import trace
from lavenderbend.coordination.forwarding import fleet_count
from lavenderbend.transport import early_listener
from tests import operator_fakes
from tests import platform_standins as standins
from tests.integration import forwarding_fleet
from tests.integration import ports

EVENTS = b''.join(
    b'id: %d\ndata: x%d\n\n' % (number, number) for number in range(1, 6)
)
SETTLE_MORE_SECONDS = 2.0  # for three processes on a busy machine


@pytest.fixture
async def fleet(tmp_path, nursery):
    subject = forwarding_fleet.ForwardingFleet(tmp_path)
    try:
        await subject.start(nursery)
        yield subject
    finally:
        await subject.end()


async def test_whole_path(fleet):
    for number, router in enumerate(fleet.routers):
        chat = await forwarding_fleet.ask(router, '/chat/1', number)
        assert (chat.status_code, chat.content) == (200, EVENTS)
        assert chat.headers['lavenderbend-response-signature'].startswith('sig')
        desk = await forwarding_fleet.ask(router, '/desk/send', number)
        assert desk.content == b'did /desk/send'
        none = await forwarding_fleet.ask(router, '/none/')
        assert none.status_code == 404
        wrong = await forwarding_fleet.ask(router, '/desk/send', key='no')
        assert wrong.status_code == 401
    ran = [asked for one in fleet.workers.values() for asked in one.ran]
    assert len(ran) == 6
    assert {asked.headers['lavenderbend-tenant'] for asked in ran} == {'corte'}
    assert not any('authorization' in asked.headers for asked in ran)


async def test_accepted_version_is_in_force_on_all_routers(fleet):
    routes = [standins.route('new', '/new/', 'desk', 'idempotent')]
    fleet.store.put('op/config', standins.configuration(2, routes=routes))

    async def in_force():
        statuses = [
            (await forwarding_fleet.ask(router, '/new/1', 5)).status_code
            for router in fleet.routers
        ]
        return statuses == [200] * 3

    await fleet.until(in_force)
    for router in fleet.routers:
        old = await forwarding_fleet.ask(router, '/desk/send', 6)
        assert old.status_code == 404


async def test_caller_that_comes_as_a_router_starts_is_answered(fleet):
    # The router is killed and starts again. The first connection that its
    # port takes may come before its libraries are loaded; its request is
    # answered as any other, and so is the next one on it.
    router = fleet.routers[0]
    address = f'{router.host}:{router.callers}'
    router.process.variables = {early_listener.ADDRESS_VARIABLE: address}
    await router.process.end()
    await router.process.start()
    with trio.fail_after(forwarding_fleet.WAIT_SECONDS):
        while True:
            try:
                stream = await trio.open_tcp_stream(router.host, router.callers)
                break
            except OSError:
                await trio.sleep(0.005)
        caller = forwarding_fleet.KeptCaller(stream)
        status, number = 503, 0
        while status == 503:
            # not run, until the router has read the store
            number += 1
            status, body, stays = await caller.ask('/desk/send', number)
        assert (status, body, stays) == (200, b'did /desk/send', True)
    await fleet.until(router.ready)


async def test_stop_cuts_off_no_request(fleet):
    # A router is stopped while it passes a stream on, and a caller goes on
    # using its connection until it is told to close it. Both get all of
    # their answers; the process ends by itself.
    router = fleet.routers[0]
    # idle connections close after the grace; a busy machine asks later
    fleet.write_settings(router, grace='3s')
    await router.process.end()
    await router.process.start()
    await fleet.until(router.ready)
    for name in ('i-e1', 'i-e2'):
        fleet.workers[name].gap = 0.2
    stream = await trio.open_tcp_stream(router.host, router.callers)
    caller = forwarding_fleet.KeptCaller(stream)
    assert (await caller.ask('/desk/a', 1))[2]
    answers = []

    async def chat():
        answers.append(await forwarding_fleet.ask(router, '/chat/1', 7))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(chat)
        await fleet.until(lambda: any_chat_runs(fleet))
        router.process.signal(signal.SIGTERM)
        await fleet.until(lambda: not_ready(router))
        status, body, stays = await caller.ask('/desk/b', 2)
        assert (status, body, stays) == (200, b'did /desk/b', False)
    assert answers[0].content == EVENTS
    with trio.fail_after(20.0):
        assert await router.process.process.wait() == 0


async def not_ready(router):
    return not await router.ready()


async def any_chat_runs(fleet):
    return bool([*fleet.workers['i-e1'].ran, *fleet.workers['i-e2'].ran])


async def test_stop_answers_the_next_request_of_a_long_stream(fleet):
    """Guards against a request read late in a stop and cut off by its end."""
    router = fleet.routers[0]
    engines = [fleet.workers['i-e1'], fleet.workers['i-e2']]
    for engine in engines:
        engine.gap = 0.9

    async def stop():
        await fleet.until(lambda: any_chat_runs(fleet))
        router.process.signal(signal.SIGTERM)

    stream = await trio.open_tcp_stream(router.host, router.callers)
    caller = forwarding_fleet.KeptCaller(stream)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(stop)
        # its head goes out before the signal
        assert await caller.ask('/chat/1', 1) == (200, EVENTS, True)
    # its time limit is 5 s, of which the stop has less left
    status, _, stays = await caller.ask('/chat/1', 2)
    assert (status, stays) == (503, False)
    assert sum(len(engine.ran) for engine in engines) == 1
    with trio.fail_after(20.0):
        assert await router.process.process.wait() == 0


async def test_broken_stream_is_one_stream_to_its_caller(fleet):
    # the router has its part of the repeats when its count of routers stands
    # still; both upstreams are asked first by some request
    await trio.sleep(fleet_count.GROWTH_SECONDS + SETTLE_MORE_SECONDS)
    broken = fleet.workers['i-e2']
    broken.plans = ['breaks_off'] * 2
    for number in range(4):
        chat = await forwarding_fleet.ask(fleet.routers[0], '/chat/1', number)
        assert chat.content == EVENTS
    assert broken.plans == []


async def test_routers_that_all_lose_power_deny_nothing(fleet):
    # All processes are killed right after a change, and started again. No
    # caller is told that a route or a credential is unknown meanwhile.
    fleet.store.put('op/config', standins.configuration(3))
    for router in fleet.routers:
        await router.process.kill()
    for router in fleet.routers:
        await router.process.start()
    statuses = set()

    async def all_answer():
        for router in fleet.routers:
            try:
                answer = await forwarding_fleet.ask(router, '/desk/look/1', 9)
            except forwarding_fleet.httpx.TransportError:
                return False
            statuses.add(answer.status_code)
            if answer.status_code != 200:
                return False
        return True

    await fleet.until(all_answer)
    assert statuses <= {200, 503}


@pytest.mark.parametrize(
    ('changes', 'line'),
    [
        ({'load_factor': 3.0}, 'settings_reloaded'),
        ({'load_factor': 'x'}, 'settings_refused'),
    ],
)
async def test_signal_to_reload_ends_nothing(fleet, changes, line):
    # The settings file changes, perhaps into one that cannot be used. The
    # router goes on with the last good ones and says what it made of it.
    router = fleet.routers[0]
    fleet.write_settings(router, **changes)
    router.process.signal(signal.SIGHUP)

    async def said():
        return line in router.process.log.read_text()

    await fleet.until(said)
    assert router.process.running
    answer = await forwarding_fleet.ask(router, '/desk/send', 3)
    assert answer.status_code == 200


async def traced(fleet, router, request):
    """Returns the lines of a request once it has ended, by event."""
    log = str(router.process.log)
    lines = []

    async def ended():
        lines[:] = trace.request_lines(request, log)
        return any(trace.event_name(line) == 'request_ended' for line in lines)

    await fleet.until(ended)
    return {trace.event_name(line): line for line in lines}


async def test_cause_of_an_unknown_outcome_is_in_the_lines(fleet):
    router = fleet.routers[0]
    fleet.workers['i-d1'].plans = ['resets']
    answer = await forwarding_fleet.ask(router, '/desk/send', 42)
    assert answer.status_code == 504
    lines = await traced(fleet, router, 'r42')
    assert lines['request_ended']['outcome'] == 'unknown'
    assert lines['request_ended']['sent_to'] == ['i-d1']
    assert lines['attempt_failed']['kind'] == 'UpstreamLost'
    assert lines['attempt_failed']['upstream'] == 'i-d1'


async def test_cause_of_a_refusal_is_in_the_lines(fleet):
    # The store falls silent for all routers; past the bound of revocations
    # requests are refused as not run.
    fleet.store.fault = 'silent'
    router = fleet.routers[0]
    numbers = iter(range(100, 10_000))
    refused = []

    async def is_refused():
        number = next(numbers)
        answer = await forwarding_fleet.ask(router, '/desk/send', number)
        if answer.status_code == 503:
            refused.append((number, answer))
        return bool(refused)

    await fleet.until(is_refused)
    number, answer = refused[0]
    assert float(answer.headers['retry-after']) > 0
    assert answer.json()['outcome'] == 'not-run'
    lines = await traced(fleet, router, f'r{number}')
    assert lines['request_ended']['outcome'] == 'configuration-stale'
    assert lines['request_ended']['age'] > 4.0
    assert lines['request_ended']['peers'] == 3
    assert lines['store_lost']['cause'].startswith('TooSlowError')
    assert len(fleet.workers['i-d1'].ran) == number - 100


async def test_cause_of_a_late_stream_is_in_the_lines(fleet):
    # An engine falls silent within a stream; the other one goes on.
    first, second = fleet.workers['i-e1'], fleet.workers['i-e2']
    router = fleet.routers[0]
    # whichever of them is asked first has the fault
    shared = ['falls_silent']
    first.plans = second.plans = shared
    answer = await forwarding_fleet.ask(router, '/chat/1', 7)
    assert answer.content == EVENTS
    lines = await traced(fleet, router, 'r7')
    sent_to = lines['request_ended']['sent_to']
    assert sorted(sent_to) == ['i-e1', 'i-e2']
    assert lines['attempt_failed']['upstream'] == sent_to[0]
    assert lines['attempt_failed']['kind'] == 'UpstreamStalled'
    assert lines['attempt_failed']['last_event'] == 2


@pytest.mark.parametrize(
    ('changes', 'key'),
    [
        ({'repeat_share': 'many'}, 'forwarding.repeat_share'),
        ({'peers': ['10.0.0.1']}, 'forwarding.peers[0]'),
        (
            {
                'listen': {
                    'callers': 'x:1',
                    'readiness': '',
                    'peers': '1.2.3.4:',
                }
            },
            'forwarding.listen.readiness',
        ),
    ],
)
async def test_settings_that_cannot_be_used_are_named(tmp_path, changes, key):
    subject = forwarding_fleet.ForwardingFleet(tmp_path)
    router = subject.routers[0]
    subject.write_settings(router, **changes)
    await router.process.start()
    with trio.fail_after(20.0):
        assert await router.process.process.wait() != 0
    assert key in router.process.log.read_text()


async def test_operators_ask_a_router_process(fleet, monkeypatch):
    # An operator follows up one request at the router that had it: what is
    # in force there, what was decided, and what would be decided now.
    router = fleet.routers[0]
    port = ports.PORTS.take()
    await router.process.kill()
    told = {
        'credential': operator_fakes.SALTED,
        'host': router.host,
        'port': port,
    }
    fleet.write_settings(router, operators=told)
    await router.process.start()
    await fleet.until(router.ready)
    await forwarding_fleet.ask(router, '/desk/send', 9)
    monkeypatch.setenv('LAVENDERBEND_CREDENTIAL', operator_fakes.SECRET)

    async def shown(*arguments):
        out = io.StringIO()
        url = f'http://{router.host}:{port}'
        code = await trio.to_thread.run_sync(
            main.run, [*arguments, '--router', url], base.Output(out=out)
        )
        assert code == 0
        return out.getvalue()

    assert 'pool desk' in await shown('status')
    decision = await shown('decisions', 'r9')
    assert 'i-d1: least loaded' in decision
    assert 'complete after' in decision
    explanation = await shown(
        *('explain', '--customer', 'corte', '--path', '/desk/send'),
        *('--header', 'host:a.example'),
    )
    assert 'i-d1 would be taken' in explanation


async def listening_early(fleet, router):
    """Starts a router anew; returns once it listens, before it has started."""
    address = f'{router.host}:{router.callers}'
    router.process.variables = {early_listener.ADDRESS_VARIABLE: address}
    await router.process.end()
    await router.process.start()
    with trio.fail_after(forwarding_fleet.WAIT_SECONDS):
        while True:
            try:
                return await trio.open_tcp_stream(router.host, router.callers)
            except OSError:
                await trio.sleep(0.001)


async def test_reload_while_a_router_starts_does_not_end_it(fleet):
    # The settings file changes as a router starts, and its process is told
    # by SIGHUP while it still loads its libraries. It ended by the signal,
    # with the callers whose connections waited for it.
    router = fleet.routers[0]
    stream = await listening_early(fleet, router)
    router.process.signal(signal.SIGHUP)
    await fleet.until(router.ready)
    caller = forwarding_fleet.KeptCaller(stream)
    assert (await caller.ask('/desk/send', 1))[:2] == (200, b'did /desk/send')
    assert 'settings_reloaded' in router.process.log.read_text()


async def test_stop_while_a_router_starts_cuts_off_no_caller(fleet):
    # A router is stopped as it starts. A caller whose connection waits is
    # told that its request has not run, or is served; it is not cut off.
    router = fleet.routers[0]
    stream = await listening_early(fleet, router)
    router.process.signal(signal.SIGTERM)
    caller = forwarding_fleet.KeptCaller(stream)
    status, _, stays = await caller.ask('/desk/send', 1)
    assert status in (200, 503)
    assert not stays
    with trio.fail_after(forwarding_fleet.WAIT_SECONDS):
        assert await router.process.process.wait() == 0
