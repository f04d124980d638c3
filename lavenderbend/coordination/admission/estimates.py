"""Estimates of how long a request waits, compared with its deadline."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from lavenderbend import errors

if TYPE_CHECKING:
    from lavenderbend.coordination.admission import rates as rates_
    from lavenderbend.coordination.admission import waiter as waiter_

MIN_RETRY_AFTER_SECONDS = 1.0
# factor on the estimate: later requests may overtake one that already waits
ESTIMATE_MARGIN = 1.25
# most of a request's total time that is kept for running it
MAX_SERVICE_FRACTION = 0.25


class WaitEstimates:
    """Estimates waiting times from the rates at which permits are released."""

    def __init__(self, rates: rates_.ReleaseRates) -> None:
        self.rates = rates

    def estimate(
        self, ahead: int, ahead_of_customer: int, customer: int
    ) -> float:
        """Returns the seconds that a request will wait, 0 if unknown.

        Args:
            ahead: Number of requests before it.
            ahead_of_customer: How many of them are its customer's.
            customer: Short id of its customer.
        """
        rates = self.rates
        seconds = 0.0
        if rates.rate > 0:
            seconds = (ahead + 1) / rates.rate
        customer_rate = rates.customer_rates.get(customer, 0.0)
        if customer_rate > 0 and ahead_of_customer > 0:
            seconds = max(seconds, (ahead_of_customer + 1) / customer_rate)
        return seconds * ESTIMATE_MARGIN

    def too_late(
        self, ahead: int, ahead_of_customer: int, waiter: waiter_.Waiter
    ) -> bool:
        """Returns whether a request cannot be served by its deadline.

        Part of the time is kept for the request to run: the caller of a
        request granted just before its deadline would have given up by the
        time the answer is ready.
        """
        left = waiter.deadline - trio.current_time()
        if left <= 0:
            return True
        total = waiter.deadline - waiter.arrived_at
        service = min(self.rates.service_seconds, MAX_SERVICE_FRACTION * total)
        seconds = self.estimate(
            ahead, ahead_of_customer, waiter.request.customer
        )
        return seconds > 0 and seconds + service > left

    def pool_full(
        self, ahead: int, ahead_of_customer: int, customer: int
    ) -> errors.PoolFull:
        """Returns the error for a request with so many before it."""
        seconds = self.estimate(ahead, ahead_of_customer, customer)
        retry_after = max(MIN_RETRY_AFTER_SECONDS, round(seconds, 1))
        return errors.PoolFull(
            f'pool is full: {ahead} requests are queued before this one',
            retry_after,
        )
