"""Connections to upstreams through another router, over sockets."""

from __future__ import annotations

import socket
import struct

import attrs
import pytest
import trio
import trio.testing

from lavenderbend import errors
from lavenderbend.coordination.forwarding import interfaces
from lavenderbend.protocol import messages_forwarding
from lavenderbend.state import forwarding
from lavenderbend.state import upstreams
from lavenderbend.transport import relay_server
from lavenderbend.transport import upstream_exchanges
from tests import platform_standins as standins
from tests import relay_standins

ID = b'lavenderbend-request-id'
HOST = '127.0.0.1'
RESET_AT_CLOSE = struct.pack('ii', 1, 0)
Outcome = messages_forwarding.RelayOutcome


@pytest.fixture
async def worker(nursery, request):
    made = getattr(request, 'param', standins.Worker)('i-1', 'desk')
    await nursery.start(made.serve)
    return made


@pytest.fixture
async def relaying(nursery, worker):
    """A router that relays; its task ends when `scope` is cancelled."""
    vm = upstreams.Vm(
        'i-1',
        worker.host,
        worker.port,
        'sala-a',
        'desk',
        upstreams.UpstreamKind.SERVICE,
    )
    upstream = forwarding.Upstream('i-1', vm, 8)
    return await relay_standins.start_relay(nursery, upstream)


@pytest.fixture
def exchanges(relaying):
    return upstream_exchanges.UpstreamExchanges(relaying.port)


def make_request(name=b'r1', body=b''):
    headers = (
        (b'host', b'a.example'),
        (ID, name),
        (b'lavenderbend-expect-instance', b'i-1'),
        (b'content-length', b'%d' % len(body)),
    )
    return interfaces.UpstreamRequest(
        name, ID, b'POST', b'/desk/' + name, headers, body
    )


async def fetch(exchange, name=b'r1', body=b''):
    try:
        await exchange.send(make_request(name, body))
        parts = []
        while (data := await exchange.read()) is not None:
            parts.append(data)
        return b''.join(parts)
    finally:
        exchange.close()


async def connect(exchanges, relaying):
    upstream = relaying.relays.upstream
    return await exchanges.connect_through(upstream, HOST)


async def test_request_is_relayed_and_the_connection_kept(
    exchanges, relaying, worker
):
    exchange = await connect(exchanges, relaying)
    assert exchange.relay == HOST
    assert await fetch(exchange) == b'did /desk/r1'
    again = exchanges.reuse(relaying.relays.upstream, False)
    assert await fetch(again, b'r2', bytes(200_000)) == b'did /desk/r2'
    assert worker.connections == 1


@pytest.mark.parametrize(
    ('outcome', 'error'),
    [
        (Outcome.UNREACHABLE, errors.UpstreamUnreachable),
        (Outcome.WITHDRAWN, errors.UpstreamWithdrawn),
        (Outcome.UNABLE, errors.RelayUnavailable),
    ],
)
async def test_refusal_to_relay_names_its_cause(
    exchanges, relaying, worker, outcome, error
):
    relaying.relays.outcome = outcome
    with pytest.raises(error):
        await connect(exchanges, relaying)
    assert worker.connections == 0


async def test_relayed_connections_are_limited_while_they_are_opened(
    exchanges, relaying, monkeypatch
):
    """Guards against more descriptors used up than are left for callers."""
    monkeypatch.setattr(relay_server, 'MAX_CONNECTIONS', 2)
    opened, refused = [], []

    async def open_one():
        try:
            opened.append(await connect(exchanges, relaying))
        except errors.RelayUnavailable as exc:
            refused.append(exc)

    async with trio.open_nursery() as nursery:
        for _ in range(5):
            nursery.start_soon(open_one)
    assert (len(opened), len(refused)) == (2, 3)
    for exchange in opened:
        exchange.close()


async def test_upstream_that_refuses_connections_is_reported(
    exchanges, relaying
):
    with socket.socket() as closed:
        closed.bind((HOST, 0))
        vm = relaying.relays.upstream.vm
        port = closed.getsockname()[1]
    relaying.relays.upstream = forwarding.Upstream(
        'i-1', attrs.evolve(vm, port=port), 8
    )
    with pytest.raises(errors.UpstreamUnreachable) as caught:
        await connect(exchanges, relaying)
    assert not isinstance(caught.value, errors.RelayUnavailable)


class Slow(standins.Worker):
    """Answers after a while."""

    async def answer(self, request, stream, protocol):
        await trio.sleep(0.2)
        await self.well(request, stream, protocol)


class Raw(standins.Worker):
    """Sends an answer without a length, then ends the connection."""

    reset = False

    async def answer(self, request, stream, protocol):
        await stream.send_all(
            b'HTTP/1.1 200 OK\r\nlavenderbend-request-id: r1\r\n'
            b'lavenderbend-response-signature: s\r\n\r\nall of it'
        )
        await self.end(stream)

    async def end(self, stream):
        if self.reset:
            await trio.sleep(0.05)
            stream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE
            )
        stream.socket.close()


class Resetting(Raw):
    """Resets the connection behind its answer."""

    reset = True


class Unending(Raw):
    """Sends an answer without a length, and does not end it."""

    async def end(self, stream):
        await trio.sleep_forever()


@pytest.mark.parametrize('worker', [Raw], indirect=True)
async def test_close_by_the_upstream_ends_an_answer_without_length(
    exchanges, relaying
):
    exchange = await connect(exchanges, relaying)
    assert await fetch(exchange) == b'all of it'


@pytest.mark.parametrize('worker', [Resetting], indirect=True)
async def test_reset_by_the_upstream_is_a_lost_connection(exchanges, relaying):
    exchange = await connect(exchanges, relaying)
    with pytest.raises(errors.UpstreamLost):
        await fetch(exchange)


@pytest.mark.parametrize('worker', [Unending], indirect=True)
async def test_end_of_a_relay_does_not_complete_an_answer(exchanges, relaying):
    # Guards against a truncated answer that looks whole to its caller.
    exchange = await connect(exchanges, relaying)
    await exchange.send(make_request())
    assert await exchange.read() == b'all of it'
    relaying.scope.cancel()
    with pytest.raises(errors.RelayLost):
        await exchange.read()


@pytest.mark.parametrize('worker', [Unending], indirect=True)
async def test_requester_that_closes_ends_the_connection_to_the_upstream(
    exchanges, relaying
):
    # Guards against an upstream that works on for a caller that has left.
    exchange = await connect(exchanges, relaying)
    await exchange.send(make_request())
    assert len(relaying.server.connections) == 1
    exchange.close()
    with trio.fail_after(5.0):
        await relaying.server.all_closed.wait()


@pytest.mark.parametrize('worker', [Slow], indirect=True)
async def test_stop_of_a_relay_completes_the_exchange_in_progress(
    exchanges, relaying, nursery
):
    idle = await connect(exchanges, relaying)
    exchange = await connect(exchanges, relaying)
    assert await fetch(idle, b'r2') == b'did /desk/r2'
    answers = []
    stopped = trio.Event()

    async def ask():
        answers.append(await fetch(exchange))

    async def stop():
        await relaying.server.shut_down()
        stopped.set()

    nursery.start_soon(ask)
    await trio.testing.wait_all_tasks_blocked()
    nursery.start_soon(stop)
    with trio.fail_after(5.0):
        while not stopped.is_set():
            await trio.sleep(0.01)
            exchanges.close_expired()
    assert answers == [b'did /desk/r1']


async def test_relay_stops_while_its_connections_close(exchanges, relaying):
    # Guards against a router that a closing connection ends amid its stop.
    opened = [await connect(exchanges, relaying) for _ in range(20)]
    with trio.fail_after(5.0):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(relaying.server.shut_down)
            for exchange in opened:
                exchange.close()
                await trio.lowlevel.checkpoint()


async def test_relay_that_stops_relays_nothing_new(exchanges, relaying):
    await relaying.server.shut_down()
    with pytest.raises(errors.RelayUnavailable):
        await connect(exchanges, relaying)


async def test_relay_that_stops_hands_out_no_connection_it_was_opening(
    exchanges, relaying, worker, nursery
):
    """Guards against a connection that nobody is told not to use again.

    The announcement of the stop goes to the connections of that moment. The
    requester would send requests on it for as long as the stop lasts.
    """
    opening, proceed = trio.Event(), trio.Event()
    connect_upstream = relaying.server.connect

    async def connect_slowly(upstream):
        opening.set()
        with trio.CancelScope(shield=True):
            await proceed.wait()
        return await connect_upstream(upstream)

    async def stop():
        await opening.wait()
        nursery.start_soon(relaying.server.shut_down)
        await trio.testing.wait_all_tasks_blocked()
        proceed.set()

    relaying.server.connect = connect_slowly
    nursery.start_soon(stop)
    with trio.fail_after(5.0):
        with pytest.raises(errors.RelayUnavailable):
            await connect(exchanges, relaying)


async def test_requester_hears_of_a_stop_that_met_the_reply(
    exchanges, relaying
):
    """Guards against the same where the stop begins after the connecting."""
    run = relaying.server.run

    async def stop_and_run(connection):
        relaying.relays.stopping = True
        await run(connection)

    relaying.server.run = stop_and_run
    with trio.fail_after(5.0):
        exchange = await connect(exchanges, relaying)
        await fetch(exchange)
    assert not exchange.connection.reusable(repeatable=True)
