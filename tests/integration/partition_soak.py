"""A soak of routers whose paths to upstreams are cut, in one process.

Beside the cuts, upstreams fall silent for a second and go on, state a limit of
rejections and have little room, and routers are stopped and started.
"""

from __future__ import annotations

import argparse
import pathlib
import random
import sys
import tempfile

import attrs
import pytest
import trio

from lavenderbend import registry
from tests import partitioned_fleet
from tests import platform_standins as standins
from tests.partitioned_fleet import Cut

ROUTERS = 5
REQUESTS_PER_SECOND = 8.0
FAULT_SECONDS = (1.0, 6.0)
PAUSE_SECONDS = (0.2, 1.5)
SILENT_SECONDS = (0.8, 1.4)
# as their entries say
SLOTS = 8
SLOW_SECONDS = 0.15
LIMIT = 8
MAX_CRASHES = 2
DOWN_SECONDS = 2.0
# after the beginning of a cut callers must be served as others are
CONTACT_SECONDS = 3.0
MIN_FRACTION = 2 / 3
NOT_RUN = (408, 421, 429, 503)
FAULTS = registry.Registry('fault of a partition soak')


class Worker(standins.Worker):
    """An upstream that may stand still, or have a limit and little room.

    Attributes:
        awake: Set while it runs.
        limited: Whether it states a limit of rejections.
        waiting: Requests that it lets wait beside those that it runs.
        seconds: Time that it takes for a request.
        held: Requests that it has.
        rejections: Times of its rejections.
        crashes: Times at which it crashed.
        down_until: Time until which it is down.
    """

    def __init__(self, instance, service):
        super().__init__(instance, service)
        self.awake = trio.Event()
        self.awake.set()
        self.limited = False
        self.waiting = 2 * SLOTS
        self.seconds = 0.02
        self.held = 0
        self.rejections = []
        self.crashes = []
        self.down_until = 0.0

    def unsigned_headers(self, request):
        headers = super().unsigned_headers(request)
        if self.limited:
            headers.append(('server-brittle', str(LIMIT)))
        return headers

    async def answer(self, request, stream, protocol):
        if trio.current_time() < self.down_until:
            stream.socket.close()
            return
        if self.held >= SLOTS + self.waiting:
            self.note_rejection()
            await self.full(request, stream, protocol)
            return
        self.held += 1
        try:
            await trio.sleep(self.seconds)
            await self.awake.wait()
            await super().answer(request, stream, protocol)
        finally:
            self.held -= 1

    def note_rejection(self):
        now = trio.current_time()
        self.rejections = [at for at in self.rejections if at > now - 1.0]
        self.rejections.append(now)
        if self.limited and len(self.rejections) > LIMIT:
            self.crashes.append(now)
            self.rejections = []
            self.down_until = now + DOWN_SECONDS


@attrs.frozen
class CutPeriod:
    """A time in which some routers reached no upstream."""

    hosts: frozenset
    began: float
    ended: float


class World(partitioned_fleet.PartitionedFleet):
    """The fleet, its faults and what it broke.

    Attributes:
        rng: Draws the faults.
        cuts: The cuts that there were.
        restarted: Times of stops and starts of routers.
        answers: Status and body by request id.
        violations: What was broken.
    """

    worker_class = Worker

    def __init__(self, folder, monkeypatch, seed):
        super().__init__(folder, monkeypatch, ROUTERS)
        self.rng = random.Random(seed)
        self.cuts = []
        self.restarted = []
        self.violations = []

    async def run(self, seconds):
        until = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.load, seconds, REQUESTS_PER_SECOND)
            while trio.current_time() < until:
                name = self.rng.choice(sorted(FAULTS.entries))
                nursery.start_soon(FAULTS.get(name), self)
                await trio.sleep(self.rng.uniform(*PAUSE_SECONDS))
        self.check()

    def check(self):
        if twice := self.ran_twice():
            self.violations.append(f'ran twice: {twice}')
        ran = {
            request.headers['lavenderbend-request-id']
            for worker in self.workers.values()
            for request in worker.ran
        }
        for one in self.tries:
            if one.status in NOT_RUN and one.kind == 'desk' and one.id in ran:
                self.violations.append(f'said not run, but ran: {one}')
            if one.status == 200 and not one.whole:
                self.violations.append(f'not whole: {one}')
        for worker in self.workers.values():
            if len(worker.crashes) > MAX_CRASHES:
                self.violations.append(
                    f'{worker.instance} crashed {worker.crashes}'
                )
        for period in self.cuts:
            self.check_cut(period)

    def check_cut(self, period):
        """Compares those who were cut off with the others at that time."""
        first = period.began + CONTACT_SECONDS
        if any(first - 1 < at < period.ended for at in self.restarted):
            return
        tries = [one for one in self.tries if first < one.began < period.ended]
        served = {}
        for cut in (True, False):
            of = [one for one in tries if (one.router in period.hosts) is cut]
            if not of:
                return
            served[cut] = sum(one.status == 200 for one in of) / len(of)
        failed = sum(one.status != 200 for one in tries)
        if (
            served[True] < MIN_FRACTION * served[False]
            and failed > 10 + len(tries) / 50
        ):
            self.violations.append(f'{period}: served {served}')


@FAULTS.register('cut')
async def cut(world):
    """Some routers lose all upstreams, never all of them."""
    if world.paths.cuts:
        return
    count = world.rng.randint(1, ROUTERS - 1)
    hosts = world.rng.sample(sorted(world.daemons), count)
    kind = world.rng.choice(list(Cut))
    began = trio.current_time()
    for host in hosts:
        world.paths.cut(host, kind)
    await trio.sleep(world.rng.uniform(*FAULT_SECONDS))
    world.paths.heal()
    world.cuts.append(CutPeriod(frozenset(hosts), began, trio.current_time()))


@FAULTS.register('silent')
async def silent(world):
    """An upstream stands still for a second and goes on."""
    worker = world.rng.choice(sorted(world.workers.values(), key=id_of))
    if not worker.awake.is_set():
        return
    worker.awake = trio.Event()
    await trio.sleep(world.rng.uniform(*SILENT_SECONDS))
    worker.awake.set()


@FAULTS.register('limited')
async def limited(world):
    """The upstreams of a service state a limit, and then have little room."""
    service = world.rng.choice(('engines', 'desk'))
    workers = [one for one in world.workers.values() if one.service == service]
    if any(worker.limited for worker in workers):
        return
    for worker in workers:
        worker.limited = True
        worker.crashes.clear()
    await trio.sleep(CONTACT_SECONDS)
    for worker in workers:
        worker.waiting, worker.seconds = 0, SLOW_SECONDS
    await trio.sleep(world.rng.uniform(*FAULT_SECONDS))
    for worker in workers:
        worker.limited = False
        worker.waiting, worker.seconds = 2 * SLOTS, 0.02


@FAULTS.register('restart')
async def restart(world):
    """A router is stopped, with what it relays, and started again."""
    if world.restarted and world.restarted[-1] > trio.current_time() - 6.0:
        return
    host = world.rng.choice(sorted(world.daemons))
    world.restarted.append(trio.current_time())
    daemon = world.daemons[host]
    daemon.stop()
    await world.ended[host].wait()
    await world.start_router(host)
    world.restarted.append(trio.current_time())


def id_of(worker):
    return worker.instance


async def soak(folder, monkeypatch, seed, seconds):
    """Runs one soak; returns its world, with what was broken."""
    async with trio.open_nursery() as nursery:
        world = World(folder, monkeypatch, seed)
        await world.start(nursery)
        await world.run(seconds)
        nursery.cancel_scope.cancel()
    return world


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--seeds', type=int, nargs=2, default=(1, 2))
    parser.add_argument('--seconds', type=float, default=25.0)
    options = parser.parse_args()
    broken = 0
    for seed in range(*options.seeds):
        with tempfile.TemporaryDirectory() as folder:
            with pytest.MonkeyPatch.context() as monkeypatch:
                world = trio.run(
                    soak,
                    pathlib.Path(folder),
                    monkeypatch,
                    seed,
                    options.seconds,
                )
        broken += bool(world.violations)
        statuses = sorted(one.status for one in world.tries)
        counts = {one: statuses.count(one) for one in sorted(set(statuses))}
        print(seed, counts, len(world.cuts), 'cuts', flush=True)
        for violation in world.violations:
            print('  ', violation, flush=True)
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit(main())
