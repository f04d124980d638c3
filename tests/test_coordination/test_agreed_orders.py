from __future__ import annotations

import random

import attrs
import trio

from bench.agreed import engines as engines_module
from bench.agreed import fleets
from bench.agreed import measures
from bench.agreed import order_rolls
from bench.decisions import views as decision_views
from lavenderbend import errors
from lavenderbend.coordination.orders import orders as orders_module
from lavenderbend.coordination.orders import rollout_records
from lavenderbend.standin import weight_store
from lavenderbend.state import configuration
from lavenderbend.state import orders
from lavenderbend.state import upstreams
from tests.test_coordination import agreed_fakes as fakes

OLD = orders.Target('m', '1')
NEW = orders.Target('m', '2')


def situation(states, busy=None, proven=(OLD,)):
    return orders.Situation(
        {
            name: orders.EngineState(0, target, healthy)
            for name, (target, healthy) in states.items()
        },
        busy or {},
        proven,
    )


def test_new_target_goes_to_one_engine_first():
    states = {f'e{n}': (OLD, True) for n in range(8)}
    wanted = (orders.Wanted(NEW, 8),)
    assert len(orders.plan(wanted, situation(states))) == 1
    busy = {'e0': NEW}
    assert orders.plan(wanted, situation(states, busy)) == ()


def test_proven_target_takes_down_no_more_than_the_share():
    states = {f'e{n}': (OLD, True) for n in range(8)}
    states['e0'] = (NEW, True)
    steps = orders.plan(
        (orders.Wanted(NEW, 8),), situation(states, proven=(OLD, NEW))
    )
    assert [step.upstream for step in steps] == ['e1', 'e2']


def test_engine_that_is_down_counts_against_the_share():
    states = {f'e{n}': (OLD, True) for n in range(8)}
    states['e0'] = (NEW, True)
    states['e7'] = (OLD, False)
    steps = orders.plan(
        (orders.Wanted(NEW, 8),), situation(states, proven=(OLD, NEW))
    )
    assert [step.upstream for step in steps] == ['e7', 'e1']


def test_spare_engine_is_loaded_before_a_serving_one_is_taken_down():
    states = {'e0': (OLD, True), 'e1': (orders.Target('x', '1'), True)}
    steps = orders.plan((orders.Wanted(NEW, 1),), situation(states))
    assert steps == (orders.Step('e1', NEW),)


def test_frozen_model_gets_no_orders():
    states = {'e0': (OLD, True), 'e1': (NEW, False)}
    wanted = (orders.Wanted(NEW, 2, frozen=True),)
    assert orders.plan(wanted, situation(states)) == ()


class Pool:
    """One pool of engines, and routers that may send orders to them."""

    def __init__(self, nursery, checks, policy, engines=1):
        self.nursery = nursery
        self.store = fakes.service()
        self.policy = policy
        self.engines = {
            f'pool-{n}': engines_module.Engine(
                f'pool-{n}',
                OLD,
                checks,
                set(),
                weight_store.WeightStore(10.0, 10.0),
            )
            for n in range(engines)
        }
        self.vms = [
            upstreams.Vm(
                name, '', 1, 'z', 'pool', upstreams.UpstreamKind.ENGINE
            )
            for name in self.engines
        ]
        self.checks = checks
        self.configurations = order_rolls.Configurations()
        self.faults = engines_module.OrderFaults(0.0, 0.0)

    def configure(self, version, number, replicas=1):
        document = configuration.Configuration(
            pools=(
                configuration.Pool('p', 'pool', checks_fencing=self.checks),
            ),
            orders=(configuration.Order('p', 'm', version, replicas),),
        )
        self.configurations.revision = configuration.Revision(
            number, '', document
        )

    def start(self, name, orderer_class=engines_module.PausableOrderer):
        pause = fleets.Pause()
        orderer = orderer_class(
            self.engines, pause, self.nursery, random.Random(1), self.faults
        )
        controller = orders_module.OrderController(
            name,
            fleets.PausableStore(self.store, pause),
            fakes.Membership(['a', 'b'], self.vms),
            self.configurations,
            orderer,
            random.Random(name),
            policy=self.policy,
        )
        self.nursery.start_soon(controller.run)
        return controller


class PausedInSecondOrder(engines_module.PausableOrderer):
    """Pauses a router after the lease check of its second order.

    Attributes:
        pause_seconds: Duration of the pause.
        pause_at_stop: Number of the call of `stop` at which it is paused.
        checked: Set when it is paused.
        stops: Number of calls of `stop`.
    """

    pause_seconds = 110.0
    # Each order calls `stop` twice; the second call follows the check.
    pause_at_stop = 4

    def __init__(self, *args):
        super().__init__(*args)
        self.checked = trio.Event()
        self.stops = 0

    async def stop(self):
        self.stops += 1
        if self.stops == self.pause_at_stop:
            self.checked.set()
            self.pause.until = trio.current_time() + self.pause_seconds
        await super().stop()


class PausedInFirstOrder(PausedInSecondOrder):
    """Pauses in the first order, as no order announces a fencing number."""

    pause_at_stop = 2


async def paused_holder(
    nursery, checks, policy, read_seconds=60.0, engine_checks=None
):
    """Runs two controllers; returns the orders that the engine executed.

    The first holder checks its lease, is paused for minutes, and then sends
    its order for version 2. Meanwhile the other controller has acquired the
    lease and ordered version 3 from the engine.
    """
    pool = Pool(nursery, checks, policy)
    pool.engines['pool-0'].read_seconds = read_seconds
    if engine_checks is not None:
        pool.engines['pool-0'].checks = engine_checks
    pool.configure('2', 1)
    first = pool.start(
        'a', PausedInSecondOrder if checks else PausedInFirstOrder
    )
    await first.orderer.checked.wait()
    pool.configure('3', 2)
    pool.start('b')
    await trio.sleep(300)
    engine = pool.engines['pool-0']
    return [
        (execution.order.target.version, execution.order.fencing)
        for execution in engine.carried
        if execution.changed
    ]


class NoTakeoverWait(orders_module.OrderPolicy):
    """Does not wait after acquiring the lease."""

    takeover_wait = 0.0


async def test_engine_that_checks_refuses_a_holder_paused_after_its_check(
    nursery, autojump_clock
):
    """The engine refuses the order that its sender sends after a pause."""
    executed = await paused_holder(
        nursery, True, orders_module.OrderPolicy(), read_seconds=1e9
    )
    assert [version for version, _ in executed] == ['3']


async def test_engine_wrongly_configured_to_check_executes_the_old_order(
    nursery, autojump_clock
):
    """Verifies that the test above would detect a stale order."""
    executed = await paused_holder(
        nursery,
        True,
        orders_module.OrderPolicy(),
        read_seconds=1e9,
        engine_checks=False,
    )
    assert [version for version, _ in executed][:2] == ['3', '2']


async def test_engine_that_ignores_fencing_drops_a_late_body(
    nursery, autojump_clock
):
    """The engine has dropped the request when its sender resumes."""
    executed = await paused_holder(nursery, False, orders_module.OrderPolicy())
    assert [version for version, _ in executed] == ['3']


async def test_next_holder_waits_as_long_as_the_engine_may_read(
    nursery, autojump_clock
):
    """An engine with a long read timeout executes the old order first.

    The next holder sends orders only after that, so its order is the last.
    """
    policy = orders_module.OrderPolicy(engine_read_seconds=150.0)
    executed = await paused_holder(nursery, False, policy, read_seconds=150.0)
    assert [version for version, _ in executed] == ['2', '3']


async def test_without_the_wait_the_old_order_undoes_the_new_one(
    nursery, autojump_clock
):
    """Verifies that the tests above would detect a stale order."""
    executed = await paused_holder(
        nursery, False, NoTakeoverWait(), read_seconds=150.0
    )
    versions = [version for version, _ in executed]
    assert versions[:2] == ['3', '2']


async def test_bad_version_stops_the_roll_and_goes_back(
    nursery, autojump_clock
):
    """Version 2 cannot be served; at most two engines may try it."""
    policy = orders_module.OrderPolicy(bake_seconds=5.0)
    pool = Pool(nursery, True, policy, engines=8)
    pool.configure('1', 1, 8)
    pool.start('a')
    await trio.sleep(60)
    for engine in pool.engines.values():
        engine.bad = {'2'}
    pool.configure('2', 2, 8)
    await trio.sleep(300)
    tried = [
        engine.id
        for engine in pool.engines.values()
        if any(e.order.target == NEW for e in engine.carried)
    ]
    assert 1 <= len(tried) <= 2
    targets = {engine.target for engine in pool.engines.values()}
    assert targets == {OLD}
    assert all(engine.healthy for engine in pool.engines.values())
    pool.configure('3', 3, 8)
    await trio.sleep(300)
    versions = {e.target.version for e in pool.engines.values()}
    assert versions == {'3'}


def test_rolls_under_kills_pauses_and_outages():
    result = order_rolls.run(2500.0, seed=3)
    assert result.orders > 10
    assert min(result.kills, result.pauses) > 0
    exceeded = [m for m in measures.of_order_rolls(result) if not m.holds]
    assert not exceeded


def test_roll_check_finds_too_few_serving():
    policy = orders_module.OrderPolicy(load_interval=0.0, unavailable=1.0)
    strict = attrs.evolve(policy, unavailable=0.25)
    trial = order_rolls.Trial(3000.0, 2, policy, True, 60.0)
    trial.allowed = strict
    trial.faults.pause_share = 0.0
    trial.weights.rate = trial.weights.burst = 10.0
    result = fleets.virtual(2, trial.run)
    assert result.too_few > 0


class RegionMembership(fakes.Membership):
    """Routers of two regions, as a router of the second sees them."""

    def region_routers(self):
        return tuple(name for name in self.names if name.startswith('north'))


def test_each_region_has_its_own_controller():
    # Guards against one controller per pool for all regions: its router does
    # not see the engines of other regions, so they never get a new version.
    names = [f'south-{n}' for n in range(20)] + ['north-0', 'north-1']
    document = configuration.Configuration(
        pools=(configuration.Pool('chat', 'model'),),
        orders=(configuration.Order('chat', 'm', '2', 1),),
    )
    candidates = []
    for name in ('north-0', 'north-1'):
        controller = orders_module.OrderController(
            name,
            fakes.service(),
            RegionMembership(names),
            decision_views.FixedConfiguration(document),
            None,
            random.Random(1),
        )
        if controller.candidate_pools() == {'chat'}:
            candidates.append(name)

    assert candidates


async def test_failure_noted_during_a_save_reaches_the_next_controller(
    monkeypatch, autojump_clock
):
    # An order of a bad version fails while a save reads back what it wrote,
    # and the write of this failure is refused. Guards against counting the
    # failure as saved because the first write succeeded: the next controller
    # would try the bad version again.
    store = fakes.service(jitter=0.0)
    records = rollout_records.RolloutRecords(store, '/memory')

    async def refuse(*args):
        raise errors.KeyValueUnavailable('over the rate')

    records.note_good(OLD)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(records.save)
        # The write has ended, and the read back is in transit.
        await trio.sleep(0.003)
        assert store.calls['read'] == store.calls['create'] == 1
        records.note_failure(NEW)
        with monkeypatch.context() as patch:
            patch.setattr(store, 'create', refuse)
            patch.setattr(store, 'replace', refuse)
            await records.save()
    await records.save()
    successor = rollout_records.RolloutRecords(store, '/memory')
    await successor.load()
    assert successor.good == {'m': OLD}
    assert successor.failures == {'m': rollout_records.Failures(NEW, 1)}
