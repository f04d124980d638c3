"""What is measured of a fleet, one function a scenario."""

from __future__ import annotations

import time
from typing import Any
from typing import TYPE_CHECKING

import trio

from bench.fleet import loads as loads_lib
from bench.fleet import prompts as prompts_lib
from bench.fleet import world
from lavenderbend import registry
from lavenderbend.coordination.forwarding import crashes
from lavenderbend.coordination.forwarding import departures as departures_lib
from lavenderbend.coordination.forwarding import suspicions

if TYPE_CHECKING:
    from collections.abc import Callable

SCENARIOS: registry.Registry[Callable[[world.Fleet], Any]] = registry.Registry(
    'fleet scenario'
)
SAMPLE_SECONDS = 0.25
# part of the truth by which a count may differ
TOLERANCE = 0.05
SETTLE_SECONDS = 12.0
STEADY_SECONDS = 12.0
MOST_WAIT_SECONDS = 10.0
FINGERPRINT = 7
INSTANCES = ['i-00000001', 'i-00000002']
LEFT_AT_ONCE = 10
# a multiple of the usual requests
PROMPTS_RATE = 2.0


def right(fleet: world.Fleet) -> float:
    """Returns the part of the routers that count all, within a tolerance."""
    truth = len(fleet.routers)
    near = [
        size for size in fleet.sizes() if abs(size - truth) <= TOLERANCE * truth
    ]
    return len(near) / truth


async def watch(fleet: world.Fleet, seconds: float) -> dict[str, float]:
    """Returns how counts and the sum of repeats go for a while.

    Returns:
        `right_after`, the seconds until 99 in 100 count rightly and do so to
        the end, and `most_extra`, the most that all might repeat at once, in
        parts of what the fleet may.
    """
    begin = trio.current_time()
    right_since = None
    most = 0.0
    while trio.current_time() - begin < seconds:
        await trio.sleep(SAMPLE_SECONDS)
        most = max(most, fleet.extra() / world.REPEATS.extra)
        if right(fleet) < 0.99:
            right_since = None
        elif right_since is None:
            right_since = trio.current_time() - begin
    return {'right_after': right_since or -1.0, 'most_extra': most}


@SCENARIOS.register('start')
async def start(fleet: world.Fleet) -> dict[str, float]:
    """All routers start at once; one of three seeds is stale."""
    await fleet.start_all(list(range(fleet.size)))
    return await watch(fleet, SETTLE_SECONDS)


@SCENARIOS.register('steady')
async def steady(fleet: world.Fleet) -> dict[str, float]:
    """Nothing happens."""
    fleet.net.traffic = type(fleet.net.traffic)()
    reads = fleet.store.reads
    processor = time.process_time()
    most_age = 0.0
    begin = trio.current_time()
    least = 1.0
    while trio.current_time() - begin < STEADY_SECONDS:
        await trio.sleep(SAMPLE_SECONDS)
        ages = [one.snapshots.age for one in fleet.routers.values()]
        most_age = max(most_age, *ages)
        least = min(least, fleet.extra() / world.REPEATS.extra)
    traffic = fleet.net.traffic
    each = len(fleet.routers) * STEADY_SECONDS
    return {
        'reads_per_s': (fleet.store.reads - reads) / STEADY_SECONDS,
        'proof_age_most_s': most_age,
        'extra_least': least,
        'messages_per_s': sum(traffic.messages.values()) / each,
        'bytes_per_s': sum(traffic.size.values()) / each,
        'far_bytes_per_s': traffic.size['far'] / each,
        'largest_datagram': traffic.largest,
        'processor_ms_per_s': 1000 * (time.process_time() - processor) / each,
    }


async def until_most(
    fleet: world.Fleet, known: Callable[[world.Router], bool]
) -> float:
    """Returns the seconds until 99 in 100 routers know something."""
    begin = trio.current_time()
    while trio.current_time() - begin < MOST_WAIT_SECONDS:
        count = sum(bool(known(one)) for one in fleet.routers.values())
        if count >= 0.99 * len(fleet.routers):
            return trio.current_time() - begin
        await trio.sleep(0.05)
    return -1.0


@SCENARIOS.register('crash notice')
async def crash_notice(fleet: world.Fleet) -> float:
    """One router finds a request that upstreams died of."""
    first = next(iter(fleet.routers.values()))
    subject = crashes.fact_subject(FINGERPRINT)
    for instance in INSTANCES:
        first.peers.facts.add(crashes.DEATH, subject, instance, 60.0)
    return await until_most(
        fleet,
        lambda one: one.crashes.crashed_upstreams(FINGERPRINT) == INSTANCES,
    )


@SCENARIOS.register('suspicion')
async def suspicion(fleet: world.Fleet) -> float:
    """One router finds an upstream dead; 99 in 100 have heard of it."""
    first = next(iter(fleet.routers.values()))
    first.health.note_silent(INSTANCES[0])
    return await until_most(
        fleet,
        lambda one: one.peers.facts.current(suspicions.SUSPECTED, INSTANCES[0]),
    )


@SCENARIOS.register('departures')
async def departures(fleet: world.Fleet) -> float:
    """One router sees ten upstreams leave; 99 in 100 send them nothing."""
    first = next(iter(fleet.routers.values()))
    left = list(first.directory.candidates(world.SERVICE).by_name)
    del left[LEFT_AT_ONCE:]
    seconds = departures_lib.FACT_SECONDS
    for name in left:
        first.peers.facts.add(departures_lib.LEFT, name, '2', seconds)

    def none_used(one: world.Router) -> bool:
        used = one.directory.candidates(world.SERVICE).by_name
        return used.keys().isdisjoint(left)

    return await until_most(fleet, none_used)


@SCENARIOS.register('version')
async def version(fleet: world.Fleet) -> float:
    """A version is accepted; 99 in 100 routers serve by it."""
    fleet.store.put(2)
    return await until_most(fleet, lambda one: one.snapshots.table.version == 2)


@SCENARIOS.register('loads')
async def loads(fleet: world.Fleet) -> dict[str, float]:
    """Requests come and go; how well are upstreams' loads known?"""
    return await loads_lib.measure(fleet)


@SCENARIOS.register('prompts by hashes')
async def prompts_by_hashes(fleet: world.Fleet) -> dict[str, Any]:
    """Twice the usual prompts come while no engine holds any."""
    return await prompts_lib.measure(fleet, False, PROMPTS_RATE)


@SCENARIOS.register('prompts by owners')
async def prompts_by_owners(fleet: world.Fleet) -> dict[str, Any]:
    """The same, and the owners of upstreams are asked."""
    return await prompts_lib.measure(fleet, True, PROMPTS_RATE)


@SCENARIOS.register('one-way cut')
async def one_way_cut(fleet: world.Fleet) -> dict[str, float]:
    """Nothing leaves one zone for eight seconds, though all reaches it."""
    zones = fleet.net.zones

    def cut(source: str, target: str) -> bool:
        return zones[source] == 'zone-1' and zones[target] != 'zone-1'

    fleet.net.cut = cut
    during = await watch(fleet, 8.0)
    fleet.net.cut = lambda source, target: False
    after = await watch(fleet, 8.0)
    return {
        'most_extra': max(during['most_extra'], after['most_extra']),
        'right_after_heal': after['right_after'],
    }


@SCENARIOS.register('half killed')
async def half_killed(fleet: world.Fleet) -> dict[str, float]:
    """Half of the routers die at once, and are started anew later."""
    numbers = fleet.rng.sample(sorted(fleet.routers), fleet.size // 2)
    for number in numbers:
        fleet.end(number)
    gone = await watch(fleet, 10.0)
    await fleet.start_all(numbers)
    back = await watch(fleet, 8.0)
    return {
        'right_after': gone['right_after'],
        'right_after_return': back['right_after'],
        'most_extra': max(gone['most_extra'], back['most_extra']),
    }


@SCENARIOS.register('all killed')
async def all_killed(fleet: world.Fleet) -> dict[str, float]:
    """All die at once and start again."""
    for number in sorted(fleet.routers):
        fleet.end(number)
    await trio.sleep(1.0)
    await fleet.start_all(list(range(fleet.size)))
    begin = trio.current_time()
    known = await until_most(fleet, lambda one: one.snapshots.table is not None)
    ready = known + trio.current_time() - begin
    return {'table_after': ready, **await watch(fleet, 8.0)}
