"""Bounds the memory that the requests and answers of all callers take up.

A limit on one body does not bound many of them. What is counted is what is
really held: the capacity of buffers, not the bytes in them, and the objects of
a head, which are larger than its text.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend import errors
from lavenderbend.observe import logs
from lavenderbend.observe import metrics
from lavenderbend.protocol import http_limits

if TYPE_CHECKING:
    from collections.abc import Callable

# Up to this size a holding may use all of the limit. Larger ones together
# leave a part of it, so that large bodies cannot keep ordinary requests out.
SMALL_BYTES = 32 * http_limits.KIB
LARGE_FRACTION = 0.75
# Of the limit, what large bodies of one rule may take up, those of one
# customer, and large answers: a service that reads slowly, or callers of one
# customer, leave room for others.
CUSTOMER_RULE_FRACTION = 0.25
RULE_FRACTION = 0.375
CUSTOMER_FRACTION = 0.5
ANSWER_FRACTION = 0.5
# A caller has moved on once it sent or took so many bytes. One that has not for
# so long is ended where others need its memory; without that need it may take
# its time.
PROGRESS_BYTES = 8 * http_limits.KIB
STALL_SECONDS = 1.0
RETRY_AFTER_SECONDS = 1.0
# The metric follows changes of this size.
REPORTED_BYTES = http_limits.MIB
# Of a header field: the pair, the name and the value, once as they were parsed
# and once as they are passed on.
FIELD_BYTES = 320

HELD = metrics.gauge(
    'lavenderbend_caller_memory_bytes',
    'Memory that requests and answers of callers take up, as counted.',
)
REFUSED = metrics.counter(
    'lavenderbend_caller_memory_refused_total',
    'Requests refused because the memory for callers was used up.',
)
ENDED = metrics.counter(
    'lavenderbend_caller_memory_ended_total',
    'Callers ended that made no progress while others needed memory.',
)


def head_size(fields: int, text_bytes: int) -> int:
    """Returns the memory that a head takes up, in bytes.

    Args:
        fields: Number of its header fields.
        text_bytes: Size of its text.
    """
    return fields * FIELD_BYTES + 2 * text_bytes


@attrs.frozen
class Group:
    """Holdings whose large ones together may take up a part of the limit.

    Attributes:
        name: Unique among the groups.
        fraction: The part of the limit.
    """

    name: str
    fraction: float


ANSWERS = Group('answers', ANSWER_FRACTION)


def customer_group(customer: str) -> Group:
    """Returns the group of all bodies of a customer, empty for none."""
    return Group(f'customer {customer}', CUSTOMER_FRACTION)


def body_groups(rule: str, customer: str) -> tuple[Group, ...]:
    """Returns the groups of a request's body.

    Args:
        rule: Name of the rule that the request matches.
        customer: Name of its customer, empty on public rules.
    """
    return (
        Group(f'customer {customer}, rule {rule}', CUSTOMER_RULE_FRACTION),
        Group(f'rule {rule}', RULE_FRACTION),
        customer_group(customer),
    )


@attrs.define(eq=False)
class Holding:
    """What the router holds for one caller at a time.

    Attributes:
        memory: The memory that it is counted in.
        end: Ends the caller's request.
        groups: The groups that it is counted in.
        size: Memory that it takes up, in bytes.
        moved: Bytes that the caller has sent or taken since it last moved on.
        moved_at: Router clock at which it did, later by the time for which the
            router itself did not read.
        ended: Whether it was ended because others needed its memory.
        closed: Whether nothing more is counted: what goes on after its caller
            has left must not be counted for ever.
    """

    memory: CallerMemory
    end: Callable[[], None]
    groups: tuple[Group, ...] = ()
    size: int = 0
    moved: int = 0
    moved_at: float = 0.0
    ended: bool = False
    closed: bool = False

    @property
    def is_large(self) -> bool:
        """Whether it counts among the large holdings."""
        return self.size > SMALL_BYTES

    def note_moved(self, count: int) -> None:
        """Records that the caller has sent or taken bytes."""
        self.moved += count
        if self.moved >= PROGRESS_BYTES and self in self.memory.waiting:
            self.memory.await_caller(self)

    def resize(self, size: int) -> None:
        """Takes up more memory, or less.

        Raises:
            RouterOverloaded: There is no room for that much.
        """
        growth = size - self.size
        if not growth or self.ended or self.closed:
            return
        memory = self.memory
        small = size <= SMALL_BYTES >= self.size
        if small and memory.held + growth <= memory.limit:
            # an ordinary request, with room for it
            self.size = size
            memory.held += growth
            return
        memory.require_room(self, size)
        memory.set_size(self, size)

    def join(self, groups: tuple[Group, ...]) -> None:
        """Counts the holding in groups from now on."""
        size = self.size
        self.memory.count(self, 0)
        self.groups = groups
        self.memory.count(self, size)

    def release(self) -> None:
        """Gives all of the memory back."""
        self.memory.release(self)

    def close(self) -> None:
        """Gives all of the memory back, and takes up none any more."""
        self.release()
        self.closed = True


class CallerMemory:
    """The memory that one router has for its callers.

    Attributes:
        limit: The limit, in bytes. A single large holding may exceed it, so
            that a request within the limits of requests is always served
            where nothing else needs memory.
        held: Memory that all holdings take up.
        large: What those of them that are not small take up.
        large_by_group: The same by group.
        waiting: Holdings that wait for their callers, the one whose caller
            moved on the longest ago first.
        overdrawn: The holding that may exceed the limit, None if there is
            none.
        released: Set when memory is given back while a holding waits for it.
        wanted: Number of holdings that wait for room.
        reported: What the metric shows.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.held = 0
        self.large = 0
        self.large_by_group: collections.Counter[Group] = collections.Counter()
        self.waiting: collections.OrderedDict[Holding, None] = (
            collections.OrderedDict()
        )
        self.overdrawn: Holding | None = None
        self.released = trio.Event()
        self.wanted = 0
        self.reported = 0

    def open(
        self, end: Callable[[], None], groups: tuple[Group, ...] = ()
    ) -> Holding:
        """Returns an empty holding.

        Args:
            end: Ends the request of the caller, called at most once.
            groups: The groups that it is counted in.
        """
        return Holding(self, end, groups)

    def await_caller(self, holding: Holding) -> None:
        """Records that a holding waits for its caller from now on."""
        if holding.ended or holding.closed:
            return
        holding.moved = 0
        holding.moved_at = trio.current_time()
        self.waiting[holding] = None
        self.waiting.move_to_end(holding)

    def keep(self, holding: Holding) -> None:
        """Records that a holding does not wait for its caller any more."""
        self.waiting.pop(holding, None)

    def require_room(self, holding: Holding, size: int) -> None:
        """Checks that there is room for a holding of a size.

        Raises:
            RouterOverloaded: There is none.
        """
        if self.make_room(holding, size):
            return
        REFUSED.inc({})
        raise errors.RouterOverloaded(
            'the memory for requests is used up', RETRY_AFTER_SECONDS
        )

    def make_room(self, holding: Holding, size: int) -> bool:
        """Returns whether a holding may take up so much.

        Callers that do not move on are ended for it, those that have not for
        the longest time first.
        """
        while (helps := self.shortage(holding, size)) is not None:
            if not self.end_stalled(helps):
                return False
        return True

    def shortage(
        self, holding: Holding, size: int
    ) -> Callable[[Holding], bool] | None:
        """Returns which others would leave room if they ended.

        None if there is room for a holding of that size.
        """
        if size <= holding.size:
            return None
        if size <= SMALL_BYTES:
            if self.fits_small(size - holding.size):
                return None
            return lambda other: other.size > 0 and other is not holding
        if not self.fits_large(holding, size):
            return lambda other: other.size > 0 and other is not holding
        own = large_part(holding.size)
        if not fits_beside(self.large - own, size, self.limit * LARGE_FRACTION):
            return lambda other: other.is_large and other is not holding
        for group in holding.groups:
            share = self.limit * group.fraction
            if not fits_beside(self.large_by_group[group] - own, size, share):
                return lambda other, group=group: (
                    other.is_large
                    and group in other.groups
                    and other is not holding
                )
        return None

    def fits_large(self, holding: Holding, size: int) -> bool:
        """Returns whether all fit with a large holding, or it is alone."""
        others = self.large - large_part(holding.size)
        return not others or self.held - holding.size + size <= self.limit

    def fits_small(self, growth: int) -> bool:
        """Returns whether small holdings may grow by so much."""
        if self.held + growth <= self.limit:
            return True
        small = self.held - self.large
        return small + growth <= self.limit * (1 - LARGE_FRACTION)

    def end_stalled(self, helps: Callable[[Holding], bool]) -> bool:
        """Ends the caller that moved on the longest ago.

        Args:
            helps: Returns whether it helps to end the caller of a holding.

        Returns:
            Whether there was one; one that moved on lately is not ended.
        """
        now = trio.current_time()
        for holding in self.waiting:
            if holding.moved_at <= now - STALL_SECONDS and helps(holding):
                self.end(holding, now - holding.moved_at)
                return True
        return False

    def end(self, holding: Holding, seconds: float) -> None:
        """Ends a caller that has not moved on for some seconds."""
        ENDED.inc({})
        logs.caller_fault(
            'caller_ended',
            groups=[group.name for group in holding.groups],
            bytes=holding.size,
            seconds=round(seconds, 3),
            held=self.held,
        )
        holding.ended = True
        # its task gives the memory back in the same turn of the event loop
        self.release(holding)
        holding.end()

    def set_size(self, holding: Holding, size: int) -> None:
        """Counts what a holding takes up, whether there is room or not."""
        if not holding.ended and not holding.closed:
            self.count(holding, size)

    async def wait_room(self, holding: Holding, size: int) -> None:
        """Takes up more memory as soon as there is room.

        One holding at a time need not wait: of several that wait for each
        other's memory none would ever end.
        """
        while not holding.closed and not self.make_room(holding, size):
            if self.overdrawn in (None, holding):
                self.overdrawn = holding
                break
            self.wanted += 1
            try:
                with trio.move_on_after(STALL_SECONDS):
                    await self.released.wait()
            finally:
                self.wanted -= 1
        self.set_size(holding, size)

    def release(self, holding: Holding) -> None:
        """Gives back all that a holding takes up."""
        self.waiting.pop(holding, None)
        self.count(holding, 0)
        if self.overdrawn is holding:
            self.overdrawn = None
        if self.wanted:
            self.released.set()
            self.released = trio.Event()

    def count(self, holding: Holding, size: int) -> None:
        """Counts what a holding takes up from now on."""
        self.held += size - holding.size
        growth = large_part(size) - large_part(holding.size)
        holding.size = size
        if growth:
            self.large += growth
            for group in holding.groups:
                self.large_by_group[group] += growth
                if not self.large_by_group[group]:
                    del self.large_by_group[group]
        self.report()

    def report(self) -> None:
        """Sets the metric if it is out of date."""
        if abs(self.held - self.reported) >= REPORTED_BYTES:
            self.reported = self.held
            HELD.set({}, self.held)


def stalled() -> errors.RouterOverloaded:
    """Returns the error of a caller that was ended while its body arrived."""
    return errors.RouterOverloaded(
        'the body stopped arriving while others needed its memory',
        RETRY_AFTER_SECONDS,
    )


def fits_beside(others: int, size: int, limit: float) -> bool:
    """Returns whether a large holding fits beside others, or there are none."""
    return not others or others + size <= limit


def large_part(size: int) -> int:
    """Returns what a holding of a size counts for among the large ones."""
    return size if size > SMALL_BYTES else 0
