"""Upstreams that crash if they must reject too many requests."""

from __future__ import annotations

import random

import pytest
import trio

from lavenderbend.coordination.forwarding import facts
from lavenderbend.coordination.forwarding import loads
from lavenderbend.coordination.forwarding import rejection_limits
from tests import forwarding_fakes as fakes
from tests import rejection_limit_fleet

WORKERS = 3
CALM_PER_SECOND = 30.0
# three times what the workers bear
SURGE_PER_SECOND = (
    3
    * WORKERS
    * rejection_limit_fleet.SLOTS
    / (rejection_limit_fleet.SERVICE_SECONDS)
)
SURGE_SECONDS = 4.0


def allowed_crashes(workers=WORKERS):
    return 2 + workers / 10


async def overload(nursery, size, limit, seed=1, guarded=True, harm=None):
    """Returns a fleet after its upstreams were overloaded for a while."""
    fleet = rejection_limit_fleet.LimitedFleet(
        nursery, size, limit, seed, WORKERS, guarded
    )
    await trio.sleep(rejection_limit_fleet.SETTLE_SECONDS)
    await fleet.press(2.0, CALM_PER_SECOND)
    if harm is not None:
        nursery.start_soon(harm, fleet)
    fleet.outcomes.clear()
    await fleet.press(SURGE_SECONDS, SURGE_PER_SECOND)
    return fleet


@pytest.mark.parametrize(('size', 'limit'), [(6, 5), (6, 40), (24, 10)])
async def test_overloaded_upstreams_do_not_crash_of_rejections(
    nursery, autojump_clock, size, limit
):
    fleet = await overload(nursery, size, limit)
    assert fleet.crashes <= allowed_crashes()
    # a third is what they bear
    assert fleet.share('answered') >= 0.2
    nursery.cancel_scope.cancel()


async def test_without_the_guard_they_crash(nursery, autojump_clock):
    fleet = await overload(nursery, 6, 5, guarded=False)
    assert fleet.crashes > allowed_crashes()
    nursery.cancel_scope.cancel()


async def halves_lose_each_other(fleet):
    hosts = sorted(fleet.routers)
    half = len(hosts) // 2
    for first in hosts[:half]:
        for second in hosts[half:]:
            fleet.cut.update({(first, second), (second, first)})


async def halves_hear_one_way(fleet):
    hosts = sorted(fleet.routers)
    half = len(hosts) // 2
    fleet.cut.update(
        (first, second) for first in hosts[:half] for second in hosts[half:]
    )


async def messages_are_late(fleet):
    for router in fleet.routers.values():
        router.node.link.delay = fleet.rng.uniform(0.001, 0.15)


@pytest.mark.parametrize(
    'harm', [halves_lose_each_other, halves_hear_one_way, messages_are_late]
)
@pytest.mark.parametrize(('size', 'limit'), [(6, 5), (6, 40)])
async def test_routers_that_disagree_keep_the_limit(
    nursery, autojump_clock, size, limit, harm
):
    fleet = await overload(nursery, size, limit, harm=harm)
    assert fleet.crashes <= allowed_crashes()
    nursery.cancel_scope.cancel()


@pytest.fixture
async def guard(autojump_clock):
    told = facts.Facts('10.0.0.1', lambda fact: None)
    return rejection_limits.RejectionLimits(
        loads.Loads(), told, lambda: 4, random.Random(1)
    )


E1 = fakes.upstream('e1', slots=6)


async def test_router_keeps_its_share_waiting(guard, autojump_clock):
    guard.note_answer('e1', b'20')
    assert guard.has_room(E1)
    guard.begin('e1')
    assert guard.has_room(E1)
    guard.begin('e1')
    assert not guard.has_room(E1)
    guard.end('e1')
    assert guard.has_room(E1)


async def test_upstream_without_a_limit_is_not_limited(guard, autojump_clock):
    for _ in range(100):
        guard.begin('e1')
    guard.note_rejected('e1')
    assert guard.has_room(E1)
    assert guard.slots_to_ask(E1) == 0


async def test_answer_without_the_header_ends_the_limit(guard, autojump_clock):
    guard.note_answer('e1', b'4')
    guard.note_rejected('e1')
    assert guard.full([E1]) == {'e1'}
    guard.note_answer('e1', None)
    assert guard.full([E1]) == set()


async def test_limit_of_a_silent_upstream_holds_for_a_while(
    guard, autojump_clock
):
    guard.note_answer('e1', b'4')
    await trio.sleep(rejection_limits.LIMIT_SECONDS + 0.1)
    assert guard.current('e1') is None


async def test_rejection_stops_requests_and_halves_the_slots(
    guard, autojump_clock
):
    guard.note_answer('e1', b'100')
    assert guard.slots_to_ask(E1) == 0
    guard.note_rejected('e1')
    guard.note_rejected('e1')
    assert not guard.has_room(E1)
    await trio.sleep(rejection_limits.FULL_SECONDS)
    assert guard.has_room(E1)
    assert guard.slots_to_ask(E1) == 3
    guard.note_answer('e1', b'100')
    await trio.sleep(rejection_limits.RECOVERY_SECONDS)
    assert guard.slots_to_ask(E1) == 6


async def test_rejection_of_another_router_stops_requests(
    guard, autojump_clock
):
    now = trio.current_time()
    guard.apply_limit(facts.Fact(rejection_limits.LIMITED, 'e1', '4', now, 5.0))
    assert guard.has_room(E1)
    guard.apply_full(
        facts.Fact(rejection_limits.FULL, 'e1', '10.0.0.2', now, 0.5)
    )
    assert not guard.has_room(E1)


@pytest.mark.parametrize(
    'value', [b'', b'-1', b'1.5', b'\xff', b'9' * 40, b'many']
)
async def test_unreadable_limit_is_ignored(guard, autojump_clock, value):
    guard.note_answer('e1', value)
    assert guard.current('e1') is None


async def test_limit_of_zero_is_kept(guard, autojump_clock):
    guard.note_answer('e1', b'0')
    assert guard.slots_to_ask(E1) == 6
