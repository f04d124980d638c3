"""Controller that sends orders to the engines of one pool."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend import errors
from lavenderbend.coordination.orders import calls as order_calls
from lavenderbend.observe import logs
from lavenderbend.state import configuration
from lavenderbend.state import orders

if TYPE_CHECKING:
    from lavenderbend.coordination import leases
    from lavenderbend.coordination.orders import orders as orders_module
    from lavenderbend.coordination.orders import rollout_records
    from lavenderbend.state import upstreams


@attrs.define
class PendingOrder:
    """An order that was sent and is not known to be carried out.

    Attributes:
        target: Target of the order.
        sent_at: Clock when it was order.
        answered: Whether the call to the engine has ended.
    """

    target: orders.Target
    sent_at: float
    answered: bool = False


class PoolController:
    """Sends orders to the engines of one pool while it holds the lease.

    Attributes:
        pool: Name of the pool.
        lease: The lease of the pool.
        records: Results that earlier controllers stored.
        engines: Calls to the engines.
        states: States of the engines as last read, by engine.
        pending: Orders in progress, by engine.
        healthy_since: Clock since which a target is served by a healthy
            engine.
        proven: Targets that an engine has served for `bake_seconds`.
        fencing_announced: Engines that have seen the fencing number of this
            lease.
        last_sent: Clock when the last order was order.
    """

    def __init__(
        self,
        pool: str,
        lease: leases.Lease,
        records: rollout_records.RolloutRecords,
        controller: orders_module.OrderController,
    ) -> None:
        self.pool = pool
        self.lease = lease
        self.records = records
        self.membership = controller.membership
        self.configurations = controller.configurations
        self.policy = controller.policy
        self.engines = order_calls.EngineCalls(
            controller.orderer, lease, controller.policy
        )
        self.states: dict[str, orders.EngineState] = {}
        self.pending: dict[str, PendingOrder] = {}
        self.healthy_since: dict[orders.Target, float] = {}
        self.proven: set[orders.Target] = set()
        self.fencing_announced: set[str] = set()
        self.last_sent = float('-inf')

    async def run(self) -> None:
        """Acquires the lease and sends orders, again after each loss of it."""
        while True:
            await self.lease.acquire()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.renew_lease, nursery.cancel_scope)
                nursery.start_soon(self.send_orders, nursery)

    async def renew_lease(self, scope: trio.CancelScope) -> None:
        """Renews the lease; cancels all work under it when it is lost."""
        await self.lease.renew_until_lost()
        scope.cancel()

    async def send_orders(self, nursery: trio.Nursery) -> None:
        """Reads the engines and sends orders until cancelled."""
        self.pending.clear()
        self.fencing_announced.clear()
        self.healthy_since.clear()
        if not self.checks_fencing():
            # Engines that ignore fencing numbers would carry out an order
            # that the former holder began before it was paused. After this
            # wait the order has ended, or the engine has dropped it.
            await trio.sleep(self.policy.takeover_wait)
        await self.load_records()
        while True:
            self.states = await self.engines.read(self.vms().values())
            await self.announce_fencing()
            self.update_outcomes()
            self.start_due_orders(nursery)
            await self.records.save()
            await trio.sleep(self.policy.interval)

    async def load_records(self) -> None:
        """Reads what earlier controllers stored; retries until it succeeds."""
        while True:
            try:
                await self.records.load()
            except errors.KeyValueError:
                await trio.sleep(self.policy.interval)
                continue
            self.proven = set(self.records.good.values())
            return

    def checks_fencing(self) -> bool:
        """Returns whether the pool's engines check fencing numbers."""
        pool = self.document().pool(self.pool)
        return pool is not None and pool.checks_fencing

    def document(self) -> configuration.Configuration:
        """Returns the configuration in force, an empty one if there is none."""
        try:
            return self.configurations.current().document
        except errors.RequestError:
            return configuration.Configuration()

    def vms(self) -> dict[str, upstreams.Vm]:
        """Returns the engines of the pool, by VM id."""
        pool = self.document().pool(self.pool)
        if pool is None:
            return {}
        return {vm.id: vm for vm in self.membership.upstreams(pool.service)}

    def configured_targets(self) -> tuple[orders.Wanted, ...]:
        """Returns the configured targets of the pool's models.

        A bad target is replaced by the last good one of its model; without a
        good one the model is frozen.
        """
        configured = []
        for order in self.document().orders:
            if order.pool != self.pool:
                continue
            target = orders.Target(
                order.model, order.version, order.adapters, order.role
            )
            self.records.clear_bad(order.model, target)
            bad = self.records.bad.get(order.model) == target
            good = self.records.good.get(order.model)
            if bad and good is not None:
                configured.append(orders.Wanted(good, order.replicas))
            else:
                configured.append(orders.Wanted(target, order.replicas, bad))
        return tuple(configured)

    async def announce_fencing(self) -> None:
        """Sends the fencing number of this lease to engines that check it.

        Until an engine has seen it, the engine would still carry out an order
        that the former holder began before it was paused. The number is sent
        with an order for the target that the engine already serves, which
        changes nothing else.
        """
        if not self.checks_fencing():
            return
        vms = self.vms()
        async with trio.open_nursery() as nursery:
            for engine in sorted(self.states.keys() - self.fencing_announced):
                if engine in vms:
                    nursery.start_soon(self.announce_fencing_to, vms[engine])

    async def announce_fencing_to(self, vm: upstreams.Vm) -> None:
        """Sends the fencing number of this lease to one engine."""
        state = self.states[vm.id]
        if state.fencing >= self.lease.fencing:
            self.fencing_announced.add(vm.id)
            return
        order = orders.EngineOrder(self.lease.fencing, state.target)
        result = await self.engines.deliver(vm, order)
        if result is order_calls.OrderResult.DONE:
            self.fencing_announced.add(vm.id)

    def update_outcomes(self) -> None:
        """Compares what engines serve with the targets of their orders."""
        now = trio.current_time()
        for engine, order in list(self.pending.items()):
            state = self.states.get(engine)
            healthy = state is not None and state.healthy
            if healthy and state.target == order.target:
                del self.pending[engine]
                self.healthy_since.setdefault(order.target, now)
            elif now - order.sent_at > self.policy.settle_seconds:
                self.record_failure(engine, order.target)
            elif order.answered and healthy:
                # The reply was lost, and the order too, as the healthy engine
                # does not serve its target: it may be sent again.
                del self.pending[engine]
        for target, since in self.healthy_since.items():
            if now - since >= self.policy.bake_seconds:
                self.proven.add(target)
        for configured in self.configured_targets():
            self.update_rollout(configured)

    def update_rollout(self, configured: orders.Wanted) -> None:
        """Records whether a target is served, and whether by all replicas."""
        serving = [
            engine
            for engine, state in self.states.items()
            if state.target == configured.target and state.healthy
        ]
        if not serving:
            self.healthy_since.pop(configured.target, None)
            return
        self.healthy_since.setdefault(configured.target, trio.current_time())
        if (
            len(serving) >= configured.replicas
            and configured.target in self.proven
        ):
            self.records.note_good(configured.target)

    def record_failure(self, engine: str, target: orders.Target) -> None:
        """Records that an engine failed to serve a target.

        After `OrderPolicy.failures` failures in a row the rollout is stopped,
        unless the target is the last good one.
        """
        self.pending.pop(engine, None)
        if self.records.note_failure(target) < self.policy.failures:
            return
        if self.records.good.get(target.model) == target:
            return
        self.records.note_bad(target)
        logs.change(
            'roll_stopped',
            pool=self.pool,
            model=target.model,
            version=target.version,
        )

    def start_due_orders(self, nursery: trio.Nursery) -> None:
        """Starts the next orders, within the limits of the policy."""
        situation = orders.Situation(
            self.states,
            {engine: order.target for engine, order in self.pending.items()},
            self.proven,
            self.policy.unavailable,
        )
        vms = self.vms()
        for step in orders.plan(self.configured_targets(), situation):
            if len(self.pending) >= self.policy.loads_at_once:
                return
            now = trio.current_time()
            if now - self.last_sent < self.policy.load_interval:
                return
            if step.upstream not in vms or not self.may_send_to(step.upstream):
                continue
            state = self.states[step.upstream]
            if state.target == step.target:
                # The engine has loaded this target but is not healthy: the
                # order of an earlier controller failed, and the failure was
                # not counted.
                self.record_failure(step.upstream, step.target)
                if self.is_bad(step.target):
                    return
            self.last_sent = now
            self.pending[step.upstream] = PendingOrder(step.target, now)
            nursery.start_soon(self.send_order, vms[step.upstream], step.target)

    def is_bad(self, target: orders.Target) -> bool:
        """Returns whether the rollout of a target was stopped."""
        return self.records.bad.get(target.model) == target

    def may_send_to(self, engine: str) -> bool:
        """Returns whether an order may be sent to an engine now.

        An engine that checks fencing numbers must have seen the current one.
        """
        return engine in self.fencing_announced or not self.checks_fencing()

    async def send_order(self, vm: upstreams.Vm, target: orders.Target) -> None:
        """Sends one order and records its outcome."""
        pending = self.pending[vm.id]
        order = orders.EngineOrder(self.lease.fencing, target)
        result = await self.engines.deliver(vm, order)
        pending.answered = True
        if result is order_calls.OrderResult.FAILED:
            self.record_failure(vm.id, target)
            # Saved at once: the next controller must know of the failure
            # before it tries another engine.
            await self.records.save()
