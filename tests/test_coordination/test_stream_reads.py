"""How often the store is read for streams that callers take up."""

from __future__ import annotations

import random
import types

import pytest
import trio

from lavenderbend.coordination.forwarding import snapshots
from lavenderbend.coordination.forwarding.stream_versions import stream_versions

STORE_SECONDS = 0.004
SECONDS = 10.0
CALLS_PER_SECOND = 50.0


class Snapshots(snapshots.Snapshots):
    """Counts reads; each brings a proof."""

    reads = 0

    async def read(self):
        sent_at = self.clock()
        self.reads += 1
        await trio.sleep(STORE_SECONDS)
        self.prove(sent_at)


def stream_versions_of(followed, routers):
    """Returns those of one router of a fleet."""
    peers = types.SimpleNamespace(
        host='10.0.0.1',
        zone='z1',
        members=None,
        fleet=None,
        handlers={},
        fleet_size=lambda: routers,
    )
    settled = types.SimpleNamespace(
        snapshots=followed, note_earlier_build=lambda: None
    )
    return stream_versions.StreamVersions(
        peers, None, settled, random.Random(1)
    )


@pytest.mark.parametrize('routers', [6, 24, 75])
async def test_fleet_reads_no_more_often_than_meant(autojump_clock, routers):
    """Guards against reads beyond those that the store serves."""
    followed = Snapshots(
        None, snapshots.FollowSettings(), random.Random(1), trio.current_time
    )
    followed.first_contact.set()
    versions = stream_versions_of(followed, routers)
    seen = []

    async def call():
        seen.append(await versions.sees_present(followed.clock()))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(followed.run)
        async with trio.open_nursery() as calls:
            for _ in range(int(CALLS_PER_SECOND * SECONDS)):
                calls.start_soon(call)
                await trio.sleep(1.0 / CALLS_PER_SECOND)
        nursery.cancel_scope.cancel()
    assert all(seen)
    reads_per_second = routers * followed.reads / SECONDS
    assert reads_per_second < 1.1 * stream_versions.FLEET_READS_PER_SECOND
