"""Upstreams that leave get nothing new, whoever found out."""

from __future__ import annotations

import itertools

import pytest
import trio

from lavenderbend import errors
from tests import forwarding_fakes as fakes
from tests.test_coordination import test_forwarding_peers as peer_fleets

HOSTS = peer_fleets.HOSTS
# from the store's word on; the fleets here are told to apply versions within it
LEAVE_SECONDS = 2.0


@pytest.fixture
async def fleet(nursery, autojump_clock):
    found = peer_fleets.Fleet(nursery)
    await trio.sleep(5.0)
    return found


def slow(node, is_slow=True):
    """Has all that holds the configuration come too late at one router."""
    cause = errors.KeyValueUnavailable('TooSlowError')
    node.source.error = cause if is_slow else None
    node.link.too_slow = is_slow


async def put_versions(fleet, *found, seconds):
    """Puts a new version of the configuration each 0.7 seconds."""
    end = trio.current_time() + seconds
    revision = fleet.content.revision
    for number in itertools.count(revision + 1):
        fleet.put(fakes.snapshot(number, fakes.table(number), *found))
        if trio.current_time() + 0.7 > end:
            break
        await trio.sleep(0.7)
    await trio.sleep(end - trio.current_time())


def names(node):
    return sorted(one.instance for one in node.directory.of('chat'))


@pytest.mark.parametrize('says_so', [True, False])
async def test_router_whose_reads_are_slow_hears_who_left(
    fleet, autojump_clock, says_so
):
    # guards against sending to what left, known to all but one router
    node = fleet.routers[HOSTS[3]]
    slow(node)
    both = fakes.upstream('e1'), fakes.upstream('e2')
    await put_versions(fleet, *both, seconds=2.0)
    e1 = [fakes.upstream('e1', leaving=True)] if says_so else []
    await put_versions(fleet, *e1, both[1], seconds=LEAVE_SECONDS)
    assert names(node) == ['e2']


async def test_what_left_is_no_lapse_for_a_router_whose_reads_were_slow(
    fleet, autojump_clock
):
    # guards against taking a slow router for a store that was away
    node = fleet.routers[HOSTS[3]]
    slow(node)
    both = fakes.upstream('e1'), fakes.upstream('e2')
    await put_versions(fleet, *both, seconds=2.5)
    await put_versions(fleet, both[1], seconds=1.0)
    slow(node, False)
    await put_versions(fleet, both[1], seconds=1.0)
    assert names(node) == ['e2']
