from __future__ import annotations

import trio

from bench.peers import fleets


async def test_fleet_sees_itself(nursery, autojump_clock):
    fleet = await fleets.make_fleet(nursery, 6, engines=5)

    for member in fleet.members.values():
        assert len(member.routers()) == 6
        assert len(member.upstreams('assistant')) == 5
    assert len(fleet.using('engine-0000')) == 6


async def test_draining_engine_leaves_every_view_within_two_seconds(
    nursery, autojump_clock
):
    # an engine begins to drain and says so in its load report, which one or
    # two routers poll. The VM list shows it 10 s later. Until all routers
    # know, some go on sending it new work that it will cut off.
    fleet = await fleets.make_fleet(nursery, 24, engines=5, lag=10.0)
    await trio.sleep(3)
    fleet.engines['engine-0002'].draining = True

    await trio.sleep(2)

    assert fleet.using('engine-0002') == []
    assert len(fleet.using('engine-0001')) == 24


async def test_dead_router_leaves_every_view(nursery, autojump_clock):
    fleet = await fleets.make_fleet(nursery, 6)
    fleet.end('router-002')

    await trio.sleep(10)

    assert fleet.believing('router-002') == []
    assert len(fleet.believing('router-001')) == 5
