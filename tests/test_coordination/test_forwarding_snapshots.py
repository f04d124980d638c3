"""Freshness of the configuration, and entries that lapse in outages."""

from __future__ import annotations

import random

import pytest
import trio

from lavenderbend import errors
from lavenderbend.coordination.forwarding import directory
from lavenderbend.coordination.forwarding import snapshots
from tests import forwarding_fakes as fakes

REVOCATION_SECONDS = 5.0


@pytest.fixture
def source():
    return fakes.Source(fakes.snapshot(1, fakes.table(1), fakes.upstream('e1')))


@pytest.fixture
def clock():
    return fakes.SuspensionClock()


@pytest.fixture
def followed(source, clock):
    return snapshots.Snapshots(
        source,
        snapshots.FollowSettings(2.0, REVOCATION_SECONDS),
        random.Random(1),
        clock,
    )


async def change_during_outage(source, content):
    """Simulates a store outage of four seconds, and a change at its end."""
    source.error = errors.KeyValueUnavailable('down')
    await trio.sleep(4.0)
    source.put(content)
    source.error = None
    await trio.sleep(1.0)


async def test_version_is_in_force_in_time(
    nursery, autojump_clock, source, followed
):
    nursery.start_soon(followed.run)
    await trio.sleep(5.0)
    source.put(fakes.snapshot(2, fakes.table(2)))
    await trio.sleep(1.0)
    assert followed.table.version == 2


async def test_version_never_goes_back(autojump_clock, source, followed):
    # A peer that was partitioned sends its old snapshot after a newer one was
    # read here: the older one must not come into force again.
    followed.accept(fakes.snapshot(9, fakes.table(9)), 1.0)
    followed.accept(fakes.snapshot(8, fakes.table(8)), 2.0)
    assert followed.table.version == 9
    assert followed.proved_at == 1.0


async def test_freshness_counts_from_when_a_read_was_sent(
    autojump_clock, source, clock, followed
):
    # The store answers slowly. A revocation while the answer is in transit is
    # not part of it: if freshness counted from the answer's arrival, the
    # revoked credential would be accepted for longer than allowed.
    source.delay = 1.5
    sent = clock()
    await followed.read()
    assert followed.proved_at == sent
    assert followed.age == pytest.approx(1.5)


async def test_router_that_was_suspended_is_not_fresh(
    autojump_clock, source, clock, followed
):
    # The VM is suspended for ten seconds, which the monotonic clock does not
    # count. A router that relied on that clock would accept a credential that
    # was revoked meanwhile.
    await followed.read()
    assert followed.may_serve_credentials()
    clock.suspended += 10.0
    assert not followed.may_serve_credentials()


async def test_waiting_for_freshness_causes_an_immediate_read(
    nursery, autojump_clock, source, clock, followed
):
    nursery.start_soon(followed.run)
    await trio.sleep(0.1)
    clock.suspended += 10.0
    began = trio.current_time()
    assert await followed.wait_fresh(2.0, 0.3)
    assert trio.current_time() - began < 0.05


async def test_partitioned_router_stops_being_fresh_and_recovers(
    nursery, autojump_clock, source, followed
):
    nursery.start_soon(followed.run)
    await trio.sleep(1.0)
    source.error = errors.KeyValueUnavailable('cut')
    await trio.sleep(REVOCATION_SECONDS)
    assert not followed.may_serve_credentials()
    assert not await followed.wait_fresh(2.0, 0.3)
    source.error = None
    await trio.sleep(1.0)
    assert followed.may_serve_credentials()


async def test_failing_store_gets_few_reads_a_second(
    nursery, autojump_clock, source, followed
):
    nursery.start_soon(followed.run)
    source.error = errors.KeyValueUnavailable('down')
    await trio.sleep(20.0)
    assert source.reads < 20.0 * 3


async def test_unreadable_configuration_keeps_the_last_valid_one(
    nursery, autojump_clock, source, followed
):
    # The store contains bytes that cannot be decoded: the router keeps the last
    # version that it could decode and logs the failure.
    nursery.start_soon(followed.run)
    await trio.sleep(1.0)
    original_decode = source.decode

    def decode(raw):
        raise errors.CodecError('op/config: field version')

    source.decode = decode
    source.put(fakes.snapshot(2, fakes.table(2)))
    await trio.sleep(3.0)
    assert followed.table.version == 1
    source.decode = original_decode
    await trio.sleep(2.0)
    assert followed.table.version == 2


async def test_entries_that_lapsed_in_a_store_outage_are_retained(
    nursery, autojump_clock, source, followed
):
    # During a store outage upstreams cannot renew their entries, and the list
    # is empty when the store recovers. A router that applied it would refuse
    # all requests until the upstreams have registered again.
    upstreams = directory.Directory(followed)
    nursery.start_soon(followed.run)
    await trio.sleep(1.0)
    await change_during_outage(source, fakes.snapshot(2, fakes.table(1)))
    assert [upstream.instance for upstream in upstreams.of('chat')] == ['e1']
    await trio.sleep(2.5)
    assert upstreams.of('chat') == []


async def test_entry_removed_without_an_outage_is_not_retained(
    nursery, autojump_clock, source, followed
):
    upstreams = directory.Directory(followed)
    nursery.start_soon(followed.run)
    await trio.sleep(1.0)
    source.put(fakes.snapshot(2, fakes.table(1)))
    await trio.sleep(1.0)
    assert upstreams.of('chat') == []


async def test_entry_removed_while_the_store_answers_peers_is_not_retained(
    autojump_clock, source, followed
):
    # Guards against taking the slow reads of one router for a store outage.
    upstreams = directory.Directory(followed)
    await followed.read()
    for _ in range(8):
        await trio.sleep(0.5)
        followed.note_answered(followed.clock())
    source.put(fakes.snapshot(2, fakes.table(1)))
    await followed.read()
    assert upstreams.of('chat') == []


async def test_upstream_that_leaves_unannounced_is_not_retained(
    nursery, autojump_clock, source, clock
):
    # In a large fleet a router may have no newer proof of freshness for two
    # seconds. An entry that is removed in that time must not be retained for
    # another two: its upstream gets no new requests after three.
    followed = snapshots.Snapshots(
        source, snapshots.FollowSettings(3.0, 5.0), random.Random(1), clock
    )
    followed.read_position = lambda: 85
    upstreams = directory.Directory(followed)
    await followed.read()
    source.put(fakes.snapshot(2, fakes.table(1)))
    followed.read_delay_seconds = snapshots.READ_ORDER_FRACTION * 3.0
    nursery.start_soon(followed.run)
    await trio.sleep(2.5)
    assert upstreams.of('chat') == []


async def test_leaving_upstream_gets_nothing_new(
    nursery, autojump_clock, source, followed
):
    upstreams = directory.Directory(followed)
    nursery.start_soon(followed.run)
    await trio.sleep(1.0)
    leaving = fakes.upstream('e1', leaving=True)
    source.put(fakes.snapshot(2, fakes.table(1), leaving))
    await trio.sleep(1.0)
    assert upstreams.of('chat') == []


async def test_lapsed_upstream_that_was_leaving_is_not_retained(
    nursery, autojump_clock, source, followed
):
    # The upstream announced its departure before the store outage, so the
    # missing entry has not just lapsed.
    upstreams = directory.Directory(followed)
    leaving = fakes.upstream('e1', leaving=True)
    source.put(fakes.snapshot(1, fakes.table(1), leaving))
    nursery.start_soon(followed.run)
    await trio.sleep(1.0)
    await change_during_outage(source, fakes.snapshot(2, fakes.table(1)))
    assert upstreams.of('chat') == []


async def test_earlier_start_of_an_upstream_is_not_retained(
    nursery, autojump_clock, source, followed
):
    # Guards against requests to a dead upstream: it crashed during a store
    # outage and was started again under its id. Its earlier start was retained
    # as lapsed, and got requests for two seconds.
    upstreams = directory.Directory(followed)
    nursery.start_soon(followed.run)
    await trio.sleep(1.0)
    later = fakes.upstream('e1', start='/2')
    await change_during_outage(source, fakes.snapshot(2, fakes.table(1), later))
    assert [upstream.instance for upstream in upstreams.of('chat')] == ['e1/2']
