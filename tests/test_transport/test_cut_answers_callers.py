"""What callers read of answers whose connection ends at any of their bytes."""

from __future__ import annotations

import functools

import attrs
import h11
import pytest
import trio

from lavenderbend.coordination.forwarding import budget
from lavenderbend.state import forwarding
from lavenderbend.transport import caller_server
from lavenderbend.transport import upstream_exchanges
from tests import cut_answers
from tests import forwarding_fakes as fakes
from tests import relay_standins

LIMITS = forwarding.CallerLimits(header_seconds=2.0, idle_seconds=5.0)
ENDS = {'close': False, 'reset': True}
BODY = cut_answers.BODY
FORMS = {
    name: cut_answers.FORMS[name] for name in ('length', 'chunks', 'close')
}
UNKNOWN = 504
EVENTS = 4


def event(number):
    return b'id: %d\ndata: x%d\n\n' % (number, number)


def events(first=1, last=EVENTS):
    return b''.join(event(number) for number in range(first, last + 1))


STREAM = b'content-type: text/event-stream\r\n'


def stream_forms(first):
    """Returns how the rest of a stream from an event on may be written."""
    rest = events(first)
    length = b'content-length: %d\r\n' % len(rest)
    chunks = b''.join(
        cut_answers.chunk(event(number)) for number in range(first, EVENTS + 1)
    )
    return {
        'length': cut_answers.Form(cut_answers.head(length), rest, rest),
        'chunks': cut_answers.Form(
            cut_answers.head(cut_answers.CHUNKED),
            chunks + b'0\r\n\r\n',
            rest,
        ),
        'close': cut_answers.Form(
            cut_answers.head(STREAM), rest, rest, ended_by_close=True
        ),
    }


@attrs.frozen
class Answer:
    """What a caller reads.

    Attributes:
        status: Its status, 0 without a head.
        body: Its body.
        complete: Whether it looks complete.
    """

    status: int
    body: bytes
    complete: bool


def read_answer(data, method):
    protocol = h11.Connection(h11.CLIENT)
    protocol.send(
        h11.Request(method=method, target='/', headers=[('host', 'a')])
    )
    protocol.send(h11.EndOfMessage())
    protocol.receive_data(data)
    protocol.receive_data(b'')
    status, body = 0, b''
    try:
        while True:
            received = protocol.next_event()
            if isinstance(received, h11.Response):
                status = received.status_code
            elif isinstance(received, h11.Data):
                body += bytes(received.data)
            elif isinstance(received, h11.EndOfMessage):
                return Answer(status, body, True)
            elif isinstance(received, h11.ConnectionClosed):
                return Answer(status, body, False)
    except h11.RemoteProtocolError:
        return Answer(status, body, False)


class RelayedExchanges(upstream_exchanges.UpstreamExchanges):
    """Exchanges that all go through another router."""

    async def connect(self, upstream):
        return await self.connect_through(upstream, cut_answers.HOST)


@pytest.fixture
async def upstream(nursery):
    made = cut_answers.Upstream()
    await made.start(nursery)
    return made


@pytest.fixture(params=['direct', 'relay'])
async def ask(request, nursery, upstream):
    """Sends a request through a router that knows of no failures."""
    exchanges = upstream_exchanges.UpstreamExchanges()
    if request.param == 'relay':
        relaying = await relay_standins.start_relay(nursery, upstream.listed)
        exchanges = RelayedExchanges(relaying.port)
    listed = [
        attrs.evolve(upstream.listed, instance=name)
        for name in ('e1', 'e2', 'e3')
    ]

    server = caller_server.CallerServer(None, lambda: LIMITS, 100)
    port = await nursery.start(
        functools.partial(server.serve, cut_answers.HOST, 0)
    )

    async def send(replies, method=b'GET', **then):
        upstream.replies = list(replies)
        upstream.requests.clear()
        table = fakes.table(1, (fakes.rule(**then),))
        router = fakes.Router(fakes.snapshot(1, table, *listed), exchanges)
        router.budget.settings = budget.RetryBudgetSettings(9.0, 99.0, 9.0)
        server.handler = router.forwarder.forward
        data = await read_all(port, method)
        exchanges.close()
        return read_answer(data, method)

    return send


async def read_all(port, method):
    stream = await trio.open_tcp_stream(cut_answers.HOST, port)
    await stream.send_all(
        method + b' /chat/1 HTTP/1.1\r\nhost: a.example\r\nx-request-id: r1\r\n'
        b'x-deadline-ms: 9000\r\nauthorization: Bearer llave-1\r\n'
        b'connection: close\r\n\r\n'
    )
    data = b''
    while part := await stream.receive_some(65536):
        data += part
    await stream.aclose()
    return data


def cut_at(form, cut, end):
    return cut_answers.Reply(form.whole[:cut], resets=ENDS[end])


@pytest.mark.parametrize('end', sorted(ENDS))
@pytest.mark.parametrize('streaming', [False, True])
@pytest.mark.parametrize('name', sorted(FORMS))
async def test_call_whose_head_is_cut_is_unknown_and_not_repeated(
    ask, upstream, name, streaming, end
):
    """Guards against a call that runs twice, or is told not to have run."""
    form = FORMS[name]
    whole = cut_answers.Reply(form.whole)
    for cut in range(len(form.head)):
        replies = (cut_at(form, cut, end), whole)
        answer = await ask(replies, streaming=streaming, attempts=3)
        assert (answer.status, answer.complete) == (UNKNOWN, True), cut
        assert len(upstream.requests) == 1, cut


REFUSALS = {
    'refused': cut_answers.head(
        b'x-not-run: 1\r\ncontent-length: 0\r\n', b'503 Full'
    ),
    'another instance': cut_answers.head(
        b'content-length: 0\r\n', b'421 Misdirected'
    ),
    'failed': cut_answers.head(b'content-length: 0\r\n', b'500 Oops'),
}


@pytest.mark.parametrize('end', sorted(ENDS))
@pytest.mark.parametrize('name', sorted(REFUSALS))
async def test_refusal_whose_head_is_cut_is_no_refusal(
    ask, upstream, name, end
):
    """Guards against a request that is told not to have run on half a word."""
    form = cut_answers.Form(REFUSALS[name])
    whole = cut_answers.Reply(FORMS['length'].whole)
    for cut in range(len(form.head)):
        answer = await ask((cut_at(form, cut, end), whole), attempts=3)
        assert (answer.status, answer.complete) == (UNKNOWN, True), cut
        assert len(upstream.requests) == 1, cut


@pytest.mark.parametrize('end', sorted(ENDS))
@pytest.mark.parametrize('name', sorted(FORMS))
async def test_whole_answer_takes_the_place_of_one_that_is_cut(
    ask, upstream, name, end
):
    """Guards against a part of an answer, and against none."""
    form = FORMS[name]
    whole = cut_answers.Reply(form.whole)
    closes = form.ended_by_close and not ENDS[end]
    for cut in range(len(form.head) if closes else len(form.whole)):
        replies = (cut_at(form, cut, end), whole)
        answer = await ask(replies, idempotent=True, attempts=2)
        assert answer == Answer(200, BODY, True), cut
        assert len(upstream.requests) == 2, cut
    replies = [cut_at(form, len(form.head) - 1, end)] * 2
    answer = await ask(replies, idempotent=True, attempts=2)
    assert (answer.status, answer.complete) == (UNKNOWN, True)


@pytest.mark.parametrize('streaming', [False, True])
async def test_success_whose_signature_is_empty_is_none(
    ask, upstream, streaming
):
    """Guards against a head that was cut there and ended by other bytes."""
    cut = cut_answers.head().partition(b' s\r\n')[0]
    replies = (cut_answers.Reply(cut + b'\r\n\r\n'),)
    answer = await ask(replies, streaming=streaming)
    assert (answer.status, answer.complete) == (UNKNOWN, True)


def resume_points(upstream):
    """Returns after which event each request goes on."""
    points = []
    for head in upstream.requests:
        value = head.partition(b'last-event-id: ')[2]
        points.append(int(value.partition(b'\r\n')[0] or 0))
    return points


RESUMABLE = {'streaming': True, 'resumable': True}
FIRST_PART = cut_answers.Reply(
    cut_answers.head(STREAM + cut_answers.CHUNKED)
    + cut_answers.chunk(events(1, 2))
)


@pytest.mark.parametrize('end', sorted(ENDS))
@pytest.mark.parametrize('name', sorted(stream_forms(3)))
async def test_stream_goes_on_where_one_that_resumes_it_is_cut(
    ask, upstream, name, end
):
    """Guards against a stream that ends before its last event."""
    form = stream_forms(3)[name]
    closes = form.ended_by_close and not ENDS[end]
    for cut in range(len(form.whole)):
        sent = form.whole[len(form.head) : cut].count(b'\n\n')
        if closes and form.rest[: cut - len(form.head)].endswith(b'\n\n'):
            # its upstream may have ended it there
            continue
        last = cut_answers.Reply(stream_forms(3 + sent)['chunks'].whole)
        replies = (FIRST_PART, cut_at(form, cut, end), last)
        answer = await ask(replies, attempts=3, **RESUMABLE)
        assert answer == Answer(200, events(), True), cut
        assert resume_points(upstream) == [0, 2, 2 + sent], cut
    for cut in (0, len(form.head) - 1, len(form.head)):
        replies = (FIRST_PART, cut_at(form, cut, end))
        answer = await ask(replies, attempts=2, **RESUMABLE)
        assert answer == Answer(200, events(1, 2), False), cut


@pytest.mark.parametrize('end', sorted(ENDS))
@pytest.mark.parametrize('name', sorted(stream_forms(1)))
async def test_stream_that_cannot_be_resumed_is_cut_where_it_was(
    ask, upstream, name, end
):
    """Guards against a stream that looks whole or that runs twice."""
    form = stream_forms(1)[name]
    closes = form.ended_by_close and not ENDS[end]
    for cut in range(len(form.head), len(form.whole)):
        rest = form.whole[len(form.head) : cut]
        if closes and rest.endswith(b'\n\n'):
            continue
        answer = await ask((cut_at(form, cut, end),), streaming=True)
        sent = rest.count(b'\n\n')
        if sent:
            assert answer == Answer(200, events(1, sent), False), cut
        else:
            assert (answer.status, answer.complete) == (UNKNOWN, True), cut
        assert len(upstream.requests) == 1, cut


@pytest.mark.parametrize('name', sorted(stream_forms(1)))
async def test_stream_read_a_byte_at_a_time_is_whole(
    ask, upstream, name, monkeypatch
):
    """Guards against good streams that are refused for how they arrive."""
    monkeypatch.setattr(upstream_exchanges, 'RECEIVE_BYTES', 1)
    whole = cut_answers.Reply(stream_forms(1)[name].whole)
    answer = await ask((whole,), **RESUMABLE)
    assert answer == Answer(200, events(), True)


BODILESS = {
    'HEAD': (b'HEAD', b'200 OK'),
    'no content': (b'GET', b'204 No Content'),
}


@pytest.mark.parametrize('name', sorted(BODILESS))
async def test_answer_that_has_no_body_is_no_stream_that_broke_off(
    ask, upstream, name
):
    """Guards against a good answer that is refused for its missing length."""
    method, status = BODILESS[name]
    reply = cut_answers.Reply(cut_answers.head(STREAM, status))
    answer = await ask((reply,), method, streaming=True)
    assert answer == Answer(int(status[:3]), b'', True)
