"""Each customer's fair share of a full pool."""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

import attrs
import trio

if TYPE_CHECKING:
    from lavenderbend.coordination.admission import groups

REFRESH_SECONDS = 0.1


@attrs.frozen
class Demand:
    """Demand of one customer.

    Attributes:
        customer: Short id.
        requests: Number of requests that run or wait.
        weight: Weight of the customer.
    """

    customer: int
    requests: int
    weight: float


class FairShares:
    """Max-min fair shares of the slots of a group.

    Attributes:
        live: Permits in use by each customer.
        waiting: Queued requests of each customer.
        level: Slots per unit of weight; infinite if all demand is met.
        refreshed_at: Owner clock at which the level was computed.
    """

    def __init__(self, directory: groups.Directory) -> None:
        self.directory = directory
        self.live: collections.Counter[int] = collections.Counter()
        self.waiting: collections.Counter[int] = collections.Counter()
        self.level = math.inf
        self.refreshed_at = -math.inf

    def reached(self, customer: int, slots: int) -> bool:
        """Returns whether a customer has its fair share of the slots."""
        now = trio.current_time()
        if now >= self.refreshed_at + REFRESH_SECONDS:
            self.level = fair_level(self.demands(), slots)
            self.refreshed_at = now
        weight = self.directory.weight(customer)
        return self.live[customer] >= self.level * weight

    def demands(self) -> list[Demand]:
        """Returns the demand of each customer; forgets idle customers."""
        demands = []
        for customer in sorted({*self.live, *self.waiting}):
            requests = self.live[customer] + self.waiting[customer]
            if requests <= 0:
                del self.live[customer]
                del self.waiting[customer]
                continue
            weight = self.directory.weight(customer)
            demands.append(Demand(customer, requests, weight))
        return demands


def fair_level(demands: list[Demand], slots: int) -> float:
    """Returns the slots per unit of weight, by water-filling.

    Customers whose demand is below their share get all of it; the rest is
    divided among the others by weight.
    """
    left = float(slots)
    weights = sum(demand.weight for demand in demands)
    ordered = sorted(
        demands, key=lambda demand: demand.requests / demand.weight
    )
    for demand in ordered:
        level = left / weights
        if demand.requests / demand.weight > level:
            return level
        left -= demand.requests
        weights -= demand.weight
    return math.inf
