"""Answers whose connection ends at any of their bytes."""

from __future__ import annotations

import pytest

from lavenderbend import errors
from lavenderbend.coordination.forwarding import interfaces
from lavenderbend.state import requests
from lavenderbend.transport import upstream_exchanges
from lavenderbend.transport import upstream_http
from lavenderbend.transport import upstream_httpx
from tests import cut_answers
from tests import relay_standins

ID = b'x-request-id'
ENDS = {'close': False, 'reset': True}
PATHS = ('direct', 'relay')


def request(name=b'r1', method=b'GET', body=b''):
    headers = ((b'host', b'a'), (b'content-length', b'%d' % len(body)))
    return interfaces.UpstreamRequest(name, ID, method, b'/', headers, body)


@pytest.fixture
async def upstream(nursery):
    made = cut_answers.Upstream()
    await made.start(nursery)
    return made


@pytest.fixture(params=PATHS)
async def connect(request, nursery, upstream):
    """Opens an exchange with the upstream, directly or over a relay."""
    exchanges = upstream_exchanges.UpstreamExchanges()
    if request.param == 'direct':
        yield lambda: exchanges.open(upstream.listed, True)
    else:
        relaying = await relay_standins.start_relay(nursery, upstream.listed)
        exchanges.relay_port = relaying.port

        async def open_through_relay():
            kept = exchanges.reuse(upstream.listed, True)
            if kept is not None:
                return kept
            return await exchanges.connect_through(
                upstream.listed, cut_answers.HOST
            )

        yield open_through_relay
    exchanges.close()


async def fetch(exchange, sent):
    """Returns the body of an answer, None if it broke off."""
    try:
        await exchange.send(sent)
        parts = []
        while (data := await exchange.read()) is not None:
            parts.append(data)
        return b''.join(parts)
    except errors.UpstreamBroke:
        return None
    finally:
        exchange.close()


def expected(form, cut, resets):
    """Returns the body of an answer cut at a byte, None if it broke off."""
    if not form.ended_by_close:
        return form.body if cut == len(form.whole) else None
    if resets or cut < len(form.head):
        return None
    # HTTP takes the close for the end, wherever it comes
    return form.rest[: cut - len(form.head)]


@pytest.mark.parametrize('kept', [False, True])
@pytest.mark.parametrize('end', sorted(ENDS))
@pytest.mark.parametrize('name', sorted(cut_answers.FORMS))
async def test_answer_cut_at_any_byte_is_not_whole(
    upstream, connect, name, end, kept
):
    """Guards against a part of an answer that looks whole."""
    form = cut_answers.FORMS[name]
    first = cut_answers.head(b'content-length: 2\r\n', request=b'r0') + b'ok'
    wrong = {}
    for cut in range(len(form.whole) + 1):
        if kept:
            upstream.replies.append(cut_answers.Reply(first, ends=False))
            assert await fetch(await connect(), request(b'r0')) == b'ok'
        connections = upstream.connections
        upstream.replies.append(
            cut_answers.Reply(form.whole[:cut], resets=ENDS[end])
        )
        read = await fetch(await connect(), request(method=form.method))
        if read != expected(form, cut, ENDS[end]):
            wrong[cut] = read
        assert upstream.connections == connections + (not kept)
    assert wrong == {}


@pytest.mark.parametrize('end', sorted(ENDS))
async def test_answer_reset_while_its_request_is_sent_is_not_whole(
    upstream, connect, end
):
    """Guards against a reset that is taken for the end of an answer."""
    answer = cut_answers.FORMS['close'].whole
    upstream.replies.append(
        cut_answers.Reply(answer, resets=ENDS[end], early=True)
    )
    sent = request(method=b'POST', body=cut_answers.LONG_BODY)
    exchange = await connect()
    read = await fetch(exchange, sent)
    assert not exchange.sent
    assert read == (None if ENDS[end] else cut_answers.BODY)


@pytest.mark.parametrize(
    'client_class',
    [upstream_http.HttpUpstreamClient, upstream_httpx.HttpxUpstreamClient],
)
async def test_client_takes_no_reset_for_the_end_of_an_answer(
    upstream, client_class
):
    """Guards against the same in the clients of engines."""
    client = client_class()
    upstream.replies.append(
        cut_answers.Reply(
            cut_answers.FORMS['close'].whole, resets=True, early=True
        )
    )
    sent = requests.Request(
        'r1', 'c', 'POST', '/x', {}, cut_answers.LONG_BODY, 0.0
    )
    with pytest.raises(errors.UpstreamLost):
        answer = await client.open(upstream.listed.vm, sent, {}, 9.0)
        async for _ in answer.chunks():
            pass
    await client.aclose()


@pytest.mark.parametrize('name', sorted(cut_answers.FORMS))
async def test_answer_read_a_byte_at_a_time_is_whole(
    upstream, connect, name, monkeypatch
):
    """Guards against good answers that are refused for how they arrive."""
    monkeypatch.setattr(upstream_exchanges, 'RECEIVE_BYTES', 1)
    form = cut_answers.FORMS[name]
    for ends in {True, form.ended_by_close}:
        upstream.replies.append(cut_answers.Reply(form.whole, ends))
        read = await fetch(await connect(), request(method=form.method))
        assert read == form.body


BODY = cut_answers.BODY
CHUNK = cut_answers.chunk(BODY)
NEVER_WHOLE = {
    'longer length': (b'content-length: 10\r\n', BODY),
    'two lengths': (b'content-length: 9\r\ncontent-length: 4\r\n', BODY),
    'length that is no number': (b'content-length: 9x\r\n', BODY),
    'length below zero': (b'content-length: -1\r\n', BODY),
    'empty length': (b'content-length:\r\n', BODY),
    'coding that is not known': (b'transfer-encoding: gzip\r\n', BODY),
    'coding whose name is cut': (b'transfer-encoding: chunke\r\n', CHUNK),
    'header whose name is cut': (b'transfer-enc\r\n', CHUNK),
    'chunk size with a lone line feed': (
        cut_answers.CHUNKED,
        CHUNK + b'0\n\n',
    ),
    'chunk size that is no number': (cut_answers.CHUNKED, b'z\r\n' + BODY),
    'chunk that is too short': (
        cut_answers.CHUNKED,
        b'a\r\n' + BODY + b'\r\n0\r\n\r\n',
    ),
    'chunk that is too long': (
        cut_answers.CHUNKED,
        b'8\r\n' + BODY + b'\r\n0\r\n\r\n',
    ),
}


@pytest.mark.parametrize('what', sorted(NEVER_WHOLE))
async def test_answer_with_wrong_framing_is_not_whole(upstream, connect, what):
    """Guards against a body that ends where its sender did not end it."""
    more, rest = NEVER_WHOLE[what]
    upstream.replies.append(
        cut_answers.Reply(cut_answers.head(more) + rest, ends=True)
    )
    assert await fetch(await connect(), request()) is None


@pytest.mark.parametrize('ends', [False, True])
async def test_bytes_past_a_length_belong_to_no_answer(upstream, connect, ends):
    """Guards against a body that goes on past its length."""
    answer = cut_answers.head(b'content-length: 4\r\n') + BODY
    again = cut_answers.head(cut_answers.LENGTH, request=b'r2') + BODY
    upstream.replies.append(cut_answers.Reply(answer, ends))
    upstream.replies.append(cut_answers.Reply(again))
    assert await fetch(await connect(), request()) == BODY[:4]
    assert await fetch(await connect(), request(b'r2')) == BODY
    assert upstream.connections == 2


JOINED = {
    'failure behind the status': (
        b'HTTP/1.1 200 ',
        cut_answers.head(cut_answers.LENGTH, b'500 Oops') + BODY,
    ),
    'other answer behind the status': (
        b'HTTP/1.1 200 O',
        cut_answers.head(cut_answers.LENGTH) + BODY,
    ),
    'answer to another request behind the id': (
        cut_answers.head(b'server: a').removesuffix(b'\r\n'),
        cut_answers.head(cut_answers.LENGTH, request=b'r0') + BODY,
    ),
}


@pytest.mark.parametrize('what', sorted(JOINED))
async def test_answer_within_a_cut_head_is_not_read(upstream, connect, what):
    """Guards against a body under the head of another answer."""
    cut, other = JOINED[what]
    upstream.replies.append(cut_answers.Reply(cut + other))
    assert await fetch(await connect(), request()) is None


@pytest.mark.parametrize('answered', [b'r0', b'r1'])
async def test_upstream_that_opens_a_tunnel_does_not_answer(
    upstream, connect, answered
):
    """Guards against a router that stands still on such an answer."""
    head = cut_answers.head(cut_answers.LENGTH, request=answered)
    upstream.replies.append(cut_answers.Reply(head + BODY))
    assert await fetch(await connect(), request(method=b'CONNECT')) is None
