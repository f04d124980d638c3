"""Limits of customers, enforced with tokens granted by home routers."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import trio

from lavenderbend import errors
from lavenderbend.coordination.limits import buckets
from lavenderbend.coordination.limits import pools
from lavenderbend.observe import metrics
from lavenderbend.protocol import messages_decisions
from lavenderbend.state import hashing

if TYPE_CHECKING:
    from lavenderbend.coordination import interfaces
    from lavenderbend.protocol import peer
    from lavenderbend.state import configuration

# customers of a group share a home router, so that one message covers many
GROUPS = 16
# a router reports to a home at this interval, sooner if a bucket runs low
REPORT_SECONDS = 10.0
MAX_RETRY_SECONDS = 60.0
# a router that stood still for this long may have been replaced as a home
MAX_STANDSTILL_SECONDS = 3.0

REFUSED = metrics.counter(
    'lavenderbend_customer_over_limit_total',
    'Requests over the limit of their customer.',
)


def group_of(customer: str) -> int:
    """Returns the group of a customer."""
    return messages_decisions.short_id(customer) % GROUPS


class CustomerLimits:
    """Enforces limits of customers with leased tokens.

    Each request spends a token of a bucket in memory. The home router of a
    group of customers, chosen by rendezvous hashing, fills a pool of tokens
    for each customer at the rate of its limit. Routers whose buckets are not
    full request whole tokens from it, for all customers of that home in one
    message.
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
        self.buckets: dict[str, buckets.Bucket] = {}
        self.active: set[str] = set()
        self.reported_at: dict[str, float] = {}
        self.pools: dict[str, pools.Pool] = {}
        self.routers: tuple[str, ...] = ()
        self.homes: list[str] = []
        self.home_since = [0.0] * GROUPS
        self.ran_at = 0.0
        link.handle(messages_decisions.CustomerDemand, self.on_demand)
        link.handle(messages_decisions.CustomerShare, self.on_share)

    def refresh(self) -> None:
        """Applies the configuration if its revision has changed."""
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
            self.active.discard(name)
        for name in set(self.pools) - set(self.customers):
            del self.pools[name]
        for name, pool in self.pools.items():
            pool.set_limit(self.customers[name])

    def refresh_homes(self) -> None:
        """Recomputes the home routers if the live routers have changed.

        Pools of groups that moved to another home are dropped. If the group
        came back, such a pool would be full although the other home has
        granted tokens meanwhile. A router that stood still does not see that
        its groups had another home.
        """
        self.note_running()
        routers = self.membership.routers()
        if self.homes and routers == self.routers:
            return
        self.routers = routers
        previous_homes = self.homes or [''] * GROUPS
        self.homes = [
            hashing.rendezvous(f'limit/{group}', routers) or self.name
            for group in range(GROUPS)
        ]
        now = trio.current_time()
        for group, home in enumerate(self.homes):
            if home != previous_homes[group]:
                self.home_since[group] = now
        for name in [
            customer
            for customer in self.pools
            if self.home(customer) != self.name
        ]:
            del self.pools[name]

    def note_running(self) -> None:
        """Drops all pools if this router stood still until now."""
        now = trio.current_time()
        if now - self.ran_at > MAX_STANDSTILL_SECONDS:
            self.pools.clear()
            self.home_since = [now] * GROUPS
        self.ran_at = now

    def home(self, customer: str) -> str:
        """Returns the home router of a customer."""
        self.refresh_homes()
        return self.homes[group_of(customer)]

    def check(self, customer: str) -> None:
        """Spends a token for a request of a customer.

        Raises:
            CustomerOverLimit: The customer is over its limit.
        """
        self.refresh()
        limit = self.customers.get(customer)
        if limit is None:
            return
        bucket = self.buckets.get(customer)
        if bucket is None:
            bucket = self.buckets[customer] = buckets.Bucket()
        self.active.add(customer)
        if bucket.unanswered_since is not None:
            self.add_even_share(limit, bucket)
        if bucket.spend():
            return
        REFUSED.inc({'customer': customer})
        rate = limit.requests_per_second
        wait = max(buckets.INTERVAL_SECONDS, 1.0 / rate)
        raise errors.CustomerOverLimit(
            f'{customer} is over {rate:g} requests/s',
            retry_after=round(min(MAX_RETRY_SECONDS, wait), 1),
        )

    def add_even_share(
        self, limit: configuration.Customer, bucket: buckets.Bucket
    ) -> None:
        """Adds this router's even share if the home does not answer."""
        count = max(1, len(self.membership.routers()))
        bucket.add_even_share(
            limit.requests_per_second / count, trio.current_time()
        )

    async def run(self) -> None:
        """Reports token deficits periodically until cancelled.

        Each router starts at a different phase. If all reported at the same
        moment, the first would find the tokens of a whole interval, in a
        surge two to three times what the others get, and the home would
        process all reports at once.
        """
        phase = hashing.hash64('limits', self.name) / hashing.MAX_HASH
        await trio.sleep(phase * buckets.INTERVAL_SECONDS)
        while True:
            await trio.sleep(buckets.INTERVAL_SECONDS)
            try:
                self.refresh()
            except errors.NoConfiguration:
                continue
            self.report()

    def report(self) -> None:
        """Reports to the homes for which a report is due or urgent."""
        self.refresh_homes()
        now = trio.current_time()
        reporting: dict[str, list[str]] = collections.defaultdict(list)
        due: set[str] = set()
        for name in list(self.active):
            bucket = self.buckets[name]
            bucket.end_interval()
            if not bucket.deficit():
                if bucket.is_idle():
                    self.active.discard(name)
                continue
            home = self.homes[group_of(name)]
            reporting[home].append(name)
            is_waiting = bucket.unanswered_since is not None
            if (
                is_waiting
                or bucket.is_urgent()
                or self.is_report_due(home, now)
            ):
                due.add(home)
        for home in sorted(due):
            self.reported_at[home] = now
            self.report_to(home, reporting[home], now)

    def is_report_due(self, home: str, now: float) -> bool:
        """Returns whether the regular report to a home is due."""
        return now >= self.reported_at.get(home, 0.0) + REPORT_SECONDS

    def report_to(self, home: str, names: list[str], now: float) -> None:
        """Reports the deficits of customers to their home router."""
        message = messages_decisions.CustomerDemand([], [])
        for name in names:
            bucket = self.buckets[name]
            deficit = bucket.deficit()
            bucket.tokens += min(0, deficit)
            bucket.note_report(now)
            message.customers.append(messages_decisions.short_id(name))
            message.deficits.append(deficit)
            message.held_tokens.append(int(bucket.tokens))
        if home != self.name:
            self.link.notify(home, message)
            return
        self.apply_share(self.answer(self.name, message))

    async def on_demand(self, router: str, message: peer.Message) -> None:
        """Grants tokens of the customers whose home is this router."""
        assert isinstance(message, messages_decisions.CustomerDemand)
        self.refresh()
        share = self.answer(router, message)
        if share.customers:
            self.link.notify(router, share)

    def answer(
        self, router: str, message: messages_decisions.CustomerDemand
    ) -> messages_decisions.CustomerShare:
        """Returns the tokens granted to a router.

        Customers with another home are left out: while views differ, each
        further router that granted tokens would add the whole limit once
        more.
        """
        self.refresh_homes()
        now = trio.current_time()
        grants = messages_decisions.CustomerShare([], [])
        rows = zip(
            message.customers,
            message.deficits,
            message.held_tokens,
            strict=False,
        )
        for number, deficit, held in rows:
            name = self.names.get(number)
            if name is None or self.homes[number % GROUPS] != self.name:
                continue
            pool = self.pool(name)
            grants.customers.append(number)
            grants.tokens.append(pool.report(router, deficit, held, now))
        return grants

    def pool(self, name: str) -> pools.Pool:
        """Returns the pool of a customer, created if needed.

        A new pool holds the tokens since this router became the home. If it
        started full, each change of home would grant the maximum again while
        tokens granted by the previous home are still in use.
        """
        pool = self.pools.get(name)
        if pool is None:
            limit = self.customers[name]
            max_tokens = pools.max_tokens(limit)
            since = self.home_since[group_of(name)]
            pool = pools.Pool(limit.requests_per_second, max_tokens, since)
            self.pools[name] = pool
        return pool

    async def on_share(self, router: str, message: peer.Message) -> None:
        """Applies tokens granted by a home router."""
        assert isinstance(message, messages_decisions.CustomerShare)
        self.refresh()
        self.apply_share(message)

    def apply_share(self, message: messages_decisions.CustomerShare) -> None:
        """Adds granted tokens to the buckets."""
        rows = zip(message.customers, message.tokens, strict=False)
        for number, tokens in rows:
            name = self.names.get(number, '')
            bucket = self.buckets.get(name)
            if bucket is None:
                continue
            max_tokens = pools.max_tokens(self.customers[name])
            bucket.add_grant(tokens, max_tokens + buckets.FREE_TOKENS)
