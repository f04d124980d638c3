"""Requests to cold upstreams stay within what they tolerate."""

from __future__ import annotations

import pytest
import trio

from lavenderbend.coordination.forwarding.warm_up import rate_shares
from lavenderbend.protocol import messages_forwarding
from tests import cold_start_fleet as fleets

LIMIT = fleets.LIMIT
# Time in which routers discover each other.
START_SECONDS = 4.5
# Least fraction of the allowed rate that is used while nothing fails.
MIN_USED_FRACTION = 0.7


async def half_killed(fleet):
    """Half of the routers are killed and start again."""
    killed = fleet.rng.sample(fleet.hosts, len(fleet.hosts) // 2)
    for host in killed:
        fleet.kill(host)
    await trio.sleep(fleet.rng.uniform(0.0, 3.5))
    survivors = list(fleet.processes)
    fleet.set_views(lambda host: survivors)
    await trio.sleep(fleet.rng.uniform(0.0, 2.0))
    for host in killed:
        fleet.start(host)
    await discover(fleet)


async def all_restarted(fleet):
    """All routers are killed at once, and discover each other again."""
    for host in fleet.hosts:
        fleet.kill(host)
    await trio.sleep(fleet.rng.uniform(0.2, 1.0))
    for host in fleet.hosts:
        fleet.start(host)
    await discover(fleet)


async def discover(fleet):
    """Lets routers learn of more and more others."""
    for fraction in (0.2, 0.5, 0.8, 1.0):
        await trio.sleep(fleet.rng.uniform(0.1, 0.4))
        fleet.set_random_views(fraction)
    await trio.sleep(START_SECONDS)


async def cut_one_way(fleet):
    """Messages from one half to the other are lost, then vice versa."""
    half = set(fleet.rng.sample(fleet.hosts, len(fleet.hosts) // 2))
    fleet.cut = lambda source, target: source in half and target not in half
    await trio.sleep(fleet.rng.uniform(0.0, 3.0))
    fleet.set_views(
        lambda host: fleet.hosts if host in half else set(fleet.hosts) - half
    )
    await trio.sleep(2.5)
    fleet.cut = lambda source, target: source not in half and target in half
    fleet.set_views(lambda host: fleet.hosts if host not in half else half)
    await trio.sleep(2.5)


async def views_wrong_by_half(fleet):
    """Each router believes that another half of the others is alive."""
    for _ in range(8):
        fleet.set_random_views(0.5)
        await trio.sleep(fleet.rng.uniform(0.05, 1.0))


async def suspended(fleet):
    """Routers are suspended and resume with messages that waited."""
    for _ in range(3):
        for process in fleet.processes.values():
            if fleet.rng.random() < 0.3:
                seconds = fleet.rng.uniform(0.1, 3.0)
                process.suspended_until = trio.current_time() + seconds
        fleet.set_random_views(0.67)
        await trio.sleep(1.5)


FAULTS = [
    half_killed,
    all_restarted,
    cut_one_way,
    views_wrong_by_half,
    suspended,
]


async def play(nursery, size, seed, faults):
    fleet = fleets.Fleet(nursery, size, seed)
    await trio.sleep(START_SECONDS)
    for fault in faults:
        await fault(fleet)
    return fleet


# One zone of 7, 82 and 200 routers in three, three and five zones.
@pytest.mark.parametrize('fault', FAULTS)
@pytest.mark.parametrize(
    ('size', 'seed'),
    [
        (size, seed)
        for size, seeds in ((3, 6), (28, 3), (40, 1))
        for seed in range(seeds)
    ],
)
async def test_cold_upstream_gets_no_more_than_it_tolerates(
    nursery, autojump_clock, size, seed, fault
):
    # Guards against routers that disagree on the owner of a cold upstream.
    fleet = await play(nursery, size, seed, [fault])
    assert fleet.most_in_a_second() <= LIMIT


@pytest.mark.parametrize('seed', range(10))
async def test_limit_holds_when_faults_come_together(
    nursery, autojump_clock, seed
):
    fleet = await play(
        nursery, 7, seed, FAULTS[seed % 5 :] + FAULTS[: seed % 5]
    )
    assert fleet.most_in_a_second() <= LIMIT


@pytest.mark.parametrize('size', [1, 3, 28])
async def test_allowed_rate_is_used_while_nothing_fails(
    nursery, autojump_clock, size
):
    # Guards against a limit so careful that upstreams that start are idle.
    fleet = await play(nursery, size, 1, [])
    fleet.connect_seconds = (0.002,)
    begin = trio.current_time()
    await trio.sleep(5.0)
    for times in fleet.sent.values():
        used = sum(at >= begin for at in times) / (5.0 * LIMIT)
        assert used >= MIN_USED_FRACTION
    assert fleet.most_in_a_second() <= LIMIT


GUARDS = [
    # A share is lent to another owner while permits of the first are used.
    ('SEPARATION_SECONDS', 0.0, [views_wrong_by_half]),
    # An owner counts on shares that were lent to another one meanwhile.
    ('LOAN_SECONDS', 1000.0, [cut_one_way, cut_one_way]),
    # Requests are sent long after they were permitted.
    ('PERMIT_SECONDS', 5.0, []),
]


@pytest.mark.parametrize(('name', 'value', 'faults'), GUARDS)
async def test_each_guard_of_the_limit_is_needed(
    nursery, autojump_clock, monkeypatch, name, value, faults
):
    # Guards against checks that would pass without the guard.
    monkeypatch.setattr(rate_shares, name, value)
    fleet = await play(nursery, 28, 3, faults)
    await trio.sleep(2.0)
    assert fleet.most_in_a_second() > LIMIT


async def test_zones_that_do_not_know_each_other_share_the_rate(
    nursery, autojump_clock
):
    # Guards against a router that was restarted during a cut between zones and
    # takes an upstream's zone for one that never had routers.
    fleet = fleets.Fleet(nursery, 2, 1)
    owner, elsewhere = (process.starts for process in fleet.processes.values())
    elsewhere.peers.zone = 'sala-b'
    owner.zones = elsewhere.zones = 2
    (upstream, *_) = fleet.instances
    request = messages_forwarding.ColdStartRequest(
        1, '10.0.0.9', upstream, fleets.ZONE
    )
    assert owner.limit(request) + elsewhere.limit(request) <= LIMIT
