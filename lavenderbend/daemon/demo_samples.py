"""Measurements that a demo takes while it runs."""

from __future__ import annotations

import statistics
from typing import TYPE_CHECKING

import attrs
import trio

if TYPE_CHECKING:
    from lavenderbend.daemon import demo_fleet

SAMPLE_SECONDS = 0.05
# with fewer requests than engines the ratio of largest to mean load only
# shows how few requests there are
MIN_MEAN_LOAD = 1.0
LEAVING_MONITOR_SECONDS = 5.0


@attrs.frozen
class Skew:
    """Ratio of the largest engine load to the mean load, over time.

    Attributes:
        samples: Samples with a mean load of at least 1.
        mean: Mean of the ratio.
        p99: 99th percentile of the ratio.
        highest_load: Largest load of one engine in any sample.
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
        seconds: Duration of the measurement.
        peer_bytes: Bytes a second that each router sent and received on
            the links to its peers, counted on the sockets.
        key_value_calls: Calls a second of the key-value service, all
            routers together; a pending watch counts as one call.
        key_value_bytes: Bytes a second of values read and written, all
            routers together.
    """

    seconds: float
    peer_bytes: dict[str, float]
    key_value_calls: float
    key_value_bytes: float


@attrs.frozen
class Leaving:
    """Measurements of an engine that left.

    Attributes:
        engine: VM id.
        last_new_work: Seconds from its leaving to the last new request that
            it received, None if it received none.
        finished: Whether all its requests ended while it was monitored.
        cut: Requests to it that did not complete.
    """

    engine: str
    last_new_work: float | None
    finished: bool
    cut: int


class Sampler:
    """Samples engine loads and measures control traffic since its creation.

    Attributes:
        fleet: The measured fleet.
        ratios: Largest load over mean load, by site.
        means: Mean loads, by site.
        highest: Largest load, by site.
        started: Trio clock at which the measurement began.
        initial_peer_bytes: Bytes of each router's links at that time.
        initial_calls: Calls of the key-value service at that time.
        initial_value_bytes: Bytes of its values at that time.
    """

    def __init__(self, fleet: demo_fleet.DemoFleet) -> None:
        self.fleet = fleet
        self.ratios: dict[str, list[float]] = {}
        self.means: dict[str, list[float]] = {}
        self.highest: dict[str, int] = {}
        self.started = trio.current_time()
        self.initial_peer_bytes = self.peer_bytes()
        self.initial_calls = fleet.store.calls.total()
        self.initial_value_bytes = self.value_bytes()

    async def run(self) -> None:
        """Samples until cancelled."""
        while True:
            for site in self.fleet.sites:
                self.sample(site.name)
            await trio.sleep(SAMPLE_SECONDS)

    def sample(self, site: str) -> None:
        """Takes one sample of a site's engines that are not leaving."""
        leaving = self.leaving_engines()
        loads = [
            engine.load
            for engine in self.fleet.engines
            if engine.site == site and engine.vm.id not in leaving
        ]
        mean = statistics.fmean(loads)
        self.means.setdefault(site, []).append(mean)
        self.highest[site] = max(self.highest.get(site, 0), *loads)
        if mean >= MIN_MEAN_LOAD:
            self.ratios.setdefault(site, []).append(max(loads) / mean)

    def leaving_engines(self) -> set[str]:
        """Returns the ids of VMs that are not live in the VM list."""
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
        """Returns the bytes sent and received on each router's links."""
        return {
            daemon.settings.id: daemon.link.bytes_sent
            + daemon.link.bytes_received
            for daemon in self.fleet.routers
        }

    def value_bytes(self) -> int:
        """Returns the bytes of values read and written so far."""
        return self.fleet.store.bytes_read + self.fleet.store.bytes_written

    def control(self) -> Control:
        """Returns the control traffic since the start."""
        seconds = trio.current_time() - self.started
        current = self.peer_bytes()
        calls = self.fleet.store.calls.total() - self.initial_calls
        value_bytes = self.value_bytes() - self.initial_value_bytes
        return Control(
            seconds,
            {
                name: (current[name] - initial) / seconds
                for name, initial in self.initial_peer_bytes.items()
            },
            calls / seconds,
            value_bytes / seconds,
        )


def summarise(ratios: list[float], means: list[float], highest: int) -> Skew:
    """Returns the skew statistics of one site's samples."""
    ratios = sorted(ratios) or [0.0]
    return Skew(
        samples=len(ratios),
        mean=statistics.fmean(ratios),
        p99=ratios[min(len(ratios) - 1, int(len(ratios) * 0.99))],
        highest_load=highest,
        mean_load=statistics.fmean(means),
    )


class LeavingMonitor:
    """Monitors an engine from the time it leaves.

    Attributes:
        engine: The engine.
    """

    def __init__(self, engine: demo_fleet.DemoEngine) -> None:
        self.engine = engine

    async def run(self) -> Leaving:
        """Waits `LEAVING_MONITOR_SECONDS` and returns the measurements."""
        log = self.engine.standin.log
        started = trio.current_time()
        record_count = len(log.records)
        await trio.sleep(LEAVING_MONITOR_SECONDS)
        new_records = log.records[record_count:]
        last = max((record.started for record in new_records), default=None)
        return Leaving(
            self.engine.vm.id,
            None if last is None else last - started,
            self.engine.load == 0,
            sum(r.result == 'crashed' for r in log.records),
        )
