"""Choice of the least loaded upstream."""

from __future__ import annotations

import random

import pytest
import trio

from bench.fleet import world
from lavenderbend.coordination.forwarding import choice
from lavenderbend.state import hashing


def expected(chooser, candidates, tie_break):
    """Returns the first upstream by busy, remote, load and hash."""

    def rank(one):
        utilization = chooser.loads.load(one.instance) / one.slots
        return (
            utilization >= choice.BUSY_FRACTION,
            utilization < 1.0 and chooser.in_other_zone(one),
            utilization,
            hashing.hash64(tie_break, one.instance),
        )

    return min(candidates, key=rank).instance


@pytest.mark.parametrize('requests', [0, 10, 200, 1000, 2000])
async def test_equally_loaded_upstreams_are_ordered_by_hash(
    nursery, autojump_clock, requests
):
    # Hashes are computed for equally loaded upstreams only; the choice must
    # not depend on the order in which the upstreams are looked at, and loads
    # that have expired must not count.
    fleet = world.make(nursery, 1, engines=40)
    fleet.start(0)
    await trio.sleep(1.0)
    router = fleet.routers[0]
    names = sorted(fleet.store.content.upstreams)
    rng = random.Random(requests)
    for name in names[::3]:
        router.loads.note_report(name, b'30,2,32')
    await trio.sleep(2.5)
    for _ in range(requests):
        router.loads.begin(rng.choice(names))
    chooser = choice.Chooser(
        router.zone, router.directory, router.health, router.loads, 2.0
    )
    candidates = router.directory.candidates(world.SERVICE).by_name.values()
    for number in range(200):
        chosen = chooser.choose(
            world.SERVICE, choice.RequestPrompt(), (), f'{number}'
        )
        assert chosen.upstream.instance == expected(
            chooser, candidates, f'{number}'
        )
