"""Places of chats among few and among thousands of upstreams."""

from __future__ import annotations

import collections

import pytest

from lavenderbend.coordination.forwarding import places
from lavenderbend.state import hashing

SIZES = (1, 2, 5, 59, places.MAX_GROUP, places.MAX_GROUP + 1, 1000, 6100)
CHATS = 2000


def names(count):
    return [f'i-{number:08x}' for number in range(count)]


def first_places(found):
    return [found.first(f'chat-{chat}') for chat in range(CHATS)]


@pytest.mark.parametrize('size', SIZES)
def test_each_chat_has_each_upstream_once_in_its_order(size):
    found = places.Places(names(size))
    order = list(found.order('chat-1'))
    assert sorted(order) == sorted(names(size))
    assert order[0] == found.first('chat-1')
    assert order != sorted(order) or size < 3


def test_no_upstreams_have_no_place():
    assert places.Places(()).first('chat-1') is None


@pytest.mark.parametrize('size', [59, 400, 1000, 6100])
def test_upstream_that_goes_moves_few_chats_but_its_own(size):
    before = first_places(places.Places(names(size)))
    after = first_places(places.Places(names(size)[1:]))
    gone = names(size)[0]
    moved = [
        one
        for one, other in zip(before, after, strict=True)
        if one not in (other, gone)
    ]
    # one in a hundred may change its half with the halves' sizes
    assert len(moved) <= CHATS / 100


def moved_part(before, after):
    found = zip(
        first_places(places.Places(names(before))),
        first_places(places.Places(names(after))),
        strict=True,
    )
    return sum(one != other for one, other in found) / CHATS


@pytest.mark.parametrize('size', [50, 300, 700])
def test_tenth_more_upstreams_take_a_tenth_of_the_chats(size):
    assert moved_part(size, size + size // 10) <= 1.5 / 11


def test_group_that_is_parted_moves_half_of_its_chats():
    # the one step at which more chats move than must
    assert moved_part(places.MAX_GROUP, places.MAX_GROUP + 1) <= 0.55


@pytest.mark.parametrize('size', [59, 300, 1000])
def test_chats_are_spread_evenly(size):
    found = places.Places(names(size))
    count = collections.Counter(
        found.first(f'chat-{chat}') for chat in range(40 * size)
    )
    # 40 each; six standard deviations above
    assert max(count.values()) <= 40 + 6 * 40**0.5
    assert len(count) == size


def test_few_upstreams_are_ordered_as_before():
    # chats of the sites there are keep the places that their caches have
    found = places.Places(names(59))
    expected = hashing.rendezvous_order('chat-1', names(59))
    assert list(found.order('chat-1')) == expected


def test_sample_is_of_all_parts():
    assert set(places.Places(names(59)).sample) == set(names(59))
    sample = places.Places(names(6100)).sample
    assert places.MAX_GROUP / 2 <= len(sample) <= places.MAX_GROUP
