from __future__ import annotations

import pytest
import trio

from lavenderbend import errors
from lavenderbend.coordination import placement
from lavenderbend.state import configuration
from tests import fakes


async def test_no_engine_is_loaded_above_the_bound(nursery, autojump_clock):
    fleet = fakes.Fleet(nursery, engines=5)
    for number in range(60):
        name = fleet.names[number % 3]
        await fleet.admissions[name].acquire(fleet.permit_request(number))
        loads = fleet.loads()
        allowed = placement.allowed_load(fleet.pool, sum(loads.values()) - 1, 5)
        assert max(loads.values()) <= allowed


async def test_returning_chat_gets_the_upstream_with_its_context(
    nursery, autojump_clock
):
    fleet = fakes.Fleet(nursery, engines=5)
    permit_request = fleet.permit_request(7)
    first = await fleet.admissions['router-0'].acquire(permit_request)
    fleet.admissions['router-0'].release(first, 'complete')
    await trio.sleep(1)

    second = await fleet.admissions['router-2'].acquire(fleet.permit_request(7))

    assert second.upstream == first.upstream
    assert second.reason == placement.HELD_CHAT


async def test_unknown_pool_raises_no_upstream(nursery, autojump_clock):
    fleet = fakes.Fleet(nursery)

    with pytest.raises(errors.NoUpstream):
        await fleet.admissions['router-0'].acquire(
            fleet.permit_request(pool='none')
        )


async def test_requests_wait_at_max_load_until_a_release(
    nursery, autojump_clock
):
    pool = configuration.Pool('chat', 'model', max_load=1)
    fleet = fakes.Fleet(nursery, engines=1, pool=pool)
    entry = fleet.admissions['router-1']
    first = await entry.acquire(fleet.permit_request(1))
    nursery.start_soon(release_later, entry, first, 5)
    started = trio.current_time()

    second = await fleet.admissions['router-2'].acquire(fleet.permit_request(2))

    assert 5 <= trio.current_time() - started < 5.2
    assert second.upstream == first.upstream


async def release_later(entry, permit, seconds):
    await trio.sleep(seconds)
    entry.release(permit, 'complete')


async def test_pool_that_stays_full_refuses_before_the_deadline(
    nursery, autojump_clock
):
    pool = configuration.Pool('chat', 'model', max_load=1)
    fleet = fakes.Fleet(nursery, engines=1, pool=pool)
    await fleet.admissions['router-1'].acquire(fleet.permit_request(1))
    permit_request = fleet.permit_request(2, deadline=trio.current_time() + 3)

    with pytest.raises(errors.PoolFull) as caught:
        await fleet.admissions['router-2'].acquire(permit_request)

    assert caught.value.retry_after > 0
    assert trio.current_time() <= permit_request.deadline
