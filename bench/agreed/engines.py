"""Engines that take orders, and how a router reaches them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend import errors
from lavenderbend.coordination.orders import orders as orders_module
from lavenderbend.state import orders

if TYPE_CHECKING:
    import random

    from bench.agreed import fleets
    from lavenderbend.standin import weight_store

ONE_WAY_SECONDS = 0.002
PAUSE_SECONDS = (30.0, 50.0, 90.0, 200.0)


@attrs.frozen
class Carried:
    """An order that an engine began to carry out.

    Attributes:
        at: When.
        engine: Which engine.
        order: The order.
        changed: Whether it changed anything.
    """

    at: float
    engine: str
    order: orders.EngineOrder
    changed: bool


@attrs.define(eq=False)
class Engine:
    """One engine.

    Attributes:
        id: VM id.
        target: What it serves.
        checks: Whether it refuses old fencing numbers.
        bad: Versions that it cannot serve.
        weights: Where it loads weights from.
        load_seconds: Time that an order takes.
        read_seconds: It drops requests whose body comes later.
        healthy: Whether it serves.
        fencing: Highest number seen.
        carried: Orders that it began to carry out.
    """

    id: str
    target: orders.Target
    checks: bool
    bad: frozenset[str]
    weights: weight_store.WeightStore
    load_seconds: float = 10.0
    read_seconds: float = 60.0
    healthy: bool = True
    fencing: int = 0
    carried: list[Carried] = attrs.field(factory=list)

    async def apply(self, order: orders.EngineOrder) -> None:
        """Carries out an order."""
        if self.checks and order.fencing < self.fencing:
            raise errors.OrderRefused(self.fencing)
        self.fencing = max(self.fencing, order.fencing)
        changed = order.target != self.target or not self.healthy
        now = trio.current_time()
        self.carried.append(Carried(now, self.id, order, changed))
        if not changed:
            return
        self.healthy = False
        target = order.target
        if await self.weights.fetch(target.model, target.version) is None:
            self.healthy = True
            raise errors.UpstreamRefused(f'{self.id}: no weights')
        await trio.sleep(self.load_seconds)
        self.target = target
        self.healthy = target.version not in self.bad
        if not self.healthy:
            raise errors.OrderError(f'{self.id}: cannot serve')

    def state(self) -> orders.EngineState:
        """Returns what it says when it is read back."""
        return orders.EngineState(self.fencing, self.target, self.healthy)


@attrs.define
class OrderFaults:
    """What goes wrong with orders now.

    Attributes:
        pause_share: Steps of an order at which its sender is paused.
        lost_answers: Share of answers that are lost.
    """

    pause_share: float = 0.15
    lost_answers: float = 0.05


@attrs.define(eq=False)
class Delivery:
    """An order on its way; the engine works on without its sender.

    Attributes:
        done: Set at the end.
        error: What the engine answered, None for success.
    """

    done: trio.Event = attrs.field(factory=trio.Event)
    error: Exception | None = None


class PausableOrderer(orders_module.Orderer):
    """Orders from one router that may be paused at any step.

    Attributes:
        engines: All engines, by VM id.
        pause: Whether the router is paused.
        nursery: Where engines work.
        faults: What goes wrong now.
    """

    def __init__(
        self,
        engines: dict[str, Engine],
        pause: fleets.Pause,
        nursery: trio.Nursery,
        rng: random.Random,
        faults: OrderFaults,
    ) -> None:
        self.engines = engines
        self.pause = pause
        self.nursery = nursery
        self.rng = rng
        self.faults = faults

    async def send(self, vm, order, timeout, check) -> None:
        """Sends head, checks, sends body; a pause may strike between."""
        engine = self.engines[vm.id]
        await self.pause.wait()
        await trio.sleep(ONE_WAY_SECONDS)
        head_at = trio.current_time()
        await self.stop()
        check()
        # a paused process does not see that its time is over: whatever it
        # would do next is done before anything can cancel it
        await self.stop()
        delivery = Delivery()
        self.nursery.start_soon(self.deliver, engine, head_at, order, delivery)
        with trio.move_on_after(timeout):
            await delivery.done.wait()
        if (
            not delivery.done.is_set()
            or self.rng.random() < self.faults.lost_answers
        ):
            raise errors.UpstreamBroke(f'{vm.id}: no answer')
        if delivery.error is not None:
            raise delivery.error

    async def stop(self) -> None:
        """Waits as a paused process does; often a pause strikes here."""
        if self.rng.random() < self.faults.pause_share:
            length = self.rng.choice(PAUSE_SECONDS)
            until = trio.current_time() + length
            self.pause.until = max(self.pause.until, until)
        with trio.CancelScope(shield=True):
            await self.pause.wait()

    async def deliver(
        self,
        engine: Engine,
        head_at: float,
        order: orders.EngineOrder,
        delivery: Delivery,
    ) -> None:
        """Brings the body to the engine."""
        await trio.sleep(ONE_WAY_SECONDS)
        try:
            if trio.current_time() - head_at > engine.read_seconds:
                raise errors.UpstreamBroke('the engine dropped the request')
            await engine.apply(order)
        except errors.UpstreamError as exc:
            delivery.error = exc
        delivery.done.set()

    async def read(self, vm, timeout) -> orders.EngineState:
        """Reads an engine back."""
        await self.pause.wait()
        await trio.sleep(2 * ONE_WAY_SECONDS)
        return self.engines[vm.id].state()
