"""Routers that are cut off from all upstreams, and those that are not."""

from __future__ import annotations

import pytest

from lavenderbend.coordination.forwarding.warm_up import zone_records
from tests import partitioned_fleet
from tests import platform_standins as standins
from tests.integration import partition_soak
from tests.partitioned_fleet import Cut
from tests.partitioned_fleet import PATHS

ROUTERS = 4
# the time after which callers of routers that are cut off must be served
CONTACT_SECONDS = 3.0
LOAD_SECONDS = 3.0
REQUESTS_PER_SECOND = 12.0
# of the share that other routers serve
MIN_FRACTION = 2 / 3


@pytest.fixture
async def fleet(tmp_path, monkeypatch, nursery):
    subject = partitioned_fleet.PartitionedFleet(tmp_path, monkeypatch, ROUTERS)
    await subject.start(nursery)
    return subject


@pytest.mark.parametrize('count', [1, ROUTERS - 1])
@pytest.mark.parametrize('cut', list(Cut), ids=lambda cut: cut.name.lower())
async def test_callers_of_routers_cut_off_from_upstreams_are_served(
    fleet, cut, count
):
    # Guards against a router that has no way to upstreams but its own.
    hosts = list(fleet.daemons)
    await fleet.load(1.0, REQUESTS_PER_SECOND)
    for host in hosts[:count]:
        fleet.paths.cut(host, cut)
    await fleet.load(CONTACT_SECONDS, REQUESTS_PER_SECOND / 4)
    fleet.tries.clear()
    await fleet.load(LOAD_SECONDS, REQUESTS_PER_SECOND)
    served = {
        kind: (
            fleet.served(hosts[:count], kind),
            fleet.served(hosts[count:], kind),
        )
        for kind in PATHS
    }
    assert all(
        of_cut >= MIN_FRACTION * of_others > 0.0
        for of_cut, of_others in served.values()
    ), served
    assert fleet.ran_twice() == []


async def test_routers_record_that_their_zone_has_routers(fleet, monkeypatch):
    # Guards against daemons that read records and never write them.
    monkeypatch.setattr(zone_records, 'CONFIRM_SECONDS', 0.0)
    configuration = standins.configuration(2)
    for service in configuration['services']:
        service.update(coldS=3, warmupPerS=10)
    fleet.store.put('op/config', configuration)

    async def confirmed():
        return all(
            one.cold_starts.presence('sala-a')
            is zone_records.Presence.CONFIRMED
            for one in fleet.daemons.values()
        )

    await fleet.until(confirmed)


@pytest.mark.parametrize('seed', [1, 2])
async def test_short_soak_of_cut_paths_breaks_no_promise(
    tmp_path, monkeypatch, seed
):
    world = await partition_soak.soak(tmp_path, monkeypatch, seed, 10.0)
    assert world.violations == []
    assert any(one.status == 200 for one in world.tries)
