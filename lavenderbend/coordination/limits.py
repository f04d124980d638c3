"""Request limits of customers that hold over the whole fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend import errors
from lavenderbend.observe import metrics
from lavenderbend.protocol import messages_decisions
from lavenderbend.state import hashing

if TYPE_CHECKING:
    from lavenderbend.coordination import interfaces
    from lavenderbend.protocol import peer
    from lavenderbend.state import configuration

INTERVAL_SECONDS = 1.0
SHARE_SECONDS = 3.5
# routers below this part of an even share do not report; what they may use
# together is set aside, so a customer gets at least the rest of its limit
UNREPORTED_PART = 0.1
DEMAND_WEIGHT = 0.5
HUNDREDTHS = 100
COVERED_SECONDS = 1.0

REFUSED = metrics.counter(
    'lavenderbend_customer_over_limit_total',
    'Requests over the limit of their customer.',
)


@attrs.define
class Bucket:
    """A token bucket with this router's part of a customer's limit.

    Attributes:
        rate: Tokens a second.
        capacity: Most tokens that it holds.
        tokens: Tokens at `at`.
        at: Router clock.
        asked: Requests since the last interval.
        demand: Requests asked for a second, smoothed.
        share_until: Until when `rate` holds; an even part after that.
    """

    rate: float
    capacity: float
    tokens: float
    at: float
    asked: int = 0
    demand: float = 0.0
    share_until: float = 0.0

    def refill(self, now: float) -> None:
        """Adds the tokens of the time that has passed."""
        added = (now - self.at) * self.rate
        self.tokens = min(self.capacity, self.tokens + added)
        self.at = now

    def set_rate(self, rate: float, capacity: float, now: float) -> None:
        """Changes the rate from now on."""
        self.refill(now)
        self.rate = rate
        self.capacity = capacity
        self.tokens = min(self.tokens, capacity)


@attrs.define
class Demand:
    """What one router reported of a customer to this home router.

    Attributes:
        rate: Requests a second.
        at: Router clock when it came.
        given: Part of the limit that it was last given.
    """

    rate: float
    at: float
    given: float = 0.0


class CustomerLimits:
    """Parts of each customer's limit, moved to where its requests come.

    A customer's home router, by rendezvous, hears once an interval from the
    routers that see much of the customer and divides the limit among them
    by their demand. The parts add up to the limit at all times; a router
    that hears nothing falls back to at most an even part.
    """

    def __init__(
        self,
        name: str,
        link: interfaces.PeerLink,
        membership: interfaces.Membership,
        configurations: interfaces.Configurations,
    ) -> None:
        self.name = name
        self.link = link
        self.membership = membership
        self.configurations = configurations
        self.revision = -1
        self.customers: dict[str, configuration.Customer] = {}
        self.names: dict[int, str] = {}
        self.buckets: dict[str, Bucket] = {}
        self.demands: dict[str, dict[str, Demand]] = {}
        link.handle(messages_decisions.CustomerDemand, self.on_demand)
        link.handle(messages_decisions.CustomerShare, self.on_share)

    def refresh(self) -> None:
        """Reads the configuration again if it has changed."""
        revision = self.configurations.current()
        if revision.number == self.revision:
            return
        self.revision = revision.number
        self.customers = {
            customer.name: customer
            for customer in revision.document.customers
            if customer.requests_per_second > 0
        }
        self.names = {
            messages_decisions.short_id(name): name for name in self.customers
        }
        for name in set(self.buckets) - set(self.customers):
            del self.buckets[name]

    def check(self, customer: str) -> None:
        """Counts a request of a customer.

        Raises:
            CustomerOverLimit: The customer is over its limit.
        """
        self.refresh()
        limit = self.customers.get(customer)
        if limit is None:
            return
        now = trio.current_time()
        bucket = self.bucket(limit)
        bucket.asked += 1
        if bucket.share_until < now:
            self.fall_back(limit, bucket)
        bucket.refill(now)
        if bucket.tokens >= 1.0:
            bucket.tokens -= 1.0
            return
        REFUSED.inc({'customer': customer})
        raise errors.CustomerOverLimit(
            f'{customer} is over {limit.requests_per_second:g} requests/s',
            retry_after=round((1.0 - bucket.tokens) / bucket.rate + 0.05, 1),
        )

    def even_rate(self, limit: configuration.Customer) -> float:
        """Returns an even part of a limit."""
        return limit.requests_per_second / max(
            1, len(self.membership.routers())
        )

    def capacity(self, limit: configuration.Customer, rate: float) -> float:
        """Returns what a bucket with a part of the limit may hold."""
        part = rate / limit.requests_per_second
        whole = limit.burst + limit.requests_per_second * COVERED_SECONDS
        return max(1.0, part * whole)

    def bucket(self, limit: configuration.Customer) -> Bucket:
        """Returns the bucket of a customer."""
        bucket = self.buckets.get(limit.name)
        if bucket is None:
            rate = self.even_rate(limit)
            capacity = self.capacity(limit, rate)
            bucket = Bucket(rate, capacity, capacity, trio.current_time())
            self.buckets[limit.name] = bucket
        return bucket

    def fall_back(self, limit: configuration.Customer, bucket: Bucket) -> None:
        """Goes back to an even part without a share from the home router.

        The home router may be gone while others still use larger parts:
        keeping a larger part for ever would add up to more than the limit.
        """
        rate = self.even_rate(limit)
        now = trio.current_time()
        bucket.set_rate(rate, self.capacity(limit, rate), now)

    def home(self, customer: str) -> str:
        """Returns the home router of a customer."""
        routers = self.membership.routers()
        return hashing.rendezvous(f'limit/{customer}', routers) or self.name

    async def run(self) -> None:
        """Reports demand and divides limits until cancelled."""
        while True:
            await trio.sleep(INTERVAL_SECONDS)
            try:
                self.refresh()
            except errors.NoConfiguration:
                continue
            self.report()

    def report(self) -> None:
        """Reports the demand of this interval to the home routers."""
        items: dict[str, messages_decisions.CustomerDemand] = {}
        for name, bucket in self.buckets.items():
            rate = bucket.asked / INTERVAL_SECONDS
            bucket.asked = 0
            bucket.demand += DEMAND_WEIGHT * (rate - bucket.demand)
            even = self.even_rate(self.customers[name])
            if bucket.demand < UNREPORTED_PART * even:
                continue
            item = items.setdefault(
                self.home(name), messages_decisions.CustomerDemand([], [])
            )
            item.customers.append(messages_decisions.short_id(name))
            item.rates.append(round(bucket.demand * HUNDREDTHS))
        for router, item in items.items():
            self.link.notify(router, item)

    async def on_demand(self, router: str, item: peer.Message) -> None:
        """Divides the limits of the customers that a router reports."""
        assert isinstance(item, messages_decisions.CustomerDemand)
        self.refresh()
        now = trio.current_time()
        answer = messages_decisions.CustomerShare([], [])
        for number, rate in zip(item.customers, item.rates, strict=False):
            name = self.names.get(number)
            if name is None:
                continue
            demands = self.demands.setdefault(name, {})
            before = demands.get(router)
            given = before.given if before is not None else 0.0
            demands[router] = Demand(max(1, rate) / HUNDREDTHS, now, given)
            share = self.share(self.customers[name], router)
            demands[router].given = share
            answer.customers.append(number)
            answer.rates.append(int(share * HUNDREDTHS))
        self.link.notify(router, answer)

    def share(self, limit: configuration.Customer, router: str) -> float:
        """Returns a router's part of a limit, by its demand."""
        now = trio.current_time()
        demands = self.demands[limit.name]
        for other, demand in list(demands.items()):
            if demand.at < now - SHARE_SECONDS:
                del demands[other]
        routers = self.membership.routers()
        silent = sum(name not in demands for name in routers)
        kept = silent * UNREPORTED_PART * self.even_rate(limit)
        whole = limit.requests_per_second - kept
        total = sum(demand.rate for demand in demands.values())
        part = whole * demands[router].rate / total
        # the others use what they were given until they report again: a
        # part by demand alone would add up to more than the limit till then
        given = sum(
            demand.given for other, demand in demands.items() if other != router
        )
        least = UNREPORTED_PART * self.even_rate(limit)
        return max(least, min(part, whole - given))

    async def on_share(self, router: str, item: peer.Message) -> None:
        """Uses the parts that a home router gives."""
        assert isinstance(item, messages_decisions.CustomerShare)
        self.refresh()
        now = trio.current_time()
        for number, hundredths in zip(item.customers, item.rates, strict=False):
            limit = self.customers.get(self.names.get(number, ''))
            if limit is None:
                continue
            rate = max(hundredths, 1) / HUNDREDTHS
            bucket = self.bucket(limit)
            bucket.set_rate(rate, self.capacity(limit, rate), now)
            bucket.share_until = now + SHARE_SECONDS
