from __future__ import annotations

import contextlib
import itertools

import httpx
import pytest
import trio

from lavenderbend import errors
from lavenderbend.transport import operator_client
from tests import operator_fakes


@pytest.fixture
async def router(nursery):
    """Serves an operators' interface on a socket; returns it and a client."""
    fakes = operator_fakes.make()
    port = await nursery.start(fakes.operators.serve, '127.0.0.1', 0)
    client = operator_client.OperatorClient(
        f'http://127.0.0.1:{port}', operator_fakes.SECRET
    )
    async with client:
        yield fakes, client


async def test_live_stream_over_a_socket(router):
    fakes, client = router
    received = []

    async def watch():
        query = {'customer': 'clinica'}
        async for decision in client.follow('/v1/decisions', query):
            received.append(decision['id'])
            if len(received) == 2:
                return

    with trio.fail_after(20):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch)
            number = 0
            while len(received) < 2:
                # decisions added before the stream is open are not sent
                number += 1
                fakes.decisions.add(
                    operator_fakes.decision(number, customer='corte')
                )
                fakes.decisions.add(operator_fakes.decision(1000 + number))
                await trio.sleep(0.05)

    assert all(int(text.partition('-')[2]) > 1000 for text in received)
    assert received == sorted(received)


@pytest.mark.parametrize('character', ['\x85', '\u2028', '\u2029'])
async def test_live_stream_keeps_line_breaks_of_unicode(router, character):
    # a next line in a rule's name ended `decisions --follow` with an error
    fakes, client = router
    rule = f'a{character}b'
    stream = client.follow('/v1/decisions', {'rule': rule})

    async def add_decisions():
        # decisions added before the stream is open are not sent
        for number in itertools.count():
            fakes.decisions.add(operator_fakes.decision(number, rule=rule))
            await trio.sleep(0.05)

    with trio.fail_after(20):
        async with trio.open_nursery() as nursery, contextlib.aclosing(stream):
            nursery.start_soon(add_decisions)
            decision = await anext(stream)
            nursery.cancel_scope.cancel()

    assert decision['rule'] == rule


async def test_refusal_contains_status_kind_and_faults(router):
    _, client = router

    with pytest.raises(errors.OperatorRefused) as caught:
        await client.post('/v1/rules/apply', b'rules: 5', seen=1)

    assert caught.value.status == 422
    assert caught.value.kind == 'document-invalid'
    assert "'5'" not in str(caught.value)
    assert 'line 1: rules: 5 is not a list; allowed: a list' in str(
        caught.value
    )


async def test_refused_connection_is_a_typed_error():
    client = operator_client.OperatorClient('http://127.0.0.1:1', 'x')

    async with client:
        with pytest.raises(errors.OperatorUnreachable):
            await client.get('/v1/status')


@pytest.mark.parametrize('body', [b'', b'<html>', b'[]', b'{"type": 5}'])
async def test_error_answer_of_another_server_is_a_typed_error(body):
    # The configured address is that of the callers' interface or of another
    # server, whose error answers are no problem details.
    transport = httpx.MockTransport(
        lambda request: httpx.Response(500, content=body)
    )
    client = operator_client.OperatorClient('http://x', 'x', transport)

    async with client:
        with pytest.raises(errors.OperatorRefused):
            await client.get('/v1/status')


@pytest.mark.parametrize('body', [b'', b'<html>'])
async def test_successful_answer_without_json_is_a_typed_error(body):
    transport = httpx.MockTransport(
        lambda request: httpx.Response(200, content=body)
    )
    client = operator_client.OperatorClient('http://x', 'x', transport)

    async with client:
        with pytest.raises(errors.OperatorRefused):
            await client.get('/v1/status')
