"""The peer link with length-prefixed frames over TCP or TLS."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import trio

from lavenderbend import errors
from lavenderbend.protocol import peer
from lavenderbend.transport import links
from lavenderbend.transport import peer_wires
from lavenderbend.transport import tls as peer_tls

if TYPE_CHECKING:
    import ssl

HEADER_BYTES = 4
READ_BYTES = 65536
MAX_FRAME_BYTES = peer.MAX_MESSAGE_BYTES + 512 * 1024


class CountingStream(trio.abc.Stream):
    """A socket stream that counts the bytes sent and received.

    Attributes:
        stream: The socket stream.
        sent: Bytes sent.
        received: Bytes received.
    """

    def __init__(self, stream: trio.abc.Stream) -> None:
        self.stream = stream
        self.sent = 0
        self.received = 0

    async def send_all(self, data: bytes) -> None:
        """Sends all of the data."""
        self.sent += len(data)
        await self.stream.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        """Waits until sending might not block."""
        await self.stream.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Receives some data."""
        data = await self.stream.receive_some(max_bytes)
        self.received += len(data)
        return data

    async def aclose(self) -> None:
        """Closes the socket."""
        await self.stream.aclose()


class FrameWire(peer_wires.Wire):
    """Frames on a stream: a length of four bytes, then a batch."""

    def __init__(
        self,
        counting: CountingStream,
        stream: trio.abc.Stream,
        names: frozenset[str] | None,
    ) -> None:
        self.counting = counting
        self.stream = stream
        self.names = names
        self.buffer = bytearray()

    @property
    def bytes_sent(self) -> int:
        """Bytes written to the socket."""
        return self.counting.sent

    @property
    def bytes_received(self) -> int:
        """Bytes read from the socket."""
        return self.counting.received

    async def send(self, batch: bytes) -> None:
        """Sends a batch as one frame."""
        frame = len(batch).to_bytes(HEADER_BYTES, 'big') + batch
        try:
            await self.stream.send_all(frame)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise ConnectionResetError(
                'the peer closed the connection'
            ) from exc

    async def receive(self) -> bytes | None:
        """Returns the batch of the next frame, None at the end."""
        if not await self.fill_buffer(HEADER_BYTES):
            return None
        size = int.from_bytes(self.buffer[:HEADER_BYTES], 'big')
        # the bytes of another protocol (an HTTP probe, a port scan) decode as
        # a huge length; refusing it here limits the memory used
        if size > MAX_FRAME_BYTES:
            raise errors.CodecError(f'frame too large: {size} bytes')
        if not await self.fill_buffer(HEADER_BYTES + size):
            raise ConnectionResetError(
                'the peer closed the connection within a frame'
            )
        end = HEADER_BYTES + size
        batch = bytes(self.buffer[HEADER_BYTES:end])
        del self.buffer[:end]
        return batch

    async def fill_buffer(self, size: int) -> bool:
        """Reads until the buffer holds `size` bytes; False at the end."""
        while len(self.buffer) < size:
            try:
                data = await self.stream.receive_some(READ_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
                raise ConnectionResetError(
                    'the peer closed the connection'
                ) from exc
            if not data:
                return False
            self.buffer += data
        return True

    async def finish(self) -> None:
        """Returns at once: the kernel has all bytes that were sent."""

    async def close(self) -> None:
        """Closes the connection at once."""
        await trio.aclose_forcefully(self.stream)


@links.LINKS.register('frames')
class FramesLink(links.BatchLink):
    """Frames of msgpack messages over trio's TCP streams."""

    async def listen(self) -> None:
        """Serves inbound connections."""
        listeners = await trio.open_tcp_listeners(self.port, host=self.host)
        self.port = listeners[0].socket.getsockname()[1]
        self.started.set()
        await trio.serve_listeners(self.accept_stream, listeners)

    async def accept_stream(self, stream: trio.SocketStream) -> None:
        """Serves an inbound connection."""
        if not self.opener.may_accept():
            await trio.aclose_forcefully(stream)
            return
        self.opener.accepting += 1
        try:
            with trio.fail_after(self.limits.dial_timeout):
                context = self.tls and self.tls.server_context()
                wire = await open_wire(
                    count_bytes(stream), context, server_side=True
                )
        except (OSError, trio.TooSlowError) as exc:
            self.note_handshake_failure(exc)
            await trio.aclose_forcefully(stream)
            return
        finally:
            self.opener.accepting -= 1
        await self.opener.accept(wire)

    async def dial(self, peer_id: str, host: str, port: int) -> FrameWire:
        """Returns a wire to a peer."""
        stream = await trio.open_tcp_stream(host, port)
        counting = count_bytes(stream)
        try:
            context = self.tls and self.tls.client_context()
            return await open_wire(counting, context, server_side=False)
        except BaseException:
            await trio.aclose_forcefully(stream)
            raise


def count_bytes(stream: trio.SocketStream) -> CountingStream:
    """Returns a byte-counting stream, with Nagle's algorithm disabled."""
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return CountingStream(stream)


async def open_wire(
    counting: CountingStream,
    context: ssl.SSLContext | None,
    server_side: bool,
) -> FrameWire:
    """Returns a wire; with a context, after the TLS handshake.

    Raises:
        OSError: The handshake failed.
    """
    if context is None:
        return FrameWire(counting, counting, None)
    stream = trio.SSLStream(counting, context, server_side=server_side)
    try:
        await stream.do_handshake()
    except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
        raise ConnectionResetError(f'TLS handshake: {exc.__cause__}') from exc
    names = peer_tls.peer_names(stream.getpeercert() or {})
    return FrameWire(counting, stream, names)
