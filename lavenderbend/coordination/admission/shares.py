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
    """What a customer has and wants.

    Attributes:
        customer: Short id.
        wanted: Requests that run or wait.
        weight: Its weight.
    """

    customer: int
    wanted: int
    weight: float


class FairShares:
    """Max-min fair shares of the slots of a group.

    Attributes:
        live: Permits in use by each customer.
        waiting: Requests of each customer that wait.
        level: Slots for each unit of weight; infinite if all find room.
    """

    def __init__(self, directory: groups.Directory) -> None:
        self.directory = directory
        self.live: collections.Counter[int] = collections.Counter()
        self.waiting: collections.Counter[int] = collections.Counter()
        self.level = math.inf
        self.at = -math.inf

    def over(self, customer: int, slots: int) -> bool:
        """Returns whether a customer has its fair share of the slots."""
        now = trio.current_time()
        if now >= self.at + REFRESH_SECONDS:
            self.level = fair_level(self.demands(), slots)
            self.at = now
        weight = self.directory.weight(customer)
        return self.live[customer] >= self.level * weight

    def demands(self) -> list[Demand]:
        """Returns what each customer has and wants."""
        demands = []
        for customer in sorted({*self.live, *self.waiting}):
            wanted = self.live[customer] + self.waiting[customer]
            if wanted <= 0:
                del self.live[customer]
                del self.waiting[customer]
                continue
            weight = self.directory.weight(customer)
            demands.append(Demand(customer, wanted, weight))
        return demands


def fair_level(demands: list[Demand], slots: int) -> float:
    """Returns the slots for each unit of weight, by water-filling.

    Customers that want less than their share get what they want; the rest
    is divided among the others by weight.
    """
    left = float(slots)
    weights = sum(demand.weight for demand in demands)
    ordered = sorted(demands, key=lambda one: one.wanted / one.weight)
    for demand in ordered:
        level = left / weights
        if demand.wanted / demand.weight > level:
            return level
        left -= demand.wanted
        weights -= demand.weight
    return math.inf
