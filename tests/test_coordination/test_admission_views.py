"""The bound on engine load while routers disagree on the owner."""

from __future__ import annotations

import pytest
import trio

from lavenderbend.coordination import placement
from lavenderbend.coordination.admission import entry_tracker
from lavenderbend.coordination.admission import live_routers
from lavenderbend.protocol import messages_decisions as messages
from lavenderbend.state import configuration
from lavenderbend.state import permits
from tests import disagreeing_fleet
from tests import fakes
from tests.integration import checkers

Cuts = disagreeing_fleet.Cuts
Faults = disagreeing_fleet.Faults
FAULTS = {
    'cut-from-some': Faults(Cuts.SOME),
    'cut-from-all': Faults(Cuts.ALL),
    'cut-and-stalled': Faults(Cuts.ALL, stalls=True),
}
CHATS = 24
# one request for the second owner, one for messages in transit
SLACK = 2
LONG_SERVICE_SECONDS = 20.0
RUNNING = 8
ENDED = 6
ACQUIRE_SECONDS = 3.0
SHARED_CHAT = 0x123456789ABCDEF0
ENGINES = 10
EACH = 4  # requests on each engine but the one that is filled
QUIET_SECONDS = 20.0
SETTLE_SECONDS = 0.1
HELD_SECONDS = 2.0  # much longer than the age of reports
NO_HEADROOM_SECONDS = 2.0
UNUSED = 'RequestQuarantined'  # result that does not count in rates


@pytest.fixture
async def fleet(nursery, autojump_clock):
    return await disagreeing_fleet.make_fleet(nursery, seed=1)


def actual_bound(running):
    """Returns the bound computed from the requests that really run."""
    return placement.allowed_load(
        disagreeing_fleet.POOL, sum(running.values()), len(running)
    )


def permits_above_bound(fleet):
    """Returns the permits that were granted above the bound."""
    pool = disagreeing_fleet.POOL
    return checkers.bounded_load(
        fleet.held, fleet.engines, pool.bound, pool.floor, SLACK
    )


async def fill(fleet, nursery, names, count, first=0):
    """Starts long requests through some routers in turn."""
    for number in range(first, first + count):
        name = names[number % len(names)]
        nursery.start_soon(fleet.serve, name, number, LONG_SERVICE_SECONDS)
        await trio.sleep(0.02)


@pytest.mark.parametrize('seed', [73, 102, 110, 111])
@pytest.mark.parametrize('faults', FAULTS.values(), ids=list(FAULTS))
async def test_no_engine_is_swamped_while_routers_are_cut_one_way(
    nursery, autojump_clock, seed, faults
):
    # Guards against overload while routers disagree on the owner, because
    # messages between them are lost in one direction.
    fleet = await disagreeing_fleet.make_fleet(nursery, seed)
    await fleet.run_load(CHATS, faults)

    assert len(fleet.held) > 10 * CHATS
    assert permits_above_bound(fleet) == []


@pytest.mark.parametrize(
    ('seed', 'faults'), [(2, 'cut-from-all'), (3, 'cut-and-stalled')]
)
async def test_no_engine_of_a_larger_pool_exceeds_the_bound(
    nursery, autojump_clock, seed, faults
):
    # Eight routers are cut off in turn: up to four of them act as the owner
    # at the same time.
    fleet = await disagreeing_fleet.make_fleet(nursery, seed, 8, 9)
    await fleet.run_load(2 * CHATS, FAULTS[faults])

    assert permits_above_bound(fleet) == []


async def test_lost_grants_do_not_raise_the_bound(
    fleet, nursery, autojump_clock
):
    # The owner's answers to one router are lost: the permits granted to it
    # load no engine, but counted in the mean they would raise the bound.
    owner = fleet.owner()
    cut_off, *others = [name for name in fleet.names if name != owner]
    await fill(fleet, nursery, others, RUNNING)
    fleet.network.cut.add((owner, cut_off))
    await fill(fleet, nursery, [cut_off], 15, first=100)
    await trio.sleep(0.1)
    await fill(fleet, nursery, [cut_off], 1, first=200)

    assert sum(fleet.running.values()) == RUNNING
    assert len(fleet.loads_at(owner).table.permits) >= RUNNING + 3
    assert fleet.allowed_at(owner) <= actual_bound(fleet.running)


@pytest.fixture
async def short_entry(fleet, nursery):
    """An entry router with short requests; the owner runs some of its own."""
    owner = fleet.owner()
    entry = next(name for name in fleet.names if name != owner)
    for number in range(40):
        nursery.start_soon(fleet.serve, entry, number, 0.1)
        await trio.sleep(0.02)
    await trio.sleep(0.5)
    await fill(fleet, nursery, [owner], RUNNING, first=200)
    for number in range(100, 100 + ENDED):
        nursery.start_soon(fleet.serve, entry, number, 0.2)
        await trio.sleep(0.01)
    return entry


async def test_lost_releases_do_not_raise_the_bound(
    fleet, short_entry, autojump_clock
):
    # The messages of one router to the owner are lost: its requests end but
    # its permits stay in the owner's table.
    owner = fleet.owner()
    fleet.network.cut.add((short_entry, owner))
    await trio.sleep(0.3)

    assert sum(fleet.running.values()) == RUNNING
    assert len(fleet.loads_at(owner).table.permits) >= RUNNING + 3
    assert fleet.allowed_at(owner) <= actual_bound(fleet.running)


async def test_permits_of_another_owner_do_not_raise_the_bound(
    fleet, short_entry, autojump_clock
):
    # A router that uses another owner sends its releases there: its permits
    # stay in this owner's table.
    owner = fleet.owner()
    loads = fleet.loads_at(owner)
    take_ownership(fleet.admissions[short_entry], short_entry)
    await trio.sleep(0.3)

    assert sum(fleet.running.values()) == RUNNING
    assert len(loads.table.permits) >= RUNNING + 3
    assert fleet.allowed_at(owner) <= actual_bound(fleet.running)


def take_ownership(admission, name):
    """Makes a router regard itself as the owner."""
    (group,) = admission.owners
    before = admission.owners[group]
    admission.owners[group] = name
    admission.send_notice(
        before, messages.PermitOwnerChanged(group.pool, group.index)
    )
    admission.register(group, name, list(admission.held.values()))


@pytest.mark.parametrize('how', ['silent', 'moved'])
async def test_lower_load_report_frees_unused_permits(
    fleet, short_entry, how, autojump_clock
):
    # Permits that are not in use but whose releases never arrive must not
    # keep engines full once load reports show that nothing runs.
    owner = fleet.owner()
    if how == 'silent':
        fleet.network.cut.add((short_entry, owner))
    else:
        take_ownership(fleet.admissions[short_entry], short_entry)
    await trio.sleep(1.5)

    table = fleet.loads_at(owner).table
    loads = {name: table.load(name) for name in fleet.engines}
    assert loads == fleet.running


async def test_permits_of_a_router_that_moved_are_handed_over(
    nursery, autojump_clock
):
    # Permits of a router that uses another owner by now must not use up the
    # former owner's share of the bound.
    fleet = fakes.Fleet(nursery, routers=4, engines=5)
    owner = fleet.owner()
    rest = [name for name in fleet.names if name != owner]
    entry = fleet.admissions[rest[0]]
    for number in range(10):
        await entry.acquire(fleet.permit_request(number))
    fleet.views[entry.name].set_routers(rest)
    await trio.sleep(1)
    fleet.report(fleet.loads())
    await trio.sleep(0.2)

    (group,) = fleet.admissions[owner].owner.owned.values()
    loads = {vm.id: group.table.load(vm.id) for vm in fleet.vms}
    assert loads == fleet.loads()
    assert entry.name not in group.table.numbers
    assert group.shares.live.total() == 0


async def test_isolated_routers_use_only_their_share(nursery, autojump_clock):
    # Each of four routers regards all others as dead and itself as the only
    # owner: each must use only its share of the headroom.
    fleet = fakes.Fleet(nursery, routers=4, engines=4)
    await trio.sleep(1)
    fleet.report({vm.id: 0 for vm in fleet.vms})
    for name in fleet.names:
        fleet.views[name].set_routers([name])
    await trio.sleep(0.1)
    fleet.report({vm.id: 0 for vm in fleet.vms})
    target, *others = [vm.id for vm in fleet.vms]

    async def acquire(number):
        entry = fleet.admissions[fleet.names[number % 4]]
        with trio.move_on_after(ACQUIRE_SECONDS):
            await entry.acquire(
                fleet.permit_request(number, avoid=tuple(others))
            )

    async with trio.open_nursery() as requests:
        for number in range(20):
            requests.start_soon(acquire, number)

    load = fleet.loads()[target]
    allowed = placement.allowed_load(fleet.pool, load, 4)
    assert 0 < load <= allowed + len(fleet.names) - 1


async def test_router_lost_for_long_has_no_share(nursery, autojump_clock):
    fleet = fakes.Fleet(nursery, routers=3, engines=2)
    view = fleet.views[fleet.names[0]]
    routers = live_routers.LiveRouters(view)
    assert routers.names() == fleet.names
    view.set_routers(fleet.names[:2])
    await trio.sleep(live_routers.LOST_SECONDS - 1)
    assert routers.names() == fleet.names
    await trio.sleep(2)
    assert routers.names() == fleet.names[:2]


async def test_silent_router_does_not_use_an_owner(nursery, autojump_clock):
    # Guards against routers that count as heard while the clock is young.
    fleet = fakes.Fleet(nursery, routers=3, engines=2)
    view = fleet.views[fleet.names[0]]
    routers = live_routers.LiveRouters(view)
    tracker = entry_tracker.EntryTracker(view, routers, timeout=5.0)
    assert tracker.share() == 0.0
    tracker.note_contact(fleet.names[1])
    assert tracker.share() == pytest.approx(1 / 3)


async def test_degraded_shares_of_isolated_routers_add_up(
    nursery, autojump_clock
):
    # No owner answers and each router regards all others as dead: each would
    # use the whole shared half of the headroom.
    fleet = fakes.Fleet(nursery, routers=4, engines=2)
    await trio.sleep(1)
    fleet.report({vm.id: 4 for vm in fleet.vms})
    for name in fleet.names:
        fleet.views[name].set_routers([name])
    locals_ = [fleet.admissions[name].local for name in fleet.names]

    assert sum(local.share('engine-0', 8) for local in locals_) == 4


@pytest.mark.parametrize('service', [0.0, 1.0])
async def test_old_reports_do_not_raise_the_bound_of_a_new_owner(
    nursery, autojump_clock, service
):
    # The owner dies and the requests it admitted end, but load reports from
    # before still count them.
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
    entry.release(await entry.acquire(fleet.permit_request(1)), 'complete')
    await trio.sleep(0.1)
    (group,) = entry.owner.owned.values()
    group.loads.rates.service_seconds = service
    candidates = [
        placement.Candidate(vm.id, '', group.loads.load(vm.id, 0.25))
        for vm in group.loads.upstreams()
    ]

    assert [candidate.load for candidate in candidates] == [12] * 5
    assert group.loads.allowed(candidates) == fleet.pool.floor


async def make_idle_fleet(nursery, routers, engines=ENGINES):
    """Returns a fleet that is older than all timeouts of admission."""
    pool = disagreeing_fleet.POOL
    fleet = fakes.Fleet(nursery, routers, engines, pool)
    await trio.sleep(QUIET_SECONDS)
    return fleet


async def make_loaded_fleet(nursery, routers):
    """Returns a fleet with permits of all routers on all engines but one."""
    fleet = await make_idle_fleet(nursery, routers)
    for view in fleet.views.values():
        view.wake()
    await trio.sleep(SETTLE_SECONDS)
    fleet.report(fleet.loads())
    for turn in range(EACH):
        for index, vm in enumerate(fleet.vms[1:]):
            name = fleet.names[(index + turn) % routers]
            await acquire_on(fleet, name, vm.id, turn * ENGINES + index)
    return fleet


async def acquire_on(fleet, name, engine, number, **changes):
    """Acquires a permit on a certain engine through a router."""
    avoid = tuple(vm.id for vm in fleet.vms if vm.id != engine)
    request = fleet.permit_request(number, avoid=avoid, **changes)
    return await fleet.admissions[name].acquire(request)


async def fill_engine(fleet, name, engine):
    """Acquires permits of one chat while its engine has headroom."""
    held = []
    entry = fleet.admissions[name]
    with trio.move_on_after(NO_HEADROOM_SECONDS):
        held = [await acquire_on(fleet, name, engine, 500, chat=SHARED_CHAT)]
    while held:
        request = fleet.permit_request(501, chat=SHARED_CHAT)
        with trio.move_on_after(NO_HEADROOM_SECONDS) as scope:
            permit = await entry.acquire(request)
        if scope.cancelled_caught:
            break
        if permit.upstream.id != engine:
            entry.release(permit, UNUSED)
            break
        held.append(permit)
    return held


def release_all(fleet, name, held):
    """Releases permits of a router."""
    for permit in held:
        fleet.admissions[name].release(permit, 'complete')


def split(fleet, sizes):
    """Splits the routers into sides that regard each other as dead."""
    names = [fleet.owner()]
    names += [name for name in fleet.names if name not in names]
    sides = []
    for size in sizes:
        sides.append(names[:size])
        names = names[size:]
        board = fakes.ReportBoard()
        board.reports.update(fleet.board.reports)
        for name in sides[-1]:
            fleet.views[name].board = board
            fleet.views[name].set_routers(sides[-1])
    return sides


def report_to(fleet, names):
    """Publishes reports of the present loads to some routers only."""
    taken = fakes.ReportBoard()
    everywhere, fleet.board = fleet.board, taken
    fleet.report(fleet.loads())
    fleet.board = everywhere
    for name in names:
        fleet.views[name].board.reports.update(taken.reports)


def highest_load(fleet, owners):
    """Returns the bound by all permits, and one for each further owner."""
    loads = fleet.loads()
    mean_without_last = sum(loads.values()) - 1
    bound = placement.allowed_load(fleet.pool, mean_without_last, len(loads))
    return bound + owners - 1


@pytest.mark.parametrize('routers', [2, 3, 4])
async def test_isolated_routers_share_headroom_after_quiet_seconds(
    nursery, autojump_clock, routers
):
    # Guards against routers that forget each other at once when they are cut
    # off after many seconds without any change of their views.
    fleet = await make_idle_fleet(nursery, routers, 4)
    sides = split(fleet, [1] * routers)
    await trio.sleep(SETTLE_SECONDS)
    engine = fleet.vms[0].id
    for side in sides:
        report_to(fleet, side)
    for (name,) in sides:
        await fill_engine(fleet, name, engine)

    assert 0 < fleet.loads()[engine] <= highest_load(fleet, routers)


async def test_degraded_shares_add_up_after_quiet_seconds(
    nursery, autojump_clock
):
    # Guards against routers without an owner that forget each other at once
    # when they are cut off after many seconds without a change.
    fleet = await make_idle_fleet(nursery, 4, 2)
    fleet.report({vm.id: 4 for vm in fleet.vms})
    split(fleet, [1, 1, 1, 1])
    await trio.sleep(SETTLE_SECONDS)
    locals_ = [fleet.admissions[name].local for name in fleet.names]

    assert sum(local.share('engine-0', 8) for local in locals_) == 4


@pytest.mark.parametrize('knows', ['own-report', 'predecessor-report'])
@pytest.mark.parametrize('sizes', [(2, 2), (3, 1)], ids=str)
async def test_permits_given_back_are_not_granted_by_two_owners(
    nursery, autojump_clock, sizes, knows
):
    # Guards against an owner that grants anew what another owner has already
    # counted as headroom by a later report.
    fleet = await make_loaded_fleet(nursery, sum(sizes))
    engine = fleet.vms[0].id
    last = [name for name in fleet.names if name != fleet.owner()][-1]
    held = await fill_engine(fleet, last, engine)
    await trio.sleep(HELD_SECONDS)
    fleet.report(fleet.loads())
    first, second = split(fleet, sizes)
    await trio.sleep(SETTLE_SECONDS)
    if knows == 'own-report':
        report_to(fleet, second)
    await trio.sleep(SETTLE_SECONDS)
    release_all(fleet, last, held)
    await trio.sleep(SETTLE_SECONDS)
    report_to(fleet, first)
    await fill_engine(fleet, first[0], engine)
    await fill_engine(fleet, second[0], engine)

    assert 0 < fleet.loads()[engine] <= highest_load(fleet, 2)


@pytest.mark.parametrize('sizes', [(1, 1), (2, 2)], ids=str)
async def test_releases_just_before_a_report_hide_no_other_owner(
    nursery, autojump_clock, sizes
):
    # Guards against permits released within the slack before a report that
    # are taken for the requests of another owner in it.
    fleet = await make_loaded_fleet(nursery, sum(sizes))
    engine = fleet.vms[0].id
    first_name = fleet.owner()
    last = [name for name in fleet.names if name != first_name][-1]
    held = []
    for number in range(3):
        held.append(await acquire_on(fleet, first_name, engine, 600 + number))
        await acquire_on(fleet, last, engine, 700 + number)
    await trio.sleep(HELD_SECONDS)
    sides = split(fleet, sizes)
    await trio.sleep(SETTLE_SECONDS)
    for side in sides:
        report_to(fleet, side)
    await trio.sleep(SETTLE_SECONDS)
    release_all(fleet, first_name, held)
    await trio.sleep(0.8 * permits.REPORT_SLACK_SECONDS)
    for side in sides:
        report_to(fleet, side)
    for side in sides:
        await fill_engine(fleet, side[0], engine)

    assert 3 < fleet.loads()[engine] <= highest_load(fleet, 2)


@pytest.mark.parametrize('routers', [2, 3, 4])
async def test_owner_that_all_others_left_unheard_uses_only_its_share(
    nursery, autojump_clock, routers
):
    # Guards against an owner that counts the routers which left it as its own
    # users, and their permits in its table as the load of the new owner.
    fleet = await make_loaded_fleet(nursery, routers)
    engine = fleet.vms[0].id
    before = fleet.owner()
    others = [name for name in fleet.names if name != before]
    for name in others:
        fleet.network.cut(before, name)
        fleet.views[name].set_routers(others)
    await trio.sleep(SETTLE_SECONDS)
    fleet.report(fleet.loads())
    await fill_engine(fleet, others[0], engine)
    await fill_engine(fleet, before, engine)

    assert 0 < fleet.loads()[engine] <= highest_load(fleet, 2)


@pytest.mark.parametrize('routers', [2, 3, 4])
async def test_isolated_routers_without_reports_use_only_their_share(
    nursery, autojump_clock, routers
):
    # Guards against owners that share the bound only on reported engines.
    fleet = await make_idle_fleet(nursery, routers, 4)
    split(fleet, [1] * routers)
    await trio.sleep(SETTLE_SECONDS)
    engine = fleet.vms[0].id
    for name in fleet.names:
        await fill_engine(fleet, name, engine)

    assert 0 < fleet.loads()[engine] <= highest_load(fleet, routers)


@pytest.mark.parametrize(
    'sizes', [(1, 1), (2, 2), (1, 1, 1)], ids=['1-1', '2-2', '1-1-1']
)
async def test_owner_with_a_newer_report_leaves_the_others_their_share(
    nursery, autojump_clock, sizes
):
    # Guards against an owner that takes the share of those which do not yet
    # know its load, because its own report shows no load but its own.
    pool = configuration.Pool('chat', 'model', bound=1.5, floor=8)
    fleet = fakes.Fleet(nursery, sum(sizes), 4, pool)
    await trio.sleep(QUIET_SECONDS)
    first, *others = split(fleet, sizes)
    await trio.sleep(SETTLE_SECONDS)
    for side in [first, *others]:
        report_to(fleet, side)
    engine, *rest = [vm.id for vm in fleet.vms]
    for number in range(8):
        await acquire_on(fleet, first[0], rest[number % 3], number)
    await trio.sleep(SETTLE_SECONDS)
    report_to(fleet, first)
    for side in [first, *others]:
        await fill_engine(fleet, side[0], engine)

    assert 0 < fleet.loads()[engine] <= highest_load(fleet, len(sizes))
