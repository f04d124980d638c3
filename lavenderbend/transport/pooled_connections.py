"""Pooled connections to upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from lavenderbend.transport import relayed_streams
from lavenderbend.transport import socket_options
from lavenderbend.transport import upstream_streams

if TYPE_CHECKING:
    from lavenderbend.state import forwarding

# the first packet of a connection is sometimes lost and is only retransmitted
# after a second; another upstream answers sooner
CONNECT_SECONDS = 0.5
# an upstream closes idle connections after the time in its Keep-Alive header;
# the margin covers the time until its close arrives
IDLE_MARGIN_SECONDS = 1.0
DEFAULT_IDLE_SECONDS = 4.0
# a request that must not be repeated is lost if the upstream closes the
# connection while it is sent, which is unlikely on a recently used connection
NON_REPEATABLE_IDLE_SECONDS = 1.5


class PooledConnection:
    """A connection to an upstream, used by one request at a time.

    Attributes:
        stream: The stream to the upstream.
        idle_since: Router clock at which the connection became idle.
        idle_seconds: Time after which the upstream closes it when idle.
        relay: Router through which it goes, empty if it goes through none.
    """

    relay = ''

    def __init__(
        self,
        stream: upstream_streams.UpstreamStream | relayed_streams.RelayedStream,
    ) -> None:
        self.stream = stream
        self.idle_since = trio.current_time()
        self.idle_seconds = DEFAULT_IDLE_SECONDS

    def reusable(self, repeatable: bool) -> bool:
        """Returns whether an idle connection can carry another request.

        Bytes on an idle connection are its end or a late duplicate answer;
        neither must be taken for the answer to the next request.

        Args:
            repeatable: Whether the request may be sent more than once.
        """
        limit = self.idle_seconds
        if not repeatable:
            limit = min(limit, NON_REPEATABLE_IDLE_SECONDS)
        if trio.current_time() - self.idle_since > limit:
            return False
        return not self.stream.socket.is_readable()

    def note_idle_limit(self, seconds: int) -> None:
        """Sets the idle limit from the `timeout` of the Keep-Alive header."""
        self.idle_seconds = max(0.0, seconds - IDLE_MARGIN_SECONDS)

    def close(self) -> None:
        """Closes the connection at once."""
        self.stream.socket.close()


class RelayedConnection(PooledConnection):
    """A connection to an upstream through another router."""

    def __init__(
        self, stream: relayed_streams.RelayedStream, relay: str
    ) -> None:
        super().__init__(stream)
        self.relay = relay

    def reusable(self, repeatable: bool) -> bool:
        """Returns whether an idle connection can carry another request."""
        return not self.stream.leaving and super().reusable(repeatable)


async def connect(upstream: forwarding.Upstream) -> PooledConnection:
    """Opens a connection.

    Raises:
        UpstreamUnreachable: The connection cannot be opened.
    """
    stream = await socket_options.connect_upstream(upstream.vm, CONNECT_SECONDS)
    socket_options.prepare(stream.socket)
    return PooledConnection(upstream_streams.UpstreamStream(stream))


async def connect_through(
    upstream: forwarding.Upstream, host: str, port: int
) -> RelayedConnection:
    """Opens a connection through another router.

    Args:
        upstream: The upstream.
        host: The other router.
        port: The port of its peers.

    Raises:
        UpstreamUnreachable: The connection cannot be opened.
    """
    stream = await relayed_streams.connect(host, port, upstream.instance)
    return RelayedConnection(stream, host)
