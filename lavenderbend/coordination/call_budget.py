"""Rate limit of calls to the key-value service, with priorities."""

from __future__ import annotations

import contextlib
import enum
from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend import errors
from lavenderbend.coordination import interfaces
from lavenderbend.observe import metrics

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

MIN_PAUSE_SECONDS = 0.001

THROTTLED_CALLS = metrics.counter(
    'lavenderbend_key_value_held_back_total',
    'Calls that waited for the budget or were given up, by priority.',
)


class CallPriority(enum.IntEnum):
    """Purpose of a call; a smaller number has a higher priority."""

    CLAIMS = 0
    LEASES = 1
    CONFIGURATION = 2
    BACKGROUND = 3


# fraction of the burst that is reserved for calls of higher priority
RESERVED_FRACTIONS = {
    CallPriority.CLAIMS: 0.0,
    CallPriority.LEASES: 0.1,
    CallPriority.CONFIGURATION: 0.3,
    CallPriority.BACKGROUND: 0.6,
}


@attrs.define
class TokenBucket:
    """Token bucket; each call takes one token.

    Attributes:
        rate: Tokens added per second.
        burst: Capacity in tokens.
        tokens: Tokens available at `refilled_at`.
        refilled_at: Router clock of the last refill.
    """

    rate: float
    burst: float
    tokens: float = attrs.field(
        default=attrs.Factory(lambda self: self.burst, takes_self=True)
    )
    refilled_at: float = 0.0

    def try_take(self, priority: CallPriority) -> float:
        """Takes a token and returns 0.0, or returns the seconds to wait."""
        now = trio.current_time()
        earned = max(0.0, now - self.refilled_at) * self.rate
        self.tokens = min(self.burst, self.tokens + earned)
        self.refilled_at = now
        needed = 1.0 + RESERVED_FRACTIONS[priority] * self.burst
        if self.tokens >= needed:
            self.tokens -= 1.0
            return 0.0
        return max(MIN_PAUSE_SECONDS, (needed - self.tokens) / self.rate)


class CallBudget:
    """Call rates of one process at the service.

    The service refuses calls above its rates, whichever router makes them: a
    router that reads configuration too often would cause another router's
    claims to be refused. Calls of lower priority leave a fraction of the
    burst to those of higher priority, and fail instead of waiting for long.

    Attributes:
        writes: Token bucket of writes.
        reads: Token bucket of reads.
        max_wait_seconds: Seconds that a call waits before it fails.
    """

    def __init__(
        self,
        writes_per_second: float = 150.0,
        reads_per_second: float = 200.0,
        burst_seconds: float = 0.5,
        max_wait_seconds: float = 1.0,
    ) -> None:
        self.writes = TokenBucket(
            writes_per_second, max(3.0, writes_per_second * burst_seconds)
        )
        self.reads = TokenBucket(
            reads_per_second, max(3.0, reads_per_second * burst_seconds)
        )
        self.max_wait_seconds = max_wait_seconds

    async def acquire(
        self, bucket: TokenBucket, priority: CallPriority
    ) -> None:
        """Waits for a token.

        Raises:
            KeyValueUnavailable: None within the maximum wait; nothing was sent.
        """
        limit = trio.current_time() + self.max_wait_seconds
        pause = bucket.try_take(priority)
        while pause > 0:
            labels = {'priority': priority.name.lower()}
            THROTTLED_CALLS.inc(labels)
            if trio.current_time() + pause > limit:
                raise errors.KeyValueUnavailable(
                    f'over the call budget for {priority.name.lower()}'
                )
            await trio.sleep(pause)
            pause = bucket.try_take(priority)


class BudgetedStore(interfaces.KeyValueStore):
    """A key-value store whose calls are limited by a budget.

    Attributes:
        store: The store that is called.
        budget: Call budget shared within the process.
        priority: Priority of the calls made through this object.
    """

    def __init__(
        self,
        store: interfaces.KeyValueStore,
        budget: CallBudget,
        priority: CallPriority,
    ) -> None:
        self.store = store
        self.budget = budget
        self.priority = priority

    async def acquire_read(self) -> None:
        """Waits for a read token."""
        await self.budget.acquire(self.budget.reads, self.priority)

    async def acquire_write(self) -> None:
        """Waits for a write token."""
        await self.budget.acquire(self.budget.writes, self.priority)

    async def read(
        self, key: str, end: str | None = None, limit: int = 0
    ) -> interfaces.ReadResult:
        """Reads within the budget."""
        await self.acquire_read()
        return await self.store.read(key, end, limit)

    async def create(
        self,
        key: str,
        value: bytes,
        lease: int = 0,
        present: str | None = None,
        absent: str | None = None,
    ) -> bool:
        """Creates within the budget."""
        await self.acquire_write()
        return await self.store.create(key, value, lease, present, absent)

    async def replace(
        self, key: str, value: bytes, mod_revision: int, lease: int = 0
    ) -> bool:
        """Replaces within the budget."""
        await self.acquire_write()
        return await self.store.replace(key, value, mod_revision, lease)

    async def delete(
        self, key: str, end: str | None = None, mod_revision: int | None = None
    ) -> int:
        """Deletes within the budget."""
        await self.acquire_write()
        return await self.store.delete(key, end, mod_revision)

    async def grant_lease(self, seconds: float) -> int:
        """Grants a lease within the budget."""
        await self.acquire_write()
        return await self.store.grant_lease(seconds)

    async def renew_lease(self, lease: int) -> float:
        """Renews a lease within the budget."""
        await self.acquire_write()
        return await self.store.renew_lease(lease)

    async def revoke_lease(self, lease: int) -> None:
        """Revokes a lease within the budget."""
        await self.acquire_write()
        await self.store.revoke_lease(lease)

    async def watch(
        self, key: str, end: str | None, start_revision: int
    ) -> AsyncIterator[tuple[interfaces.Change, ...]]:
        """Watches keys; opening the watch counts as a read."""
        await self.acquire_read()
        changes = self.store.watch(key, end, start_revision)
        async with contextlib.aclosing(changes):
            async for batch in changes:
                yield batch
