"""What routers believe after one of them stood still and missed messages."""

from __future__ import annotations

import pytest
import trio

from lavenderbend.coordination.forwarding import crashes
from lavenderbend.coordination.forwarding import members as members_module
from lavenderbend.coordination.forwarding import suspicions
from lavenderbend.protocol import messages_forwarding
from tests import version_fleet

FINGERPRINT = 7
SUBJECT = crashes.fact_subject(FINGERPRINT)


class Standstill:
    """A fleet of one zone, one of whose routers stands still."""

    def __init__(self, nursery):
        self.fleet = version_fleet.Fleet(nursery, zones=('sala-a',))
        self.hosts = list(self.fleet.zone_of)
        self.still = self.hosts[-1]

    async def start(self):
        for name in ('e1', 'e2'):
            self.fleet.add_engine(name, 'v1')
        self.fleet.start_routers()
        await self.fleet.ready()
        await trio.sleep(5.0)

    def facts(self, number):
        return self.fleet.routers[self.hosts[number]].peers.facts

    def lose_messages(self):
        """Has the router that stands still get no further messages."""
        self.fleet.cut = lambda source, target: target == self.still

    def heal(self):
        self.fleet.cut = lambda source, target: False

    def routers_with(self, kind, subject):
        return [
            host
            for host, router in self.fleet.routers.items()
            if router.peers.facts.current(kind, subject)
        ]


@pytest.fixture
async def play(nursery):
    return Standstill(nursery)


@pytest.mark.parametrize('seconds', [1.0, 2.4, 3.5])
async def test_request_cleared_during_a_standstill_stays_cleared(
    play, autojump_clock, seconds
):
    # Guards against refusing a request at all routers that has succeeded.
    await play.start()
    play.fleet.pause(play.still, seconds)
    for engine in ('e1', 'e2'):
        play.facts(0).add(crashes.DEATH, SUBJECT, engine, 120.0)
    await trio.sleep(0.3 * seconds)
    assert len(play.routers_with(crashes.DEATH, SUBJECT)) == 5
    play.lose_messages()
    play.facts(1).add(crashes.CLEARED, SUBJECT, 'cleared', 120.0)
    await trio.sleep(0.6 * seconds)
    play.heal()
    for _ in range(10):
        await trio.sleep(0.5)
        refusing = [
            host
            for host, router in play.fleet.routers.items()
            if router.crashes.crashed_upstreams(FINGERPRINT)
        ]
        # until it hears more, that router knows only of the crashes
        assert set(refusing) <= {play.still}
    assert refusing == []


async def test_suspicion_lasts_no_longer_for_a_standstill(play, autojump_clock):
    # Guards against avoiding an upstream at all routers once more.
    await play.start()
    play.fleet.pause(play.still, 2.4)
    play.facts(0).add(suspicions.SUSPECTED, 'e1', 'router', 2.0)
    await trio.sleep(2.1)
    for _ in range(20):
        assert play.routers_with(suspicions.SUSPECTED, 'e1') == []
        await trio.sleep(0.1)


@pytest.mark.parametrize('seconds', [1.0, 3.5, 20.0])
async def test_share_of_the_retries_does_not_grow_by_a_standstill(
    play, autojump_clock, seconds
):
    # Guards against routers that each take the others for gone and retry alone.
    await play.start()
    autojump_clock.jump(seconds)
    for _ in range(20):
        for router in play.fleet.routers.values():
            assert router.peers.budget_divisor() == len(play.hosts)
        await trio.sleep(0.1)


def message(sent_at, incarnation=1):
    """Returns a message of another router."""
    return messages_forwarding.RouterState(
        name='r2',
        incarnation=incarnation,
        host='10.0.0.2',
        zone='sala-a',
        leaving=False,
        reply_requested=False,
        sent_at=sent_at,
        echo_incarnation=0,
        echo_at=None,
        echo_delay=0.0,
        proof_age=None,
        revision=0,
        digest=0,
    )


@pytest.mark.parametrize('ahead', [-1e6, 0.0, 1e6])
async def test_wait_of_a_message_is_told_from_clocks_that_differ(
    autojump_clock, ahead
):
    # Guards against taking the distance of two clocks for a wait.
    members = members_module.Members(
        '10.0.0.1', 'sala-a', [], trio.current_time
    )

    def receive(transit, incarnation=1):
        sent_at = trio.current_time() + ahead - transit
        state = message(sent_at, incarnation)
        members.note(state)
        return members.waited(state)

    assert receive(0.004) == 0.0
    await trio.sleep(0.1)
    assert receive(0.001) == 0.0
    await trio.sleep(3.0)
    assert receive(2.5) == pytest.approx(2.5, abs=0.01)
    assert receive(0.001) == pytest.approx(0.0, abs=0.01)
    await trio.sleep(0.1)
    assert receive(0.3, incarnation=2) == 0.0


async def test_clock_of_a_sender_that_runs_slower_is_no_wait(autojump_clock):
    # Guards against facts that seem older the longer routers run.
    members = members_module.Members(
        '10.0.0.1', 'sala-a', [], trio.current_time
    )
    started = trio.current_time()
    for _ in range(1000):
        await trio.sleep(10.0)
        state = message(0.9995 * (trio.current_time() - started))
        members.note(state)
        assert members.waited(state) < 0.01
