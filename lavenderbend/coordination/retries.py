"""Whether and when a failed attempt is made again."""

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
        share: Retries allowed for each first attempt of a pool.
        minimum: Retries a second that are allowed at any traffic.
        burst: Retries that may come at once.
        base_delay: Upper bound of the first delay, in seconds.
        max_delay: Upper bound of any delay, in seconds.
    """

    share: float = 0.1
    minimum: float = 0.2
    burst: float = 10.0
    base_delay: float = 0.025
    max_delay: float = 1.0


class RetryBudget:
    """Retries of one pool, as a share of its traffic.

    When a pool fails as a whole, each request would be tried again and the
    pool would get several times its load just then. The budget bounds the
    added load to the share, however many requests fail.

    Attributes:
        settings: The limits.
        tokens: Retries that may be made now.
        granted: Retries that were allowed.
        denied: Retries that were not.
    """

    def __init__(self, settings: RetrySettings | None = None) -> None:
        self.settings = settings or RetrySettings()
        self.tokens = self.settings.burst
        self.at = trio.current_time()
        self.granted = 0
        self.denied = 0

    def note_request(self) -> None:
        """Counts a first attempt, which earns a share of a retry."""
        self.refill(self.settings.share)

    def try_take(self) -> bool:
        """Takes a retry if the budget allows it."""
        self.refill(0.0)
        if self.tokens < 1.0:
            self.denied += 1
            return False
        self.tokens -= 1.0
        self.granted += 1
        return True

    def refill(self, earned: float) -> None:
        """Adds what time and traffic have earned."""
        now = trio.current_time()
        earned += (now - self.at) * self.settings.minimum
        self.at = now
        self.tokens = min(self.tokens + earned, self.settings.burst)


def backoff(
    attempt: int,
    rng: random.Random,
    deadline: float,
    settings: RetrySettings | None = None,
) -> float | None:
    """Returns the seconds to wait before an attempt, with full jitter.

    Args:
        attempt: Number of the attempt to come; the first retry is 1.
        rng: Source of the jitter.
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
    """Returns how often a hop before this one has tried already.

    A request that carries the header is itself a retry. Were it tried
    again here, attempts would multiply at each hop: three hops of three
    attempts each would send one failing request 27 times.
    """
    text = headers.get(ATTEMPT_HEADER, '')
    if not text.isascii() or not text.isdigit():
        return 0
    return min(int(text[:4]), MAX_ATTEMPT_HEADER)


def may_retry(headers: Mapping[str, str]) -> bool:
    """Returns whether this router may retry: only first attempts."""
    return earlier_attempts(headers) == 0
