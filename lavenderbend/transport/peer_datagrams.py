"""Datagrams between forwarding routers, and snapshots over TCP."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING
import zlib

import trio

from lavenderbend import errors
from lavenderbend.coordination.forwarding import interfaces
from lavenderbend.observe import logs
from lavenderbend.protocol import messages_forwarding
from lavenderbend.protocol import peer
from lavenderbend.state import forwarding

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_DATAGRAM_BYTES = 8 * 1024
RECEIVE_BYTES = 64 * 1024
FETCH_SECONDS = 0.5
SERVE_SECONDS = 2.0
MAX_SNAPSHOT_BYTES = 32 * 1024 * 1024
LENGTH_BYTES = 4
COMPRESSION_LEVEL = 1


class PeerDatagrams(interfaces.DatagramLink):
    """One UDP socket, and a TCP port of the same number.

    Attributes:
        host: IP number to bind.
        port: Port of both; the same on all routers.
        snapshot: Returns the snapshot in force.
        removed_since: Returns the keys that are gone since a revision, None
            if that is not known.
    """

    def __init__(
        self,
        host: str,
        port: int,
        snapshot: Callable[[], forwarding.Snapshot | None],
        removed_since: Callable[[int], list[str] | None] = lambda revision: (
            None
        ),
    ) -> None:
        self.host = host
        self.port = port
        self.snapshot = snapshot
        self.removed_since = removed_since
        self.receiver = ignore
        self.socket = trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Receives until cancelled."""
        await self.socket.bind((self.host, self.port))
        listeners = await trio.open_tcp_listeners(self.port, host=self.host)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.serve_listeners, self.serve, listeners)
            task_status.started()
            await self.receive_all()

    async def receive_all(self) -> None:
        """Passes on each message that arrives."""
        while True:
            try:
                data = await self.socket.recv(MAX_DATAGRAM_BYTES)
            except OSError as exc:
                # an earlier datagram met a port that nobody listens at
                logs.change('peer_port_closed', cause=str(exc))
                continue
            try:
                message = peer.decode(data)
            except errors.CodecError as exc:
                logs.change('peer_message_unreadable', cause=str(exc))
                continue
            self.receiver(message)

    def send(self, host: str, message: peer.Message) -> None:
        """Sends a message; it may be lost."""
        try:
            self.socket._sock.sendto(peer.encode(message), (host, self.port))
        except OSError as exc:
            logs.change('peer_unreachable', host=host, cause=str(exc))

    async def serve(self, stream: trio.SocketStream) -> None:
        """Gives the snapshot in force to a router that connected."""
        try:
            with trio.move_on_after(SERVE_SECONDS):
                wanted = await read_message(stream)
                current = self.snapshot()
                if current is not None and isinstance(
                    wanted, messages_forwarding.SnapshotRequest
                ):
                    since = wanted.known_revision
                    content = changes_of(
                        current.raw, since, self.removed_since(since)
                    )
                    await stream.send_all(framed(content))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # the router went away; it asks again or reads the store
            return
        except errors.CodecError as exc:
            logs.change('peer_message_unreadable', cause=str(exc))
        finally:
            stream.socket.close()

    async def fetch(
        self, host: str, known: forwarding.RawSnapshot | None
    ) -> forwarding.RawSnapshot:
        """Returns the snapshot of another router.

        Raises:
            PeerError: It did not answer in time.
            CodecError: What it answered is none.
        """
        revision = 0 if known is None else known.revision
        wanted = messages_forwarding.SnapshotRequest(revision)
        try:
            with trio.fail_after(FETCH_SECONDS):
                stream = await trio.open_tcp_stream(host, self.port)
                async with stream:
                    await stream.send_all(framed(wanted))
                    content = await read_message(stream)
        except (OSError, trio.TooSlowError, trio.BrokenResourceError) as exc:
            raise errors.PeerUnreachable(
                f'no snapshot: {type(exc).__name__}'
            ) from exc
        if not isinstance(content, messages_forwarding.SnapshotContent):
            raise errors.CodecError('no snapshot')
        return merged(known, content)


def ignore(message: peer.Message) -> None:
    """Drops messages that come before somebody takes them."""


def framed(message: peer.Message) -> bytes:
    """Returns a message, compressed, behind its length."""
    data = zlib.compress(peer.encode(message), COMPRESSION_LEVEL)
    return len(data).to_bytes(LENGTH_BYTES, 'big') + data


async def read_message(stream: trio.SocketStream) -> peer.Message:
    """Returns the message that a stream brings.

    Raises:
        CodecError: It is none, too large, or cut short.
    """
    buffer = b''
    size = LENGTH_BYTES
    while len(buffer) < size:
        data = await stream.receive_some(RECEIVE_BYTES)
        if not data:
            raise errors.CodecError('a message that is cut short')
        buffer += data
        if size == LENGTH_BYTES and len(buffer) >= LENGTH_BYTES:
            size += int.from_bytes(buffer[:LENGTH_BYTES], 'big')
        if size > MAX_SNAPSHOT_BYTES:
            raise errors.CodecError('a message of too many bytes')
    inflate = zlib.decompressobj()
    try:
        return peer.decode(
            inflate.decompress(buffer[LENGTH_BYTES:], MAX_SNAPSHOT_BYTES)
        )
    except zlib.error as exc:
        raise errors.CodecError(f'a message that is broken: {exc}') from exc


def changes_of(
    raw: forwarding.RawSnapshot,
    since: int,
    removed: list[str] | None = None,
) -> messages_forwarding.SnapshotContent:
    """Returns a snapshot without what has not changed since a revision.

    Args:
        raw: The snapshot.
        since: Revision that the receiver knows, 0 for none.
        removed: Keys that are gone since, None if that is not known.
    """
    changed: list[list[str | int | bytes]] = [
        [key, item.revision, item.value]
        for key, item in raw.items.items()
        if item.revision > since
    ]
    keys = list(raw.items) if removed is None else None
    return messages_forwarding.SnapshotContent(
        raw.revision, changed, keys, removed or [], raw.digest
    )


def merged(
    known: forwarding.RawSnapshot | None,
    content: messages_forwarding.SnapshotContent,
) -> forwarding.RawSnapshot:
    """Returns the snapshot that changes make of the one that is known.

    Raises:
        CodecError: They do not make the one that was sent: an item is
            missing, or one should be gone.
    """
    if known is None:
        known = forwarding.RawSnapshot(0, {})
    removed = content.removed
    if content.keys is not None:
        removed = known.items.keys() - set(content.keys)
    changed = {
        key: forwarding.RawItem(revision, value)
        for key, revision, value in content.changed
    }
    raw = known.with_changes(content.revision, changed, removed)
    if raw.digest != content.digest:
        raise errors.CodecError('changes that do not fit what is known')
    return raw
