"""Queue by priority, then by weighted fair share between customers."""

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

# priority, start tag, sequence number
Position = tuple[int, float, int]


class FairQueue(Generic[T]):
    """Start-time fair queue for each priority.

    The start tag of an item is the virtual time, or the finish tag of its
    customer's last item if that is later. Items are dequeued by rising start
    tag, so the items of a customer with high demand queue behind each other
    and not before those of other customers.

    Attributes:
        items: Priority, start tag, sequence number and item, in queue order.
        positions: Position of each item in that order, by identity.
        item_at: Item at each position.
        keys: Priority and customer of each item, by identity.
        by_customer: Positions of each priority and customer, in order.
        virtual_time: Virtual time of each priority.
        finish: Finish tag of the last item, by priority and customer.
    """

    def __init__(self) -> None:
        self.items: list[tuple[int, float, int, T]] = []
        self.positions: dict[int, Position] = {}
        self.item_at: dict[Position, T] = {}
        self.keys: dict[int, tuple[int, int]] = {}
        self.by_customer: dict[tuple[int, int], list[Position]] = (
            collections.defaultdict(list)
        )
        self.virtual_time: dict[int, float] = {}
        self.finish: dict[tuple[int, int], float] = {}
        self.counter = itertools.count()

    def __len__(self) -> int:
        return len(self.items)

    def __iter__(self) -> Iterator[T]:
        """Yields the items in queue order."""
        for _, _, _, item in self.items:
            yield item

    def start(self, priority: int, customer: int) -> float:
        """Returns the start tag that a new item of the customer would get."""
        virtual_time = self.virtual_time.get(priority, 0.0)
        return max(virtual_time, self.finish.get((priority, customer), 0.0))

    def ahead(self, priority: int, customer: int) -> int:
        """Returns how many items would be dequeued before a new one."""
        start = self.start(priority, customer)
        position = (priority, start, next(self.counter))
        return bisect.bisect(self.items, position)  # type: ignore[type-var]

    def count_of(self, priority: int, customer: int) -> int:
        """Returns how many items of a customer are queued at a priority."""
        return len(self.by_customer.get((priority, customer), ()))

    def last(self) -> T:
        """Returns the item that would be dequeued last."""
        return self.items[-1][3]

    def push(
        self, item: T, priority: int, customer: int, weight: float
    ) -> None:
        """Adds an item.

        Args:
            item: The item; compared by identity.
            priority: Lower values are dequeued first.
            customer: Customer that the item belongs to.
            weight: Weight of the customer relative to the others.
        """
        start = self.start(priority, customer)
        self.finish[priority, customer] = start + 1.0 / weight
        position = (priority, start, next(self.counter))
        self.positions[id(item)] = position
        self.keys[id(item)] = (priority, customer)
        self.item_at[position] = item
        bisect.insort(self.items, (*position, item))
        bisect.insort(self.by_customer[priority, customer], position)

    def next_of_customer(self, item: T, count: int) -> list[T]:
        """Returns the next items of an item's customer and priority."""
        key = self.keys[id(item)]
        position = self.positions[id(item)]
        start = bisect.bisect_right(self.by_customer[key], position)
        following = self.by_customer[key][start : start + count]
        return [self.item_at[other] for other in following]

    def swap(self, left: T, right: T) -> None:
        """Swaps the positions of two items of one customer."""
        first = self.positions[id(left)]
        second = self.positions[id(right)]
        self.items[bisect.bisect_left(self.items, first)] = (*first, right)
        self.items[bisect.bisect_left(self.items, second)] = (*second, left)
        self.positions[id(left)] = second
        self.positions[id(right)] = first
        self.item_at[first] = right
        self.item_at[second] = left

    def dequeue(self, item: T) -> bool:
        """Dequeues an item and advances the virtual time to its start tag.

        Returns:
            Whether it was queued.
        """
        position = self.positions.get(id(item))
        if position is None:
            return False
        priority, start, _ = position
        virtual_time = self.virtual_time.get(priority, 0.0)
        self.virtual_time[priority] = max(virtual_time, start)
        return self.remove(item)

    def withdraw(self, item: T) -> bool:
        """Removes an item as if its customer had never queued it.

        The customer's later items move up by one position each, so that it
        is not charged for an item that was not dequeued.

        Returns:
            Whether it was queued.
        """
        key = self.keys.get(id(item))
        if key is None:
            return False
        for later in self.next_of_customer(item, self.count_of(*key)):
            self.swap(item, later)
        _, start, _ = self.positions[id(item)]
        self.remove(item)
        if key in self.finish:
            self.finish[key] = start
        return True

    def remove(self, item: T) -> bool:
        """Removes an item without advancing the virtual time.

        Returns:
            Whether it was queued.
        """
        position = self.positions.pop(id(item), None)
        if position is None:
            return False
        del self.items[bisect.bisect_left(self.items, position)]
        del self.item_at[position]
        key = self.keys.pop(id(item))
        queued = self.by_customer[key]
        del queued[bisect.bisect_left(queued, position)]
        if not queued:
            del self.by_customer[key]
        if not self.items:
            self.finish.clear()
            self.virtual_time.clear()
        return True
