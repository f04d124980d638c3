"""UDP messages between forwarding routers, and snapshots over TCP."""

from __future__ import annotations

import functools
import ipaddress
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
    from collections.abc import Awaitable
    from collections.abc import Callable

MAX_DATAGRAM_BYTES = 8 * 1024
RECEIVE_BYTES = 64 * 1024
FETCH_TIMEOUT_SECONDS = 0.5
SERVE_TIMEOUT_SECONDS = 2.0
MAX_SNAPSHOT_BYTES = 32 * 1024 * 1024
LENGTH_BYTES = 4
COMPRESSION_LEVEL = 1  # of zlib
# Fields that hold the address of a router, in any message.
HOST_FIELDS = ('host', 'owner')
# More than the hosts that one router meets in its life.
CACHED_HOSTS = 2048
parsed_host = functools.lru_cache(CACHED_HOSTS)(ipaddress.IPv4Address)


class PeerDatagrams(interfaces.DatagramLink):
    """A UDP socket for messages, and a TCP port of the same number.

    Attributes:
        host: IP address to bind.
        port: UDP and TCP port, the same on all routers.
        snapshot: Returns the snapshot in force, None if there is none.
        removed_since: Returns the keys removed since a revision, None if
            they are not known.
        relay: Relays connections to upstreams, None to refuse to.
    """

    relay: (
        Callable[
            [trio.SocketStream, messages_forwarding.RelayRequest],
            Awaitable[None],
        ]
        | None
    ) = None

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
        self.receiver = discard_message
        self.socket = trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Receives messages and serves snapshots until cancelled."""
        with self.socket:
            await self.socket.bind((self.host, self.port))
            listeners = await trio.open_tcp_listeners(self.port, host=self.host)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(trio.serve_listeners, self.serve, listeners)
                task_status.started()
                await self.receive_all()

    async def receive_all(self) -> None:
        """Passes each received message to `receiver`."""
        while True:
            try:
                data = await self.socket.recv(MAX_DATAGRAM_BYTES)
            except OSError as exc:
                # reports that an earlier datagram reached a closed port
                logs.change('peer_port_closed', cause=str(exc))
                continue
            try:
                message = peer.decode(data)
                check_hosts(message)
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
        """Serves one connection of another router."""
        try:
            with trio.fail_after(SERVE_TIMEOUT_SECONDS):
                request = await read_message(stream)
            if isinstance(request, messages_forwarding.SnapshotRequest):
                await self.send_snapshot(stream, request)
            elif (
                isinstance(request, messages_forwarding.RelayRequest)
                and self.relay is not None
            ):
                await self.relay(stream, request)
        except (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            trio.TooSlowError,
        ):
            # the router disconnected or hangs; it will retry or do without
            return
        except errors.CodecError as exc:
            logs.change('peer_message_unreadable', cause=str(exc))
        finally:
            stream.socket.close()

    async def send_snapshot(
        self,
        stream: trio.SocketStream,
        request: messages_forwarding.SnapshotRequest,
    ) -> None:
        """Sends what the other router's snapshot lacks of the one in force.

        Raises:
            TooSlowError: The other router does not read them.
        """
        current = self.snapshot()
        if current is None:
            return
        content = requested_content(current.raw, request, self.removed_since)
        with trio.fail_after(SERVE_TIMEOUT_SECONDS):
            await stream.send_all(encode_frame(content))

    async def fetch(
        self, host: str, base: forwarding.RawSnapshot | None
    ) -> forwarding.RawSnapshot:
        """Returns the snapshot of another router.

        Args:
            host: Host of that router.
            base: The snapshot that changes are requested against, None to
                request a whole one.

        Raises:
            PeerError: The router did not answer in time.
            CodecError: The answer is not a snapshot, or does not fit `base`.
        """
        request = snapshot_request(base)
        try:
            with trio.fail_after(FETCH_TIMEOUT_SECONDS):
                stream = await trio.open_tcp_stream(host, self.port)
                async with stream:
                    await stream.send_all(encode_frame(request))
                    content = await read_message(stream)
        except (OSError, trio.TooSlowError, trio.BrokenResourceError) as exc:
            raise errors.PeerUnreachable(
                f'no snapshot: {type(exc).__name__}'
            ) from exc
        if not isinstance(content, messages_forwarding.SnapshotContent):
            raise errors.CodecError('the answer is not a snapshot')
        return apply_changes(base, content)


def check_hosts(message: peer.Message) -> None:
    """Checks the addresses of routers in a message, which are replied to.

    A name would be looked up, which blocks this router, or end it where it is
    packed for others.

    Raises:
        CodecError: One is not an IPv4 address.
    """
    for name in HOST_FIELDS:
        host = getattr(message, name, None)
        try:
            if host is not None:
                parsed_host(host)
        except ValueError as exc:
            raise errors.CodecError(f'{name}: {exc}') from exc


def discard_message(message: peer.Message) -> None:
    """Discards messages that are received before a receiver is set."""


def encode_frame(message: peer.Message) -> bytes:
    """Returns the compressed message, preceded by its length."""
    data = zlib.compress(peer.encode(message), COMPRESSION_LEVEL)
    return len(data).to_bytes(LENGTH_BYTES, 'big') + data


async def read_message(stream: trio.SocketStream) -> peer.Message:
    """Reads one message from a stream.

    Raises:
        CodecError: The message is invalid, too large or truncated.
    """
    buffer = b''
    size = LENGTH_BYTES
    while len(buffer) < size:
        # no bytes beyond the message, which may begin a relayed connection
        missing = min(size - len(buffer), RECEIVE_BYTES)
        data = await stream.receive_some(missing)
        if not data:
            raise errors.CodecError(
                f'message truncated: got {len(buffer)} of {size} bytes'
            )
        buffer += data
        if size == LENGTH_BYTES and len(buffer) >= LENGTH_BYTES:
            size += int.from_bytes(buffer[:LENGTH_BYTES], 'big')
        if size > MAX_SNAPSHOT_BYTES:
            raise errors.CodecError(f'message too large: {size} bytes')
    inflate = zlib.decompressobj()
    try:
        return peer.decode(
            inflate.decompress(buffer[LENGTH_BYTES:], MAX_SNAPSHOT_BYTES)
        )
    except zlib.error as exc:
        raise errors.CodecError(
            f'message cannot be decompressed: {exc}'
        ) from exc


def snapshot_request(
    base: forwarding.RawSnapshot | None,
) -> messages_forwarding.SnapshotRequest:
    """Returns the request for what a snapshot lacks, None for a whole one."""
    if base is None:
        return messages_forwarding.SnapshotRequest(0)
    return messages_forwarding.SnapshotRequest(base.revision, base.era)


def requested_content(
    raw: forwarding.RawSnapshot,
    request: messages_forwarding.SnapshotRequest,
    removed_since: Callable[[int], list[str] | None],
) -> messages_forwarding.SnapshotContent:
    """Returns what another router's snapshot lacks.

    Of another era nothing is known to be in both: the whole snapshot is sent.
    """
    if request.known_era != raw.era:
        return changes_since(raw, 0)
    since = request.known_revision
    return changes_since(raw, since, removed_since(since))


def changes_since(
    raw: forwarding.RawSnapshot,
    since: int,
    removed: list[str] | None = None,
) -> messages_forwarding.SnapshotContent:
    """Returns the changes of a snapshot since a revision.

    Args:
        raw: The snapshot.
        since: Revision that the receiver has, 0 for none.
        removed: Keys removed since then, None if they are not known; all
            keys are sent in that case.
    """
    changed: list[list[str | int | bytes]] = [
        [key, item.revision, item.value]
        for key, item in raw.items.items()
        if item.revision > since or item.revision == forwarding.KEPT_REVISION
    ]
    keys = list(raw.items) if removed is None else None
    return messages_forwarding.SnapshotContent(
        raw.revision, changed, keys, removed or [], raw.digest, raw.era
    )


def apply_changes(
    base: forwarding.RawSnapshot | None,
    content: messages_forwarding.SnapshotContent,
) -> forwarding.RawSnapshot:
    """Returns the snapshot that results from applying changes to a base.

    Raises:
        CodecError: The digest of the result is not that of the sender: an
            item is missing or was not removed.
    """
    if base is None or base.era != content.era:
        base = forwarding.RawSnapshot(0, {}, era=content.era)
    removed = content.removed
    if content.keys is not None:
        removed = base.items.keys() - set(content.keys)
    changed = {
        key: forwarding.RawItem(revision, value)
        for key, revision, value in content.changed
    }
    raw = base.with_changes(content.revision, changed, removed)
    if raw.digest != content.digest:
        raise errors.CodecError(
            'the changes do not fit the base snapshot: digests differ'
        )
    return raw
