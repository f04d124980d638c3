"""TCP ports of test processes, told before the processes start."""

from __future__ import annotations

import socket

# below the range from which systems take ports of outgoing connections, so
# that no connection takes a port between its choice and its use
FIRST_PORT = 20000
BLOCKS = 20
PORTS_PER_BLOCK = 600


class NoPortLeft(Exception):
    """Every block of ports is in use by other test processes."""


class PortRange:
    """Ports of one test process, given out in turn.

    Two test runs at once took the same ports, and processes of one ended
    with 'address already in use': a listener on the first port of a block
    keeps the block for this process.
    """

    def __init__(self) -> None:
        self.keeper: socket.socket | None = None
        self.first = 0
        self.next = 0

    def take(self) -> int:
        if self.keeper is None:
            self.reserve()
        for _ in range(PORTS_PER_BLOCK):
            port = self.next
            self.next += 1
            if self.next == self.first + PORTS_PER_BLOCK:
                self.next = self.first + 1
            if is_free(port):
                return port
        raise NoPortLeft(f'block at {self.first}')

    def reserve(self) -> None:
        for block in range(BLOCKS):
            self.first = FIRST_PORT + block * PORTS_PER_BLOCK
            keeper = socket.socket()
            try:
                keeper.bind(('127.0.0.1', self.first))
                keeper.listen(1)
            except OSError:
                keeper.close()
                continue
            self.keeper = keeper
            self.next = self.first + 1
            return
        raise NoPortLeft('every block')


def is_free(port: int) -> bool:
    with socket.socket() as probe:
        # as servers do: connections that have ended do not count
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(('127.0.0.1', port))
        except OSError:
            return False
    return True


PORTS = PortRange()
