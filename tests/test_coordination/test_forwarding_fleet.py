"""State that the routers of a large fleet share, with 2 % message loss."""

from __future__ import annotations

import pytest
import trio

from bench.fleet import measures
from bench.fleet import world
from lavenderbend.coordination.forwarding import fleet_count
from lavenderbend.coordination.forwarding import zone_members

FLEET_SIZES = (30, 200)
LARGE_FLEET_SIZE = 1000
# Retries that all routers together may send, as a fraction of the fleet's
# retry budget.
WHOLE_BUDGET = 1.0


async def start_fleet(nursery, size, **options):
    fleet = world.make(nursery, size, **options)
    await fleet.start_all(list(range(size)))
    return fleet


async def watch_budget(fleet, seconds):
    figures = await measures.watch(fleet, seconds)
    assert figures['most_extra'] <= WHOLE_BUDGET
    return figures


@pytest.mark.parametrize('size', FLEET_SIZES)
async def test_all_routers_are_counted_three_seconds_after_start(
    nursery, autojump_clock, size
):
    # All routers start at once, and one of the three seed addresses of each is
    # stale. While they discover each other each counts only some routers. The
    # retry budget was divided by that count, and the fleet exceeded it many
    # times over.
    fleet = await start_fleet(nursery, size)
    figures = await watch_budget(fleet, 10.0)
    assert 0.0 <= figures['right_after'] <= 3.0


@pytest.mark.parametrize('size', FLEET_SIZES)
async def test_dead_half_is_not_counted_after_five_seconds(
    nursery, autojump_clock, size
):
    # Guards against routers that keep dead ones in their count, or exceed the
    # retry budget while half of the fleet dies and returns.
    fleet = await start_fleet(nursery, size)
    await watch_budget(fleet, 8.0)
    figures = await measures.half_killed(fleet)
    assert 0.0 <= figures['right_after'] <= 5.0
    assert 0.0 <= figures['right_after_return'] <= 3.0
    assert figures['most_extra'] <= WHOLE_BUDGET


async def test_thousand_routers_count_each_other_and_share_the_budget(
    nursery, autojump_clock
):
    fleet = await start_fleet(nursery, LARGE_FLEET_SIZE, engines=30)
    figures = await watch_budget(fleet, 7.0)
    assert 0.0 <= figures['right_after'] <= 3.0
    for number in fleet.rng.sample(
        sorted(fleet.routers), LARGE_FLEET_SIZE // 2
    ):
        fleet.end(number)
    figures = await watch_budget(fleet, 6.0)
    assert 0.0 <= figures['right_after'] <= 5.0


async def test_unheard_zone_does_not_exceed_the_retry_budget(
    nursery, autojump_clock
):
    # Messages from one zone are lost for longer than its count is kept. The
    # routers outside count fewer than there are, but must still divide the
    # retry budget by all of them.
    fleet = await start_fleet(nursery, 60)
    await watch_budget(fleet, 8.0)
    fleet.net.cut = lambda source, target: (
        fleet.net.zones[source] == 'zone-1'
        and fleet.net.zones[target] != 'zone-1'
    )
    await watch_budget(fleet, fleet_count.ZONE_COUNT_SECONDS + 5.0)
    outside = [
        router for router in fleet.routers.values() if router.zone != 'zone-1'
    ]
    assert {router.peers.fleet_size() for router in outside} == {48}
    assert {router.peers.budget_divisor() for router in outside} == {60}
    fleet.net.cut = lambda source, target: False
    figures = await watch_budget(fleet, 8.0)
    assert 0.0 <= figures['right_after'] <= 3.0


async def test_partitioned_zones_share_one_retry_budget(
    nursery, autojump_clock
):
    # All zones are cut off from each other for a minute, and a router of each
    # is replaced meanwhile. If zones divided the retry budget by the routers
    # that they see, each would use the whole budget.
    fleet = await start_fleet(nursery, 60)
    await watch_budget(fleet, 8.0)
    zones = fleet.net.zones
    fleet.net.cut = lambda source, target: zones[source] != zones[target]
    await watch_budget(fleet, 20.0)
    numbers = list(range(5))
    for number in numbers:
        fleet.end(number)
    await fleet.start_all(numbers)
    await watch_budget(fleet, 40.0)


@pytest.mark.parametrize('size', FLEET_SIZES)
async def test_all_routers_recover_after_being_killed_at_once(
    nursery, autojump_clock, size
):
    fleet = await start_fleet(nursery, size)
    await watch_budget(fleet, 6.0)
    figures = await measures.all_killed(fleet)
    assert 0.0 <= figures['table_after'] <= 1.0
    assert 0.0 <= figures['right_after'] <= 3.0
    assert figures['most_extra'] <= WHOLE_BUDGET


@pytest.mark.parametrize('size', FLEET_SIZES)
async def test_fact_reaches_99_percent_of_routers_within_a_second(
    nursery, autojump_clock, size
):
    fleet = await start_fleet(nursery, size)
    await trio.sleep(6.0)
    assert 0.0 < await measures.crash_notice(fleet) <= 1.0
    assert 0.0 < await measures.suspicion(fleet) <= 1.0
    assert 0.0 < await measures.departures(fleet) <= 1.0


@pytest.mark.parametrize('size', FLEET_SIZES)
async def test_steady_fleet_stays_within_its_budgets(
    nursery, autojump_clock, size
):
    # Control traffic of a router, sent and received, is limited to 17 KB a
    # second.
    fleet = await start_fleet(nursery, size)
    await trio.sleep(8.0)
    figures = await measures.steady(fleet)
    assert 2 * figures['bytes_per_s'] < 17_000
    assert figures['largest_datagram'] < 1400
    assert figures['extra_least'] >= 0.7
    # One router reads the store for all.
    assert figures['reads_per_s'] <= 1.0
    assert figures['proof_age_most_s'] < world.REVOCATION_SECONDS / 2


async def test_loads_of_nearly_all_upstreams_are_known(nursery, autojump_clock):
    # When each router reported only its own requests, 30 in 100 of all requests
    # were known, and the load bound of an upstream was computed from those.
    fleet = await start_fleet(nursery, 200, engines=66)
    await trio.sleep(4.0)
    figures = await measures.loads(fleet)
    assert 0.8 <= figures['known_part_of_total'] <= 1.25
    assert figures['unknown_part'] < 0.05


async def test_heartbeat_gossiped_in_a_cycle_expires(autojump_clock):
    # Three routers gossip the heartbeat of a fourth that has died. Each message
    # rounds its age; if it were rounded down, the heartbeat would never expire.
    import random

    routers = [
        zone_members.ZoneMembers(f'10.0.0.{number}') for number in range(3)
    ]
    routers[0].note('10.0.0.9')
    begin = trio.current_time()
    while any('10.0.0.9' in router.alive() for router in routers):
        for sender in routers:
            rows, _ = sender.rows_to_send(random.Random(1))
            for other in routers:
                other.merge(rows)
        await trio.sleep(0.01)
        assert trio.current_time() - begin <= zone_members.ALIVE_SECONDS + 0.1


async def test_fleet_bound_rises_after_settling_and_falls_late(autojump_clock):
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
    # One router that joins many gets its share at once. From 4 to 5 is larger
    # growth: no router gets a share until the count has settled.
    bound.note(5)
    assert bound.divisor() == 0
    await trio.sleep(fleet_count.GROWTH_SECONDS + 0.1)
    assert bound.divisor() == 5
