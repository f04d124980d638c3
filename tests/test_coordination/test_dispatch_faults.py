"""Faulty answers of upstreams, simulated by stand-ins over sockets."""

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
    """Returns text, whether it was terminated, error data and response."""
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
    """Returns limits under which a busy machine causes no stall timeout."""
    seconds = 1.0 if kind == 'stall' else 20.0
    return http_limits.AnswerLimits(stall_seconds=seconds)


def inject(path, kind, after=2, count=1, engine=0):
    fault = engine_faults.Fault(kind, after=after)
    path.engines[engine].faults.extend([fault] * count)


@pytest.mark.parametrize('kind', STREAM_FAULTS)
async def test_stream_is_complete_after_one_fault(kind):
    # One engine has one fault: the stream ends early, stalls, contains
    # events of another request, or has events twice or out of order. The
    # caller must still get the complete text exactly once.
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
async def test_stream_is_complete_after_a_fault_at_any_event(kind, after):
    # As above, with the fault at the first event, around the last token, at
    # the finish reason and just before the terminator, where text is most
    # likely to be lost or duplicated.
    async with path_fakes.running() as path:
        inject(path, kind, after)
        body = path_fakes.chat_body(stream=True)
        text, done, error, response = await read_stream(path, body)
    request_id = response.headers['x-request-id']
    assert error is None
    assert done
    assert text == engine_texts.answer_text(request_id, body)


@pytest.mark.parametrize('kind', STREAM_FAULTS[:8])
async def test_persistent_fault_never_looks_like_a_complete_stream(kind):
    # Every engine has the fault and no retry is allowed. The caller must not
    # mistake the answer for a complete one: it gets an error event and an
    # aborted connection, or a problem document if nothing was sent yet.
    async with path_fakes.running(
        engines=1, answers=limits_for(kind), retries=0
    ) as path:
        inject(path, kind)
        body = path_fakes.chat_body(stream=True)
        text, done, error, response = await read_stream(path, body)
    complete_text = engine_texts.answer_text(
        response.headers['x-request-id'], body
    )
    if kind == 'duplicate':
        # duplicates of numbered events are dropped without a retry
        assert done
        assert text == complete_text
        return
    assert not done
    assert complete_text.startswith(text)
    assert text != complete_text
    if response.status_code == 200:
        assert error['outcome'] == 'unknown'
        assert error['request_id'] == response.headers['x-request-id']
    else:
        assert response.status_code == 504
    assert path.last_decision().outcome == 'unknown'


@pytest.mark.parametrize('kind', WHOLE_FAULTS)
async def test_unstreamed_answer_is_complete_after_one_fault(kind):
    # An answer that is not streamed: no byte of the failed first attempt
    # reaches the caller, who gets the answer of the second one.
    async with path_fakes.running() as path:
        inject(path, kind)
        body = path_fakes.chat_body()
        response = await path.client.post(path_fakes.CHAT_PATH, json=body)
    request_id = response.headers['x-request-id']
    text = response.json()['choices'][0]['message']['content']
    assert text == engine_texts.answer_text(request_id, body)
    attempts = path.last_decision().attempts
    assert [attempt.result for attempt in attempts][-1] == 'complete'
    assert len(attempts) == 2


@pytest.mark.parametrize('kind', ['wrong_echo', 'garbage', 'short_body'])
async def test_persistent_fault_of_an_unstreamed_answer_is_a_problem(kind):
    # The only engine returns the answer of another request, garbage or half
    # a body, and no retry is allowed. The caller gets a problem document with
    # the outcome "unknown", and no byte of the answer.
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
    # Every engine refuses before it starts. The caller gets the outcome
    # "not run" with a Retry-After, and the engines' records confirm it.
    async with path_fakes.running(engines=2) as path:
        for index in range(2):
            inject(path, 'refuse', count=5, engine=index)
        response = await path.client.post(
            path_fakes.CHAT_PATH, json=path_fakes.chat_body()
        )
        ran = [run for engine in path.engines for run in engine.log.records]
    assert response.status_code == 503
    assert response.json()['outcome'] == 'not-run'
    assert response.headers['retry-after'] == '1'
    assert ran == []
    assert 'e0' in path.membership.draining


async def test_refusal_after_a_failed_attempt_is_not_reported_as_not_run():
    # The first engine loses the connection after it began, the other one
    # refuses. With "not run" the caller would send the request again although
    # the first engine may have run it.
    async with path_fakes.running(engines=2) as path:
        inject(path, 'cut', engine=0, count=9)
        inject(path, 'refuse', engine=1, count=9)
        response = await path.client.post(
            path_fakes.CHAT_PATH, json=path_fakes.chat_body()
        )
    assert response.json()['outcome'] == 'unknown'


async def test_no_permit_after_a_failed_attempt_is_not_reported_as_not_run():
    # The first attempt fails and admission has no other upstream. The error
    # of admission says "not run", which is wrong after an attempt.
    async with path_fakes.running(engines=1) as path:
        path.admission.only_untried = True
        inject(path, 'cut')
        response = await path.client.post(
            path_fakes.CHAT_PATH, json=path_fakes.chat_body()
        )
    assert response.json()['outcome'] == 'unknown'


async def test_error_answer_of_an_upstream_is_relayed_unchanged():
    # A complete answer with status 500 is relayed to the caller and is not
    # retried.
    async with path_fakes.running() as path:
        inject(path, 'error')
        response = await path.client.post(
            path_fakes.CHAT_PATH, json=path_fakes.chat_body(stream=True)
        )
    assert response.status_code == 500
    assert response.json() == {'error': 'failed'}
    assert len(path.last_decision().attempts) == 1


async def test_poisoned_prompt_crashes_at_most_two_engines():
    # A request crashes each engine that runs it, and its caller sends it
    # again. After two crashes it is refused and crashes no further engine.
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


async def test_lost_connection_alone_is_not_a_crash():
    # A connection is reset while the engine keeps running with the same
    # instance id. The request must not be suspected of a crash.
    async with path_fakes.running() as path:
        inject(path, 'cut')
        response = await path.client.post(
            path_fakes.CHAT_PATH, json=path_fakes.chat_body(stream=True)
        )
    assert response.status_code == 200
    assert path.quarantine.crashes == []


async def test_spent_retry_budget_stops_retries():
    # A whole pool fails. If every request were retried, the pool would get
    # three times its load while it fails; the retry budget prevents that.
    async with path_fakes.running(engines=2) as path:
        for index in range(2):
            inject(path, 'cut_before_head', count=60, engine=index)
        for _ in range(20):
            await path.client.post(
                path_fakes.CHAT_PATH, json=path_fakes.chat_body()
            )
    attempts = sum(len(decision.attempts) for decision in path.decisions)
    budget = path.budgets['engines']
    assert budget.denied > 0
    assert attempts == 20 + budget.granted
    assert attempts < 2 * 20


async def test_quarantined_request_gets_no_permit():
    # A request that is already quarantined is refused as "not run" before a
    # permit is requested.
    async with path_fakes.running() as path:
        path.dispatcher.check_quarantine = raise_quarantined
        response = await path.client.post(
            path_fakes.CHAT_PATH, json=path_fakes.chat_body()
        )
    assert response.status_code == 422
    assert path.admission.permit_requests == []


def raise_quarantined(request):
    raise errors.RequestQuarantined('it crashed upstreams', 60.0)


async def test_request_quarantined_while_it_waits_is_not_sent():
    # Copies of a request that crashes engines wait for permits when it is
    # quarantined. If each were sent when it got its permit, each would crash
    # one more engine.
    async with path_fakes.running() as path:
        acquire = path.admission.acquire

        async def acquire_late(ask):
            permit = await acquire(ask)
            path.quarantine.check = raise_quarantined_fingerprint
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


def raise_quarantined_fingerprint(fingerprint):
    raise errors.RequestQuarantined('it crashed upstreams', 60.0)
