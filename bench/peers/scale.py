"""Detection, false positives and cost of membership, in memory."""

from __future__ import annotations

import random
import statistics
import time

import trio
import trio.testing

from bench.peers import fleets
from lavenderbend.state import hashing

LAG = 10.0  # seconds that the VM list is late
ENGINES_PER_ROUTER = 18.5  # 6,100 engines before 330 routers


def on_virtual_clock(function, *args):
    """Runs a function on trio's virtual clock; returns what it returns."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(within, function, args, clock=clock)


async def within(function, args):
    async with trio.open_nursery() as nursery:
        result = await function(nursery, *args)
        nursery.cancel_scope.cancel()
    return result


async def until_none(names, step=0.02, limit=60.0):
    """Returns the times at which half of the views and all had dropped."""
    began = trio.current_time()
    start = len(names())
    half = None
    while trio.current_time() - began < limit:
        await trio.sleep(step)
        left = len(names())
        passed = trio.current_time() - began
        if half is None and left <= start / 2:
            half = passed
        if not left:
            return half, passed
    return half, limit


async def detection(nursery, routers, deaths, seed, silent):
    """Times from the death of a router until views have dropped it."""
    fleet = await fleets.make_fleet(nursery, routers, seed=seed)
    rng = random.Random(seed)
    halves, alls = [], []
    for _ in range(deaths):
        await trio.sleep(5 + rng.random())
        name = rng.choice(sorted(fleet.members))
        vm = fleet.members[name].vm
        fleet.end(name)
        if silent:
            fleet.network.down.discard(name)
            fleet.network.silent.add(name)
        half, last = await until_none(lambda n=name: fleet.believing(n))
        halves.append(half)
        alls.append(last)
        fleet.network.silent.discard(name)
        fleet.start(vm)
        await fleets.settle(fleet, routers)
    return summary(halves), summary(alls)


async def drains(nursery, routers, count, seed):
    """Times from an engine's drain until the last router drops it."""
    engines = max(count, 4)
    fleet = await fleets.make_fleet(
        nursery, routers, engines=engines, seed=seed, lag=LAG
    )
    rng = random.Random(seed)
    alls = []
    await trio.sleep(5)
    for number in range(count):
        await trio.sleep(rng.random())
        name = f'engine-{number:04d}'
        fleet.engines[name].draining = True
        _, last = await until_none(lambda n=name: fleet.using(n))
        alls.append(last)
        fleet.engines[name].draining = False
        await trio.sleep(3)
    return summary(alls)


async def drains_unseen(nursery, routers, count, seed):
    """Times until all know of a drain whose only poller dies with it."""
    engines = max(count, 4)
    fleet = await fleets.make_fleet(
        nursery, routers, engines=engines, seed=seed, lag=3 * LAG
    )
    for member in fleet.members.values():
        poll_alone(fleet, member)
    alls = []
    await trio.sleep(15)
    for number in range(count):
        name = f'engine-{number:04d}'
        vm = fleets.engine_vm(number)
        lost = poller(fleet, vm)
        router = fleet.members[lost].vm
        fleet.end(lost)
        fleet.engines[name].draining = True
        _, last = await until_none(lambda n=name: fleet.using(n))
        alls.append(last)
        poll_alone(fleet, fleet.start(router))
        await fleets.settle(fleet, routers)
        await trio.sleep(15)
    return summary(alls)


def poll_alone(fleet, member):
    """Has a router poll the engines of which it is the only poller."""
    member.poll_filter = lambda vm: poller(fleet, vm) == member.vm.id


def poller(fleet, vm):
    """Returns the router that polls an engine, by the views of the live."""
    live = sorted(fleet.members)
    view = fleet.members[live[0]].routers()
    return hashing.rendezvous(vm.id, view)


async def false_positives(nursery, routers, minutes, seed):
    """Wrong losses a router-hour under cuts, pauses and lost messages."""
    fleet = await fleets.make_fleet(nursery, routers, seed=seed)
    rng = random.Random(seed)
    lost = {'cut': 0, 'pause': 0, 'loss': 0}
    names = sorted(fleet.members)
    for cause in lost:
        for _ in range(int(minutes * 6)):
            pair = rng.sample(names, 2)
            await disturb(fleet, cause, pair)
            await trio.sleep(5)
            lost[cause] += sum(
                routers - len(fleet.believing(name)) for name in names
            )
            calm(fleet, pair)
            await trio.sleep(5)
    return lost


async def disturb(fleet, cause, pair):
    """Begins a fault that must not have a router dropped."""
    if cause == 'cut':
        fleet.network.cut.add(tuple(pair))
    elif cause == 'pause':
        fleet.network.pause(pair[0])
        await trio.sleep(1.0)
        fleet.network.resume(pair[0])
    else:
        fleet.network.loss = 0.05


def calm(fleet, pair):
    """Ends a fault."""
    fleet.network.cut.discard(tuple(pair))
    fleet.network.loss = 0.0


async def cost(
    nursery, routers, seconds, seed, share=ENGINES_PER_ROUTER, settle=15
):
    """Bytes and processor time a router and second, with nothing new."""
    engines = round(routers * share)
    fleet = await fleets.make_fleet(
        nursery, routers, engines=engines, seed=seed
    )
    for name, member in fleet.members.items():
        # as admission has it: one router polls each engine
        member.poll_filter = owner_of(name, sorted(fleet.members))
    await trio.sleep(settle)
    links = [fleet.network.links[name] for name in fleet.members]
    before = sum(link.bytes_sent + link.bytes_received for link in links)
    polls = sum(member.poller.polls for member in fleet.members.values())
    cpu = time.process_time()
    await trio.sleep(seconds)
    cpu = time.process_time() - cpu
    after = sum(link.bytes_sent + link.bytes_received for link in links)
    polls = (
        sum(member.poller.polls for member in fleet.members.values()) - polls
    )
    return {
        'bytes_per_second': round((after - before) / seconds / routers, 1),
        'cpu_percent': round(cpu / seconds / routers * 100, 3),
        'reports_per_second': round(polls / seconds / routers, 2),
    }


def owner_of(name, names):
    """Returns the choice of engines by number, as even as can be."""
    index = names.index(name)

    def wants(vm):
        return int(vm.id.rsplit('-', 1)[1]) % len(names) == index

    return wants


def summary(values):
    """Returns the median, the 90th percentile and the largest."""
    ordered = sorted(values)
    tenth = ordered[min(int(len(ordered) * 0.9), len(ordered) - 1)]
    return {
        'median': round(statistics.median(ordered), 2),
        'p90': round(tenth, 2),
        'max': round(ordered[-1], 2),
    }


def table(sizes, deaths=10, count=10, minutes=2, seconds=20):
    """Returns the figures by size of the fleet."""
    rows = {}
    for routers in sizes:
        few = max(2, min(deaths, 600 // routers))
        row = {}
        half, last = on_virtual_clock(detection, routers, few, 1, True)
        row['silent death, half of the views'] = half
        row['silent death, all views'] = last
        _, last = on_virtual_clock(detection, routers, few, 1, False)
        row['refusing death, all views'] = last
        row['drain, all views'] = on_virtual_clock(drains, routers, few, 1)
        row['drain and its only poller lost, all views'] = on_virtual_clock(
            drains_unseen, routers, few, 1
        )
        if routers <= 24:
            row['wrong losses'] = on_virtual_clock(
                false_positives, routers, minutes, 1
            )
        row['calm'] = on_virtual_clock(cost, routers, seconds, 1)
        rows[str(routers)] = row
        print(routers, row, flush=True)
    return rows
