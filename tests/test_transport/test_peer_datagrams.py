"""UDP messages and snapshots between forwarding routers, over sockets."""

from __future__ import annotations

import msgpack
import pytest
import trio
import trio.testing

from lavenderbend import errors
from lavenderbend.protocol import messages_forwarding
from lavenderbend.protocol import peer
from lavenderbend.state import forwarding
from lavenderbend.transport import peer_datagrams
from tests import forwarding_fakes as fakes

NOTICE = messages_forwarding.SnapshotRequest(7)


class Received:
    def __init__(self):
        self.messages = []
        self.first = trio.Event()

    def receive(self, message):
        self.messages.append(message)
        self.first.set()


@pytest.fixture
async def links(nursery):
    """Two links on two loopback addresses, with the same port."""
    content = fakes.snapshot(3, fakes.table(1), fakes.upstream('e1'))
    first = peer_datagrams.PeerDatagrams('127.0.0.1', 0, lambda: content)
    probe = trio.socket.socket(type=trio.socket.SOCK_STREAM)
    await probe.bind(('127.0.0.1', 0))
    port = probe.getsockname()[1]
    probe.close()
    first.port = port
    second = peer_datagrams.PeerDatagrams('127.0.0.2', port, lambda: None)
    await nursery.start(first.run)
    await nursery.start(second.run)
    return first, second


async def test_message_arrives(links):
    first, second = links
    received = Received()
    second.receiver = received.receive
    first.send('127.0.0.2', NOTICE)
    with trio.fail_after(2.0):
        await received.first.wait()
    assert received.messages == [NOTICE]


async def test_undecodable_datagram_is_ignored(links):
    first, second = links
    received = Received()
    second.receiver = received.receive
    first.socket._sock.sendto(b'\xff\xfe', ('127.0.0.2', first.port))
    first.send('127.0.0.2', NOTICE)
    with trio.fail_after(2.0):
        await received.first.wait()
    assert received.messages == [NOTICE]


async def test_message_to_closed_port_is_no_error(links):
    first, _ = links
    first.send('127.0.0.9', NOTICE)
    await trio.sleep(0.05)
    first.send('127.0.0.9', NOTICE)


async def test_snapshot_is_fetched(links):
    first, second = links
    raw = await second.fetch('127.0.0.1', None)
    assert raw == first.snapshot().raw


async def test_only_what_changed_is_sent(links):
    # Upstream entries change every second beside a configuration of hundreds
    # of routes that rarely changes. Sending that again would take a sixth of
    # a second on a link of 5 Mbit/s.
    base = forwarding.RawSnapshot(
        7, {'a': forwarding.RawItem(3, b'x'), 'b': forwarding.RawItem(5, b'y')}
    )
    newer = forwarding.RawSnapshot(
        9, {'a': forwarding.RawItem(3, b'x'), 'c': forwarding.RawItem(9, b'z')}
    )
    content = peer_datagrams.changes_since(newer, base.revision)
    assert [change[0] for change in content.changed] == ['c']
    assert peer_datagrams.apply_changes(base, content) == newer
    with pytest.raises(errors.CodecError):
        peer_datagrams.apply_changes(None, content)


async def test_router_without_snapshot_is_a_typed_failure(links):
    first, _ = links
    with pytest.raises(errors.CodecError):
        await first.fetch('127.0.0.2', None)


async def test_unreachable_router_is_a_typed_failure(links):
    first, _ = links
    with pytest.raises(errors.PeerUnreachable):
        await first.fetch('127.0.0.9', None)


@pytest.mark.parametrize(
    'data',
    [
        b'',
        b'\x00\x00',
        b'\x00\x00\x00\x05abc',
        b'\x00\x00\x00\x03abc',
        b'\xff\xff\xff\xff',
        peer_datagrams.encode_frame(NOTICE)[:-3],
    ],
)
async def test_broken_message_is_a_typed_failure(data):
    stream, other = trio.testing.memory_stream_pair()
    await other.send_all(data)
    await other.aclose()
    with pytest.raises(errors.CodecError):
        await peer_datagrams.read_message(stream)


@pytest.mark.parametrize('host', ['', 'h', '1', '10.0.0.2:80', '::1'])
@pytest.mark.parametrize(
    'values',
    [
        [104, 'r', 1, None, 'z', False, False, 0.0, 0, 0.5, 0.0, 0.1, 1, 1],
        [110, 1, None, 2, 'zone', 3, 4, 5, 6],
        [111, 1, None, 2, 3, 4, []],
    ],
)
async def test_message_of_a_host_without_an_address_is_ignored(
    links, values, host
):
    """Guards against a name that is looked up, or ends the next message."""
    first, second = links
    received = Received()
    second.receiver = received.receive
    data = msgpack.packb([host if one is None else one for one in values])
    first.socket._sock.sendto(data, ('127.0.0.2', first.port))
    first.send('127.0.0.2', NOTICE)
    with trio.fail_after(2.0):
        await received.first.wait()
    assert received.messages == [NOTICE]


@pytest.mark.parametrize(
    'content',
    [
        [5, [[1, 2, b'']], None, []],
        [5, [['a', 'b', b'']], None, []],
        [5, [['a', 1]], None, []],
        [5, [[['a'], 1, b'']], None, []],
        [5, 'x', None, []],
        [5, [], [[]], []],
        [5, [], 7, []],
        [5, [], None, [['a']]],
        [5, [], None, None],
    ],
)
def test_snapshot_of_another_type_is_a_typed_failure(content):
    """Guards against an answer that ends the router that fetched it."""
    tag = messages_forwarding.SnapshotContent.tag
    data = msgpack.packb([tag, *content, 0])
    with pytest.raises(errors.CodecError):
        peer_datagrams.apply_changes(None, peer.decode(data))


@pytest.mark.parametrize(
    'values',
    [
        [112, 'h', [[1, 2]]],
        [112, 'h', [['a', 1, 2, 3, 4]]],
        [112, 'h', 7],
        [110, 1, 'h', 2, 'zone', 3, 'many', 5, 6],
        [111, 1, 'h', 2, 3, 4, ['x']],
        [104, 'r', 1, 'h', 'z', False, False, 'now', 0, None, 0.0, None, 1, 1],
    ],
)
async def test_message_with_wrong_fields_is_ignored(links, values):
    # A router of another version, or another program, sends a message with a
    # known tag but wrong fields. Receiving it must not end the router.
    first, second = links
    received = Received()
    second.receiver = received.receive
    data = msgpack.packb(values)
    first.socket._sock.sendto(data, ('127.0.0.2', first.port))
    first.send('127.0.0.2', NOTICE)
    with trio.fail_after(2.0):
        await received.first.wait()
    assert received.messages == [NOTICE]
