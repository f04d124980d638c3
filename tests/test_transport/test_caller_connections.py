"""Connections of callers over sockets."""

from __future__ import annotations

import functools
import socket

import attrs
import pytest
import trio
import trio.testing

from lavenderbend import errors
from lavenderbend.state import forwarding
from lavenderbend.transport import caller_connections
from lavenderbend.transport import caller_server
from lavenderbend.transport import early_listener
from lavenderbend.transport import socket_options

HOST = '127.0.0.1'
# fits into the router's send buffer, and not into a small receive buffer
LARGE_BYTES = 8_000
SMALL_BUFFER_BYTES = 4096
# more than the buffers of both ends grow to
BLOCKING_BYTES = 32_000_000
MAX_CONNECTIONS = 10
GET = b'GET /a HTTP/1.1\r\nhost: a\r\n\r\n'
LIMITS = forwarding.CallerLimits(
    header_bytes=2048, body_bytes=1000, header_seconds=0.2, idle_seconds=0.3
)


class Router:
    """A handler of requests whose behaviour a test sets."""

    def __init__(self):
        self.requests = []
        self.step = self.echo
        self.disconnected = trio.Event()
        self.proceed = trio.Event()
        self.written = trio.Event()
        self.cut_off = trio.Event()
        self.begun = trio.Event()
        self.tail = b'rest'

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
                self.disconnected.set()

    async def half(self, request, answer):
        await answer.start(200, ())
        await answer.send(b'half')
        raise errors.OutcomeUnknown('broke off')

    async def cut(self, request, answer):
        with trio.CancelScope() as scope:
            scope.cancel()
            await answer.send_whole(200, (), self.tail)
        self.step = self.echo
        self.cut_off.set()
        raise errors.OutcomeUnknown('no answer before the deadline')

    async def cut_end(self, request, answer):
        await answer.start(200, ())
        with trio.CancelScope() as scope:
            scope.cancel()
            await answer.send(self.tail)
            await answer.finish()
        self.step = self.echo
        self.cut_off.set()
        raise errors.OutcomeUnknown('no answer before the deadline')

    async def stream(self, request, answer):
        await answer.start(200, ())
        await answer.send(b'begun')
        await self.proceed.wait()
        await answer.send(self.tail)
        await answer.finish()
        self.written.set()

    async def fault(self, request, answer):
        raise KeyError('a bug')

    async def refuse_unread(self, request, answer):
        self.begun.set()
        # as if earlier answers filled the caller's window
        with trio.move_on_after(0.5):
            await answer.connection.stream.send_all(self.tail)
        raise errors.NoUpstream('none', 0.25)

    async def refuse(self, request, answer):
        raise errors.NoUpstream('none', 0.25)


@pytest.fixture
async def router(nursery):
    router = Router()
    router.server = caller_server.CallerServer(
        router.handle, lambda: LIMITS, MAX_CONNECTIONS
    )
    router.port = await nursery.start(
        functools.partial(router.server.serve, HOST, 0)
    )
    return router


async def connect(router, receive_buffer=None):
    connection = trio.socket.socket()
    if receive_buffer is not None:
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer
        )
    await connection.connect((HOST, router.port))
    return trio.SocketStream(connection)


async def exchange(router, data):
    """Sends data; returns all bytes that the router sends until it closes."""
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


async def read_until(stream, end):
    """Reads until bytes that end so have come."""
    received = b''
    with trio.fail_after(5.0):
        while not received.endswith(end):
            received += await stream.receive_some()


async def test_chunked_body_is_read_completely(router):
    received = await exchange(
        router,
        b'POST /a HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n'
        b'2\r\nab\r\n1\r\nc\r\n0\r\n\r\n',
    )
    assert received.endswith(b'\r\n\r\nabc')


async def test_connection_serves_many_requests_and_ends_when_idle(router):
    received = await exchange(router, GET + GET)
    assert received.count(b'HTTP/1.1 200') == 2
    assert len(router.requests) == 2


async def test_request_within_a_body_is_not_executed(router):
    # Request smuggling: with both a length and a transfer coding, this router
    # and an upstream could disagree on the end of a body that contains what
    # looks like a request.
    received = await exchange(
        router,
        b'POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n'
        b'transfer-encoding: chunked\r\n\r\n0\r\n\r\n' + GET,
    )
    assert received.startswith(b'HTTP/1.1 400')
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
async def test_exceeded_limit_is_reported_before_the_connection_closes(
    router, data, status
):
    received = await exchange(router, data)
    assert received.startswith(b'HTTP/1.1 ' + status)
    assert not router.requests


@pytest.mark.parametrize('target', [b'/a', b'a:80'])
async def test_request_for_a_tunnel_is_refused(router, target):
    """Guards against an upstream that is asked to open one."""
    data = b'CONNECT ' + target + b' HTTP/1.1\r\nhost: a\r\n\r\n'
    assert (await exchange(router, data)).startswith(b'HTTP/1.1 501')
    assert not router.requests


async def test_disconnect_of_the_caller_cancels_its_request(router):
    # A caller closes its connection while an upstream works. Unless this is
    # detected at once, the upstream continues and other requests wait.
    router.step = router.hang
    stream = await connect(router)
    await stream.send_all(GET)
    await trio.sleep(0.05)
    await stream.aclose()
    with trio.fail_after(1.0):
        await router.disconnected.wait()


async def test_truncated_answer_does_not_look_complete(router):
    router.step = router.half
    received = await exchange(router, GET)
    assert b'half' in received
    assert b'0\r\n\r\n' not in received


async def test_retry_after_is_given_in_fractions_of_a_second(router):
    router.step = router.refuse
    received = await exchange(router, GET)
    assert received.startswith(b'HTTP/1.1 503')
    assert b'retry-after: 0.25\r\n' in received


async def test_fault_of_the_router_ends_one_connection_only(router):
    # A bug that one request triggers must not end the process and with it
    # the requests of other callers.
    router.step = router.fault
    assert not (await exchange(router, GET)).startswith(b'HTTP/1.1 2')
    router.step = router.echo
    assert (await exchange(router, GET)).startswith(b'HTTP/1.1 200')


async def test_stop_closes_idle_connections_after_their_answers(router):
    # While the router stops, a caller on a persistent connection gets the
    # answer to its next request with the header `connection: close`.
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
        await router.server.wait_all_closed()


async def test_stop_refuses_new_connections_at_its_end(router):
    # All routers of an availability zone stop at once, so the load balancer
    # still sends callers here. A request accepted seven seconds after the
    # signal was cut off a second later by the end of the stop; if its
    # connection is refused, the caller uses another router at once.
    stream = await connect(router)
    await stream.send_all(GET)
    await stream.receive_some()
    router.server.begin_stop()
    assert (await exchange(router, GET)).startswith(b'HTTP/1.1 200')
    router.server.close_idle()
    await trio.testing.wait_all_tasks_blocked()
    with pytest.raises(OSError, match='connect'):
        await connect(router)
    assert await read_all(stream) == b''
    with trio.fail_after(1.0):
        await router.server.wait_all_closed()


async def start_stream(router, receive_buffer=None):
    """Returns a caller that reads a stream while the router begins to stop."""
    router.step = router.stream
    stream = await connect(router, receive_buffer)
    await stream.send_all(GET)
    await stream.receive_some()
    router.server.begin_stop()
    router.server.close_idle()
    return stream


async def test_caller_of_a_stream_gets_an_answer_to_its_next_request(
    router, monkeypatch
):
    """Guards against a request that meets the close after a long stream.

    The head of the stream went out before the stop and could not say that the
    connection closes.
    """
    monkeypatch.setattr(caller_connections, 'LAST_REQUEST_SECONDS', 5.0)
    patient = attrs.evolve(LIMITS, idle_seconds=5.0)
    router.server.limits = lambda: patient
    stream = await start_stream(router)
    router.step = router.refuse
    router.proceed.set()
    await read_until(stream, b'0\r\n\r\n')
    await trio.testing.wait_all_tasks_blocked()
    await stream.send_all(GET)
    received = await read_all(stream)
    assert received.startswith(b'HTTP/1.1 503')
    assert b'connection: close' in received


async def test_request_that_meets_the_close_destroys_no_answer(
    router, monkeypatch
):
    """Guards against a reset that takes the unread end of an answer along."""
    monkeypatch.setattr(caller_connections, 'LAST_REQUEST_SECONDS', 0.0)
    monkeypatch.setattr(caller_connections, 'STOP_LINGER_SECONDS', 5.0)
    router.tail = b'x' * LARGE_BYTES
    stream = await start_stream(router, receive_buffer=SMALL_BUFFER_BYTES)
    router.proceed.set()
    with trio.fail_after(5.0):
        await router.written.wait()
    await trio.testing.wait_all_tasks_blocked()
    await stream.send_all(GET)
    received = await read_all(stream)
    assert received.endswith(b'0\r\n\r\n')
    assert received.count(b'x') == LARGE_BYTES


async def test_request_still_arriving_when_a_stop_ends_is_refused(router):
    """Guards against a reset in place of the word that it did not run."""
    stream = await connect(router)
    await stream.send_all(
        b'POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nha'
    )
    await trio.testing.wait_all_tasks_blocked()
    router.server.begin_stop()
    router.server.close_idle()
    router.server.end_reading()
    received = await read_all(stream)
    assert received.startswith(b'HTTP/1.1 503')
    assert b'connection: close' in received
    assert not router.requests


async def test_connection_beyond_those_with_requests_is_closed(router):
    router.step = router.hang
    streams = [await connect(router) for _ in range(MAX_CONNECTIONS)]
    for stream in streams:
        await stream.send_all(GET)
    await trio.testing.wait_all_tasks_blocked()
    assert b'HTTP' not in await exchange(router, GET)
    assert len(router.requests) == MAX_CONNECTIONS
    for stream in streams:
        await stream.aclose()


@pytest.mark.parametrize('start', [b'', GET[:10]])
async def test_connections_without_a_request_keep_no_caller_out(router, start):
    """Guards against callers refused since others hold all connections."""
    streams = [await connect(router) for _ in range(MAX_CONNECTIONS)]
    for stream in streams[::2]:
        await stream.send_all(start or GET[:1])
    await trio.testing.wait_all_tasks_blocked()
    latest = await connect(router)
    await latest.send_all(GET)
    await read_until(latest, b'-')
    assert await read_all(streams[0]) in (b'', b'<reset>')
    await streams[1].send_all(GET)
    await read_until(streams[1], b'-')
    assert len(router.server.connections) <= MAX_CONNECTIONS


async def test_kept_connection_is_closed_after_those_never_used(router):
    """Guards against a caller whose kept connection goes before a crowd's."""
    kept = await connect(router)
    await kept.send_all(GET)
    await read_until(kept, b'-')
    streams = [await connect(router) for _ in range(MAX_CONNECTIONS - 1)]
    for _ in range(MAX_CONNECTIONS // 2):
        streams.append(await connect(router))
        await trio.testing.wait_all_tasks_blocked()
    await kept.send_all(GET)
    await read_until(kept, b'-')


@pytest.mark.parametrize('step', ['cut', 'cut_end'])
async def test_answer_cancelled_in_its_last_write_ends_the_connection(
    router, step
):
    # The deadline passes while the last bytes of an answer are written to a
    # caller that does not read them. The protocol state counts them as sent;
    # the caller would take the next answer on the connection for the rest of
    # this one.
    router.tail = b'y' * BLOCKING_BYTES
    router.step = getattr(router, step)
    stream = await connect(router, SMALL_BUFFER_BYTES)
    await stream.send_all(GET + GET)
    with trio.fail_after(5.0):
        await router.cut_off.wait()
    received = await read_all(stream)
    assert len(router.requests) == 1
    assert b'x-a' not in received
    assert received.count(b'y') < BLOCKING_BYTES
    assert not received.endswith(b'0\r\n\r\n')


@pytest.mark.parametrize('step', ['cut', 'cut_end'])
async def test_answer_that_is_ready_when_it_is_cancelled_is_sent(router, step):
    """Guards against a caller who gets not one byte of a ready answer."""
    router.step = getattr(router, step)
    received = await exchange(router, GET + GET)
    first, found, second = received.partition(b'rest')
    assert found
    assert len(router.requests) == 2
    assert second.removeprefix(b'\r\n0\r\n\r\n').startswith(b'HTTP/1.1 200')
    assert b'x-a' in second


async def test_error_to_a_caller_that_does_not_read_ends(router, monkeypatch):
    """Guards against an error that holds its request without a bound."""
    minute = 60_000
    monkeypatch.setattr(socket_options, 'USER_TIMEOUT_MILLISECONDS', minute)
    router.tail = b'y' * BLOCKING_BYTES
    router.step = router.refuse_unread
    stream = await connect(router, SMALL_BUFFER_BYTES)
    await stream.send_all(GET)
    with trio.fail_after(5.0):
        await router.begun.wait()
        await router.server.wait_all_closed()
    stream.socket.close()


@pytest.fixture
def free_address():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return f'{HOST}:{probe.getsockname()[1]}'


async def test_caller_that_connects_during_the_start_is_served(
    nursery, monkeypatch, free_address
):
    # After all VMs lost power, a caller that connects while its router imports
    # libraries must not be refused: there is no other router.
    monkeypatch.setenv(early_listener.ADDRESS_VARIABLE, free_address)
    early_listener.open_from_environment()
    port = int(free_address.rpartition(':')[2])
    stream = await trio.open_tcp_stream(HOST, port)
    await stream.send_all(GET)
    await trio.sleep(0.1)
    router = Router()
    server = caller_server.CallerServer(router.handle, lambda: LIMITS, 10)
    began = trio.current_time()
    await nursery.start(functools.partial(server.serve, HOST, port))
    with trio.fail_after(5.0):
        received = await stream.receive_some()
    assert received.startswith(b'HTTP/1.1 200')
    # the time limit of the request includes the wait for the router
    assert router.requests[0].arrived < began - 0.09
    await stream.send_all(GET)
    with trio.fail_after(5.0):
        await stream.receive_some()
    assert router.requests[1].arrived >= began


async def test_request_after_an_early_connection_has_all_its_time(
    monkeypatch, nursery, free_address
):
    # its deadline was counted from before it was sent, and had passed by then
    monkeypatch.setenv(early_listener.ADDRESS_VARIABLE, free_address)
    early_listener.open_from_environment()
    port = int(free_address.rpartition(':')[2])
    stream = await trio.open_tcp_stream(HOST, port)
    await trio.sleep(0.1)
    router = Router()
    server = caller_server.CallerServer(router.handle, lambda: LIMITS, 10)
    await nursery.start(functools.partial(server.serve, HOST, port))
    with trio.fail_after(5.0):
        while True:
            if server.connections:
                break
            await trio.sleep(0.001)
    began = trio.current_time()
    await stream.send_all(GET)
    with trio.fail_after(5.0):
        await stream.receive_some()
    assert router.requests[0].arrived >= began


async def test_request_sent_after_the_start_has_all_its_time(
    monkeypatch, nursery, free_address
):
    # it was there when accepted, and counted as if it had waited for the start
    monkeypatch.setenv(early_listener.ADDRESS_VARIABLE, free_address)
    early_listener.open_from_environment()
    port = int(free_address.rpartition(':')[2])
    await trio.sleep(0.5)
    router = Router()
    server = caller_server.CallerServer(router.handle, lambda: LIMITS, 10)
    await nursery.start(functools.partial(server.serve, HOST, port))
    began = trio.current_time()
    caller = socket.create_connection((HOST, port))
    caller.sendall(GET)
    with trio.socket.from_stdlib_socket(caller) as waiting:
        with trio.fail_after(5.0):
            await waiting.recv(1)
    assert router.requests[0].arrived > began - 0.1


async def test_early_listener_of_another_address_is_closed(
    monkeypatch, free_address
):
    monkeypatch.setenv(early_listener.ADDRESS_VARIABLE, free_address)
    early_listener.open_from_environment()
    assert early_listener.take_listener(HOST, 1) is None
    with pytest.raises(OSError, match='connect'):
        await trio.open_tcp_stream(HOST, int(free_address.rpartition(':')[2]))


@pytest.mark.parametrize('address', ['8080', ':8080', 'a:b', '127.0.0.1:'])
def test_invalid_early_address_ends_the_process(address, monkeypatch):
    monkeypatch.setenv(early_listener.ADDRESS_VARIABLE, address)
    with pytest.raises(SystemExit, match='HOST:PORT'):
        early_listener.open_from_environment()


def test_early_address_in_use_is_reported_and_not_fatal(
    monkeypatch, free_address, capsys
):
    monkeypatch.setenv(early_listener.ADDRESS_VARIABLE, free_address)
    early_listener.open_from_environment()
    early_listener.open_from_environment()
    assert free_address in capsys.readouterr().err
    port = int(free_address.rpartition(':')[2])
    early_listener.take_listener(HOST, port).socket.close()
    assert early_listener.take_listener(HOST, port) is None
