"""What the routers of a large fleet believe, with 2 % of messages lost."""

from __future__ import annotations

import pytest
import trio

from bench.fleet import measures
from bench.fleet import world
from lavenderbend.coordination.forwarding import fleet_count
from lavenderbend.coordination.forwarding import zone_members

SIZES = (30, 200)
LARGE = 1000
# what the whole fleet may repeat beyond its requests
WHOLE = 1.0


async def started(nursery, size, **kept):
    fleet = world.make(nursery, size, **kept)
    await fleet.start_all(list(range(size)))
    return fleet


async def watched(fleet, seconds):
    found = await measures.watch(fleet, seconds)
    assert found['most_extra'] <= WHOLE
    return found


@pytest.mark.parametrize('size', SIZES)
async def test_all_are_counted_three_seconds_after_the_start(
    nursery, autojump_clock, size
):
    # All routers start at once, and one of the three addresses that each is
    # given is stale. While they find each other each counts only some: what
    # all may repeat was divided by those, and they took it many times over.
    fleet = await started(nursery, size)
    found = await watched(fleet, 10.0)
    assert 0.0 <= found['right_after'] <= 3.0


@pytest.mark.parametrize('size', SIZES)
async def test_half_that_die_are_counted_no_more_after_five_seconds(
    nursery, autojump_clock, size
):
    fleet = await started(nursery, size)
    await watched(fleet, 8.0)
    found = await measures.half_killed(fleet)
    assert 0.0 <= found['right_after'] <= 5.0
    assert 0.0 <= found['right_after_return'] <= 3.0
    assert found['most_extra'] <= WHOLE


async def test_thousand_routers_count_each_other_and_share_the_budget(
    nursery, autojump_clock
):
    fleet = await started(nursery, LARGE, engines=30)
    found = await watched(fleet, 7.0)
    assert 0.0 <= found['right_after'] <= 3.0
    for number in fleet.rng.sample(sorted(fleet.routers), LARGE // 2):
        fleet.end(number)
    found = await watched(fleet, 6.0)
    assert 0.0 <= found['right_after'] <= 5.0


async def test_zone_that_nobody_hears_takes_no_more_of_the_budget(
    nursery, autojump_clock
):
    # Nothing leaves one zone for longer than it is counted on. Those outside
    # count fewer routers than there are, and still divide by all of them.
    fleet = await started(nursery, 60)
    await watched(fleet, 8.0)
    fleet.net.cut = lambda source, target: (
        fleet.net.zones[source] == 'zone-1'
        and fleet.net.zones[target] != 'zone-1'
    )
    await watched(fleet, fleet_count.ZONE_COUNT_SECONDS + 5.0)
    outside = [r for r in fleet.routers.values() if r.zone != 'zone-1']
    assert {router.peers.fleet_size() for router in outside} == {48}
    assert {router.peers.budget_divisor() for router in outside} == {60}
    fleet.net.cut = lambda source, target: False
    found = await watched(fleet, 8.0)
    assert 0.0 <= found['right_after'] <= 3.0


async def test_zones_that_do_not_hear_each_other_share_one_budget(
    nursery, autojump_clock
):
    # All zones are cut off from each other for a minute; in each a router is
    # replaced meanwhile. Dividing by those that it sees, each zone would
    # take the whole budget.
    fleet = await started(nursery, 60)
    await watched(fleet, 8.0)
    zones = fleet.net.zones
    fleet.net.cut = lambda source, target: zones[source] != zones[target]
    await watched(fleet, 20.0)
    numbers = list(range(5))
    for number in numbers:
        fleet.end(number)
    await fleet.start_all(numbers)
    await watched(fleet, 40.0)


@pytest.mark.parametrize('size', SIZES)
async def test_killed_at_once_all_serve_and_count_again(
    nursery, autojump_clock, size
):
    fleet = await started(nursery, size)
    await watched(fleet, 6.0)
    found = await measures.all_killed(fleet)
    assert 0.0 <= found['table_after'] <= 1.0
    assert 0.0 <= found['right_after'] <= 3.0
    assert found['most_extra'] <= WHOLE


@pytest.mark.parametrize('size', SIZES)
async def test_fact_reaches_nearly_all_within_a_second(
    nursery, autojump_clock, size
):
    fleet = await started(nursery, size)
    await trio.sleep(6.0)
    assert 0.0 < await measures.crash_notice(fleet) <= 1.0
    assert 0.0 < await measures.suspicion(fleet) <= 1.0
    assert 0.0 < await measures.departures(fleet) <= 1.0


@pytest.mark.parametrize('size', SIZES)
async def test_steady_fleet_keeps_to_its_budgets(nursery, autojump_clock, size):
    # control may cost a router 17 KB a second, what it sends and gets
    fleet = await started(nursery, size)
    await trio.sleep(8.0)
    found = await measures.steady(fleet)
    assert 2 * found['bytes_per_s'] < 17_000
    assert found['largest_datagram'] < 1400
    assert found['extra_least'] >= 0.7
    # one router reads for all
    assert found['reads_per_s'] <= 1.0
    assert found['proof_age_most_s'] < world.REVOCATION_SECONDS / 2


async def test_loads_are_known_of_nearly_all_upstreams(nursery, autojump_clock):
    # Told by each router of its own requests only, 30 in 100 of all requests
    # were known, and the bound on an upstream was judged by those.
    fleet = await started(nursery, 200, engines=66)
    await trio.sleep(4.0)
    found = await measures.loads(fleet)
    assert 0.8 <= found['known_part_of_total'] <= 1.25
    assert found['unknown_part'] < 0.05


async def test_sign_of_life_told_in_a_circle_grows_old(autojump_clock):
    # Three routers tell each other of a fourth that has died. Each telling
    # rounds its age; rounded down it would live for ever.
    import random

    known = [zone_members.ZoneMembers(f'10.0.0.{one}') for one in range(3)]
    known[0].note('10.0.0.9')
    begin = trio.current_time()
    while any('10.0.0.9' in one.alive() for one in known):
        for teller in known:
            rows = teller.rows_to_send(random.Random(1))
            for other in known:
                other.merge(rows)
        await trio.sleep(0.01)
        assert trio.current_time() - begin <= zone_members.ALIVE_SECONDS + 0.1


async def test_bound_grows_at_once_and_falls_late(autojump_clock):
    bound = fleet_count.FleetDivisor()
    assert bound.divisor() == 0
    bound.note(10)
    assert bound.divisor() == 0
    await trio.sleep(fleet_count.GROWTH_SECONDS + 0.1)
    assert bound.divisor() == 10
    bound.note(4)
    await trio.sleep(fleet_count.PEAK_SECONDS - 10.0)
    bound.note(4)
    assert bound.divisor() == 10
    await trio.sleep(20.0)
    bound.note(4)
    assert bound.divisor() == 4
    # one more takes its part at once, many more give nobody a part
    bound.note(5)
    assert bound.divisor() == 0
    await trio.sleep(fleet_count.GROWTH_SECONDS + 0.1)
    assert bound.divisor() == 5
