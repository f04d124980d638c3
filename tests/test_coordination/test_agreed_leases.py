from __future__ import annotations

import random

import pytest
import trio

from lavenderbend import errors
from lavenderbend.coordination import leases
from tests.test_coordination import agreed_fakes as fakes


def lease(store, name):
    return leases.Lease(
        store, 'l', name, random.Random(name), seconds=30.0, margin=2.0
    )


@pytest.fixture
def store():
    return fakes.service()


async def test_holder_believes_for_less_time_than_the_service(
    store, autojump_clock
):
    held = lease(store, 'a')
    await held.acquire()
    granted = next(iter(store.leases.values())).expires
    assert held.held_until < granted - 1.9
    held.check(20.0)
    with pytest.raises(errors.LeaseLost):
        held.check(29.0)


async def test_fencing_numbers_grow_from_holder_to_holder(
    store, autojump_clock
):
    numbers = []
    for name in ('a', 'b', 'c'):
        held = lease(store, name)
        await held.acquire()
        numbers.append(held.fencing)
        await held.release()
        assert held.seconds_left() == 0
    assert numbers == sorted(set(numbers))


async def test_lease_that_lapses_at_the_service_is_lost(
    store, nursery, autojump_clock
):
    """The service lets the lease lapse while its holder still renews."""
    held = lease(store, 'a')
    await held.acquire()
    store.lapse(held.lease_id)
    with trio.fail_after(30):
        await held.renew_until_lost()
    assert held.fencing == 0


async def test_outage_ends_the_belief_before_the_lease(store, autojump_clock):
    held = lease(store, 'a')
    await held.acquire()
    held_until = held.held_until
    store.fault(outage=True)
    await held.renew_until_lost()
    assert trio.current_time() <= held_until + 1.0
    assert held.seconds_left() == 0


async def test_two_never_believe_at_once(store, nursery, autojump_clock):
    """Answers are lost, writes come late and the service is down at times.

    Two holders at once would both send orders to engines.
    """
    store.fault(lost_answers=0.2, lost_requests=0.1, late_writes=0.5)
    held = [lease(store, name) for name in 'abc']
    seen = set()

    async def cycle(holder):
        while True:
            await holder.acquire()
            seen.add(holder.name)
            with trio.move_on_after(100):
                await holder.renew_until_lost()
            await holder.release()

    async def trouble():
        while True:
            await trio.sleep(70)
            store.fault(outage=True)
            await trio.sleep(40)
            store.fault(outage=False)

    for holder in held:
        nursery.start_soon(cycle, holder)
    nursery.start_soon(trouble)
    for _ in range(20_000):
        await trio.sleep(0.1)
        assert sum(holder.seconds_left() > 0 for holder in held) <= 1
    assert seen == set('abc')
    nursery.cancel_scope.cancel()
