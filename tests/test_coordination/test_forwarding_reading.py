"""Which router reads the store, and how often, with fakes."""

from __future__ import annotations

import random

import pytest
import trio

from lavenderbend import errors
from lavenderbend.coordination.forwarding import read_order
from lavenderbend.coordination.forwarding import snapshots
from tests import forwarding_fakes as fakes
from tests.test_coordination import test_forwarding_peers as peer_fleets

APPLY = 2.0
REVOCATION = 5.0
HOSTS = peer_fleets.HOSTS


@pytest.fixture
async def fleet(nursery, autojump_clock):
    started = peer_fleets.Fleet(nursery)
    await trio.sleep(5.0)
    return started


def in_reading_order(fleet):
    """Returns the routers in the order in which they read the store."""
    nodes = fleet.routers.values()
    return sorted(nodes, key=lambda node: node.peers.read_position())


async def count_reads(fleet, node, seconds):
    before = node.source.reads
    await trio.sleep(seconds)
    return node.source.reads - before


async def test_routers_agree_on_the_reading_order(fleet, autojump_clock):
    places = [node.peers.read_position() for node in fleet.routers.values()]
    assert sorted(places) == [0, 1, 2, 3]


async def test_only_the_first_router_reads(fleet, autojump_clock):
    first, *others = in_reading_order(fleet)
    before = sum(node.source.reads for node in others)
    assert await count_reads(fleet, first, 10.0) >= 10
    assert sum(node.source.reads for node in others) == before


async def test_second_router_reads_when_the_store_refuses_the_first(
    fleet, autojump_clock
):
    # The store refuses only the router that reads for all. The second router
    # has to take over a quarter of a second later, and the first must not keep
    # asking the store while others send it what it needs.
    first, second, *_ = in_reading_order(fleet)
    first.source.error = errors.KeyValueUnavailable('refused')
    refused = first.source.reads
    assert await count_reads(fleet, second, 10.0) >= 8
    assert first.source.reads - refused <= 14
    assert first.snapshots.age < APPLY


async def test_second_router_reads_when_the_first_dies(nursery, autojump_clock):
    fleet = peer_fleets.Fleet(nursery)
    await trio.sleep(5.0)
    first, *others = in_reading_order(fleet)
    fleet.isolate_from_peers(first.peers.host)
    before = sum(node.source.reads for node in others)
    await trio.sleep(10.0)
    reads = sum(node.source.reads for node in others) - before
    assert 8 <= reads <= 20
    assert all(node.snapshots.age < APPLY for node in others)


async def test_unavailable_store_is_not_read_for_each_request(
    nursery, autojump_clock
):
    # While the store was unavailable for eight seconds, each request with a
    # credential caused a read of its own: hundreds of calls a second, all of
    # them billed and none of use.
    source = fakes.Source(fakes.snapshot(1, fakes.table(1)))
    followed = snapshots.Snapshots(
        source,
        snapshots.FollowSettings(APPLY, REVOCATION),
        random.Random(1),
        fakes.SuspensionClock(),
    )
    nursery.start_soon(followed.run)
    await trio.sleep(1.0)
    source.error = errors.KeyValueUnavailable('down')
    before = source.reads
    for _ in range(200):
        nursery.start_soon(followed.wait_fresh, 0.5, 0.3)
        await trio.sleep(0.04)
    assert source.reads - before <= 8.0 / snapshots.MAX_RETRY_SECONDS * 2 + 4


async def test_router_late_in_the_order_rarely_reads_unavailable_store(
    nursery, autojump_clock
):
    source = fakes.Source(fakes.snapshot(1, fakes.table(1)))
    followed = snapshots.Snapshots(
        source,
        snapshots.FollowSettings(APPLY, REVOCATION),
        random.Random(1),
        fakes.SuspensionClock(),
    )
    followed.read_position = lambda: 100
    nursery.start_soon(followed.run)
    await trio.sleep(1.0)
    source.error = errors.KeyValueUnavailable('down')
    await trio.sleep(10.0)
    before = source.reads
    await trio.sleep(30.0)
    assert source.reads - before <= 20


async def test_wait_for_fresh_data_fails_at_once_until_the_next_retry(
    nursery, autojump_clock
):
    # The store was found unavailable and is not read again before the next
    # retry. A request that needs a fresh configuration must be refused now
    # instead of after a wait that can't succeed.
    source = fakes.Source(fakes.snapshot(1, fakes.table(1)))
    followed = snapshots.Snapshots(
        source,
        snapshots.FollowSettings(APPLY, REVOCATION),
        random.Random(1),
        fakes.SuspensionClock(),
    )
    nursery.start_soon(followed.run)
    await trio.sleep(1.0)
    source.error = errors.KeyValueUnavailable('down')
    for _ in range(200):
        if followed.retry_at - followed.clock() > 0.35:
            break
        await trio.sleep(0.05)
    began = trio.current_time()
    assert not await followed.wait_fresh(0.1, 0.3)
    assert trio.current_time() == began


def test_reading_places_differ_and_zones_alternate():
    zones = {'z1': ['a', 'b', 'c'], 'z2': ['d', 'e', 'f']}
    places = {
        host: read_order.position(host, hosts, zone, zones)
        for zone, hosts in zones.items()
        for host in hosts
    }
    assert sorted(places.values()) == [0, 1, 2, 3, 4, 5]
    firsts = [host for host, place in places.items() if place < 2]
    assert len({host in zones['z1'] for host in firsts}) == 2


def test_wait_for_the_own_turn_is_bounded():
    for place in (0, 1, 5, 100, 5000):
        for drawn in (0.0, 0.5, 1.0):
            wait = read_order.wait_seconds(place, 0.7, drawn)
            assert 0.0 <= wait <= 0.7
    assert read_order.wait_seconds(0, 0.7, 0.5) == 0.0
