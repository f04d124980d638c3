"""One connection to an upstream, and whether it may take a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from lavenderbend.transport import socket_options

if TYPE_CHECKING:
    from lavenderbend.state import forwarding

# the first packet of a connection is lost or dropped now and then, and sent
# again after a second; another upstream answers sooner
CONNECT_SECONDS = 0.5
# an upstream closes idle connections after the time it states, and its close
# needs a moment to arrive
IDLE_MARGIN_SECONDS = 1.0
UNSTATED_IDLE_SECONDS = 4.0
# a request that may run only once is lost if its connection is closed as it
# is sent; a connection that was used just now is hardly being closed
ONCE_IDLE_SECONDS = 1.5


class KeptConnection:
    """One connection to an upstream, used by one request at a time.

    Attributes:
        stream: The TCP stream.
        idle_since: Router clock at which its last answer ended.
        idle_seconds: Time for which the upstream keeps it open idle.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self.idle_since = trio.current_time()
        self.idle_seconds = UNSTATED_IDLE_SECONDS

    def reusable(self, repeatable: bool) -> bool:
        """Returns whether an idle connection may take a request.

        Bytes on an idle connection are its end, or a late second answer:
        neither may meet the next request.
        """
        limit = self.idle_seconds
        if not repeatable:
            limit = min(limit, ONCE_IDLE_SECONDS)
        if trio.current_time() - self.idle_since > limit:
            return False
        return not self.stream.socket.is_readable()

    def note_idle_limit(self, seconds: int) -> None:
        """Notes how long the upstream says that it keeps it open idle."""
        self.idle_seconds = max(0.0, seconds - IDLE_MARGIN_SECONDS)

    def close(self) -> None:
        """Closes the connection at once."""
        self.stream.socket.close()


async def connect(upstream: forwarding.Upstream) -> KeptConnection:
    """Opens a connection.

    Raises:
        UpstreamUnreachable: There is none to be had.
    """
    stream = await socket_options.connect_upstream(upstream.vm, CONNECT_SECONDS)
    socket_options.prepare(stream.socket)
    return KeptConnection(stream)
