"""Ways to choose an engine: the library's own and the baselines."""

from __future__ import annotations

import abc
import collections
import math
import random
from typing import TYPE_CHECKING

from lavenderbend import registry
from lavenderbend.coordination import interfaces
from lavenderbend.state import hashing

if TYPE_CHECKING:
    from bench.decisions import workload
    from bench.decisions import world as world_

POLICIES: registry.Registry[type[Policy]] = registry.Registry('policy')


class Policy(abc.ABC):
    """Chooses an engine for each request.

    Attributes:
        keeps_bound: Whether it means to keep the bound.
    """

    keeps_bound = False

    def __init__(self, world: world_.World) -> None:
        self.world = world
        self.rng = random.Random(world.case.seed)

    @abc.abstractmethod
    def choose(
        self, router: str, arrival: workload.Arrival, names: list[str]
    ) -> str:
        """Returns the engine, chosen at one router."""

    async def acquire(
        self, router: str, arrival: workload.Arrival, avoid: tuple[str, ...]
    ) -> tuple[str, interfaces.Permit | None]:
        """Returns the engine and the permit, if there is one."""
        seen = self.world.views[router].upstreams('model')
        names = [vm.id for vm in seen if vm.id not in avoid]
        return self.choose(router, arrival, names), None

    def release(
        self, router: str, engine: str, permit: interfaces.Permit | None
    ) -> None:
        """Notes the end of a request."""
        del router, engine, permit


@POLICIES.register('random')
class RandomPolicy(Policy):
    """Any engine."""

    def choose(
        self, router: str, arrival: workload.Arrival, names: list[str]
    ) -> str:
        """Returns any engine."""
        return self.rng.choice(names)


@POLICIES.register('round-robin')
class RoundRobin(Policy):
    """Each router goes round on its own."""

    def __init__(self, world: world_.World) -> None:
        super().__init__(world)
        self.counts: collections.Counter[str] = collections.Counter()

    def choose(
        self, router: str, arrival: workload.Arrival, names: list[str]
    ) -> str:
        """Returns the next engine."""
        self.counts[router] += 1
        return names[self.counts[router] % len(names)]


@POLICIES.register('least-reported')
class LeastReported(Policy):
    """The engine with the least load in its last report."""

    def choose(
        self, router: str, arrival: workload.Arrival, names: list[str]
    ) -> str:
        """Returns the engine that reported least."""

        def rank(name: str) -> tuple[int, float]:
            report = self.world.views[router].report(name)
            return report.load if report else 0, self.rng.random()

        return min(names, key=rank)


@POLICIES.register('rendezvous')
class Rendezvous(Policy):
    """The chat's first choice, whatever its load."""

    def choose(
        self, router: str, arrival: workload.Arrival, names: list[str]
    ) -> str:
        """Returns the first choice."""
        chat = arrival.chat or arrival.router
        return hashing.rendezvous(str(chat), names) or names[0]


@POLICIES.register('local-bounded')
class LocalBounded(Policy):
    """Bounded rendezvous on what one router knows by itself.

    That is the last report, joined with its own requests since.
    """

    keeps_bound = True

    def __init__(self, world: world_.World) -> None:
        super().__init__(world)
        self.own: collections.Counter[tuple[str, str]] = collections.Counter()
        self.then: dict[tuple[str, str], tuple[float, int]] = {}

    def load(self, router: str, name: str) -> int:
        """Returns the load as the router knows it."""
        view = self.world.views[router]
        report = view.report(name)
        key = (router, name)
        if report is None:
            return self.own[key]
        at = view.report_at(name)
        if self.then.get(key, (-1.0, 0))[0] != at:
            self.then[key] = (at, self.own[key])
        return max(0, report.load + self.own[key] - self.then[key][1])

    def choose(
        self, router: str, arrival: workload.Arrival, names: list[str]
    ) -> str:
        """Returns the first of the order that is under the bound."""
        loads = {name: self.load(router, name) for name in names}
        pool = self.world.pool
        mean = (sum(loads.values()) + 1) / len(names)
        allowed = max(pool.floor, math.ceil(pool.bound * mean))
        chat = arrival.chat or arrival.router
        order = hashing.rendezvous_order(str(chat), names)
        chosen = next(
            (name for name in order if loads[name] < allowed), order[0]
        )
        self.own[router, chosen] += 1
        return chosen

    def release(
        self, router: str, engine: str, permit: interfaces.Permit | None
    ) -> None:
        """Notes the end of a request."""
        self.own[router, engine] -= 1


@POLICIES.register('all-knowing')
class AllKnowing(Policy):
    """Knows every load and every cache now; keeps the bound."""

    keeps_bound = True

    def choose(
        self, router: str, arrival: workload.Arrival, names: list[str]
    ) -> str:
        """Returns the engine with most of the context, then least load."""
        world = self.world
        loads = {name: world.loads[name] for name in names}
        allowed = world.allowed(sum(loads.values()) + 1, len(names))

        def rank(name: str) -> tuple[int, int, int]:
            cache = world.engines[name].cache
            hit = min(cache.get(arrival.chat), arrival.shared)
            return -hit, loads[name], cache.used

        free = [name for name in names if loads[name] < allowed]
        return min(free or names, key=rank)


@POLICIES.register('lavenderbend')
class Owners(Policy):
    """The library's admission."""

    keeps_bound = True

    def choose(
        self, router: str, arrival: workload.Arrival, names: list[str]
    ) -> str:
        """Is not used: admission chooses."""
        raise NotImplementedError

    async def acquire(
        self, router: str, arrival: workload.Arrival, avoid: tuple[str, ...]
    ) -> tuple[str, interfaces.Permit | None]:
        """Returns the engine and the permit."""
        ask = interfaces.PermitRequest(
            request_id=str(arrival.number),
            pool=self.world.pool.name,
            customer=arrival.customer,
            chat=arrival.chat,
            model='chat-1',
            adapter=None,
            priority=arrival.priority,
            prompt_tokens=arrival.prompt,
            deadline=self.world.deadline(arrival),
            avoid=avoid,
            suspect=self.world.suspect(router, arrival),
        )
        permit = await self.world.admissions[router].acquire(ask)
        return permit.upstream.id, permit

    def release(
        self, router: str, engine: str, permit: interfaces.Permit | None
    ) -> None:
        """Gives the permit back."""
        if permit is not None:
            self.world.admissions[router].release(permit, 'complete')
