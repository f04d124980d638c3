"""Orders for the engines of one pool, sent under a lease."""

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
    from lavenderbend.coordination.orders import memory as order_memory
    from lavenderbend.coordination.orders import orders as orders_module
    from lavenderbend.state import upstreams


@attrs.define
class Sent:
    """An order that was sent and not seen to be carried out.

    Attributes:
        target: What was ordered.
        at: When.
        answered: Whether the call is over.
    """

    target: orders.Target
    at: float
    answered: bool = False


class PoolController:
    """Orders the engines of one pool while it holds the lease.

    Attributes:
        pool: The pool.
        lease: The lease.
        memory: What earlier controllers left.
        engines: Calls to the engines.
        states: Engines as last read.
        sent: Orders in progress, by engine.
        proven: Targets that an engine has served well for some time.
    """

    def __init__(
        self,
        pool: str,
        lease: leases.Lease,
        memory: order_memory.OrderMemory,
        controller: orders_module.OrderController,
    ) -> None:
        self.pool = pool
        self.lease = lease
        self.memory = memory
        self.membership = controller.membership
        self.configurations = controller.configurations
        self.policy = controller.policy
        self.engines = order_calls.EngineCalls(
            controller.orderer, lease, controller.policy
        )
        self.states: dict[str, orders.EngineState] = {}
        self.sent: dict[str, Sent] = {}
        self.well_since: dict[orders.Target, float] = {}
        self.proven: set[orders.Target] = set()
        self.announced: set[str] = set()
        self.last_sent = float('-inf')

    async def run(self) -> None:
        """Holds the lease and orders, again and again."""
        while True:
            await self.lease.acquire()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.hold, nursery.cancel_scope)
                nursery.start_soon(self.order, nursery)

    async def hold(self, scope: trio.CancelScope) -> None:
        """Keeps the lease; its loss ends everything done under it."""
        await self.lease.renew_until_lost()
        scope.cancel()

    async def order(self, nursery: trio.Nursery) -> None:
        """Reads the engines and sends what they need, until cancelled."""
        self.sent.clear()
        self.announced.clear()
        self.well_since.clear()
        if not self.checks_fencing():
            # engines that ignore the number would carry out an order that
            # the last holder began before it was paused: it is over, or
            # dropped by the engine, when this has passed
            await trio.sleep(self.policy.takeover_wait)
        await self.load_memory()
        while True:
            self.states = await self.engines.read(self.vms().values())
            await self.announce()
            self.judge()
            self.send_steps(nursery)
            await self.memory.save()
            await trio.sleep(self.policy.interval)

    async def load_memory(self) -> None:
        """Reads what earlier controllers left, however long it takes."""
        while True:
            try:
                await self.memory.load()
            except errors.KeyValueError:
                await trio.sleep(self.policy.interval)
                continue
            self.proven = set(self.memory.good.values())
            return

    def checks_fencing(self) -> bool:
        """Returns whether the pool's engines check fencing numbers."""
        pool = self.document().pool(self.pool)
        return pool is not None and pool.checks_fencing

    def document(self) -> configuration.Configuration:
        """Returns the configuration in force, an empty one without."""
        try:
            return self.configurations.current().document
        except errors.RequestError:
            return configuration.Configuration()

    def vms(self) -> dict[str, upstreams.Vm]:
        """Returns the engines of the pool."""
        pool = self.document().pool(self.pool)
        if pool is None:
            return {}
        return {vm.id: vm for vm in self.membership.upstreams(pool.service)}

    def wanted(self) -> tuple[orders.Wanted, ...]:
        """Returns what is wanted, with the last good for a bad target."""
        found = []
        for item in self.document().orders:
            if item.pool != self.pool:
                continue
            target = orders.Target(
                item.model, item.version, item.adapters, item.role
            )
            self.memory.forget_bad(item.model, target)
            bad = self.memory.bad.get(item.model) == target
            good = self.memory.good.get(item.model)
            if bad and good is not None:
                found.append(orders.Wanted(good, item.replicas))
            else:
                found.append(orders.Wanted(target, item.replicas, bad))
        return tuple(found)

    async def announce(self) -> None:
        """Shows the new number to engines that check it.

        Until an engine has seen it, an order that the last holder began
        before a pause would be carried out. An order for what the engine
        serves already changes nothing but the number.
        """
        if not self.checks_fencing():
            return
        vms = self.vms()
        async with trio.open_nursery() as nursery:
            for engine in sorted(self.states.keys() - self.announced):
                if engine in vms:
                    nursery.start_soon(self.announce_to, vms[engine])

    async def announce_to(self, vm: upstreams.Vm) -> None:
        """Shows the new number to one engine."""
        state = self.states[vm.id]
        if state.fencing >= self.lease.fencing:
            self.announced.add(vm.id)
            return
        order = orders.EngineOrder(self.lease.fencing, state.target)
        result = await self.engines.deliver(vm, order)
        if result is order_calls.OrderResult.DONE:
            self.announced.add(vm.id)

    def judge(self) -> None:
        """Compares what engines serve with what they were ordered to."""
        now = trio.current_time()
        for engine, sent in list(self.sent.items()):
            state = self.states.get(engine)
            healthy = state is not None and state.healthy
            if healthy and state.target == sent.target:
                del self.sent[engine]
                self.well_since.setdefault(sent.target, now)
            elif now - sent.at > self.policy.settle_seconds:
                self.fail(engine, sent.target)
            elif sent.answered and healthy:
                # the answer was lost and the order with it: again
                del self.sent[engine]
        for target, since in self.well_since.items():
            if now - since >= self.policy.bake_seconds:
                self.proven.add(target)
        for item in self.wanted():
            self.judge_roll(item)

    def judge_roll(self, item: orders.Wanted) -> None:
        """Notes a roll that is complete, or a target seen to be served."""
        right = [
            engine
            for engine, state in self.states.items()
            if state.target == item.target and state.healthy
        ]
        if not right:
            self.well_since.pop(item.target, None)
            return
        self.well_since.setdefault(item.target, trio.current_time())
        if len(right) >= item.replicas and item.target in self.proven:
            self.memory.note_good(item.target)

    def fail(self, engine: str, target: orders.Target) -> None:
        """Notes that an engine failed a target; stops a bad roll."""
        self.sent.pop(engine, None)
        if self.memory.note_failure(target) < self.policy.failures:
            return
        if self.memory.good.get(target.model) == target:
            return
        self.memory.note_bad(target)
        logs.change(
            'roll_stopped',
            pool=self.pool,
            model=target.model,
            version=target.version,
        )

    def send_steps(self, nursery: trio.Nursery) -> None:
        """Starts the next orders, within the limits."""
        situation = orders.Situation(
            self.states,
            {engine: sent.target for engine, sent in self.sent.items()},
            self.proven,
            self.policy.unavailable,
        )
        vms = self.vms()
        for step in orders.plan(self.wanted(), situation):
            if len(self.sent) >= self.policy.loads_at_once:
                return
            now = trio.current_time()
            if now - self.last_sent < self.policy.load_gap:
                return
            if step.upstream not in vms or not self.may_order(step.upstream):
                continue
            state = self.states[step.upstream]
            if state.target == step.target:
                # it came to this target and does not serve it: the order
                # of an earlier controller failed, whose count is lost
                self.fail(step.upstream, step.target)
                if self.is_bad(step.target):
                    return
            self.last_sent = now
            self.sent[step.upstream] = Sent(step.target, now)
            nursery.start_soon(self.send, vms[step.upstream], step.target)

    def is_bad(self, target: orders.Target) -> bool:
        """Returns whether the roll of a target was stopped."""
        return self.memory.bad.get(target.model) == target

    def may_order(self, engine: str) -> bool:
        """Returns whether an engine can be ordered safely now."""
        return engine in self.announced or not self.checks_fencing()

    async def send(self, vm: upstreams.Vm, target: orders.Target) -> None:
        """Sends one order."""
        sent = self.sent[vm.id]
        order = orders.EngineOrder(self.lease.fencing, target)
        result = await self.engines.deliver(vm, order)
        sent.answered = True
        if result is order_calls.OrderResult.FAILED:
            self.fail(vm.id, target)
            # at once: a successor must know before it tries the next engine
            await self.memory.save()
