"""Whether a router notices that it connects to no upstream any more."""

from __future__ import annotations

import pytest
import trio

from lavenderbend.coordination.forwarding import reachability
from tests.logged import named


@pytest.fixture
def own(autojump_clock):
    return reachability.Reachability()


async def test_one_failed_upstream_is_not_a_lost_path(own, autojump_clock):
    own.note_failed('i-1', 'timeout')
    own.note_failed('i-1', 'timeout')
    assert not own.lost


async def test_lost_path_is_logged_with_what_tells_it_from_dead_upstreams(
    own, autojump_clock, lines
):
    own.fleet_size = lambda: 6
    own.store_age = lambda: 0.4
    own.note_connected()
    await trio.sleep(1.0)
    own.note_failed('i-1', 'timeout')
    own.note_failed('i-2', 'refused')
    own.note_failed('i-3', 'refused')
    assert own.lost
    (line,) = named(lines, 'upstreams_lost')
    assert line['causes'] == {'timeout': 1, 'refused': 1}
    assert line['upstreams'] == ['i-1', 'i-2']
    assert line['connected_before'] == 1.0
    assert (line['routers'], line['store_age']) == (6, 0.4)


async def test_any_connection_ends_a_lost_path(own, autojump_clock, lines):
    own.note_failed('i-1', 'timeout')
    await trio.sleep(0.5)
    own.note_failed('i-2', 'timeout')
    own.note_connected()
    own.note_connected()
    assert not own.lost
    (line,) = named(lines, 'upstreams_regained')
    assert (line['failed'], line['seconds']) == (2, 0.5)
