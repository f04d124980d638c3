"""TCP streams to upstreams, which tell a reset from a regular close."""

from __future__ import annotations

import errno

import trio


class UpstreamStream:
    """A TCP stream on which one task sends while another one reads.

    The kernel reports a reset to one call only. If the sending task gets it,
    the next read returns the same as after a regular close, and an answer that
    ends with its connection would look complete.

    Attributes:
        stream: The TCP stream.
        reset: Whether a send found the connection reset.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self.reset = False

    @property
    def socket(self) -> trio.socket.SocketType:
        """The socket of the connection."""
        return self.stream.socket

    async def send_all(self, data: bytes) -> None:
        """Sends bytes to the upstream.

        Raises:
            BrokenResourceError: The connection was closed or lost.
            ClosedResourceError: This router has closed it.
        """
        try:
            await self.stream.send_all(data)
        except trio.BrokenResourceError as exc:
            self.reset = self.reset or not follows_close(exc)
            raise

    async def receive_some(self, max_bytes: int) -> bytes:
        """Returns bytes of the upstream, none if it closed the connection.

        Raises:
            BrokenResourceError: The connection was lost.
            ClosedResourceError: This router has closed it.
        """
        data = await self.stream.receive_some(max_bytes)
        if not data and self.reset:
            raise trio.BrokenResourceError('a send found the connection reset')
        return data


def follows_close(failure: trio.BrokenResourceError) -> bool:
    """Returns whether a send failed after the peer's regular close.

    An upstream that has closed its side resets what is sent to it afterwards;
    what it sent before is complete. The kernel reports such a reset as a
    broken pipe.
    """
    cause = failure.__cause__
    return isinstance(cause, OSError) and cause.errno == errno.EPIPE
