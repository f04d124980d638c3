"""Pool of tokens of one customer at its home router."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lavenderbend.coordination.limits import buckets

if TYPE_CHECKING:
    from lavenderbend.state import configuration

# a token spends two intervals in the pool and at a router before it is used;
# with a smaller maximum, fewer requests than the limit could pass
TRANSIT_SECONDS = 2.0
# a waiting router counts as such for this time after its last report
WAITING_LEASE_SECONDS = 2.5
# the lease of a router that has not reported for this time is dropped
LEASE_RETENTION_SECONDS = 40.0


@attrs.define
class Lease:
    """Tokens of a customer that a router holds.

    Attributes:
        deficit: Tokens that its last report asked for.
        is_waiting: Whether it got less.
        held: Tokens it holds beyond the free ones.
        reported_at: Router clock of its last report.
    """

    deficit: int
    is_waiting: bool
    held: float
    reported_at: float


@attrs.define
class Pool:
    """Tokens refilled at the rate of the limit and granted to routers.

    The pool never grants more tokens than it was filled with, whatever the
    routers report.

    Attributes:
        rate: Tokens added a second.
        max_tokens: Maximum of the tokens in the pool and at routers.
        refilled_at: Router clock of the last refill.
        tokens: Tokens in the pool.
        held: Tokens that routers hold, the sum over the leases.
        leases: By router.
        cleaned_at: Router clock of the last removal of old leases.
        waiting_tokens: Tokens asked for by routers that got less, at the
            last count.
        counted_at: Router clock of that count.
    """

    rate: float
    max_tokens: float
    refilled_at: float
    tokens: float = 0.0
    held: float = 0.0
    leases: dict[str, Lease] = attrs.field(factory=dict)
    cleaned_at: float = 0.0
    waiting_tokens: int = 0
    counted_at: float = -1.0

    def set_limit(self, limit: configuration.Customer) -> None:
        """Applies a limit that may have changed."""
        self.rate = limit.requests_per_second
        self.max_tokens = max_tokens(limit)

    def refill(self, now: float) -> None:
        """Adds the tokens of the time since the last refill."""
        headroom = max(0.0, self.max_tokens - self.held)
        added = (now - self.refilled_at) * self.rate
        self.tokens = min(max(self.tokens, 0.0) + added, headroom)
        self.refilled_at = now

    def count_waiting(self, now: float) -> None:
        """Sums the tokens that waiting routers asked for, once an interval.

        At each report, the cost would be quadratic in the number of routers.
        """
        if now < self.counted_at + buckets.INTERVAL_SECONDS:
            return
        self.counted_at = now
        self.waiting_tokens = sum(
            lease.deficit
            for lease in self.leases.values()
            if lease.is_waiting
            and lease.reported_at > now - WAITING_LEASE_SECONDS
        )

    def remove_expired(self, now: float) -> None:
        """Removes leases of routers that stopped reporting."""
        if now < self.cleaned_at + LEASE_RETENTION_SECONDS:
            return
        self.cleaned_at = now
        for router, lease in list(self.leases.items()):
            if lease.reported_at < now - LEASE_RETENTION_SECONDS:
                del self.leases[router]
        self.held = sum(lease.held for lease in self.leases.values())

    def report(self, router: str, deficit: int, held: int, now: float) -> int:
        """Processes a report of a router; returns the tokens granted to it.

        Args:
            router: Router id.
            deficit: Tokens asked for; negative for tokens returned.
            held: Tokens that the router has, after returning tokens.
            now: Router clock.
        """
        self.remove_expired(now)
        previous = self.leases.get(router)
        if previous is not None:
            self.held -= previous.held
        lease = Lease(deficit, False, 0.0, now)
        self.leases[router] = lease
        self.count_waiting(now)
        self.refill(now)
        granted = self.grant(deficit)
        lease.is_waiting = granted < deficit
        lease.held = max(0.0, held + granted - buckets.FREE_TOKENS)
        self.held += lease.held
        return granted

    def grant(self, deficit: int) -> int:
        """Takes tokens out of the pool for a deficit; returns their number.

        While there are too few, they are divided in proportion to what the
        waiting routers asked for.
        """
        if deficit <= 0:
            # returned tokens fill the pool up to its maximum only
            headroom = max(0.0, self.max_tokens - self.held)
            self.tokens = min(self.tokens - deficit, max(headroom, self.tokens))
            return 0
        fraction = 1.0
        if self.waiting_tokens > deficit:
            # twice the proportional fraction; what is left over is divided
            # again
            fraction = min(1.0, 2.0 * deficit / self.waiting_tokens)
        granted = int(
            min(deficit, max(1.0, self.tokens * fraction), self.tokens)
        )
        self.tokens -= granted
        return granted


def max_tokens(limit: configuration.Customer) -> float:
    """Returns the maximum number of tokens of a customer in the fleet."""
    in_transit = limit.requests_per_second * TRANSIT_SECONDS
    return max(1.0, limit.burst + in_transit)
