from __future__ import annotations

import itertools
import random

import attrs
import pytest
import trio

from bench.peers import fleets
from lavenderbend.coordination import membership
from lavenderbend.coordination.membership import listing
from lavenderbend.protocol import messages_membership as messages
from lavenderbend.state import upstreams

VMS = tuple(fleets.engine_vm(number) for number in range(4))


@pytest.fixture
def vm_listing():
    return listing.Listing(membership.MembershipSettings())


def listed_ids(vm_listing):
    return sorted(vm.id for vm in vm_listing.vms())


async def test_order_of_changes_does_not_matter(autojump_clock):
    # Guards against views that differ for good: routers receive the states
    # of a VM in different orders, over different paths, and must all end
    # with the same state.
    changes = [listing.to_change(VMS[0], state) for state in messages.ListState]
    final_states = set()
    for order in itertools.permutations(changes):
        vm_listing = listing.Listing(membership.MembershipSettings())
        for change in order:
            vm_listing.merge(change)
        final_states.add(vm_listing.state(VMS[0].id))

    assert final_states == {messages.ListState.GONE}


async def test_vm_missing_from_one_read_stays_listed(
    vm_listing, autojump_clock
):
    vm_listing.merge_read(VMS)
    vm_listing.merge_read(VMS[:3])
    assert len(listed_ids(vm_listing)) == 4
    vm_listing.merge_read(VMS)
    vm_listing.merge_read(VMS[:3])
    assert len(listed_ids(vm_listing)) == 4

    changes = vm_listing.merge_read(VMS[:3])

    assert [change.vm for change in changes] == [VMS[3].id]
    assert len(listed_ids(vm_listing)) == 3


async def test_repeated_identical_read_confirms_a_missing_vm(
    vm_listing, autojump_clock
):
    vm_listing.merge_read(VMS)
    read = VMS[:3]

    assert vm_listing.merge_read(read) == []
    assert [change.vm for change in vm_listing.merge_read(read)] == [VMS[3].id]
    assert vm_listing.merge_read(read) == []


async def test_vm_announced_by_a_peer_is_dropped_if_never_listed(
    vm_listing, autojump_clock
):
    read = VMS[:3]
    vm_listing.merge_read(read)
    vm_listing.merge(listing.to_change(VMS[3], messages.ListState.LIVE))
    vm_listing.merge_read(read)
    assert len(listed_ids(vm_listing)) == 4

    await trio.sleep(listing.GONE_RETENTION_SECONDS + 1)
    vm_listing.merge_read(read)
    vm_listing.merge_read(read)

    assert len(listed_ids(vm_listing)) == 3


async def test_gone_vm_is_accepted_again_after_its_retention(
    vm_listing, autojump_clock
):
    vm_listing.merge_read(VMS)
    for _ in range(3):
        vm_listing.merge_read(VMS[:3])
    vm_listing.merge_read(VMS)
    assert len(listed_ids(vm_listing)) == 3

    await trio.sleep(listing.GONE_RETENTION_SECONDS + 1)
    vm_listing.merge_read(VMS)

    assert len(listed_ids(vm_listing)) == 4


async def test_changed_address_is_applied(vm_listing, autojump_clock):
    vm_listing.merge_read(VMS)
    moved = attrs.evolve(VMS[0], port=9999)

    vm_listing.merge_read((moved, *VMS[1:]))

    assert moved in vm_listing.vms()


async def test_older_read_does_not_undo_leaving(vm_listing, autojump_clock):
    leaving = attrs.evolve(VMS[0], state=upstreams.VmState.LEAVING)
    vm_listing.merge_read((leaving, *VMS[1:]))

    # a lagging read shows the state from before
    assert vm_listing.merge_read(VMS) == []

    assert vm_listing.state(VMS[0].id) is messages.ListState.LEAVING


async def test_withdrawn_leaving_ends_after_its_delay(
    vm_listing, autojump_clock
):
    # Guards against a VM that stays leaving after an operator marked it by
    # mistake and withdrew that. Reads of older copies of the list must not
    # end the leaving, but lasting reads must.
    leaving = attrs.evolve(VMS[0], state=upstreams.VmState.LEAVING)
    vm_listing.merge_read((leaving, *VMS[1:]))
    for _ in range(20):
        await trio.sleep(2)
        vm_listing.merge_read(VMS)

    assert vm_listing.state(VMS[0].id) is messages.ListState.LIVE
    assert VMS[0] in vm_listing.vms()


async def test_two_readers_agree_after_any_reads(autojump_clock):
    rng = random.Random(5)
    for _ in range(50):
        listings = [
            listing.Listing(membership.MembershipSettings()) for _ in range(2)
        ]
        changes = []
        for _ in range(12):
            read = tuple(rng.sample(VMS, rng.randint(2, 4)))
            reader = rng.randrange(2)
            changes.extend(listings[reader].merge_read(read))
        rng.shuffle(changes)
        for change in changes:
            for vm_listing in listings:
                vm_listing.merge(change)
        states = [
            {vm.id: vm_listing.state(vm.id) for vm in VMS}
            for vm_listing in listings
        ]
        assert states[0] == states[1]
