"""Operators that race each other while routers follow."""

from __future__ import annotations

import collections
import random

import attrs
import trio

from bench.agreed import fleets
from lavenderbend import errors
from lavenderbend.coordination.configuration import (
    follower as configuration_follower,
)
from lavenderbend.coordination.configuration import log as configuration_log
from lavenderbend.state import configuration
from tests.test_coordination import agreed_fakes as fakes

ROUTERS = 7
OPERATORS = 8


@attrs.frozen
class Result:
    """What the run showed.

    Attributes:
        accepted: Changes accepted.
        conflicts: Changes refused because another came first.
        uncertain: Changes whose acceptance had to be looked up.
        went_back: Times a router showed an older revision than before.
        digests_differ: Revisions that two routers saw differently.
        lost: Accepted changes not in the history or not in the document.
        half_applied: Revisions in force that are not as they were accepted.
        restarts: Routers restarted.
        outages: Outages of the service.
        slowest_ms: Longest time from acceptance until in force on every
            router that lived through it, while the service was up.
    """

    accepted: int
    conflicts: int
    uncertain: int
    went_back: int
    digests_differ: int
    lost: int
    half_applied: int
    restarts: int
    outages: int
    slowest_ms: float


class Trial:
    """One run."""

    def __init__(self, changes: int, seed: int, follower_class) -> None:
        self.changes = changes
        self.follower_class = follower_class
        self.rng = random.Random(seed)
        self.store = fleets.faulty_store(seed + 1, 0.03, 0.02)
        self.network = fakes.Network(seed)
        self.followers: dict[str, tuple] = {}
        self.views: list[fakes.Membership] = []
        self.started = 0
        self.counts: collections.Counter[str] = collections.Counter()
        self.accepted: dict[int, tuple[str, str, float]] = {}
        self.seen: dict[int, str] = {}
        self.in_force: dict[int, dict[str, float]] = {}
        self.born: dict[str, float] = {}
        self.outages: list[tuple[float, float]] = []

    async def run(self) -> Result:
        """Runs everything and returns what it showed."""
        async with trio.open_nursery() as nursery:
            for _ in range(ROUTERS):
                self.start(nursery)
            nursery.start_soon(self.restart, nursery)
            async with trio.open_nursery() as faults:
                faults.start_soon(self.break_service)
                async with trio.open_nursery() as operators:
                    for number in range(OPERATORS):
                        operators.start_soon(self.operate, f'operator {number}')
                faults.cancel_scope.cancel()
            self.store.fault(outage=False, lost_answers=0.0, lost_requests=0.0)
            await trio.sleep(5)
            result = await self.result()
            nursery.cancel_scope.cancel()
        return result

    def start(self, nursery: trio.Nursery) -> None:
        """Starts a router."""
        name = f'router-{self.started}'
        self.started += 1
        self.born[name] = trio.current_time()
        view = fakes.Membership([])
        link = fakes.Link(name, self.network)
        follower = self.follower_class(
            name, self.store, link, view, random.Random(name)
        )
        scope = trio.CancelScope()
        self.followers[name] = (follower, scope)
        self.views.append(view)
        for other in self.views:
            other.set_routers(list(self.followers))

        async def run():
            with scope:
                async with trio.open_nursery() as inner:
                    inner.start_soon(link.run)
                    inner.start_soon(follower.run)
                    inner.start_soon(self.observe, name, follower)

        nursery.start_soon(run)

    async def observe(self, name: str, follower) -> None:
        """Notes every revision that a router shows."""
        number = 0
        while True:
            changed = follower.chain.changed
            if follower.chain.number < number:
                self.counts['went back'] += 1
            number = follower.chain.number
            if number:
                self.note(name, follower.current())
            with trio.move_on_after(0.05):
                await changed.wait()

    def note(self, name: str, revision: configuration.Revision) -> None:
        """Compares a revision with what others saw under its number."""
        digest = self.seen.setdefault(revision.number, revision.digest)
        if digest != revision.digest:
            self.counts['digests differ'] += 1
        total = sum(c.weight for c in revision.document.customers)
        # every change adds one to one customer's weight of 1
        if total - len(revision.document.customers) != revision.number:
            self.counts['half applied'] += 1
        times = self.in_force.setdefault(revision.number, {})
        times.setdefault(name, trio.current_time())

    async def operate(self, name: str) -> None:
        """Adds one to a weight again and again, racing the others."""
        log = configuration_log.ConfigurationLog(
            self.store, clock=trio.current_time
        )
        mine = 0
        while len(self.accepted) < self.changes:
            await trio.sleep(self.rng.uniform(0, 0.5))
            mine += 1
            try:
                await self.change(log, name, f'{name} {mine}')
            except errors.ConfigurationConflict:
                self.counts['conflicts'] += 1
            except errors.KeyValueUncertain:
                self.counts['uncertain'] += 1
                await self.look_up(log, f'{name} {mine}')
            except errors.KeyValueUnavailable:
                await trio.sleep(0.5)

    async def change(self, log, name: str, reason: str) -> None:
        """Accepts one change on the newest revision."""
        await log.catch_up()
        await trio.sleep(self.rng.uniform(0, 0.2))
        known = log.chain
        document = known.revision.document if known.revision else first()
        customers = tuple(
            attrs.evolve(customer, weight=customer.weight + 1)
            if customer.name == name
            else customer
            for customer in document.customers
        )
        wanted = attrs.evolve(document, customers=customers)
        revision = await log.accept(wanted, known.number, name, reason)
        now = trio.current_time()
        self.accepted[revision.number] = (name, reason, now)

    async def look_up(self, log, reason: str) -> None:
        """Finds out whether an uncertain change was accepted."""
        while True:
            try:
                lines = await log.history(100)
            except errors.KeyValueError:
                await trio.sleep(0.5)
                continue
            for line in lines:
                if line.reason == reason:
                    self.accepted[line.number] = (
                        line.author,
                        reason,
                        float('inf'),
                    )
            return

    async def restart(self, nursery: trio.Nursery) -> None:
        """Replaces a router now and then."""
        while True:
            await trio.sleep(self.rng.uniform(2, 8))
            name = self.rng.choice(list(self.followers))
            follower, scope = self.followers.pop(name)
            scope.cancel()
            self.network.down.add(name)
            self.counts['restarts'] += 1
            self.start(nursery)

    async def break_service(self) -> None:
        """Takes the service down now and then; watches lose their place."""
        while True:
            await trio.sleep(self.rng.uniform(5, 25))
            began = trio.current_time()
            self.store.fault(outage=True)
            await trio.sleep(self.rng.uniform(1, 8))
            self.store.fault(outage=False)
            if self.rng.random() < 0.5:
                self.store.compact_events()
            self.outages.append((began, trio.current_time()))

    async def result(self) -> Result:
        """Compares what was accepted with what is there."""
        log = configuration_log.ConfigurationLog(self.store)
        lines = {line.number: line for line in await log.history(10**6)}
        lost = sum(
            number not in lines or lines[number].reason != reason
            for number, (name, reason, at) in self.accepted.items()
        )
        weights = collections.Counter(line.author for line in lines.values())
        for customer in log.chain.revision.document.customers:
            lost += customer.weight - 1 != weights[customer.name]
        return Result(
            accepted=len(self.accepted),
            conflicts=self.counts['conflicts'],
            uncertain=self.counts['uncertain'],
            went_back=self.counts['went back'],
            digests_differ=self.counts['digests differ'],
            lost=lost,
            half_applied=self.counts['half applied'],
            restarts=self.counts['restarts'],
            outages=len(self.outages),
            slowest_ms=1000 * max(self.delays(), default=0.0),
        )

    def delays(self) -> list[float]:
        """Returns how long each acceptance took to be in force."""
        found = []
        for number, (_, _, at) in self.accepted.items():
            if at == float('inf') or self.troubled(at):
                continue
            found += [
                self.reached(name, number) - at
                for name in self.followers
                if self.born[name] < at - 5
            ]
        return found

    def reached(self, name: str, number: int) -> float:
        """Returns when a router had a revision or a newer one."""
        return min(
            (
                times[name]
                for other, times in self.in_force.items()
                if other >= number and name in times
            ),
            default=float('inf'),
        )

    def troubled(self, at: float) -> bool:
        """Returns whether the service was down around a time."""
        return any(start - 5 < at < end + 5 for start, end in self.outages)


def first() -> configuration.Configuration:
    """Returns the document that operators begin with."""
    return configuration.Configuration(
        customers=tuple(
            configuration.Customer(f'operator {number}')
            for number in range(OPERATORS)
        )
    )


def run(
    changes: int = 1000,
    seed: int = 1,
    follower_class=configuration_follower.ConfigurationFollower,
) -> Result:
    """Runs the trial on the virtual clock."""
    return fleets.virtual(seed, Trial(changes, seed, follower_class).run)
