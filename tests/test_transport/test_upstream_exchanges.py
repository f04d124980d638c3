"""Requests to upstreams over sockets, with upstreams that misbehave."""

from __future__ import annotations

import functools

import pytest
import trio

from lavenderbend import errors
from lavenderbend.coordination.forwarding import interfaces
from lavenderbend.state import forwarding
from lavenderbend.state import upstreams
from lavenderbend.transport import kept_connections
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


async def test_second_answer_meets_no_other_request(worker, exchanges):
    # The upstream answers twice. The bytes behind the first answer belong
    # to nobody: on a kept connection they would be the next caller's.
    worker.plans = ['twice']
    await fetch(exchanges, worker)
    assert (await fetch(exchanges, worker, b'r2'))[1] == b'did /desk/r2'
    assert worker.connections == 2


async def test_late_second_answer_is_read_over(worker, exchanges):
    # The second answer comes only when the next request has been sent, just
    # where its answer is due. Its id tells it from the one that is.
    worker.plans = ['late_second']
    await fetch(exchanges, worker)
    head, body = await fetch(exchanges, worker, b'r2')
    assert body == b'did /desk/r2'
    assert worker.connections == 1


@pytest.mark.parametrize('plan', ['resets', 'no_http'])
async def test_answer_that_is_none_may_have_run(worker, exchanges, plan):
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


async def test_nobody_listening_is_no_run(worker, exchanges):
    gone = standins.Worker('i-9', 'desk')
    gone.port = 1
    with pytest.raises(errors.UpstreamUnreachable):
        await fetch(exchanges, gone)


async def test_request_that_may_run_once_avoids_idle_connections(
    worker, exchanges, monkeypatch
):
    monkeypatch.setattr(kept_connections, 'ONCE_IDLE_SECONDS', 0.01)
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


async def test_early_answer_to_a_long_body_is_read_and_nothing_reused(
    nursery, exchanges
):
    # The upstream refuses before it has read a long body, and reads no
    # further. Bytes of the body are still due on that connection: the next
    # request there would be taken for them.
    stopped = []

    async def early(stream):
        await stream.receive_some(1024)
        await stream.send_all(
            b'HTTP/1.1 503 Full\r\nlavenderbend-request-id: r1\r\n'
            b'lavenderbend-not-executed: 1\r\ncontent-length: 2\r\n\r\nno'
        )
        stopped.append(stream)
        await trio.sleep_forever()

    serve = functools.partial(trio.serve_tcp, early, 0, host=standins.HOST)
    listeners = await nursery.start(serve)
    worker = standins.Worker('i-1', 'desk')
    worker.port = listeners[0].socket.getsockname()[1]
    with trio.fail_after(5.0):
        head, body = await fetch(
            exchanges, worker, body=b'x' * (8 * 1024 * 1024)
        )
    assert (head.status, body) == (503, b'no')
    assert not exchanges.idle


async def test_leaving_instances_lose_their_connections(worker, exchanges):
    await fetch(exchanges, worker)
    exchanges.retain(set())
    assert not exchanges.idle
