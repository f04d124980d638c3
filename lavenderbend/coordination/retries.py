"""Retry budget and backoff of failed attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

if TYPE_CHECKING:
    from collections.abc import Mapping
    import random

ATTEMPT_HEADER = 'x-lavenderbend-attempt'
MAX_ATTEMPT_HEADER = 1000


@attrs.frozen
class RetrySettings:
    """Limits of retries.

    Attributes:
        share: Retries allowed per first attempt of a pool.
        minimum: Retries per second that are allowed at any traffic.
        burst: Most retries at once.
        base_delay: Upper bound of the first delay, in seconds.
        max_delay: Upper bound of any delay, in seconds.
    """

    share: float = 0.1
    minimum: float = 0.2
    burst: float = 10.0
    base_delay: float = 0.025
    max_delay: float = 1.0


class RetryBudget:
    """Token bucket that limits the retries of one pool.

    When a whole pool fails, every request would be retried and the pool would
    get several times its load while it fails. The budget limits the added
    load to a share of the traffic, however many requests fail.

    Attributes:
        settings: The limits.
        tokens: Retries that are allowed now.
        refilled_at: Router clock of the last refill.
        granted: Number of retries allowed so far.
        denied: Number of retries denied so far.
    """

    def __init__(self, settings: RetrySettings | None = None) -> None:
        self.settings = settings or RetrySettings()
        self.tokens = self.settings.burst
        self.refilled_at = trio.current_time()
        self.granted = 0
        self.denied = 0

    def note_request(self) -> None:
        """Counts a first attempt, which adds a fraction of a token."""
        self.refill(self.settings.share)

    def try_take(self) -> bool:
        """Takes a token for a retry; returns whether there was one."""
        self.refill(0.0)
        if self.tokens < 1.0:
            self.denied += 1
            return False
        self.tokens -= 1.0
        self.granted += 1
        return True

    def refill(self, earned: float) -> None:
        """Adds the tokens earned by traffic and by elapsed time."""
        now = trio.current_time()
        earned += (now - self.refilled_at) * self.settings.minimum
        self.refilled_at = now
        self.tokens = min(self.tokens + earned, self.settings.burst)


def backoff(
    attempt: int,
    rng: random.Random,
    deadline: float,
    settings: RetrySettings | None = None,
) -> float | None:
    """Returns the seconds to wait before an attempt, with full jitter.

    Args:
        attempt: Number of the next attempt; the first retry is 1.
        rng: Random source of the jitter.
        deadline: Router clock at which the caller is told to give up.
        settings: The bounds.

    Returns:
        The delay, or None if the attempt would start past the deadline.
    """
    settings = settings or RetrySettings()
    doublings = min(max(attempt, 1) - 1, 32)
    bound = min(settings.base_delay * 2.0**doublings, settings.max_delay)
    delay = rng.uniform(0.0, bound)
    if trio.current_time() + delay >= deadline:
        return None
    return delay


def earlier_attempts(headers: Mapping[str, str]) -> int:
    """Returns how many attempts earlier hops have made.

    A request that carries the header is itself a retry. If it were retried
    here as well, attempts would multiply at each hop: three hops of three
    attempts each would send one failing request 27 times.
    """
    text = headers.get(ATTEMPT_HEADER, '')
    if not text.isascii() or not text.isdigit():
        return 0
    return min(int(text[:4]), MAX_ATTEMPT_HEADER)


def may_retry(headers: Mapping[str, str]) -> bool:
    """Returns whether this router may retry: only first attempts may be."""
    return earlier_attempts(headers) == 0
