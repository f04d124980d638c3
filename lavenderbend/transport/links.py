"""Peer links: requests and notices in batches over one wire for each pair."""

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
from lavenderbend.transport import peer_calls
from lavenderbend.transport import peer_handlers
from lavenderbend.transport import peer_limits
from lavenderbend.transport import peer_openings
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
    """What is common to the links; variants give the wires.

    Attributes:
        host: Address that peers are served at.
        port: Its port; the bound one once `started` is set.
        tls: Certificates, None for plain connections.
        started: Set when peers are served.
        addresses: Of the peers, by router id.
        boxes: What waits for each peer, and its connection.
        calls: Requests without an answer yet.
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
        """Makes a link that serves nothing until `run`.

        Raises:
            PeerTlsRequired: The address is beyond loopback, without TLS.
        """
        super().__init__(name)
        peer_tls.check_bind(host, tls, allow_plain)
        self.host = host
        self.port = port
        self.tls = tls
        self.limits = limits or peer_limits.LinkLimits()
        # only tells processes apart that follow each other under one id
        self.instance = random.SystemRandom().getrandbits(53)
        self.started = trio.Event()
        self.addresses: dict[str, tuple[str, int]] = {}
        self.boxes: dict[str, peer_wires.Outbox] = {}
        self.calls = peer_calls.Calls()
        self.nursery: trio.Nursery | None = None
        self.stopping = False
        self.connections = 0
        self.counted = trio.Event()
        self.messages_sent = 0
        self.messages_received = 0
        self.closed_bytes_sent = 0
        self.closed_bytes_received = 0
        self.live: set[peer_connections.Connection] = set()
        self.dropped: collections.Counter[str] = collections.Counter()
        self.incoming = peer_handlers.Incoming(self)
        self.openings = peer_openings.Openings(self)
        self.packer = msgpack.Packer()

    # counters

    @property
    def bytes_sent(self) -> int:
        """Bytes given to the sockets, TLS records included."""
        live = sum(item.wire.bytes_sent for item in self.live)
        return self.closed_bytes_sent + live

    @property
    def bytes_received(self) -> int:
        """Bytes taken from the sockets, TLS records included."""
        live = sum(item.wire.bytes_received for item in self.live)
        return self.closed_bytes_received + live

    # what callers use

    def set_peers(self, addresses: Mapping[str, tuple[str, int]]) -> None:
        """Sets the addresses of the peers, by router id."""
        for peer_id, box in self.boxes.items():
            old = self.addresses.get(peer_id)
            if old == addresses.get(peer_id) or box.connection is None:
                continue
            box.connection.retire()
        self.addresses = dict(addresses)

    async def request(
        self, peer_id: str, item: peer.Message, timeout: float
    ) -> peer.Message:
        """Sends a request and returns its answer; see `PeerLink`."""
        if peer_id == self.name:
            return await self.request_self(item, timeout)
        number = self.calls.number()
        box = self.box(peer_id)
        self.enqueue(box, number, item, required=True)
        began = trio.current_time()
        call = await self.calls.wait(number, peer_id, timeout)
        if call.error is not None:
            raise call.error
        if call.answer is None:
            if box.connection is not None:
                box.connection.note_miss(began)
            raise errors.PeerUnreachable(
                f'{peer_id} gave no answer in {timeout:g} s'
            )
        return peer_calls.checked(peer_id, call.answer)

    def notify(self, peer_id: str, item: peer.Message) -> None:
        """Queues a notice; it rides with the next batch, or is dropped."""
        if peer_id == self.name:
            if self.nursery is None:
                self.count_dropped('link not running')
                return
            self.nursery.start_soon(
                self.incoming.handle_notice, self.name, item
            )
            return
        self.enqueue(self.box(peer_id), 0, item, required=False)

    async def request_self(
        self, item: peer.Message, timeout: float
    ) -> peer.Message:
        """Calls this router's own handler."""
        answer: peer.Message | None = None
        with trio.move_on_after(timeout):
            answer = await self.incoming.answer_of(self.name, item)
        if answer is None:
            raise errors.PeerUnreachable(f'no answer in {timeout:g} s')
        return peer_calls.checked(self.name, answer)

    # queues

    def box(self, peer_id: str) -> peer_wires.Outbox:
        """Returns the outbox of a peer."""
        if peer_id not in self.boxes:
            self.boxes[peer_id] = peer_wires.Outbox(peer_id)
        return self.boxes[peer_id]

    def enqueue(
        self,
        box: peer_wires.Outbox,
        number: int,
        item: peer.Message,
        required: bool,
    ) -> None:
        """Puts a message into an outbox and sees to a connection.

        Raises:
            PeerUnreachable: It is required and cannot be sent.
        """
        data = self.packer.pack([number, peer.to_wire(item)])
        problem = self.why_not(box, len(data))
        if problem is not None:
            self.count_dropped(problem)
            if required:
                raise errors.PeerUnreachable(f'{box.peer_id}: {problem}')
            return
        box.put(number, data)
        if box.connection is None:
            self.openings.redial(box)

    def why_not(self, box: peer_wires.Outbox, size: int) -> str | None:
        """Returns why a message cannot be queued, None if it can."""
        if self.nursery is None or self.stopping:
            return 'link not running'
        if size > peer.MAX_MESSAGE_BYTES:
            return 'message too large'
        if box.size + size > self.limits.outbox_bytes:
            return 'outbox full'
        if box.connection is not None or box.dialing:
            return None
        if box.peer_id not in self.addresses:
            return 'no address'
        if trio.current_time() < box.dial_after:
            return 'dial failed just now'
        return None

    def count_dropped(self, cause: str) -> None:
        """Counts something that was given up."""
        DROPPED.inc({'cause': cause})
        self.dropped[cause] += 1

    def note_handshake_failure(self, exc: Exception) -> None:
        """Counts a connection that did not become one."""
        self.count_dropped('bad handshake')
        logs.change('peer_refused', router=self.name, error=str(exc))

    # connections

    async def run(self) -> None:
        """Serves peers until cancelled."""
        try:
            async with trio.open_nursery() as nursery:
                self.nursery = nursery
                nursery.start_soon(self.openings.close_idle)
                await self.listen()
        finally:
            self.nursery = None
            self.calls.fail('the link has stopped')

    @abc.abstractmethod
    async def listen(self) -> None:
        """Serves inbound wires by `openings`; sets `port` and `started`."""

    @abc.abstractmethod
    async def dial(self, peer_id: str, host: str, port: int) -> peer_wires.Wire:
        """Returns a wire to a peer.

        Raises:
            OSError: There is no connection to be had.
            PeerProtocolError: The peer is somebody else.
        """

    async def close(self) -> None:
        """Says goodbye to all peers; new messages are refused."""
        self.stopping = True
        for connection in list(self.live):
            connection.retire()
        with trio.move_on_after(self.limits.dial_timeout):
            await self.wait_connections(0)

    async def wait_connections(self, count: int) -> None:
        """Waits until there are that many connections."""
        while self.connections != count:
            await self.counted.wait()

    def add_connections(self, count: int) -> None:
        """Counts connections that began, or ended if negative."""
        self.connections += count
        self.counted.set()
        self.counted = trio.Event()

    def hello(self) -> messages.Hello:
        """Returns the hello of this router."""
        return messages.Hello(
            self.name, messages.PROTOCOL_VERSION, self.instance
        )
