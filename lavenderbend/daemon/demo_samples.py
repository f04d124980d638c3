"""What a demo measures while it runs."""

from __future__ import annotations

import statistics
from typing import TYPE_CHECKING

import attrs
import trio

if TYPE_CHECKING:
    from lavenderbend.daemon import demo_fleet

SAMPLE_SECONDS = 0.05
# with fewer requests than engines the ratio only says how few there are
LEAST_MEAN_LOAD = 1.0
LEAVING_SECONDS = 5.0


@attrs.frozen
class Skew:
    """Largest load of an engine against the mean, over time.

    Attributes:
        samples: Samples with a mean load of at least 1.
        mean: Mean of the ratio.
        p99: 99th percentile of the ratio.
        highest_load: Largest load seen on one engine.
        mean_load: Mean load of an engine.
    """

    samples: int
    mean: float
    p99: float
    highest_load: int
    mean_load: float


@attrs.frozen
class Control:
    """Control traffic of the fleet.

    Attributes:
        seconds: How long it was measured.
        peer_bytes: Bytes a second that each router sent and received on
            the links to its peers, counted on the sockets.
        key_value_calls: Calls a second of the key-value service, all
            routers together, a waiting watch as one.
        key_value_bytes: Bytes a second of keys' values read and written,
            all routers together.
    """

    seconds: float
    peer_bytes: dict[str, float]
    key_value_calls: float
    key_value_bytes: float


@attrs.frozen
class Leaving:
    """What became of an engine that left.

    Attributes:
        engine: VM id.
        last_new_work: Seconds after its leaving at which it last got a new
            request, None if it got none.
        finished: Whether all its requests ended while it was watched.
        cut: Requests of it that did not complete.
    """

    engine: str
    last_new_work: float | None
    finished: bool
    cut: int


class Sampler:
    """Samples loads, and counts traffic from its start to its end.

    Attributes:
        fleet: What is measured.
        ratios: Largest load over mean load, by site.
        means: Mean loads, by site.
        highest: Largest load, by site.
    """

    def __init__(self, fleet: demo_fleet.DemoFleet) -> None:
        self.fleet = fleet
        self.ratios: dict[str, list[float]] = {}
        self.means: dict[str, list[float]] = {}
        self.highest: dict[str, int] = {}
        self.started = trio.current_time()
        self.first_bytes = self.peer_bytes()
        self.first_calls = fleet.store.calls.total()
        self.first_value_bytes = self.value_bytes()

    async def run(self) -> None:
        """Samples until cancelled."""
        while True:
            for site in self.fleet.sites:
                self.sample(site.name)
            await trio.sleep(SAMPLE_SECONDS)

    def sample(self, site: str) -> None:
        """Takes one sample of a site's engines that are not leaving."""
        leaving = self.leaving()
        loads = [
            worker.load
            for worker in self.fleet.workers
            if worker.site == site and worker.vm.id not in leaving
        ]
        mean = statistics.fmean(loads)
        self.means.setdefault(site, []).append(mean)
        self.highest[site] = max(self.highest.get(site, 0), *loads)
        if mean >= LEAST_MEAN_LOAD:
            self.ratios.setdefault(site, []).append(max(loads) / mean)

    def leaving(self) -> set[str]:
        """Returns the engines that are on their way out."""
        live = 'live'
        return {
            vm.id
            for vm in self.fleet.vms.newest.values()
            if vm.state.value != live
        }

    def skews(self) -> dict[str, Skew]:
        """Returns the skew of each site."""
        return {
            site: summarise(
                self.ratios.get(site, []), means, self.highest[site]
            )
            for site, means in self.means.items()
        }

    def peer_bytes(self) -> dict[str, int]:
        """Returns bytes of each router's links so far."""
        return {
            daemon.settings.id: daemon.link.bytes_sent
            + daemon.link.bytes_received
            for daemon in self.fleet.routers
        }

    def value_bytes(self) -> int:
        """Returns bytes of values read and written so far."""
        return self.fleet.store.bytes_read + self.fleet.store.bytes_written

    def control(self) -> Control:
        """Returns the control traffic since the start."""
        seconds = trio.current_time() - self.started
        now = self.peer_bytes()
        calls = self.fleet.store.calls.total() - self.first_calls
        value_bytes = self.value_bytes() - self.first_value_bytes
        return Control(
            seconds,
            {
                name: (now[name] - first) / seconds
                for name, first in self.first_bytes.items()
            },
            calls / seconds,
            value_bytes / seconds,
        )


def summarise(ratios: list[float], means: list[float], highest: int) -> Skew:
    """Returns the figures of one site's samples."""
    ratios = sorted(ratios) or [0.0]
    return Skew(
        samples=len(ratios),
        mean=statistics.fmean(ratios),
        p99=ratios[min(len(ratios) - 1, int(len(ratios) * 0.99))],
        highest_load=highest,
        mean_load=statistics.fmean(means),
    )


class LeavingWatch:
    """Watches an engine from the time it leaves.

    Attributes:
        worker: The engine.
    """

    def __init__(self, worker: demo_fleet.Worker) -> None:
        self.worker = worker

    async def run(self) -> Leaving:
        """Watches for some seconds."""
        log = self.worker.engine.log
        started = trio.current_time()
        before = len(log.records)
        await trio.sleep(LEAVING_SECONDS)
        new = log.records[before:]
        last = max((record.started for record in new), default=None)
        return Leaving(
            self.worker.vm.id,
            None if last is None else last - started,
            self.worker.load == 0,
            sum(r.result == 'crashed' for r in log.records),
        )
