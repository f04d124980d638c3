"""Graceful stop and limits of the server."""

from __future__ import annotations

import contextlib
import functools

import pytest
import trio

from lavenderbend.protocol import http_limits
from lavenderbend.transport import serving
from lavenderbend.transport import stall_detector
from tests import path_fakes

REQUEST = b'GET / HTTP/1.1\r\nhost: x\r\n\r\n'
CLOSING = b'GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n'


class SlowApp:
    """Sends the head at once, and the rest after `proceed` is set."""

    def __init__(self, body=b'x'):
        self.proceed = trio.Event()
        self.body = body
        self.begun = 0
        self.ended = []

    async def __call__(self, scope, receive, send):
        if scope['type'] != 'http':
            return
        self.begun += 1
        headers = [(b'content-type', b'text/plain')]
        await send(
            {'type': 'http.response.start', 'status': 200, 'headers': headers}
        )
        body = {'type': 'http.response.body', 'more_body': True}
        await send({**body, 'body': b'first'})
        await self.proceed.wait()
        await send({**body, 'body': self.body})
        await send({'type': 'http.response.body', 'body': b''})
        self.ended.append(scope['path'])


async def start(nursery, app, shutdown, limits=None, grace_seconds=60.0):
    serve = functools.partial(
        serving.serve,
        app,
        path_fakes.HOST,
        0,
        shutdown=shutdown,
        limits=limits,
        grace_seconds=grace_seconds,
    )
    return await nursery.start(serve)


async def connect(port, data=REQUEST):
    stream = await trio.open_tcp_stream(path_fakes.HOST, port)
    await stream.send_all(data)
    return stream


async def read_until(stream, text):
    data = b''
    with trio.fail_after(30):
        while text not in data:
            part = await stream.receive_some()
            if not part:
                return data
            data += part
    return data


async def until_refused(port):
    with trio.fail_after(30):
        while True:
            try:
                stream = await trio.open_tcp_stream(path_fakes.HOST, port)
            except OSError:
                return
            await stream.aclose()


async def test_stop_lets_streams_in_progress_finish():
    # An operator replaces a router while an answer is streamed. The listener
    # closes, the stream completes, and then the server ends; no request is
    # cut off.
    app = SlowApp(b'last')
    shutdown = trio.Event()
    async with trio.open_nursery() as nursery:
        port = await start(nursery, app, shutdown)
        stream = await connect(port)
        await read_until(stream, b'first')
        shutdown.set()
        await until_refused(port)
        app.proceed.set()
        data = await read_until(stream, b'0\r\n\r\n')
        rest = await read_until(stream, b'never')
    assert b'last' in data
    assert rest == b''
    assert app.ended == ['/']


async def test_stop_closes_idle_connections():
    # A caller keeps a connection open without a request; this must not delay
    # the stop.
    app = SlowApp()
    app.proceed.set()
    shutdown = trio.Event()
    async with trio.open_nursery() as nursery:
        port = await start(nursery, app, shutdown)
        stream = await connect(port)
        await read_until(stream, b'0\r\n\r\n')
        shutdown.set()
        with trio.fail_after(30):
            assert await stream.receive_some() == b''


async def test_stop_serves_connections_in_the_backlog(
    monkeypatch,
):
    # A connection is in the backlog when the listener is about to close. If it
    # were reset, a planned stop would lose its request.
    monkeypatch.setattr(serving, 'LAST_ACCEPT_SECONDS', 2.0)
    app = SlowApp()
    app.proceed.set()
    shutdown = trio.Event()
    async with trio.open_nursery() as nursery:
        port = await start(nursery, app, shutdown)
        shutdown.set()
        streams = [await connect(port) for _ in range(5)]
        for stream in streams:
            data = await read_until(stream, b'0\r\n\r\n')
            assert data.startswith(b'HTTP/1.1 200')


async def test_stop_ends_after_the_grace_period_despite_a_stream():
    # A stream that never ends must not keep the process running: after the
    # grace period it is cancelled, without the end that would make it look
    # complete.
    app = SlowApp()
    shutdown = trio.Event()
    async with trio.open_nursery() as nursery:
        port = await start(nursery, app, shutdown, grace_seconds=0.05)
        stream = await connect(port)
        await read_until(stream, b'first')
        shutdown.set()
        try:
            data = await read_until(stream, b'0\r\n\r\n')
        except trio.BrokenResourceError:
            data = b''
    assert b'0\r\n\r\n' not in data


async def test_connection_closes_on_request_of_either_side():
    # quart-trio cancels the task of the response while hypercorn closes the
    # connection in it. Without a shield, the connection stayed open forever
    # and a stopping router waited for it.
    async with path_fakes.running() as path:
        stream = await connect(
            path.port,
            b'GET /nothing HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n',
        )
        data = await read_until(stream, b'never')
        path.app.begin_stop()
        other = await connect(path.port)
        more = await read_until(other, b'never')
    assert data.startswith(b'HTTP/1.1 401')
    assert more.startswith(b'HTTP/1.1 401')


async def test_connection_of_a_caller_that_does_not_read_is_reset(monkeypatch):
    # A caller requests a large answer and stops reading. The write must time
    # out, or it would occupy the answer and its upstream forever.
    limits = http_limits.HttpLimits(
        send_seconds=0.1, send_buffer_bytes=8 * 1024
    )
    was_reset = trio.Event()
    reset = serving.BoundedStream.reset

    def note_reset(stream):
        was_reset.set()
        reset(stream)

    monkeypatch.setattr(serving.BoundedStream, 'reset', note_reset)
    app = SlowApp(b'x' * 20_000_000)
    app.proceed.set()
    async with trio.open_nursery() as nursery:
        port = await start(nursery, app, trio.Event(), limits)
        stream = await connect(port)
        with trio.fail_after(30):
            await was_reset.wait()
            with pytest.raises(trio.BrokenResourceError):
                while await stream.receive_some():
                    pass
        nursery.cancel_scope.cancel()


async def test_fault_on_one_connection_does_not_affect_others(monkeypatch):
    # An error in the HTTP library, raised in an exception group, must not end
    # the listener and the connections of all other callers.
    run = serving.tcp_server.TCPServer.run
    failures = [ExceptionGroup('fault', [RuntimeError('inside')])]

    async def fail_once(server):
        if failures:
            raise failures.pop()
        await run(server)

    monkeypatch.setattr(serving.tcp_server.TCPServer, 'run', fail_once)
    app = SlowApp()
    app.proceed.set()
    async with trio.open_nursery() as nursery:
        port = await start(nursery, app, trio.Event())
        first = await trio.open_tcp_stream(path_fakes.HOST, port)
        await path_fakes.until(lambda: not failures)
        data = await read_until(await connect(port), b'0\r\n\r\n')
        await first.aclose()
        nursery.cancel_scope.cancel()
    assert data.startswith(b'HTTP/1.1 200')


async def test_failed_abort_does_not_end_the_stall_detector():
    # A socket is already closed when the detector aborts it. The detector runs
    # in a system task: an error in it would end the process.
    ended = []

    def fail():
        raise OSError('closed')

    detector = stall_detector.StallDetector(1.0)
    waiters = [stall_detector.Waiter(fail)]
    waiters.append(stall_detector.Waiter(lambda: ended.append(True)))
    for waiter in waiters:
        waiter.since = 0.0
        detector.waiters.add(waiter)
    detector.check(5.0)
    assert ended == [True]
    assert all(waiter.expired for waiter in waiters)


async def test_connections_beyond_the_limit_are_closed_at_once():
    limits = http_limits.HttpLimits(connections=2)
    app = SlowApp()
    async with trio.open_nursery() as nursery:
        port = await start(nursery, app, trio.Event(), limits)
        held = [await connect(port) for _ in range(2)]
        for stream in held:
            await read_until(stream, b'first')
        try:
            data = await read_until(await connect(port), b'first')
        except trio.BrokenResourceError:
            data = b''
        app.proceed.set()
        for stream in held:
            await stream.aclose()
        nursery.cancel_scope.cancel()
    assert data == b''
    assert app.begun == 2


@pytest.mark.parametrize('length', [5000, 200_000])
async def test_large_header_is_refused(length):
    # The HTTP library only limits headers that arrive in several reads; one
    # that arrives in a single read must be limited too.
    limits = http_limits.HttpLimits(header_bytes=1024)
    app = SlowApp()
    async with trio.open_nursery() as nursery:
        port = await start(nursery, app, trio.Event(), limits)
        line = b'x-long: ' + b'y' * length + b'\r\n\r\n'
        stream = await connect(port, REQUEST[:-2] + line)
        data = await read_until(stream, b'\r\n\r\n')
        nursery.cancel_scope.cancel()
    assert data.startswith(b'HTTP/1.1 431')
    assert app.begun == 0


async def test_idle_connection_is_closed_in_time():
    limits = http_limits.HttpLimits(idle_seconds=0.05)
    app = SlowApp()
    async with trio.open_nursery() as nursery:
        port = await start(nursery, app, trio.Event(), limits)
        stream = await connect(port, b'GET / HT')
        assert await read_until(stream, b'never') == b''
        nursery.cancel_scope.cancel()


async def cancelled_app(scope, receive, send):
    """Is cancelled while it sends the head of its answer."""
    if scope['type'] != 'http':
        return
    if scope['path'] == '/gone':
        with trio.CancelScope() as scope_of_answer:
            scope_of_answer.cancel()
            await send(
                {'type': 'http.response.start', 'status': 200, 'headers': []}
            )
            await send(
                {
                    'type': 'http.response.body',
                    'body': b'x',
                    'more_body': True,
                }
            )
        return
    await send({'type': 'http.response.start', 'status': 200, 'headers': []})
    await send({'type': 'http.response.body', 'body': b'ok'})


async def test_answer_cancelled_at_its_head_ends_one_connection(nursery):
    # A caller disconnects while the head of its answer is sent. The error
    # response that the server then tries to send violates the protocol; this
    # must not end the router and the answers of other callers.
    serve = functools.partial(
        serving.serve, cancelled_app, '127.0.0.1', 0, shutdown=trio.Event()
    )
    port = await nursery.start(serve)
    disconnected = await trio.open_tcp_stream('127.0.0.1', port)
    await disconnected.send_all(REQUEST.replace(b'GET /', b'GET /gone'))
    with contextlib.suppress(trio.BrokenResourceError):
        while await disconnected.receive_some():
            pass

    other = await trio.open_tcp_stream('127.0.0.1', port)
    await other.send_all(CLOSING)
    received = b''
    while data := await other.receive_some():
        received += data

    assert received.endswith(b'ok\r\n0\r\n\r\n')
