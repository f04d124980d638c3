from __future__ import annotations

import pytest
import trio

from lavenderbend import errors
from lavenderbend.coordination import placement
from lavenderbend.coordination.admission import groups
from lavenderbend.state import configuration
from lavenderbend.state import requests
from tests import fakes


async def fill(fleet, count, start=0):
    """Acquires permits through all live routers in turn."""
    permits = []
    names = [name for name in fleet.names if name not in fleet.network.dead]
    for number in range(start, start + count):
        name = names[number % len(names)]
        permit = await fleet.admissions[name].acquire(
            fleet.permit_request(number)
        )
        permits.append((name, permit))
    return permits


def kill_router(fleet, name):
    """Ends a router; all others remove it from their view at once."""
    fleet.network.dead.add(name)
    rest = [other for other in fleet.names if other != name]
    for other in rest:
        fleet.views[other].set_routers(rest)


async def test_permits_are_registered_with_a_new_owner(nursery, autojump_clock):
    # The owner's VM dies while 30 permits are in use. A new owner that did not
    # know them would see idle engines and load them to twice the bound.
    fleet = fakes.Fleet(nursery, routers=4, engines=5)
    await fill(fleet, 30)
    await trio.sleep(1)
    lost = fleet.owner()
    lost_permits = len(fleet.admissions[lost].held)
    kill_router(fleet, lost)
    await trio.sleep(1)
    owner = fleet.owner()

    group = next(iter(fleet.admissions[owner].owner.owned.values()))

    assert owner != lost
    assert len(group.table.permits) == 30 - lost_permits


async def test_queued_request_moves_to_a_new_owner_at_once(
    nursery, autojump_clock
):
    # A request must not stay queued at an owner that its router no longer
    # uses, while the new owner has room.
    pool = configuration.Pool('chat', 'model', max_load=4)
    fleet = fakes.Fleet(nursery, routers=3, engines=2, pool=pool)
    owner = fleet.owner()
    rest = [name for name in fleet.names if name != owner]
    for name in rest:
        fleet.views[name].set_routers(rest)
    await trio.sleep(0.1)
    entry = fleet.admissions[rest[0]]
    (former,) = entry.owners.values()
    held = [
        await entry.acquire(instant_request(fleet, number))
        for number in range(2 * pool.max_load)
    ]
    granted = []

    async def acquire():
        granted.append(await entry.acquire(instant_request(fleet, 100)))

    nursery.start_soon(acquire)
    await trio.sleep(0.5)
    for name in rest:
        fleet.views[name].set_routers(fleet.names)
    await trio.sleep(0.1)
    entry.release(held[0], 'complete')
    await trio.sleep(0.5)

    assert former != owner
    assert [permit.owner for permit in granted] == [owner]


def instant_request(fleet, number):
    return fleet.permit_request(number, priority=requests.Priority.INSTANT)


async def test_chats_keep_their_places_when_the_owner_is_lost(
    nursery, autojump_clock
):
    # The owner dies and its table of places is lost. Without the standby's
    # replica every returning chat's context would be recomputed elsewhere.
    fleet = fakes.Fleet(nursery, routers=4, engines=5)
    before = {}
    for number in range(1, 41):
        entry = fleet.admissions[fleet.names[number % 4]]
        permit = await entry.acquire(fleet.permit_request(number))
        before[number] = permit.upstream.id
        entry.release(permit, 'complete')
    await trio.sleep(3)
    kill_router(fleet, fleet.owner())
    await trio.sleep(1)
    entry = fleet.admissions[fleet.owner()]
    same = 0
    for number in range(1, 41):
        permit = await entry.acquire(fleet.permit_request(number))
        same += permit.upstream.id == before[number]
        entry.release(permit, 'complete')

    assert same == 40


async def test_places_lost_in_transit_to_the_standby_are_sent_again(
    nursery, autojump_clock
):
    # The connection of an owner to its standby is down for three seconds
    # while chats get their places. If places counted as replicated when they
    # were queued, they were never sent again: after the owner's death the
    # contexts of these chats were recomputed elsewhere.
    fleet = fakes.Fleet(nursery, routers=4, engines=5)
    owner = fleet.owner()
    group = fleet.admissions[owner].directory.groups()[0]
    standby = groups.standby(group, fleet.names, owner)
    entries = [name for name in fleet.names if name != standby]
    fleet.network.cut(owner, standby)
    before = {}
    for number in range(1, 41):
        entry = fleet.admissions[entries[number % len(entries)]]
        permit = await entry.acquire(fleet.permit_request(number))
        before[number] = permit.upstream.id
        entry.release(permit, 'complete')
    await trio.sleep(3)
    fleet.network.mend(owner, standby)
    await trio.sleep(5)
    kill_router(fleet, owner)
    await trio.sleep(1)
    assert fleet.owner() == standby
    entry = fleet.admissions[standby]
    same = 0
    for number in range(1, 41):
        permit = await entry.acquire(fleet.permit_request(number))
        same += permit.upstream.id == before[number]
        entry.release(permit, 'complete')

    assert same == 40


async def test_lost_release_does_not_leak_load(nursery, autojump_clock):
    # The connection to the owner breaks while a release is in transit: the
    # engine would appear loaded for ever.
    fleet = fakes.Fleet(nursery, routers=3, engines=2)
    owner = fleet.owner()
    entry = next(name for name in fleet.names if name != owner)
    permit = await fleet.admissions[entry].acquire(fleet.permit_request(1))
    fleet.network.cut(owner, entry)
    fleet.admissions[entry].release(permit, 'complete')
    await trio.sleep(0.5)
    fleet.network.mend(owner, entry)
    await trio.sleep(15)

    group = next(iter(fleet.admissions[owner].owner.owned.values()))

    assert not group.table.permits


async def test_permits_of_a_dead_entry_router_are_freed(
    nursery, autojump_clock
):
    fleet = fakes.Fleet(nursery, routers=3, engines=2)
    await fill(fleet, 6)
    owner = fleet.owner()
    entry = next(name for name in fleet.names if name != owner)
    kill_router(fleet, entry)
    await trio.sleep(1)

    group = next(iter(fleet.admissions[owner].owner.owned.values()))

    assert len(group.table.permits) == 4


async def test_two_owners_share_the_headroom_between_reports(
    nursery, autojump_clock
):
    # Half of the routers regard the owner as dead for five seconds and use the
    # next one. Each of the two owners sees the other's permits only in reports
    # that are a second old. If both filled the same headroom, engines would be
    # at nearly twice the bound.
    fleet = fakes.Fleet(nursery, routers=6, engines=4)
    await fill(fleet, 40)
    fleet.report(fleet.loads())
    await trio.sleep(1)
    owner = fleet.owner()
    others = [name for name in fleet.names if name != owner]
    for name in others[:3]:
        fleet.views[name].set_routers(others)
    await trio.sleep(0.1)
    excess = []

    async def acquire(number):
        entry = fleet.admissions[fleet.names[number % 6]]
        with trio.move_on_after(4):
            await entry.acquire(fleet.permit_request(number))
            loads = fleet.loads()
            allowed = placement.allowed_load(
                fleet.pool, sum(loads.values()) - 1, 4
            )
            excess.append(max(loads.values()) - allowed)

    async with trio.open_nursery() as requests:
        for number in range(100, 130):
            requests.start_soon(acquire, number)

    assert excess
    assert max(excess) <= 1


async def test_entry_router_rejects_a_grant_on_a_leaving_upstream(
    nursery, autojump_clock
):
    # The entry router learns from the VM list that an engine is leaving; the
    # owner learns it seconds later and still grants permits on it. No new
    # request may be sent there.
    fleet = fakes.Fleet(nursery, routers=3, engines=3)
    owner = fleet.owner()
    entry = next(name for name in fleet.names if name != owner)
    fleet.views[entry].set_upstreams(fleet.vms[1:])

    used = []

    async def acquire(number):
        permit = await fleet.admissions[entry].acquire(
            fleet.permit_request(number)
        )
        used.append(permit.upstream.id)

    async with trio.open_nursery() as requests:
        for number in range(20):
            requests.start_soon(acquire, number)
        await trio.sleep(3)
        fleet.views[owner].set_upstreams(fleet.vms[1:])

    assert len(used) == 20
    assert set(used) == {'engine-1', 'engine-2'}


async def test_degraded_mode_admits_within_the_own_share(
    nursery, autojump_clock
):
    # The owner is cut off from all other routers, but still in their views.
    fleet = fakes.Fleet(nursery, routers=4, engines=4)
    fleet.report({vm.id: 8 for vm in fleet.vms})
    owner = fleet.owner()
    rest = [name for name in fleet.names if name != owner]
    for name in rest:
        fleet.network.cut(owner, name)
    granted = []

    async def acquire(number):
        entry = fleet.admissions[rest[number % 3]]
        with trio.move_on_after(3):
            granted.append(await entry.acquire(fleet.permit_request(number)))

    async def report():
        await trio.sleep(1)
        fleet.report({vm.id: 8 for vm in fleet.vms})

    async with trio.open_nursery() as requests:
        requests.start_soon(report)
        for number in range(60):
            requests.start_soon(acquire, number)

    loads = fleet.loads()
    allowed = placement.allowed_load(fleet.pool, 32, 4)
    assert granted
    assert all(permit.degraded for permit in granted)
    assert 8 + max(loads.values()) <= allowed + 1


async def test_waiting_requests_move_to_the_next_owner(nursery, autojump_clock):
    # The owner dies while requests wait in its queue: they must not wait for
    # it until their deadline.
    pool = configuration.Pool('chat', 'model', max_load=1)
    fleet = fakes.Fleet(nursery, routers=4, engines=1, pool=pool)
    lost = fleet.owner()
    rest = [name for name in fleet.names if name != lost]
    first = await fleet.admissions[rest[0]].acquire(fleet.permit_request(1))
    done = []

    async def acquire():
        permit = await fleet.admissions[rest[1]].acquire(
            fleet.permit_request(2)
        )
        done.append((trio.current_time(), permit))

    nursery.start_soon(acquire)
    await trio.sleep(2)
    kill_router(fleet, lost)
    await trio.sleep(1)
    fleet.admissions[rest[0]].release(first, 'complete')
    await trio.sleep(2)

    assert done
    assert done[0][0] < 5.5


async def test_request_that_cannot_be_served_in_time_is_refused_at_once(
    nursery, autojump_clock
):
    # A request that cannot be served in time must not wait until its
    # deadline: it is refused at once, with the time after which to retry.
    pool = configuration.Pool('chat', 'model', max_load=1)
    fleet = fakes.Fleet(nursery, routers=1, engines=1, pool=pool)
    entry = fleet.admissions['router-0']

    async def occupy(number):
        permit = await entry.acquire(
            fleet.permit_request(number, deadline=trio.current_time() + 600)
        )
        await trio.sleep(2)
        entry.release(permit, 'complete')

    for number in range(40):
        nursery.start_soon(occupy, number)
    await trio.sleep(10)
    started = trio.current_time()

    with pytest.raises(errors.PoolFull) as caught:
        await entry.acquire(fleet.permit_request(99, deadline=started + 20))

    assert trio.current_time() - started < 0.5
    assert caught.value.retry_after > 20


async def test_small_customer_is_served_before_the_queue_of_a_surge(
    nursery, autojump_clock
):
    pool = configuration.Pool('chat', 'model', max_load=2, max_waiting=50)
    fleet = fakes.Fleet(nursery, routers=2, engines=2, pool=pool)
    entry = fleet.admissions['router-0']
    refused = []

    async def surge(number):
        deadline = trio.current_time() + 600
        permit_request = fleet.permit_request(
            number, customer='city', deadline=deadline
        )
        try:
            permit = await entry.acquire(permit_request)
        except errors.PoolFull:
            refused.append(number)
            return
        await trio.sleep(1)
        entry.release(permit, 'complete')

    for number in range(100):
        nursery.start_soon(surge, number)
    await trio.sleep(3)
    started = trio.current_time()

    await fleet.admissions['router-1'].acquire(
        fleet.permit_request(1000, customer='court')
    )

    assert trio.current_time() - started <= 1.1
    assert refused


async def test_instant_requests_are_granted_in_a_full_pool(
    nursery, autojump_clock
):
    pool = configuration.Pool('chat', 'model', max_load=10)
    fleet = fakes.Fleet(nursery, routers=2, engines=2, pool=pool)
    entry = fleet.admissions['router-0']

    async def hold(number):
        await entry.acquire(fleet.permit_request(number))

    for number in range(40):
        nursery.start_soon(hold, number)
    await trio.sleep(1)
    started = trio.current_time()

    await fleet.admissions['router-1'].acquire(
        fleet.permit_request(99, priority=fakes.requests.Priority.INSTANT)
    )

    assert trio.current_time() - started < 0.01


async def test_joining_engine_gets_no_returning_chat(nursery, autojump_clock):
    # An engine joins with an empty cache and no load: the contexts of
    # returning chats sent there would be recomputed without need.
    fleet = fakes.Fleet(nursery, routers=2, engines=3)
    entry = fleet.admissions['router-0']
    before = {}
    for number in range(30):
        permit = await entry.acquire(fleet.permit_request(number))
        before[number] = permit.upstream.id
        entry.release(permit, 'complete')
    joined = [*fleet.vms, fakes.engine_vm('engine-9')]
    for view in fleet.views.values():
        view.set_upstreams(joined)

    for number in range(30):
        permit = await entry.acquire(fleet.permit_request(number))
        assert permit.upstream.id == before[number]
        entry.release(permit, 'complete')


async def test_groups_of_a_pool_share_one_bound(nursery, autojump_clock):
    # Three groups have an owner each, which knows only the permits of its own
    # engines and gets the others' load totals every half second.
    pool = configuration.Pool('chat', 'model', groups=3)
    fleet = fakes.Fleet(nursery, routers=5, engines=9, pool=pool)
    await trio.sleep(1)
    for number in range(120):
        name = fleet.names[number % 5]
        await fleet.admissions[name].acquire(fleet.permit_request(number))
        await trio.sleep(0.05)
    await trio.sleep(1)

    loads = fleet.loads()

    assert max(loads.values()) <= 1.25 * 120 / 9 + 1


async def test_permits_of_a_router_wrongly_regarded_as_dead_count_again(
    nursery, autojump_clock
):
    # The owner regards two routers as dead for a short time and frees their
    # permits, but they continue to use it. Their requests still run, and
    # without being counted they would let engines exceed the bound. By the
    # routers' view the owner never changed, so they would list their permits
    # only after two heartbeats that differ, some seconds later.
    fleet = fakes.Fleet(nursery, routers=4, engines=5)
    await trio.sleep(1)
    owner = fleet.owner()
    kept, *dropped = [name for name in fleet.names if name != owner]
    await fill(fleet, 20)
    fleet.views[owner].set_routers([owner, kept])
    await trio.sleep(0.1)
    for number, name in enumerate(dropped):
        await fleet.admissions[name].acquire(fleet.permit_request(100 + number))
    await trio.sleep(0.1)

    groups_ = fleet.admissions[owner].owner.owned.values()
    counted = sum(len(group.table.permits) for group in groups_)

    assert counted == 22


async def test_router_back_in_the_view_is_asked_for_its_permits(
    nursery, autojump_clock
):
    # As above, but the routers request no permits after they were regarded as
    # dead: other routers' requests would fill the engines in addition to
    # theirs.
    fleet = fakes.Fleet(nursery, routers=4, engines=5)
    await trio.sleep(1)
    owner = fleet.owner()
    kept = next(name for name in fleet.names if name != owner)
    await fill(fleet, 20)
    fleet.views[owner].set_routers([owner, kept])
    await trio.sleep(0.1)
    fleet.views[owner].set_routers(fleet.names)
    await trio.sleep(0.1)

    groups_ = fleet.admissions[owner].owner.owned.values()
    counted = sum(len(group.table.permits) for group in groups_)

    assert counted == 20


async def test_request_keeps_its_turn_while_another_group_moves(
    nursery, autojump_clock
):
    # Guards against requests that lose their turn at an owner that stays.
    pool = configuration.Pool('chat', 'model', max_load=1, groups=2)
    fleet = fakes.Fleet(nursery, routers=6, engines=6, pool=pool)
    moves, stays = fleet.admissions['router-0'].directory.groups()
    joining = groups.owner(moves, fleet.names)
    rest = [name for name in fleet.names if name != joining]
    owner = groups.owner(moves, rest)
    for name in rest:
        fleet.views[name].set_routers(rest)
    await trio.sleep(1)
    entry = fleet.admissions[next(name for name in rest if name != owner)]
    for number in range(6):
        await entry.acquire(fleet.permit_request(number))
    for number in range(100, 110):
        nursery.start_soon(entry.acquire, fleet.permit_request(number))
    await trio.sleep(0.5)
    queue = fleet.admissions[owner].owner.owned[stays].queue
    before = list(queue.waiting)
    fleet.views[entry.name].set_routers(fleet.names)
    await trio.sleep(0.5)

    assert groups.owner(moves, rest) == groups.owner(stays, fleet.names)
    assert before
    assert list(queue.waiting)[: len(before)] == before
