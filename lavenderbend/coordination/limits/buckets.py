"""What a router may still pass of a customer."""

from __future__ import annotations

import math

import attrs

INTERVAL_SECONDS = 1.0
# each router may pass as many requests without a grant of the home, once;
# one would refuse every second request that comes while the first is unpaid
FREE_TOKENS = 2.0
SURGE_WEIGHT = 0.5
# slow, since targets of bursts would add up to more tokens than there are
DEMAND_WEIGHT = 0.1
# a router far below the limit holds what it needs until the next report that
# goes anyway, one that got less than it wanted till the next interval
CALM_SECONDS = 12.0
PRESSED_SECONDS = 1.5
# short ones would let routers take seconds' worth again and again, and those
# that report after them would find nothing
PRESSED_INTERVALS = 10
# less demand than this, in requests a second, is left out of the target
LEAST_DEMAND = 0.01
# two requests in ten seconds: more are to be expected before the next report
LIKELY_DEMAND = 0.15
SPREADS = 2.0
GONE_DEMAND = 1.0
# fewer tokens than this wait for the next report to be given back
RETURN_TOKENS = 8
SILENT_SECONDS = 3.5


@attrs.define
class Bucket:
    """The tokens of one customer at this router.

    Attributes:
        tokens: Requests that it may still pass.
        asked: Requests since the last interval.
        demand: Requests asked for a second, over some ten seconds.
        surge: The same over two seconds.
        pressed: Intervals for which it asks for little, since the home gave
            less than was wanted.
        unanswered_since: Router clock of the first report that the home has
            not answered, None if there is none.
        made_at: Router clock until which an even part has been added.
    """

    tokens: float = FREE_TOKENS
    asked: int = 0
    demand: float = 0.0
    surge: float = 0.0
    pressed: int = 0
    unanswered_since: float | None = None
    made_at: float = 0.0

    def spend(self) -> bool:
        """Takes a token; returns whether there was one."""
        self.asked += 1
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def end_interval(self) -> None:
        """Counts the requests of an interval into the demand."""
        rate = self.asked / INTERVAL_SECONDS
        self.asked = 0
        self.pressed = max(0, self.pressed - 1)
        # an interval without any of many requests: they go elsewhere now, and
        # the slow mean would claim seconds' worth of tokens for nobody
        gone = not rate and self.demand > GONE_DEMAND
        weight = SURGE_WEIGHT if gone else DEMAND_WEIGHT
        self.demand += weight * (rate - self.demand)
        self.surge += SURGE_WEIGHT * (rate - self.surge)
        if self.demand < LEAST_DEMAND:
            self.demand = self.surge = 0.0

    def need(self) -> float:
        """Returns the tokens for what is asked of it until a report goes."""
        soon = self.surge * PRESSED_SECONDS
        if self.pressed:
            return soon
        return max(soon, self.demand * CALM_SECONDS)

    def want(self) -> int:
        """Returns the tokens that it lacks; below 0, what is too many.

        What nobody spends is given back: a customer whose requests move to
        other routers would otherwise wait for tokens that lie here.
        """
        need = self.need()
        missing = int(FREE_TOKENS + need - self.tokens)
        if missing >= 0 or self.tokens <= FREE_TOKENS + 2 * need:
            return max(0, missing)
        return missing

    def urgent(self) -> bool:
        """Returns whether a request may be refused, here or elsewhere."""
        if self.want() <= -RETURN_TOKENS:
            return True
        least = max(1.0, self.surge * PRESSED_SECONDS)
        if not self.pressed and self.demand >= LIKELY_DEMAND:
            least = max(least, self.demand + SPREADS * math.sqrt(self.demand))
        return self.tokens < least

    def quiet(self) -> bool:
        """Returns whether there is no demand left."""
        return not self.demand and not self.asked

    def reported(self, now: float) -> None:
        """Notes that the home has been asked."""
        if self.unanswered_since is None:
            self.unanswered_since = now

    def granted(self, tokens: int, most: float) -> None:
        """Adds what the home gave."""
        if tokens < self.want():
            self.pressed = PRESSED_INTERVALS
        self.tokens = min(self.tokens + tokens, most)
        self.unanswered_since = None

    def add_even_part(self, rate: float, now: float) -> None:
        """Adds an even part of the limit while the home does not answer.

        A lost home would otherwise stop its customers altogether until all
        views have dropped it. Even parts add up to the limit, no more.
        """
        since = self.unanswered_since
        if since is None or now < since + SILENT_SECONDS:
            return
        start = max(self.made_at, since + SILENT_SECONDS)
        self.made_at = now
        most = max(1.0, rate)
        if self.tokens < most:
            added = (now - start) * rate
            self.tokens = min(most, self.tokens + added)
