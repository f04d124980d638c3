"""Whatever bytes a peer sends, decoding raises only codec errors."""

from __future__ import annotations

import random

import hypothesis
from hypothesis import strategies
import msgpack
import pytest
import trio
import trio.testing

from bench.peers import fleets
from bench.peers import network
from lavenderbend import errors
from lavenderbend.coordination import membership
from lavenderbend.protocol import messages_membership  # noqa: F401 (registers)
from lavenderbend.protocol import peer
from lavenderbend.transport import peer_wires
from lavenderbend.transport import vm_lists

VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**64 - 1)
    | strategies.floats()
    | strategies.text(max_size=8)
    | strategies.binary(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=5)
        | strategies.dictionaries(strategies.text(max_size=3), inner)
    ),
    max_leaves=8,
)
TAGS = strategies.sampled_from([*range(78, 95), 1, 2])
MESSAGES = strategies.builds(
    lambda tag, rest: [tag, *rest], TAGS, strategies.lists(VALUES, max_size=9)
)


@hypothesis.settings(deadline=None, derandomize=True, max_examples=300)
@hypothesis.given(strategies.binary(max_size=64))
def test_any_bytes_are_a_batch_or_a_codec_error(data):
    try:
        batch = peer_wires.unpack(data)
    except errors.CodecError:
        return
    assert all(isinstance(number, int) for number, _ in batch)


@hypothesis.settings(deadline=None, derandomize=True, max_examples=300)
@hypothesis.given(VALUES | MESSAGES)
def test_any_value_is_a_message_or_a_codec_error(value):
    try:
        batch = peer_wires.unpack(msgpack.packb([7, value]))
        message = peer.from_wire(batch[0][1])
    except errors.CodecError:
        return
    assert isinstance(message, peer.Message)


@hypothesis.settings(deadline=None, derandomize=True, max_examples=300)
@hypothesis.given(strategies.lists(MESSAGES | VALUES, max_size=4))
def test_any_updates_are_merged_or_a_codec_error(updates):
    async def merge():
        async with trio.open_nursery() as nursery:
            net = network.MemoryNetwork(nursery, random.Random(1))
            member = membership.FleetMembership(
                fleets.router_vm(0),
                vm_lists.StaticVmList([]),
                net.link('router-000'),
                network.MemoryUpstreams('router-000', {}),
                random.Random(1),
            )
            try:
                member.processor.merge_updates(updates)
            except errors.CodecError:
                pass
            assert member.routers()
            member.candidates.refresh()

    trio.run(merge, clock=trio.testing.MockClock())


def test_deeply_nested_value_is_a_codec_error():
    data = b'\x91' * 5000 + b'\x00'

    with pytest.raises(errors.CodecError):
        peer_wires.unpack(data)
