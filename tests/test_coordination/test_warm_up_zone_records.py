"""Records of zones that have routers."""

from __future__ import annotations

import attrs
import pytest
import trio

from lavenderbend import errors
from lavenderbend.coordination.forwarding import facts as facts_module
from lavenderbend.coordination.forwarding import fleet_count
from lavenderbend.coordination.forwarding import snapshots as snapshots_module
from lavenderbend.coordination.forwarding import store_writers
from lavenderbend.coordination.forwarding.warm_up import coldness as colds
from lavenderbend.coordination.forwarding.warm_up import zone_records
from tests import cold_start_fleet
from tests import cold_start_zones as zones
from tests import forwarding_fakes as fakes

ZONE = 'sala-a'
OTHER = 'sala-b'
Presence = zone_records.Presence


class Node:
    """The records as one router sees them."""

    def __init__(self, store):
        self.store = store
        self.clock = fakes.SuspensionClock()
        self.snapshots = snapshots_module.Snapshots(
            store, snapshots_module.FollowSettings(2.0), None, self.clock
        )
        self.snapshots.draw_read_delay = lambda: None
        self.fleet = fleet_count.FleetCount(ZONE)
        self.fleet.note(ZONE, 1)
        facts = facts_module.Facts('10.0.0.1', lambda fact: None)
        self.coldness = colds.Coldness(facts)
        self.snapshots.on_change.append(self.coldness.apply_snapshot)
        self.records = zone_records.ZoneRecords(
            self.snapshots, store, self.fleet, self.coldness
        )

    def see(self):
        """Takes over the store's present content."""
        self.snapshots.accept(self.store.content, self.clock())

    async def follow(self, seconds):
        """Sees the store's content, and counts its zone, for some time."""
        until = trio.current_time() + seconds
        while trio.current_time() < until:
            self.see()
            self.fleet.note(ZONE, 1)
            await trio.sleep(0.25)


@pytest.fixture
def store():
    return zones.Store()


@pytest.fixture
async def node(store, nursery, autojump_clock):
    node = Node(store)
    nursery.start_soon(node.records.run)
    return node


async def test_nothing_is_known_before_the_first_snapshot(node, autojump_clock):
    assert node.records.presence(ZONE) is Presence.UNCERTAIN


async def test_record_is_announced_and_then_confirmed(
    node, store, autojump_clock
):
    node.see()
    assert node.records.presence(ZONE) is Presence.ABSENT
    await node.follow(zone_records.ANNOUNCE_SECONDS + 1.0)
    assert store.writes == [(ZONE, False)]
    assert node.records.presence(ZONE) is Presence.UNCERTAIN
    await node.follow(zone_records.CONFIRM_SECONDS + 1.0)
    assert store.writes == [(ZONE, False), (ZONE, True)]
    assert node.records.presence(ZONE) is Presence.CONFIRMED
    await node.follow(60.0)
    assert len(store.writes) == 2


async def test_old_snapshot_does_not_show_that_a_record_is_missing(
    node, autojump_clock
):
    # Guards against a router that was cut off from the store, or suspended,
    # while the zone got its first routers.
    node.see()
    node.clock.suspended = zone_records.ABSENCE_SECONDS
    assert node.records.presence(OTHER) is Presence.UNCERTAIN


async def test_zones_that_are_heard_are_recorded_too(
    node, store, autojump_clock
):
    # Guards against zones whose routers are all of an earlier build.
    node.fleet.note(OTHER, 3)
    await node.follow(zone_records.ANNOUNCE_SECONDS + 1.0)
    assert store.writes == [(ZONE, False), (OTHER, False)]


async def test_nothing_is_written_where_no_upstream_has_a_warm_up_rate(
    node, store, autojump_clock
):
    table = attrs.evolve(cold_start_fleet.TABLE, pools=())
    store.content = attrs.evolve(store.content, table=table)
    await node.follow(60.0)
    assert not store.writes


async def test_refused_record_is_written_again_later(
    node, store, autojump_clock
):
    store.refuses = True
    await node.follow(10.0)
    assert 2 <= len(store.writes) <= 6
    store.refuses = False
    await node.follow(2.0 * zone_records.CONFIRM_SECONDS)
    assert node.records.presence(ZONE) is Presence.CONFIRMED


async def test_lost_reply_of_a_write_does_no_harm(
    node, store, autojump_clock, monkeypatch
):
    # Guards against a record that was written though its reply was lost.
    write = store.write_zone_record

    async def lose_reply(*args):
        await write(*args)
        raise errors.KeyValueUnavailable('lost')

    monkeypatch.setattr(store, 'write_zone_record', lose_reply)
    await node.follow(2.0 * zone_records.CONFIRM_SECONDS)
    assert store.writes == [(ZONE, False), (ZONE, True)]
    assert node.records.presence(ZONE) is Presence.CONFIRMED


async def test_nothing_is_written_while_the_store_is_away(
    node, store, autojump_clock
):
    # Guards against a call of each router each second to a store in an outage.
    node.see()
    node.clock.suspended = zone_records.ABSENCE_SECONDS
    await trio.sleep(30.0)
    assert not store.writes


async def test_later_routers_leave_the_write_to_the_first(
    node, store, autojump_clock
):
    node.snapshots.read_position = lambda: 3
    await node.follow(3 * store_writers.POSITION_SECONDS)
    assert not store.writes
    await node.follow(zone_records.ANNOUNCE_SECONDS + 1.0)
    assert store.writes == [(ZONE, False)]


async def test_time_to_confirm_begins_anew_with_each_record(
    node, store, autojump_clock
):
    # Guards against a record that operators removed and that came back.
    node.see()
    store.put_record(ZONE, False)
    await node.follow(zone_records.CONFIRM_SECONDS - 1.0)
    store.put_record(ZONE, False)
    await node.follow(zone_records.CONFIRM_SECONDS - 1.0)
    assert not store.writes
    await node.follow(2.0)
    assert store.writes == [(ZONE, True)]


def come_back(store, revision):
    """Shows the store without records, as of a copy."""
    content = fakes.snapshot(
        revision, store.content.table, *store.content.upstreams.values()
    )
    raw = attrs.evolve(content.raw, era=store.content.era + 1)
    store.content = attrs.evolve(content, raw=raw)


async def test_record_that_the_store_lost_is_written_again(
    node, store, autojump_clock
):
    """Guards against a cut off zone whose share others take after a return."""
    node.fleet.note(OTHER, 3)
    copy = store.content.revision
    await node.follow(2.0 * zone_records.CONFIRM_SECONDS)
    assert node.records.presence(OTHER) is Presence.CONFIRMED
    await node.follow(60.0)
    assert OTHER not in node.fleet.recent()
    store.writes.clear()
    come_back(store, copy)
    node.see()
    assert node.records.presence(OTHER) is Presence.UNCERTAIN
    await node.follow(zone_records.ANNOUNCE_SECONDS + 1.0)
    assert sorted(store.writes) == [(ZONE, False), (OTHER, False)]
    await node.follow(zone_records.CONFIRM_SECONDS + 1.0)
    assert node.records.presence(OTHER) is Presence.CONFIRMED


async def test_time_to_confirm_begins_anew_in_another_era(
    node, store, autojump_clock
):
    """Guards against a record confirmed early by its revision's first time."""
    copy = store.content.revision
    node.see()
    store.put_record(ZONE, False)
    await node.follow(zone_records.CONFIRM_SECONDS - 1.0)
    come_back(store, copy)
    store.put_record(ZONE, False)
    store.content = attrs.evolve(
        store.content, raw=attrs.evolve(store.content.raw, era=1)
    )
    await node.follow(zone_records.CONFIRM_SECONDS - 1.0)
    assert not store.writes
    await node.follow(2.0)
    assert store.writes == [(ZONE, True)]
