"""What callers can make a router hold and do, over sockets."""

from __future__ import annotations

import collections
import contextlib
import fcntl
import functools
import socket
import sys
import termios

import attrs
import pytest
import trio
import trio.testing

from lavenderbend import errors
from lavenderbend.coordination import caller_memory
from lavenderbend.observe import log_writer
from lavenderbend.observe import logs
from lavenderbend.protocol import http_limits
from lavenderbend.state import forwarding
from lavenderbend.transport import body_memory
from lavenderbend.transport import caller_requests
from lavenderbend.transport import caller_server
from lavenderbend.transport import serving
from lavenderbend.transport import turns
from lavenderbend.transport import waiting_connections
from tests import logged

HOST = '127.0.0.1'
BODY_BYTES = 1024 * 1024
# Room for one body beside others, and not for two.
HELD_BYTES = 2 * BODY_BYTES
ANSWER_BYTES = 8_000_000
SMALL_BUFFER_BYTES = 4096
# Of one connection, of what is sent and of what is received.
KERNEL_BYTES = 256 * 1024
UNREAD_BYTES = 32 * 1024
LIMITS = forwarding.CallerLimits(
    header_bytes=16 * 1024,
    body_bytes=BODY_BYTES,
    header_seconds=5.0,
    idle_seconds=5.0,
)


class Router:
    """Answers requests, and remembers them.

    Attributes:
        requests: The requests that were passed on.
        checked: Those that were checked by their heads.
        proceed: Set to answer the requests that are passed on.
        refusal: Raised for each request by its head, None for none.
    """

    def __init__(self):
        self.requests = []
        self.checked = []
        self.proceed = trio.Event()
        self.proceed.set()
        self.refusal = None
        self.body = b'ok'

    async def handle(self, request, answer):
        self.requests.append(request)
        await self.proceed.wait()
        await answer.reserve(len(self.body))
        await answer.send_whole(200, (), self.body)

    async def check(self, request):
        self.checked.append(request)
        if self.refusal is not None:
            raise self.refusal
        return caller_memory.body_groups('r', 'c')


@attrs.define
class Loop:
    """The event loop.

    Attributes:
        passes: Number of its passes.
    """

    passes: int = 0

    async def count(self):
        while True:
            await trio.lowlevel.checkpoint()
            self.passes += 1


@pytest.fixture
async def loop(nursery):
    loop = Loop()
    nursery.start_soon(loop.count)
    return loop


@pytest.fixture
async def router(nursery):
    router = Router()
    router.server = caller_server.CallerServer(
        router.handle, lambda: LIMITS, 100, HELD_BYTES, router.check
    )
    router.port = await nursery.start(
        functools.partial(router.server.serve, HOST, 0)
    )
    return router


def head(*fields):
    lines = ['POST /a HTTP/1.1', 'host: a', *fields, '', '']
    return '\r\n'.join(lines).encode()


async def connect(router):
    return await trio.open_tcp_stream(HOST, router.port)


async def begin(router, size, sent):
    """Returns a connection that has sent a part of a body."""
    stream = await connect(router)
    await stream.send_all(head(f'content-length: {size}') + b'x' * sent)
    return stream


async def status(stream):
    """Returns the status of an answer, and all of its bytes until the end."""
    received = b''
    with trio.fail_after(10.0):
        while data := await stream.receive_some():
            received += data
            if b'200' in received.partition(b'\r\n')[0]:
                break
    return int(received.split(b' ')[1]), received


def read_queue(connection):
    """Returns the bytes that the kernel keeps of a connection, not read."""
    size = fcntl.ioctl(connection.fileno(), termios.FIONREAD, bytes(4))
    return int.from_bytes(size, sys.byteorder)


async def until(check):
    """Waits until a check holds."""
    for _ in range(1000):
        if check():
            return
        await trio.sleep(0.01)
    raise AssertionError('it does not hold')


async def held(router, size):
    """Waits until a router holds so much."""
    await until(lambda: router.server.memory.held >= size)


async def test_length_over_the_limit_is_refused_before_the_body(router):
    """Guards against a body that is read only to be refused."""
    stream = await connect(router)
    await stream.send_all(
        head(f'content-length: {BODY_BYTES + 1}', 'expect: 100-continue')
    )
    code, received = await status(stream)
    assert code == 413
    assert b'100' not in received.partition(b'\r\n')[0]
    assert not router.checked


async def test_request_refused_by_its_head_is_not_asked_for_its_body(router):
    """Guards against bodies kept of callers that have no credential."""
    router.refusal = errors.NotAuthenticated('none')
    stream = await connect(router)
    await stream.send_all(head('content-length: 9', 'expect: 100-continue'))
    code, received = await status(stream)
    assert code == 401
    assert received.count(b'HTTP/1.1') == 1
    assert not router.requests


@pytest.mark.parametrize('sent', [0, 9])
async def test_small_body_needs_no_check_by_its_head(router, sent):
    """Guards against connections closed for refusals of small requests."""
    stream = await begin(router, 9, sent)
    await trio.testing.wait_all_tasks_blocked()
    await stream.send_all(b'x' * (9 - sent))
    assert (await status(stream))[0] == 200
    assert not router.checked


async def test_large_body_without_a_credential_is_not_read(router):
    """Guards against memory taken up by callers that have no credential."""
    router.refusal = errors.NotAuthenticated('none')
    stream = await begin(router, BODY_BYTES, 1000)
    assert (await status(stream))[0] == 401
    assert not router.requests


async def test_body_over_the_memory_is_refused_and_not_run(router):
    """Guards against a promise that does not hold, and a wait in vain."""
    router.proceed = trio.Event()
    first = await begin(router, BODY_BYTES // 2, BODY_BYTES // 2)
    await held(router, BODY_BYTES // 2)
    second = await begin(router, BODY_BYTES // 2, 1000)
    code, received = await status(second)
    assert code == 503
    assert b'retry-after: 1\r\n' in received
    assert b'connection: close' in received
    router.proceed.set()
    assert (await status(first))[0] == 200
    assert len(router.requests) == 1


async def test_small_request_is_served_beside_large_ones(router):
    """Guards against ordinary callers refused for a few large bodies."""
    large = [
        await begin(router, BODY_BYTES // 2, BODY_BYTES // 4) for _ in range(3)
    ]
    stream = await begin(router, 1000, 1000)
    assert (await status(stream))[0] == 200
    for one in large:
        await one.aclose()


async def test_body_that_stalls_is_refused_for_one_that_arrives(router):
    """Guards against memory kept by callers that stop short of the end."""
    stalled = await begin(router, BODY_BYTES // 2, BODY_BYTES // 2 - 1)
    await held(router, BODY_BYTES // 2 - 1)
    await trio.sleep(caller_memory.STALL_SECONDS + 0.1)
    stream = await begin(router, BODY_BYTES // 2, BODY_BYTES // 2)
    assert (await status(stream))[0] == 200
    code, received = await status(stalled)
    assert code == 503
    assert b'retry-after' in received
    assert len(router.requests) == 1


async def test_nothing_is_held_after_a_request(router):
    """Guards against the body of the last request kept with its connection."""
    stream = await begin(router, BODY_BYTES, BODY_BYTES)
    assert (await status(stream))[0] == 200
    gone = await begin(router, BODY_BYTES, BODY_BYTES // 2)
    await held(router, BODY_BYTES // 4)
    await gone.aclose()
    await until(lambda: not router.server.memory.held)
    assert not router.server.memory.waiting


@pytest.mark.parametrize('size', [1, 64])
async def test_small_chunks_leave_turns_to_others(router, loop, size):
    """Guards against a router that does nothing but parse small chunks."""

    count = 4000
    chunk = b'%x\r\n' % size + b'x' * size + b'\r\n'
    stream = await connect(router)
    before = loop.passes
    await stream.send_all(head('transfer-encoding: chunked'))
    await stream.send_all(chunk * count + b'0\r\n\r\n')
    assert (await status(stream))[0] == 200
    assert loop.passes - before >= count // caller_requests.PARTS_PER_TURN
    assert router.requests[0].body == b'x' * size * count


async def test_heads_of_many_fields_are_parsed_in_turns(router, loop):
    """Guards against a router that does nothing but parse large heads."""
    parsed = []

    async def handle(request, answer):
        parsed.append(loop.passes)
        await answer.send_whole(200, (), b'')

    router.server.handler = handle
    fields = [f'{chr(97 + number % 26)}:' for number in range(500)]
    streams = [await connect(router) for _ in range(20)]
    await until(lambda: len(router.server.connections) == len(streams))
    for stream in streams:
        # all of them in one pass of the event loop
        stream.socket._sock.send(head(*fields))
    for stream in streams:
        assert (await status(stream))[0] == 200
    # the pass that counts may come before or after those of the callers
    assert max(collections.Counter(parsed).values()) <= 2


async def test_wait_for_a_turn_is_not_the_time_of_a_caller(router):
    """Guards against heads refused as late since others were parsed first."""
    limits = attrs.evolve(LIMITS, header_seconds=1.0)
    router.server.limits = lambda: limits
    stream = await connect(router)
    async with router.server.turns.lock:
        await stream.send_all(head(f'a: {"x" * 4096}'))
        await trio.sleep(2 * limits.header_seconds)
    assert (await status(stream))[0] == 200


async def test_request_that_waits_for_a_turn_is_not_closed_for_another(router):
    """Guards against a request that is lost although it was received."""
    router.server.max_connections = 1
    stream = await connect(router)
    async with router.server.turns.lock:
        await stream.send_all(head(f'a: {"x" * 4096}'))
        await trio.testing.wait_all_tasks_blocked(0.05)
        other = await connect(router)
        assert await other.receive_some() == b''
    assert (await status(stream))[0] == 200


async def test_answer_read_slowly_takes_up_little_of_the_kernel(router):
    """Guards against answers that pile up in the kernel, where none counts."""
    router.body = bytes(ANSWER_BYTES)
    stream = await connect(router)
    await stream.send_all(b'GET /a HTTP/1.1\r\nhost: a\r\n\r\n')
    await held(router, ANSWER_BYTES)
    (connection,) = router.server.connections
    for _ in range(40):
        await stream.receive_some(20_000)
        await trio.sleep(0.01)
    number = connection.stream.socket.fileno()
    unsent = fcntl.ioctl(number, termios.TIOCOUTQ, bytes(4))
    assert int.from_bytes(unsent, sys.byteorder) <= KERNEL_BYTES


async def test_what_is_not_read_takes_up_little_of_the_kernel(router):
    """Guards against bytes that pile up in the kernel, where none counts."""
    router.proceed = trio.Event()
    streams = [await begin(router, 0, 0) for _ in range(20)]
    await until(lambda: len(router.requests) == len(streams))
    for stream in streams:
        with trio.move_on_after(0.1):
            await stream.send_all(bytes(ANSWER_BYTES))
    unread = sum(
        read_queue(one.stream.socket) for one in router.server.connections
    )
    assert unread <= len(streams) * UNREAD_BYTES


async def test_what_is_sent_before_the_accept_is_limited_too(nursery):
    """Guards against bytes that the kernel keeps of a backlog."""
    server = caller_server.CallerServer(None, lambda: LIMITS, 100)
    (listener,) = await server.open_listeners(HOST, 0)
    address = listener.socket.getsockname()
    with trio.move_on_after(0.1):
        stream = await trio.open_tcp_stream(*address)
        await stream.send_all(bytes(ANSWER_BYTES))
    accepted = await listener.accept()
    assert read_queue(accepted.socket) <= UNREAD_BYTES


async def test_what_follows_a_body_is_not_read(router):
    """Guards against requests sent ahead that pile up uncounted."""
    router.proceed = trio.Event()
    stream = await begin(router, 30_100, 0)
    await held(router, 1)
    await stream.send_all(bytes(30_000))
    await held(router, 30_000)
    await stream.send_all(bytes(8000))
    await until(lambda: router.requests)
    (connection,) = router.server.connections
    assert not connection.protocol.trailing_data[0]
    router.proceed.set()
    assert (await status(stream))[0] == 200


async def test_body_that_arrives_slowly_and_steadily_is_served(
    router, monkeypatch
):
    """Guards against a large body refused since its path is a long one."""
    monkeypatch.setattr(caller_requests, 'BODY_SECONDS', 2.0)
    monkeypatch.setattr(caller_requests, 'BODY_BYTES_PER_SECOND', 10_000)
    stream = await begin(router, 100_000, 0)
    stalled = await begin(router, 100_000, 1)
    for _ in range(10):
        await trio.sleep(0.25)
        await stream.send_all(bytes(10_000))
    assert (await status(stream))[0] == 200
    assert (await status(stalled))[0] == 408


async def test_caller_that_takes_nothing_is_ended_for_another(router):
    """Guards against memory kept by answers that nobody reads."""
    router.body = bytes(ANSWER_BYTES)
    idle = trio.socket.socket()
    idle.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    await idle.connect((HOST, router.port))
    await idle.send(b'GET /a HTTP/1.1\r\nhost: a\r\n\r\n')
    await held(router, ANSWER_BYTES)
    await trio.sleep(caller_memory.STALL_SECONDS + 0.1)
    stream = await begin(router, 0, 0)
    received = 0
    with trio.fail_after(10.0):
        while received < ANSWER_BYTES:
            received += len(await stream.receive_some())
    assert len(router.server.connections) == 1


async def test_nothing_is_held_for_a_caller_that_left_before_its_answer(router):
    """Guards against memory that is counted for ever, and answers that wait."""
    reserved = trio.Event()

    async def handle(request, answer):
        await answer.reserve(ANSWER_BYTES)
        reserved.set()
        await trio.sleep_forever()

    router.server.handler = handle
    stream = await begin(router, 0, 0)
    await reserved.wait()
    await stream.aclose()
    await until(lambda: not router.server.connections)
    assert router.server.memory.held == 0
    assert router.server.memory.overdrawn is None


async def test_caller_that_reads_slowly_gets_its_answer(router):
    """Guards against answers cut off because a window stays closed."""
    stream = await begin(router, 0, 0)
    await until(lambda: router.server.connections)
    (connection,) = router.server.connections
    timeout = connection.stream.getsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
    )
    assert timeout == 0
    await stream.aclose()


async def test_head_counts_for_its_objects(router):
    """Guards against heads of many fields that take up more than their text."""
    router.proceed = trio.Event()
    fields = [f'{chr(97 + number % 26)}: b' for number in range(1800)]
    stream = await connect(router)
    await stream.send_all(head(*fields))
    await held(router, 1800 * caller_memory.FIELD_BYTES)
    router.proceed.set()
    assert (await status(stream))[0] == 200


@pytest.mark.parametrize('announced', [BODY_BYTES + 1, 64 * BODY_BYTES])
async def test_refusal_is_read_by_a_caller_that_sends_on(
    router, nursery, announced
):
    """Guards against a refusal lost to a reset while its caller still sends."""
    stream = await begin(router, announced, 0)
    nursery.start_soon(send_on, stream)
    code, received = await status(stream)
    assert code == 413
    assert b'connection: close' in received


async def send_on(stream):
    """Sends until the connection is closed, for some MB."""
    with contextlib.suppress(trio.BrokenResourceError):
        for _ in range(64):
            await stream.send_all(bytes(65536))


async def test_refusal_by_the_head_has_one_line(router, lines):
    """Guards against two lines for one decision."""
    router.refusal = errors.NotAuthenticated('none')
    stream = await begin(router, BODY_BYTES, 1000)
    assert (await status(stream))[0] == 401
    assert not logged.named(lines, 'request_unreadable')


async def test_lines_on_what_callers_do_wrong_are_bounded(lines, monkeypatch):
    """Guards against a crowd that uses up the lines of everything else."""
    budget = log_writer.LineBudget(0.0, 3.0)
    monkeypatch.setattr(logs, 'CALLER_FAULT_BUDGET', budget)
    for _ in range(10):
        logs.caller_fault('request_unreadable', status=400, cause='x')
    assert len(logged.named(lines, 'request_unreadable')) == 3


class BodyApp:
    """An ASGI application that reads bodies, and answers once it may."""

    def __init__(self):
        self.bodies = []
        self.parts = 0
        self.answer = b''

    async def __call__(self, scope, receive, send):
        if scope['type'] != 'http':
            return
        size = 0
        while True:
            message = await receive()
            size += len(message.get('body', b''))
            self.parts += 1
            if not message.get('more_body'):
                break
        self.bodies.append(size)
        await send(
            {'type': 'http.response.start', 'status': 200, 'headers': []}
        )
        await send({'type': 'http.response.body', 'body': self.answer})


@pytest.fixture
async def served(nursery):
    """An ASGI application behind the server of the chat router."""
    app = BodyApp()
    limits = http_limits.HttpLimits(
        held_bytes=2 * HELD_BYTES, connections=4, body_bytes=BODY_BYTES
    )
    serve = functools.partial(
        serving.serve, app, HOST, 0, shutdown=trio.Event(), limits=limits
    )
    app.port = await nursery.start(serve)
    return app


async def test_body_that_stalls_at_a_chat_router_is_refused(served):
    """Guards against memory kept by callers that stop short of the end."""
    stalled = await begin(served, BODY_BYTES, BODY_BYTES - 1)
    await trio.sleep(caller_memory.STALL_SECONDS + 0.2)
    stream = await begin(served, BODY_BYTES, BODY_BYTES)
    assert (await status(stream))[0] == 200
    code, received = await status(stalled)
    assert code == 503
    assert b'retry-after' in received
    assert served.bodies == [BODY_BYTES]


async def test_chunks_over_the_memory_of_a_chat_router_are_refused(served):
    """Guards against bodies of unknown length that are never counted."""
    first = await begin(served, BODY_BYTES, BODY_BYTES - 1)
    await trio.sleep(0.1)
    stream = await connect(served)
    chunk = b'10000\r\n' + b'x' * 65536 + b'\r\n'
    await stream.send_all(head('transfer-encoding: chunked') + chunk * 15)
    code, _ = await status(stream)
    assert code == 503
    assert not served.bodies
    await first.aclose()


async def test_idle_connections_keep_nobody_out_of_a_chat_router(served):
    """Guards against callers refused since others hold all connections."""
    idle = [await connect(served) for _ in range(4)]
    await trio.sleep(0.1)
    stream = await begin(served, 9, 9)
    assert (await status(stream))[0] == 200
    assert await idle[0].receive_some() == b''


async def test_refusal_of_a_chat_router_is_read_by_a_caller_that_sends_on(
    served, nursery
):
    """Guards against a refusal lost to a reset while its caller still sends."""
    first = await begin(served, BODY_BYTES, BODY_BYTES - 1)
    await trio.sleep(0.1)
    stream = await begin(served, 64 * BODY_BYTES, 0)
    nursery.start_soon(send_on, stream)
    code, received = await status(stream)
    assert code == 503
    assert b'retry-after' in received
    await first.aclose()


async def test_small_chunks_leave_turns_at_a_chat_router(served, loop):
    """Guards against a server that takes many parts in one turn."""

    callers, chunks = 4, 500
    streams = [await connect(served) for _ in range(callers)]
    before = loop.passes
    for stream in streams:
        await stream.send_all(head('transfer-encoding: chunked'))
        await stream.send_all(b'1\r\nx\r\n' * chunks + b'0\r\n\r\n')
    for stream in streams:
        assert (await status(stream))[0] == 200
    taken = callers * (chunks - body_memory.FREE_PARTS)
    assert loop.passes - before >= taken
    assert served.parts >= callers * chunks


async def test_answer_that_nobody_takes_is_ended_at_a_chat_router(served):
    """Guards against memory kept by answers that nobody reads."""
    served.answer = bytes(ANSWER_BYTES)
    idle = trio.socket.socket()
    idle.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    await idle.connect((HOST, served.port))
    await idle.send(b'GET /a HTTP/1.1\r\nhost: a\r\n\r\n')
    await trio.sleep(caller_memory.STALL_SECONDS + 0.3)
    served.answer = b''
    # needs the memory that the answer takes up
    stream = await begin(served, BODY_BYTES, BODY_BYTES)
    assert (await status(stream))[0] == 200
    received = 0
    with trio.fail_after(10.0), contextlib.suppress(OSError):
        while data := await idle.recv(65536):
            received += len(data)
    assert received < ANSWER_BYTES


async def test_bodies_of_one_customer_are_counted_together(served):
    """Guards against one customer that takes up all memory of a router."""
    memory = caller_memory.CallerMemory(HELD_BYTES)
    scope = {'headers': [], 'raw_path': b'/', 'query_string': b'', 'state': {}}
    requests = [
        body_memory.CountedRequest(memory, turns.Turns(), scope, None, None)
        for _ in range(3)
    ]
    for request, customer in zip(requests, ('a', 'a', 'b'), strict=True):
        request.join(customer)
    requests[0].body.resize(BODY_BYTES)
    with pytest.raises(errors.RouterOverloaded):
        requests[1].body.resize(BODY_BYTES // 4)
    requests[2].body.resize(BODY_BYTES // 4)


@pytest.fixture
async def waiting_stream():
    """A connection of the chat router's server, and where it waits."""
    near, far = trio.socket.socketpair()
    with near, far:
        stream = serving.BoundedStream(trio.SocketStream(near), turns.Turns())
        waiting = waiting_connections.WaitingConnections()
        waiting.add_kept(stream)
        yield stream, waiting


async def test_connection_that_has_just_closed_ends_no_server(waiting_stream):
    """Guards against a process ended by a connection closed meanwhile."""
    stream, waiting = waiting_stream
    await stream.aclose()
    assert waiting.close_one() is stream


async def test_connection_reset_meanwhile_is_closed_without_an_error(
    waiting_stream,
):
    """Guards against a failed close of a connection that was reset."""
    stream, _ = waiting_stream
    await stream.send_eof()
    stream.close()
    await stream.aclose()
