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
def lines():
    return listing.Listing(membership.MembershipSettings())


def ids(lines):
    return sorted(vm.id for vm in lines.vms())


async def test_order_of_news_does_not_matter(autojump_clock):
    # routers hear of a VM's states in different orders, over different
    # ways. Whatever the order, all must end with the same.
    changes = [listing.to_change(VMS[0], state) for state in messages.ListState]
    ends = set()
    for order in itertools.permutations(changes):
        lines = listing.Listing(membership.MembershipSettings())
        for change in order:
            lines.merge(change)
        ends.add(lines.state(VMS[0].id))

    assert ends == {messages.ListState.GONE}


async def test_vm_that_is_missing_once_stays(lines, autojump_clock):
    lines.merge_read(VMS)
    lines.merge_read(VMS[:3])
    assert len(ids(lines)) == 4
    lines.merge_read(VMS)
    lines.merge_read(VMS[:3])
    assert len(ids(lines)) == 4

    changes = lines.merge_read(VMS[:3])

    assert [change.vm for change in changes] == [VMS[3].id]
    assert len(ids(lines)) == 3


async def test_same_read_again_still_confirms_what_is_missing(
    lines, autojump_clock
):
    lines.merge_read(VMS)
    read = VMS[:3]

    assert lines.merge_read(read) == []
    assert [change.vm for change in lines.merge_read(read)] == [VMS[3].id]
    assert lines.merge_read(read) == []


async def test_vm_that_a_peer_told_of_is_dropped_if_never_listed(
    lines, autojump_clock
):
    read = VMS[:3]
    lines.merge_read(read)
    lines.merge(listing.to_change(VMS[3], messages.ListState.LIVE))
    lines.merge_read(read)
    assert len(ids(lines)) == 4

    await trio.sleep(listing.GONE_HOLD + 1)
    lines.merge_read(read)
    lines.merge_read(read)

    assert len(ids(lines)) == 3


async def test_gone_vm_may_come_back_after_a_while(lines, autojump_clock):
    lines.merge_read(VMS)
    for _ in range(3):
        lines.merge_read(VMS[:3])
    lines.merge_read(VMS)
    assert len(ids(lines)) == 3

    await trio.sleep(listing.GONE_HOLD + 1)
    lines.merge_read(VMS)

    assert len(ids(lines)) == 4


async def test_moved_address_is_taken(lines, autojump_clock):
    lines.merge_read(VMS)
    moved = attrs.evolve(VMS[0], port=9999)

    lines.merge_read((moved, *VMS[1:]))

    assert moved in lines.vms()


async def test_leaving_is_not_taken_back(lines, autojump_clock):
    leaving = attrs.evolve(VMS[0], state=upstreams.VmState.LEAVING)
    lines.merge_read((leaving, *VMS[1:]))

    # an older read arrives late
    assert lines.merge_read(VMS) == []

    assert lines.state(VMS[0].id) is messages.ListState.LEAVING


async def test_leaving_that_is_called_off_ends_after_a_while(
    lines, autojump_clock
):
    # an operator marks the wrong VM as leaving and takes it back. Reads of
    # older copies must not end the leaving, but the platform's word must.
    leaving = attrs.evolve(VMS[0], state=upstreams.VmState.LEAVING)
    lines.merge_read((leaving, *VMS[1:]))
    for _ in range(20):
        await trio.sleep(2)
        lines.merge_read(VMS)

    assert lines.state(VMS[0].id) is messages.ListState.LIVE
    assert VMS[0] in lines.vms()


async def test_two_readers_agree_after_any_reads(autojump_clock):
    rng = random.Random(5)
    for _ in range(50):
        both = [
            listing.Listing(membership.MembershipSettings()) for _ in range(2)
        ]
        told = []
        for _ in range(12):
            read = tuple(rng.sample(VMS, rng.randint(2, 4)))
            reader = rng.randrange(2)
            told.extend(both[reader].merge_read(read))
        rng.shuffle(told)
        for change in told:
            for lines in both:
                lines.merge(change)
        states = [{vm.id: lines.state(vm.id) for vm in VMS} for lines in both]
        assert states[0] == states[1]
