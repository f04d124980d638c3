"""Requests to faulty upstreams over sockets."""

from __future__ import annotations

import functools

import pytest
import trio

from lavenderbend import errors
from lavenderbend.coordination.forwarding import interfaces
from lavenderbend.state import forwarding
from lavenderbend.state import upstreams
from lavenderbend.transport import pooled_connections
from lavenderbend.transport import upstream_exchanges
from tests import platform_standins as standins

ID = b'lavenderbend-request-id'


def upstream(worker):
    vm = upstreams.Vm(
        worker.instance,
        standins.HOST,
        worker.port,
        'sala-a',
        worker.service,
        upstreams.UpstreamKind.SERVICE,
    )
    return forwarding.Upstream(worker.instance, vm, 8)


def request(worker, name=b'r1', body=b''):
    headers = (
        (b'host', b'a.example'),
        (ID, name),
        (b'lavenderbend-expect-instance', worker.instance.encode()),
        (b'content-length', b'%d' % len(body)),
    )
    return interfaces.UpstreamRequest(
        name, ID, b'POST', b'/desk/' + name, headers, body
    )


@pytest.fixture
async def worker(nursery):
    worker = standins.Worker('i-1', 'desk')
    await nursery.start(worker.serve)
    return worker


@pytest.fixture
def exchanges():
    return upstream_exchanges.UpstreamExchanges()


async def fetch(exchanges, worker, name=b'r1', repeatable=True, body=b''):
    exchange = await exchanges.open(upstream(worker), repeatable)
    try:
        head = await exchange.send(request(worker, name, body))
        parts = []
        while (data := await exchange.read()) is not None:
            parts.append(data)
        return head, b''.join(parts)
    finally:
        exchange.close()


async def test_connection_is_kept_for_the_next_request(worker, exchanges):
    assert (await fetch(exchanges, worker))[1] == b'did /desk/r1'
    assert (await fetch(exchanges, worker, b'r2'))[1] == b'did /desk/r2'
    assert worker.connections == 1


async def test_duplicate_answer_is_not_used_for_the_next_request(
    worker, exchanges
):
    # The upstream answers twice. On a reused connection, the bytes after the
    # first answer would be taken for the answer to the next request.
    worker.plans = ['twice']
    await fetch(exchanges, worker)
    assert (await fetch(exchanges, worker, b'r2'))[1] == b'did /desk/r2'
    assert worker.connections == 2


async def test_late_duplicate_answer_is_skipped(worker, exchanges):
    # The duplicate answer arrives after the next request has been sent, where
    # its answer is expected. It is recognized by its request id.
    worker.plans = ['late_second']
    await fetch(exchanges, worker)
    head, body = await fetch(exchanges, worker, b'r2')
    assert body == b'did /desk/r2'
    assert worker.connections == 1


@pytest.mark.parametrize('plan', ['resets', 'no_http'])
async def test_request_without_valid_answer_may_have_been_executed(
    worker, exchanges, plan
):
    worker.plans = [plan]
    with pytest.raises(errors.UpstreamBroke):
        await fetch(exchanges, worker)


async def test_answer_without_length_ends_with_its_connection(
    worker, exchanges
):
    worker.plans = ['unframed']
    assert (await fetch(exchanges, worker))[1] == b'whole to the end'
    assert (await fetch(exchanges, worker, b'r2'))[1] == b'did /desk/r2'
    assert worker.connections == 2


async def test_answer_without_length_that_is_reset_is_not_whole(
    worker, exchanges
):
    """Guards against a truncated answer that looks complete."""
    worker.plans = ['unframed_reset']
    with pytest.raises(errors.UpstreamLost):
        await fetch(exchanges, worker)


@pytest.mark.parametrize('limit', ['9' * 5000, '9' * 400])
async def test_idle_limit_that_is_no_number_is_not_heeded(
    worker, exchanges, limit
):
    """Guards against a Keep-Alive header that ends requests."""
    headers = worker.headers
    worker.headers = lambda request: [
        *headers(request),
        ('keep-alive', f'timeout={limit}'),
    ]
    for name in (b'r1', b'r2'):
        _, body = await fetch(exchanges, worker, name)
        assert body == b'did /desk/' + name
    assert worker.connections == 1


async def test_refused_connection_is_unreachable(worker, exchanges):
    unreachable = standins.Worker('i-9', 'desk')
    unreachable.port = 1
    with pytest.raises(errors.UpstreamUnreachable):
        await fetch(exchanges, unreachable)


async def test_non_repeatable_request_avoids_idle_connections(
    worker, exchanges, monkeypatch
):
    monkeypatch.setattr(pooled_connections, 'NON_REPEATABLE_IDLE_SECONDS', 0.01)
    await fetch(exchanges, worker)
    await trio.sleep(0.05)
    await fetch(exchanges, worker, b'r2', repeatable=False)
    assert worker.connections == 2


async def test_connection_that_the_upstream_closed_is_not_used(
    nursery, worker, exchanges
):
    await fetch(exchanges, worker)
    (connection,) = exchanges.idle['i-1']
    await connection.stream.send_all(b'not http\r\n\r\n')
    await trio.sleep(0.05)
    assert (await fetch(exchanges, worker, b'r2'))[1] == b'did /desk/r2'
    assert worker.connections == 2


async def test_early_answer_to_a_long_body_is_read_and_not_reused(
    nursery, exchanges
):
    # The upstream refuses a request without reading its long body. Bytes of the
    # body are still expected on that connection: the upstream would take the
    # next request there for them.
    open_streams = []

    async def answer_early(stream):
        await stream.receive_some(1024)
        await stream.send_all(
            b'HTTP/1.1 503 Full\r\nlavenderbend-request-id: r1\r\n'
            b'lavenderbend-not-executed: 1\r\ncontent-length: 2\r\n\r\nno'
        )
        open_streams.append(stream)
        await trio.sleep_forever()

    serve = functools.partial(
        trio.serve_tcp, answer_early, 0, host=standins.HOST
    )
    listeners = await nursery.start(serve)
    worker = standins.Worker('i-1', 'desk')
    worker.port = listeners[0].socket.getsockname()[1]
    with trio.fail_after(5.0):
        head, body = await fetch(
            exchanges, worker, body=b'x' * (8 * 1024 * 1024)
        )
    assert (head.status, body) == (503, b'no')
    assert not exchanges.idle


async def test_connections_of_removed_instances_are_closed(worker, exchanges):
    await fetch(exchanges, worker)
    exchanges.retain(set())
    assert not exchanges.idle


class Endless:
    """A peer that accepts one connection and writes without end.

    Attributes:
        written: Bytes that it has written.
        closed: Set when its connection is closed.
    """

    def __init__(self, head, part):
        self.head = head
        self.part = part
        self.written = 0
        self.closed = trio.Event()
        self.instance = 'i-1'
        self.service = 'desk'
        self.port = 0

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED):
        listeners = await trio.open_tcp_listeners(0, host=standins.HOST)
        self.port = listeners[0].socket.getsockname()[1]
        await trio.serve_listeners(
            self.write, listeners, task_status=task_status
        )

    async def write(self, stream):
        try:
            await stream.receive_some(65536)
            await stream.send_all(self.head)
            while True:
                await stream.send_all(self.part)
                self.written += len(self.part)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self.closed.set()


LONG = b'x' * 4096
STRAY = b'HTTP/1.1 200 OK\r\nlavenderbend-request-id: r0\r\n'
SIGNED = b'HTTP/1.1 200 OK\r\nlavenderbend-request-id: r1\r\n'
CHUNKED = b'transfer-encoding: chunked\r\n\r\n'


@pytest.mark.parametrize(
    ('head', 'part'),
    [
        (b'HTTP/1.1 200 ', LONG),
        (b'HTTP/1.1 200 OK\r\n', b'a: b\r\n' * 500),
        (b'HTTP/1.1 200 OK\r\na: ', LONG),
        (b'\x00\x01\x02', LONG),
        (b'\x00\r\n', b'y\r\n' * 500),
        (b'', b'HTTP/1.1 103 Early Hints\r\n\r\n' * 50),
        (SIGNED + CHUNKED, b'0' * 4096),
        (SIGNED + CHUNKED + b'0\r\n', b'a: b\r\n' * 500),
        (STRAY + CHUNKED, b'1000\r\n' + LONG + b'\r\n'),
        (STRAY + b'\r\n', LONG),
        (b'HTTP/1.1 200 OK\r\n' + CHUNKED, b'1000\r\n' + LONG + b'\r\n'),
        (
            STRAY + b'content-length: 0\r\n\r\n',
            STRAY + b'content-length: 0\r\n\r\n',
        ),
    ],
)
async def test_bytes_without_end_are_given_up(nursery, exchanges, head, part):
    """Guards against a router that reads on what never becomes an answer."""
    endless = Endless(head, part)
    await nursery.start(endless.serve)
    with pytest.raises((errors.UpstreamBroke, errors.AnswerMismatch)):
        await fetch(exchanges, endless)
    await endless.closed.wait()
    nursery.cancel_scope.cancel()


async def test_bytes_past_the_end_close_the_connection(nursery, exchanges):
    """Guards against bytes that are read as the next answer."""
    endless = Endless(SIGNED + b'content-length: 2\r\n\r\nok', LONG)
    await nursery.start(endless.serve)
    assert (await fetch(exchanges, endless))[1] == b'ok'
    exchanges.close_expired()
    await endless.closed.wait()
    nursery.cancel_scope.cancel()
