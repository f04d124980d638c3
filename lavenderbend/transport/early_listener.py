"""Listens for callers before the libraries of the router are loaded.

Imports only the standard library: the process calls it before it imports
anything else.
"""

from __future__ import annotations

import os
import socket
import sys
import time

ADDRESS_VARIABLE = 'LAVENDERBEND_LISTEN_EARLY'
BACKLOG = 1024


class EarlyListener:
    """A listening socket from which no connection is accepted yet.

    After all VMs have lost power, a caller has no other router to use. A
    router takes 0.3 to 0.5 s to import its libraries; without this socket, a
    caller that connects meanwhile is refused and has one retry left. With it,
    the connection waits in the backlog and the request is answered, most often
    within its target.

    Attributes:
        host: IP address to which it is bound.
        port: Its port.
        socket: The socket.
        bound_at: `time.perf_counter()` at which it was bound.
    """

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind((host, port))
        self.socket.listen(BACKLOG)
        self.bound_at = time.perf_counter()

    @property
    def waited_seconds(self) -> float:
        """Seconds since binding: the longest time a caller can have waited."""
        return time.perf_counter() - self.bound_at


opened: list[EarlyListener] = []


def open_from_environment() -> None:
    """Listens at the address in the environment variable, if it is set."""
    address = os.environ.get(ADDRESS_VARIABLE)
    if not address:
        return
    host, _, port = address.rpartition(':')
    if not host or not port.isdigit():
        sys.exit(f'{ADDRESS_VARIABLE}: {address!r} is not HOST:PORT')
    try:
        opened.append(EarlyListener(host, int(port)))
    except OSError as exc:
        # not fatal: the router later binds the address in its settings itself,
        # and exits with an error if that fails
        print(f'{ADDRESS_VARIABLE}: {address}: {exc}', file=sys.stderr)


def take_listener(host: str, port: int) -> EarlyListener | None:
    """Returns and removes the listener of an address; closes any other."""
    match = None
    while opened:
        listener = opened.pop()
        if (listener.host, listener.port) == (host, port):
            match = listener
        else:
            listener.socket.close()
    return match
