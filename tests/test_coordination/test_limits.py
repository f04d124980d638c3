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
    """Limits of some routers over one network."""

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
            one = limits.CustomerLimits(
                name, self.network.link(name), view, self.configurations
            )
            self.views[name] = view
            self.limits[name] = one
            nursery.start_soon(one.run)

    async def ask(self, name, rate, seconds):
        """Returns how many requests at an even rate were let through."""
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


async def passed_by_all(routers, rates, seconds):
    counts = []

    async def one(name, rate):
        counts.append(await routers.ask(name, rate, seconds))

    async with trio.open_nursery() as nursery:
        for name, rate in rates.items():
            nursery.start_soon(one, name, rate)
    return sum(counts)


async def test_limit_holds_when_all_routers_are_asked(nursery, autojump_clock):
    # a customer surges 20-fold through all routers; each knows a sliver
    routers = Routers(nursery)
    rates = dict.fromkeys(routers.names, 100.0)

    passed = await passed_by_all(routers, rates, 30)

    most = RATE * 30 + LIMITED.burst + RATE
    assert 0.85 * RATE * 30 < passed <= most


async def test_limit_is_usable_through_one_router(nursery, autojump_clock):
    # the balancer sends a customer to one router only: an even part there
    # would refuse five of six requests though the customer is below its limit
    routers = Routers(nursery)

    await passed_by_all(routers, {'router-2': 24.0}, 5)
    passed = await passed_by_all(routers, {'router-2': 24.0}, 20)

    assert passed >= 0.99 * 24 * 20


async def test_limit_holds_when_the_home_router_is_lost(
    nursery, autojump_clock
):
    # the router that divides the limit dies while one router uses nearly
    # all of it: the others must not add their even parts for ever
    routers = Routers(nursery)
    home = routers.limits['router-0'].home('city')
    busy = next(name for name in routers.names if name != home)
    await passed_by_all(routers, {busy: 100.0}, 5)
    routers.network.dead.add(home)
    rates = dict.fromkeys(set(routers.names) - {home}, 100.0)

    passed = await passed_by_all(routers, rates, 20)

    assert passed <= RATE * 20 + 2 * RATE + LIMITED.burst


async def test_no_message_for_each_request(nursery, autojump_clock):
    routers = Routers(nursery)
    rates = dict.fromkeys(routers.names, 100.0)

    await passed_by_all(routers, rates, 10)

    messages = sum(one.messages for one in routers.network.counts.values())
    assert messages <= 2 * 6 * 11


async def test_customer_without_a_limit_is_never_refused(
    nursery, autojump_clock
):
    routers = Routers(nursery)

    for _ in range(1000):
        routers.limits['router-0'].check('court')
