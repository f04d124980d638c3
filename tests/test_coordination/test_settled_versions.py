"""When a stream's key alone tells which software began it."""

from __future__ import annotations

import random

import attrs
import pytest
import trio

from lavenderbend import errors
from lavenderbend.coordination.forwarding import directory
from lavenderbend.coordination.forwarding import interfaces
from lavenderbend.coordination.forwarding import snapshots
from lavenderbend.coordination.forwarding.stream_versions import (
    settled_versions,
)
from lavenderbend.state import forwarding
from lavenderbend.state import upstreams
from tests import forwarding_fakes as fakes
from tests import version_fleet

SERVICE = 'chat'
STREAM_SECONDS = (
    version_fleet.RULE.then.timeout + settled_versions.MARGIN_SECONDS
)
Settled = settled_versions.Settled


class Records(interfaces.VersionRecordStore):
    """Takes the records of one router."""

    def __init__(self):
        self.written = []
        self.error = None

    async def write_version_record(self, service, revision, content):
        await trio.sleep(0.004)
        if self.error is not None:
            raise self.error
        self.written.append((service, revision, content))
        return True


class World:
    """One router's view of the store, which a test sets."""

    def __init__(self):
        self.store = Records()
        self.snapshots = snapshots.Snapshots(
            fakes.Source(),
            snapshots.FollowSettings(),
            random.Random(1),
            trio.current_time,
        )
        self.settled = settled_versions.SettledVersions(
            self.snapshots, self.store, directory.Directory(self.snapshots)
        )
        self.table = fakes.table(1, (version_fleet.RULE,))
        self.entries = {}
        self.records = {}
        self.revision = 1
        self.era = 0

    def show(self, record=None, **versions):
        """Shows engines, and possibly a record, in the next snapshot."""
        if record is not None:
            self.revision += 1
            self.records[SERVICE] = forwarding.VersionRecord(
                self.revision, record
            )
        for name, version in versions.items():
            self.entries[name] = attrs.evolve(
                fakes.upstream(name), software=version
            )
        self.accept()

    def accept(self):
        self.revision += 1
        content = fakes.snapshot(
            self.revision, self.table, *self.entries.values()
        )
        content = attrs.evolve(
            content,
            digest=self.revision,
            raw=attrs.evolve(content.raw, era=self.era),
            version_records=dict(self.records),
        )
        self.snapshots.accept(content, trio.current_time())

    async def follow(self, seconds, reached=True):
        """Runs the router while the store shows nothing new, if reached."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.settled.run)
            until = trio.current_time() + seconds
            while trio.current_time() < until:
                if reached:
                    self.snapshots.prove(trio.current_time())
                await trio.sleep(0.4)
            nursery.cancel_scope.cancel()

    @property
    def state(self):
        return self.settled.state(SERVICE)

    def drawn(self, key='k'):
        return self.settled.software_id(SERVICE, None, key)


@pytest.fixture
def world(autojump_clock):
    return World()


async def test_version_of_a_new_service_is_recorded_at_once(
    autojump_clock, world
):
    """Guards against callers refused while a fleet is young."""
    world.show(e1='v1', e2='v1')
    await world.follow(1.0)
    assert world.store.written == [(SERVICE, 0, 'only v1')]


async def test_version_that_was_not_alone_is_recorded_after_the_longest_stream(
    autojump_clock, world
):
    """Guards against streams of a version that left a moment ago."""
    world.show('only v1', e1='v1', e2='v2')
    await world.follow(1.0)
    assert world.store.written[-1][2] == settled_versions.UNSETTLED
    del world.entries['e1']
    world.show(settled_versions.UNSETTLED)
    written = len(world.store.written)
    await world.follow(STREAM_SECONDS - 1.0)
    assert len(world.store.written) == written
    await world.follow(2.0)
    assert world.store.written[-1][2] == 'only v2'


async def test_record_that_did_not_agree_does_not_hold_again(
    autojump_clock, world
):
    """Guards against the streams of a release that was rolled back."""
    world.show('only v1', e1='v1')
    world.show(e2='v2')
    del world.entries['e2']
    world.accept()
    assert world.state is Settled.NOT
    await world.follow(1.0)
    assert world.store.written[-1][2] == settled_versions.UNSETTLED


async def test_new_service_of_several_versions_is_settled_at_once(
    autojump_clock, world
):
    """Guards against callers refused while a fleet is young."""
    world.show(e1='v1', e2='v2')
    await world.follow(1.0)
    ((_, _, content),) = world.store.written
    world.show(content)
    assert world.state is Settled.DRAWN


async def test_routers_that_draw_nothing_keep_several_versions_unsettled(
    autojump_clock, world
):
    """Guards against draws of streams that an earlier build began."""
    await settle(world)
    world.settled.note_earlier_build()
    world.settled.update_settled()
    assert world.state is Settled.NOT
    await world.follow(1.0)
    assert world.store.written[-1][2] == settled_versions.UNSETTLED
    world.show(settled_versions.UNSETTLED)
    written = len(world.store.written)
    await world.follow(STREAM_SECONDS - 2.0)
    assert len(world.store.written) == written


async def test_service_whose_version_left_early_is_recorded_as_unsettled(
    autojump_clock, world
):
    """Guards against a service taken for new after its second version left."""
    world.show(e1='v1', e2='v2')
    del world.entries['e2']
    world.accept()
    await world.follow(1.0)
    assert world.store.written == [(SERVICE, 0, settled_versions.UNSETTLED)]


async def test_record_holds_while_it_agrees_with_all_entries(
    autojump_clock, world
):
    """Guards against the record of a version that serves no longer alone."""
    world.show('only v1', e1='v1', e2='v1')
    assert world.state is Settled.ONLY
    assert world.drawn('') == world.entries['e1'].software_id
    world.show(e3='v2')
    assert world.state is Settled.NOT
    del world.entries['e1'], world.entries['e2']
    world.accept()
    assert world.state is Settled.NOT
    assert world.drawn() is None


async def test_leaving_upstream_counts_as_a_version(autojump_clock, world):
    """Guards against the streams of an upstream that leaves."""
    world.show('only v1', e1='v1')
    leaving = fakes.upstream('e2', leaving=True)
    world.entries['e2'] = attrs.evolve(leaving, software='v2')
    world.accept()
    assert world.state is Settled.NOT


async def settle(world):
    """Shows two versions for so long that they are settled."""
    world.show(settled_versions.UNSETTLED, e1='v1', e2='v2')
    await world.follow(2.0 * STREAM_SECONDS)
    (_, _, content) = world.store.written[-1]
    assert content.startswith(settled_versions.DRAWN)
    world.show(content)


async def test_several_versions_settle_only_if_no_upstream_comes_or_goes(
    autojump_clock, world
):
    """Guards against a draw among other upstreams than a stream began with."""
    await settle(world)
    assert world.state is Settled.DRAWN
    assert {world.drawn(f'k{n}') for n in range(20)} == {
        entry.software_id for entry in world.entries.values()
    }
    world.show(e3='v2')
    assert world.state is Settled.NOT
    assert world.drawn() is None


async def test_leaving_state_voids_the_draw(autojump_clock, world):
    """Guards against a draw that names a version which takes nothing new."""
    await settle(world)
    entry = world.entries['e1']
    vm = attrs.evolve(entry.vm, state=upstreams.VmState.LEAVING)
    world.entries['e1'] = attrs.evolve(entry, vm=vm)
    world.accept()
    assert world.state is Settled.NOT


async def test_stream_not_as_drawn_has_the_record_taken_back_first(
    autojump_clock, world
):
    """Guards against a draw of streams that began elsewhere."""
    await settle(world)
    await world.settled.note_not_as_drawn(SERVICE)
    assert world.store.written[-1][2] == settled_versions.UNSETTLED
    assert world.state is Settled.NOT
    # the store's own view is late
    world.accept()
    assert world.state is Settled.NOT


async def test_streams_not_as_drawn_keep_several_versions_unsettled(
    autojump_clock, world
):
    """Guards against a record while some router still departs from draws."""
    world.show(settled_versions.UNSETTLED, e1='v1', e2='v2')
    for _ in range(8):
        await world.follow(STREAM_SECONDS / 2)
        await world.settled.note_not_as_drawn(SERVICE)
        await world.follow(1.0)
        world.show(settled_versions.UNSETTLED)
    contents = {content for _, _, content in world.store.written}
    assert contents == {settled_versions.UNSETTLED}
    # a write for each part of the time, not for each stream
    written = len(world.store.written)
    for _ in range(100):
        await world.settled.note_not_as_drawn(SERVICE)
    await world.follow(1.0)
    assert len(world.store.written) == written


async def test_record_of_another_router_delays_the_next(autojump_clock, world):
    """Guards against settling while other routers depart from draws."""
    world.show(settled_versions.UNSETTLED, e1='v1', e2='v2')
    for _ in range(8):
        await world.follow(STREAM_SECONDS)
        world.show(settled_versions.UNSETTLED)
    assert not world.store.written


async def test_stream_begins_although_the_store_takes_nothing(
    autojump_clock, world
):
    """Guards against callers that wait for a store that is away."""
    await settle(world)
    world.store.error = errors.KeyValueUnavailable('down')
    began = trio.current_time()
    await world.settled.note_not_as_drawn(SERVICE)
    assert trio.current_time() - began <= settled_versions.VOID_SECONDS
    assert world.state is Settled.NOT
    world.store.error = None
    await world.follow(1.0)
    assert world.store.written[-1][2] == settled_versions.UNSETTLED


async def test_router_that_did_not_see_the_store_starts_anew(
    autojump_clock, world
):
    """Guards against a version that came and went unseen."""
    world.show(settled_versions.UNSETTLED, e1='v1')
    await world.follow(STREAM_SECONDS - 5.0)
    unseen = settled_versions.MAX_UNSEEN_SECONDS + 1.0
    await world.follow(unseen, reached=False)
    await world.follow(STREAM_SECONDS - 3.0)
    assert not world.store.written


async def test_version_that_others_saw_delays_the_next_record(
    autojump_clock, world
):
    """Guards against a version that came and went unseen by this router."""
    world.show('only v1', e1='v1')
    await world.follow(2.0 * STREAM_SECONDS)
    world.show(settled_versions.UNSETTLED)
    await world.follow(STREAM_SECONDS - 1.0)
    assert not world.store.written
    await world.follow(2.0)
    assert world.store.written[-1][2] == 'only v1'


async def test_service_without_streams_has_no_record(autojump_clock, world):
    """Guards against writes for services whose streams nobody takes up."""
    world.table = fakes.table(1)
    world.show(e1='v1')
    await world.follow(3.0 * STREAM_SECONDS)
    assert not world.store.written


async def test_record_of_an_earlier_era_of_the_store_does_not_hold(
    autojump_clock, world
):
    """Guards against streams of a release that the store has lost."""
    world.show('only v1', e1='v1')
    assert world.state is Settled.ONLY
    world.era = 1
    world.accept()
    assert world.state is Settled.NOT
    await world.follow(1.0)
    assert world.store.written[-1][2] == settled_versions.UNSETTLED
    world.show(settled_versions.UNSETTLED)
    await world.follow(STREAM_SECONDS + 2.0)
    _, _, content = world.store.written[-1]
    assert content == 'only v1' + settled_versions.ERA_SUFFIX.format(1)
    world.show(content)
    assert world.state is Settled.ONLY


async def test_revision_of_a_void_record_is_given_again(autojump_clock, world):
    """Guards against a record that is void by the number of another one."""
    world.show('only v1', e1='v2')
    void = world.records[SERVICE].revision
    content = 'only v2' + settled_versions.ERA_SUFFIX.format(1)
    world.era = 1
    world.records[SERVICE] = forwarding.VersionRecord(void, content)
    world.accept()
    assert world.state is Settled.ONLY


async def test_service_unsettled_during_another_write_is_not_settled(
    autojump_clock,
):
    """Guards against streams that go on at a version that did not begin them.

    The record that another router has just taken back must not be replaced by
    what this router wanted to write before it saw that.
    """
    world = World()
    due = [(SERVICE, 'first'), ('other', 'second')]
    world.settled.due = lambda: list(due)

    async def write(service, revision, content):
        world.store.written.append((service, revision, content))
        due.clear()
        return True

    world.store.write_version_record = write
    world.show(e1='v1')
    await world.follow(2.0)
    assert world.store.written == [(SERVICE, 0, 'first')]


async def test_void_record_is_taken_back_soon_by_the_next_router(
    autojump_clock, world
):
    """Guards against a record that holds again as the first router is away."""
    world.show('only v1', e1='v1')
    world.snapshots.read_position = lambda: 1
    await world.follow(3.0)
    world.show(e2='v2')
    await world.follow(0.2)
    world.show(e3='v2')
    await world.follow(1.0)
    assert world.store.written == [(SERVICE, 2, settled_versions.UNSETTLED)]


async def test_suspended_router_starts_anew(autojump_clock, world):
    """Guards against a version that came and went while a VM was suspended."""
    suspended = 0.0
    world.snapshots.clock = lambda: trio.current_time() + suspended

    async def follow(seconds):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(world.settled.run)
            until = trio.current_time() + seconds
            while trio.current_time() < until:
                await trio.sleep(0.1)
                world.snapshots.prove(world.snapshots.clock())
            nursery.cancel_scope.cancel()

    world.show(settled_versions.UNSETTLED, e1='v1')
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follow, 2.0 * STREAM_SECONDS)
        await trio.sleep(STREAM_SECONDS - 1.75)
        assert not world.store.written
        suspended = 30.0
        await trio.sleep(STREAM_SECONDS - 1.0)
        assert not world.store.written
        await trio.sleep(2.0)
        assert world.store.written[-1][2] == 'only v1'
