"""Wires that carry batches of messages, and the outbox of each peer."""

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
    """Carries batches between two routers, in both directions.

    Attributes:
        bytes_sent: Bytes written to the socket.
        bytes_received: Bytes read from the socket.
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
            CodecError: The peer sent something other than a batch.
        """

    @abc.abstractmethod
    async def finish(self) -> None:
        """Waits before a close until all batches sent have left."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes the connection at once."""


class Outbox:
    """Messages queued for one peer, and the state of its connection.

    Attributes:
        peer_id: The peer.
        messages: Encoded messages in order, each with its number (see
            `peer_handlers.MessageDispatcher.dispatch`).
        size: Total size of the messages in bytes.
        connection: The connection in use, if there is one.
        dialing: Whether a connection is being opened.
        dial_after: Router clock before which no connection is opened.
        instance: Identifies the process of the peer connected last.
        not_empty: Set while there are messages; also set to wake the writer.
    """

    def __init__(self, peer_id: str) -> None:
        self.peer_id = peer_id
        self.messages: collections.deque[tuple[int, bytes]] = (
            collections.deque()
        )
        self.instance = 0
        self.size = 0
        self.connection: peer_connections.Connection | None = None
        self.dialing = False
        self.dial_after = 0.0
        self.not_empty = trio.Event()

    def put(self, number: int, data: bytes) -> None:
        """Appends a message."""
        self.messages.append((number, data))
        self.size += len(data)
        self.not_empty.set()

    def pop_batch(self, limit: int) -> list[bytes]:
        """Removes and returns messages until they have `limit` bytes.

        Returns at least one message if there is one.
        """
        batch: list[bytes] = []
        total = 0
        while self.messages and (not batch or total < limit):
            _, data = self.messages.popleft()
            total += len(data)
            batch.append(data)
        self.size -= total
        if not self.messages:
            self.not_empty = trio.Event()
        return batch

    def set_instance(self, instance: int) -> None:
        """Sets the peer's process; drops answers to an earlier process.

        A new process with the same router id numbers its requests from 1
        again, so it would match an answer to a request of its predecessor
        with a request of its own.
        """
        if instance != self.instance:
            kept = [queued for queued in self.messages if queued[0] >= 0]
            self.messages = collections.deque(kept)
            self.size = sum(len(data) for _, data in kept)
        self.instance = instance

    def clear(self) -> None:
        """Drops all messages."""
        self.messages.clear()
        self.size = 0
        self.not_empty = trio.Event()


def unpack(batch: bytes) -> list[tuple[int, list]]:
    """Returns the numbers and messages of a batch.

    Raises:
        CodecError: The bytes are not a valid batch.
    """
    unpacker = msgpack.Unpacker(
        max_buffer_size=peer.MAX_MESSAGE_BYTES * 2, strict_map_key=True
    )
    messages = []
    try:
        unpacker.feed(batch)
        for entry in unpacker:
            number, values = entry
            if not isinstance(number, int) or not isinstance(values, list):
                raise errors.CodecError('a batch entry is malformed')
            messages.append((number, values))
    except (ValueError, TypeError, msgpack.UnpackException) as exc:
        raise errors.CodecError(f'not a batch: {exc}') from exc
    return messages
