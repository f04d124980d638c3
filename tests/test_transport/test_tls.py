from __future__ import annotations

import pytest
import trio
import trustme

from lavenderbend import errors
from lavenderbend.protocol import messages_membership as messages
from lavenderbend.transport import links
from lavenderbend.transport import peer_frames
from lavenderbend.transport import peer_grpc  # noqa: F401 (registers)
from lavenderbend.transport import peer_limits
from lavenderbend.transport import tls


class Files:
    """Certificates in a directory of the test."""

    def __init__(self, directory):
        self.directory = directory
        self.ca = trustme.CA()
        self.ca.cert_pem.write_to_path(str(directory / 'ca.pem'))

    def issue(self, name, file_name=None, ca=None):
        issued = (ca or self.ca).issue_cert(name)
        base = self.directory / (file_name or name)
        chain = issued.cert_chain_pems[0]
        chain.write_to_path(f'{base}.pem')
        issued.private_key_pem.write_to_path(f'{base}.key')
        return self.peer(file_name or name)

    def peer(self, file_name):
        base = self.directory / file_name
        return tls.PeerTls(
            f'{base}.pem', f'{base}.key', str(self.directory / 'ca.pem')
        )


@pytest.fixture
def files(tmp_path):
    return Files(tmp_path)


async def answer_ping(peer_id, ping):
    return messages.Ack([peer_id])


async def make(nursery, name, peer_tls, cls=peer_frames.FramesLink):
    link = cls(name, '127.0.0.1', 0, peer_tls)
    link.handle(messages.Ping, answer_ping)
    nursery.start_soon(link.run)
    await link.started.wait()
    return link


def connect_to(first, *others):
    first.set_peers({link.name: ('127.0.0.1', link.port) for link in others})


@pytest.mark.parametrize('kind', list(links.LINKS))
async def test_peers_with_certificates_talk(nursery, files, kind):
    cls = links.LINKS.get(kind)
    first = await make(nursery, 'r1', files.issue('r1'), cls)
    second = await make(nursery, 'r2', files.issue('r2'), cls)
    connect_to(first, second)

    answer = await first.request('r2', messages.Ping(), 10)

    assert answer == messages.Ack(['r1'])


async def test_plain_peer_is_refused(nursery, files):
    first = await make(nursery, 'r1', None)
    second = await make(nursery, 'r2', files.issue('r2'))
    connect_to(first, second)

    with pytest.raises(errors.PeerUnreachable):
        await first.request('r2', messages.Ping(), 10)

    assert second.connections == 0
    assert second.dropped['bad handshake'] == 1


async def test_certificate_of_another_authority_is_refused(nursery, files):
    first = await make(nursery, 'r1', files.issue('r1', ca=trustme.CA()))
    second = await make(nursery, 'r2', files.issue('r2'))
    connect_to(first, second)

    with pytest.raises(errors.PeerUnreachable):
        await first.request('r2', messages.Ping(), 10)

    assert second.connections == 0


@pytest.mark.parametrize('kind', list(links.LINKS))
async def test_router_cannot_take_the_name_of_another(nursery, files, kind):
    # A router with a leaked key claims the id of another router, to get the
    # permits and answers meant for that. Its certificate has only its own id.
    cls = links.LINKS.get(kind)
    impostor = await make(nursery, 'r3', files.issue('r1'), cls)
    second = await make(nursery, 'r2', files.issue('r2'), cls)
    connect_to(impostor, second)

    with pytest.raises(errors.PeerUnreachable):
        await impostor.request('r2', messages.Ping(), 10)

    assert second.dropped['bad hello'] == 1


@pytest.mark.parametrize('kind', list(links.LINKS))
async def test_dialed_router_must_have_the_right_name(nursery, files, kind):
    cls = links.LINKS.get(kind)
    first = await make(nursery, 'r1', files.issue('r1'), cls)
    second = await make(nursery, 'r2', files.issue('r9'), cls)
    connect_to(first, second)

    with pytest.raises(errors.PeerUnreachable):
        await first.request('r2', messages.Ping(), 10)


async def test_new_certificates_are_used_without_a_restart(nursery, files):
    # Certificates are valid for days, and their files are replaced while
    # routers run. New connections must use them; open ones must stay open.
    first = await make(nursery, 'r1', files.issue('r1'))
    second = await make(nursery, 'r2', files.issue('r2'))
    connect_to(first, second)
    await first.request('r2', messages.Ping(), 10)

    files.ca = trustme.CA()
    files.ca.cert_pem.write_to_path(str(files.directory / 'ca.pem'))
    files.issue('r1')
    files.issue('r2')
    third = await make(nursery, 'r3', files.issue('r3'))
    connect_to(third, second)

    assert await third.request('r2', messages.Ping(), 10)
    assert await first.request('r2', messages.Ping(), 10)
    assert second.tls.generation == 2


async def test_half_replaced_files_keep_the_old_certificates(nursery, files):
    # A peer connects when the certificate has been replaced and its key has
    # not. The pair does not match; the old one must be used until it does.
    first = await make(nursery, 'r1', files.issue('r1'))
    second = await make(nursery, 'r2', files.issue('r2'))
    connect_to(first, second)
    issued = files.ca.issue_cert('r2')
    issued.cert_chain_pems[0].write_to_path(f'{files.directory}/r2.pem')

    assert await first.request('r2', messages.Ping(), 10)
    assert second.tls.generation == 1

    issued.private_key_pem.write_to_path(f'{files.directory}/r2.key')
    third = await make(nursery, 'r3', files.issue('r3'))
    connect_to(third, second)
    assert await third.request('r2', messages.Ping(), 10)
    assert second.tls.generation == 2


async def test_missing_files_are_named(files):
    with pytest.raises(errors.TlsFilesInvalid, match=r'nobody\.pem'):
        files.peer('nobody')


async def test_key_of_another_certificate_is_named(files):
    files.issue('r1')
    files.issue('r2')
    path = files.directory / 'r1.key'
    path.write_bytes((files.directory / 'r2.key').read_bytes())

    with pytest.raises(errors.TlsFilesInvalid, match=r'r1\.key'):
        files.peer('r1')


@pytest.mark.parametrize('host', ['0.0.0.0', '10.1.2.3', '::', 'router.lan'])
@pytest.mark.parametrize('kind', list(links.LINKS))
async def test_peers_beyond_loopback_need_tls(kind, host):
    # A router without certificates listens on the address of a VM: anyone who
    # reaches the port could take permits and change the state of routers.
    with pytest.raises(errors.PeerTlsRequired, match='mutual TLS'):
        links.LINKS.get(kind)('r1', host, 0)

    links.LINKS.get(kind)('r1', host, 0, allow_plain=True)


@pytest.mark.parametrize('host', ['127.0.0.1', '127.8.0.1', '::1'])
async def test_loopback_does_not_need_tls(host):
    assert peer_frames.FramesLink('r1', host, 0).tls is None


async def test_peer_that_stalls_in_the_handshake_is_dropped(nursery, files):
    limits = peer_limits.LinkLimits(dial_timeout=0.1)
    link = peer_frames.FramesLink(
        'r1', '127.0.0.1', 0, files.issue('r1'), limits
    )
    nursery.start_soon(link.run)
    await link.started.wait()
    stream = await trio.open_tcp_stream('127.0.0.1', link.port)
    await stream.send_all(b'\x16\x03\x01')

    with trio.fail_after(10):
        assert await stream.receive_some(100) == b''

    assert link.dropped['bad handshake'] == 1


async def test_idle_handshakes_are_bounded(nursery, files):
    # Connections to the peer port that send nothing occupy memory until their
    # handshakes time out; their number must be limited.
    limits = peer_limits.LinkLimits(max_handshakes=3, dial_timeout=60.0)
    link = peer_frames.FramesLink(
        'r1', '127.0.0.1', 0, files.issue('r1'), limits
    )
    nursery.start_soon(link.run)
    await link.started.wait()
    streams = [
        await trio.open_tcp_stream('127.0.0.1', link.port) for _ in range(8)
    ]
    ended = []

    async def read(stream):
        ended.append(await stream.receive_some(100))

    with trio.move_on_after(30) as scope:
        async with trio.open_nursery() as reading:
            for stream in streams:
                reading.start_soon(read, stream)
            with trio.fail_after(20):
                while link.dropped['too many handshakes'] < 5:
                    await trio.lowlevel.checkpoint()
            scope.cancel()

    assert link.opener.accepting == 3
    for stream in streams:
        await stream.aclose()
