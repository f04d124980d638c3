"""Token bucket of a customer at one router."""

from __future__ import annotations

import math

import attrs

# length of the intervals over which demand is measured
INTERVAL_SECONDS = 1.0
# requests that each router may pass once without a grant of the home router;
# with one, every second request that comes before the first is paid would be
# refused
FREE_TOKENS = 2.0
# weight of the last interval in the fast moving average
FAST_WEIGHT = 0.5
# the same in the slow average; low, because targets that follow bursts would
# add up to more tokens than the limit has
SLOW_WEIGHT = 0.1
# a router far below the limit holds tokens until its next regular report, one
# that got less than its deficit until the next interval
TARGET_SECONDS = 12.0
SCARCE_TARGET_SECONDS = 1.5
# a shorter time would let routers take tokens for several seconds again and
# again, and leave nothing for those that report after them
SCARCE_INTERVALS = 10
# a demand below this, in requests a second, counts as none
MIN_DEMAND = 0.01
# from this demand on, two requests in ten seconds, more requests are to be
# expected before the next report, and the reserve covers random variation
VARIANCE_MIN_DEMAND = 0.15
STANDARD_DEVIATIONS = 2.0
# demand, in requests a second, above which an interval without requests means
# that they moved to other routers
MOVED_MIN_DEMAND = 1.0
# fewer surplus tokens than this are returned with the next regular report
URGENT_RETURN_TOKENS = 8
# time without an answer after which the home router counts as lost
HOME_TIMEOUT_SECONDS = 3.5


@attrs.define
class Bucket:
    """Tokens of one customer at this router.

    Attributes:
        tokens: Requests that this router may still pass.
        requests: Requests in the current interval.
        demand: Slow moving average of requests a second, over about ten
            seconds.
        fast_demand: Fast moving average, over about two seconds.
        scarce_intervals: Remaining intervals with the short target, because
            the home router granted less than the deficit.
        unanswered_since: Router clock of the first report that the home
            router has not answered, None if there is none.
        fallback_until: Router clock until which even shares were added.
    """

    tokens: float = FREE_TOKENS
    requests: int = 0
    demand: float = 0.0
    fast_demand: float = 0.0
    scarce_intervals: int = 0
    unanswered_since: float | None = None
    fallback_until: float = 0.0

    def spend(self) -> bool:
        """Spends a token on a request; returns whether there was one."""
        self.requests += 1
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def end_interval(self) -> None:
        """Updates the demand with the requests of the last interval."""
        rate = self.requests / INTERVAL_SECONDS
        self.requests = 0
        self.scarce_intervals = max(0, self.scarce_intervals - 1)
        # after high demand, an interval without requests means that they moved
        # to other routers; the slow average would hold their tokens unused
        # for several seconds
        moved = not rate and self.demand > MOVED_MIN_DEMAND
        weight = FAST_WEIGHT if moved else SLOW_WEIGHT
        self.demand += weight * (rate - self.demand)
        self.fast_demand += FAST_WEIGHT * (rate - self.fast_demand)
        if self.demand < MIN_DEMAND:
            self.demand = self.fast_demand = 0.0

    def target(self) -> float:
        """Returns the tokens expected to be spent until the next report."""
        short_target = self.fast_demand * SCARCE_TARGET_SECONDS
        if self.scarce_intervals:
            return short_target
        return max(short_target, self.demand * TARGET_SECONDS)

    def deficit(self) -> int:
        """Returns the tokens missing to the target; negative for a surplus.

        A surplus is returned, because the customer's requests may have moved
        to other routers that need these tokens.
        """
        target = self.target()
        missing = int(FREE_TOKENS + target - self.tokens)
        if missing >= 0 or self.tokens <= FREE_TOKENS + 2 * target:
            return max(0, missing)
        return missing

    def is_urgent(self) -> bool:
        """Returns whether a report is needed before the regular one.

        That is so if requests may be refused: here for lack of tokens, or at
        other routers for a large surplus held here.
        """
        if self.deficit() <= -URGENT_RETURN_TOKENS:
            return True
        min_tokens = max(1.0, self.fast_demand * SCARCE_TARGET_SECONDS)
        if not self.scarce_intervals and self.demand >= VARIANCE_MIN_DEMAND:
            min_tokens = max(
                min_tokens,
                self.demand + STANDARD_DEVIATIONS * math.sqrt(self.demand),
            )
        return self.tokens < min_tokens

    def is_idle(self) -> bool:
        """Returns whether the customer has no demand at this router."""
        return not self.demand and not self.requests

    def note_report(self, now: float) -> None:
        """Records that a report was sent to the home router."""
        if self.unanswered_since is None:
            self.unanswered_since = now

    def add_grant(self, tokens: int, max_tokens: float) -> None:
        """Adds the tokens that the home router granted."""
        if tokens < self.deficit():
            self.scarce_intervals = SCARCE_INTERVALS
        self.tokens = min(self.tokens + tokens, max_tokens)
        self.unanswered_since = None

    def add_even_share(self, rate: float, now: float) -> None:
        """Adds an even share of the limit while the home does not answer.

        Without it, the loss of a home router would stop its customers until
        all views have dropped it. The even shares of all routers add up to
        the limit and no more.

        Args:
            rate: Tokens a second of the even share.
            now: Router clock.
        """
        since = self.unanswered_since
        if since is None or now < since + HOME_TIMEOUT_SECONDS:
            return
        start = max(self.fallback_until, since + HOME_TIMEOUT_SECONDS)
        self.fallback_until = now
        max_tokens = max(1.0, rate)
        if self.tokens < max_tokens:
            added = (now - start) * rate
            self.tokens = min(max_tokens, self.tokens + added)
