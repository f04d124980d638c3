"""Connections to upstreams through another router.

Toward the upstream the bytes are relayed as they are. Toward the requesting
router they are sent in frames: how a connection ended is part of the protocol,
as the end of a relaying router's process must not look like the end of an
answer.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from lavenderbend import errors
from lavenderbend.protocol import messages_forwarding
from lavenderbend.transport import peer_datagrams
from lavenderbend.transport import socket_options

if TYPE_CHECKING:
    from lavenderbend.protocol import peer

HEADER_BYTES = 4
# Frames without data, by the number in place of their length.
END = 0  # the upstream closed the connection
RESET = 0xFFFFFFFF  # the connection to the upstream was lost
LEAVING = 0xFFFFFFFE  # the relaying router stops

Outcome = messages_forwarding.RelayOutcome


def encode_header(value: int) -> bytes:
    """Returns the header of a frame."""
    return value.to_bytes(HEADER_BYTES, 'big')


class RelayedStream:
    """The requesting router's end of a relayed connection.

    Attributes:
        stream: The connection to the relaying router.
        header: Received bytes of an incomplete frame header.
        left: Bytes of the current frame that were not received yet.
        ended: Whether the upstream closed the connection.
        leaving: Whether the relaying router stops.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self.header = b''
        self.left = 0
        self.ended = False
        self.leaving = False

    @property
    def socket(self) -> trio.socket.SocketType:
        """The socket of the connection to the relaying router."""
        return self.stream.socket

    async def send_all(self, data: bytes) -> None:
        """Sends bytes to the upstream.

        Raises:
            RelayLost: The relaying router closed the connection.
        """
        try:
            await self.stream.send_all(data)
        except trio.BrokenResourceError as exc:
            raise errors.RelayLost('the relaying router is lost') from exc

    async def receive_some(self, max_bytes: int) -> bytes:
        """Returns bytes from the upstream, none if it closed the connection.

        Cancelling the call loses no bytes.

        Raises:
            BrokenResourceError: The connection to the upstream was lost.
            RelayLost: The connection to the relaying router was.
        """
        while not self.left and not self.ended:
            await self.read_header()
        if self.ended:
            return b''
        data = await self.read(min(max_bytes, self.left))
        self.left -= len(data)
        return data

    async def read_header(self) -> None:
        """Reads the header of the next frame."""
        while len(self.header) < HEADER_BYTES:
            self.header += await self.read(HEADER_BYTES - len(self.header))
        value = int.from_bytes(self.header, 'big')
        self.header = b''
        if value == RESET:
            raise trio.BrokenResourceError('the upstream reset the connection')
        if value == LEAVING:
            self.leaving = True
        elif value == END:
            self.ended = True
        else:
            self.left = value

    async def read(self, count: int) -> bytes:
        """Returns up to so many bytes of the relaying router.

        Raises:
            RelayLost: It closed the connection without a last frame.
        """
        try:
            data = await self.stream.receive_some(count)
        except trio.BrokenResourceError as exc:
            raise errors.RelayLost('the relaying router is lost') from exc
        if not data:
            raise errors.RelayLost('the relaying router closed')
        return data


REFUSALS: dict[int, type[errors.UpstreamUnreachable]] = {
    Outcome.UNREACHABLE: errors.UpstreamUnreachable,
    Outcome.WITHDRAWN: errors.UpstreamWithdrawn,
}


async def connect(host: str, port: int, instance: str) -> RelayedStream:
    """Returns a connection to an upstream through another router.

    Args:
        host: The other router.
        port: The port of its peers.
        instance: The upstream.

    Raises:
        UpstreamUnreachable: The other router does not reach the upstream.
        UpstreamWithdrawn: It knows that the upstream takes no requests now.
        RelayUnavailable: It relays no connections now, or did not reply.
    """
    try:
        stream = await socket_options.connect(host, port)
    except OSError as exc:
        raise errors.RelayUnavailable(
            f'no connection to {host}: {type(exc).__name__}'
        ) from exc
    try:
        socket_options.prepare(stream.socket)
        reply = await request_relay(stream, instance)
    except BaseException:
        stream.socket.close()
        raise
    if reply.outcome == Outcome.CONNECTED:
        return RelayedStream(stream)
    stream.socket.close()
    error = REFUSALS.get(reply.outcome, errors.RelayUnavailable)
    raise error(f'{host}: outcome {reply.outcome}')


async def request_relay(
    stream: trio.SocketStream, instance: str
) -> messages_forwarding.RelayReply:
    """Asks the router at the other end to connect to an upstream.

    Raises:
        RelayUnavailable: It did not reply.
    """
    request = messages_forwarding.RelayRequest(instance)
    reply: peer.Message | None = None
    try:
        await stream.send_all(peer_datagrams.encode_frame(request))
        reply = await peer_datagrams.read_message(stream)
    except (trio.BrokenResourceError, errors.CodecError) as exc:
        raise errors.RelayUnavailable(
            f'no reply: {type(exc).__name__}'
        ) from exc
    if not isinstance(reply, messages_forwarding.RelayReply):
        raise errors.RelayUnavailable('the reply is none')
    return reply
