"""The bound on engines while routers disagree on who owns them."""

from __future__ import annotations

import pytest
import trio

from lavenderbend.coordination import placement
from lavenderbend.coordination.admission import live_routers
from lavenderbend.protocol import messages_decisions as messages
from tests import disagreeing_fleet
from tests import fakes
from tests.integration import checkers

Cuts = disagreeing_fleet.Cuts
Troubles = disagreeing_fleet.Troubles
TROUBLES = {
    'cut-from-some': Troubles(Cuts.SOME),
    'cut-from-all': Troubles(Cuts.ALL),
    'cut-and-stalled': Troubles(Cuts.ALL, stalls=True),
}
CHATS = 24
# one for the disagreement, one for messages on the way
SLACK = 2
LONG_SECONDS = 20.0
RUNNING = 8
ENDED = 6
ALONE_SECONDS = 3.0


@pytest.fixture
async def fleet(nursery, autojump_clock):
    return await disagreeing_fleet.make_fleet(nursery, seed=1)


def bound_of(running):
    """Returns the bound by what runs on the engines in truth."""
    return placement.allowed_load(
        disagreeing_fleet.POOL, sum(running.values()), len(running)
    )


def swamped(fleet):
    """Returns permits that were granted above the bound."""
    pool = disagreeing_fleet.POOL
    return checkers.bounded_load(
        fleet.held, fleet.engines, pool.bound, pool.floor, SLACK
    )


async def fill(fleet, nursery, names, count, first=0):
    """Has requests begin that last long, through some routers in turn."""
    for number in range(first, first + count):
        name = names[number % len(names)]
        nursery.start_soon(fleet.serve, name, number, LONG_SECONDS)
        await trio.sleep(0.02)


@pytest.mark.parametrize('seed', [73, 102, 110, 111])
@pytest.mark.parametrize('troubles', TROUBLES.values(), ids=list(TROUBLES))
async def test_no_engine_is_swamped_while_routers_are_cut_one_way(
    nursery, autojump_clock, seed, troubles
):
    # routers that are cut one way disagree on who owns the engines
    fleet = await disagreeing_fleet.make_fleet(nursery, seed)
    await fleet.play(CHATS, troubles)

    assert len(fleet.held) > 10 * CHATS
    assert swamped(fleet) == []


@pytest.mark.parametrize(
    ('seed', 'troubles'), [(2, 'cut-from-all'), (3, 'cut-and-stalled')]
)
async def test_no_engine_of_a_larger_pool_is_swamped(
    nursery, autojump_clock, seed, troubles
):
    # eight routers are cut off in turn, and up to four of them own the engines
    fleet = await disagreeing_fleet.make_fleet(nursery, seed, 8, 9)
    await fleet.play(2 * CHATS, TROUBLES[troubles])

    assert swamped(fleet) == []


async def test_grants_that_never_arrive_do_not_raise_the_bound(
    fleet, nursery, autojump_clock
):
    # answers to one router are lost: what it was granted loads no engine
    owner = fleet.owner()
    deaf, *others = [name for name in fleet.names if name != owner]
    await fill(fleet, nursery, others, RUNNING)
    fleet.network.cut.add((owner, deaf))
    await fill(fleet, nursery, [deaf], 15, first=100)
    await trio.sleep(0.1)
    await fill(fleet, nursery, [deaf], 1, first=200)

    assert sum(fleet.running.values()) == RUNNING
    assert len(fleet.loads_at(owner).table.permits) >= RUNNING + 3
    assert fleet.allowed_at(owner) <= bound_of(fleet.running)


@pytest.fixture
async def ended(fleet, nursery):
    """A router whose requests end soon, beside some of the owner's own."""
    owner = fleet.owner()
    one = next(name for name in fleet.names if name != owner)
    for number in range(40):
        nursery.start_soon(fleet.serve, one, number, 0.1)
        await trio.sleep(0.02)
    await trio.sleep(0.5)
    await fill(fleet, nursery, [owner], RUNNING, first=200)
    for number in range(100, 100 + ENDED):
        nursery.start_soon(fleet.serve, one, number, 0.2)
        await trio.sleep(0.01)
    return one


async def test_releases_that_never_arrive_do_not_raise_the_bound(
    fleet, ended, autojump_clock
):
    # what one router says is lost: its requests end, its permits stay
    owner = fleet.owner()
    fleet.network.cut.add((ended, owner))
    await trio.sleep(0.3)

    assert sum(fleet.running.values()) == RUNNING
    assert len(fleet.loads_at(owner).table.permits) >= RUNNING + 3
    assert fleet.allowed_at(owner) <= bound_of(fleet.running)


async def test_permits_of_another_owner_do_not_raise_the_bound(
    fleet, ended, autojump_clock
):
    # a router that asks another owner does not tell this one of any end
    owner = fleet.owner()
    loads = fleet.loads_at(owner)
    hand_over(fleet.admissions[ended], ended)
    await trio.sleep(0.3)

    assert sum(fleet.running.values()) == RUNNING
    assert len(loads.table.permits) >= RUNNING + 3
    assert fleet.allowed_at(owner) <= bound_of(fleet.running)


def hand_over(admission, name):
    """Has a router take itself for the owner."""
    (group,) = admission.owners
    before = admission.owners[group]
    admission.owners[group] = name
    admission.tell(before, messages.PermitMoved(group.pool, group.index))
    admission.register(group, name, list(admission.held.values()))


@pytest.mark.parametrize('how', ['silent', 'moved'])
async def test_engine_that_reports_less_has_room_again(
    fleet, ended, how, autojump_clock
):
    # permits that load nothing and are never given back kept engines full
    owner = fleet.owner()
    if how == 'silent':
        fleet.network.cut.add((ended, owner))
    else:
        hand_over(fleet.admissions[ended], ended)
    await trio.sleep(1.5)

    table = fleet.loads_at(owner).table
    loads = {name: table.load(name) for name in fleet.engines}
    assert loads == fleet.running


async def test_router_that_sees_nobody_else_takes_its_part_only(
    nursery, autojump_clock
):
    # each of four routers that see nobody else is the only owner
    fleet = fakes.Fleet(nursery, routers=4, engines=4)
    await trio.sleep(1)
    fleet.report({vm.id: 0 for vm in fleet.vms})
    for name in fleet.names:
        fleet.views[name].set_routers([name])
    await trio.sleep(0.1)
    fleet.report({vm.id: 0 for vm in fleet.vms})
    full, *others = [vm.id for vm in fleet.vms]

    async def ask(number):
        entry = fleet.admissions[fleet.names[number % 4]]
        with trio.move_on_after(ALONE_SECONDS):
            await entry.acquire(fleet.ask(number, avoid=tuple(others)))

    async with trio.open_nursery() as asking:
        for number in range(20):
            asking.start_soon(ask, number)

    load = fleet.loads()[full]
    allowed = placement.allowed_load(fleet.pool, load, 4)
    assert 0 < load <= allowed + len(fleet.names) - 1


async def test_router_lost_for_long_has_no_part(nursery, autojump_clock):
    fleet = fakes.Fleet(nursery, routers=3, engines=2)
    view = fleet.views[fleet.names[0]]
    routers = live_routers.LiveRouters(view)
    assert routers.names() == fleet.names
    view.set_routers(fleet.names[:2])
    await trio.sleep(live_routers.LOST_SECONDS - 1)
    assert routers.names() == fleet.names
    await trio.sleep(2)
    assert routers.names() == fleet.names[:2]


async def test_parts_of_routers_that_see_nobody_else_add_up(
    nursery, autojump_clock
):
    # no owner answers, and each router would take the whole half for its part
    fleet = fakes.Fleet(nursery, routers=4, engines=2)
    await trio.sleep(1)
    fleet.report({vm.id: 4 for vm in fleet.vms})
    for name in fleet.names:
        fleet.views[name].set_routers([name])
    locals_ = [fleet.admissions[name].local for name in fleet.names]

    assert sum(local.share('engine-0', 8) for local in locals_) == 4


@pytest.mark.parametrize('service', [0.0, 1.0])
async def test_old_reports_of_others_load_do_not_raise_a_new_owners_bound(
    nursery, autojump_clock, service
):
    # the owner dies, what it had granted ends, and reports from before stay
    fleet = fakes.Fleet(nursery, routers=4, engines=5)
    await trio.sleep(1)
    fleet.report({vm.id: 12 for vm in fleet.vms})
    await trio.sleep(4)
    lost = fleet.owner()
    fleet.network.dead.add(lost)
    rest = [name for name in fleet.names if name != lost]
    for name in rest:
        fleet.views[name].set_routers(rest)
    await trio.sleep(1)
    fleet.names = rest
    entry = fleet.admissions[fleet.owner()]
    entry.release(await entry.acquire(fleet.ask(1)), 'complete')
    await trio.sleep(0.1)
    (group,) = entry.owner.owned.values()
    group.loads.rates.service = service
    candidates = [
        placement.Candidate(vm.id, '', group.loads.load(vm.id, 0.25))
        for vm in group.loads.upstreams()
    ]

    assert [one.load for one in candidates] == [12] * 5
    assert group.loads.allowed(candidates) == fleet.pool.floor
