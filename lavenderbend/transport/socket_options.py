"""TCP sockets that carry requests: how they are opened and set."""

from __future__ import annotations

import socket

import trio

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
