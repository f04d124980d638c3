"""TCP sockets that carry requests: how they are opened and set."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import trio

from lavenderbend import errors

if TYPE_CHECKING:
    from lavenderbend.state import upstreams

# a peer whose VM lost power, or whose path is cut, answers nothing: without
# these a connection to it would stay open, and its request hang, for minutes
USER_TIMEOUT_MILLISECONDS = 2000
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_COUNT = 2


async def connect(host: str, port: int) -> trio.SocketStream:
    """Opens a connection to an IP number.

    Raises:
        OSError: There is none to be had.
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
    """Opens a connection to an upstream within some seconds.

    Raises:
        UpstreamUnreachable: There is none to be had.
    """
    try:
        with trio.fail_after(seconds):
            return await connect(vm.host, vm.port)
    except (OSError, trio.TooSlowError) as exc:
        raise errors.UpstreamUnreachable(
            f'no connection: {type(exc).__name__}'
        ) from exc


def prepare(connection: trio.socket.SocketType) -> None:
    """Sets a connection to send at once and to notice a silent peer."""
    tcp = socket.IPPROTO_TCP
    connection.setsockopt(tcp, socket.TCP_NODELAY, 1)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    connection.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    connection.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_COUNT)
    connection.setsockopt(
        tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MILLISECONDS
    )
