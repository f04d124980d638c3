"""Callers' connections over sockets."""

from __future__ import annotations

import functools
import socket

import pytest
import trio
import trio.testing

from lavenderbend import errors
from lavenderbend.state import forwarding
from lavenderbend.transport import caller_server
from lavenderbend.transport import early_listener

HOST = '127.0.0.1'
GET = b'GET /a HTTP/1.1\r\nhost: a\r\n\r\n'
LIMITS = forwarding.CallerLimits(
    header_bytes=2048, body_bytes=1000, header_seconds=0.2, idle_seconds=0.3
)


class Router:
    """A server whose handler a test sets."""

    def __init__(self):
        self.requests = []
        self.step = self.echo
        self.left = trio.Event()

    async def handle(self, request, answer):
        self.requests.append(request)
        await self.step(request, answer)

    async def echo(self, request, answer):
        await answer.send_whole(200, ((b'x-a', b'1'),), request.body or b'-')

    async def hang(self, request, answer):
        try:
            await trio.sleep_forever()
        finally:
            if answer.disconnected:
                self.left.set()

    async def half(self, request, answer):
        await answer.start(200, ())
        await answer.send(b'half')
        raise errors.OutcomeUnknown('broke off')

    async def cut(self, request, answer):
        with trio.CancelScope() as scope:
            scope.cancel()
            await answer.send_whole(200, (), b'never written')
        self.step = self.echo
        raise errors.OutcomeUnknown('no answer before the deadline')

    async def cut_end(self, request, answer):
        await answer.start(200, ())
        await answer.send(b'all of it')
        with trio.CancelScope() as scope:
            scope.cancel()
            await answer.finish()
        self.step = self.echo
        raise errors.OutcomeUnknown('no answer before the deadline')

    async def fault(self, request, answer):
        raise KeyError('a mistake of ours')

    async def refuse(self, request, answer):
        raise errors.NoUpstream('none', 0.25)


@pytest.fixture
async def router(nursery):
    router = Router()
    router.server = caller_server.CallerServer(
        router.handle, lambda: LIMITS, 10
    )
    router.port = await nursery.start(
        functools.partial(router.server.serve, HOST, 0)
    )
    return router


async def connect(router):
    return await trio.open_tcp_stream(HOST, router.port)


async def talk(router, data):
    """Returns all that the router sends until it closes."""
    stream = await connect(router)
    await stream.send_all(data)
    return await read_all(stream)


async def read_all(stream):
    parts = []
    with trio.fail_after(5.0):
        try:
            while data := await stream.receive_some():
                parts.append(data)
        except trio.BrokenResourceError:
            parts.append(b'<reset>')
    return b''.join(parts)


async def test_body_in_chunks_is_read_whole(router):
    got = await talk(
        router,
        b'POST /a HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n'
        b'2\r\nab\r\n1\r\nc\r\n0\r\n\r\n',
    )
    assert got.endswith(b'\r\n\r\nabc')


async def test_connection_serves_many_requests_and_ends_when_idle(router):
    got = await talk(router, GET + GET)
    assert got.count(b'HTTP/1.1 200') == 2
    assert len(router.requests) == 2


async def test_request_within_a_body_is_none(router):
    # A body holds what looks like a request. Both a length and a transfer
    # coding would let this router and an upstream disagree on its end.
    got = await talk(
        router,
        b'POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n'
        b'transfer-encoding: chunked\r\n\r\n0\r\n\r\n' + GET,
    )
    assert got.startswith(b'HTTP/1.1 400')
    assert not router.requests


@pytest.mark.parametrize(
    ('data', 'status'),
    [
        (b'GET /a HTTP/1.1\r\nhost: a\r\nx: ' + b'y' * 3000, b'431'),
        (GET[:-2] + b'x: ' + b'y' * 2040 + b'\r\n\r\n', b'431'),
        (b'POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 9999\r\n\r\n'
         + b'z' * 9999, b'413'),
        (b'nonsense\r\n\r\n', b'400'),
        (b'GET /a HTTP/1.1\r\nhost: a\r\n', b'408'),
    ],
)  # fmt: skip
async def test_limits_are_told_before_the_connection_closes(
    router, data, status
):
    got = await talk(router, data)
    assert got.startswith(b'HTTP/1.1 ' + status)
    assert not router.requests


async def test_caller_that_leaves_ends_its_request(router):
    # The caller closes its connection while an upstream works. Unless that
    # shows at once, the work goes on for nobody and others wait for a slot.
    router.step = router.hang
    stream = await connect(router)
    await stream.send_all(GET)
    await trio.sleep(0.05)
    await stream.aclose()
    with trio.fail_after(1.0):
        await router.left.wait()


async def test_answer_that_breaks_off_does_not_look_complete(router):
    router.step = router.half
    got = await talk(router, GET)
    assert b'half' in got
    assert b'0\r\n\r\n' not in got


async def test_refusal_says_when_to_come_back_to_the_millisecond(router):
    router.step = router.refuse
    got = await talk(router, GET)
    assert got.startswith(b'HTTP/1.1 503')
    assert b'retry-after: 0.25\r\n' in got


async def test_fault_of_the_router_ends_one_connection_only(router):
    # A mistake of ours in one request must not end the process, and with it
    # the requests of everybody else.
    router.step = router.fault
    assert not (await talk(router, GET)).startswith(b'HTTP/1.1 2')
    router.step = router.echo
    assert (await talk(router, GET)).startswith(b'HTTP/1.1 200')


async def test_stop_closes_idle_connections_after_their_answers(router):
    # The router stops. A caller that keeps its connection gets the answer
    # to its next request, and with it the word to close.
    stream = await connect(router)
    await stream.send_all(GET)
    assert b'connection: close' not in await stream.receive_some()
    router.server.begin_stop()
    await stream.send_all(GET)
    assert b'connection: close' in await read_all(stream)


async def test_stop_serves_a_request_that_arrived_before_the_close(router):
    stream = await connect(router)
    await stream.send_all(GET)
    await stream.receive_some()
    await stream.send_all(GET)
    router.server.begin_stop()
    router.server.close_idle()
    assert (await read_all(stream)).startswith(b'HTTP/1.1 200')
    with trio.fail_after(1.0):
        await router.server.wait_empty()


async def test_stop_takes_no_new_connection_in_the_end(router):
    # All routers of a zone stop at once, so that the balancer still sends
    # callers here. A request that came seven seconds after the signal was
    # taken, and cut off by the end of the stop a second later; refused, its
    # caller goes to another router at once.
    stream = await connect(router)
    await stream.send_all(GET)
    await stream.receive_some()
    router.server.begin_stop()
    assert (await talk(router, GET)).startswith(b'HTTP/1.1 200')
    router.server.close_idle()
    await trio.testing.wait_all_tasks_blocked()
    with pytest.raises(OSError, match='connect'):
        await connect(router)
    assert await read_all(stream) == b''
    with trio.fail_after(1.0):
        await router.server.wait_empty()


async def test_too_many_connections_are_closed(router):
    streams = [await connect(router) for _ in range(10)]
    await trio.sleep(0.05)
    assert b'HTTP' not in await talk(router, GET)
    for stream in streams:
        await stream.aclose()


@pytest.mark.parametrize('step', ['cut', 'cut_end'])
async def test_answer_cut_in_its_last_write_ends_the_connection(router, step):
    # The deadline comes while the last bytes of an answer are written. The
    # protocol counts them as sent; the next answer on the connection would
    # be read as the rest of this one.
    router.step = getattr(router, step)
    heard = await talk(router, GET + GET)
    assert len(router.requests) == 1
    assert b'x-a' not in heard
    assert not heard.endswith(b'0\r\n\r\n')


@pytest.fixture
def free_address():
    with socket.socket() as found:
        found.bind((HOST, 0))
        return f'{HOST}:{found.getsockname()[1]}'


async def test_caller_that_comes_while_the_router_starts_is_served(
    nursery, monkeypatch, free_address
):
    # All VMs lost power. A caller came while its router loaded its libraries
    # and was refused, with no other router to go to.
    monkeypatch.setenv(early_listener.ADDRESS_VARIABLE, free_address)
    early_listener.open_named()
    port = int(free_address.rpartition(':')[2])
    stream = await trio.open_tcp_stream(HOST, port)
    await stream.send_all(GET)
    await trio.sleep(0.1)
    router = Router()
    server = caller_server.CallerServer(router.handle, lambda: LIMITS, 10)
    began = trio.current_time()
    await nursery.start(functools.partial(server.serve, HOST, port))
    with trio.fail_after(5.0):
        heard = await stream.receive_some()
    assert heard.startswith(b'HTTP/1.1 200')
    # the time that it waited is the caller's own, and is not given away
    assert router.requests[0].arrived < began - 0.09
    await stream.send_all(GET)
    with trio.fail_after(5.0):
        await stream.receive_some()
    assert router.requests[1].arrived >= began


async def test_early_listener_of_another_address_is_closed(
    monkeypatch, free_address
):
    monkeypatch.setenv(early_listener.ADDRESS_VARIABLE, free_address)
    early_listener.open_named()
    assert early_listener.take(HOST, 1) is None
    with pytest.raises(OSError, match='connect'):
        await trio.open_tcp_stream(HOST, int(free_address.rpartition(':')[2]))


@pytest.mark.parametrize('address', ['8080', ':8080', 'a:b', '127.0.0.1:'])
def test_early_address_that_is_none_ends_the_process(address, monkeypatch):
    monkeypatch.setenv(early_listener.ADDRESS_VARIABLE, address)
    with pytest.raises(SystemExit, match='HOST:PORT'):
        early_listener.open_named()


def test_early_address_that_is_taken_is_told_and_left_to_the_server(
    monkeypatch, free_address, capsys
):
    monkeypatch.setenv(early_listener.ADDRESS_VARIABLE, free_address)
    early_listener.open_named()
    early_listener.open_named()
    assert free_address in capsys.readouterr().err
    port = int(free_address.rpartition(':')[2])
    early_listener.take(HOST, port).socket.close()
    assert early_listener.take(HOST, port) is None
