"""Rates at which the permits of a group are released."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from lavenderbend.state import permits

SMOOTHING_FACTOR = 0.2
PERIOD_SECONDS = 1.0


class ReleaseRates:
    """Smoothed release rates and service time of permits.

    Attributes:
        rate: Permits released per second; 0 before the first.
        customer_rates: The same by customer.
        service_seconds: Seconds that a permit is held, smoothed.
        released: Permits released in the current period, by customer.
        updated_at: Owner clock of the last update.
    """

    def __init__(self) -> None:
        self.rate = 0.0
        self.customer_rates: dict[int, float] = {}
        self.service_seconds = 0.0
        self.released: collections.Counter[int] = collections.Counter()
        self.updated_at = trio.current_time()

    def note_release(self, permit: permits.LivePermit) -> None:
        """Counts a released permit."""
        self.released[permit.customer] += 1
        held_seconds = trio.current_time() - permit.granted_at
        if self.service_seconds == 0.0:
            self.service_seconds = held_seconds
        self.service_seconds += 0.02 * (held_seconds - self.service_seconds)

    def update(self) -> None:
        """Updates the rates, at most once per period."""
        now = trio.current_time()
        elapsed = now - self.updated_at
        if elapsed < PERIOD_SECONDS:
            return
        self.rate = smooth(self.rate, self.released.total() / elapsed)
        for customer in sorted({*self.customer_rates, *self.released}):
            before = self.customer_rates.get(customer, 0.0)
            rate = smooth(before, self.released[customer] / elapsed)
            self.customer_rates[customer] = rate
            if rate < 0.001:
                del self.customer_rates[customer]
        self.released.clear()
        self.updated_at = now


def smooth(before: float, current: float) -> float:
    """Returns the exponentially smoothed value; the first one unchanged."""
    if before == 0.0:
        return current
    return before + SMOOTHING_FACTOR * (current - before)
