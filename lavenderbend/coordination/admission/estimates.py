"""How long a request will wait, and whether that is too long."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from lavenderbend import errors

if TYPE_CHECKING:
    from lavenderbend.coordination.admission import rates as rates_
    from lavenderbend.coordination.admission import waiter as waiter_

MIN_RETRY_AFTER_SECONDS = 1.0
# requests that come later may go before one that waits already
ESTIMATE_MARGIN = 1.25
SERVICE_PART = 0.25


class Estimates:
    """Estimates by the rates at which permits come back."""

    def __init__(self, rates: rates_.Rates) -> None:
        self.rates = rates

    def estimate(self, ahead: int, mine: int, customer: int) -> float:
        """Returns the seconds that a request will wait, 0 if unknown.

        Args:
            ahead: Requests before it.
            mine: Those of them that are its customer's.
            customer: Its customer.
        """
        rates = self.rates
        seconds = 0.0
        if rates.rate > 0:
            seconds = (ahead + 1) / rates.rate
        own_rate = rates.customers.get(customer, 0.0)
        if own_rate > 0 and mine > 0:
            seconds = max(seconds, (mine + 1) / own_rate)
        return seconds * ESTIMATE_MARGIN

    def too_late(self, ahead: int, mine: int, waiter: waiter_.Waiter) -> bool:
        """Returns whether a request would not be served in time.

        One that is granted just before its deadline would run for nobody:
        some of the time that requests take is kept for it to run.
        """
        left = waiter.deadline - trio.current_time()
        if left <= 0:
            return True
        whole = waiter.deadline - waiter.since
        service = min(self.rates.service, SERVICE_PART * whole)
        seconds = self.estimate(ahead, mine, waiter.ask.customer)
        return seconds > 0 and seconds + service > left

    def pool_full(
        self, ahead: int, mine: int, customer: int
    ) -> errors.PoolFull:
        """Returns the error for a request with so many before it."""
        seconds = self.estimate(ahead, mine, customer)
        retry_after = max(MIN_RETRY_AFTER_SECONDS, round(seconds, 1))
        return errors.PoolFull(
            f'{ahead} requests wait before this one', retry_after
        )
