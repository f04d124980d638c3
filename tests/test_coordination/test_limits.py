from __future__ import annotations

import trio

from lavenderbend import errors
from lavenderbend.coordination import limits
from lavenderbend.state import configuration
from tests import fakes

RATE = 30.0
LIMITED = configuration.Customer('city', requests_per_second=RATE, burst=10.0)
FREE = configuration.Customer('court')


class Routers:
    """Limits of several routers with one network."""

    def __init__(self, nursery, count=6):
        self.nursery = nursery
        self.network = fakes.Network(nursery, 0.001)
        self.names = [f'router-{number}' for number in range(count)]
        document = configuration.Configuration(customers=(LIMITED, FREE))
        self.configurations = fakes.FixedConfiguration(document)
        self.views = {}
        self.limits = {}
        for name in self.names:
            view = fakes.View(self.names, (), fakes.ReportBoard())
            limiter = limits.CustomerLimits(
                name, self.network.link(name), view, self.configurations
            )
            self.views[name] = view
            self.limits[name] = limiter
            nursery.start_soon(limiter.run)

    async def send_requests(self, name, rate, seconds):
        """Sends requests at an even rate; returns how many passed."""
        passed = 0
        for _ in range(int(rate * seconds)):
            await trio.sleep(1 / rate)
            try:
                self.limits[name].check('city')
            except errors.CustomerOverLimit as exc:
                assert exc.retry_after > 0
            else:
                passed += 1
        return passed


async def send_through(routers, rates, seconds):
    counts = []

    async def send(name, rate):
        counts.append(await routers.send_requests(name, rate, seconds))

    async with trio.open_nursery() as nursery:
        for name, rate in rates.items():
            nursery.start_soon(send, name, rate)
    return sum(counts)


async def test_limit_holds_when_all_routers_get_requests(
    nursery, autojump_clock
):
    # Guards against routers that exceed the limit together: a customer surges
    # 20-fold through all of them, and each sees only a fraction of it.
    routers = Routers(nursery)
    rates = dict.fromkeys(routers.names, 100.0)

    passed = await send_through(routers, rates, 30)

    max_passed = RATE * 30 + LIMITED.burst + RATE
    assert 0.85 * RATE * 30 < passed <= max_passed


async def test_limit_is_usable_through_one_router(nursery, autojump_clock):
    # Guards against refusals below the limit: the balancer sends a customer to
    # one router only, where an even share would refuse five of six requests.
    routers = Routers(nursery)

    await send_through(routers, {'router-2': 24.0}, 5)
    passed = await send_through(routers, {'router-2': 24.0}, 20)

    assert passed >= 0.99 * 24 * 20


async def test_limit_holds_when_the_home_router_is_lost(
    nursery, autojump_clock
):
    # Guards against even shares added without end: the home router dies while
    # one router uses nearly the whole limit.
    routers = Routers(nursery)
    home = routers.limits['router-0'].home('city')
    busy = next(name for name in routers.names if name != home)
    await send_through(routers, {busy: 100.0}, 5)
    routers.network.dead.add(home)
    rates = dict.fromkeys(set(routers.names) - {home}, 100.0)

    passed = await send_through(routers, rates, 20)

    assert passed <= RATE * 20 + 2 * RATE + LIMITED.burst


async def test_messages_do_not_grow_with_requests(nursery, autojump_clock):
    routers = Routers(nursery)
    rates = dict.fromkeys(routers.names, 100.0)

    await send_through(routers, rates, 10)

    messages = sum(count.messages for count in routers.network.counts.values())
    assert messages <= 2 * 6 * 11


async def test_customer_without_a_limit_is_never_refused(
    nursery, autojump_clock
):
    routers = Routers(nursery)

    for _ in range(1000):
        routers.limits['router-0'].check('court')
