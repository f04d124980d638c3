"""Listens for callers before the libraries of the router are loaded.

Imports nothing but the standard library's sockets: it is what the process does
first.
"""

from __future__ import annotations

import os
import socket
import sys
import time

ADDRESS_VARIABLE = 'LAVENDERBEND_LISTEN_EARLY'
BACKLOG = 1024


class EarlyListener:
    """A listening socket that nobody accepts from yet.

    After all VMs lost power there is no other router to go to. A router loads
    its libraries for 0.3 to 0.5 s; a caller that comes meanwhile was refused,
    and has one try left. Here its connection waits that long and its request
    is answered, most often within its target.

    Attributes:
        host: IP number to which it is bound.
        port: Its port.
        socket: The socket.
        bound_at: Moment of binding, by the performance counter.
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
        """Time that a caller may have waited."""
        return time.perf_counter() - self.bound_at


opened: list[EarlyListener] = []


def open_named() -> None:
    """Listens at the address that the environment names, if it names one."""
    address = os.environ.get(ADDRESS_VARIABLE)
    if not address:
        return
    host, _, port = address.rpartition(':')
    if not host or not port.isdigit():
        sys.exit(f'{ADDRESS_VARIABLE}: {address!r} is no HOST:PORT')
    try:
        opened.append(EarlyListener(host, int(port)))
    except OSError as exc:
        # the router binds the address of its settings itself, and ends with
        # an error if that one cannot be had
        print(f'{ADDRESS_VARIABLE}: {address}: {exc}', file=sys.stderr)


def take(host: str, port: int) -> EarlyListener | None:
    """Returns the listener of an address, once; closes one of another."""
    found = None
    while opened:
        one = opened.pop()
        if (one.host, one.port) == (host, port):
            found = one
        else:
            one.socket.close()
    return found
