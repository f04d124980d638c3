"""One connection to a peer: handshake, reader, writer and close."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import msgpack
import trio

from lavenderbend import errors
from lavenderbend.observe import logs
from lavenderbend.protocol import messages_membership as messages
from lavenderbend.protocol import peer
from lavenderbend.transport import peer_wires

if TYPE_CHECKING:
    from lavenderbend.transport import links

GOODBYE_TIMEOUT_SECONDS = 5.0


class Connection:
    """A connection of a link to one peer.

    Attributes:
        link: The link.
        wire: Carries the batches.
        dialed: Whether this router opened it.
        peer_id: Router id of the peer, set by `exchange_hellos`.
        instance: Identifies the process of the peer.
        in_progress: Number of requests of the peer that are being handled.
        consecutive_timeouts: Number of successive requests that timed out while
            nothing was received from the peer.
    """

    def __init__(
        self, link: links.BatchLink, wire: peer_wires.Wire, dialed: bool
    ) -> None:
        self.link = link
        self.wire = wire
        self.dialed = dialed
        self.peer_id = ''
        self.instance = 0
        self.in_progress = 0
        self.consecutive_timeouts = 0
        self.opened_at = trio.current_time()
        self.last_received = self.opened_at
        self.last_used = self.last_received
        self.notices: collections.deque[peer.Message] = collections.deque()
        self.retiring = trio.Event()
        self.goodbye: messages.Goodbye | None = None
        self.scope = trio.CancelScope()

    # handshake

    async def exchange_hellos(self, expected: str | None) -> None:
        """Exchanges hello messages; the side that dialed sends first.

        Args:
            expected: Id of the peer that was dialed.

        Raises:
            PeerProtocolError: The peer has another id or certificate, or
                speaks an unsupported version.
            CodecError: The peer speaks another protocol.
            OSError: The connection was lost.
        """
        if self.dialed:
            await self.send_unqueued(self.link.hello())
        hello = await self.read_hello()
        self.check(hello, expected)
        self.peer_id = hello.router
        self.instance = hello.instance
        if not self.dialed:
            # attached before our hello is sent: a peer that receives it may
            # then retire another connection, as this one is in use already
            self.attach()
            await self.send_unqueued(self.link.hello())
        else:
            self.attach()

    async def send_unqueued(self, message: peer.Message) -> None:
        """Sends a message at once, without the outbox."""
        await self.wire.send(msgpack.packb([0, peer.to_wire(message)]))
        self.link.messages_sent += 1

    async def read_hello(self) -> messages.Hello:
        """Returns the hello message of the peer.

        Raises:
            PeerProtocolError: The peer closed or sent another message first.
        """
        batch = await self.wire.receive()
        if batch is None:
            raise errors.PeerProtocolError('closed before sending its hello')
        for _, values in peer_wires.unpack(batch):
            message = peer.from_wire(values)
            if isinstance(message, messages.Hello):
                return message
            break
        raise errors.PeerProtocolError('the first message is not a hello')

    def check(self, hello: messages.Hello, expected: str | None) -> None:
        """Checks id, protocol version and certificate of the peer.

        Raises:
            PeerProtocolError: One of them is wrong.
        """
        if expected is not None and hello.router != expected:
            raise errors.PeerProtocolError(
                f'{expected} was dialed but {hello.router} answers'
            )
        if hello.router == self.link.name:
            raise errors.PeerProtocolError('the peer has the id of this router')
        if hello.version < messages.MIN_PROTOCOL_VERSION:
            raise errors.PeerProtocolError(
                f'{hello.router} speaks unsupported version {hello.version}'
            )
        names = self.wire.names
        if names is not None and hello.router not in names:
            raise errors.PeerProtocolError(
                f'{hello.router} has a certificate for {sorted(names)}'
            )

    def attach(self) -> None:
        """Makes this the connection in use, unless another takes precedence.

        Two routers may dial each other at the same time. Both sides keep
        the connection that the router with the smaller id dialed, and close
        the other one by goodbyes, so that no message in flight on it is
        lost. Of two connections dialed by the same side, the older one is
        closed in this way too: its dialer is closing it or has found it
        broken. A connection to an earlier process of the peer is certainly
        broken and is aborted.
        """
        link = self.link
        link.open_connections.add(self)
        link.add_connections(1)
        outbox = link.outbox(self.peer_id)
        old = outbox.connection
        outbox.connection = self
        outbox.set_instance(self.instance)
        if old is None:
            return
        if old.instance != self.instance:
            old.abort()
            return
        smaller_is_us = link.name < self.peer_id
        if old.dialed == self.dialed or self.dialed == smaller_is_us:
            old.retire()
            return
        outbox.connection = old
        self.retire()

    # serving

    async def serve(self) -> None:
        """Reads and writes until the connection is closed."""
        outbox = self.link.outbox(self.peer_id)
        try:
            with self.scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self.write, outbox)
                    await self.read()
                    self.retire()
                if self.goodbye is not None:
                    await self.wire.finish()
        finally:
            with trio.CancelScope(shield=True):
                await self.discard()

    async def read(self) -> None:
        """Handles batches until the peer's goodbye or the end of the wire."""
        try:
            while True:
                batch = await self.wire.receive()
                if batch is None:
                    self.scope.cancel()
                    return
                self.last_received = trio.current_time()
                self.last_used = self.last_received
                self.consecutive_timeouts = 0
                if not await self.handle_batch(batch):
                    return
        except OSError:
            self.scope.cancel()
        except errors.CodecError as exc:
            # the start of the next message is not known after invalid bytes
            self.link.count_dropped('garbage')
            logs.change(
                'peer_garbage',
                router=self.link.name,
                peer=self.peer_id,
                error=str(exc),
            )
            self.scope.cancel()

    async def handle_batch(self, batch: bytes) -> bool:
        """Dispatches the messages of a batch; returns False after a goodbye."""
        for number, values in peer_wires.unpack(batch):
            self.link.dispatcher.dispatch(self, number, values)
        while self.notices:
            notice = self.notices.popleft()
            if isinstance(notice, messages.Goodbye):
                self.goodbye = notice
                return False
            await self.link.dispatcher.handle_notice(self.peer_id, notice)
        return True

    async def write(self, outbox: peer_wires.Outbox) -> None:
        """Sends the queued messages in batches, then a goodbye.

        Messages queued while a batch is being sent form the next batch.
        """
        link = self.link
        try:
            while not self.retiring.is_set():
                if not outbox.messages or outbox.connection is not self:
                    await self.wait_for_messages(outbox)
                    continue
                batch = outbox.pop_batch(link.limits.batch_bytes)
                link.messages_sent += len(batch)
                self.last_used = trio.current_time()
                await self.wire.send(b''.join(batch))
            if outbox.connection is self and not link.stopping:
                outbox.connection = None
                link.opener.redial(outbox)
            await self.send_unqueued(messages.Goodbye(link.stopping))
            # closes the connection if the peer does not reply with a goodbye
            self.scope.deadline = trio.current_time() + GOODBYE_TIMEOUT_SECONDS
        except OSError:
            self.scope.cancel()

    async def wait_for_messages(self, outbox: peer_wires.Outbox) -> None:
        """Waits until there are messages to send or this is retired."""
        if outbox.connection is not self:
            await self.retiring.wait()
            return
        await outbox.not_empty.wait()

    def note_timeout(self, queued_at: float) -> None:
        """Counts a request that timed out; aborts a silent connection.

        On a half-open connection (the peer's VM is gone, or a firewall drops
        its packets) requests time out while nothing is received. The kernel
        would keep such a connection for many minutes, and every request to
        a replaced peer would wait for its whole timeout. Anything received
        since the request was queued resets the count, so a slow handler on
        a working connection never causes an abort.

        Args:
            queued_at: Router clock when the request was queued.
        """
        if self.last_received >= queued_at:
            self.consecutive_timeouts = 0
            return
        self.consecutive_timeouts += 1
        limits = self.link.limits
        silence = trio.current_time() - self.last_received
        if (
            self.consecutive_timeouts < limits.max_timeouts
            or silence < limits.silence_seconds
        ):
            return
        self.link.count_dropped('silent')
        logs.change('peer_silent', router=self.link.name, peer=self.peer_id)
        self.abort()

    def retire(self) -> None:
        """Closes the connection by goodbyes, after the batch being sent."""
        self.retiring.set()
        # wakes the writer, which waits for messages to send
        outbox = self.link.outbox(self.peer_id)
        outbox.not_empty.set()
        if not outbox.messages:
            outbox.not_empty = trio.Event()

    def abort(self) -> None:
        """Closes the connection at once, without a goodbye."""
        self.scope.cancel()

    async def discard(self) -> None:
        """Closes the wire; fails requests unless another connection follows."""
        link = self.link
        await self.wire.close()
        if self not in link.open_connections:
            return
        link.open_connections.remove(self)
        link.add_connections(-1)
        link.closed_bytes_sent += self.wire.bytes_sent
        link.closed_bytes_received += self.wire.bytes_received
        outbox = link.outbox(self.peer_id)
        if outbox.connection is self:
            outbox.connection = None
        if outbox.connection is not None or outbox.dialing:
            return
        if self.goodbye is not None and not self.goodbye.final:
            # closed by goodbyes: the queued messages use the next connection
            link.opener.redial(outbox)
            return
        outbox.clear()
        link.pending_requests.fail('the connection was lost', self.peer_id)
