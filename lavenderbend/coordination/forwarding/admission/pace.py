"""How fast an upstream processes prompts and ends requests."""

from __future__ import annotations

import math

import attrs

from lavenderbend.coordination.forwarding import loads

# Of an engine that processes prompts between the tokens of other requests.
USUAL_TOKENS_PER_SECOND = 40_000.0
# Slower or faster samples are errors of measurement, as after a lost note.
MIN_TOKENS_PER_SECOND = 2000.0
MAX_TOKENS_PER_SECOND = 400_000.0
# Shorter prompts are processed in less time than notes take to arrive.
MIN_SAMPLE_TOKENS = 2000
# Used before the first measurement. If it were too long, requests would be
# refused that could have begun in time.
USUAL_SERVICE_SECONDS = 0.05
# Requests that end sooner were released offers, not answers.
MIN_SERVICE_SECONDS = 0.02
SMOOTHING_FACTOR = 0.2
# A measured rate is not used for longer: an engine with a backlog that this
# router did not know of seems slow, and may be granted nothing for that.
RATE_LIFETIME_SECONDS = 5.0
USUAL_PACE_PERCENT = 100
# The pace changes several times a second.
PACE_LIFETIME_SECONDS = 1.0
# An upstream without news for this time is forgotten.
IDLE_SECONDS = 60.0


@attrs.define
class UpstreamPace:
    """Reading rate, service time and pace of one upstream.

    Rates and times are those at the usual pace; expected times are scaled by
    the current one.

    Attributes:
        percent: Time that work takes there, in percent of the usual time.
        percent_at: Router clock at which that was stated.
        tokens_per_second: Smoothed rate at which it processes prompts.
        rate_at: Router clock of the last sample of that rate.
        service_seconds: Smoothed time from a grant to the end of a request.
        service_at: Router clock of the last sample of that time.
    """

    percent: int = USUAL_PACE_PERCENT
    percent_at: float = -math.inf
    tokens_per_second: float = USUAL_TOKENS_PER_SECOND
    rate_at: float = -math.inf
    service_seconds: float = USUAL_SERVICE_SECONDS
    service_at: float = -math.inf

    def note_percent(self, percent: int, now: float) -> None:
        """Records the stated pace; ignores values out of range."""
        if loads.MIN_PACE_PERCENT <= percent <= loads.MAX_PACE_PERCENT:
            self.percent = percent
            self.percent_at = now

    def factor(self, now: float) -> float:
        """Returns the time that work takes now, relative to the usual time."""
        if now - self.percent_at >= PACE_LIFETIME_SECONDS:
            return 1.0
        return self.percent / USUAL_PACE_PERCENT

    def note_begun(self, tokens: int, seconds: float, now: float) -> None:
        """Records that an upstream has processed a prompt.

        Args:
            tokens: Tokens that it had to process.
            seconds: Time that it took.
            now: Router clock.
        """
        if tokens < MIN_SAMPLE_TOKENS or seconds <= 0:
            return
        sample = tokens / seconds * self.factor(now)
        sample = min(MAX_TOKENS_PER_SECOND, max(MIN_TOKENS_PER_SECOND, sample))
        before = self.reading_rate(now)
        self.tokens_per_second = smoothed(before, sample)
        self.rate_at = now

    def note_ended(self, seconds: float, now: float) -> None:
        """Records how long a request took there."""
        if seconds < MIN_SERVICE_SECONDS:
            return
        sample = seconds / self.factor(now)
        if self.service_at == -math.inf:
            self.service_seconds = sample
        else:
            self.service_seconds = smoothed(self.service_seconds, sample)
        self.service_at = now

    def reading_rate(self, now: float) -> float:
        """Returns the tokens processed in a second at the usual pace."""
        if now - self.rate_at >= RATE_LIFETIME_SECONDS:
            return USUAL_TOKENS_PER_SECOND
        return self.tokens_per_second

    def reading_seconds(self, tokens: int, now: float) -> float:
        """Returns the time that processing some tokens takes."""
        return tokens / self.reading_rate(now) * self.factor(now)

    def slot_seconds(self, position: int, slots: int, now: float) -> float:
        """Returns the time until some requests have ended.

        Args:
            position: How many of them.
            slots: Requests that the upstream serves at once, 0 for no limit.
            now: Router clock.
        """
        if position <= 0 or slots <= 0:
            return 0.0
        return position * self.service_seconds / slots * self.factor(now)

    def is_idle(self, now: float) -> bool:
        """Returns whether nothing has been heard for long."""
        last = max(self.percent_at, self.rate_at, self.service_at)
        return now - last >= IDLE_SECONDS


def smoothed(before: float, sample: float) -> float:
    """Returns a smoothed value with one more sample."""
    return before + SMOOTHING_FACTOR * (sample - before)
