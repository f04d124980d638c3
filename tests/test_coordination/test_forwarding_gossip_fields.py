"""Fields of gossip that are computed once for several receivers."""

from __future__ import annotations

import pytest
import trio

from bench.fleet import world


@pytest.mark.parametrize('zones', [1, 5, 8])
async def test_shared_fields_are_those_of_each_message(
    nursery, autojump_clock, zones
):
    # With many zones each message names some of them, drawn for each receiver;
    # fields shared among receivers would always name the same ones.
    fleet = world.make(nursery, 24, zones, engines=12)
    await fleet.start_all(list(range(24)))
    await trio.sleep(3.0)
    for router in fleet.routers.values():
        router.loads.begin('i-00000003')
        router.loads.note_report('i-00000004', b'3,1,32')
        peers = router.peers
        common = peers.common_fields(same_zone=True)
        for other in fleet.routers.values():
            if other is router:
                continue
            drawn = peers.rng.getstate()
            shared = peers.full_state(other.host, common=common)
            after = peers.rng.getstate()
            peers.rng.setstate(drawn)
            assert peers.full_state(other.host) == shared
            assert peers.rng.getstate() == after
