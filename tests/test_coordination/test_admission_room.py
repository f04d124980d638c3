"""Whether a request fits at an upstream."""

from __future__ import annotations

import pytest

from lavenderbend.coordination.forwarding.admission import demand as demands
from lavenderbend.coordination.forwarding.admission import room as rooms

Shortage = rooms.Shortage


def need(tokens, own_tokens=500, chat=1, output_tokens=0):
    return demands.Demand(tokens, own_tokens, output_tokens, chat)


@pytest.fixture
def room():
    return rooms.Room()


def add(room, needed, unread=None):
    unread = needed.tokens if unread is None else unread
    number = len(room.counted)
    room.counted['h', number] = rooms.count(needed, unread, 15.0, 0.0)


def shortage(room, needed, unread=None, max_load=0, now=0.0):
    unread = needed.tokens if unread is None else unread
    occupancy = room.occupancy(len(room), now)
    return room.shortage(occupancy, needed, unread, max_load)


def test_full_upstream_lacks_requests(room):
    add(room, need(0, 0, 0))
    assert shortage(room, need(0, 0, 0), max_load=2) is Shortage.NONE
    add(room, need(0, 0, 0))
    assert shortage(room, need(0, 0, 0), max_load=2) is Shortage.REQUESTS


@pytest.mark.parametrize(
    ('tokens', 'short'), [(4000, Shortage.NONE), (4001, Shortage.READING)]
)
def test_cold_prompts_share_the_limit(room, tokens, short):
    # Two or three long prompts pause all streams for more than 500 ms.
    add(room, need(6000))
    assert shortage(room, need(tokens, chat=2)) is short


def test_longest_prompt_is_read_alone(room):
    # It would never be granted if the limit applied to it.
    assert shortage(room, need(30_000)) is Shortage.NONE
    add(room, need(1500, chat=2))
    assert shortage(room, need(30_000)) is Shortage.READING


def test_light_prompts_neither_wait_nor_are_waited_for(room):
    for chat in range(2, 22):
        add(room, need(rooms.LIGHT_TOKENS, chat=chat))
    assert shortage(room, need(30_000)) is Shortage.NONE
    add(room, need(30_000))
    assert shortage(room, need(rooms.LIGHT_TOKENS, chat=30)) is Shortage.NONE


def test_chat_being_read_is_waited_for(room):
    add(room, need(4000))
    assert shortage(room, need(4000)) is Shortage.CHAT
    assert shortage(room, need(4000, chat=2)) is Shortage.NONE
    # Waiting would save nothing: the prompts have little in common.
    assert shortage(room, need(4000, own_tokens=3500)) is Shortage.NONE


def test_processed_prompt_takes_no_room(room):
    add(room, need(9000))
    room.counted['h', 0].unread = 0
    assert shortage(room, need(9000)) is Shortage.NONE


def test_reading_expires(room):
    # Both notes of its end were lost.
    add(room, need(9000))
    assert shortage(room, need(9000), now=1.4) is Shortage.CHAT
    now = rooms.READING_SECONDS
    assert shortage(room, need(9000), now=now) is Shortage.NONE


def test_memory_counts_shared_part_once(room):
    add(room, need(9000, output_tokens=500), unread=0)
    assert shortage(room, need(9000), unread=500) is Shortage.NONE
    room.memory_tokens = 10_500
    fits = need(9000, own_tokens=500, output_tokens=500)
    assert shortage(room, fits, unread=500) is Shortage.NONE
    larger = need(9001, own_tokens=501, output_tokens=500)
    assert shortage(room, larger, unread=501) is Shortage.MEMORY
    other = need(9000, chat=2, output_tokens=500)
    assert shortage(room, other, unread=500) is Shortage.MEMORY


def test_request_larger_than_the_memory_is_sent_alone(room):
    # The capacity may be wrong; the request would never be sent.
    room.memory_tokens = 1000
    assert shortage(room, need(9000)) is Shortage.NONE
