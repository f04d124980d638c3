"""The findings of the quarantine in the key-value service."""

from __future__ import annotations

import json
import math
from typing import TYPE_CHECKING

import trio

from lavenderbend import errors
from lavenderbend.coordination import retries

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from lavenderbend.coordination import interfaces

DEFAULT_PREFIX = '/lavenderbend/quarantine/'
WRITE_RETRY_SECONDS = 1.0
# between two tries to watch the findings; peers tell new ones meanwhile
WATCH_RETRIES = retries.RetrySettings(base_delay=1.0, max_delay=15.0)


class Records:
    """Writes findings, and learns those of others.

    A task of its own writes: while the service is down, what routers tell
    each other must not wait for it.

    Attributes:
        name: Id of this router.
        store: The key-value service.
        rng: Source of jitter.
        learn: Takes over a fingerprint that was found elsewhere.
        seconds: How long a finding is kept.
        prefix: Every key begins with it.
        unwritten: Findings not yet kept.
    """

    def __init__(
        self,
        name: str,
        store: interfaces.KeyValueStore,
        rng: random.Random,
        learn: Callable[[int], None],
        seconds: float,
        prefix: str,
    ) -> None:
        self.name = name
        self.store = store
        self.rng = rng
        self.learn = learn
        self.seconds = seconds
        self.prefix = prefix
        self.prefix_end = prefix[:-1] + chr(ord(prefix[-1]) + 1)
        self.unwritten: set[int] = set()
        self.wake = trio.Event()

    def keep(self, fingerprint: int) -> None:
        """Has a finding written."""
        self.unwritten.add(fingerprint)
        self.wake.set()

    async def run(self) -> None:
        """Writes and learns until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.run_write)
            nursery.start_soon(self.run_watch)

    async def run_write(self) -> None:
        """Writes each new finding, again until it stands."""
        while True:
            await self.wake.wait()
            self.wake = trio.Event()
            while self.unwritten:
                await self.write_all()
                if self.unwritten:
                    await trio.sleep(WRITE_RETRY_SECONDS)

    async def write_all(self) -> None:
        """Writes the findings; those that fail stay for the next try."""
        for fingerprint in sorted(self.unwritten):
            key = f'{self.prefix}{fingerprint:016x}'
            value = json.dumps({'found_by': self.name}).encode()
            try:
                lease = await self.store.grant_lease(self.seconds)
                await self.store.create(key, value, lease)
            except errors.KeyValueError:
                continue
            self.unwritten.discard(fingerprint)

    async def run_watch(self) -> None:
        """Keeps up with the records of the key-value service.

        Every router watches. With one fixed pause between tries all routers
        of the fleet would come at once, each second, to a service that is
        just coming back, and keep it down; so the pauses grow, and differ.
        """
        failures = 0
        while True:
            began = trio.current_time()
            try:
                await self.follow()
            except errors.KeyValueError:
                pass
            if trio.current_time() - began > WATCH_RETRIES.max_delay:
                failures = 0
            failures += 1
            pause = retries.backoff(failures, self.rng, math.inf, WATCH_RETRIES)
            await trio.sleep(pause or 0.0)

    async def follow(self) -> None:
        """Learns the records there are, then each new one.

        Raises:
            KeyValueError: The service does not answer, or the watch ended.
        """
        found = await self.store.read(self.prefix, self.prefix_end)
        for item in found.items:
            self.take(item.key)
        changes = self.store.watch(
            self.prefix, self.prefix_end, found.revision + 1
        )
        async for batch in changes:
            for change in batch:
                if not change.deleted:
                    self.take(change.item.key)

    def take(self, key: str) -> None:
        """Takes a record over; a key that is none of ours is left alone."""
        try:
            fingerprint = int(key.removeprefix(self.prefix), 16)
        except ValueError:
            return
        self.learn(fingerprint)
