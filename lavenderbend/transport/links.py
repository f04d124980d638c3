"""Peer links: batched requests and notices, one connection for each pair."""

from __future__ import annotations

import abc
import collections
import random
from typing import TYPE_CHECKING

import msgpack
import trio

from lavenderbend import errors
from lavenderbend import registry
from lavenderbend.coordination import interfaces
from lavenderbend.observe import logs
from lavenderbend.observe import metrics
from lavenderbend.protocol import messages_membership as messages
from lavenderbend.protocol import peer
from lavenderbend.transport import peer_handlers
from lavenderbend.transport import peer_limits
from lavenderbend.transport import peer_openings
from lavenderbend.transport import peer_requests
from lavenderbend.transport import peer_wires
from lavenderbend.transport import tls as peer_tls

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lavenderbend.transport import peer_connections

LINKS: registry.Registry[type[BatchLink]] = registry.Registry('peer link')

DROPPED = metrics.counter(
    'lavenderbend_peer_dropped_total',
    'Messages and connections of peers that were given up, by cause.',
)


class BatchLink(interfaces.PeerLink):
    """Base of the peer links; a subclass opens and accepts the wires.

    Attributes:
        host: Address to listen on.
        port: Port to listen on; the bound port once `started` is set.
        tls: Certificates, None for plain connections.
        started: Set once the link listens.
        addresses: Addresses of the peers, by router id.
        outboxes: For each peer the queued messages and the connection in use.
        pending_requests: Requests that have no answer yet.
    """

    def __init__(
        self,
        name: str,
        host: str,
        port: int,
        tls: peer_tls.PeerTls | None = None,
        limits: peer_limits.LinkLimits | None = None,
        allow_plain: bool = False,
    ) -> None:
        """Creates a link that does not listen until `run`.

        Raises:
            PeerTlsRequired: The address is not a loopback address and there
                is no TLS.
        """
        super().__init__(name)
        peer_tls.check_bind(host, tls, allow_plain)
        self.host = host
        self.port = port
        self.tls = tls
        self.limits = limits or peer_limits.LinkLimits()
        # distinguishes successive processes that have the same router id
        self.instance = random.SystemRandom().getrandbits(53)
        self.started = trio.Event()
        self.addresses: dict[str, tuple[str, int]] = {}
        self.outboxes: dict[str, peer_wires.Outbox] = {}
        self.pending_requests = peer_requests.PendingRequests()
        self.nursery: trio.Nursery | None = None
        self.stopping = False
        self.connections = 0
        self.connections_changed = trio.Event()
        self.messages_sent = 0
        self.messages_received = 0
        self.closed_bytes_sent = 0
        self.closed_bytes_received = 0
        self.open_connections: set[peer_connections.Connection] = set()
        self.dropped: collections.Counter[str] = collections.Counter()
        self.dispatcher = peer_handlers.MessageDispatcher(self)
        self.opener = peer_openings.ConnectionOpener(self)
        self.packer = msgpack.Packer()

    # counters

    @property
    def bytes_sent(self) -> int:
        """Bytes written to the sockets, including TLS records."""
        open_bytes = sum(c.wire.bytes_sent for c in self.open_connections)
        return self.closed_bytes_sent + open_bytes

    @property
    def bytes_received(self) -> int:
        """Bytes read from the sockets, including TLS records."""
        open_bytes = sum(c.wire.bytes_received for c in self.open_connections)
        return self.closed_bytes_received + open_bytes

    # interface for callers

    def set_peers(self, addresses: Mapping[str, tuple[str, int]]) -> None:
        """Sets the addresses of the peers, by router id.

        Connections to a peer whose address changed are retired.
        """
        for peer_id, outbox in self.outboxes.items():
            old = self.addresses.get(peer_id)
            if old == addresses.get(peer_id) or outbox.connection is None:
                continue
            outbox.connection.retire()
        self.addresses = dict(addresses)

    async def request(
        self, peer_id: str, item: peer.Message, timeout: float
    ) -> peer.Message:
        """Sends a request and returns its answer; see `PeerLink`."""
        if peer_id == self.name:
            return await self.request_self(item, timeout)
        number = self.pending_requests.next_number()
        outbox = self.outbox(peer_id)
        self.enqueue(outbox, number, item, required=True)
        queued_at = trio.current_time()
        pending = await self.pending_requests.wait_answer(
            number, peer_id, timeout
        )
        if pending.error is not None:
            raise pending.error
        if pending.answer is None:
            if outbox.connection is not None:
                outbox.connection.note_timeout(queued_at)
            raise errors.PeerUnreachable(
                f'{peer_id} gave no answer in {timeout:g} s'
            )
        return peer_requests.answer_or_raise(peer_id, pending.answer)

    def notify(self, peer_id: str, item: peer.Message) -> None:
        """Queues a notice for the next batch, or drops it."""
        if peer_id == self.name:
            if self.nursery is None:
                self.count_dropped('link not running')
                return
            self.nursery.start_soon(
                self.dispatcher.handle_notice, self.name, item
            )
            return
        self.enqueue(self.outbox(peer_id), 0, item, required=False)

    async def request_self(
        self, message: peer.Message, timeout: float
    ) -> peer.Message:
        """Calls the handler of this router for a request to itself.

        Raises:
            PeerUnreachable: The handler did not return in time.
            PeerRefused: The handler failed.
        """
        answer: peer.Message | None = None
        with trio.move_on_after(timeout):
            answer = await self.dispatcher.call_handler(self.name, message)
        if answer is None:
            raise errors.PeerUnreachable(f'no answer in {timeout:g} s')
        return peer_requests.answer_or_raise(self.name, answer)

    # queues

    def outbox(self, peer_id: str) -> peer_wires.Outbox:
        """Returns the outbox of a peer."""
        if peer_id not in self.outboxes:
            self.outboxes[peer_id] = peer_wires.Outbox(peer_id)
        return self.outboxes[peer_id]

    def enqueue(
        self,
        outbox: peer_wires.Outbox,
        number: int,
        message: peer.Message,
        required: bool,
    ) -> None:
        """Queues a message and opens a connection if there is none.

        Raises:
            PeerUnreachable: The message is `required` and cannot be queued.
        """
        data = self.packer.pack([number, peer.to_wire(message)])
        problem = self.rejection_reason(outbox, len(data))
        if problem is not None:
            self.count_dropped(problem)
            if required:
                raise errors.PeerUnreachable(f'{outbox.peer_id}: {problem}')
            return
        outbox.put(number, data)
        if outbox.connection is None:
            self.opener.redial(outbox)

    def rejection_reason(
        self, outbox: peer_wires.Outbox, size: int
    ) -> str | None:
        """Returns why a message cannot be queued, None if it can."""
        if self.nursery is None or self.stopping:
            return 'link not running'
        if size > peer.MAX_MESSAGE_BYTES:
            return 'message too large'
        if outbox.size + size > self.limits.outbox_bytes:
            return 'outbox full'
        if outbox.connection is not None or outbox.dialing:
            return None
        if outbox.peer_id not in self.addresses:
            return 'no address'
        if trio.current_time() < outbox.dial_after:
            return 'dial failed just now'
        return None

    def count_dropped(self, cause: str) -> None:
        """Counts a message or connection that was dropped."""
        DROPPED.inc({'cause': cause})
        self.dropped[cause] += 1

    def note_handshake_failure(self, exc: Exception) -> None:
        """Counts a connection whose handshake failed."""
        self.count_dropped('bad handshake')
        logs.change('peer_refused', router=self.name, error=str(exc))

    # connections

    async def run(self) -> None:
        """Serves peers until cancelled."""
        try:
            async with trio.open_nursery() as nursery:
                self.nursery = nursery
                nursery.start_soon(self.opener.close_idle)
                await self.listen()
        finally:
            self.nursery = None
            self.pending_requests.fail('the link has stopped')

    @abc.abstractmethod
    async def listen(self) -> None:
        """Serves inbound wires by `opener`; sets `port` and `started`."""

    @abc.abstractmethod
    async def dial(self, peer_id: str, host: str, port: int) -> peer_wires.Wire:
        """Returns a wire to a peer.

        Raises:
            OSError: The connection could not be opened.
            PeerProtocolError: The peer has another router id.
        """

    async def close(self) -> None:
        """Closes all connections with a goodbye; refuses new messages."""
        self.stopping = True
        for connection in list(self.open_connections):
            connection.retire()
        with trio.move_on_after(self.limits.dial_timeout):
            await self.wait_connections(0)

    async def wait_connections(self, count: int) -> None:
        """Waits until there are `count` connections."""
        while self.connections != count:
            await self.connections_changed.wait()

    def add_connections(self, count: int) -> None:
        """Adds to the number of connections; a negative count subtracts."""
        self.connections += count
        self.connections_changed.set()
        self.connections_changed = trio.Event()

    def hello(self) -> messages.Hello:
        """Returns the hello message of this router."""
        return messages.Hello(
            self.name, messages.PROTOCOL_VERSION, self.instance
        )
