"""Quarantine records in the key-value service."""

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
# delays between attempts to watch the records; peers announce new findings
# meanwhile
WATCH_RETRIES = retries.RetrySettings(base_delay=1.0, max_delay=15.0)


class Records:
    """Writes quarantine records and watches those of other routers.

    Records are written by a separate task, so that notices between routers
    are not delayed while the service is down.

    Attributes:
        name: Id of this router.
        store: The key-value service.
        rng: Source of jitter.
        on_record: Called with the fingerprint of each record read.
        seconds: Lifetime of a record.
        prefix: Prefix of every key.
        prefix_end: End of the key range, exclusive.
        unwritten: Fingerprints whose record is not yet written.
        has_unwritten: Wakes the task that writes.
    """

    def __init__(
        self,
        name: str,
        store: interfaces.KeyValueStore,
        rng: random.Random,
        on_record: Callable[[int], None],
        seconds: float,
        prefix: str,
    ) -> None:
        self.name = name
        self.store = store
        self.rng = rng
        self.on_record = on_record
        self.seconds = seconds
        self.prefix = prefix
        self.prefix_end = prefix[:-1] + chr(ord(prefix[-1]) + 1)
        self.unwritten: set[int] = set()
        self.has_unwritten = trio.Event()

    def enqueue(self, fingerprint: int) -> None:
        """Queues a record to be written."""
        self.unwritten.add(fingerprint)
        self.has_unwritten.set()

    async def run(self) -> None:
        """Writes and watches records until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.run_write)
            nursery.start_soon(self.run_watch)

    async def run_write(self) -> None:
        """Writes each queued record, with retries until it is written."""
        while True:
            await self.has_unwritten.wait()
            self.has_unwritten = trio.Event()
            while self.unwritten:
                await self.write_all()
                if self.unwritten:
                    await trio.sleep(WRITE_RETRY_SECONDS)

    async def write_all(self) -> None:
        """Writes the queued records; those that fail stay queued."""
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
        """Watches the records of the key-value service until cancelled.

        Every router watches. With a fixed delay between attempts all routers
        would call a service that is just recovering at the same moment, each
        second, and keep it down. So the delays grow and have jitter.
        """
        failures = 0
        while True:
            began = trio.current_time()
            try:
                await self.load_and_watch()
            except errors.KeyValueError:
                pass
            if trio.current_time() - began > WATCH_RETRIES.max_delay:
                failures = 0
            failures += 1
            pause = retries.backoff(failures, self.rng, math.inf, WATCH_RETRIES)
            await trio.sleep(pause or 0.0)

    async def load_and_watch(self) -> None:
        """Reads the existing records, then each new one.

        Raises:
            KeyValueError: The service does not answer, or the watch ended.
        """
        records = await self.store.read(self.prefix, self.prefix_end)
        for record in records.items:
            self.apply_key(record.key)
        changes = self.store.watch(
            self.prefix, self.prefix_end, records.revision + 1
        )
        async for batch in changes:
            for change in batch:
                if not change.deleted:
                    self.apply_key(change.item.key)

    def apply_key(self, key: str) -> None:
        """Reports the record of a key; ignores keys of other formats."""
        try:
            fingerprint = int(key.removeprefix(self.prefix), 16)
        except ValueError:
            return
        self.on_record(fingerprint)
