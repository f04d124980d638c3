"""The peer link over gRPC: one bidirectional stream for each pair."""

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
MAX_WAITING_BATCHES = 64  # received by gRPC, not yet read by trio
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
    """One gRPC stream, bridged between gRPC's threads and trio.

    gRPC supports only asyncio as event loop, so its threaded API is used: a
    thread of gRPC sends the batches from `outgoing`, and a thread of this
    class reads those that are received.
    """

    def __init__(
        self, token: trio.lowlevel.TrioToken, names: frozenset[str] | None
    ) -> None:
        self.token = token
        self.names = names
        self.bytes_sent = 0
        self.bytes_received = 0
        self.outgoing: queue.SimpleQueue[bytes | None] = queue.SimpleQueue()
        self.accepted = trio.Event()
        self.incoming: list[bytes] = []
        self.batch_arrived = trio.Event()
        self.ended = False
        self.free_slots = threading.Semaphore(MAX_WAITING_BATCHES)
        self.call: grpc.Call | grpc.ServicerContext | None = None
        self.channel: grpc.Channel | None = None

    # called in the trio thread

    async def send(self, batch: bytes) -> None:
        """Sends a batch; returns once gRPC has accepted it."""
        if self.ended:
            raise ConnectionResetError('the stream has ended')
        self.bytes_sent += len(batch) + MESSAGE_OVERHEAD
        self.accepted = trio.Event()
        self.outgoing.put(batch)
        await self.accepted.wait()

    async def receive(self) -> bytes | None:
        """Returns the next batch, None at the end."""
        while not self.incoming:
            if self.ended:
                raise ConnectionResetError('the stream has ended')
            self.batch_arrived = trio.Event()
            await self.batch_arrived.wait()
        batch = self.incoming.pop(0)
        self.free_slots.release()
        return batch

    async def finish(self) -> None:
        """Ends the sending side of the stream and waits for the peer's end.

        gRPC accepts messages long before it has written them, and drops
        them on a cancel: answers accepted just before a close would be lost.
        """
        self.outgoing.put(None)
        while not self.ended:
            self.batch_arrived = trio.Event()
            await self.batch_arrived.wait()

    async def close(self) -> None:
        """Cancels the stream and closes its channel."""
        self.end()
        self.outgoing.put(None)
        self.free_slots.release()
        if self.call is not None:
            self.call.cancel()
        if self.channel is not None:
            # in a thread: it waits for gRPC's threads and would block trio
            await trio.to_thread.run_sync(self.channel.close)

    def deliver(self, batch: bytes) -> None:
        """Queues a batch for `receive`."""
        self.bytes_received += len(batch) + MESSAGE_OVERHEAD
        self.incoming.append(batch)
        self.batch_arrived.set()

    def end(self) -> None:
        """Marks the stream as ended and wakes the waiting tasks."""
        self.ended = True
        self.batch_arrived.set()
        self.accepted.set()

    # called in gRPC's threads

    def run_in_trio(self, function, *args) -> None:
        """Calls a function in the trio thread, unless trio has ended."""
        try:
            self.token.run_sync_soon(function, *args)
        except trio.RunFinishedError:
            pass

    def batches(self) -> Iterator[bytes]:
        """Yields the batches to send, until None is queued."""
        while True:
            batch = self.outgoing.get()
            if batch is None:
                return
            self.run_in_trio(self.note_accepted)
            yield batch

    def note_accepted(self) -> None:
        """Wakes `send`, which waits until the batch is accepted."""
        self.accepted.set()

    def read(self, stream: Iterator[bytes]) -> None:
        """Passes the received batches to trio.

        Blocks while `MAX_WAITING_BATCHES` batches are not yet read.
        """
        try:
            for batch in stream:
                self.free_slots.acquire()
                self.run_in_trio(self.deliver, batch)
        except grpc.RpcError:
            pass
        except Exception as exc:
            # the server's request iterator raises a bare Exception when
            # the peer disconnects; any other error is raised
            if type(exc) is not Exception:
                raise
        finally:
            self.outgoing.put(None)
            self.run_in_trio(self.end)


async def serve(
    link: links.BatchLink,
    server: grpc.Server,
    pool: futures.ThreadPoolExecutor,
) -> None:
    """Serves a link on its address until cancelled; sets its `port`."""
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
    """Batches over gRPC, which runs in threads of its own."""

    async def listen(self) -> None:
        """Serves inbound streams."""
        token = trio.lowlevel.current_trio_token()
        # one thread for each peer with an inbound stream
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
        """Returns a channel to a peer.

        With TLS the certificate of the peer must name its router id.
        """
        if self.tls is None:
            return grpc.insecure_channel(address, CHANNEL_OPTIONS)
        self.tls.refresh()
        key, certificate, ca = read_files(self.tls)
        credentials = grpc.ssl_channel_credentials(ca, key, certificate)
        name = (('grpc.ssl_target_name_override', peer_id),)
        return grpc.secure_channel(address, credentials, CHANNEL_OPTIONS + name)


class Exchange(grpc.GenericRpcHandler):
    """The gRPC method by which routers exchange batches.

    Attributes:
        link: The link that serves the streams.
        token: Token of the trio run of the link.
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
        """Serves one inbound stream, in a thread of gRPC."""
        names = None
        if self.link.tls is not None:
            names = certificate_names(context.auth_context())
        wire = StreamWire(self.token, names)
        wire.call = context
        wire.run_in_trio(self.start_serving, wire)
        threading.Thread(target=wire.read, args=(stream,), daemon=True).start()
        yield from wire.batches()

    def start_serving(self, wire: StreamWire) -> None:
        """Starts to serve a wire, in the trio thread."""
        if self.link.nursery is not None:
            self.link.nursery.start_soon(self.link.opener.accept, wire)


def certificate_names(context: dict) -> frozenset[str]:
    """Returns the names in the certificate of the peer."""
    keys = ('x509_common_name', 'x509_subject_alternative_name')
    return frozenset(
        name.decode() for key in keys for name in context.get(key, ())
    )


def read_files(tls: peer_tls.PeerTls) -> tuple[bytes, bytes, bytes]:
    """Returns the contents of the key, certificate and CA files.

    Raises:
        TlsFilesInvalid: One of the files cannot be read.
    """
    try:
        return tuple(
            pathlib.Path(path).read_bytes()
            for path in (tls.key, tls.certificate, tls.ca)
        )
    except OSError as exc:
        raise errors.TlsFilesInvalid(str(exc)) from exc


def server_credentials(tls: peer_tls.PeerTls) -> grpc.ServerCredentials:
    """Returns server credentials that are reloaded when the files change."""
    loaded_generation = [tls.generation]

    def load_configuration() -> grpc.ServerCertificateConfiguration:
        key, certificate, ca = read_files(tls)
        return grpc.ssl_server_certificate_configuration(
            [(key, certificate)], ca
        )

    def reload_if_changed() -> grpc.ServerCertificateConfiguration | None:
        tls.refresh()
        if tls.generation == loaded_generation[0]:
            return None
        loaded_generation[0] = tls.generation
        return load_configuration()

    return grpc.dynamic_ssl_server_credentials(
        load_configuration(),
        reload_if_changed,
        require_client_authentication=True,
    )
