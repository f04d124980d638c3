"""Zones that do not hear each other keep the rate of a cold upstream."""

from __future__ import annotations

import itertools

import pytest
import trio

from lavenderbend import errors
from lavenderbend.coordination.forwarding.warm_up import zone_records
from lavenderbend.protocol import messages_forwarding
from tests import cold_start_fleet
from tests import cold_start_zones as zones

LIMIT = zones.LIMIT
# Time in which a fleet that starts has recorded its zones, and uses the rate.
RECORD_SECONDS = 15.0
CALM_SECONDS = 5.0
CUT_SECONDS = 10.0
# Least fraction of the allowed rate that is used while nothing fails.
MIN_USED_FRACTION = 0.7
# The same where each of three zones has a part; one of them owns the upstream.
MIN_USED_PART = 0.2
A, B, C = ((zone,) for zone in zones.ZONES)
APART = (A, B, C)
A_CUT_OFF = (A, B + C)
SIZES = [1, 2, 7]


async def calm(fleet):
    """Lets the fleet record its zones; returns which fraction it uses then."""
    await trio.sleep(RECORD_SECONDS)
    assert fleet.recorded()
    await trio.sleep(CALM_SECONDS)
    now = trio.current_time()
    return fleet.used(now - CALM_SECONDS, now)


@pytest.mark.parametrize('size', SIZES)
@pytest.mark.parametrize(
    ('groups', 'restarted'),
    [
        (APART, A),
        (APART, B),
        (APART, A + B),
        (APART, zones.ZONES),
        (A_CUT_OFF, B),
        (A_CUT_OFF, B + C),
    ],
)
async def test_zones_that_are_restarted_while_apart_keep_the_rate(
    nursery, autojump_clock, size, groups, restarted
):
    # Guards against a zone that takes the upstream's, of which it has not
    # heard since it was restarted, for one without routers.
    fleet = zones.Fleet(nursery, size, 1)
    assert await calm(fleet) >= MIN_USED_FRACTION
    fleet.separate(*groups)
    await trio.sleep(1.0)
    await fleet.restart(fleet.hosts(*restarted))
    await trio.sleep(CUT_SECONDS)
    now = trio.current_time()
    assert fleet.used(now - CALM_SECONDS, now) >= MIN_USED_FRACTION
    await fleet.restart(fleet.hosts(*restarted)[:1])
    await trio.sleep(1.0)
    fleet.cut.clear()
    await fleet.restart(fleet.hosts(*restarted))
    await trio.sleep(CUT_SECONDS)
    assert fleet.most_in_a_second() <= LIMIT


async def trouble(fleet):
    """Cuts zones and restarts routers at random moments, from the start."""
    rng = fleet.rng
    while True:
        await trio.sleep(rng.uniform(0.0, 4.0))
        fleet.separate(*rng.choice([APART, A_CUT_OFF, (A + B, C), (A + C, B)]))
        if rng.random() < 0.3:
            fleet.cut.clear()
        hosts = list(fleet.zone_of)
        count = rng.randrange(len(hosts) // 2)
        fleet.store.cut_off = set(rng.sample(hosts, count))
        fleet.store.refuses = rng.random() < 0.2
        await trio.sleep(rng.uniform(0.0, 3.0))
        restarted = rng.choice([A, B, C, A + B, B + C, zones.ZONES])
        chosen = fleet.hosts(*restarted)
        await fleet.restart(rng.sample(chosen, rng.randint(1, len(chosen))))


@pytest.mark.parametrize('size', SIZES)
@pytest.mark.parametrize('seed', range(4))
async def test_rate_is_kept_under_random_cuts_and_restarts(
    nursery, autojump_clock, size, seed
):
    # Guards against records that come late, are refused, or that some routers
    # do not see.
    fleet = zones.Fleet(nursery, size, seed)
    with trio.move_on_after(50.0):
        await trouble(fleet)
    assert fleet.most_in_a_second() <= LIMIT


@pytest.mark.parametrize('size', SIZES)
async def test_upstream_of_a_zone_without_routers_is_warmed(
    nursery, autojump_clock, size
):
    # Guards against a limit so careful that no zone permits anything there.
    fleet = zones.Fleet(nursery, size, 1, zones=B + C)
    await trio.sleep(RECORD_SECONDS)
    now = trio.current_time()
    await trio.sleep(CALM_SECONDS)
    assert fleet.used(now, now + CALM_SECONDS) >= MIN_USED_PART
    fleet.separate(*APART)
    await trio.sleep(1.0)
    await fleet.restart(fleet.hosts(*C))
    await trio.sleep(CUT_SECONDS)
    assert fleet.most_in_a_second() <= LIMIT
    assert not fleet.store.content.zone_records.keys() & set(A)


async def first_routers(fleet):
    """Starts the first routers of the upstream's zone, where nobody hears them.

    The routers of the other zones do not reach the store from the moment on in
    which it has the record.
    """
    await trio.sleep(RECORD_SECONDS)
    fleet.zone_of['10.0.0.1'] = zones.ZONE
    fleet.separate(*APART)
    fleet.start('10.0.0.1')
    fleet.store.on_record = lambda: fleet.store.cut_off.update(
        fleet.hosts(*B, *C)
    )
    await trio.sleep(2 * CUT_SECONDS)


async def test_first_routers_of_a_zone_wait_until_all_others_must_know(
    nursery, autojump_clock
):
    # Guards against a zone that uses the whole rate as soon as it is recorded.
    fleet = zones.Fleet(nursery, 2, 1, zones=B + C)
    await first_routers(fleet)
    assert fleet.most_in_a_second() <= LIMIT
    assert fleet.recorded()


@pytest.mark.parametrize(
    ('name', 'value'), [('ABSENCE_SECONDS', 1000.0), ('CONFIRM_SECONDS', 0.0)]
)
async def test_each_guard_of_the_records_is_needed(
    nursery, autojump_clock, monkeypatch, name, value
):
    # Guards against checks that would pass without the guard.
    monkeypatch.setattr(zone_records, name, value)
    fleet = zones.Fleet(nursery, 2, 1, zones=B + C)
    await first_routers(fleet)
    assert fleet.most_in_a_second() > LIMIT


async def test_rolling_restart_to_this_build_keeps_the_rate(
    nursery, autojump_clock
):
    # Guards against a build that does not count with those before it.
    fleet = zones.Fleet(nursery, 2, 1, earlier=True)
    await trio.sleep(RECORD_SECONDS)
    assert not fleet.store.writes
    for host in fleet.hosts(*B, *C):
        fleet.earlier_builds.discard(host)
        await fleet.restart([host])
        await trio.sleep(2.0)
    await trio.sleep(RECORD_SECONDS)
    assert fleet.recorded()
    fleet.separate(*APART)
    await fleet.restart(fleet.hosts(*B))
    await trio.sleep(CUT_SECONDS)
    assert fleet.most_in_a_second() <= LIMIT


async def test_zone_of_an_earlier_build_that_was_heard_is_left_to_itself(
    nursery, autojump_clock
):
    # Guards against a part beside routers that know of no parts.
    fleet = zones.Fleet(nursery, 2, 1, earlier=True)
    fleet.store.refuses = True
    fleet.earlier_builds = set(fleet.hosts(*A))
    await fleet.restart(fleet.hosts(*B, *C))
    await trio.sleep(RECORD_SECONDS)
    fleet.separate(*APART)
    await trio.sleep(2 * CUT_SECONDS)
    assert fleet.most_in_a_second() <= LIMIT


async def test_store_that_takes_no_records_costs_a_part_of_the_rate_only(
    nursery, autojump_clock
):
    fleet = zones.Fleet(nursery, 2, 1)
    fleet.store.refuses = True
    await trio.sleep(RECORD_SECONDS)
    now = trio.current_time()
    await trio.sleep(CALM_SECONDS)
    assert fleet.used(now, now + CALM_SECONDS) >= MIN_USED_PART
    fleet.separate(*APART)
    await fleet.restart(fleet.hosts(*zones.ZONES))
    await trio.sleep(CUT_SECONDS)
    assert fleet.most_in_a_second() <= LIMIT


async def test_restarted_zone_uses_the_rate_though_the_store_is_away(
    nursery, autojump_clock
):
    # Guards against a record that helps only while the store answers.
    fleet = zones.Fleet(nursery, 2, 1)
    await calm(fleet)
    await fleet.restart(fleet.hosts(*A))
    await trio.sleep(1.0)
    fleet.store.error = errors.KeyValueUnavailable('down')
    await trio.sleep(CUT_SECONDS)
    now = trio.current_time()
    assert fleet.used(now - CALM_SECONDS, now) >= MIN_USED_FRACTION


PRESENCES = list(zone_records.Presence)


@pytest.mark.parametrize(
    ('own', 'other'),
    [
        pair
        for pair in itertools.product(PRESENCES, PRESENCES)
        # The guards above keep these two apart in time.
        if pair
        != (zone_records.Presence.CONFIRMED, zone_records.Presence.ABSENT)
    ],
)
@pytest.mark.parametrize('named', [0, 1, 2, 3])
async def test_zones_never_permit_more_than_the_rate_together(
    nursery, autojump_clock, own, other, named
):
    # Guards against parts that add up to more than the rate, whatever each
    # zone knows of the upstream's, also where the settings name no zones.
    fleet = cold_start_fleet.Fleet(nursery, max(2, named), 1)
    owner, *elsewhere = (process.starts for process in fleet.processes.values())
    owner.presence = lambda zone: own
    owner.zones = named
    for number, starts in enumerate(elsewhere):
        starts.peers.zone = f'other-{number}'
        starts.presence = lambda zone: other
        starts.zones = named
    (upstream, *_) = fleet.instances
    request = messages_forwarding.ColdStartRequest(
        1, '10.0.0.9', upstream, cold_start_fleet.ZONE
    )
    permitted = sum(starts.limit(request) for starts in (owner, *elsewhere))
    assert 0 < permitted <= LIMIT + 1e-9


async def restart_alone(fleet, others):
    """Restarts a router that is cut off from some others of the fleet."""
    await calm(fleet)
    (host, *_) = fleet.hosts(*A)
    for other in others:
        fleet.cut.update([(host, other), (other, host)])
    await fleet.restart([host])
    await trio.sleep(CUT_SECONDS)


@pytest.mark.parametrize('size', SIZES)
async def test_router_that_hears_other_zones_only_takes_no_others_share(
    nursery, autojump_clock, size
):
    # Guards against a router that was restarted, does not hear those of its
    # zone, and takes itself for the only one there.
    fleet = zones.Fleet(nursery, size, 1)
    await restart_alone(fleet, fleet.hosts(*A))
    assert fleet.most_in_a_second() <= LIMIT


async def test_router_that_hears_nobody_takes_no_others_share(
    nursery, autojump_clock
):
    # Guards against a router that was restarted, is cut off from all others,
    # and takes itself for the only one of its zone.
    fleet = zones.Fleet(nursery, 3, 1)
    await restart_alone(fleet, list(fleet.zone_of))
    assert fleet.most_in_a_second() <= LIMIT
