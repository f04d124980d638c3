from __future__ import annotations

import random

import pytest
import trio

from lavenderbend import errors
from lavenderbend.coordination import leases
from tests.test_coordination import agreed_fakes as fakes


def make_lease(store, name, clock=trio.current_time):
    return leases.Lease(
        store,
        'l',
        name,
        random.Random(name),
        seconds=30.0,
        margin=2.0,
        clock=clock,
    )


@pytest.fixture
def store():
    return fakes.service()


async def test_holders_term_ends_before_the_services(store, autojump_clock):
    held = make_lease(store, 'a')
    await held.acquire()
    granted = next(iter(store.leases.values())).expires
    assert held.held_until < granted - 1.9
    held.check(20.0)
    with pytest.raises(errors.LeaseLost):
        held.check(29.0)


async def test_fencing_tokens_grow_from_holder_to_holder(store, autojump_clock):
    tokens = []
    for name in ('a', 'b', 'c'):
        held = make_lease(store, name)
        await held.acquire()
        tokens.append(held.fencing)
        await held.release()
        assert held.seconds_left() == 0
    assert tokens == sorted(set(tokens))


async def test_lease_that_expires_at_the_service_is_lost(
    store, nursery, autojump_clock
):
    """The service expires the lease while its holder still renews it."""
    held = make_lease(store, 'a')
    await held.acquire()
    store.lapse(held.lease_id)
    with trio.fail_after(30):
        await held.renew_until_lost()
    assert held.fencing == 0


async def test_holders_term_ends_in_time_during_an_outage(
    store, autojump_clock
):
    held = make_lease(store, 'a')
    await held.acquire()
    held_until = held.held_until
    store.fault(outage=True)
    await held.renew_until_lost()
    assert trio.current_time() <= held_until + 1.0
    assert held.seconds_left() == 0


async def test_holder_on_a_vm_that_was_suspended_has_lost_the_lease(
    store, nursery, autojump_clock
):
    """Guards against orders of a holder whose VM stood still for a term."""
    suspended = 0.0
    held = make_lease(store, 'a', lambda: trio.current_time() + suspended)
    await held.acquire()
    nursery.start_soon(held.renew_until_lost)
    store.lapse(held.lease_id)
    other = make_lease(store, 'b')
    await other.acquire()
    suspended = 40.0
    assert other.seconds_left() > 0
    assert held.seconds_left() == 0
    with pytest.raises(errors.LeaseLost):
        held.check()


async def test_lease_is_held_on_after_a_renewal_that_follows_a_suspension(
    store, nursery, autojump_clock
):
    """Guards against counting a suspension before the present term."""
    suspended = 0.0
    held = make_lease(store, 'a', lambda: trio.current_time() + suspended)
    await held.acquire()
    suspended = 15.0
    assert 0 < held.seconds_left() <= 13.0
    with trio.move_on_after(60.0):
        await held.renew_until_lost()
    assert held.seconds_left() > 13.0


async def test_lease_never_has_two_holders(store, nursery, autojump_clock):
    """Answers are lost, writes are delayed and the service has outages.

    Two holders at the same time would both send orders to engines.
    """
    store.fault(lost_answers=0.2, lost_requests=0.1, late_writes=0.5)
    all_leases = [make_lease(store, name) for name in 'abc']
    seen = set()

    async def acquire_and_release(holder):
        while True:
            await holder.acquire()
            seen.add(holder.name)
            with trio.move_on_after(100):
                await holder.renew_until_lost()
            await holder.release()

    async def cause_outages():
        while True:
            await trio.sleep(70)
            store.fault(outage=True)
            await trio.sleep(40)
            store.fault(outage=False)

    for holder in all_leases:
        nursery.start_soon(acquire_and_release, holder)
    nursery.start_soon(cause_outages)
    for _ in range(20_000):
        await trio.sleep(0.1)
        assert sum(holder.seconds_left() > 0 for holder in all_leases) <= 1
    assert seen == set('abc')
    nursery.cancel_scope.cancel()
