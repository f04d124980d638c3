"""Relays connections between other routers and upstreams."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import trio

from lavenderbend import errors
from lavenderbend.observe import logs
from lavenderbend.observe import metrics
from lavenderbend.protocol import messages_forwarding
from lavenderbend.transport import peer_datagrams
from lavenderbend.transport import pooled_connections
from lavenderbend.transport import relayed_streams
from lavenderbend.transport import socket_options

if TYPE_CHECKING:
    from lavenderbend.coordination.forwarding import relays as relays_module
    from lavenderbend.state import forwarding
    from lavenderbend.transport import upstream_streams

Outcome = messages_forwarding.RelayOutcome

# What a side that reads slowly leaves here, in each direction.
RECEIVE_BYTES = 16 * 1024
# Each takes two descriptors; the rest is for this router's own callers.
MAX_CONNECTIONS = 500

RELAYED = metrics.counter(
    'lavenderbend_forward_relayed_connections_total',
    'Connections to upstreams that other routers asked for, by outcome.',
)
OPEN = metrics.gauge(
    'lavenderbend_forward_relayed_connections',
    'Connections to upstreams that are relayed for other routers now.',
)


class RelayedConnection:
    """One relayed connection.

    Attributes:
        requester: The connection of the requesting router.
        upstream: The connection to the upstream.
        sending: Held while a frame is sent to the requesting router.
    """

    def __init__(
        self,
        requester: trio.SocketStream,
        upstream: upstream_streams.UpstreamStream,
    ) -> None:
        self.requester = requester
        self.upstream = upstream
        self.sending = trio.Lock()

    async def run(self) -> None:
        """Relays bytes until one side closes."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.send_requests, nursery.cancel_scope)
            with contextlib.suppress(errors.PeerUnreachable):
                await self.send_answers()
            nursery.cancel_scope.cancel()

    async def send_requests(self, scope: trio.CancelScope) -> None:
        """Relays the requests; the requester's close ends the connection."""
        while data := await self.receive_request():
            try:
                await self.upstream.send_all(data)
            except trio.BrokenResourceError:
                # `send_answers` reports it
                return
        scope.cancel()

    async def receive_request(self) -> bytes:
        """Returns bytes of the requester, none if its connection ended."""
        try:
            return await self.requester.receive_some(RECEIVE_BYTES)
        except trio.BrokenResourceError:
            return b''

    async def send_answers(self) -> None:
        """Relays the answers, and how the connection to the upstream ended.

        Raises:
            PeerUnreachable: The requester's connection is lost.
        """
        last = relayed_streams.END
        try:
            while data := await self.upstream.receive_some(RECEIVE_BYTES):
                await self.send_frame(len(data), data)
        except trio.BrokenResourceError:
            last = relayed_streams.RESET
        await self.send_frame(last)

    async def send_frame(self, header: int, data: bytes = b'') -> None:
        """Sends a frame to the requester.

        Raises:
            PeerUnreachable: The requester's connection is lost.
        """
        frame = relayed_streams.encode_header(header) + data
        try:
            async with self.sending:
                await self.requester.send_all(frame)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise errors.PeerUnreachable('the requester is lost') from exc


class RelayServer:
    """Relays connections for routers that do not reach an upstream.

    A connection that was asked for by another router is opened by this one
    only, never through a third.

    Attributes:
        relays: Decides whether a connection is relayed.
        connections: The connections that are relayed now.
        admitted: Number of requests that have one, or are about to.
        all_closed: Set when the last of them closes.
    """

    def __init__(self, relays: relays_module.Relays) -> None:
        self.relays = relays
        self.connections: set[RelayedConnection] = set()
        self.admitted = 0
        self.all_closed = trio.Event()

    async def serve(
        self,
        stream: trio.SocketStream,
        request: messages_forwarding.RelayRequest,
    ) -> None:
        """Serves one request to relay a connection."""
        socket_options.prepare(stream.socket)
        try:
            await self.serve_request(stream, request)
        except trio.BrokenResourceError:
            # the requester closed before it had the reply
            return
        except Exception as exc:
            # a fault of one connection must not end the others
            logs.fault('relay_failed', exc)

    async def serve_request(
        self,
        stream: trio.SocketStream,
        request: messages_forwarding.RelayRequest,
    ) -> None:
        """Relays a connection, or replies why there is none."""
        outcome, upstream = self.admit(request.instance)
        if upstream is None:
            await self.reply(stream, outcome)
            return
        self.admitted += 1
        try:
            await self.relay(stream, upstream)
        finally:
            self.admitted -= 1

    async def relay(
        self, stream: trio.SocketStream, upstream: forwarding.Upstream
    ) -> None:
        """Connects to an upstream, replies, and relays the connection."""
        outcome, connection = await self.connect(upstream)
        try:
            await self.reply(stream, outcome)
            if connection is not None:
                await self.run(RelayedConnection(stream, connection.stream))
        finally:
            if connection is not None:
                connection.close()

    async def reply(self, stream: trio.SocketStream, outcome: Outcome) -> None:
        """Tells the requesting router whether there is a connection."""
        RELAYED.inc({'outcome': outcome.name.lower()})
        reply = messages_forwarding.RelayReply(outcome)
        await stream.send_all(peer_datagrams.encode_frame(reply))

    def admit(
        self, instance: str
    ) -> tuple[Outcome, forwarding.Upstream | None]:
        """Returns the upstream to connect to, or why there is none."""
        if self.admitted >= MAX_CONNECTIONS:
            return Outcome.UNABLE, None
        return self.relays.admit(instance)

    async def connect(
        self, upstream: forwarding.Upstream
    ) -> tuple[Outcome, pooled_connections.PooledConnection | None]:
        """Opens a connection of this router's own to an upstream."""
        try:
            connection = await pooled_connections.connect(upstream)
        except errors.UpstreamUnreachable:
            # whether the upstream is down or the path cut is not known here
            return Outcome.UNREACHABLE, None
        self.relays.reachability.note_connected()
        if self.relays.stopping:
            # no request was sent on it; the requester asks another router
            connection.close()
            return Outcome.UNABLE, None
        return Outcome.CONNECTED, connection

    async def run(self, connection: RelayedConnection) -> None:
        """Relays one connection until it ends."""
        self.connections.add(connection)
        OPEN.set({}, len(self.connections))
        try:
            if self.relays.stopping:
                # the stop began while the requester was sent the reply
                await self.announce_stop(connection)
            await connection.run()
        finally:
            self.connections.discard(connection)
            OPEN.set({}, len(self.connections))
            if not self.connections:
                self.all_closed.set()

    async def shut_down(self) -> None:
        """Asks the requesting routers to use other ways; waits until they do.

        Exchanges in progress are completed.
        """
        self.relays.stopping = True
        logs.change('relays_stopping', connections=len(self.connections))
        async with trio.open_nursery() as nursery:
            for connection in list(self.connections):
                nursery.start_soon(self.announce_stop, connection)
        while self.connections:
            self.all_closed = trio.Event()
            await self.all_closed.wait()

    async def announce_stop(self, connection: RelayedConnection) -> None:
        """Tells the requesting router that this one stops."""
        with contextlib.suppress(errors.PeerUnreachable):
            await connection.send_frame(relayed_streams.LEAVING)
