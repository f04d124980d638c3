"""Limits how many requests of a service may be retried."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend.observe import metrics

if TYPE_CHECKING:
    from collections.abc import Callable

# Fraction of the allowed retries that is used. The rest covers requests that
# this router counts and that others count in another window.
USABLE_FRACTION = 0.8

DENIED = metrics.counter(
    'lavenderbend_forward_repeats_denied_total',
    'Repeats that the budget did not allow, by service.',
)
RETRIES = metrics.counter(
    'lavenderbend_forward_repeats_total',
    'Requests sent once more, by service.',
)


@attrs.frozen
class RetryBudgetSettings:
    """Retries that the whole fleet may make.

    Attributes:
        share: Retries allowed for each request of a service.
        extra: Retries allowed in addition, for the whole fleet.
        window_seconds: The time over which both are counted.
    """

    share: float = 0.1
    extra: float = 10.0
    window_seconds: float = 10.0


class SlidingWindow:
    """Counts events within the last seconds."""

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        self.timestamps: collections.deque[float] = collections.deque()

    def add(self) -> None:
        """Counts an event that happens now."""
        self.timestamps.append(trio.current_time())

    def count(self) -> int:
        """Drops expired events and returns the number of the others."""
        oldest = trio.current_time() - self.seconds
        while self.timestamps and self.timestamps[0] < oldest:
            self.timestamps.popleft()
        return len(self.timestamps)


class RetryBudget:
    """This router's portion of the fleet's retry budget.

    Each router may retry a share of its own requests, and an equal portion
    of the extra. While the divisor is unknown, the router has no portion of
    the extra: together the routers must not exceed what the fleet is allowed,
    even if they exchange few messages.

    Attributes:
        settings: Retries that the fleet may make.
        divisor: Returns by how many the extra is divided, 0 for unknown.
        requests: Requests by service.
        retries: Retries by service.
    """

    def __init__(
        self, settings: RetryBudgetSettings, divisor: Callable[[], int]
    ) -> None:
        self.settings = settings
        self.divisor = divisor
        self.requests: dict[str, SlidingWindow] = {}
        self.retries: dict[str, SlidingWindow] = {}

    def window(
        self, windows: dict[str, SlidingWindow], service: str
    ) -> SlidingWindow:
        """Returns the window of a service, created if there is none."""
        if service not in windows:
            windows[service] = SlidingWindow(self.settings.window_seconds)
        return windows[service]

    def note_request(self, service: str) -> None:
        """Counts a request that goes to a service."""
        window = self.window(self.requests, service)
        window.add()
        window.count()

    def allowed(self, service: str) -> float:
        """Returns how many retries this router may make within a window."""
        requests = self.window(self.requests, service).count()
        divisor = self.divisor()
        extra = self.settings.extra / divisor if divisor else 0.0
        return USABLE_FRACTION * (self.settings.share * requests + extra)

    def available(self, service: str) -> bool:
        """Returns whether the budget allows one more retry."""
        window = self.window(self.retries, service)
        return window.count() + 1 <= self.allowed(service)

    def try_take(self, service: str) -> bool:
        """Takes a retry from the budget; returns whether it allows one."""
        if not self.available(service):
            DENIED.inc({'service': service})
            return False
        self.window(self.retries, service).add()
        RETRIES.inc({'service': service})
        return True
