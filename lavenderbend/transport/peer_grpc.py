"""The peer link of gRPC: one bidirectional stream for each pair."""

from __future__ import annotations

from concurrent import futures
import pathlib
import queue
import threading
from typing import TYPE_CHECKING

import grpc
import trio

from lavenderbend import errors
from lavenderbend.transport import links
from lavenderbend.transport import peer_frames
from lavenderbend.transport import peer_wires

if TYPE_CHECKING:
    from collections.abc import Iterator

    from lavenderbend.transport import tls as peer_tls

METHOD = '/lavenderbend.Peer/Exchange'
MESSAGE_OVERHEAD = 14  # bytes: a gRPC prefix and an HTTP/2 frame header
WAITING = 64  # batches that may wait on their way into trio
MAX_THREADS = 1024
CHANNEL_OPTIONS = (
    ('grpc.max_receive_message_length', peer_frames.MAX_FRAME_BYTES),
    ('grpc.max_send_message_length', peer_frames.MAX_FRAME_BYTES),
    ('grpc.enable_http_proxy', 0),
    ('grpc.enable_retries', 0),
    ('grpc.use_local_subchannel_pool', 1),
    ('grpc.so_reuseport', 0),
)


class StreamWire(peer_wires.Wire):
    """One gRPC stream, bridged from its threads to trio.

    gRPC's own event loop is asyncio's, so its threaded API is used: a
    thread of gRPC takes batches from `outgoing`, another of ours reads.
    """

    def __init__(
        self, token: trio.lowlevel.TrioToken, names: frozenset[str] | None
    ) -> None:
        self.token = token
        self.names = names
        self.bytes_sent = 0
        self.bytes_received = 0
        self.outgoing: queue.SimpleQueue[bytes | None] = queue.SimpleQueue()
        self.taken = trio.Event()
        self.incoming: list[bytes] = []
        self.arrived = trio.Event()
        self.ended = False
        self.room = threading.Semaphore(WAITING)
        self.call: grpc.Call | grpc.ServicerContext | None = None
        self.channel: grpc.Channel | None = None

    # in trio

    async def send(self, batch: bytes) -> None:
        """Sends a batch; returns once gRPC has taken it."""
        if self.ended:
            raise ConnectionResetError('the peer is gone')
        self.bytes_sent += len(batch) + MESSAGE_OVERHEAD
        self.taken = trio.Event()
        self.outgoing.put(batch)
        await self.taken.wait()

    async def receive(self) -> bytes | None:
        """Returns the next batch, None at the end."""
        while not self.incoming:
            if self.ended:
                raise ConnectionResetError('the stream has ended')
            self.arrived = trio.Event()
            await self.arrived.wait()
        batch = self.incoming.pop(0)
        self.room.release()
        return batch

    async def finish(self) -> None:
        """Ends our side of the stream and waits for the peer's end.

        gRPC takes messages long before it has written them, and a cancel
        drops those: answers taken just before a close would be lost.
        """
        self.outgoing.put(None)
        while not self.ended:
            self.arrived = trio.Event()
            await self.arrived.wait()

    async def close(self) -> None:
        """Ends the stream at once."""
        self.end()
        self.outgoing.put(None)
        self.room.release()
        if self.call is not None:
            self.call.cancel()
        if self.channel is not None:
            # waits for gRPC's threads, which must not stop trio's
            await trio.to_thread.run_sync(self.channel.close)

    def deliver(self, batch: bytes) -> None:
        """Takes a batch from the reading thread."""
        self.bytes_received += len(batch) + MESSAGE_OVERHEAD
        self.incoming.append(batch)
        self.arrived.set()

    def end(self) -> None:
        """Notes the end of the stream."""
        self.ended = True
        self.arrived.set()
        self.taken.set()

    # in gRPC's threads

    def soon(self, function, *args) -> None:
        """Has trio call a function, unless it has ended."""
        try:
            self.token.run_sync_soon(function, *args)
        except trio.RunFinishedError:
            pass

    def batches(self) -> Iterator[bytes]:
        """Yields what is to be sent, until None."""
        while True:
            batch = self.outgoing.get()
            if batch is None:
                return
            self.soon(self.note_taken)
            yield batch

    def note_taken(self) -> None:
        """Lets the writer gather and send the next batch."""
        self.taken.set()

    def read(self, stream: Iterator[bytes]) -> None:
        """Hands on all that a stream brings; waits while trio is behind."""
        try:
            for batch in stream:
                self.room.acquire()
                self.soon(self.deliver, batch)
        except grpc.RpcError:
            pass
        except Exception as exc:
            # the server's request iterator raises a bare Exception when
            # the peer is gone; anything else must not be lost
            if type(exc) is not Exception:
                raise
        finally:
            self.outgoing.put(None)
            self.soon(self.end)


async def serve(
    link: links.BatchLink,
    server: grpc.Server,
    pool: futures.ThreadPoolExecutor,
) -> None:
    """Serves a link at its address until cancelled; sets its `port`."""
    address = f'{link.host}:{link.port}'
    if link.tls is None:
        link.port = server.add_insecure_port(address)
    else:
        credentials = server_credentials(link.tls)
        link.port = server.add_secure_port(address, credentials)
    server.start()
    link.started.set()
    try:
        await trio.sleep_forever()
    finally:
        with trio.CancelScope(shield=True):
            await trio.to_thread.run_sync(server.stop(0).wait)
        pool.shutdown(wait=False)


@links.LINKS.register('grpc')
class GrpcLink(links.BatchLink):
    """Batches over gRPC, with threads beside trio's."""

    async def listen(self) -> None:
        """Serves inbound streams."""
        token = trio.lowlevel.current_trio_token()
        # one thread for each peer that has a stream to us
        pool = futures.ThreadPoolExecutor(MAX_THREADS, 'peer-grpc')
        server = grpc.server(pool, options=CHANNEL_OPTIONS)
        server.add_generic_rpc_handlers((Exchange(self, token),))
        await serve(self, server, pool)

    async def dial(self, peer_id: str, host: str, port: int) -> StreamWire:
        """Returns a wire to a peer."""
        if not host:
            raise ConnectionRefusedError(f'{peer_id} has no address')
        token = trio.lowlevel.current_trio_token()
        names = None if self.tls is None else frozenset({peer_id})
        wire = StreamWire(token, names)
        wire.channel = self.channel(peer_id, f'{host}:{port}')
        exchange = wire.channel.stream_stream(METHOD)
        wire.call = exchange(wire.batches())
        threading.Thread(
            target=wire.read, args=(wire.call,), daemon=True
        ).start()
        return wire

    def channel(self, peer_id: str, address: str) -> grpc.Channel:
        """Returns a channel to a peer, which must have its own name."""
        if self.tls is None:
            return grpc.insecure_channel(address, CHANNEL_OPTIONS)
        self.tls.refresh()
        key, certificate, ca = read_files(self.tls)
        credentials = grpc.ssl_channel_credentials(ca, key, certificate)
        name = (('grpc.ssl_target_name_override', peer_id),)
        return grpc.secure_channel(address, credentials, CHANNEL_OPTIONS + name)


class Exchange(grpc.GenericRpcHandler):
    """The one method that routers offer each other.

    Attributes:
        link: The link that serves.
        token: Its trio.
    """

    def __init__(self, link: GrpcLink, token: trio.lowlevel.TrioToken) -> None:
        self.link = link
        self.token = token

    def service(
        self, details: grpc.HandlerCallDetails
    ) -> grpc.RpcMethodHandler | None:
        """Returns the handler of the method."""
        if details.method != METHOD:
            return None
        return grpc.stream_stream_rpc_method_handler(self.serve)

    def serve(
        self, stream: Iterator[bytes], context: grpc.ServicerContext
    ) -> Iterator[bytes]:
        """Serves one stream, in a thread of gRPC's."""
        names = None
        if self.link.tls is not None:
            names = certificate_names(context.auth_context())
        wire = StreamWire(self.token, names)
        wire.call = context
        wire.soon(self.begin, wire)
        threading.Thread(target=wire.read, args=(stream,), daemon=True).start()
        yield from wire.batches()

    def begin(self, wire: StreamWire) -> None:
        """Begins to serve a wire, in trio."""
        if self.link.nursery is not None:
            self.link.nursery.start_soon(self.link.openings.accept, wire)


def certificate_names(context: dict) -> frozenset[str]:
    """Returns the names in the certificate of a caller."""
    keys = ('x509_common_name', 'x509_subject_alternative_name')
    return frozenset(
        name.decode() for key in keys for name in context.get(key, ())
    )


def read_files(tls: peer_tls.PeerTls) -> tuple[bytes, bytes, bytes]:
    """Returns key, certificate and authorities.

    Raises:
        TlsFilesInvalid: One of them cannot be read.
    """
    try:
        return tuple(
            pathlib.Path(path).read_bytes()
            for path in (tls.key, tls.certificate, tls.ca)
        )
    except OSError as exc:
        raise errors.TlsFilesInvalid(str(exc)) from exc


def server_credentials(tls: peer_tls.PeerTls) -> grpc.ServerCredentials:
    """Returns credentials that follow the files."""
    seen = [tls.generation]

    def configuration() -> grpc.ServerCertificateConfiguration:
        key, certificate, ca = read_files(tls)
        return grpc.ssl_server_certificate_configuration(
            [(key, certificate)], ca
        )

    def changed() -> grpc.ServerCertificateConfiguration | None:
        tls.refresh()
        if tls.generation == seen[0]:
            return None
        seen[0] = tls.generation
        return configuration()

    return grpc.dynamic_ssl_server_credentials(
        configuration(), changed, require_client_authentication=True
    )
