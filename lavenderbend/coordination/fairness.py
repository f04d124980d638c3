"""Waiting by priority, then by weighted fair share between customers."""

from __future__ import annotations

import bisect
import itertools
from typing import Generic
from typing import TYPE_CHECKING
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Iterator

T = TypeVar('T')


class FairQueue(Generic[T]):
    """Start-time fair queue for each priority.

    An item starts at the virtual time, or where its customer's last item
    ends if that is later; items leave by their start. A customer that asks
    for much waits behind itself, not before the others.

    Attributes:
        items: Priority, start, sequence and item, in the order of leaving.
        places: Place of each item in that order, by identity.
        virtual: Virtual time of each priority.
        ends: End of the last item, by priority and customer.
    """

    def __init__(self) -> None:
        self.items: list[tuple[int, float, int, T]] = []
        self.places: dict[int, tuple[int, float, int]] = {}
        self.virtual: dict[int, float] = {}
        self.ends: dict[tuple[int, int], float] = {}
        self.counter = itertools.count()

    def __len__(self) -> int:
        return len(self.items)

    def __iter__(self) -> Iterator[T]:
        """Yields the items in the order in which they would leave."""
        for _, _, _, item in self.items:
            yield item

    def start(self, priority: int, customer: int) -> float:
        """Returns the start that a new item of the customer would get."""
        virtual = self.virtual.get(priority, 0.0)
        return max(virtual, self.ends.get((priority, customer), 0.0))

    def ahead(self, priority: int, customer: int) -> int:
        """Returns how many items would leave before a new one."""
        start = self.start(priority, customer)
        place = (priority, start, next(self.counter))
        return bisect.bisect(self.items, place)  # type: ignore[type-var]

    def push(
        self, item: T, priority: int, customer: int, weight: float
    ) -> None:
        """Adds an item.

        Args:
            item: The item; told apart by identity.
            priority: Smaller goes first.
            customer: Whose item it is.
            weight: Share of the customer against the others.
        """
        start = self.start(priority, customer)
        self.ends[priority, customer] = start + 1.0 / weight
        place = (priority, start, next(self.counter))
        self.places[id(item)] = place
        bisect.insort(self.items, (*place, item))

    def take(self, item: T) -> None:
        """Takes an item out because its turn has come."""
        place = self.places.get(id(item))
        if place is None:
            return
        priority, start, _ = place
        virtual = self.virtual.get(priority, 0.0)
        self.virtual[priority] = max(virtual, start)
        self.remove(item)

    def remove(self, item: T) -> None:
        """Takes an item out that is not waiting any more."""
        place = self.places.pop(id(item), None)
        if place is None:
            return
        del self.items[bisect.bisect_left(self.items, place)]
        if not self.items:
            self.ends.clear()
            self.virtual.clear()
