"""The tokens of one customer at its home router."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lavenderbend.coordination.limits import buckets

if TYPE_CHECKING:
    from lavenderbend.state import configuration

# a token is on its way for two intervals, in the pool and at a router: with
# fewer, less than the limit would come through
COVERED_SECONDS = 2.0
WAITING_SECONDS = 2.5
FORGOTTEN_SECONDS = 40.0


@attrs.define
class Lease:
    """What a router has of a customer's tokens.

    Attributes:
        want: What it wanted.
        waits: Whether it got less.
        held: Tokens it holds above those that are free.
        at: Router clock of its last report.
    """

    want: int
    waits: bool
    held: float
    at: float


@attrs.define
class Pool:
    """Tokens that come at the rate of the limit and go to routers.

    Whatever routers do, no more goes out than came in.

    Attributes:
        rate: Tokens a second.
        most: Most tokens, with those that routers hold.
        at: Router clock of the last refill.
        tokens: Tokens in the pool.
        held: Tokens that routers hold, sum of the leases.
        leases: By router.
        swept_at: Router clock when old leases were last looked for.
        waiting: Tokens wanted by routers that got less, as last counted.
        counted_at: Router clock of that count.
    """

    rate: float
    most: float
    at: float
    tokens: float = 0.0
    held: float = 0.0
    leases: dict[str, Lease] = attrs.field(factory=dict)
    swept_at: float = 0.0
    waiting: int = 0
    counted_at: float = -1.0

    def set_limit(self, limit: configuration.Customer) -> None:
        """Goes by a limit, which may have changed."""
        self.rate = limit.requests_per_second
        self.most = most_tokens(limit)

    def refill(self, now: float) -> None:
        """Adds the tokens of the time that has passed."""
        room = max(0.0, self.most - self.held)
        added = (now - self.at) * self.rate
        self.tokens = min(max(self.tokens, 0.0) + added, room)
        self.at = now

    def count_waiting(self, now: float) -> None:
        """Counts, once an interval, what waiting routers want.

        Counted at each report it would cost the square of the routers.
        """
        if now < self.counted_at + buckets.INTERVAL_SECONDS:
            return
        self.counted_at = now
        self.waiting = sum(
            one.want
            for one in self.leases.values()
            if one.waits and one.at > now - WAITING_SECONDS
        )

    def sweep(self, now: float) -> None:
        """Forgets routers that have not reported for long."""
        if now < self.swept_at + FORGOTTEN_SECONDS:
            return
        self.swept_at = now
        for router, one in list(self.leases.items()):
            if one.at < now - FORGOTTEN_SECONDS:
                del self.leases[router]
        self.held = sum(one.held for one in self.leases.values())

    def report(self, router: str, want: int, held: int, now: float) -> int:
        """Takes a router's report; returns the tokens that it gets."""
        self.sweep(now)
        before = self.leases.get(router)
        if before is not None:
            self.held -= before.held
        lease = Lease(want, False, 0.0, now)
        self.leases[router] = lease
        self.count_waiting(now)
        self.refill(now)
        granted = self.grant(want)
        lease.waits = granted < want
        lease.held = max(0.0, held + granted - buckets.FREE_TOKENS)
        self.held += lease.held
        return granted

    def grant(self, want: int) -> int:
        """Returns what goes out, by wants while there is too little."""
        if want <= 0:
            # back in the pool, but no further than it may be filled
            room = max(0.0, self.most - self.held)
            self.tokens = min(self.tokens - want, max(room, self.tokens))
            return 0
        part = 1.0
        if self.waiting > want:
            # twice the part: what is left over goes round again
            part = min(1.0, 2.0 * want / self.waiting)
        granted = int(min(want, max(1.0, self.tokens * part), self.tokens))
        self.tokens -= granted
        return granted


def most_tokens(limit: configuration.Customer) -> float:
    """Returns the most tokens of a customer in the fleet."""
    covered = limit.requests_per_second * COVERED_SECONDS
    return max(1.0, limit.burst + covered)
