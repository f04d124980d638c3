from __future__ import annotations

import attrs
import pytest
import trio

from bench.peers import fleets
from lavenderbend import errors
from lavenderbend.protocol import messages_membership as messages
from lavenderbend.protocol import peer
from lavenderbend.state import upstreams


async def test_fleet_sees_itself(nursery, autojump_clock):
    fleet = await fleets.make_fleet(nursery, 6, engines=5)

    for member in fleet.members.values():
        assert len(member.routers()) == 6
        assert len(member.upstreams('assistant')) == 5
    assert len(fleet.using('engine-0000')) == 6


async def test_draining_engine_leaves_every_view_within_two_seconds(
    nursery, autojump_clock
):
    # an engine begins to drain and says so in its load report, which one or
    # two routers poll. The VM list shows it 10 s later. Until all routers
    # know, some go on sending it new work that it will cut off.
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


async def test_router_that_stops_is_out_of_every_view_at_once(
    nursery, autojump_clock
):
    # a planned stop: the router tells its peers before it closes, so that
    # nobody asks it for permits any more and nobody has to suspect it.
    fleet = await fleets.make_fleet(nursery, 24)
    await fleet.members['router-005'].leave()

    await trio.sleep(0.5)

    assert fleet.believing('router-005') == []


async def test_restarted_router_is_believed_again(nursery, autojump_clock):
    # a router's process ends, the fleet believes it dead, and it starts
    # again under the same id, with its incarnation back at zero. Its first
    # word would be older than what the fleet believes of it.
    fleet = await fleets.make_fleet(nursery, 6)
    for _ in range(2):
        fleet.end('router-002')
        await trio.sleep(15)
        assert fleet.believing('router-002') == []

        fleet.start(fleets.router_vm(2))
        await trio.sleep(3)
        assert len(fleet.believing('router-002')) == 6


async def test_router_that_left_comes_back_under_its_id(
    nursery, autojump_clock
):
    fleet = await fleets.make_fleet(nursery, 6)
    await fleet.members['router-002'].leave()
    fleet.end('router-002')
    await trio.sleep(1)

    fleet.start(fleets.router_vm(2))
    await trio.sleep(3)

    assert len(fleet.believing('router-002')) == 6


async def test_cut_between_two_routers_moves_nobody(nursery, autojump_clock):
    # a firewall rule drops what one router sends to another. Each of the
    # two could believe the other dead though everybody else reaches both;
    # owners would move and permits be taken over for nothing.
    fleet = await fleets.make_fleet(nursery, 6)
    fleet.network.cut.add(('router-000', 'router-001'))

    await trio.sleep(120)

    assert len(fleet.believing('router-000')) == 6
    assert len(fleet.believing('router-001')) == 6


async def test_paused_router_refutes_when_it_goes_on(nursery, autojump_clock):
    # a VM is paused for 20 s while it is moved. The fleet believes its
    # router dead and it comes back unaware, still thinking that it takes
    # part. Its messages of before the pause arrive late, all at once.
    fleet = await fleets.make_fleet(nursery, 6)
    fleet.network.pause('router-003')
    await trio.sleep(20)
    others = [name for name in fleet.members if name != 'router-003']
    assert not set(fleet.believing('router-003')) & set(others)

    fleet.network.resume('router-003')
    await trio.sleep(10)

    for name in fleet.members:
        assert len(fleet.believing(name)) == 6


async def test_short_pause_is_not_taken_for_death(nursery, autojump_clock):
    fleet = await fleets.make_fleet(nursery, 24)
    views = {name: len(fleet.believing(name)) for name in fleet.members}
    fleet.network.pause('router-003')
    await trio.sleep(1.5)
    fleet.network.resume('router-003')

    await trio.sleep(5)

    assert {name: len(fleet.believing(name)) for name in fleet.members} == views


async def test_both_sides_of_a_partition_go_on_and_join_again(
    nursery, autojump_clock
):
    # a region loses the others for two minutes. Each side must go on with
    # those it reaches, and when the link is back nobody may stay dead in
    # the view of the other side for good.
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


async def test_new_router_takes_part_before_the_list_shows_it(
    nursery, autojump_clock
):
    # the VM list is 30 s late everywhere. A new router answers its peers
    # long before; for as long as the list may be late it takes part, and
    # it goes on when the list at last shows it.
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


async def test_router_that_is_never_listed_loses_its_part(
    nursery, autojump_clock
):
    # a router answers but the platform never lists it: a forgotten VM, or
    # one deleted while its process runs on. The platform's word goes first
    # once the list has had time to catch up.
    fleet = await fleets.make_fleet(nursery, 6)
    vm = fleets.router_vm(6)
    fleet.start(vm)

    await trio.sleep(5)
    assert len(fleet.believing(vm.id)) == 7
    await trio.sleep(90)

    assert fleet.believing(vm.id) in ([], [vm.id])


async def test_listed_router_that_never_answered_takes_no_part(
    nursery, autojump_clock
):
    fleet = await fleets.make_fleet(nursery, 6)
    fleet.network.down.add('router-006')
    fleet.vm_list.add(fleets.router_vm(6))

    await trio.sleep(20)

    assert fleet.believing('router-006') == []
    member = fleet.members['router-000']
    assert member.router_state('router-006') == 'not heard of yet'


async def test_router_that_the_list_calls_leaving_takes_no_part(
    nursery, autojump_clock
):
    fleet = await fleets.make_fleet(nursery, 6)
    fleet.vm_list.set_state('router-001', upstreams.VmState.LEAVING)

    await trio.sleep(4)

    assert set(fleet.believing('router-001')) <= {'router-001'}


async def test_list_that_comes_back_empty_is_distrusted(
    nursery, autojump_clock
):
    # the platform's list restarts and answers with an empty, then a half
    # list for some seconds. A router that believed it would drop every
    # upstream and refuse all requests.
    fleet = await fleets.make_fleet(nursery, 6, engines=8)
    shown = dict(fleet.vm_list.shown)
    fleet.vm_list.shown = {}
    await trio.sleep(10)
    half = sorted(shown)[:6]
    fleet.vm_list.shown = {name: shown[name] for name in half}
    await trio.sleep(10)

    assert len(fleet.using('engine-0007')) == 6
    assert len(fleet.believing('router-005')) == 6


async def test_large_loss_that_lasts_is_believed(nursery, autojump_clock):
    fleet = await fleets.make_fleet(nursery, 3, engines=8)
    for number in range(1, 8):
        fleet.vm_list.remove(f'engine-{number:04d}')

    await trio.sleep(90)

    assert fleet.using('engine-0007') == []
    assert len(fleet.using('engine-0000')) == 3


async def test_start_while_the_list_is_down(nursery, autojump_clock):
    # the VM list is down and a router's process restarts. It knows nobody,
    # but the others know it: from the first that probes it, it learns the
    # fleet and the list.
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


async def test_large_list_is_read_within_its_bytes(nursery, autojump_clock):
    # the list of a large site has a megabyte and is never the same for
    # long. Read every two seconds it would take thirty times what a router
    # may spend on all its control traffic.
    fleet = await fleets.make_fleet(nursery, 6, engines=2)
    readers = {
        name: member.reader
        for name, member in fleet.members.items()
        if member.reader.is_reader()
    }
    for member in fleet.members.values():
        member.vm_list = CountedList(member.vm_list)
    await trio.sleep(1000)

    for name, member in fleet.members.items():
        rate = member.vm_list.bytes_received / 1000
        assert rate < (10_500 if name in readers else 2_500)
        assert rate > 500


class CountedList:
    """A list of a megabyte that changes at every read."""

    def __init__(self, inner):
        self.inner = inner
        self.bytes_received = 0

    async def fetch(self):
        self.bytes_received += 1_000_000
        return await self.inner.fetch()


async def test_malformed_updates_are_refused_and_those_before_hold(
    nursery, autojump_clock
):
    fleet = await fleets.make_fleet(nursery, 2)
    good = messages.UpstreamFact('e', 0, 'x', 1, 5.0)
    link = fleet.network.links['router-000']
    for bad in (
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
        ping = messages.Ping([peer.to_wire(good), bad])
        with pytest.raises(errors.PeerRefused, match='CodecError'):
            await link.request('router-001', ping, 1.0)

    facts = fleet.members['router-001'].facts
    assert facts.why('e') == 'draining, says x'
    await trio.sleep(30)
    assert len(fleet.believing('router-001')) == 2


async def test_regions_that_lose_each_other_serve_on(nursery, autojump_clock):
    # two regions lose each other. Each must keep its own routers and
    # engines, hear of its own drains within 2 s, and meet again afterwards.
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
