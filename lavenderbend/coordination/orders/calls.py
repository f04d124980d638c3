"""Calls to engines: sending orders under a lease, and reading states."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import trio

from lavenderbend import errors
from lavenderbend.observe import metrics

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lavenderbend.coordination import leases
    from lavenderbend.coordination.orders import orders as orders_module
    from lavenderbend.state import orders
    from lavenderbend.state import upstreams

MAX_CONCURRENT_READS = 32

ORDERS = metrics.counter(
    'lavenderbend_orders_total', 'Orders to engines by result.'
)


class OrderResult(enum.Enum):
    """Outcome of sending one order.

    `HELD_BACK`: not sent, as the lease may be over. `REFUSED`: the engine has
    seen a higher fencing number. `FAILED`: the engine could not carry it out.
    `LOST`: no reply; it may be carried out.
    """

    DONE = 'done'
    HELD_BACK = 'held-back'
    REFUSED = 'refused'
    FAILED = 'failed'
    LOST = 'lost'


class EngineCalls:
    """Calls the engines of one pool on behalf of the holder of its lease.

    Attributes:
        orderer: Sends orders and reads engine states.
        lease: The lease of the pool.
        policy: How orders are sent.
    """

    def __init__(
        self,
        orderer: orders_module.Orderer,
        lease: leases.Lease,
        policy: orders_module.OrderPolicy,
    ) -> None:
        self.orderer = orderer
        self.lease = lease
        self.policy = policy

    async def read(
        self, vms: Iterable[upstreams.Vm]
    ) -> dict[str, orders.EngineState]:
        """Returns the states of the engines that could be read, by VM id."""
        limiter = trio.CapacityLimiter(MAX_CONCURRENT_READS)
        states: dict[str, orders.EngineState] = {}

        async def read_one(vm: upstreams.Vm) -> None:
            async with limiter:
                try:
                    states[vm.id] = await self.orderer.read(
                        vm, self.policy.interval
                    )
                except errors.UpstreamError:
                    return

        async with trio.open_nursery() as nursery:
            for vm in vms:
                nursery.start_soon(read_one, vm)
        return states

    async def deliver(
        self, vm: upstreams.Vm, order: orders.EngineOrder
    ) -> OrderResult:
        """Sends an order under the lease; returns its outcome."""
        timeout = self.policy.order_timeout
        result = OrderResult.DONE
        try:
            await self.orderer.send(
                vm,
                order,
                timeout,
                lambda: self.lease.check(timeout + self.policy.margin),
            )
        except errors.LeaseLost:
            result = OrderResult.HELD_BACK
        except errors.OrderRefused:
            result = OrderResult.REFUSED
            # Another router holds a newer lease, even if by the clock this
            # one has not expired.
            self.lease.note_lost()
        except errors.OrderError:
            result = OrderResult.FAILED
        except errors.UpstreamError:
            result = OrderResult.LOST
        ORDERS.inc({'result': result.value})
        return result
