"""Which router a newer snapshot is fetched from."""

from __future__ import annotations

import pytest
import trio

from lavenderbend import errors
from tests import forwarding_fakes as fakes

ZONES = ('sala-a', 'sala-b')
ROUTERS_PER_ZONE = 12


class Fleet:
    def __init__(self, nursery):
        self.content = fakes.snapshot(1, fakes.table(1))
        self.routers = {}
        self.fetched = []
        hosts = [
            f'10.0.{z}.{n}' for z in range(2) for n in range(ROUTERS_PER_ZONE)
        ]
        for host in hosts:
            zone = ZONES[int(host.split('.')[2])]
            node = fakes.Node(
                host,
                zone,
                fakes.Source(self.content),
                self.routers,
                set(),
                hosts[:1] + hosts[ROUTERS_PER_ZONE : ROUTERS_PER_ZONE + 1],
                apply_seconds=4.0,
            )
            self.count_fetches(node)
            node.start(nursery)

    def count_fetches(self, node):
        fetch = node.link.fetch

        async def counting_fetch(host, known):
            await trio.sleep(0.002)
            self.fetched.append((node.peers.host, host))
            return await fetch(host, known)

        node.link.fetch = counting_fetch

    def put(self, content):
        for node in self.routers.values():
            node.source.snapshots_by_digest[content.digest] = content
            node.source.put(content)

    def fetches_between_zones(self):
        zones = [(a.split('.')[2], b.split('.')[2]) for a, b in self.fetched]
        return sum(fetcher != source for fetcher, source in zones)


@pytest.fixture
async def fleet(nursery, autojump_clock):
    started = Fleet(nursery)
    await trio.sleep(5.0)
    started.fetched.clear()
    return started


async def test_few_routers_of_a_zone_fetch_from_another_zone(
    fleet, autojump_clock
):
    # A configuration changes ten times. Each of the twelve routers of a zone
    # fetched it from the router that announced it first, half of them from the
    # other zone. With two hundred routers and billed traffic between zones, one
    # change of a large configuration cost as much as all other traffic in a
    # minute.
    for version in range(2, 12):
        fleet.put(fakes.snapshot(version, fakes.table(version)))
        await trio.sleep(4.0)
        versions = {n.snapshots.table.version for n in fleet.routers.values()}
        assert versions == {version}
    assert len(fleet.fetched) >= 10 * ROUTERS_PER_ZONE
    assert fleet.fetches_between_zones() <= 10 * 4


async def test_snapshot_is_fetched_from_another_zone_if_needed(
    fleet, autojump_clock
):
    # Guards against a zone whose routers can't read the store and wait for
    # each other, although another zone has the snapshot.
    for node in fleet.routers.values():
        if node.peers.zone == ZONES[0]:
            node.source.error = errors.KeyValueUnavailable('cut')
    fleet.put(fakes.snapshot(2, fakes.table(2)))
    await trio.sleep(4.0)
    versions = {n.snapshots.table.version for n in fleet.routers.values()}
    assert versions == {2}
    assert 1 <= fleet.fetches_between_zones() <= 4
