"""A lease in the key-value service, by the holder's own clock."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

import trio

from lavenderbend import errors
from lavenderbend.observe import logs

if TYPE_CHECKING:
    import random

    from lavenderbend.coordination import interfaces

DEFAULT_SECONDS = 60.0
DEFAULT_MARGIN_SECONDS = 2.0
RENEWALS_PER_TERM = 3
RETRY_SECONDS = 1.0
ID_BYTES = 8


class Lease:
    """Held by one router at a time, as far as clocks run alike.

    The holder counts from before it asked, and less a margin: it stops
    believing before the service lets the lease lapse. A pause of the holder
    can still come between its look at the clock and what it does next;
    against that there is the fencing number.

    Attributes:
        store: The key-value service.
        key: Key that stands while the lease is held.
        name: Id of this router.
        seconds: Time granted.
        margin: Seconds by which the holder stops earlier.
        fencing: Grows with each holder; 0 while not held.
        until: Clock up to which the lease is surely held.
    """

    def __init__(
        self,
        store: interfaces.KeyValueStore,
        key: str,
        name: str,
        rng: random.Random,
        seconds: float = DEFAULT_SECONDS,
        margin: float = DEFAULT_MARGIN_SECONDS,
    ) -> None:
        self.store = store
        self.key = key
        self.name = name
        self.rng = rng
        self.seconds = seconds
        self.margin = margin
        self.lease_id = 0
        self.fencing = 0
        self.held_until = 0.0

    def seconds_left(self) -> float:
        """Returns the seconds for which the lease is surely held."""
        if not self.fencing:
            return 0.0
        return max(0.0, self.held_until - trio.current_time())

    def check(self, seconds: float = 0.0) -> None:
        """Makes sure that the lease is held for so long.

        Raises:
            LeaseLost: It is not.
        """
        if self.seconds_left() <= seconds:
            raise errors.LeaseLost(f'{self.key}: {self.left():.1f} s left')

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
        """Tries once to get the lease; returns whether it is held."""
        if (await self.store.read(self.key)).items:
            return False
        began = trio.current_time()
        lease = await self.store.grant_lease(self.seconds)
        value = f'{self.name} {secrets.token_hex(ID_BYTES)}'.encode()
        try:
            await self.store.create(self.key, value, lease)
        except errors.KeyValueUncertain:
            # it may be held after all: the read below tells
            pass
        stored = await self.store.read(self.key)
        if not stored.items or stored.items[0].value != value:
            await self.store.revoke_lease(lease)
            return False
        self.lease_id = lease
        # store revisions only grow, so a later holder's is larger
        self.fencing = stored.items[0].create_revision
        self.held_until = began + self.seconds - self.margin
        return self.seconds_left() > 0

    async def renew_until_lost(self) -> None:
        """Renews the lease; returns when it is lost."""
        while self.seconds_left() > 0:
            pause = min(self.seconds / RENEWALS_PER_TERM, self.seconds_left())
            await trio.sleep(self.rng.uniform(pause / 2, pause))
            began = trio.current_time()
            try:
                with trio.move_on_at(self.held_until):
                    seconds_left = await self.store.renew_lease(self.lease_id)
                    if seconds_left <= 0:
                        break
                    self.held_until = (
                        began + min(seconds_left, self.seconds) - self.margin
                    )
            except errors.KeyValueError:
                await trio.sleep(self.rng.uniform(0, RETRY_SECONDS))
        self.note_lost()

    def note_lost(self) -> None:
        """Stops believing that the lease is held."""
        if self.fencing:
            logs.change('lease_lost', key=self.key, fencing=self.fencing)
        self.fencing = 0
        self.held_until = 0.0

    async def release(self) -> None:
        """Gives the lease up, so that another router need not wait."""
        lease, self.lease_id = self.lease_id, 0
        self.note_lost()
        try:
            await self.store.revoke_lease(lease)
        except errors.KeyValueError:
            return
