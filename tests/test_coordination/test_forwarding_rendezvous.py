"""Preference orders of chats among few and among thousands of upstreams."""

from __future__ import annotations

import collections

import pytest

from lavenderbend.coordination.forwarding import rendezvous
from lavenderbend.state import hashing

SIZES = (
    1,
    2,
    5,
    59,
    rendezvous.MAX_LEAF_UPSTREAMS,
    rendezvous.MAX_LEAF_UPSTREAMS + 1,
    1000,
    6100,
)
CHATS = 2000


def instance_names(count):
    return [f'i-{number:08x}' for number in range(count)]


def preferred_upstreams(tree):
    return [tree.first(f'chat-{chat}') for chat in range(CHATS)]


@pytest.mark.parametrize('size', SIZES)
def test_order_of_chat_contains_each_upstream_once(size):
    tree = rendezvous.RendezvousTree(instance_names(size))
    order = list(tree.order('chat-1'))
    assert sorted(order) == sorted(instance_names(size))
    assert order[0] == tree.first('chat-1')
    assert order != sorted(order) or size < 3


def test_no_preferred_upstream_without_upstreams():
    assert rendezvous.RendezvousTree(()).first('chat-1') is None


@pytest.mark.parametrize('size', [59, 400, 1000, 6100])
def test_removed_upstream_moves_few_chats_of_others(size):
    before = preferred_upstreams(
        rendezvous.RendezvousTree(instance_names(size))
    )
    after = preferred_upstreams(
        rendezvous.RendezvousTree(instance_names(size)[1:])
    )
    removed = instance_names(size)[0]
    moved = [
        old
        for old, new in zip(before, after, strict=True)
        if old not in (new, removed)
    ]
    # The halves of a branch are weighted by their sizes, which change: one
    # chat in a hundred may prefer the other half.
    assert len(moved) <= CHATS / 100


def moved_fraction(before, after):
    pairs = zip(
        preferred_upstreams(rendezvous.RendezvousTree(instance_names(before))),
        preferred_upstreams(rendezvous.RendezvousTree(instance_names(after))),
        strict=True,
    )
    return sum(old != new for old, new in pairs) / CHATS


@pytest.mark.parametrize('size', [50, 300, 700])
def test_a_tenth_more_upstreams_move_a_tenth_of_the_chats(size):
    assert moved_fraction(size, size + size // 10) <= 1.5 / 11


def test_split_leaf_moves_half_of_its_chats():
    # The split of a leaf is the only change that moves more chats than
    # necessary.
    assert (
        moved_fraction(
            rendezvous.MAX_LEAF_UPSTREAMS, rendezvous.MAX_LEAF_UPSTREAMS + 1
        )
        <= 0.55
    )


@pytest.mark.parametrize('size', [59, 300, 1000])
def test_chats_are_spread_evenly(size):
    tree = rendezvous.RendezvousTree(instance_names(size))
    count = collections.Counter(
        tree.first(f'chat-{chat}') for chat in range(40 * size)
    )
    # The mean is 40; the bound is six standard deviations above it.
    assert max(count.values()) <= 40 + 6 * 40**0.5
    assert len(count) == size


def test_few_upstreams_are_in_plain_rendezvous_order():
    # Guards against a new order at existing sites: their chats would move
    # away from the upstreams that have their prompts cached.
    tree = rendezvous.RendezvousTree(instance_names(59))
    expected = hashing.rendezvous_order('chat-1', instance_names(59))
    assert list(tree.order('chat-1')) == expected


def test_sample_covers_few_upstreams_and_is_bounded_for_many():
    assert set(rendezvous.RendezvousTree(instance_names(59)).sample) == set(
        instance_names(59)
    )
    sample = rendezvous.RendezvousTree(instance_names(6100)).sample
    assert (
        rendezvous.MAX_LEAF_UPSTREAMS / 2
        <= len(sample)
        <= rendezvous.MAX_LEAF_UPSTREAMS
    )
