"""Spread of a change whose acceptance is the service's last answer."""

from __future__ import annotations

import random

import attrs
import trio

from bench.agreed import fleets
from lavenderbend.coordination.configuration import (
    follower as configuration_follower,
)
from lavenderbend.standin import key_value
from tests.test_coordination import agreed_fakes as fakes


@attrs.frozen
class Result:
    """What the run showed.

    Attributes:
        routers: How many follow.
        changes: Changes accepted.
        slowest_ms: Longest time from acceptance until in force everywhere.
        mean_ms: The mean of those times.
    """

    routers: int
    changes: int
    slowest_ms: float
    mean_ms: float


class DyingStore(key_value.MemoryStore):
    """Goes down as soon as a change of configuration was written."""

    def put(self, key: str, value: bytes, lease: int) -> bool:
        """Writes, and is down from then on; no watch hears of it."""
        watchers, self.watchers = self.watchers, trio.lowlevel.ParkingLot()
        done = super().put(key, value, lease)
        self.watchers = watchers
        self.faults = attrs.evolve(self.faults, outage=True)
        return done

    async def create(self, *args, **kwargs) -> bool:
        """Writes; the answer to this one still comes."""
        began = len(self.items)
        try:
            return await super().create(*args, **kwargs)
        except Exception:
            if len(self.items) == began:
                raise
            return True


class Trial:
    """One run."""

    def __init__(self, routers: int, changes: int) -> None:
        self.routers = routers
        self.changes = changes
        self.store = DyingStore(
            random.Random(1),
            key_value.Faults(latency=0.001, jitter=0.001, give_up=0.0),
        )
        self.network = fakes.Network(2)
        self.followers: list = []

    async def run(self) -> Result:
        """Runs everything and returns what it showed."""
        rng = random.Random(3)
        times = []
        async with trio.open_nursery() as nursery:
            names = [f'router-{number}' for number in range(self.routers)]
            view = fakes.Membership(names)
            for name in names:
                link = fakes.Link(name, self.network)
                follower = configuration_follower.ConfigurationFollower(
                    name, self.store, link, view, random.Random(name)
                )
                self.followers.append(follower)
                nursery.start_soon(link.run)
                nursery.start_soon(follower.run)
            for number in range(self.changes):
                self.store.fault(outage=False)
                await trio.sleep(rng.uniform(10, 20))
                acceptor = rng.choice(self.followers)
                await acceptor.accept(
                    fakes.document(f'rule {number}'), number, 'bench', ''
                )
                began = trio.current_time()
                for follower in self.followers:
                    await follower.wait_beyond(number)
                times.append(1000 * (trio.current_time() - began))
            nursery.cancel_scope.cancel()
        return Result(
            self.routers, len(times), max(times), sum(times) / len(times)
        )


def run(routers: int = 7, changes: int = 50) -> Result:
    """Runs the trial on the virtual clock."""
    return fleets.virtual(1, Trial(routers, changes).run)
