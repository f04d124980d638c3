"""Pacing of streams: under load, chunks are relayed in fewer pieces."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import attrs

from lavenderbend.observe import metrics

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

# largest fraction by which an interval is shortened or lengthened
JITTER_FRACTION = 0.5

interval_gauge = metrics.gauge(
    'lavenderbend_relay_interval_seconds',
    'Least time between two pieces of one stream; 0 while there is room.',
)


@attrs.frozen
class PacingSettings:
    """Thresholds and steps of the pacing.

    Attributes:
        enabled: Whether streams are paced.
        low: Processor usage, as a share of one core, below which the
            interval is shortened.
        high: Usage above which it is lengthened.
        sample_seconds: Time over which the usage is measured.
        step_seconds: Minimum increase of the interval.
        max_seconds: Longest interval. With it a stream still relays several
            pieces within the longest time between two tokens that readers
            accept.
    """

    enabled: bool = True
    low: float = 0.25
    high: float = 0.4
    sample_seconds: float = 0.1
    step_seconds: float = 0.004
    max_seconds: float = 0.04


class RelayPacer:
    """Sets the minimum time between two pieces of one stream.

    A process has one thread. Streams with a token every few milliseconds
    saturate it, and each step of an instant call then waits for a chunk of
    every stream. A stream that pauses briefly finds several tokens at its
    next read and relays them at the cost of one.

    Attributes:
        rng: Random source of the jitter.
        settings: Thresholds and steps.
        interval: Seconds between two pieces, 0 for no pause.
        sampled_at: Wall clock of the last sample.
        cpu_seconds: Processor seconds at the last sample.
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
        """Returns the seconds that a stream with bytes to relay should wait.

        Args:
            last: Wall clock of its last piece, 0 for none.
        """
        now = self.clock()
        if now - self.sampled_at >= self.settings.sample_seconds:
            self.update_interval(now)
        if not self.interval:
            return 0.0
        # without jitter, streams that once relayed a piece at the same time
        # would stay synchronized, and an instant call would wait for all
        jitter = 1.0 + JITTER_FRACTION * (2.0 * self.rng.random() - 1.0)
        return last + self.interval * jitter - now

    def update_interval(self, now: float) -> None:
        """Adapts the interval to the processor usage."""
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
