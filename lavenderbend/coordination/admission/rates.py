"""How fast permits of a group come back."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from lavenderbend.state import permits

RATE_WEIGHT = 0.2
PERIOD_SECONDS = 1.0


class Rates:
    """Smoothed rates and times of permits.

    Attributes:
        rate: Permits given back a second; 0 before the first.
        customers: The same by customer.
        service: Seconds that a permit is held, smoothed.
    """

    def __init__(self) -> None:
        self.rate = 0.0
        self.customers: dict[int, float] = {}
        self.service = 0.0
        self.released: collections.Counter[int] = collections.Counter()
        self.at = trio.current_time()

    def note(self, permit: permits.LivePermit) -> None:
        """Notes a permit that came back."""
        self.released[permit.customer] += 1
        held = trio.current_time() - permit.granted_at
        if self.service == 0.0:
            self.service = held
        self.service += 0.02 * (held - self.service)

    def measure(self) -> None:
        """Updates the rates, once a period."""
        now = trio.current_time()
        elapsed = now - self.at
        if elapsed < PERIOD_SECONDS:
            return
        self.rate = smooth(self.rate, self.released.total() / elapsed)
        for customer in sorted({*self.customers, *self.released}):
            before = self.customers.get(customer, 0.0)
            rate = smooth(before, self.released[customer] / elapsed)
            self.customers[customer] = rate
            if rate < 0.001:
                del self.customers[customer]
        self.released.clear()
        self.at = now


def smooth(before: float, now: float) -> float:
    """Returns the smoothed value; the first one as it is."""
    if before == 0.0:
        return now
    return before + RATE_WEIGHT * (now - before)
