"""Waiting by priority, then by weighted fair share between customers."""

from __future__ import annotations

import bisect
import collections
import itertools
from typing import Generic
from typing import TYPE_CHECKING
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Iterator

T = TypeVar('T')

# priority, start, sequence
Place = tuple[int, float, int]


class FairQueue(Generic[T]):
    """Start-time fair queue for each priority.

    An item starts at the virtual time, or where its customer's last item
    ends if that is later; items leave by their start. A customer that asks
    for much waits behind itself, not before the others.

    Attributes:
        items: Priority, start, sequence and item, in the order of leaving.
        places: Place of each item in that order, by identity.
        at: Item at each place.
        keys: Priority and customer of each item, by identity.
        by_customer: Places of each priority and customer, in order.
        virtual: Virtual time of each priority.
        ends: End of the last item, by priority and customer.
    """

    def __init__(self) -> None:
        self.items: list[tuple[int, float, int, T]] = []
        self.places: dict[int, Place] = {}
        self.at: dict[Place, T] = {}
        self.keys: dict[int, tuple[int, int]] = {}
        self.by_customer: dict[tuple[int, int], list[Place]] = (
            collections.defaultdict(list)
        )
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

    def count_of(self, priority: int, customer: int) -> int:
        """Returns how many items of a customer wait at a priority."""
        return len(self.by_customer.get((priority, customer), ()))

    def last(self) -> T:
        """Returns the item that would leave last."""
        return self.items[-1][3]

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
        self.keys[id(item)] = (priority, customer)
        self.at[place] = item
        bisect.insort(self.items, (*place, item))
        bisect.insort(self.by_customer[priority, customer], place)

    def others_of(self, item: T, count: int) -> list[T]:
        """Returns the customer's next items behind one, of its priority."""
        key = self.keys[id(item)]
        place = self.places[id(item)]
        start = bisect.bisect_right(self.by_customer[key], place)
        behind = self.by_customer[key][start : start + count]
        return [self.at[other] for other in behind]

    def swap(self, left: T, right: T) -> None:
        """Lets two items of one customer change their places."""
        first = self.places[id(left)]
        second = self.places[id(right)]
        self.items[bisect.bisect_left(self.items, first)] = (*first, right)
        self.items[bisect.bisect_left(self.items, second)] = (*second, left)
        self.places[id(left)] = second
        self.places[id(right)] = first
        self.at[first] = right
        self.at[second] = left

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
        del self.at[place]
        key = self.keys.pop(id(item))
        mine = self.by_customer[key]
        del mine[bisect.bisect_left(mine, place)]
        if not mine:
            del self.by_customer[key]
        if not self.items:
            self.ends.clear()
            self.virtual.clear()
