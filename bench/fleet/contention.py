"""Plays of fleets whose upstreams have too little room, seen by callers."""

from __future__ import annotations

import random
import time
from typing import Any
from typing import TYPE_CHECKING

import attrs
import trio
import trio.testing

from bench.fleet import callers
from bench.fleet import engines
from bench.fleet import entries
from bench.fleet import plain_service
from bench.fleet import world
from lavenderbend import registry
from lavenderbend.state import forwarding
from lavenderbend.state import upstreams

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

ZONES = 3
ENGINES = 45
PROCESSES = 3
# Routers learn of each other within this time.
SETTLE_SECONDS = 4.0
# Engines of the fleet that lose what they hold, and for how long.
LOST_PART = 0.4
AWAY_SECONDS = 2.0
LOST_AFTER_SECONDS = 2.5
# Until then each engine has read most of the prompts that it is sent.
WARM_SECONDS = 3.0
RUSH = callers.Rush(customer=5, multiple=6.0, begin=0.0, end=6.0)

LONG = callers.Kind('long', 110.0, 0.8, 5.0, 1, 670, 8620, 580, 7)
MEDIUM = callers.Kind('medium', 80.0, 0.6, 3.0, 0, 330, 2041, 360, 3)
SHORT = callers.Kind('short', 120.0, 0.5, 12.0, 2, 730, 603, 110, 40)
PROMPTS = (LONG, MEDIUM, SHORT)
ONCE = callers.Kind('once', 55.0, 0.25, 2.0, 5, attempts=1)
TWICE = callers.Kind('twice', 55.0, 0.25, 2.0, 5, attempts=2)
PLAIN = (ONCE, TWICE)
# What the plain service is sent in all, at the peak.
PEAK_PER_SECOND = 300.0
PEAK_SECONDS = (1.5, 6.5)
PLAIN_SECONDS = 7.5

PLAYS: registry.Registry[Callable[[Stage], Awaitable[dict[str, Any]]]] = (
    registry.Registry('contention play')
)


@attrs.define
class Stage:
    """A fleet before upstreams, and callers.

    Attributes:
        fleet: The routers; they run, and have found each other.
        rng: Draws what callers do; the same for each queue_seconds.
        queue_seconds: Longest time for which a request waits at an owner.
        rate: Requests, as a multiple of those of each kind.
        seed: Of all draws.
        nursery: Runs upstreams and request paths.
    """

    fleet: world.Fleet
    rng: random.Random
    queue_seconds: float
    rate: float
    seed: int
    nursery: trio.Nursery

    def content(
        self, kinds: tuple[callers.Kind, ...], count: int, slots: int
    ) -> None:
        """Sets upstreams and rules; no router has read the store yet."""
        found = {}
        for number in range(count):
            vm = upstreams.Vm(
                f'i-{number:08x}',
                f'10.9.0.{number + 1}',
                9000,
                world.zone_of(number, ZONES),
                world.SERVICE,
                upstreams.UpstreamKind.SERVICE,
            )
            found[vm.id] = forwarding.Upstream(vm.id, vm, slots)
        table = forwarding.ForwardingTable(
            1,
            tuple(kind.rule() for kind in kinds),
            (forwarding.ForwardPool(world.SERVICE),),
            callers.customers(),
        )
        self.fleet.store.replace(table, found)

    async def open(
        self, exchanges: Any, ran: Callable[[str], bool]
    ) -> callers.Callers:
        """Starts all routers, and returns their callers."""
        await self.fleet.start_all(list(range(self.fleet.size)))
        await trio.sleep(SETTLE_SECONDS)
        paths = {
            number: entries.start(
                router, exchanges, self.queue_seconds, self.nursery
            )
            for number, router in self.fleet.routers.items()
        }
        return callers.Callers(paths, ran)

    def arrivals(
        self,
        kinds: tuple[callers.Kind, ...],
        seconds: float,
        factor: float = 1.0,
        begin: float = 0.0,
    ) -> list[callers.Arrival]:
        """Returns the requests of some kinds for a while."""
        return [
            arrival
            for kind in kinds
            for arrival in callers.draw(
                kind,
                self.rng,
                self.fleet.size,
                (begin, seconds),
                self.rate * factor * kind.per_second,
            )
        ]


async def with_engines(
    stage: Stage, uneven: bool = False
) -> tuple[engines.Engines, callers.Callers]:
    """Returns cold engines, and callers of all routers before them."""
    stage.content(PROMPTS, ENGINES, engines.SLOTS)
    pool: dict[str, engines.Engine] = {}
    addresses = {}
    for name, upstream in stage.fleet.store.content.upstreams.items():
        rng = random.Random(f'{stage.seed}-{name}')
        pace = engines.Pace(rng, 60.0) if uneven else None
        pool[name] = engines.Engine(pace)
        addresses[f'{upstream.vm.host}:{upstream.vm.port}'] = name
        stage.nursery.start_soon(pool[name].run)
    exchanges = engines.Engines(
        pool, entries.HEADERS, addresses, entries.LOAD_FACTOR
    )
    opened = await stage.open(
        exchanges, lambda one: any(one in e.ran for e in pool.values())
    )
    return exchanges, opened


async def measured(
    stage: Stage,
    opened: callers.Callers,
    arrivals: list[callers.Arrival],
    exchanges: engines.Engines | None = None,
) -> dict[str, Any]:
    """Sends requests, and returns what callers and routers had of it."""
    traffic = stage.fleet.net.traffic = type(stage.fleet.net.traffic)()
    begin = trio.current_time()
    processor = time.process_time()
    await opened.play(arrivals)
    seconds = trio.current_time() - begin
    routers = len(stage.fleet.routers)
    found: dict[str, Any] = {
        kind: got.figures() for kind, got in opened.got.items()
    }
    found['all'] = {
        'played_s': round(seconds, 1),
        'datagrams_per_s': round(
            sum(traffic.messages.values()) / routers / seconds, 1
        ),
        'bytes_per_s': round(sum(traffic.size.values()) / routers / seconds),
        'most_bytes_per_s': round(
            max(traffic.size_by_host.values(), default=0) / seconds
        ),
        'largest_datagram': traffic.largest,
        'processor_s': round(time.process_time() - processor, 1),
    }
    if exchanges is not None:
        pool = exchanges.engines.values()
        found['engines'] = {
            'read_tokens': round(sum(one.read_tokens for one in pool)),
            'over_bound': exchanges.over,
            'most_over_bound': round(exchanges.excess, 1),
            'sent': exchanges.received,
        }
    return found


def customer_figures(
    opened: callers.Callers, heavy: int | None = None
) -> dict[str, Any]:
    """Returns what the worst served customer got, and the heavy one."""
    others = {
        number: got
        for number, got in opened.by_customer.items()
        if number != heavy
    }
    worst = min(
        others, key=lambda one: others[one].in_time / others[one].requests
    )
    total = callers.Got()
    for got in others.values():
        for field in attrs.fields(callers.Got):
            value = getattr(total, field.name) + getattr(got, field.name)
            setattr(total, field.name, value)
    found = {'customers': total.figures(), 'worst': others[worst].figures()}
    if heavy is not None:
        found['heavy'] = opened.by_customer[heavy].figures()
    return found


@PLAYS.register('cold start')
async def cold_start(stage: Stage) -> dict[str, Any]:
    """No engine has read any prompt."""
    exchanges, opened = await with_engines(stage)
    arrivals = stage.arrivals(PROMPTS, 7.0)
    found = await measured(stage, opened, arrivals, exchanges)
    return {**found, **customer_figures(opened)}


@PLAYS.register('engines lost')
async def engines_lost(stage: Stage) -> dict[str, Any]:
    """A cold start; then part of the engines crash and are away."""
    exchanges, opened = await with_engines(stage)
    arrivals = stage.arrivals(PROMPTS, 6.5)
    names = sorted(exchanges.engines)
    lost = stage.rng.sample(names, round(LOST_PART * len(names)))

    async def lose() -> None:
        await trio.sleep(LOST_AFTER_SECONDS)
        for name in lost:
            exchanges.engines[name].lose(AWAY_SECONDS)

    stage.nursery.start_soon(lose)
    found = await measured(stage, opened, arrivals, exchanges)
    return {**found, **customer_figures(opened)}


@PLAYS.register('heavy customer')
async def heavy_customer(stage: Stage) -> dict[str, Any]:
    """A cold start in which one customer sends six times its usual."""
    exchanges, opened = await with_engines(stage)
    arrivals = stage.arrivals(PROMPTS, 7.0)
    for kind in PROMPTS:
        usual = stage.rate * kind.per_second / callers.CUSTOMERS
        more = usual * (RUSH.multiple - 1.0)
        arrivals += callers.draw(
            kind,
            stage.rng,
            stage.fleet.size,
            (RUSH.begin, RUSH.end),
            more,
            RUSH.customer,
        )
    found = await measured(stage, opened, arrivals, exchanges)
    return {**found, **customer_figures(opened, RUSH.customer)}


@PLAYS.register('plain service')
async def plain(stage: Stage) -> dict[str, Any]:
    """Processes that reject what exceeds their slots and queues."""
    stage.content(PLAIN, PROCESSES, plain_service.SLOTS)
    pool = {}
    for name in stage.fleet.store.content.upstreams:
        rng = random.Random(f'{stage.seed}-{name}')
        pool[name] = plain_service.Process(engines.Pace(rng, 60.0), rng)
    opened = await stage.open(
        plain_service.Processes(pool, entries.HEADERS),
        lambda one: any(one in process.ran for process in pool.values()),
    )
    usual = sum(kind.per_second for kind in PLAIN)
    begin, end = PEAK_SECONDS
    arrivals = stage.arrivals(PLAIN, PLAIN_SECONDS)
    more = PEAK_PER_SECOND / usual - 1.0
    arrivals += stage.arrivals(PLAIN, end, more, begin)
    found = await measured(stage, opened, arrivals)
    found['processes'] = {
        'rejected': sum(process.rejected for process in pool.values())
    }
    return {**found, **customer_figures(opened)}


@PLAYS.register('uneven engines')
async def uneven_engines(stage: Stage) -> dict[str, Any]:
    """Engines with slow spells, once they have read most prompts."""
    exchanges, opened = await with_engines(stage, uneven=True)
    await opened.play(stage.arrivals(PROMPTS, WARM_SECONDS))
    opened.got.clear()
    opened.by_customer.clear()
    exchanges.excess = exchanges.over = exchanges.received = 0
    for engine in exchanges.engines.values():
        engine.read_tokens = 0.0
    arrivals = stage.arrivals(PROMPTS, 4.0)
    found = await measured(stage, opened, arrivals, exchanges)
    return {**found, **customer_figures(opened)}


async def perform(
    name: str,
    size: int,
    loss: float,
    queue_seconds: float,
    rate: float,
    seed: int,
) -> dict[str, Any]:
    """Returns the figures of one play of a new fleet."""
    async with trio.open_nursery() as nursery:
        fleet = world.make(nursery, size, ZONES, ENGINES, loss, seed)
        rng = random.Random(f'callers-{seed}')
        stage = Stage(fleet, rng, queue_seconds, rate, seed, nursery)
        found = await PLAYS.get(name)(stage)
        nursery.cancel_scope.cancel()
    return found


def run(name: str, seed: int, *settings: Any) -> dict[str, Any]:
    """Plays on a virtual clock, with tasks in the same order each time.

    Args:
        name: Name of the play.
        seed: Of all draws.
        *settings: Size, loss, queue_seconds and rate, as for `perform`.
    """
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(seed)
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(perform, name, *settings, seed, clock=clock)


def lines(title: str, found: dict[str, Any]) -> list[str]:
    """Returns the figures as lines of text."""
    return [
        f'{title}, {part}: '
        + ' '.join(f'{key} {value}' for key, value in figures.items())
        for part, figures in found.items()
    ]
