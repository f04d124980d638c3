"""Order of the requests that wait for one upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lavenderbend.coordination import fairness
from lavenderbend.protocol import messages_forwarding

if TYPE_CHECKING:
    from collections.abc import Iterator

    from lavenderbend.coordination.forwarding.admission import demand as demands

MAX_WAITING = 256
# Of this many grants at least one goes to the request that has waited longest.
GRANTS_PER_LONGEST = 4
CUSTOMER_WEIGHT = 1.0

Shortage = messages_forwarding.Shortage


@attrs.define(eq=False)
class WaitingRequest:
    """A request that waits at the owner of an upstream.

    Attributes:
        message: The entry's request.
        need: What it needs.
        arrived_at: Router clock at which it arrived.
        wait_until: Router clock until which it may wait.
        heard_at: Router clock at which the entry last sent it.
        in_time: Whether it is queued among those that can meet their target.
        unread: Tokens of its prompt that the upstream would process.
        shortage: Why it does not fit.
        expected_seconds: Expected time until the upstream begins it.
    """

    message: messages_forwarding.ReservationRequest
    need: demands.Demand
    arrived_at: float
    wait_until: float
    heard_at: float
    in_time: bool = True
    unread: int = 0
    shortage: Shortage = Shortage.NONE
    expected_seconds: float = 0.0

    @property
    def key(self) -> tuple[str, int]:
        """Router and number of the request."""
        return self.message.host, self.message.number

    def can_meet_target(self, reading_seconds: float, now: float) -> bool:
        """Returns whether it meets its target if it is granted now."""
        return now + reading_seconds <= self.need.target_at


class WaitingRequests:
    """The requests that wait for one upstream.

    They are ordered by rank, then those that can meet their target before the
    others, then fairly between customers, then by arrival. In addition the
    longest-waiting request has a turn at least at every fourth grant. If it
    does not fit when its turn comes, the others go on, and it has the turn
    until it fits.

    Attributes:
        queue: The requests in order.
        by_key: The requests by router and number, the longest-waiting first.
        others_granted: Grants since one to the longest-waiting request.
    """

    def __init__(self) -> None:
        self.queue: fairness.FairQueue[WaitingRequest] = fairness.FairQueue()
        self.by_key: dict[tuple[str, int], WaitingRequest] = {}
        self.others_granted = 0

    def __len__(self) -> int:
        return len(self.by_key)

    def __iter__(self) -> Iterator[WaitingRequest]:
        """Yields the requests in order."""
        return iter(list(self.queue))

    def __contains__(self, waiting: WaitingRequest) -> bool:
        return waiting.key in self.by_key

    def get(self, key: tuple[str, int]) -> WaitingRequest | None:
        """Returns the request with a key, None if it does not wait."""
        return self.by_key.get(key)

    def add(self, waiting: WaitingRequest) -> None:
        """Adds a request."""
        self.by_key[waiting.key] = waiting
        self.push(waiting)

    def push(self, waiting: WaitingRequest) -> None:
        """Queues a request behind those of its customer."""
        self.queue.push(
            waiting,
            priority(waiting.need.rank, waiting.in_time),
            waiting.need.customer,
            CUSTOMER_WEIGHT,
        )

    def ahead(self, need: demands.Demand, in_time: bool) -> int:
        """Returns how many requests are ahead of a new one."""
        return self.queue.ahead(priority(need.rank, in_time), need.customer)

    def remove(self, waiting: WaitingRequest) -> None:
        """Removes a request that was not granted."""
        if self.by_key.pop(waiting.key, None) is not None:
            self.queue.withdraw(waiting)

    def note_late(self, waiting: WaitingRequest) -> None:
        """Moves a request behind those that can meet their target."""
        if waiting.in_time:
            self.queue.withdraw(waiting)
            waiting.in_time = False
            self.push(waiting)

    def take(self, waiting: WaitingRequest) -> None:
        """Removes a request that is granted."""
        if waiting is self.longest():
            self.others_granted = 0
        else:
            self.others_granted += 1
        del self.by_key[waiting.key]
        self.queue.dequeue(waiting)

    def longest(self) -> WaitingRequest | None:
        """Returns the request that has waited longest."""
        return next(iter(self.by_key.values()), None)

    def due(self) -> WaitingRequest | None:
        """Returns the longest-waiting request if it has its turn."""
        if self.others_granted < GRANTS_PER_LONGEST - 1:
            return None
        return self.longest()

    def last(self) -> WaitingRequest:
        """Returns the last request in order."""
        return self.queue.last()


def priority(rank: int, in_time: bool) -> int:
    """Returns the priority of a request in the fair queue."""
    return 2 * rank + (0 if in_time else 1)
