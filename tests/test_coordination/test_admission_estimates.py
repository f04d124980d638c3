"""Estimates of waiting times, by which requests are refused."""

from __future__ import annotations

import pytest
import trio

from lavenderbend import errors
from lavenderbend.state import configuration
from tests import fakes

POOL = configuration.Pool('chat', 'model', max_load=2)


class Callers:
    """Callers whose requests run for a given time.

    Attributes:
        entry: The router by which they come in.
        served: Numbers of the requests that were served.
        refused: Errors of those that were not.
    """

    def __init__(self, nursery, fleet) -> None:
        self.nursery = nursery
        self.fleet = fleet
        self.entry = fleet.names[0]
        self.number = 0
        self.served: list[int] = []
        self.refused: list[errors.PoolFull] = []

    def start(self, count, seconds, **changes) -> None:
        for _ in range(count):
            self.number += 1
            self.nursery.start_soon(self.call, self.number, seconds, changes)

    async def call(self, number, seconds, changes) -> None:
        entry = self.fleet.admissions[self.entry]
        try:
            permit = await entry.acquire(
                self.fleet.permit_request(number, **changes)
            )
        except errors.PoolFull as exc:
            self.refused.append(exc)
            return
        self.served.append(number)
        await trio.sleep(seconds)
        entry.release(permit, 'complete')


@pytest.fixture
async def callers(nursery):
    return Callers(nursery, fakes.Fleet(nursery, engines=2, pool=POOL))


def set_view(fleet, names):
    """Changes which routers all routers regard as alive."""
    for view in fleet.views.values():
        view.set_routers(names)


async def test_owner_again_refuses_nothing_by_its_old_rate(
    callers, autojump_clock
):
    # while another router was owner its rate fell, by which it then refused
    fleet = callers.fleet
    first = fleet.owner()
    others = [name for name in fleet.names if name != first]
    callers.entry = others[0]
    set_view(fleet, others)
    callers.start(4, 0.5)
    await trio.sleep(2)
    set_view(fleet, fleet.names)
    await trio.sleep(25)
    set_view(fleet, others)
    callers.start(6, 0.5)
    await trio.sleep(5)

    assert callers.refused == []
    assert len(callers.served) == 10


async def test_burst_after_quiet_traffic_is_served(callers, autojump_clock):
    # a burst was refused by the rate at which little traffic was released
    for _ in range(10):
        callers.start(1, 1.0)
        await trio.sleep(10)
    callers.start(12, 1.0)
    await trio.sleep(5)

    assert callers.refused == []
    assert len(callers.served) == 22


async def test_customer_with_little_traffic_is_served_in_a_full_pool(
    callers, autojump_clock
):
    # a customer was refused by its own rate, as it had asked for little
    callers.start(1, 1.0, customer='city')
    await trio.sleep(15)
    callers.start(8, 1.0, customer='court')
    callers.start(2, 1.0, customer='city')
    await trio.sleep(10)

    assert callers.refused == []
    assert len(callers.served) == 11


async def test_owner_that_saw_few_releases_refuses_nothing(
    callers, autojump_clock
):
    # one release was all that an owner knew of, and refused by
    callers.start(1, 0.5)
    await trio.sleep(14)
    callers.start(12, 0.5)
    await trio.sleep(5)

    assert callers.refused == []
    assert len(callers.served) == 13


async def test_what_exceeds_a_known_rate_is_refused_at_once(
    callers, autojump_clock
):
    # a surge would wait until its deadlines for what a pool cannot serve
    for _ in range(12):
        callers.start(1, 1.0)
        await trio.sleep(1)
    callers.start(300, 1.0)
    await trio.sleep(0.5)

    # 4 run, and 4 a second within 30 s less margin and time to run
    assert 280 - 4 * 30 <= len(callers.refused) <= 240
    assert all(error.retry_after > 20 for error in callers.refused)
    await trio.sleep(40)
    assert len(callers.served) + len(callers.refused) == 312


async def test_upstreams_that_stand_still_are_found_out(
    callers, autojump_clock
):
    # engines stand still: callers would wait for nothing until their deadlines
    for _ in range(20):
        callers.start(4, 0.5)
        await trio.sleep(1)
    callers.start(10, 600.0)
    await trio.sleep(20)
    started = len(callers.refused)
    callers.start(5, 0.5)
    await trio.sleep(0.5)

    # the first one waits, for upstreams that may serve again
    assert len(callers.refused) - started == 4
