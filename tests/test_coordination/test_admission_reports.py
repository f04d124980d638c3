from __future__ import annotations

import trio

from bench.decisions import views
from lavenderbend.coordination.admission import groups
from tests import fakes


def routers_needing_reports(fleet: fakes.Fleet, engine: str) -> list[str]:
    vm = views.engine_vm(engine)
    return [
        name for name in fleet.names if fleet.admissions[name].needs_report(vm)
    ]


async def test_owner_polls_every_engine_of_its_group(nursery, autojump_clock):
    # If the routers that poll were chosen per engine, the owner of the group
    # lacked the reports of some engines and never assigned requests to them:
    # requests waited on loaded engines while others were idle.
    fleet = fakes.Fleet(nursery, engines=9)
    group = groups.group_id(fleet.pool, 0)
    first, second = groups.first_owners(group, fleet.names)

    for number in range(9):
        assert sorted(
            routers_needing_reports(fleet, f'engine-{number}')
        ) == sorted([first, second])


async def test_entry_router_polls_in_degraded_mode(nursery, autojump_clock):
    # The owner is unreachable and an entry router admits by its share of the
    # headroom in the last report: without reports it has no share.
    fleet = fakes.Fleet(nursery, engines=2)
    group = groups.group_id(fleet.pool, 0)
    order = groups.first_owners(group, fleet.names)
    entry = next(name for name in fleet.names if name not in order)

    fleet.admissions[entry].mark_unreachable(order[0])

    assert entry in routers_needing_reports(fleet, 'engine-0')


async def test_first_reports_do_not_attract_all_load(nursery, autojump_clock):
    # A new owner receives the report of one engine shortly before those of the
    # others. A mean over that engine alone let it take all requests, which
    # waited there while other engines were idle.
    fleet = fakes.Fleet(nursery, engines=5)
    fleet.report({'engine-0': 0})
    granted = []

    async def acquire(number: int) -> None:
        entry = fleet.admissions[fleet.names[number % 3]]
        granted.append(await entry.acquire(fleet.permit_request(number)))

    with trio.move_on_after(0.5):
        async with trio.open_nursery() as requests:
            for number in range(10):
                requests.start_soon(acquire, number)
    assert len(granted) <= fleet.pool.floor

    fleet.report(fleet.loads())
    # requests cancelled above may still be queued at the owner
    await trio.sleep(0.5)
    fleet.report(fleet.loads())
    async with trio.open_nursery() as requests:
        for number in range(10, 16):
            requests.start_soon(acquire, number)
    assert max(fleet.loads().values()) <= fleet.pool.floor
