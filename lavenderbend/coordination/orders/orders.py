"""Brings engines to their desired state, by one controller a pool."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend import errors
from lavenderbend.coordination import leases
from lavenderbend.coordination.orders import memory as order_memory
from lavenderbend.coordination.orders import pools as pool_orders
from lavenderbend.state import hashing

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from lavenderbend.coordination import interfaces
    from lavenderbend.state import orders
    from lavenderbend.state import upstreams

DEFAULT_PREFIX = '/lavenderbend/orders/'
CANDIDATES = 3


@attrs.frozen
class OrderPolicy:
    """How orders are sent.

    Attributes:
        lease_seconds: Time granted to a controller.
        margin: Seconds by which clocks and messages may be late.
        order_timeout: Seconds until an order's answer is given up.
        engine_read_seconds: An engine drops a request whose body has not
            come for so long. Engines that ignore fencing numbers must keep
            to this.
        interval: Seconds between two readings of the engines.
        settle_seconds: Time in which an engine must serve what it was
            ordered to.
        bake_seconds: Time for which a first engine must serve a new target
            before others follow.
        failures: Orders that may fail before their target is bad.
        loads_at_once: Orders in progress at once.
        load_gap: Least seconds between two orders: the weight store's rate.
        unavailable: Share of a model's engines that may be down at once.
    """

    lease_seconds: float = 60.0
    margin: float = 2.0
    order_timeout: float = 20.0
    engine_read_seconds: float = 60.0
    interval: float = 2.0
    settle_seconds: float = 600.0
    bake_seconds: float = 30.0
    failures: int = 2
    loads_at_once: int = 4
    load_gap: float = 1.0
    unavailable: float = 0.25

    @property
    def takeover_wait(self) -> float:
        """Seconds a new controller waits if engines ignore its number."""
        return self.engine_read_seconds + self.order_timeout + self.margin


class Orderer(abc.ABC):
    """Sends orders to engines and reads engines back."""

    @abc.abstractmethod
    async def send(
        self,
        vm: upstreams.Vm,
        order: orders.EngineOrder,
        timeout: float,
        check: Callable[[], None],
    ) -> None:
        """Sends an order and waits until the engine has carried it out.

        `check` is called at the last moment before the order's body leaves,
        on a connection whose request has already begun; what it raises ends
        the request.

        Raises:
            OrderRefused: The engine has seen a higher fencing number.
            OrderError: The engine says that it failed.
            UpstreamRefused: The engine did not start it and may do so later.
            UpstreamBroke: No answer; the order may be carried out.
            LeaseLost: From `check`; the order did not leave.
        """

    @abc.abstractmethod
    async def read(
        self, vm: upstreams.Vm, timeout: float
    ) -> orders.EngineState:
        """Reads an engine back.

        Raises:
            UpstreamError: It cannot be read now.
        """


class OrderController:
    """Runs a controller for each pool of its region that has orders.

    Attributes:
        name: Id of this router.
        store: The key-value service.
        membership: Routers and engines.
        configurations: The configuration in force.
        orderer: Sends orders.
        rng: Source of jitter.
        prefix: Where leases and memory are kept, one for each region.
        policy: How orders are sent.
        pools: Controllers that run here, by pool.
    """

    def __init__(
        self,
        name: str,
        store: interfaces.KeyValueStore,
        membership: interfaces.Membership,
        configurations: interfaces.Configurations,
        orderer: Orderer,
        rng: random.Random,
        prefix: str = DEFAULT_PREFIX,
        policy: OrderPolicy | None = None,
    ) -> None:
        self.name = name
        self.store = store
        self.membership = membership
        self.configurations = configurations
        self.orderer = orderer
        self.rng = rng
        self.prefix = prefix
        self.policy = policy or OrderPolicy()
        self.pools: dict[str, pool_orders.PoolController] = {}
        self.scopes: dict[str, trio.CancelScope] = {}

    async def run(self) -> None:
        """Follows configuration and membership until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                self.adjust(nursery)
                await trio.sleep(self.policy.interval)

    def adjust(self, nursery: trio.Nursery) -> None:
        """Starts and stops controllers."""
        mine = self.mine()
        for pool in sorted(mine - self.pools.keys()):
            self.pools[pool] = self.controller(pool)
            self.scopes[pool] = trio.CancelScope()
            nursery.start_soon(self.run_pool, pool)
        for pool in sorted(self.pools.keys() - mine):
            del self.pools[pool]
            self.scopes.pop(pool).cancel()

    def mine(self) -> set[str]:
        """Returns the pools for which this router is a candidate.

        Candidates are those of the region: a router sees the engines of its
        own region, and a controller elsewhere would leave them without
        orders.
        """
        try:
            document = self.configurations.current().document
        except errors.RequestError:
            return set(self.pools)
        routers = {*self.membership.region_routers(), self.name}
        found = set()
        for pool in {item.pool for item in document.orders}:
            ranked = hashing.rendezvous_order(f'orders {pool}', routers)
            if self.name in ranked[:CANDIDATES]:
                found.add(pool)
        return found

    def controller(self, pool: str) -> pool_orders.PoolController:
        """Returns a new controller of a pool."""
        lease = leases.Lease(
            self.store,
            f'{self.prefix}{pool}/lease',
            self.name,
            self.rng,
            self.policy.lease_seconds,
            self.policy.margin,
        )
        memory = order_memory.OrderMemory(
            self.store, f'{self.prefix}{pool}/memory'
        )
        return pool_orders.PoolController(pool, lease, memory, self)

    async def run_pool(self, pool: str) -> None:
        """Runs a controller until its pool is given up."""
        controller = self.pools[pool]
        try:
            with self.scopes[pool]:
                await controller.run()
        finally:
            with trio.move_on_after(1.0, shield=True):
                await controller.lease.release()
