"""Who reads the store, and how often, over fakes."""

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
    found = peer_fleets.Fleet(nursery)
    await trio.sleep(5.0)
    return found


def in_turn(fleet):
    """Returns the routers in the order in which they read."""
    nodes = fleet.routers.values()
    return sorted(nodes, key=lambda node: node.peers.read_position())


async def reads_of(fleet, node, seconds):
    before = node.source.reads
    await trio.sleep(seconds)
    return node.source.reads - before


async def test_routers_agree_on_their_places(fleet, autojump_clock):
    places = [node.peers.read_position() for node in fleet.routers.values()]
    assert sorted(places) == [0, 1, 2, 3]


async def test_only_the_first_one_reads(fleet, autojump_clock):
    first, *others = in_turn(fleet)
    before = sum(node.source.reads for node in others)
    assert await reads_of(fleet, first, 10.0) >= 10
    assert sum(node.source.reads for node in others) == before


async def test_next_one_reads_when_the_store_refuses_the_first(
    fleet, autojump_clock
):
    # The store turns one router away, the one that reads for all. The next
    # one has its turn a quarter of a second later; the first does not go on
    # asking a store that turns it away while others bring what it needs.
    first, second, *_ = in_turn(fleet)
    first.source.error = errors.KeyValueUnavailable('refused')
    refused = first.source.reads
    assert await reads_of(fleet, second, 10.0) >= 8
    assert first.source.reads - refused <= 14
    assert first.snapshots.age < APPLY


async def test_next_one_reads_when_the_first_dies(nursery, autojump_clock):
    fleet = peer_fleets.Fleet(nursery)
    await trio.sleep(5.0)
    first, *others = in_turn(fleet)
    fleet.isolate_from_peers(first.peers.host)
    before = sum(node.source.reads for node in others)
    await trio.sleep(10.0)
    reads = sum(node.source.reads for node in others) - before
    assert 8 <= reads <= 20
    assert all(node.snapshots.age < APPLY for node in others)


async def test_store_that_is_away_is_not_asked_for_each_request(
    nursery, autojump_clock
):
    # The store is away for eight seconds. Each request with a credential
    # wanted a read for itself, and got one: hundreds of calls a second, each
    # of them paid for, and none of use.
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


async def test_far_router_asks_a_store_that_is_away_seldom(
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


async def test_caller_hears_at_once_that_nothing_fresh_will_come(
    nursery, autojump_clock
):
    # The store was found away, and is asked again in a while. A request that
    # needs a fresh configuration is refused now, not after a wait that
    # nothing can end.
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


def test_places_differ_and_zones_take_turns():
    zones = {'z1': ['a', 'b', 'c'], 'z2': ['d', 'e', 'f']}
    places = {
        host: read_order.position(host, hosts, zone, zones)
        for zone, hosts in zones.items()
        for host in hosts
    }
    assert sorted(places.values()) == [0, 1, 2, 3, 4, 5]
    firsts = [host for host, place in places.items() if place < 2]
    assert len({host in zones['z1'] for host in firsts}) == 2


def test_each_has_its_turn_in_time():
    for place in (0, 1, 5, 100, 5000):
        for drawn in (0.0, 0.5, 1.0):
            wait = read_order.wait_seconds(place, 0.7, drawn)
            assert 0.0 <= wait <= 0.7
    assert read_order.wait_seconds(0, 0.7, 0.5) == 0.0
