"""Messages, bytes and processor time of customers' limits in a fleet."""

from __future__ import annotations

import bisect
import itertools
import random
import time

import attrs
import trio
import trio.testing

from bench.decisions import network
from lavenderbend import errors
from lavenderbend.coordination import limits
from lavenderbend.state import configuration

CUSTOMERS = 1800
REQUESTS_PER_ROUTER = 23.0  # a second
LIMIT_FACTOR = 10.0  # of a customer's limit over what it asks for
SETTLE_SECONDS = 15
KINDS = ('few large', 'even')


@attrs.frozen
class Result:
    """What one router spends on limits.

    Attributes:
        routers: Size of the fleet.
        customers: How requests fall to customers.
        messages_per_second: Sent by a router.
        bytes_per_second: Sent and received by a router.
        cpu_ms_per_second: Of the limits and the codec, without sockets.
        refused: Requests over a part though the customer is far below its
            limit, of a thousand.
        refused_by_one: The same, if one bucket saw all requests.
    """

    routers: int
    customers: str
    messages_per_second: float
    bytes_per_second: float
    cpu_ms_per_second: float
    refused: float
    refused_by_one: float


class View:
    """A membership whose routers never change."""

    def __init__(self, names: tuple[str, ...]) -> None:
        self.names = names

    def routers(self) -> tuple[str, ...]:
        """Returns all routers."""
        return self.names


def limits_of(parts: list[float], rate: float) -> list[float]:
    """Returns the limit of each customer, for a rate of the fleet."""
    whole = LIMIT_FACTOR * rate / sum(parts)
    return [whole * part for part in parts]


@attrs.define
class OneBucket:
    """A bucket that sees all requests of a customer.

    Attributes:
        rate: Tokens a second.
        capacity: Most tokens: a second of the limit, at least one.
        tokens: Tokens at `at`.
        at: Clock.
    """

    rate: float
    capacity: float
    tokens: float
    at: float

    def refill(self, now: float) -> None:
        """Adds the tokens of the time that has passed."""
        added = (now - self.at) * self.rate
        self.tokens = min(self.capacity, self.tokens + added)
        self.at = now


def make_bucket(limit: float) -> OneBucket:
    """Returns a bucket that holds a second of the limit."""
    capacity = max(1.0, limit)
    return OneBucket(limit, capacity, capacity, trio.current_time())


class Fixed:
    """One revision."""

    def __init__(self, parts: list[float], rate: float) -> None:
        customers = tuple(
            configuration.Customer(
                f'customer-{number}', requests_per_second=limit
            )
            for number, limit in enumerate(limits_of(parts, rate))
        )
        document = configuration.Configuration(customers=customers)
        self.revision = configuration.Revision(1, 'digest', document)

    def current(self) -> configuration.Revision:
        """Returns the revision."""
        return self.revision


def weights(kind: str) -> list[float]:
    """Returns how much of the traffic each customer has."""
    if kind == 'few large':
        return [1.0 / (number + 1) for number in range(CUSTOMERS)]
    return [1.0] * CUSTOMERS


class Traffic:
    """Requests at the rate of a router.

    Attributes:
        sums: Weights of the customers, summed up.
        asked: Requests whose limit was checked.
        refused: Those over their part.
        whole: A bucket for each customer that sees all its requests.
        refused_by_one: Those that such a bucket refuses.
    """

    def __init__(self, parts: list[float], rate: float) -> None:
        self.sums = list(itertools.accumulate(parts))
        self.asked = 0
        self.refused = 0
        self.refused_by_one = 0
        self.whole = [make_bucket(limit) for limit in limits_of(parts, rate)]

    async def come(
        self, one: limits.CustomerLimits, rng: random.Random
    ) -> None:
        """Checks the limits of requests that come to one router."""
        while True:
            await trio.sleep(rng.expovariate(REQUESTS_PER_ROUTER))
            number = bisect.bisect(self.sums, rng.random() * self.sums[-1])
            self.asked += 1
            try:
                one.check(f'customer-{min(number, CUSTOMERS - 1)}')
            except errors.CustomerOverLimit:
                self.refused += 1
            self.ask_one(self.whole[min(number, CUSTOMERS - 1)])

    def ask_one(self, bucket: OneBucket) -> None:
        """Checks a request against the bucket that sees all."""
        bucket.refill(trio.current_time())
        if bucket.tokens < 1.0:
            self.refused_by_one += 1
            return
        bucket.tokens -= 1.0


async def measure(routers: int, kind: str, seconds: int) -> Result:
    """Runs a fleet and returns what a router spends."""
    names = tuple(f'router-{number}' for number in range(routers))
    view = View(names)
    parts = weights(kind)
    fixed = Fixed(parts, routers * REQUESTS_PER_ROUTER)
    traffic = Traffic(parts, routers * REQUESTS_PER_ROUTER)
    async with trio.open_nursery() as nursery:
        net = network.Network(nursery, 0.001)
        for name in names:
            one = limits.CustomerLimits(name, net.link(name), view, fixed)
            rng = random.Random(name)
            nursery.start_soon(one.run)
            nursery.start_soon(traffic.come, one, rng)
        await trio.sleep(SETTLE_SECONDS)
        net.counts.clear()
        traffic.asked = traffic.refused = traffic.refused_by_one = 0
        spent = time.process_time()
        await trio.sleep(seconds)
        spent = time.process_time() - spent
        counts = list(net.counts.values())
        nursery.cancel_scope.cancel()
    share = routers * seconds
    return Result(
        routers,
        kind,
        round(sum(one.messages for one in counts) / share, 1),
        round(sum(one.sent + one.received for one in counts) / share),
        round(1000 * spent / share, 2),
        round(1000 * traffic.refused / traffic.asked, 1),
        round(1000 * traffic.refused_by_one / traffic.asked, 1),
    )


def run(routers: int, kind: str, seconds: int = 5) -> Result:
    """Runs one fleet on the virtual clock."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(measure, routers, kind, seconds, clock=clock)
