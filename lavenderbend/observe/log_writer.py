"""Writes log lines without blocking on a slow reader."""

from __future__ import annotations

import collections
import os
import time
from typing import Any
from typing import TYPE_CHECKING

import orjson

if TYPE_CHECKING:
    from collections.abc import Callable

# Lines buffered for a slow reader; lines beyond this are dropped and counted.
MAX_BUFFERED_BYTES = 256 * 1024
# Lines of successful requests; failures and state changes are not sampled.
SUCCESS_LINES_PER_SECOND = 50.0
SUCCESS_LINES_BURST = 100.0
# Lines on what callers do wrong, apart from requests that were passed on.
CALLER_FAULT_LINES_PER_SECOND = 50.0
CALLER_FAULT_LINES_BURST = 100.0
# All lines together, which bounds the volume when many requests fail too.
LINES_PER_SECOND = 400.0
LINES_BURST = 800.0


class LineBudget:
    """A token bucket that limits the rate of log lines.

    Attributes:
        rate: Lines per second that the bucket is refilled with.
        burst: Capacity of the bucket, in lines.
        clock: Returns the time in seconds.
        tokens: Lines that may be written now.
        refilled_at: Time of the last refill.
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
        self.refilled_at = clock()

    def try_take(self) -> bool:
        """Takes a token for one line; returns whether there was one."""
        now = self.clock()
        self.tokens = min(
            self.burst, self.tokens + (now - self.refilled_at) * self.rate
        )
        self.refilled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class LogWriter:
    """An eliot destination that writes to a file descriptor.

    While the pipe is full, lines are buffered up to a limit and the rest are
    dropped, so that a request never waits for the reader of the logs. The
    next line that is accepted carries the number of dropped lines as
    `lines_left_out`.

    Attributes:
        descriptor: The file descriptor, set to non-blocking mode.
        max_buffered_bytes: Most bytes that are buffered.
        buffer: Lines not yet written to the descriptor.
        buffered_bytes: Size of the buffered lines.
        dropped: Lines dropped since the last line that reported a number.
        line_budget: Limits the rate of all lines.
    """

    def __init__(
        self,
        descriptor: int,
        max_buffered_bytes: int = MAX_BUFFERED_BYTES,
    ) -> None:
        self.descriptor = descriptor
        self.max_buffered_bytes = max_buffered_bytes
        self.buffer: collections.deque[bytes] = collections.deque()
        self.buffered_bytes = 0
        self.dropped = 0
        self.line_budget = LineBudget(LINES_PER_SECOND, LINES_BURST)
        os.set_blocking(descriptor, False)

    def __call__(self, message: dict[str, Any]) -> None:
        """Writes or buffers an eliot message, or drops it over a limit."""
        if not self.line_budget.try_take():
            self.dropped += 1
            return
        if self.dropped:
            message = {**message, 'lines_left_out': self.dropped}
        line = orjson.dumps(message, default=str) + b'\n'
        if self.buffered_bytes + len(line) > self.max_buffered_bytes:
            self.dropped += 1
            self.flush()
            return
        self.dropped = 0
        self.buffer.append(line)
        self.buffered_bytes += len(line)
        self.flush()

    def flush(self) -> None:
        """Writes as many buffered lines as possible without blocking."""
        while self.buffer:
            line = self.buffer[0]
            try:
                written = os.write(self.descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe, so buffered lines cannot be
                # delivered.
                self.dropped += len(self.buffer)
                self.buffer.clear()
                self.buffered_bytes = 0
                return
            self.buffered_bytes -= written
            if written < len(line):
                self.buffer[0] = line[written:]
                return
            self.buffer.popleft()
