"""Writes log lines without ever waiting for who reads them."""

from __future__ import annotations

import collections
import os
import time
from typing import Any
from typing import TYPE_CHECKING

import orjson

if TYPE_CHECKING:
    from collections.abc import Callable

# lines that wait for a slow reader; more are dropped and counted
MAX_WAITING_BYTES = 256 * 1024
# of requests that ended well; failures and changes of state are not sampled
ORDINARY_PER_SECOND = 50.0
ORDINARY_BURST = 100.0
# all lines together, so that a storm of failures stays bounded too
LINES_PER_SECOND = 400.0
LINES_BURST = 800.0


class LineBudget:
    """A token bucket for lines.

    Attributes:
        rate: Lines a second.
        burst: Lines that may come at once.
        tokens: Lines that may come now.
    """

    def __init__(
        self,
        rate: float,
        burst: float,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.rate = rate
        self.burst = burst
        self.clock = clock
        self.tokens = burst
        self.at = clock()

    def try_take(self) -> bool:
        """Takes a line if there is one left."""
        now = self.clock()
        self.tokens = min(self.burst, self.tokens + (now - self.at) * self.rate)
        self.at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class LogWriter:
    """An eliot destination that writes to a file descriptor.

    A full pipe makes it keep lines up to a bound and drop the rest: a
    request never waits for a reader of logs. What was left out is counted
    and said with the next line that goes through.

    Attributes:
        waiting: Lines that the descriptor did not take yet.
        dropped: Lines left out since the last line that said so.
    """

    def __init__(
        self,
        descriptor: int,
        max_waiting_bytes: int = MAX_WAITING_BYTES,
    ) -> None:
        self.descriptor = descriptor
        self.max_waiting_bytes = max_waiting_bytes
        self.waiting: collections.deque[bytes] = collections.deque()
        self.waiting_bytes = 0
        self.dropped = 0
        self.lines = LineBudget(LINES_PER_SECOND, LINES_BURST)
        os.set_blocking(descriptor, False)

    def __call__(self, message: dict[str, Any]) -> None:
        """Takes a message of eliot."""
        if not self.lines.try_take():
            self.dropped += 1
            return
        if self.dropped:
            message = {**message, 'lines_left_out': self.dropped}
        line = orjson.dumps(message, default=str) + b'\n'
        if self.waiting_bytes + len(line) > self.max_waiting_bytes:
            self.dropped += 1
            self.flush()
            return
        self.dropped = 0
        self.waiting.append(line)
        self.waiting_bytes += len(line)
        self.flush()

    def flush(self) -> None:
        """Writes what the descriptor takes now."""
        while self.waiting:
            line = self.waiting[0]
            try:
                written = os.write(self.descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # nobody reads any more; the next lines are of no use either
                self.dropped += len(self.waiting)
                self.waiting.clear()
                self.waiting_bytes = 0
                return
            self.waiting_bytes -= written
            if written < len(line):
                self.waiting[0] = line[written:]
                return
            self.waiting.popleft()
