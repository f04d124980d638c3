"""Request rate limits that rules set for each customer."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend import errors
from lavenderbend.observe import metrics

if TYPE_CHECKING:
    from lavenderbend.coordination import interfaces
    from lavenderbend.state import configuration

# burst, in seconds of the rate
BURST_SECONDS = 1.0
MAX_BUCKETS = 10_000

refused = metrics.counter(
    'lavenderbend_rule_limit_refused_total',
    'Requests over the limit of their rule.',
)


@attrs.define
class Bucket:
    """Token bucket of one customer under one rule.

    Attributes:
        tokens: Tokens available at `refilled_at`, one per request.
        refilled_at: Router clock of the last refill.
    """

    tokens: float
    refilled_at: float


class RuleLimits:
    """Limits requests by rule and customer.

    Each router grants an equal share of the limit, because a balancer
    distributes the requests of a customer evenly over all routers. A customer
    that uses a single router gets that share only.

    Attributes:
        membership: Gives the number of routers.
        buckets: Token buckets by rule and customer, least recently used
            first.
    """

    def __init__(self, membership: interfaces.Membership) -> None:
        self.membership = membership
        self.buckets: collections.OrderedDict[tuple[str, str], Bucket] = (
            collections.OrderedDict()
        )

    def check(self, rule: configuration.Rule, customer: str) -> None:
        """Takes a token for a request.

        Raises:
            CustomerOverLimit: The customer is over the rule's limit.
        """
        if not rule.then.limit:
            return
        rate = rule.then.limit / max(1, len(self.membership.routers()))
        capacity = max(1.0, rate * BURST_SECONDS)
        bucket = self.bucket((rule.name, customer), capacity)
        now = trio.current_time()
        earned = (now - bucket.refilled_at) * rate
        bucket.tokens = min(capacity, bucket.tokens + earned)
        bucket.refilled_at = now
        if bucket.tokens >= 1.0:
            bucket.tokens -= 1.0
            return
        refused.inc({'rule': rule.name, 'customer': customer})
        raise errors.CustomerOverLimit(
            f'{customer} is over the limit of rule {rule.name}',
            retry_after=(1.0 - bucket.tokens) / rate,
        )

    def bucket(self, key: tuple[str, str], capacity: float) -> Bucket:
        """Returns the token bucket of a rule and customer."""
        bucket = self.buckets.get(key)
        if bucket is None:
            bucket = Bucket(capacity, trio.current_time())
            self.buckets[key] = bucket
            while len(self.buckets) > MAX_BUCKETS:
                self.buckets.popitem(last=False)
        self.buckets.move_to_end(key)
        return bucket
