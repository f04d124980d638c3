"""Wires that carry batches, and what waits to be sent on them."""

from __future__ import annotations

import abc
import collections
from typing import TYPE_CHECKING

import msgpack
import trio

from lavenderbend import errors
from lavenderbend.protocol import peer

if TYPE_CHECKING:
    from lavenderbend.transport import peer_connections


class Wire(abc.ABC):
    """Carries batches between two routers, both ways at once.

    Attributes:
        bytes_sent: Bytes given to the socket.
        bytes_received: Bytes taken from the socket.
        names: Names in the peer's certificate, None without TLS.
    """

    bytes_sent = 0
    bytes_received = 0
    names: frozenset[str] | None = None

    @abc.abstractmethod
    async def send(self, batch: bytes) -> None:
        """Sends a batch.

        Raises:
            OSError: The connection is broken.
        """

    @abc.abstractmethod
    async def receive(self) -> bytes | None:
        """Returns the next batch, None at the end.

        Raises:
            OSError: The connection is broken.
            CodecError: The peer sent something else.
        """

    @abc.abstractmethod
    async def finish(self) -> None:
        """Waits until all that was sent has left, before a close."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes the connection at once."""


class Outbox:
    """What waits to be sent to one peer.

    Attributes:
        peer_id: The peer.
        items: Encoded messages in order, each with its call's number.
        size: Their bytes.
        connection: The connection in use, if there is one.
        dialing: Whether one is being opened.
        dial_after: Router clock before which none is opened.
        instance: Process of the peer that was connected last.
    """

    def __init__(self, peer_id: str) -> None:
        self.peer_id = peer_id
        self.items: collections.deque[tuple[int, bytes]] = collections.deque()
        self.instance = 0
        self.size = 0
        self.connection: peer_connections.Connection | None = None
        self.dialing = False
        self.dial_after = 0.0
        self.filled = trio.Event()

    def put(self, number: int, data: bytes) -> None:
        """Appends a message."""
        self.items.append((number, data))
        self.size += len(data)
        self.filled.set()

    def take(self, limit: int) -> list[bytes]:
        """Removes and returns messages up to a number of bytes."""
        taken: list[bytes] = []
        total = 0
        while self.items and (not taken or total < limit):
            _, data = self.items.popleft()
            total += len(data)
            taken.append(data)
        self.size -= total
        if not self.items:
            self.filled = trio.Event()
        return taken

    def set_instance(self, instance: int) -> None:
        """Notes the peer's process; drops answers meant for an earlier one.

        A process that follows another under one id counts its requests
        from one again: an answer to the other's request would be taken for
        the answer to its own.
        """
        if instance != self.instance:
            kept = [item for item in self.items if item[0] >= 0]
            self.items = collections.deque(kept)
            self.size = sum(len(data) for _, data in kept)
        self.instance = instance

    def clear(self) -> None:
        """Drops everything."""
        self.items.clear()
        self.size = 0
        self.filled = trio.Event()


def unpack(batch: bytes) -> list[tuple[int, list]]:
    """Returns the numbers and messages of a batch.

    Raises:
        CodecError: It is no batch of ours.
    """
    unpacker = msgpack.Unpacker(
        max_buffer_size=peer.MAX_MESSAGE_BYTES * 2, strict_map_key=True
    )
    items = []
    try:
        unpacker.feed(batch)
        for entry in unpacker:
            number, item = entry
            if not isinstance(number, int) or not isinstance(item, list):
                raise errors.CodecError('a batch entry is malformed')
            items.append((number, item))
    except (ValueError, TypeError, msgpack.UnpackException) as exc:
        raise errors.CodecError(f'not a batch: {exc}') from exc
    return items
