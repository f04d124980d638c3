"""A store that comes back from an older copy, with real processes."""

from __future__ import annotations

import pytest

from tests import platform_standins as standins
from tests.integration import forwarding_fleet

REQUESTS = 30


@pytest.fixture
async def fleet(tmp_path, nursery):
    subject = forwarding_fleet.ForwardingFleet(tmp_path)
    subject.store.era = 1
    try:
        await subject.start(nursery)
        yield subject
    finally:
        await subject.end()


async def statuses(fleet, key=standins.KEY):
    """Returns the statuses of requests to all routers."""
    return {
        (
            await forwarding_fleet.ask(
                fleet.routers[number % 3], f'/chat/{number}', number, key=key
            )
        ).status_code
        for number in range(REQUESTS)
    }


async def test_leaving_upstream_gets_nothing_although_its_revision_is_old(
    fleet,
):
    """Guards against an entry that passes for the one with its revision."""
    worker = fleet.workers['i-e1']
    copy = fleet.store.revision
    fleet.store.put('servers/i-e1', worker.entry())
    assert await statuses(fleet) == {200}

    async def used():
        return await statuses(fleet) == {200} and worker.ran

    await fleet.until(used)
    fleet.store.go_back(copy)
    fleet.store.put('servers/i-e1', worker.entry('draining'))

    async def unused():
        before = len(worker.ran)
        return await statuses(fleet) == {200} and len(worker.ran) == before

    await fleet.until(unused)
    before = len(worker.ran)
    assert await statuses(fleet) == {200}
    assert len(worker.ran) == before


async def test_revoked_key_stays_so_although_a_copy_has_it(fleet):
    """Guards against a version that is out of force again, after starts too."""
    copy = fleet.store.revision
    tenants = [{'name': 'corte', 'apiKeys': ['other'], 'priority': 1}]
    fleet.store.put('op/config', standins.configuration(2, tenants=tenants))

    async def revoked():
        return await statuses(fleet) == {401}

    await fleet.until(revoked)
    fleet.store.go_back(copy)
    fleet.store.put('servers/i-e2', fleet.workers['i-e2'].entry('draining'))

    async def came_back():
        return all(
            'store_came_back' in router.process.log.read_text()
            for router in fleet.routers
        )

    await fleet.until(came_back)
    assert await statuses(fleet) == {401}
    assert await statuses(fleet, 'other') == {200}
    started = fleet.routers[0]
    await started.process.kill()
    await started.process.start()
    await fleet.until(started.ready)
    assert await statuses(fleet) == {401}
    assert await statuses(fleet, 'other') == {200}
