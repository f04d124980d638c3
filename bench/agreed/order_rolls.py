"""Rolls of versions under kills, pauses and outages of controllers."""

from __future__ import annotations

import collections
import random

import attrs
import trio

from bench.agreed import engines as engines_module
from bench.agreed import fleets
from lavenderbend.coordination import interfaces
from lavenderbend.coordination.orders import orders as orders_module
from lavenderbend.standin import key_value
from lavenderbend.standin import weight_store
from lavenderbend.state import configuration
from lavenderbend.state import orders
from lavenderbend.state import upstreams
from tests.test_coordination import agreed_fakes as fakes

ROUTERS = 3
ENGINES = 9
REPLICAS = {'assistant': 6, 'sorter': 2}
BAD_SHARE = 0.3
ROLL_SECONDS = 600.0
WEIGHTS_PER_SECOND = 0.6


@attrs.frozen
class Result:
    """What the run showed.

    Attributes:
        orders: Orders carried out that changed something.
        stale_checking: Orders of a former holder carried out on checking
            engines after the next one had begun to order.
        stale_others: The same on other engines, after the stated wait.
        too_few: Samples with fewer engines of a model than must serve.
        weights_refused: Loads over the weight store's rate.
        most_exposed: Engines of a pool that met one bad version, at most.
        rolls: Versions asked for.
        bad_rolls: Of them bad ones.
        unsettled: Models not at the version they should be at, at the end.
        holders: Leases held.
        kills: Controllers killed.
        pauses: Pauses.
    """

    orders: int
    stale_checking: int
    stale_others: int
    too_few: int
    weights_refused: int
    most_exposed: int
    rolls: int
    bad_rolls: int
    unsettled: int
    holders: int
    kills: int
    pauses: int


class Configurations(interfaces.Configurations):
    """A configuration that the trial changes."""

    def __init__(self) -> None:
        self.revision = configuration.Revision(
            0, '', configuration.Configuration()
        )

    def current(self):
        """Returns it."""
        return self.revision

    async def wait_beyond(self, number):
        """Not used by controllers."""
        raise NotImplementedError


class Trial:
    """One run."""

    def __init__(
        self,
        seconds: float,
        seed: int,
        policy: orders_module.OrderPolicy,
        engines_check: bool,
        read_seconds: float,
    ) -> None:
        self.seconds = seconds
        self.rng = random.Random(seed)
        self.policy = policy
        self.allowed = policy
        self.store = key_value.MemoryStore(
            random.Random(seed + 1),
            key_value.Faults(latency=0.001, lost_answers=0.05, late_writes=0.5),
        )
        self.weights = weight_store.WeightStore(WEIGHTS_PER_SECOND, 2.0)
        self.faults = engines_module.OrderFaults()
        self.bad: set[str] = set()
        self.engines: dict[str, engines_module.Engine] = {}
        for pool in ('checking', 'others'):
            for number in range(ENGINES):
                name = f'{pool}-{number}'
                self.engines[name] = engines_module.Engine(
                    name,
                    self.first_target(number),
                    pool == 'checking' and engines_check,
                    self.bad,
                    self.weights,
                    read_seconds=read_seconds,
                )
        self.configurations = Configurations()
        self.versions = dict.fromkeys(REPLICAS, '1')
        self.good = dict.fromkeys(REPLICAS, '1')
        self.counts: collections.Counter[str] = collections.Counter()
        self.live: dict[str, tuple] = {}
        self.serves_since: dict[tuple[str, str], float] = {}

    def first_target(self, number: int) -> orders.Target:
        """Returns what an engine serves at first; the last one is spare."""
        for model, replicas in REPLICAS.items():
            if number < replicas:
                return orders.Target(model, '1')
            number -= replicas
        return orders.Target('old', '1')

    def configure(self) -> None:
        """Puts the wanted versions in force."""
        document = configuration.Configuration(
            pools=(
                configuration.Pool('checking', 'checking'),
                configuration.Pool('others', 'others', checks_fencing=False),
            ),
            orders=tuple(
                configuration.Order(pool, model, self.versions[model], replicas)
                for pool in ('checking', 'others')
                for model, replicas in REPLICAS.items()
            ),
        )
        number = self.configurations.revision.number + 1
        self.configurations.revision = configuration.Revision(
            number, '', document
        )

    async def run(self) -> Result:
        """Runs everything and returns what it showed."""
        self.configure()
        async with trio.open_nursery() as nursery:
            for number in range(ROUTERS):
                self.start(f'router-{number}', nursery)
            async with trio.open_nursery() as faults:
                faults.start_soon(self.sample)
                faults.start_soon(self.roll)
                faults.start_soon(self.pause)
                faults.start_soon(self.kill, nursery)
                faults.start_soon(self.break_service)
                await trio.sleep(self.seconds)
                faults.cancel_scope.cancel()
            self.store.fault(outage=False)
            self.faults.pause_share = self.faults.lost_answers = 0.0
            await trio.sleep(3 * ROLL_SECONDS)
            nursery.cancel_scope.cancel()
        return self.result()

    def start(self, name: str, nursery: trio.Nursery) -> None:
        """Starts a router with its controllers."""
        vms = [
            upstreams.Vm(
                id=engine,
                host='127.0.0.1',
                port=1,
                availability_zone='z',
                service=engine.partition('-')[0],
                kind=upstreams.UpstreamKind.ENGINE,
            )
            for engine in self.engines
        ]
        names = [f'router-{number}' for number in range(ROUTERS)]
        pause = fleets.Pause()
        controller = orders_module.OrderController(
            name,
            fleets.PausableStore(self.store, pause),
            fakes.Membership(names, vms),
            self.configurations,
            engines_module.PausableOrderer(
                self.engines, pause, nursery, self.rng, self.faults
            ),
            random.Random(self.rng.randrange(2**32)),
            policy=self.policy,
        )
        scope = trio.CancelScope()
        self.live[name] = (pause, scope)

        async def run():
            with scope:
                await controller.run()

        nursery.start_soon(run)

    async def roll(self) -> None:
        """Asks for a new version of one model now and then."""
        number = 1
        while True:
            await trio.sleep(self.rng.uniform(0.7, 1.3) * ROLL_SECONDS)
            number += 1
            model = self.rng.choice(list(REPLICAS))
            version = str(number)
            self.versions[model] = version
            self.counts['rolls'] += 1
            if self.rng.random() < BAD_SHARE:
                self.bad.add(version)
                self.counts['bad rolls'] += 1
            self.configure()

    async def pause(self) -> None:
        """Pauses a router, often for longer than its lease."""
        while True:
            await trio.sleep(self.rng.uniform(20, 120))
            pause, _ = self.rng.choice(list(self.live.values()))
            length = self.rng.choice((5.0, 50.0, 90.0, 200.0))
            pause.until = trio.current_time() + length
            self.counts['pauses'] += 1

    async def kill(self, nursery: trio.Nursery) -> None:
        """Kills a router; it comes back."""
        while True:
            await trio.sleep(self.rng.uniform(200, 600))
            name = self.rng.choice(list(self.live))
            self.live.pop(name)[1].cancel()
            self.counts['kills'] += 1
            self.start(name, nursery)

    async def break_service(self) -> None:
        """Takes the key-value service down."""
        while True:
            await trio.sleep(self.rng.uniform(200, 800))
            self.store.fault(outage=True)
            await trio.sleep(self.rng.uniform(5, 120))
            self.store.fault(outage=False)

    async def sample(self) -> None:
        """Counts how many engines serve each model."""
        while True:
            await trio.sleep(1.0)
            for pool in ('checking', 'others'):
                for model, replicas in REPLICAS.items():
                    up = sum(
                        engine.healthy and engine.target.model == model
                        for name, engine in self.engines.items()
                        if name.startswith(pool)
                    )
                    down = max(1, int(replicas * self.allowed.unavailable))
                    self.counts['too few'] += up < replicas - down

    def result(self) -> Result:
        """Counts what happened."""
        carried = [c for e in self.engines.values() for c in e.carried]
        exposed = collections.defaultdict(set)
        for item in carried:
            if item.changed and item.order.target.version in self.bad:
                pool = item.engine.partition('-')[0]
                exposed[pool, item.order.target.version].add(item.engine)
        return Result(
            orders=sum(item.changed for item in carried),
            stale_checking=self.stale('checking'),
            stale_others=self.stale('others'),
            too_few=self.counts['too few'],
            weights_refused=self.weights.refused,
            most_exposed=max(map(len, exposed.values()), default=0),
            rolls=self.counts['rolls'],
            bad_rolls=self.counts['bad rolls'],
            unsettled=self.unsettled(),
            holders=len({item.order.fencing for item in carried}),
            kills=self.counts['kills'],
            pauses=self.counts['pauses'],
        )

    def stale(self, pool: str) -> int:
        """Counts orders carried out after a later holder had begun."""
        carried = sorted(
            (
                item
                for name, engine in self.engines.items()
                if name.startswith(pool)
                for item in engine.carried
            ),
            key=lambda item: item.at,
        )
        highest = 0
        count = 0
        for item in carried:
            if item.order.fencing < highest and item.changed:
                count += 1
            if item.changed:
                highest = max(highest, item.order.fencing)
        return count

    def unsettled(self) -> int:
        """Counts pools whose models are not where they should be."""
        count = 0
        for pool in ('checking', 'others'):
            for model, replicas in REPLICAS.items():
                states = [
                    engine
                    for name, engine in self.engines.items()
                    if name.startswith(pool) and engine.target.model == model
                ]
                up = [engine for engine in states if engine.healthy]
                versions = {engine.target.version for engine in up}
                wanted = self.versions[model]
                right = versions == {wanted} or wanted in self.bad
                if len(up) < replicas or len(versions) != 1 or not right:
                    count += 1
        return count


def run(
    seconds: float = 20_000.0,
    seed: int = 1,
    policy: orders_module.OrderPolicy | None = None,
    engines_check: bool = True,
    read_seconds: float = 60.0,
) -> Result:
    """Runs the trial on the virtual clock."""
    policy = policy or orders_module.OrderPolicy(load_interval=4.0)
    trial = Trial(seconds, seed, policy, engines_check, read_seconds)
    return fleets.virtual(seed, trial.run)
