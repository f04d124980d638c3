"""Opens TCP connections for requests and sets their socket options."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import trio

from lavenderbend import errors

if TYPE_CHECKING:
    from lavenderbend.state import upstreams

# without these options, a connection to a peer whose VM lost power or whose
# network path is down would stay open, and its request hang, for minutes
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_COUNT = 3
# where it is set, Linux gives up by it alone, whatever the count of probes: a
# shorter one would end a connection at its first lost probe
USER_TIMEOUT_MILLISECONDS = 1000 * (
    KEEPALIVE_IDLE_SECONDS + KEEPALIVE_COUNT * KEEPALIVE_INTERVAL_SECONDS
)
# what the kernel keeps of a caller until it is read; the system would let it
# grow to some megabytes
CALLER_RECEIVE_BUFFER_BYTES = 16 * 1024


async def connect(host: str, port: int) -> trio.SocketStream:
    """Opens a connection to an IP address.

    Raises:
        OSError: The connection cannot be opened.
    """
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    connection = trio.socket.socket(family, socket.SOCK_STREAM)
    try:
        await connection.connect((host, port))
    except BaseException:
        connection.close()
        raise
    return trio.SocketStream(connection)


async def connect_upstream(
    vm: upstreams.Vm, seconds: float
) -> trio.SocketStream:
    """Opens a connection to an upstream, with a timeout in seconds.

    Raises:
        UpstreamUnreachable: The connection cannot be opened in time.
    """
    try:
        with trio.fail_after(seconds):
            return await connect(vm.host, vm.port)
    except (OSError, trio.TooSlowError) as exc:
        timeout = isinstance(exc, trio.TooSlowError)
        failure = errors.ConnectFailure
        raise errors.UpstreamUnreachable(
            f'no connection: {type(exc).__name__}',
            failure.TIMEOUT if timeout else failure.REFUSED,
        ) from exc


def prepare(connection: trio.socket.SocketType) -> None:
    """Disables send coalescing and enables detection of dead peers."""
    enable_probes(connection)
    connection.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MILLISECONDS
    )


def prepare_caller(connection: trio.socket.SocketType) -> None:
    """Prepares the connection of a caller, which may read slowly.

    The user timeout would also end a connection whose window stays closed
    while its caller takes what it has. Here the deadline of the request ends
    the wait for a dead caller.
    """
    enable_probes(connection)
    limit_unread(connection)


def limit_unread(connection: trio.socket.SocketType) -> None:
    """Limits what the kernel keeps of a caller until it is read.

    Of a listener, it limits what it keeps before a connection is accepted.
    """
    connection.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, CALLER_RECEIVE_BUFFER_BYTES
    )


def enable_probes(connection: trio.socket.SocketType) -> None:
    """Disables send coalescing, and has idle connections probed."""
    tcp = socket.IPPROTO_TCP
    connection.setsockopt(tcp, socket.TCP_NODELAY, 1)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    connection.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    connection.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_COUNT)
