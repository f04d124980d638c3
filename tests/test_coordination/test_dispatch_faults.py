"""Answer faults of upstreams, each played by a stand-in over sockets."""

from __future__ import annotations

import httpx
import orjson
import pytest

from lavenderbend import errors
from lavenderbend.protocol import http_limits
from lavenderbend.protocol import openai
from lavenderbend.protocol import sse
from lavenderbend.standin import engine_faults
from lavenderbend.standin import engine_texts
from tests import path_fakes

STREAM_FAULTS = (
    'short',
    'cut',
    'garbage',
    'stall',
    'duplicate',
    'reorder',
    'swap',
    'wrong_echo',
    'refuse',
    'cut_before_head',
)
WHOLE_FAULTS = (
    'cut',
    'garbage',
    'short_body',
    'wrong_echo',
    'refuse',
    'cut_before_head',
)


async def read_stream(path, body):
    """Returns text, whether the terminator came, error data and head."""
    parser = sse.Parser(1024 * 1024)
    texts, done, error = [], False, None
    async with path.client.stream(
        'POST', path_fakes.CHAT_PATH, json=body
    ) as response:
        try:
            async for data in response.aiter_raw():
                for event in parser.feed(data):
                    if event.done:
                        done = True
                    elif event.name == b'error':
                        error = orjson.loads(event.data)['error']
                    else:
                        texts.append(openai.read_chunk(event.data).text)
        except httpx.RemoteProtocolError:
            assert not done
    return ''.join(texts), done, error, response


def limits_for(kind):
    """Returns limits that do not take a busy machine for a stall."""
    seconds = 1.0 if kind == 'stall' else 20.0
    return http_limits.AnswerLimits(stall_seconds=seconds)


def inject(path, kind, after=2, count=1, engine=0):
    fault = engine_faults.Fault(kind, after=after)
    path.engines[engine].faults.extend([fault] * count)


@pytest.mark.parametrize('kind', STREAM_FAULTS)
async def test_one_fault_leaves_the_stream_whole(kind):
    # A clerk streams a summary while one engine misbehaves once: it ends
    # early, mixes in another office's events, sends events twice or out of
    # order, goes silent. The clerk must see the one right text, once.
    async with path_fakes.running(answers=limits_for(kind)) as path:
        inject(path, kind)
        body = path_fakes.chat_body(stream=True)
        text, done, error, response = await read_stream(path, body)
    request_id = response.headers['x-request-id']
    assert error is None
    assert done
    assert text == engine_texts.answer_text(request_id, body)
    assert not path.admission.open


@pytest.mark.parametrize('after', [0, 1, 7, 8, 9])
@pytest.mark.parametrize('kind', ['short', 'cut', 'garbage', 'swap'])
async def test_fault_at_any_event_leaves_the_stream_whole(kind, after):
    # The same as above with the fault at the first event, around the last
    # token, at the finish reason and just before the terminator: the ends
    # are where a text would lose or double a word.
    async with path_fakes.running() as path:
        inject(path, kind, after)
        body = path_fakes.chat_body(stream=True)
        text, done, error, response = await read_stream(path, body)
    request_id = response.headers['x-request-id']
    assert error is None
    assert done
    assert text == engine_texts.answer_text(request_id, body)


@pytest.mark.parametrize('kind', STREAM_FAULTS[:8])
async def test_lasting_fault_never_looks_whole(kind):
    # Every engine has the fault and no further attempt is allowed. What the
    # clerk gets must not look like a whole summary: an error event, and a
    # connection that breaks off; or a problem, if nothing was sent yet.
    async with path_fakes.running(
        engines=1, answers=limits_for(kind), retries=0
    ) as path:
        inject(path, kind)
        body = path_fakes.chat_body(stream=True)
        text, done, error, response = await read_stream(path, body)
    whole = engine_texts.answer_text(response.headers['x-request-id'], body)
    if kind == 'duplicate':
        # numbered events need no further attempt to be told apart
        assert done
        assert text == whole
        return
    assert not done
    assert whole.startswith(text)
    assert text != whole
    if response.status_code == 200:
        assert error['outcome'] == 'unknown'
        assert error['request_id'] == response.headers['x-request-id']
    else:
        assert response.status_code == 504
    assert path.last_decision().outcome == 'unknown'


@pytest.mark.parametrize('kind', WHOLE_FAULTS)
async def test_one_fault_leaves_a_whole_answer_whole(kind):
    # The same for an answer that is not streamed: nothing of the broken
    # first attempt reaches the caller, who gets the second one's answer.
    async with path_fakes.running() as path:
        inject(path, kind)
        body = path_fakes.chat_body()
        response = await path.client.post(path_fakes.CHAT_PATH, json=body)
    request_id = response.headers['x-request-id']
    text = response.json()['choices'][0]['message']['content']
    assert text == engine_texts.answer_text(request_id, body)
    attempts = path.last_decision().attempts
    assert [item.result for item in attempts][-1] == 'complete'
    assert len(attempts) == 2


@pytest.mark.parametrize('kind', ['wrong_echo', 'garbage', 'short_body'])
async def test_lasting_fault_of_a_whole_answer_is_a_problem(kind):
    # The only engine answers with somebody else's answer, with noise or
    # with half a body, and there is no other attempt: the caller gets a
    # problem that says the outcome is unknown, and no byte of the answer.
    async with path_fakes.running(engines=1, retries=0) as path:
        inject(path, kind)
        response = await path.client.post(
            path_fakes.CHAT_PATH, json=path_fakes.chat_body()
        )
    assert response.status_code == 504
    problem = response.json()
    assert problem['outcome'] == 'unknown'
    assert problem['decision_id'] == path.last_decision().id
    assert 'choices' not in problem


async def test_refused_everywhere_is_not_run():
    # Every engine refuses before it starts. The caller is told that nothing
    # was run and when to come back, and the engines' own records agree.
    async with path_fakes.running(engines=2) as path:
        for index in range(2):
            inject(path, 'refuse', count=5, engine=index)
        response = await path.client.post(
            path_fakes.CHAT_PATH, json=path_fakes.chat_body()
        )
        ran = [item for engine in path.engines for item in engine.log.records]
    assert response.status_code == 503
    assert response.json()['outcome'] == 'not-run'
    assert response.headers['retry-after'] == '1'
    assert ran == []
    assert 'e0' in path.membership.draining


async def test_refused_after_a_broken_attempt_is_not_called_not_run():
    # The first engine loses the connection after it began, the other one
    # refuses. Told "not run", the caller would send the work again though
    # the first engine may have done it.
    async with path_fakes.running(engines=2) as path:
        inject(path, 'cut', engine=0, count=9)
        inject(path, 'refuse', engine=1, count=9)
        response = await path.client.post(
            path_fakes.CHAT_PATH, json=path_fakes.chat_body()
        )
    assert response.json()['outcome'] == 'unknown'


async def test_no_permit_after_a_broken_attempt_is_not_called_not_run():
    # The same with admission in the second engine's place: it has no other
    # upstream to give. Its own error says "not run", which is untrue by now.
    async with path_fakes.running(engines=1) as path:
        path.admission.only_fresh = True
        inject(path, 'cut')
        response = await path.client.post(
            path_fakes.CHAT_PATH, json=path_fakes.chat_body()
        )
    assert response.json()['outcome'] == 'unknown'


async def test_upstream_error_answer_is_passed_on_as_it_is():
    # An engine answers 500 in good order: that is its whole answer, and the
    # caller gets it rather than a second run.
    async with path_fakes.running() as path:
        inject(path, 'error')
        response = await path.client.post(
            path_fakes.CHAT_PATH, json=path_fakes.chat_body(stream=True)
        )
    assert response.status_code == 500
    assert response.json() == {'error': 'failed'}
    assert len(path.last_decision().attempts) == 1


async def test_poisoned_prompt_crashes_at_most_two_engines():
    # One request crashes each engine that runs it, and its caller sends it
    # again. After two crashes it is refused and crashes nothing more.
    async with path_fakes.running(engines=4) as path:
        body = path_fakes.chat_body('this is poison', stream=True)
        first = await path.client.post(path_fakes.CHAT_PATH, json=body)
        before = [engine.instance for engine in path.engines]
        second = await path.client.post(path_fakes.CHAT_PATH, json=body)
        after = [engine.instance for engine in path.engines]
    assert first.status_code == 504
    assert first.json()['outcome'] == 'unknown'
    assert path.quarantine.crashes == ['e0', 'e1']
    assert second.status_code == 422
    assert second.json()['outcome'] == 'not-run'
    assert before == after


async def test_lost_connection_alone_is_no_crash():
    # A switch resets a connection; the engine goes on under the same
    # instance id. The request on it must not become a suspect.
    async with path_fakes.running() as path:
        inject(path, 'cut')
        response = await path.client.post(
            path_fakes.CHAT_PATH, json=path_fakes.chat_body(stream=True)
        )
    assert response.status_code == 200
    assert path.quarantine.crashes == []


async def test_spent_retry_budget_stops_retries():
    # A pool fails as a whole. Were each request tried again, the pool would
    # get three times its load just then; the budget refuses.
    async with path_fakes.running(engines=2) as path:
        for index in range(2):
            inject(path, 'cut_before_head', count=60, engine=index)
        for _ in range(20):
            await path.client.post(
                path_fakes.CHAT_PATH, json=path_fakes.chat_body()
            )
    attempts = sum(len(item.attempts) for item in path.decisions)
    budget = path.budgets['engines']
    assert budget.denied > 0
    assert attempts == 20 + budget.granted
    assert attempts < 2 * 20


async def test_quarantined_request_reaches_nothing():
    # The request is already known to crash engines: it is refused as not
    # run before any permit is asked for.
    async with path_fakes.running() as path:
        path.dispatcher.check_quarantine = refuse
        response = await path.client.post(
            path_fakes.CHAT_PATH, json=path_fakes.chat_body()
        )
    assert response.status_code == 422
    assert path.admission.asks == []


def refuse(request):
    raise errors.RequestQuarantined('it crashed upstreams', 60.0)


async def test_request_quarantined_while_it_waits_is_not_sent():
    # Copies of a request that kills engines wait for permits when it is
    # quarantined. Each of them used to be sent when its permit came, and
    # killed one more engine.
    async with path_fakes.running() as path:
        acquire = path.admission.acquire

        async def acquire_late(ask):
            permit = await acquire(ask)
            path.quarantine.check = refuse_fingerprint
            return permit

        path.admission.acquire = acquire_late
        response = await path.client.post(
            path_fakes.CHAT_PATH, json=path_fakes.chat_body(stream=True)
        )
        runs = [run for engine in path.engines for run in engine.log.records]
    assert response.status_code == 422
    assert response.json()['outcome'] == 'not-run'
    assert runs == []
    assert path.admission.open == {}


def refuse_fingerprint(fingerprint):
    raise errors.RequestQuarantined('it crashed upstreams', 60.0)
