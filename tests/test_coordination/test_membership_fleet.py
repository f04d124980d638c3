from __future__ import annotations

import attrs
import pytest
import trio

from bench.peers import fleets
from lavenderbend import errors
from lavenderbend.protocol import messages_membership as messages
from lavenderbend.protocol import peer
from lavenderbend.state import upstreams


async def test_every_router_sees_all_routers_and_engines(
    nursery, autojump_clock
):
    fleet = await fleets.make_fleet(nursery, 6, engines=5)

    for member in fleet.members.values():
        assert len(member.routers()) == 6
        assert len(member.upstreams('assistant')) == 5
    assert len(fleet.using('engine-0000')) == 6


async def test_draining_engine_leaves_every_view_within_two_seconds(
    nursery, autojump_clock
):
    # Guards against new requests to a draining engine, which it will cut
    # off. Its load report, polled by one or two routers, shows the drain; the
    # VM list does so 10 s later.
    fleet = await fleets.make_fleet(nursery, 24, engines=5, lag=10.0)
    await trio.sleep(3)
    fleet.engines['engine-0002'].draining = True

    await trio.sleep(2)

    assert fleet.using('engine-0002') == []
    assert len(fleet.using('engine-0001')) == 24


async def test_dead_router_leaves_every_view(nursery, autojump_clock):
    fleet = await fleets.make_fleet(nursery, 6)
    fleet.end('router-002')

    await trio.sleep(10)

    assert fleet.believing('router-002') == []
    assert len(fleet.believing('router-001')) == 5


async def test_stopping_router_leaves_every_view_at_once(
    nursery, autojump_clock
):
    # Guards against permit requests to a router after a planned stop, and
    # against its suspicion: it announces the stop to its peers before it
    # closes.
    fleet = await fleets.make_fleet(nursery, 24)
    await fleet.members['router-005'].leave()

    await trio.sleep(0.5)

    assert fleet.believing('router-005') == []


async def test_restarted_router_rejoins_every_view(nursery, autojump_clock):
    # Guards against a restarted router that stays dead in all views: its
    # incarnation starts at zero again, so its first update is older than the
    # state that the fleet has of it.
    fleet = await fleets.make_fleet(nursery, 6)
    for _ in range(2):
        fleet.end('router-002')
        await trio.sleep(15)
        assert fleet.believing('router-002') == []

        fleet.start(fleets.router_vm(2))
        await trio.sleep(3)
        assert len(fleet.believing('router-002')) == 6


async def test_router_that_left_rejoins_under_its_id(nursery, autojump_clock):
    fleet = await fleets.make_fleet(nursery, 6)
    await fleet.members['router-002'].leave()
    fleet.end('router-002')
    await trio.sleep(1)

    fleet.start(fleets.router_vm(2))
    await trio.sleep(3)

    assert len(fleet.believing('router-002')) == 6


async def test_cut_between_two_routers_removes_neither(nursery, autojump_clock):
    # Guards against needless moves of owners and permits: a firewall rule
    # drops messages from one router to another, and either could believe the
    # other dead although all others reach both.
    fleet = await fleets.make_fleet(nursery, 6)
    fleet.network.cut.add(('router-000', 'router-001'))

    await trio.sleep(120)

    assert len(fleet.believing('router-000')) == 6
    assert len(fleet.believing('router-001')) == 6


async def test_paused_router_refutes_its_death_after_resuming(
    nursery, autojump_clock
):
    # Guards against a paused router that stays dead in the views: its VM is
    # paused for 20 s for a migration, it resumes without knowing that it was
    # declared dead, and messages from before the pause arrive late.
    fleet = await fleets.make_fleet(nursery, 6)
    fleet.network.pause('router-003')
    await trio.sleep(20)
    others = [name for name in fleet.members if name != 'router-003']
    assert not set(fleet.believing('router-003')) & set(others)

    fleet.network.resume('router-003')
    await trio.sleep(10)

    for name in fleet.members:
        assert len(fleet.believing(name)) == 6


async def test_short_pause_does_not_change_any_view(nursery, autojump_clock):
    fleet = await fleets.make_fleet(nursery, 24)
    views = {name: len(fleet.believing(name)) for name in fleet.members}
    fleet.network.pause('router-003')
    await trio.sleep(1.5)
    fleet.network.resume('router-003')

    await trio.sleep(5)

    assert {name: len(fleet.believing(name)) for name in fleet.members} == views


async def test_both_sides_of_a_partition_continue_and_merge(
    nursery, autojump_clock
):
    # Guards against routers that stay dead after a partition: a region is
    # cut off for two minutes. Each side must continue with the routers it
    # reaches, and after the partition all must be alive in all views.
    fleet = await fleets.make_fleet(nursery, 12)
    names = sorted(fleet.members)
    fleet.network.cut_off(names[:4], names[4:])
    await trio.sleep(120)
    assert sorted(fleet.members[names[0]].routers()) == names[:4]
    assert sorted(fleet.members[names[11]].routers()) == names[4:]

    fleet.network.cut.clear()
    await trio.sleep(30)

    for name in names:
        assert len(fleet.believing(name)) == 12


async def test_new_router_is_live_before_it_is_listed(nursery, autojump_clock):
    # Guards against a new router that is not used while the VM list lags by
    # 30 s: it answers its peers long before, so it is live for the grace
    # period, and stays live once it is listed.
    fleet = await fleets.make_fleet(nursery, 6, lag=30.0)
    vm = fleets.router_vm(6)
    fleet.vm_list.add(vm)
    fleet.start(vm)

    await trio.sleep(5)
    assert len(fleet.believing(vm.id)) == 7
    assert fleet.members['router-000'].router_state(vm.id) == (
        'alive, not in the VM list'
    )

    await trio.sleep(90)
    assert len(fleet.believing(vm.id)) == 7
    assert fleet.members['router-000'].router_state(vm.id) == 'alive'


async def test_router_that_is_never_listed_is_removed(nursery, autojump_clock):
    # Guards against a responsive router that the platform does not list,
    # such as one on a forgotten VM or on a deleted VM whose process still
    # runs. After the grace period of the lagging list, the list decides.
    fleet = await fleets.make_fleet(nursery, 6)
    vm = fleets.router_vm(6)
    fleet.start(vm)

    await trio.sleep(5)
    assert len(fleet.believing(vm.id)) == 7
    await trio.sleep(90)

    assert fleet.believing(vm.id) in ([], [vm.id])


async def test_listed_router_that_never_answered_is_not_live(
    nursery, autojump_clock
):
    fleet = await fleets.make_fleet(nursery, 6)
    fleet.network.down.add('router-006')
    fleet.vm_list.add(fleets.router_vm(6))

    await trio.sleep(20)

    assert fleet.believing('router-006') == []
    member = fleet.members['router-000']
    assert member.router_state('router-006') == 'not heard of yet'


async def test_router_listed_as_leaving_is_not_live(nursery, autojump_clock):
    fleet = await fleets.make_fleet(nursery, 6)
    fleet.vm_list.set_state('router-001', upstreams.VmState.LEAVING)

    await trio.sleep(4)

    assert set(fleet.believing('router-001')) <= {'router-001'}


async def test_empty_or_truncated_list_is_rejected(nursery, autojump_clock):
    # Guards against dropping all upstreams, and refusing all requests, while
    # the list service restarts and answers for some seconds with an empty,
    # then with half a list.
    fleet = await fleets.make_fleet(nursery, 6, engines=8)
    shown = dict(fleet.vm_list.shown)
    fleet.vm_list.shown = {}
    await trio.sleep(10)
    half = sorted(shown)[:6]
    fleet.vm_list.shown = {name: shown[name] for name in half}
    await trio.sleep(10)

    assert len(fleet.using('engine-0007')) == 6
    assert len(fleet.believing('router-005')) == 6


async def test_large_loss_that_lasts_is_accepted(nursery, autojump_clock):
    fleet = await fleets.make_fleet(nursery, 3, engines=8)
    for number in range(1, 8):
        fleet.vm_list.remove(f'engine-{number:04d}')

    await trio.sleep(90)

    assert fleet.using('engine-0007') == []
    assert len(fleet.using('engine-0000')) == 3


async def test_router_joins_while_the_list_is_down(nursery, autojump_clock):
    # Guards against a restarted router that cannot join while the VM list is
    # down: it knows no peers, but they probe it, and it learns the fleet and
    # the list from the first of them.
    fleet = await fleets.make_fleet(nursery, 6, engines=4)
    fleet.vm_list.down = True
    fleet.end('router-002')
    await trio.sleep(3)
    member = fleet.start(fleets.router_vm(2))

    await trio.sleep(15)

    assert member.ready.is_set()
    assert len(member.routers()) == 6
    assert len(member.upstreams('assistant')) == 4
    assert len(fleet.believing('router-002')) == 6


async def test_list_is_read_by_few_routers(nursery, autojump_clock):
    fleet = await fleets.make_fleet(nursery, 24, engines=2)
    await trio.sleep(60)
    readers = [
        name
        for name, member in fleet.members.items()
        if member.reader.is_reader()
    ]
    vm = fleet.add_engine(9)

    await trio.sleep(4)

    assert len(readers) == 3
    assert len(fleet.using(vm.id)) == 24


async def test_large_list_is_read_within_its_byte_rate(nursery, autojump_clock):
    # Guards against reads of a large list that exceed the control traffic
    # budget: the list of a large site has a megabyte and changes often, so a
    # read every two seconds would take thirty times the budget.
    fleet = await fleets.make_fleet(nursery, 6, engines=2)
    readers = {
        name: member.reader
        for name, member in fleet.members.items()
        if member.reader.is_reader()
    }
    for member in fleet.members.values():
        member.vm_list = CountingVmList(member.vm_list)
    await trio.sleep(1000)

    for name, member in fleet.members.items():
        rate = member.vm_list.bytes_received / 1000
        assert rate < (10_500 if name in readers else 2_500)
        assert rate > 500


class CountingVmList:
    """Counts a megabyte for each read of a VM list."""

    def __init__(self, inner):
        self.inner = inner
        self.bytes_received = 0

    async def fetch(self):
        self.bytes_received += 1_000_000
        return await self.inner.fetch()


async def test_malformed_update_is_refused_and_earlier_ones_apply(
    nursery, autojump_clock
):
    fleet = await fleets.make_fleet(nursery, 2)
    valid = messages.UpstreamFact('e', 0, 'x', 1, 5.0)
    link = fleet.network.links['router-000']
    for malformed in (
        [85, 'router-001', 17, 0],
        [86, 'e', 0, 'x', 2, -1.0],
        [86, 'e', 'draining', 'x', 2, 5.0],
        [87, 'v', 0, 'h', 1, 'z', 'r', 's', 'balloon'],
        [87, ['v'], 0, 'h', 1, 'z', 'r', 's', 'engine'],
        [85, ['r'], 0, 0, 'h', 1],
        [82, []],
        [1234],
        'text',
    ):
        ping = messages.Ping([peer.to_wire(valid), malformed])
        with pytest.raises(errors.PeerRefused, match='CodecError'):
            await link.request('router-001', ping, 1.0)

    facts = fleet.members['router-001'].facts
    assert facts.reason('e') == 'draining, reported by x'
    await trio.sleep(30)
    assert len(fleet.believing('router-001')) == 2


async def test_regions_cut_off_from_each_other_keep_serving(
    nursery, autojump_clock
):
    # Guards against loss of service when two regions are cut off from each
    # other: each must keep its own routers and engines, see its own drains
    # within 2 s, and see the other region again afterwards.
    fleet = await fleets.make_fleet(nursery, 1, engines=4)
    fleet.end('router-000')
    for number in range(8):
        region = 'north' if number % 2 else 'south'
        vm = fleets.router_vm(number, region)
        fleet.vm_list.add(vm)
        fleet.start(vm)
    for number in range(4):
        region = 'north' if number % 2 else 'south'
        vm = attrs.evolve(fleets.engine_vm(number), region=region)
        fleet.vm_list.add(vm)
    await fleets.settle(fleet, 8)
    north = [f'router-{number:03d}' for number in (1, 3, 5, 7)]
    south = [f'router-{number:03d}' for number in (0, 2, 4, 6)]
    await trio.sleep(5)
    assert fleet.using('engine-0001') == north

    fleet.network.cut_off(north, south)
    await trio.sleep(20)
    fleet.engines['engine-0001'].draining = True
    await trio.sleep(2)
    assert fleet.using('engine-0001') == []
    assert fleet.using('engine-0003') == north
    assert fleet.members['router-001'].routers() == tuple(north)

    fleet.network.cut.clear()
    await trio.sleep(30)
    for name in north + south:
        assert len(fleet.believing(name)) == 8
        assert len(fleet.members[name].region_routers()) == 4
