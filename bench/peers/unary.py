"""A peer link of one gRPC unary call for each message, for comparison.

It is not in the product: it has no hello, no limits and no peers that
leave. Only its processor time and bytes are of interest.
"""

from __future__ import annotations

from concurrent import futures

import grpc
import trio

from lavenderbend import errors
from lavenderbend.coordination import interfaces
from lavenderbend.protocol import peer
from lavenderbend.transport import peer_grpc

METHOD = '/lavenderbend.Peer/Call'
THREADS = 64


class UnaryLink(interfaces.PeerLink):
    """Each request and each notice is a unary call."""

    def __init__(self, name, host, port, tls=None):
        super().__init__(name)
        self.host = host
        self.port = port
        self.tls = tls
        self.started = trio.Event()
        self.addresses = {}
        self.stubs = {}
        self.token = None

    def set_peers(self, addresses):
        """Sets the addresses of the peers."""
        self.addresses = dict(addresses)

    def stub(self, peer_id):
        """Returns the call of a peer."""
        if peer_id not in self.stubs:
            host, port = self.addresses[peer_id]
            channel = peer_grpc.GrpcLink.channel(
                self, peer_id, f'{host}:{port}'
            )
            self.stubs[peer_id] = channel.unary_unary(METHOD)
        return self.stubs[peer_id]

    async def request(self, peer_id, item, timeout):
        """Sends a request and returns its answer."""
        done = trio.Event()
        call = self.stub(peer_id).future(peer.encode(item), timeout=timeout)
        call.add_done_callback(lambda _: self.token.run_sync_soon(done.set))
        await done.wait()
        try:
            return peer.decode(call.result())
        except grpc.RpcError as exc:
            raise errors.PeerUnreachable(peer_id) from exc

    def notify(self, peer_id, item):
        """Sends a notice."""
        self.stub(peer_id).future(peer.encode(item), timeout=10)

    def serve(self, data, context):
        """Answers a call, in a thread of gRPC's."""
        message = peer.decode(data)
        answer = trio.from_thread.run(
            self.handlers[type(message)], '', message, trio_token=self.token
        )
        return peer.encode(peer.Done() if answer is None else answer)

    async def run(self):
        """Serves until cancelled."""
        self.token = trio.lowlevel.current_trio_token()
        pool = futures.ThreadPoolExecutor(THREADS)
        server = grpc.server(pool, options=peer_grpc.CHANNEL_OPTIONS)
        handler = grpc.method_handlers_generic_handler(
            'lavenderbend.Peer',
            {'Call': grpc.unary_unary_rpc_method_handler(self.serve)},
        )
        server.add_generic_rpc_handlers((handler,))
        await peer_grpc.serve(self, server, pool)
