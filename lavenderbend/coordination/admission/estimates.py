"""Estimates of how long a request waits, compared with its deadline."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from lavenderbend import errors
from lavenderbend.coordination.admission import rates

if TYPE_CHECKING:
    from lavenderbend.coordination.admission import waiter as waiter_

MIN_RETRY_AFTER_SECONDS = 1.0
# factor on the estimate: later requests may overtake one that already waits
ESTIMATE_MARGIN = 1.25
# most of a request's total time that is kept for running it
MAX_SERVICE_FRACTION = 0.25
# a customer's rate of less time no longer matters
FORGOTTEN_SECONDS = 0.001


class WaitEstimates:
    """Estimates waiting times from the rates at which permits are granted.

    Attributes:
        releases: Release rate and service time of the group's permits.
        grants: Grants to all queued requests.
        customer_grants: Grants to those of each customer that has or had
            requests queued.
        full_load: Load at which requests last waited.
        expected_rate: Grants per second that are expected at this load, 0 if
            unknown.
    """

    def __init__(self, releases: rates.ReleaseRates) -> None:
        self.releases = releases
        self.grants = rates.GrantRate()
        self.customer_grants: dict[int, rates.GrantRate] = {}
        self.full_load = 0
        self.expected_rate = 0.0

    def expect(self, load: int) -> None:
        """Sets the expected rate by the load at which requests wait."""
        self.full_load = load
        self.expected_rate = self.releases.expected_rate(load)

    def note_queued(self, customer: int) -> None:
        """Counts a request of a customer that now waits."""
        self.grants.note_queued()
        if customer not in self.customer_grants:
            self.customer_grants[customer] = rates.GrantRate()
        self.customer_grants[customer].note_queued()

    def note_left(self, customer: int, granted: bool = False) -> None:
        """Counts a request of a customer that no longer waits."""
        self.grants.note_left(granted)
        self.customer_grants[customer].note_left(granted)

    def update(self, load: int) -> None:
        """Updates the rates; forgets customers whose requests are served.

        Args:
            load: Load of the group.
        """
        if self.grants.waiting:
            self.expect(load)
        full = load >= self.full_load
        self.grants.update(full)
        for customer, grants in list(self.customer_grants.items()):
            grants.update(full)
            if not grants.waiting and grants.seconds < FORGOTTEN_SECONDS:
                del self.customer_grants[customer]

    def estimate(
        self, ahead: int, ahead_of_customer: int, customer: int
    ) -> float:
        """Returns the seconds that a request will wait, 0 if unknown.

        Args:
            ahead: Number of requests before it.
            ahead_of_customer: How many of them are its customer's.
            customer: Short id of its customer.
        """
        seconds = 0.0
        rate = self.grants.per_second(self.expected_rate)
        if rate > 0:
            seconds = (ahead + 1) / rate
        grants = self.customer_grants.get(customer)
        if grants is not None and grants.waiting and ahead_of_customer > 0:
            part = grants.waiting / self.grants.waiting
            customer_rate = grants.per_second(rate * part)
            if customer_rate > 0:
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
        service = min(
            self.releases.service_seconds, MAX_SERVICE_FRACTION * total
        )
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
