"""Streams whose rule goes to other services while they run."""

from __future__ import annotations

import pytest
import trio

from tests import forwarding_fakes as fakes
from tests import version_fleet

LOAD_SECONDS = 10.0
CHANGED_AFTER_SECONDS = 5.0


def rule(**weights):
    pools = tuple(
        version_fleet.forwarding.PoolShare(name, weight)
        for name, weight in weights.items()
    )
    return fakes.rule(
        streaming=True,
        resumable=True,
        public=True,
        attempts=3,
        timeout=8.0,
        pools=pools,
    )


CHANGES = {
    'moved': (rule(chat=1.0), rule(other=1.0)),
    'split': (rule(chat=1.0), rule(chat=1.0, other=1.0)),
    'weights': (rule(chat=1.0, other=1.0), rule(chat=1.0, other=9.0)),
    'joined': (rule(chat=1.0, other=1.0), rule(other=1.0)),
}


async def play(before, after, seed, routers=6):
    """Returns the fleet after a load amid which the rule was changed."""
    async with trio.open_nursery() as nursery:
        fleet = await version_fleet.start_two_services(
            nursery, before, routers=routers, seed=seed
        )
        # until the store says that each service runs one version
        await trio.sleep(14.0)
        fleet.leave_fraction = 0.5

        async def change():
            await trio.sleep(CHANGED_AFTER_SECONDS)
            fleet.store.table = fakes.table(2, (after,), ())
            fleet.store.refresh()

        nursery.start_soon(change)
        await fleet.load(LOAD_SECONDS)
        nursery.cancel_scope.cancel()
    return fleet


@pytest.mark.parametrize('seed', [1, 2, 3])
@pytest.mark.parametrize('way', sorted(CHANGES))
async def test_no_stream_goes_on_at_another_service(autojump_clock, way, seed):
    """Guards against the events of two services in one stream."""
    fleet = await play(*CHANGES[way], seed)
    assert not fleet.mixed()
    assert not any(
        version_fleet.numbered_wrongly(stream) for stream in fleet.streams
    )
    begun = {one for stream in fleet.streams for one in stream.versions}
    assert begun == {'v1', 'v1 of the other'}
    # where the former service is left, its streams cannot go on
    left = way in ('moved', 'joined')
    tries = taken_up(fleet, {'v1 of the other'} if left else begun)
    assert len(tries) >= 6
    assert sum(one.went_on for one in tries) >= 0.9 * len(tries)


def taken_up(fleet, versions):
    """Returns the tries that take up streams of some versions."""
    return [
        one
        for stream in fleet.streams
        if stream.versions <= versions
        for one in stream.tries
        if one.takes_up
    ]


async def test_streams_begun_after_a_move_are_taken_up(autojump_clock):
    """Guards against refusals of what the new service itself began."""
    fleet = await play(*CHANGES['moved'], seed=1, routers=18)
    tries = taken_up(fleet, {'v1 of the other'})
    assert len(tries) >= 12
    assert all(one.went_on for one in tries)
