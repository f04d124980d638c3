"""From whom a router fetches a newer snapshot."""

from __future__ import annotations

import pytest
import trio

from lavenderbend import errors
from tests import forwarding_fakes as fakes

ZONES = ('sala-a', 'sala-b')
EACH = 12


class Fleet:
    def __init__(self, nursery):
        self.content = fakes.snapshot(1, fakes.table(1))
        self.routers = {}
        self.fetched = []
        hosts = [f'10.0.{z}.{n}' for z in range(2) for n in range(EACH)]
        for host in hosts:
            zone = ZONES[int(host.split('.')[2])]
            node = fakes.Node(
                host,
                zone,
                fakes.Source(self.content),
                self.routers,
                set(),
                hosts[:1] + hosts[EACH : EACH + 1],
                apply_seconds=4.0,
            )
            self.count_fetches(node)
            node.start(nursery)

    def count_fetches(self, node):
        fetch = node.link.fetch

        async def counted(host, known):
            await trio.sleep(0.002)
            self.fetched.append((node.peers.host, host))
            return await fetch(host, known)

        node.link.fetch = counted

    def put(self, content):
        for node in self.routers.values():
            node.source.snapshots_by_digest[content.digest] = content
            node.source.put(content)

    def between_zones(self):
        pairs = [(a.split('.')[2], b.split('.')[2]) for a, b in self.fetched]
        return sum(one != other for one, other in pairs)


@pytest.fixture
async def fleet(nursery, autojump_clock):
    found = Fleet(nursery)
    await trio.sleep(5.0)
    found.fetched.clear()
    return found


async def test_few_of_a_zone_fetch_from_another_one(fleet, autojump_clock):
    # A configuration changes ten times. Each of twelve routers of a zone
    # fetched it from whoever told first, half of them from the other zone;
    # at two hundred routers and bytes between zones that are paid for, one
    # change of a large configuration cost as much as all else in a minute.
    for version in range(2, 12):
        fleet.put(fakes.snapshot(version, fakes.table(version)))
        await trio.sleep(4.0)
        versions = {n.snapshots.table.version for n in fleet.routers.values()}
        assert versions == {version}
    assert len(fleet.fetched) >= 10 * EACH
    assert fleet.between_zones() <= 10 * 4


async def test_snapshot_of_another_zone_is_fetched_if_no_neighbour_has_it(
    fleet, autojump_clock
):
    for node in fleet.routers.values():
        if node.peers.zone == ZONES[0]:
            node.source.error = errors.KeyValueUnavailable('cut')
    fleet.put(fakes.snapshot(2, fakes.table(2)))
    await trio.sleep(4.0)
    versions = {n.snapshots.table.version for n in fleet.routers.values()}
    assert versions == {2}
    assert 1 <= fleet.between_zones() <= 4
