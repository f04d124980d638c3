"""TCP ports of test processes, told before the processes start."""

from __future__ import annotations

import os
import socket

# below the range from which systems take ports of outgoing connections, so
# that no connection takes a port between its choice and its use
FIRST_PORT = 20000
PORTS_PER_WORKER = 1500


class PortRange:
    """Ports of one test worker, each given out once."""

    def __init__(self) -> None:
        worker = os.environ.get('PYTEST_XDIST_WORKER', 'gw0')
        number = int(worker.removeprefix('gw') or 0) % 8
        self.first = FIRST_PORT + number * PORTS_PER_WORKER
        self.next = self.first

    def take(self) -> int:
        while self.next < self.first + PORTS_PER_WORKER:
            port = self.next
            self.next += 1
            if is_free(port):
                return port
        self.next = self.first
        return self.take()


def is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(('127.0.0.1', port))
        except OSError:
            return False
    return True


PORTS = PortRange()
