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


class PeerDatagrams(interfaces.DatagramLink):
    """One UDP socket, and a TCP port of the same number.

    Attributes:
        host: IP number to bind.
        port: Port of both; the same on all routers.
        snapshot: Returns the snapshot in force.
    """

    def __init__(
        self,
        host: str,
        port: int,
        snapshot: Callable[[], forwarding.Snapshot | None],
    ) -> None:
        self.host = host
        self.port = port
        self.snapshot = snapshot
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
            current = self.snapshot()
            if current is not None:
                with trio.move_on_after(SERVE_SECONDS):
                    await stream.send_all(encoded(current.raw))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # the router went away; it asks again or reads the store
            return
        finally:
            stream.socket.close()

    async def fetch(self, host: str) -> forwarding.RawSnapshot:
        """Returns the snapshot of another router.

        Raises:
            PeerError: It did not answer in time.
            CodecError: What it answered is none.
        """
        try:
            with trio.fail_after(FETCH_SECONDS):
                data = await self.read(host)
        except (OSError, trio.TooSlowError, trio.BrokenResourceError) as exc:
            raise errors.PeerUnreachable(
                f'no snapshot: {type(exc).__name__}'
            ) from exc
        return decoded(data)

    async def read(self, host: str) -> bytes:
        """Returns all that a router sends who is connected to."""
        parts: list[bytes] = []
        size = 0
        async with await trio.open_tcp_stream(host, self.port) as stream:
            while data := await stream.receive_some(RECEIVE_BYTES):
                parts.append(data)
                size += len(data)
                if size > MAX_SNAPSHOT_BYTES:
                    raise errors.CodecError('a snapshot of too many bytes')
        return b''.join(parts)


def ignore(message: peer.Message) -> None:
    """Drops messages that come before somebody takes them."""


def encoded(raw: forwarding.RawSnapshot) -> bytes:
    """Returns the bytes of a snapshot."""
    return peer.encode(
        messages_forwarding.SnapshotContent(
            raw.revision, zlib.compress(raw.content, 1)
        )
    )


def decoded(data: bytes) -> forwarding.RawSnapshot:
    """Returns the snapshot of bytes made by `encoded`.

    Raises:
        CodecError: They are none; a snapshot cut short is none either.
    """
    message = peer.decode(data)
    if not isinstance(message, messages_forwarding.SnapshotContent):
        raise errors.CodecError('no snapshot')
    inflate = zlib.decompressobj()
    try:
        content = inflate.decompress(message.content, MAX_SNAPSHOT_BYTES)
    except zlib.error as exc:
        raise errors.CodecError(f'a snapshot that is broken: {exc}') from exc
    return forwarding.RawSnapshot(message.revision, content)
