from __future__ import annotations

import trio

from bench.decisions import views
from lavenderbend.coordination.admission import groups
from tests import fakes


def pollers(fleet: fakes.Fleet, engine: str) -> list[str]:
    vm = views.engine_vm(engine)
    return [
        name for name in fleet.names if fleet.admissions[name].wants_report(vm)
    ]


async def test_owner_polls_every_engine_of_its_group(nursery, autojump_clock):
    # a planner's route waits on loaded engines while others stand idle:
    # engines were polled by routers chosen for each engine, the owner of
    # the group lacked the reports of some, and never gave them work
    fleet = fakes.Fleet(nursery, engines=9)
    group = groups.group_id(fleet.pool, 0)
    first, second = groups.first_owners(group, fleet.names)

    for number in range(9):
        assert sorted(pollers(fleet, f'engine-{number}')) == sorted(
            [first, second]
        )


async def test_entry_polls_while_it_must_admit_alone(nursery, autojump_clock):
    # the owner cannot be reached and an entry admits by its share of the
    # headroom in the last report: without reports it has no share
    fleet = fakes.Fleet(nursery, engines=2)
    group = groups.group_id(fleet.pool, 0)
    order = groups.first_owners(group, fleet.names)
    entry = next(name for name in fleet.names if name not in order)

    fleet.admissions[entry].suspect(order[0])

    assert entry in pollers(fleet, 'engine-0')


async def test_first_reports_do_not_draw_all_load(nursery, autojump_clock):
    # a router becomes the owner and has the report of one engine a moment
    # before those of the others: a mean over that engine alone let it take
    # everything, and a planner's route waited there while others were idle
    fleet = fakes.Fleet(nursery, engines=5)
    fleet.report({'engine-0': 0})
    granted = []

    async def acquire(number: int) -> None:
        entry = fleet.admissions[fleet.names[number % 3]]
        granted.append(await entry.acquire(fleet.ask(number)))

    with trio.move_on_after(0.5):
        async with trio.open_nursery() as asking:
            for number in range(10):
                asking.start_soon(acquire, number)
    assert len(granted) <= fleet.pool.floor

    fleet.report(fleet.loads())
    # those that gave up above were still waiting at the owner
    await trio.sleep(0.5)
    fleet.report(fleet.loads())
    async with trio.open_nursery() as asking:
        for number in range(10, 16):
            asking.start_soon(acquire, number)
    assert max(fleet.loads().values()) <= fleet.pool.floor
