"""Routers with real claims code on the virtual clock, and their faults."""

from __future__ import annotations

import random

import attrs
import trio
import trio.testing

from lavenderbend.coordination import interfaces
from lavenderbend.coordination.claims import claims as claims_module
from lavenderbend.standin import key_value
from tests.test_coordination import agreed_fakes as fakes


def faulty_store(
    seed: int, lost_answers: float, lost_requests: float, record: bool = False
) -> key_value.MemoryStore:
    """Returns a key-value service that loses answers, requests, and is late.

    Args:
        seed: Of its faults.
        lost_answers: Share of the answers that are lost.
        lost_requests: Share of the requests that are lost.
        record: Whether it records what it did.
    """
    faults = key_value.Faults(
        latency=0.001,
        jitter=0.001,
        lost_answers=lost_answers,
        lost_requests=lost_requests,
        late_writes=0.5,
        late_by=3.0,
    )
    return key_value.MemoryStore(random.Random(seed), faults, record=record)


class Pause:
    """Whether a process is paused; its tasks wait at each store call."""

    def __init__(self) -> None:
        self.until = 0.0

    async def wait(self) -> None:
        """Waits until the process runs."""
        until = 0.0
        while until != self.until:
            until = self.until
            await trio.sleep_until(until)


class PausableStore(interfaces.KeyValueStore):
    """A store as one router sees it, that stops when the router does."""

    def __init__(self, store: key_value.MemoryStore, pause: Pause) -> None:
        self.store = store
        self.pause = pause

    async def around(self, call, *args, **kwargs):
        """Makes a call between two points where a pause may strike."""
        await self.pause.wait()
        try:
            return await call(*args, **kwargs)
        finally:
            if trio.current_time() < self.pause.until:
                with trio.CancelScope(shield=True):
                    await self.pause.wait()

    async def read(self, *args, **kwargs):
        """Calls the store between the two points."""
        return await self.around(self.store.read, *args, **kwargs)

    async def create(self, *args, **kwargs):
        """Calls the store between the two points."""
        return await self.around(self.store.create, *args, **kwargs)

    async def replace(self, *args, **kwargs):
        """Calls the store between the two points."""
        return await self.around(self.store.replace, *args, **kwargs)

    async def delete(self, *args, **kwargs):
        """Calls the store between the two points."""
        return await self.around(self.store.delete, *args, **kwargs)

    async def grant_lease(self, *args, **kwargs):
        """Calls the store between the two points."""
        return await self.around(self.store.grant_lease, *args, **kwargs)

    async def renew_lease(self, *args, **kwargs):
        """Calls the store between the two points."""
        return await self.around(self.store.renew_lease, *args, **kwargs)

    async def revoke_lease(self, *args, **kwargs):
        """Calls the store between the two points."""
        return await self.around(self.store.revoke_lease, *args, **kwargs)

    def watch(self, *args, **kwargs):
        """Watches the store; a pause does not matter to it."""
        return self.store.watch(*args, **kwargs)


@attrs.define(eq=False)
class Router:
    """One router process.

    Attributes:
        name: Its id, never used again.
        claims: Its claims.
        view: Which routers it thinks are alive.
        pause: Whether it is paused.
        scope: Cancelled when it is killed.
        nursery: Its tasks, those that serve callers too.
    """

    name: str
    claims: claims_module.Claims
    view: fakes.Membership
    pause: Pause
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    nursery: trio.Nursery | None = None


class Fleet:
    """Routers that are killed and replaced; each learns of it on its own.

    Attributes:
        live: Routers that run, by name.
        store: The key-value service.
        network: Links between the routers.
        started: Routers started so far, for new names.
    """

    def __init__(
        self,
        store: key_value.MemoryStore,
        rng: random.Random,
        policy: claims_module.ClaimPolicy,
        make=claims_module.Claims,
    ) -> None:
        self.store = store
        self.rng = rng
        self.policy = policy
        self.make = make
        self.network = fakes.Network(rng.randrange(2**32), latency=0.0005)
        self.live: dict[str, Router] = {}
        self.started = 0

    async def start(self, nursery: trio.Nursery) -> Router:
        """Starts a router that knows the live ones."""
        name = f'router-{self.started}'
        self.started += 1
        pause = Pause()
        view = fakes.Membership([*self.live, name])
        claims = self.make(
            name,
            PausableStore(self.store, pause),
            fakes.Link(name, self.network),
            view,
            random.Random(self.rng.randrange(2**32)),
            policy=self.policy,
            clock=trio.current_time,
        )
        router = Router(name, claims, view, pause)
        self.live[name] = router
        await nursery.start(self.run, router)
        for other in list(self.live.values()):
            nursery.start_soon(self.learn, other, name, True)
        return router

    async def run(self, router: Router, task_status) -> None:
        """Runs a router until it is killed."""
        with router.scope:
            async with trio.open_nursery() as nursery:
                router.nursery = nursery
                nursery.start_soon(router.claims.link.run)
                nursery.start_soon(router.claims.run)
                task_status.started()

    async def learn(self, router: Router, name: str, alive: bool) -> None:
        """Lets a router learn of a change, late."""
        await trio.sleep(self.rng.uniform(0.5, 4.0))
        names = [n for n in router.view.names if n != name]
        router.view.set_routers([*names, name] if alive else names)

    def kill(self, name: str, nursery: trio.Nursery) -> None:
        """Kills a router with everything that it holds."""
        router = self.live.pop(name)
        router.scope.cancel()
        self.network.down.add(name)
        for other in self.live.values():
            nursery.start_soon(self.learn, other, name, False)


def virtual(seed: int, main):
    """Runs a trial on the virtual clock, the same way for the same seed."""
    # trio mixes the order of tasks that are ready at once; it offers no
    # public way to make that the same in each run
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(seed)
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(main, clock=clock)
