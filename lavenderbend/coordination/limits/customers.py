"""Limits of customers by tokens that their home routers lend."""

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

# customers share a home by groups, so that one message carries many
GROUPS = 16
# a router reports to a home this often, sooner if a bucket runs low
REPORT_SECONDS = 10.0
MAX_RETRY_SECONDS = 60.0

REFUSED = metrics.counter(
    'lavenderbend_customer_over_limit_total',
    'Requests over the limit of their customer.',
)


def group_of(customer: str) -> int:
    """Returns the group of customers that share a home."""
    return messages_decisions.short_id(customer) % GROUPS


class CustomerLimits:
    """Tokens of each customer's limit, lent to where its requests come.

    Requests meet a bucket in memory. A group's home router, by rendezvous,
    fills a pool of tokens for each customer at the rate of its limit; routers
    whose buckets are not full ask it for whole tokens, all customers of the
    home in one message.
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
            self.active.discard(name)
        for name in set(self.pools) - set(self.customers):
            del self.pools[name]
        for name, pool in self.pools.items():
            pool.set_limit(self.customers[name])

    def refresh_homes(self) -> None:
        """Chooses the homes again if the routers have changed.

        Pools of groups that moved away are dropped: kept, they would be full
        when the group comes back, though another home has lent since.
        """
        routers = self.membership.routers()
        if self.homes and routers == self.routers:
            return
        self.routers = routers
        before = self.homes or [''] * GROUPS
        self.homes = [
            hashing.rendezvous(f'limit/{group}', routers) or self.name
            for group in range(GROUPS)
        ]
        now = trio.current_time()
        for group, home in enumerate(self.homes):
            if home != before[group]:
                self.home_since[group] = now
        for name in [one for one in self.pools if self.home(one) != self.name]:
            del self.pools[name]

    def home(self, customer: str) -> str:
        """Returns the home router of a customer."""
        self.refresh_homes()
        return self.homes[group_of(customer)]

    def check(self, customer: str) -> None:
        """Counts a request of a customer.

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
            self.add_even_part(limit, bucket)
        if bucket.spend():
            return
        REFUSED.inc({'customer': customer})
        rate = limit.requests_per_second
        wait = max(buckets.INTERVAL_SECONDS, 1.0 / rate)
        raise errors.CustomerOverLimit(
            f'{customer} is over {rate:g} requests/s',
            retry_after=round(min(MAX_RETRY_SECONDS, wait), 1),
        )

    def add_even_part(
        self, limit: configuration.Customer, bucket: buckets.Bucket
    ) -> None:
        """Adds this router's even part if the home does not answer."""
        count = max(1, len(self.membership.routers()))
        bucket.add_even_part(
            limit.requests_per_second / count, trio.current_time()
        )

    async def run(self) -> None:
        """Reports what buckets lack until cancelled.

        Each router begins at a time of its own: of routers that report at
        once the first finds the pool of a whole interval, in a surge two to
        three times what the others get, and the home has all to do at once.
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
        """Reports to the homes whose time it is or that are needed now."""
        self.refresh_homes()
        now = trio.current_time()
        lacking: dict[str, list[str]] = collections.defaultdict(list)
        due: set[str] = set()
        for name in list(self.active):
            bucket = self.buckets[name]
            bucket.end_interval()
            if not bucket.want():
                if bucket.quiet():
                    self.active.discard(name)
                continue
            home = self.homes[group_of(name)]
            lacking[home].append(name)
            waits = bucket.unanswered_since is not None
            if waits or bucket.urgent() or self.is_due(home, now):
                due.add(home)
        for home in sorted(due):
            self.reported_at[home] = now
            self.report_to(home, lacking[home], now)

    def is_due(self, home: str, now: float) -> bool:
        """Returns whether a home has not been told for long."""
        return now >= self.reported_at.get(home, 0.0) + REPORT_SECONDS

    def report_to(self, home: str, names: list[str], now: float) -> None:
        """Reports some customers to their home."""
        item = messages_decisions.CustomerDemand([], [])
        for name in names:
            bucket = self.buckets[name]
            want = bucket.want()
            bucket.tokens += min(0, want)
            bucket.reported(now)
            item.customers.append(messages_decisions.short_id(name))
            item.wants.append(want)
            item.held.append(int(bucket.tokens))
        if home != self.name:
            self.link.notify(home, item)
            return
        self.take(self.answer(self.name, item))

    async def on_demand(self, router: str, item: peer.Message) -> None:
        """Lends tokens of the customers whose home this router is."""
        assert isinstance(item, messages_decisions.CustomerDemand)
        self.refresh()
        share = self.answer(router, item)
        if share.customers:
            self.link.notify(router, share)

    def answer(
        self, router: str, item: messages_decisions.CustomerDemand
    ) -> messages_decisions.CustomerShare:
        """Returns the tokens that a router gets.

        A customer whose home is elsewhere is left out: while views differ,
        each router that lent would add the whole limit once more.
        """
        self.refresh_homes()
        now = trio.current_time()
        grants = messages_decisions.CustomerShare([], [])
        rows = zip(item.customers, item.wants, item.held, strict=False)
        for number, want, held in rows:
            name = self.names.get(number)
            if name is None or self.homes[number % GROUPS] != self.name:
                continue
            pool = self.pool(name)
            grants.customers.append(number)
            grants.tokens.append(pool.report(router, want, held, now))
        return grants

    def pool(self, name: str) -> pools.Pool:
        """Returns the pool of a customer.

        A new one has what came since this router became its home, as it has
        lent nothing: full at once, it would lend anew at each change of home
        while the leases of the home before are still about.
        """
        pool = self.pools.get(name)
        if pool is None:
            limit = self.customers[name]
            most = pools.most_tokens(limit)
            since = self.home_since[group_of(name)]
            pool = pools.Pool(limit.requests_per_second, most, since)
            self.pools[name] = pool
        return pool

    async def on_share(self, router: str, item: peer.Message) -> None:
        """Uses the tokens that a home router lends."""
        assert isinstance(item, messages_decisions.CustomerShare)
        self.refresh()
        self.take(item)

    def take(self, item: messages_decisions.CustomerShare) -> None:
        """Adds tokens to the buckets."""
        rows = zip(item.customers, item.tokens, strict=False)
        for number, tokens in rows:
            name = self.names.get(number, '')
            bucket = self.buckets.get(name)
            if bucket is None:
                continue
            most = pools.most_tokens(self.customers[name])
            bucket.granted(tokens, most + buckets.FREE_TOKENS)
