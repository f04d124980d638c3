from __future__ import annotations

import attrs
import pytest
import trio

from lavenderbend import errors
from lavenderbend.protocol import messages_membership as messages
from lavenderbend.protocol import peer
from lavenderbend.transport import peer_frames
from lavenderbend.transport import peer_grpc
from lavenderbend.transport import peer_limits


async def answer_ping(peer_id, item):
    return messages.Ack([peer_id, *item.updates])


async def refuse_ping(peer_id, item):
    raise errors.PoolFull('no room', retry_after=2.0)


async def make(nursery, name, limits=None, cls=peer_frames.FramesLink):
    link = cls(name, '127.0.0.1', 0, limits=limits)
    link.handle(messages.Ping, answer_ping)
    nursery.start_soon(link.run)
    await link.started.wait()
    return link


def introduce(*peers):
    addresses = {link.name: ('127.0.0.1', link.port) for link in peers}
    for link in peers:
        link.set_peers(addresses)


@pytest.fixture(params=[peer_frames.FramesLink, peer_grpc.GrpcLink])
def cls(request):
    return request.param


@pytest.fixture
async def pair(nursery, cls):
    first = await make(nursery, 'r1', cls=cls)
    second = await make(nursery, 'r2', cls=cls)
    introduce(first, second)
    return first, second


@pytest.fixture
async def frames(nursery):
    first = await make(nursery, 'r1')
    second = await make(nursery, 'r2')
    introduce(first, second)
    return first, second


async def test_requests_are_answered_both_ways_on_one_connection(pair):
    first, second = pair

    assert await first.request('r2', messages.Ping(['a']), 5) == messages.Ack(
        ['r1', 'a']
    )
    assert await second.request('r1', messages.Ping(['b']), 5) == messages.Ack(
        ['r2', 'b']
    )
    assert first.connections == second.connections == 1


async def test_request_to_own_router_calls_the_handler(pair):
    first, _ = pair

    answer = await first.request('r1', messages.Ping(['x']), 5)

    assert answer == messages.Ack(['r1', 'x'])
    assert first.messages_sent == 0


async def test_handler_error_is_returned_typed(pair):
    first, second = pair
    second.handle(messages.Ping, refuse_ping)

    with pytest.raises(errors.PeerRefused) as caught:
        await first.request('r2', messages.Ping(), 5)

    assert caught.value.args[0] == 'PoolFull'
    assert caught.value.args[1].retry_after == 2.0


async def test_notices_arrive_in_order(pair):
    first, second = pair
    received = []
    done = trio.Event()

    async def note(peer_id, item):
        received.append(item.updates[0])
        if len(received) == 1000:
            done.set()

    second.handle(messages.Updates, note)
    for number in range(1000):
        first.notify('r2', messages.Updates([number]))
    with trio.fail_after(10):
        await done.wait()

    assert received == list(range(1000))


async def test_refused_connection_fails_at_once(pair):
    # A router's process has ended and its port refuses connections. The entry
    # router's request must fail within milliseconds, not after its timeout, so
    # that it can try another router.
    first, _ = pair
    first.set_peers({'r9': ('127.0.0.1', 1)})

    with trio.fail_after(10):
        with pytest.raises(errors.PeerUnreachable, match='no connection'):
            await first.request('r9', messages.Ping(), 3600)


async def test_unknown_peer_is_unreachable(pair):
    first, _ = pair

    with pytest.raises(errors.PeerUnreachable, match='no address'):
        await first.request('nobody', messages.Ping(), 1)


async def test_simultaneous_dials_lose_no_request(nursery, cls):
    # Two routers dial each other at the same time, so for a while there are
    # two connections and each side closes one. If they chose different ones,
    # or closed one with requests in flight, requests would be lost.
    for _ in range(5):
        async with trio.open_nursery() as inner:
            first = await make(inner, 'r1', cls=cls)
            second = await make(inner, 'r2', cls=cls)
            introduce(first, second)
            answers = []

            async def send_requests(link, peer_id, number, answers=answers):
                item = messages.Ping([number])
                answers.append(await link.request(peer_id, item, 30))

            async with trio.open_nursery() as sending:
                for number in range(200):
                    sending.start_soon(send_requests, first, 'r2', number)
                    sending.start_soon(send_requests, second, 'r1', number)
            assert len(answers) == 400
            with trio.fail_after(10):
                await first.wait_connections(1)
                await second.wait_connections(1)
            inner.cancel_scope.cancel()


async def test_closing_connections_lose_no_request(pair):
    # One side closes an idle or old connection just as the other side sends a
    # request. The request, or its answer, must use the next connection.
    first, second = pair
    answers = []

    async def slow(peer_id, item):
        await trio.sleep(0.002 * (item.updates[0] % 5))
        return messages.Ack(item.updates)

    first.handle(messages.Ping, slow)
    second.handle(messages.Ping, slow)

    async def send_requests(link, peer_id, numbers):
        for number in numbers:
            item = messages.Ping([number])
            answer = await link.request(peer_id, item, 30)
            answers.append(answer.updates[0])

    async def close():
        for number in range(20):
            await trio.sleep(0.01)
            for connection in list(
                (first, second)[number % 2].open_connections
            ):
                connection.retire()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(close)
        for worker in range(8):
            numbers = range(worker, 400, 8)
            nursery.start_soon(send_requests, first, 'r2', numbers)
            nursery.start_soon(send_requests, second, 'r1', numbers)

    assert sorted(answers) == sorted([*range(400), *range(400)])
    assert first.dropped == {}


async def test_answer_is_not_sent_to_a_successor_process(nursery):
    # A router's process sends a request and ends. Its successor has the same
    # router id, and its first request has the same number. The late answer to
    # the first request must not be taken for the answer to the second.
    release = trio.Event()

    async def hold(peer_id, item):
        if item.updates == ['old']:
            await release.wait()
        else:
            release.set()
            await trio.sleep(0.05)
        return messages.Ack(item.updates)

    second = await make(nursery, 'r2')
    second.handle(messages.Ping, hold)
    answers = []

    async def run_process(updates):
        async with trio.open_nursery() as inner:
            link = await make(inner, 'r1')
            introduce(link, second)
            item = messages.Ping(updates)
            with trio.move_on_after(0.2 if updates == ['old'] else 30):
                answers.append(await link.request('r2', item, 30))
            inner.cancel_scope.cancel()

    await run_process(['old'])
    await run_process(['new'])

    assert answers == [messages.Ack(['new'])]


async def test_invalid_bytes_close_only_their_connection(frames):
    # A port scanner or an HTTP probe connects to the peer port; its bytes
    # decode as a huge frame. The connection must be closed and counted, and
    # other peers must still be served.
    first, second = frames
    for data in (
        b'GET / HTTP/1.1\r\n\r\n',
        b'\x00\x00\x00\x02\xc1\xc1',
        b'\x00\x00\x00\x03\x92\x00\x90',
        b'\x00\x00\x00\x00',
    ):
        stream = await trio.open_tcp_stream('127.0.0.1', second.port)
        await stream.send_all(data)
        with trio.fail_after(10):
            assert await stream.receive_some(100) == b''
        await stream.aclose()

    assert second.dropped['bad hello'] == 4
    await first.request('r2', messages.Ping(), 5)


async def test_invalid_bytes_after_the_hello_are_dropped(frames):
    first, second = frames
    stream = await trio.open_tcp_stream('127.0.0.1', second.port)
    wire = peer_frames.FrameWire(
        peer_frames.CountingStream(stream), stream, None
    )
    hello = messages.Hello('r3', 1, 7)
    await wire.send(second.packer.pack([0, peer.to_wire(hello)]))
    assert await wire.receive()
    await wire.send(b'\x93\x01\x02\x03')
    with trio.fail_after(10):
        assert await wire.receive() is None

    assert second.dropped['garbage'] == 1
    await first.request('r2', messages.Ping(), 5)


async def test_wrong_router_at_an_address_gets_no_request(pair):
    # An address is reused: the VM list still has r3 at the address where r2
    # now listens. A request for r3 must not be handled by r2.
    first, second = pair
    handled = []
    second.handle(messages.Ping, handled.append)
    first.set_peers({'r3': ('127.0.0.1', second.port)})

    with pytest.raises(errors.PeerUnreachable, match='r2 answers'):
        await first.request('r3', messages.Ping(), 5)

    assert handled == []


async def test_connection_to_silent_peer_is_closed(nursery):
    # A firewall starts to drop the packets of an open connection, so nothing
    # is received and no error is raised. After some timeouts the connection
    # must be closed, so that the next request dials a new one.
    limits = peer_limits.LinkLimits(
        max_timeouts=2, silence_seconds=0.1, dial_timeout=0.2
    )
    first = await make(nursery, 'r1', limits)

    async def silent(stream):
        counting = peer_frames.CountingStream(stream)
        wire = peer_frames.FrameWire(counting, stream, None)
        await wire.receive()
        hello = messages.Hello('r2', 1, 7)
        await wire.send(first.packer.pack([0, peer.to_wire(hello)]))
        await trio.sleep_forever()

    listeners = await nursery.start(
        trio.serve_tcp,
        silent,
        0,
    )
    port = listeners[0].socket.getsockname()[1]
    first.set_peers({'r2': ('127.0.0.1', port)})
    for _ in range(3):
        with pytest.raises(errors.PeerUnreachable, match='no answer'):
            await first.request('r2', messages.Ping(), 0.05)
    with trio.fail_after(10):
        await first.wait_connections(0)

    assert first.dropped['silent'] == 1


async def test_full_outbox_refuses_and_counts(nursery):
    limits = peer_limits.LinkLimits(outbox_bytes=1000)
    first = await make(nursery, 'r1', limits)
    second = await make(nursery, 'r2')
    introduce(first, second)
    for _ in range(50):
        first.notify('r2', messages.Updates(['x' * 100]))

    assert first.dropped['outbox full'] > 0
    with pytest.raises(errors.PeerUnreachable, match='outbox full'):
        await first.request('r2', messages.Ping(['x' * 1000]), 5)


async def test_too_large_message_is_refused_before_it_is_sent(pair):
    first, _ = pair
    item = messages.Ping(['x' * (peer.MAX_MESSAGE_BYTES + 1)])

    with pytest.raises(errors.PeerUnreachable, match='too large'):
        await first.request('r2', item, 5)


async def test_close_sends_goodbye(pair):
    first, second = pair
    await first.request('r2', messages.Ping(), 5)

    await first.close()

    assert first.connections == 0
    with trio.fail_after(10):
        await second.wait_connections(0)


async def test_lost_connection_fails_its_requests(pair):
    # A peer crashes while requests wait for its answers. They must fail at
    # once with a typed error, not after their timeouts.
    first, second = pair
    arrived = trio.Event()

    async def hang(peer_id, item):
        arrived.set()
        await trio.sleep_forever()

    second.handle(messages.Ping, hang)

    async def cut():
        await arrived.wait()
        for connection in list(second.open_connections):
            connection.abort()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(cut)
        with trio.fail_after(10):
            with pytest.raises(errors.PeerUnreachable, match='lost'):
                await first.request('r2', messages.Ping(), 3600)


def test_hello_without_instance_is_decoded():
    values = peer.to_wire(messages.Hello('r1', 1, 5))[:-1]

    assert peer.from_wire(values) == attrs.evolve(
        messages.Hello('r1', 1, 5), instance=0
    )
