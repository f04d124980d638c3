"""A lease in the key-value service, timed by the holder's clock."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

import trio

from lavenderbend import errors
from lavenderbend.observe import logs

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from lavenderbend.coordination import interfaces

DEFAULT_SECONDS = 60.0
DEFAULT_MARGIN_SECONDS = 2.0
RENEWALS_PER_TERM = 3
RETRY_SECONDS = 1.0
ID_BYTES = 8


class Lease:
    """A lease held by one router at a time if clocks run at the same rate.

    The holder counts the term from before its request and subtracts a
    margin, so that it considers the lease lost before the service expires
    it. The router clock stops while the VM is suspended, the service's does
    not: that time counts as well. The holder may still be paused between
    checking the clock and its next action; the fencing token protects against
    that.

    Attributes:
        store: The key-value service.
        key: Key that exists while the lease is held.
        name: Id of this router.
        seconds: Term of the lease.
        margin: Seconds by which the holder's term ends earlier.
        clock: The suspension clock.
        lease_id: Id of the lease at the service.
        fencing: Fencing token, which grows with each holder; 0 if not held.
        held_until: Router clock up to which the lease is certainly held, if
            the VM is not suspended.
        clock_lead: Seconds by which the suspension clock was ahead of the
            router clock when the present term began.
    """

    def __init__(
        self,
        store: interfaces.KeyValueStore,
        key: str,
        name: str,
        rng: random.Random,
        seconds: float = DEFAULT_SECONDS,
        margin: float = DEFAULT_MARGIN_SECONDS,
        clock: Callable[[], float] = trio.current_time,
    ) -> None:
        self.store = store
        self.key = key
        self.name = name
        self.rng = rng
        self.seconds = seconds
        self.margin = margin
        self.clock = clock
        self.lease_id = 0
        self.fencing = 0
        self.held_until = 0.0
        self.clock_lead = 0.0

    def lead(self) -> float:
        """Returns by how much the suspension clock is ahead."""
        return self.clock() - trio.current_time()

    def seconds_left(self) -> float:
        """Returns the seconds for which the lease is certainly held."""
        if not self.fencing:
            return 0.0
        suspended = self.lead() - self.clock_lead
        return max(0.0, self.held_until - trio.current_time() - suspended)

    def check(self, seconds: float = 0.0) -> None:
        """Checks that the lease is held for more than the given seconds.

        Raises:
            LeaseLost: The lease is not held, or not for that time.
        """
        if self.seconds_left() <= seconds:
            raise errors.LeaseLost(
                f'{self.key}: {self.seconds_left():.1f} s left'
            )

    async def acquire(self) -> None:
        """Waits until the lease is held."""
        while True:
            try:
                if await self.try_acquire():
                    logs.change(
                        'lease_acquired', key=self.key, fencing=self.fencing
                    )
                    return
            except errors.KeyValueError:
                await trio.sleep(self.rng.uniform(0, RETRY_SECONDS))
            pause = self.seconds / RENEWALS_PER_TERM
            await trio.sleep(self.rng.uniform(pause / 2, pause))

    async def try_acquire(self) -> bool:
        """Tries once to acquire the lease; returns whether it is held."""
        if (await self.store.read(self.key)).items:
            return False
        began, lead = trio.current_time(), self.lead()
        lease = await self.store.grant_lease(self.seconds)
        value = f'{self.name} {secrets.token_hex(ID_BYTES)}'.encode()
        try:
            await self.store.create(self.key, value, lease)
        except errors.KeyValueUncertain:
            # the key may have been created: the read below shows that
            pass
        stored = await self.store.read(self.key)
        if not stored.items or stored.items[0].value != value:
            await self.store.revoke_lease(lease)
            return False
        self.lease_id = lease
        # store revisions only grow, so a later holder's token is larger
        self.fencing = stored.items[0].create_revision
        self.held_until = began + self.seconds - self.margin
        self.clock_lead = lead
        return self.seconds_left() > 0

    async def renew_until_lost(self) -> None:
        """Renews the lease until it is lost."""
        while self.seconds_left() > 0:
            pause = min(self.seconds / RENEWALS_PER_TERM, self.seconds_left())
            await trio.sleep(self.rng.uniform(pause / 2, pause))
            began, lead = trio.current_time(), self.lead()
            try:
                with trio.move_on_at(self.held_until):
                    seconds_left = await self.store.renew_lease(self.lease_id)
                    if seconds_left <= 0:
                        break
                    self.held_until = (
                        began + min(seconds_left, self.seconds) - self.margin
                    )
                    self.clock_lead = lead
            except errors.KeyValueError:
                await trio.sleep(self.rng.uniform(0, RETRY_SECONDS))
        self.note_lost()

    def note_lost(self) -> None:
        """Marks the lease as not held."""
        if self.fencing:
            logs.change('lease_lost', key=self.key, fencing=self.fencing)
        self.fencing = 0
        self.held_until = 0.0

    async def release(self) -> None:
        """Revokes the lease, so that another router need not wait."""
        lease, self.lease_id = self.lease_id, 0
        self.note_lost()
        try:
            await self.store.revoke_lease(lease)
        except errors.KeyValueError:
            return
