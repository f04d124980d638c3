"""Requests on upstreams, and how well routers know of them."""

from __future__ import annotations

import collections
import statistics
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from bench.fleet import world

REQUESTS_PER_SECOND = 2.4
RUN_SECONDS = 1.0
PLAY_SECONDS = 10.0
SAMPLES = 40


class Requests:
    """Requests of all routers on upstreams drawn at random.

    Attributes:
        truth: Requests by upstream.
        errors: Known less true load, of samples.
        unknown: Samples of upstreams with load of which nothing was known.
    """

    def __init__(self, fleet: world.Fleet) -> None:
        self.fleet = fleet
        self.truth: collections.Counter[str] = collections.Counter()
        self.errors: list[int] = []
        self.totals: list[float] = []
        self.unknown = 0
        self.busy = 0

    async def ask(self, router: world.Router) -> None:
        """Has one router send requests for a while."""
        rng = self.fleet.rng
        names = sorted(self.fleet.store.content.upstreams)
        async with trio.open_nursery() as nursery:
            end = trio.current_time() + PLAY_SECONDS
            while trio.current_time() < end:
                await trio.sleep(rng.expovariate(REQUESTS_PER_SECOND))
                nursery.start_soon(self.run, router, rng.choice(names))

    async def run(self, router: world.Router, name: str) -> None:
        """Runs one request."""
        rng = self.fleet.rng
        router.loads.begin(name)
        self.truth[name] += 1
        await trio.sleep(0.05)
        report = b'%d,0,32' % self.truth[name]
        router.loads.note_report(name, report)
        await trio.sleep(rng.expovariate(1.0 / RUN_SECONDS))
        router.loads.end(name)
        self.truth[name] -= 1

    async def sample(self) -> None:
        """Compares what routers know with the truth."""
        rng = self.fleet.rng
        await trio.sleep(PLAY_SECONDS / 2)
        names = sorted(self.fleet.store.content.upstreams)
        for _ in range(SAMPLES):
            await trio.sleep(PLAY_SECONDS / 2 / SAMPLES)
            router = rng.choice(list(self.fleet.routers.values()))
            total = 0
            for name in names:
                known = router.loads.load(name)
                total += known
                self.errors.append(known - self.truth[name])
                if self.truth[name]:
                    self.busy += 1
                    self.unknown += not known
            self.totals.append(total / max(1, sum(self.truth.values())))


async def measure(fleet: world.Fleet) -> dict[str, float]:
    """Returns how well loads are known while requests come and go."""
    requests = Requests(fleet)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(requests.sample)
        for router in fleet.routers.values():
            nursery.start_soon(requests.ask, router)
    mean = REQUESTS_PER_SECOND * RUN_SECONDS * fleet.size
    mean /= len(fleet.store.content.upstreams)
    off = [abs(error) for error in requests.errors]
    return {
        'mean_load': mean,
        'error_mean': statistics.fmean(off),
        'error_p95': sorted(off)[int(0.95 * len(off))],
        'known_part_of_total': statistics.fmean(requests.totals),
        'unknown_part': requests.unknown / max(1, requests.busy),
    }
