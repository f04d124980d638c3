"""One connection to a peer: its reader, its writer and its end."""

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

GOODBYE_TIMEOUT = 5.0  # seconds


class Connection:
    """A wire in use by a link.

    Attributes:
        link: The link.
        wire: The wire.
        dialed: Whether this router opened it.
        peer_id: Who is at the other end, known after `greet`.
        instance: Its process.
        in_progress: Requests of the peer that are being handled.
        misses: Requests in a row that timed out without a sign of it.
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
        self.misses = 0
        self.began = trio.current_time()
        self.last_received = self.began
        self.last_used = self.last_received
        self.notices: collections.deque[peer.Message] = collections.deque()
        self.retiring = trio.Event()
        self.goodbye: messages.Goodbye | None = None
        self.scope = trio.CancelScope()

    # opening

    async def greet(self, expected: str | None) -> None:
        """Exchanges hellos; the side that dialed speaks first.

        Args:
            expected: Id of the peer that was dialed.

        Raises:
            PeerProtocolError: The peer is not who it should be.
            CodecError: It speaks something else.
            OSError: The connection broke.
        """
        if self.dialed:
            await self.send_now(self.link.hello())
        hello = await self.read_hello()
        self.check(hello, expected)
        self.peer_id = hello.router
        self.instance = hello.instance
        if not self.dialed:
            # attached before our hello leaves, so that a peer that sees it
            # may retire another connection: this one is in use already
            self.attach()
            await self.send_now(self.link.hello())
        else:
            self.attach()

    async def send_now(self, item: peer.Message) -> None:
        """Sends a message outside the queue."""
        await self.wire.send(msgpack.packb([0, peer.to_wire(item)]))
        self.link.messages_sent += 1

    async def read_hello(self) -> messages.Hello:
        """Reads the peer's hello."""
        batch = await self.wire.receive()
        if batch is None:
            raise errors.PeerProtocolError('closed before its hello')
        for _, item in peer_wires.unpack(batch):
            message = peer.from_wire(item)
            if isinstance(message, messages.Hello):
                return message
            break
        raise errors.PeerProtocolError('the first message is no hello')

    def check(self, hello: messages.Hello, expected: str | None) -> None:
        """Checks that the peer is who it should be.

        Raises:
            PeerProtocolError: It is not, or speaks another version.
        """
        if expected is not None and hello.router != expected:
            raise errors.PeerProtocolError(
                f'{expected} was dialed and {hello.router} answers'
            )
        if hello.router == self.link.name:
            raise errors.PeerProtocolError('a peer has the id of this router')
        if hello.version < messages.MIN_PROTOCOL_VERSION:
            raise errors.PeerProtocolError(
                f'{hello.router} speaks version {hello.version}'
            )
        names = self.wire.names
        if names is not None and hello.router not in names:
            raise errors.PeerProtocolError(
                f'{hello.router} has a certificate of {sorted(names)}'
            )

    def attach(self) -> None:
        """Takes this connection into use, unless a better one is there.

        Two routers may dial each other at once. The connection dialed by
        the smaller id is kept; both sides decide alike, and the other is
        closed by goodbyes so that nothing in flight on it is lost. So is
        the older of two of the same direction: its dialer is closing it,
        or has found it dead. One of another process is dead for certain.
        """
        link = self.link
        link.live.add(self)
        link.add_connections(1)
        box = link.box(self.peer_id)
        old = box.connection
        box.connection = self
        box.set_instance(self.instance)
        if old is None:
            return
        if old.instance != self.instance:
            old.abort()
            return
        smaller_is_us = link.name < self.peer_id
        if old.dialed == self.dialed or self.dialed == smaller_is_us:
            old.retire()
            return
        box.connection = old
        self.retire()

    # serving

    async def serve(self) -> None:
        """Reads and writes until the connection ends."""
        box = self.link.box(self.peer_id)
        try:
            with self.scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self.write, box)
                    await self.read()
                    self.retire()
                if self.goodbye is not None:
                    await self.wire.finish()
        finally:
            with trio.CancelScope(shield=True):
                await self.discard()

    async def read(self) -> None:
        """Takes batches until the peer's goodbye or the end."""
        try:
            while True:
                batch = await self.wire.receive()
                if batch is None:
                    self.scope.cancel()
                    return
                self.last_received = trio.current_time()
                self.last_used = self.last_received
                self.misses = 0
                if not await self.take_batch(batch):
                    return
        except OSError:
            self.scope.cancel()
        except errors.CodecError as exc:
            # garbage: nothing after it can be trusted to be aligned
            self.link.count_dropped('garbage')
            logs.change(
                'peer_garbage',
                router=self.link.name,
                peer=self.peer_id,
                error=str(exc),
            )
            self.scope.cancel()

    async def take_batch(self, batch: bytes) -> bool:
        """Hands on a batch; returns False after a goodbye."""
        for number, item in peer_wires.unpack(batch):
            self.link.incoming.dispatch(self, number, item)
        while self.notices:
            notice = self.notices.popleft()
            if isinstance(notice, messages.Goodbye):
                self.goodbye = notice
                return False
            await self.link.incoming.handle_notice(self.peer_id, notice)
        return True

    async def write(self, box: peer_wires.Outbox) -> None:
        """Sends what gathers; what gathers meanwhile is the next batch."""
        link = self.link
        try:
            while not self.retiring.is_set():
                if not box.items or box.connection is not self:
                    await self.wait_work(box)
                    continue
                items = box.take(link.limits.batch_bytes)
                link.messages_sent += len(items)
                self.last_used = trio.current_time()
                await self.wire.send(b''.join(items))
            if box.connection is self and not link.stopping:
                box.connection = None
                link.openings.redial(box)
            await self.send_now(messages.Goodbye(link.stopping))
            # a peer that never says goodbye in its turn is cut off
            self.scope.deadline = trio.current_time() + GOODBYE_TIMEOUT
        except OSError:
            self.scope.cancel()

    async def wait_work(self, box: peer_wires.Outbox) -> None:
        """Waits for messages, or for the end of this connection's use."""
        if box.connection is not self:
            await self.retiring.wait()
            return
        await box.filled.wait()

    def note_miss(self, began: float) -> None:
        """Counts a request without an answer; a silent connection ends.

        A half-open connection (the peer's VM is gone, or a firewall drops
        its packets) shows as requests that time out while nothing arrives.
        Without this the kernel would keep it for many minutes and every
        request to a replaced peer would wait out its timeout. The guard
        holds because anything received since the request began resets it,
        so a slow handler on a working connection is never cut off.

        Args:
            began: Router clock at which the request was queued.
        """
        if self.last_received >= began:
            self.misses = 0
            return
        self.misses += 1
        limits = self.link.limits
        silence = trio.current_time() - self.last_received
        if self.misses < limits.misses or silence < limits.silence:
            return
        self.link.count_dropped('silent')
        logs.change('peer_silent', router=self.link.name, peer=self.peer_id)
        self.abort()

    def retire(self) -> None:
        """Ends the connection after what is being sent, by goodbyes."""
        self.retiring.set()
        # wakes the writer, which sleeps until there is something to send
        box = self.link.box(self.peer_id)
        box.filled.set()
        if not box.items:
            box.filled = trio.Event()

    def abort(self) -> None:
        """Ends the connection at once."""
        self.scope.cancel()

    async def discard(self) -> None:
        """Closes the wire and fails what waited on it."""
        link = self.link
        await self.wire.close()
        if self not in link.live:
            return
        link.live.remove(self)
        link.add_connections(-1)
        link.closed_bytes_sent += self.wire.bytes_sent
        link.closed_bytes_received += self.wire.bytes_received
        box = link.box(self.peer_id)
        if box.connection is self:
            box.connection = None
        if box.connection is not None or box.dialing:
            return
        if self.goodbye is not None and not self.goodbye.final:
            # closed in agreement: what is in flight goes on by the next
            link.openings.redial(box)
            return
        box.clear()
        link.calls.fail('the connection was lost', self.peer_id)
