"""Plays of routers before engines of several software versions.

`python -m tests.version_plays [ROUTERS] [NAME...]` prints a table of them.
"""

from __future__ import annotations

import functools
import sys

import attrs
import trio

from lavenderbend import registry
from lavenderbend.state import upstreams
from tests import plays
from tests import version_fleet

SECONDS = 14.0
FAULT_SECONDS = 1.5
TWO_VERSIONS = {'e1': 'v1', 'e2': 'v1', 'e3': 'v1.1', 'e4': 'v1.1'}
ONE_VERSION = dict.fromkeys(TWO_VERSIONS, 'v1')
# Time after which the versions of a new service are recorded.
RECORDED_SECONDS = 4.0
# From the loss of the store to the start of a second version.
UNSEEN_SECONDS = 0.3
STANDSTILL_SECONDS = 2.4
# Time after a standstill until the store is reached.
AFTERWARDS_SECONDS = 0.5
CUT_SECONDS = 3.0
OUTAGE_SECONDS = 8.0
# From the cut of a router to the end of a second version.
SHORT_SECONDS = 2.1


@attrs.frozen
class Play:
    """One kind of play.

    Attributes:
        faults: Brings the faults while the load runs.
        engines: Versions of the engines at its start.
        before_seconds: Time before the load begins.
    """

    faults: object
    engines: dict
    before_seconds: float = 0.0


PLAYS = registry.Registry('kind of play')


def play(engines=TWO_VERSIONS, before_seconds=0.0):
    def decorate(faults):
        entry = Play(faults, engines, before_seconds)
        PLAYS.register(faults.__name__)(entry)
        return faults

    return decorate


@play()
async def crash_some(fleet):
    for engine in fleet.engines.values():
        engine.break_fraction = 0.3


@play()
async def leave_often(fleet):
    fleet.leave_fraction = 0.5


@play()
async def leave_after_the_first_event(fleet):
    fleet.leave_fraction = 0.5
    fleet.leave_at_most = 1


@play()
async def kill_routers(fleet):
    fleet.leave_fraction = 0.2
    while True:
        await trio.sleep(FAULT_SECONDS)
        await fleet.restart(fleet.rng.choice(list(fleet.routers)))


@play()
async def kill_half(fleet):
    fleet.leave_fraction = 0.2
    while True:
        await trio.sleep(2 * FAULT_SECONDS)
        await kill_some(fleet, len(fleet.zone_of) // 2)


async def kill_some(fleet, count):
    hosts = fleet.rng.sample(sorted(fleet.routers), count)
    async with trio.open_nursery() as nursery:
        for host in hosts:
            nursery.start_soon(fleet.restart, host)


@play(TWO_VERSIONS, RECORDED_SECONDS)
async def restart_all_while_settled(fleet):
    fleet.leave_fraction = 0.2
    await trio.sleep(SECONDS / 2)
    await kill_some(fleet, len(fleet.zone_of))


@play(ONE_VERSION, RECORDED_SECONDS)
async def restart_all_of_one_version(fleet):
    await restart_all_while_settled(fleet)


@play(TWO_VERSIONS, RECORDED_SECONDS)
async def restart_all_while_engines_change(fleet):
    """Draws are void where an engine came or went a moment before."""
    fleet.leave_fraction = 0.2
    await trio.sleep(SECONDS / 2 - 2.0)
    fleet.crash_engine('e1', 0.5)
    fleet.add_engine('n1', 'v1.1')
    await trio.sleep(2.0)
    await kill_some(fleet, len(fleet.zone_of))


@play(TWO_VERSIONS, RECORDED_SECONDS)
async def restart_all_while_overloaded(fleet):
    """Streams begin elsewhere than drawn while a version is full."""
    fleet.leave_fraction = 0.2
    fleet.full_from = trio.current_time() + SECONDS / 2 - 3.0
    await trio.sleep(SECONDS / 2)
    await kill_some(fleet, len(fleet.zone_of))


@play(TWO_VERSIONS, RECORDED_SECONDS)
async def cut_off_router_killed_while_unsettled(fleet):
    fleet.add_engine('n1', 'v1.1')
    await cut_off_router_killed(fleet)


@play()
async def pause_routers(fleet):
    fleet.leave_fraction = 0.2
    while True:
        await trio.sleep(FAULT_SECONDS)
        fleet.pause(fleet.rng.choice(list(fleet.routers)), 1.0)


@play()
async def cut_zones(fleet):
    """A zone hears no other for two seconds, then the next one."""
    fleet.leave_fraction = 0.4
    zone_of = fleet.zone_of
    while True:
        for zone in fleet.zones:
            fleet.cut = lambda a, b, zone=zone: (
                (zone_of[a] == zone) != (zone_of[b] == zone)
            )
            await trio.sleep(2.0)
            fleet.cut = lambda a, b: False
            await trio.sleep(FAULT_SECONDS)


@play(TWO_VERSIONS, RECORDED_SECONDS)
async def cut_off_router_killed(fleet):
    """A router hears no other for a second, and is killed at its end."""
    fleet.leave_fraction = 0.2
    while True:
        await trio.sleep(FAULT_SECONDS)
        host = fleet.rng.choice(list(fleet.routers))
        fleet.cut = lambda a, b, host=host: host in (a, b)
        await trio.sleep(1.0)
        fleet.cut = lambda a, b: False
        await fleet.restart(host)


@play()
async def lose_messages(fleet):
    fleet.leave_fraction = 0.4
    fleet.loss = 0.2
    await kill_routers(fleet)


@play()
async def replace_engines(fleet):
    """A release: engines of a third version take the place of the others."""
    fleet.leave_fraction = 0.2
    for number, name in enumerate(list(fleet.engines)):
        await trio.sleep(FAULT_SECONDS)
        fleet.add_engine(f'n{number}', 'v2')
        await trio.sleep(0.5)
        fleet.crash_engine(name, 0.5)


@play(ONE_VERSION, RECORDED_SECONDS)
async def second_version_comes(fleet):
    """Streams began while nothing was told, and are taken up afterwards."""
    fleet.leave_fraction = 0.5
    await trio.sleep(SECONDS / 2)
    for number in range(4):
        fleet.add_engine(f'n{number}', 'v2')


@play(ONE_VERSION, RECORDED_SECONDS)
async def second_version_comes_and_routers_die(fleet):
    fleet.leave_fraction = 0.3
    await trio.sleep(2 * FAULT_SECONDS)
    fleet.nursery.start_soon(kill_routers, fleet)
    await trio.sleep(2 * FAULT_SECONDS)
    for number in range(4):
        fleet.add_engine(f'n{number}', 'v2')


async def second_version_comes_unseen(fleet, hosts, store_seconds):
    """A second version joins a moment after routers have lost the store."""
    fleet.leave_fraction = 0.6
    fleet.leave_at_most = 8
    await trio.sleep(FAULT_SECONDS)
    fleet.cut_from_store |= set(hosts)
    await trio.sleep(UNSEEN_SECONDS)
    for number in range(4):
        fleet.add_engine(f'n{number}', 'v2')
    fleet.return_hosts = tuple(sorted(hosts))
    await trio.sleep(store_seconds - UNSEEN_SECONDS)
    fleet.cut_from_store.clear()
    fleet.return_hosts = ()


def some_routers(fleet):
    """Returns half of the routers, one or more of each zone."""
    return sorted(fleet.zone_of)[: len(fleet.zone_of) // 2]


@play(ONE_VERSION, RECORDED_SECONDS)
async def second_version_comes_to_routers_standing_still(fleet):
    """They run again before they reach the store."""
    hosts = some_routers(fleet)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            second_version_comes_unseen,
            fleet,
            hosts,
            STANDSTILL_SECONDS + AFTERWARDS_SECONDS,
        )
        await trio.sleep(FAULT_SECONDS)
        for host in hosts:
            fleet.pause(host, STANDSTILL_SECONDS)


@play(ONE_VERSION, RECORDED_SECONDS)
async def second_version_comes_to_routers_without_store(fleet):
    await second_version_comes_unseen(fleet, some_routers(fleet), CUT_SECONDS)


@play(ONE_VERSION, RECORDED_SECONDS)
async def second_version_comes_to_a_cut_off_router(fleet):
    """It reaches neither the store nor any other router."""
    host = fleet.rng.choice(sorted(fleet.zone_of))
    fleet.nursery.start_soon(cut_for, fleet, {host})
    await second_version_comes_unseen(fleet, [host], CUT_SECONDS)


@play(ONE_VERSION, RECORDED_SECONDS)
async def second_version_comes_to_a_router_that_hears_no_other(fleet):
    host = fleet.rng.choice(sorted(fleet.zone_of))
    fleet.nursery.start_soon(cut_for, fleet, {host})
    fleet.return_hosts = (host,)
    await second_version_comes_unseen(fleet, [], CUT_SECONDS)


@play(ONE_VERSION, RECORDED_SECONDS)
async def second_version_comes_to_a_cut_off_zone(fleet):
    """Its routers reach each other, but neither the store nor other zones."""
    zone = fleet.rng.choice(fleet.zones)
    hosts = {host for host, at in fleet.zone_of.items() if at == zone}
    fleet.nursery.start_soon(cut_for, fleet, hosts)
    await second_version_comes_unseen(fleet, hosts, CUT_SECONDS)


@play(ONE_VERSION, RECORDED_SECONDS)
async def second_version_comes_to_two_cut_off_zones(fleet):
    """A third one alone reaches the store, and tells nobody outside."""
    zone = fleet.rng.choice(fleet.zones)
    hosts = {host for host, at in fleet.zone_of.items() if at != zone}
    fleet.nursery.start_soon(cut_for, fleet, hosts)
    await second_version_comes_unseen(fleet, hosts, CUT_SECONDS)


@play(ONE_VERSION, RECORDED_SECONDS)
async def second_version_comes_and_goes_unseen(fleet):
    """Its engines are gone when the cut-off router sees the store again."""
    host = fleet.rng.choice(sorted(fleet.zone_of))
    fleet.nursery.start_soon(cut_for, fleet, {host})
    fleet.nursery.start_soon(second_version_goes, fleet, CUT_SECONDS / 3)
    await second_version_comes_unseen(fleet, [host], CUT_SECONDS)
    fleet.return_hosts = (host,)


async def second_version_goes(fleet, seconds):
    await trio.sleep(FAULT_SECONDS + seconds)
    for number in range(4):
        fleet.crash_engine(f'n{number}')


@play(ONE_VERSION, RECORDED_SECONDS)
async def second_version_goes_before_its_record(fleet):
    """The router that is to take the record back first is cut off."""
    host = min(
        fleet.routers,
        key=lambda host: fleet.routers[host].peers.read_position(),
    )
    fleet.nursery.start_soon(cut_for, fleet, {host})
    fleet.nursery.start_soon(second_version_goes, fleet, SHORT_SECONDS)
    await second_version_comes_unseen(fleet, [host], SHORT_SECONDS)
    fleet.return_hosts = (host,)


@play(ONE_VERSION, RECORDED_SECONDS)
async def second_version_comes_to_the_only_router_with_a_store(fleet):
    """No other router hears it."""
    host = fleet.rng.choice(sorted(fleet.zone_of))
    others = set(fleet.zone_of) - {host}
    fleet.nursery.start_soon(cut_for, fleet, {host})
    await second_version_comes_unseen(fleet, others, CUT_SECONDS)


@play(ONE_VERSION, RECORDED_SECONDS)
async def second_version_goes_while_the_store_takes_no_records(fleet):
    fleet.store.refuses = True
    await second_version_comes_and_goes_unseen(fleet)


@play(TWO_VERSIONS, RECORDED_SECONDS)
async def third_version_comes_to_a_cut_off_router(fleet):
    """The router has just started, and all others that were told have not."""
    host = fleet.rng.choice(sorted(fleet.zone_of))
    await fleet.restart(host)
    await trio.sleep(FAULT_SECONDS)
    fleet.nursery.start_soon(cut_for, fleet, {host})
    await second_version_comes_unseen(fleet, [host], CUT_SECONDS)


async def cut_for(fleet, hosts):
    """Cuts routers off from all others that are not cut off with them."""
    await trio.sleep(FAULT_SECONDS)
    fleet.cut = lambda a, b: (a in hosts) != (b in hosts)
    await trio.sleep(CUT_SECONDS)
    fleet.cut = lambda a, b: False


@play(ONE_VERSION, RECORDED_SECONDS)
async def store_away_while_callers_leave(fleet):
    """No router reaches the store; one version serves all the while."""
    fleet.leave_fraction = 0.5
    await trio.sleep(FAULT_SECONDS)
    fleet.cut_from_store |= set(fleet.zone_of)
    await trio.sleep(OUTAGE_SECONDS)
    fleet.cut_from_store.clear()


@play(ONE_VERSION, RECORDED_SECONDS)
async def callers_leave_one_version(fleet):
    fleet.leave_fraction = 0.5


@play(ONE_VERSION, RECORDED_SECONDS)
async def release_rolled_back(fleet):
    """A second version comes and goes, then all routers are restarted."""
    fleet.leave_fraction = 0.3
    await trio.sleep(FAULT_SECONDS)
    for number in range(4):
        fleet.add_engine(f'n{number}', 'v2')
    await trio.sleep(2 * FAULT_SECONDS)
    for number in range(4):
        fleet.crash_engine(f'n{number}')
    await trio.sleep(FAULT_SECONDS)
    await kill_some(fleet, len(fleet.zone_of))


@play()
async def version_leaves(fleet):
    """The engines of a version leave one after the other, then are gone."""
    fleet.leave_fraction = 0.3
    for name in ('e1', 'e2'):
        await trio.sleep(2 * FAULT_SECONDS)
        entry = fleet.store.entries[name]
        leaving = attrs.evolve(entry.vm, state=upstreams.VmState.LEAVING)
        fleet.store.list(attrs.evolve(entry, vm=leaving))
        await trio.sleep(2.0)
        fleet.crash_engine(name)


@play()
async def one_worker_left(fleet):
    fleet.leave_fraction = 0.3
    await trio.sleep(2 * FAULT_SECONDS)
    fleet.crash_engine('e1', 2.0)


@play(TWO_VERSIONS, RECORDED_SECONDS)
async def nothing_named(fleet):
    """Callers take streams up without naming the try that began them."""
    fleet.leave_fraction = 0.3
    fleet.names_first_try = False


@play(ONE_VERSION, RECORDED_SECONDS)
async def nothing_named_of_one_version(fleet):
    await nothing_named(fleet)


@play()
async def all_of_it(fleet):
    await crash_some(fleet)
    await kill_routers(fleet)


async def run(name, seed, routers=6, seconds=SECONDS, make=None):
    """Returns the fleet after some seconds of load and faults."""
    kind = PLAYS.get(name)
    async with trio.open_nursery() as nursery:
        fleet = version_fleet.Fleet(nursery, routers, seed)
        for engine, software in kind.engines.items():
            fleet.add_engine(engine, software)
        for host in fleet.zone_of:
            fleet.start(host, (make or default_make)(host))
        await fleet.ready()
        await trio.sleep(kind.before_seconds)
        async with trio.open_nursery() as faults:
            faults.start_soon(functools.partial(kind.faults, fleet))
            await fleet.load(seconds)
            faults.cancel_scope.cancel()
        nursery.cancel_scope.cancel()
    return fleet


def default_make(host):
    return version_fleet.Router


def main(routers='6', *names):
    """Prints a table of plays."""
    for name in names or PLAYS.entries:
        fleet = plays.on_virtual_clock(run, name, 1, int(routers))
        print_row(name, fleet)


def print_row(name, fleet):
    begun = fleet.tries(takes_up=False)
    taken_up = fleet.tries(takes_up=True)
    gone_on, times = fleet.taken_up()
    every = fleet.tries(takes_up=True, two_serve=False)
    told = fleet.messages['StreamsBegun'] / max(1, begun.count)
    complete = sum(stream.complete for stream in fleet.streams)
    print(
        f'| {name} | {len(fleet.streams)} | {begun.share:.2f} of {begun.count}'
        f' | {gone_on / max(1, times):.2f} of {times}'
        f' | {taken_up.share:.2f} of {taken_up.count}'
        f' | {every.share:.2f} of {every.count}'
        f' | {complete} | {len(fleet.mixed())} | {told:.1f} |',
        flush=True,
    )


if __name__ == '__main__':
    main(*sys.argv[1:])
