"""Room for short calls beside streams: chunks are gathered under load."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import attrs

from lavenderbend.observe import metrics

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

# share by which an interval is shorter or longer
JITTER_FRACTION = 0.5

interval_gauge = metrics.gauge(
    'lavenderbend_relay_interval_seconds',
    'Least time between two pieces of one stream; 0 while there is room.',
)


@attrs.frozen
class PacingSettings:
    """When and how far streams give way.

    Attributes:
        enabled: Whether streams give way at all.
        low: Share of one core below which the interval shrinks.
        high: Share of one core above which it grows.
        sample_seconds: Time over which the share is taken.
        step_seconds: Least growth.
        max_seconds: Longest interval; with it a stream still gets several
            tokens' worth of pieces within the time between two tokens that
            readers accept.
    """

    enabled: bool = True
    low: float = 0.25
    high: float = 0.4
    sample_seconds: float = 0.1
    step_seconds: float = 0.004
    max_seconds: float = 0.04


class RelayPacer:
    """Sets the least time between two pieces of one stream.

    A process has one thread. Streams that bring a token every few
    milliseconds fill it, and each step of an instant call then waits behind
    a chunk of every stream. A stream that pauses a little finds several
    tokens at its next read and passes them on at the price of one.

    Attributes:
        rng: Spreads the pieces of streams over time.
        settings: When and how far streams give way.
        interval: Seconds between two pieces, 0 for no pause.
        sampled_at: Wall clock of the last sample.
        used: Processor seconds at the last sample.
    """

    def __init__(
        self,
        rng: random.Random,
        settings: PacingSettings | None = None,
        clock: Callable[[], float] = time.perf_counter,
        cpu_clock: Callable[[], float] = time.process_time,
    ) -> None:
        self.rng = rng
        self.settings = settings or PacingSettings()
        self.clock = clock
        self.cpu_clock = cpu_clock
        self.interval = 0.0
        self.sampled_at = clock()
        self.cpu_seconds = cpu_clock()

    def pause_seconds(self, last: float) -> float:
        """Returns how long a stream with bytes to pass on should wait.

        Args:
            last: Wall clock of its last piece, 0 for none.
        """
        now = self.clock()
        if now - self.sampled_at >= self.settings.sample_seconds:
            self.update_interval(now)
        if not self.interval:
            return 0.0
        # streams that once passed on a piece together would do so for ever,
        # and an instant call would wait behind all of them at once
        jitter = 1.0 + JITTER_FRACTION * (2.0 * self.rng.random() - 1.0)
        return last + self.interval * jitter - now

    def update_interval(self, now: float) -> None:
        """Adapts the interval to the share of the core in use."""
        cpu_seconds = self.cpu_clock()
        share = (cpu_seconds - self.cpu_seconds) / (now - self.sampled_at)
        self.sampled_at = now
        self.cpu_seconds = cpu_seconds
        settings = self.settings
        if not settings.enabled:
            return
        if share > settings.high:
            longer = self.interval * 1.5 + settings.step_seconds
            self.interval = min(longer, settings.max_seconds)
        elif share < settings.low and self.interval:
            shorter = self.interval * 0.8
            floor = settings.step_seconds / 2
            self.interval = shorter if shorter > floor else 0.0
        interval_gauge.set({}, self.interval)
