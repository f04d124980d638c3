"""Orders engines to the configured targets, by one controller per pool."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend import errors
from lavenderbend.coordination import leases
from lavenderbend.coordination.orders import pools as pool_orders
from lavenderbend.coordination.orders import rollout_records
from lavenderbend.state import hashing

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from lavenderbend.coordination import interfaces
    from lavenderbend.state import orders
    from lavenderbend.state import upstreams

DEFAULT_PREFIX = '/lavenderbend/orders/'
CANDIDATES_PER_POOL = 3


@attrs.frozen
class OrderPolicy:
    """How orders are sent.

    Attributes:
        lease_seconds: Duration of a controller's lease.
        margin: Seconds allowed for clock errors and message delays.
        order_timeout: Seconds to wait for the reply to an order.
        engine_read_seconds: Time after which an engine drops a request whose
            body has not arrived. Engines that ignore fencing numbers must
            adhere to it.
        interval: Seconds between two readings of the engine states.
        settle_seconds: Time within which an engine must serve the target of
            an order.
        bake_seconds: Time for which the first engine must serve a new target
            before it is ordered from other engines.
        failures: Consecutive failed orders after which a target is bad.
        loads_at_once: Maximum number of orders in progress.
        load_interval: Minimum seconds between two orders, which bounds the
            load on the weight store.
        unavailable: Fraction of a model's engines that may be unavailable at
            the same time.
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
    load_interval: float = 1.0
    unavailable: float = 0.25

    @property
    def takeover_wait(self) -> float:
        """Seconds a new controller waits if engines ignore fencing numbers.

        After this time no order of the former controller can take effect.
        """
        return self.engine_read_seconds + self.order_timeout + self.margin


class Orderer(abc.ABC):
    """Sends orders to engines and reads their states."""

    @abc.abstractmethod
    async def send(
        self,
        vm: upstreams.Vm,
        order: orders.EngineOrder,
        timeout: float,
        check: Callable[[], None],
    ) -> None:
        """Sends an order and waits until the engine has carried it out.

        `check` is called right before the body of the order is sent, when
        the request headers are already sent; an exception from it aborts the
        request.

        Raises:
            OrderRefused: The engine has seen a higher fencing number.
            OrderError: The engine replied that the order failed.
            UpstreamRefused: The engine did not start the order; it may be
                sent again.
            UpstreamBroke: No reply; the order may be carried out.
            LeaseLost: Raised by `check`; the order was not sent.
        """

    @abc.abstractmethod
    async def read(
        self, vm: upstreams.Vm, timeout: float
    ) -> orders.EngineState:
        """Reads the state of an engine.

        Raises:
            UpstreamError: The state cannot be read now.
        """


class OrderController:
    """Runs controllers for pools of this router's region that have orders.

    For each pool a few routers of the region are candidates; the lease decides
    which of them sends orders.

    Attributes:
        name: Id of this router.
        store: The key-value service.
        membership: Live routers and engines.
        configurations: The configuration in force.
        orderer: Sends orders.
        rng: Source of jitter.
        prefix: Prefix of the keys of leases and results, one for each region.
        policy: How orders are sent.
        clock: The suspension clock, by which leases are timed.
        pools: Controllers that run on this router, by pool.
        scopes: Their cancel scopes, by pool.
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
        clock: Callable[[], float] = trio.current_time,
    ) -> None:
        self.name = name
        self.store = store
        self.membership = membership
        self.configurations = configurations
        self.orderer = orderer
        self.rng = rng
        self.prefix = prefix
        self.policy = policy or OrderPolicy()
        self.clock = clock
        self.pools: dict[str, pool_orders.PoolController] = {}
        self.scopes: dict[str, trio.CancelScope] = {}

    async def run(self) -> None:
        """Follows the configuration and the membership until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                self.update_controllers(nursery)
                await trio.sleep(self.policy.interval)

    def update_controllers(self, nursery: trio.Nursery) -> None:
        """Starts and stops controllers to match `candidate_pools`."""
        pools = self.candidate_pools()
        for pool in sorted(pools - self.pools.keys()):
            self.pools[pool] = self.controller(pool)
            self.scopes[pool] = trio.CancelScope()
            nursery.start_soon(self.run_pool, pool)
        for pool in sorted(self.pools.keys() - pools):
            del self.pools[pool]
            self.scopes.pop(pool).cancel()

    def candidate_pools(self) -> set[str]:
        """Returns the pools for which this router is a candidate.

        Candidates are chosen among the routers of the region: a router sees
        only the engines of its own region, so a controller in another region
        would send them no orders.
        """
        try:
            document = self.configurations.current().document
        except errors.RequestError:
            return set(self.pools)
        routers = {*self.membership.region_routers(), self.name}
        pools = set()
        for pool in {order.pool for order in document.orders}:
            ranked = hashing.rendezvous_order(f'orders {pool}', routers)
            if self.name in ranked[:CANDIDATES_PER_POOL]:
                pools.add(pool)
        return pools

    def controller(self, pool: str) -> pool_orders.PoolController:
        """Returns a new controller of a pool."""
        lease = leases.Lease(
            self.store,
            f'{self.prefix}{pool}/lease',
            self.name,
            self.rng,
            self.policy.lease_seconds,
            self.policy.margin,
            self.clock,
        )
        records = rollout_records.RolloutRecords(
            self.store, f'{self.prefix}{pool}/memory'
        )
        return pool_orders.PoolController(pool, lease, records, self)

    async def run_pool(self, pool: str) -> None:
        """Runs a controller until it is cancelled, then releases its lease."""
        controller = self.pools[pool]
        try:
            with self.scopes[pool]:
                await controller.run()
        finally:
            with trio.move_on_after(1.0, shield=True):
                await controller.lease.release()
