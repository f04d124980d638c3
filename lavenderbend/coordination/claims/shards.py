"""One shard of the claims: its table, and the writer of its log."""

from __future__ import annotations

import secrets
import time
from typing import TYPE_CHECKING

import trio

from lavenderbend import errors
from lavenderbend.coordination import log
from lavenderbend.coordination.claims import commit_queue
from lavenderbend.observe import logs
from lavenderbend.observe import metrics
from lavenderbend.protocol import records_claims
from lavenderbend.state import claims

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from lavenderbend.coordination import interfaces

BATCH_ID_BYTES = 8
LOAD_PAGE_ENTRIES = 250
RETRY_SECONDS = 0.05
MAX_RETRY_SECONDS = 0.25
UNUSABLE_LOG_ERRORS = (errors.CodecError, errors.ClaimLayoutDiffers)

BATCHES = metrics.counter(
    'lavenderbend_claim_batches_total',
    'Batches of claims by result: ours, taken by another router, lost.',
)
LOADED = metrics.counter(
    'lavenderbend_claim_loaded_entries_total',
    'Log entries read when a shard was taken over or found changed.',
)


class Shard:
    """Commits the claims of one shard in batches.

    Any number of routers may run the same shard at once: the log decides.
    A claim is answered only from entries that are in the log.

    Attributes:
        number: Number of the shard.
        table: Claims of the log entries read so far.
        next_entry: Number of the next log entry.
        queue: Claims and outcomes to be committed.
        call_began_at: Router clock at which the latest call to the service
            began.
        down_since: Router clock at which the service stopped answering,
            None if it answers.
        failures: Consecutive failed calls to the service.
        needs_reading: Whether other routers may have written to the log
            since it was read.
        readings_begun: Number of log readings that have begun.
        applied_reading: Number of the latest reading applied to the table.
        last_used_at: Router clock of the latest request to the shard.
        reading_seconds: Durations of the latest log readings.
    """

    def __init__(
        self,
        number: int,
        store: interfaces.KeyValueStore,
        prefix: str,
        rng: random.Random,
        policy: commit_queue.ShardPolicy,
        clock: Callable[[], float] = time.time,
        shards: int = 1,
    ) -> None:
        self.number = number
        self.store = store
        self.layout_key = f'{prefix}shards'
        self.shards = shards
        self.log = log.Log(store, f'{prefix}{number:04d}/', attempts=1)
        self.rng = rng
        self.policy = policy
        self.clock = clock
        self.table = claims.ClaimTable()
        self.next_entry = 0
        self.queue = commit_queue.CommitQueue(policy)
        self.work_queued = trio.Event()
        self.table_changed = trio.Event()
        self.last_batch_at = float('-inf')
        self.call_began_at = 0.0
        self.down_since: float | None = None
        self.failures = 0
        self.needs_reading = True
        self.readings_begun = 0
        self.applied_reading = 0
        self.last_used_at = 0.0
        self.reading_seconds: list[float] = []

    async def claim(
        self, line: claims.ClaimLine, deadline: float
    ) -> claims.ClaimState:
        """Commits a claim, or returns the state of the key's earlier one.

        Only `REFUSED` guarantees that the claim will not be written to the
        log.
        """
        self.last_used_at = trio.current_time()
        state = self.table.state(line.key, line.token, line.digest)
        min_reading = 0
        if state is claims.ClaimState.REUSED:
            # the claim with the other body may have been released since;
            # a reading that is in progress may not contain that
            self.needs_reading = True
            min_reading = self.readings_begun + 1
        elif state is not claims.ClaimState.ABSENT:
            # also while the service is down: a copy of a request that is
            # known to have run must not get 'not run'
            return state
        pending = commit_queue.PendingClaim(
            line, deadline, trio.current_time(), min_reading
        )
        self.queue.claims.append(pending)
        self.work_queued.set()
        with trio.move_on_at(deadline):
            await pending.decided.wait()
        return pending.state or claims.ClaimState.UNDECIDED

    async def record(
        self, lines: tuple[claims.OutcomeLine, ...], deadline: float
    ) -> bool:
        """Commits outcomes; returns whether they are in the log."""
        self.last_used_at = trio.current_time()
        pending = commit_queue.PendingOutcomes(lines, trio.current_time())
        self.queue.outcomes.append(pending)
        self.work_queued.set()
        with trio.move_on_at(deadline):
            await pending.committed.wait()
        if pending.committed.is_set():
            return True
        if pending in self.queue.outcomes:
            self.queue.outcomes.remove(pending)
        return False

    async def wait_for_outcome(self, key: bytes, deadline: float) -> None:
        """Waits until the key's claim has an outcome or is released."""
        while self.is_running(key):
            table_changed = self.table_changed
            with trio.move_on_at(deadline) as scope:
                await table_changed.wait()
            if scope.cancelled_caught:
                return

    def is_running(self, key: bytes) -> bool:
        """Returns whether the key's claim has no outcome."""
        held = self.table.held.get(key)
        return held is not None and held.outcome is None

    def is_refusing(self) -> bool:
        """Returns whether the service has not answered for too long."""
        if self.failures < self.policy.outage_failures:
            return False
        silence = trio.current_time() - self.down_since
        return silence >= self.policy.outage_seconds

    def request_reading(self) -> None:
        """Requests a reading of the entries that other routers wrote."""
        self.needs_reading = True
        self.work_queued.set()

    async def run(self) -> None:
        """Writes batches until cancelled."""
        pause = RETRY_SECONDS
        while True:
            await self.wait_for_work()
            self.call_began_at = trio.current_time()
            try:
                if self.needs_reading or self.down_since is not None:
                    await self.catch_up()
                self.queue.resolve_claims(self.table, self.applied_reading)
                if self.queue.due():
                    await self.commit()
                self.note_success()
                pause = RETRY_SECONDS
            except errors.LogCompacted:
                self.reset()
            except (errors.KeyValueError, errors.CodecError) as exc:
                # an entry that cannot be decoded may contain a claim, so no
                # entry after it is used to answer claims
                if (
                    isinstance(exc, UNUSABLE_LOG_ERRORS)
                    and self.down_since is None
                ):
                    logs.change('claims_unusable', fault=str(exc))
                self.note_failure()
                await trio.sleep(self.rng.uniform(pause / 2, pause))
                pause = min(pause * 2, MAX_RETRY_SECONDS)

    async def wait_for_work(self) -> None:
        """Waits until a batch is due and the batch interval has passed."""
        if self.down_since is None:
            self.work_queued = trio.Event()
            if not self.needs_reading and not self.queue.due():
                with trio.move_on_at(self.queue.outcomes_due()):
                    await self.work_queued.wait()
        await trio.sleep_until(self.last_batch_at + self.policy.batch_interval)

    async def catch_up(self) -> None:
        """Reads the log entries that are not yet in the table."""
        began = trio.current_time()
        # a reading requested from here on needs a further one
        self.needs_reading = False
        self.readings_begun += 1
        try:
            await self.read_new_entries()
        except BaseException:
            self.needs_reading = True
            raise
        self.applied_reading = self.readings_begun
        self.reading_seconds.append(trio.current_time() - began)
        del self.reading_seconds[:-100]

    async def read_new_entries(self) -> None:
        """Applies the entries after those in the table, page by page."""
        if self.next_entry == 0:
            await self.check_layout()
        while True:
            if self.next_entry == 0:
                page = await self.log.read_retained(1, LOAD_PAGE_ENTRIES)
            else:
                page = await self.log.read(self.next_entry, LOAD_PAGE_ENTRIES)
            for entry in page.entries:
                self.apply(entry)
            LOADED.add({}, len(page.entries))
            if page.last:
                break
        self.next_entry = max(self.next_entry, 1)

    async def check_layout(self) -> None:
        """Checks that this router has the fleet's number of shards.

        A router with another number of shards would look for a key in
        another log, not find it there, and run its request again.

        Raises:
            ClaimLayoutDiffers: The number of shards differs.
        """
        value = str(self.shards).encode()
        await self.store.create(self.layout_key, value)
        layout = await self.store.read(self.layout_key)
        if not layout.items or layout.items[0].value != value:
            raise errors.ClaimLayoutDiffers(
                f'{self.shards} shards configured, not as in {self.layout_key}'
            )

    def apply(self, entry: log.Entry) -> None:
        """Applies a log entry to the table."""
        self.table.apply(entry.number, records_claims.decode(entry.value))
        self.next_entry = entry.number + 1
        table_changed, self.table_changed = self.table_changed, trio.Event()
        table_changed.set()

    async def commit(self) -> None:
        """Writes one batch and applies the entry found at its number."""
        batched = self.queue.next_claims()
        outcomes = self.queue.next_outcomes()
        if not batched and not outcomes:
            return
        value = records_claims.encode(
            claims.Batch(
                secrets.token_bytes(BATCH_ID_BYTES),
                self.clock(),
                tuple(pending.line for pending in batched),
                tuple(line for pending in outcomes for line in pending.lines),
            )
        )
        for pending in batched:
            pending.batched = True
        self.last_batch_at = trio.current_time()
        entry = await self.append_confirmed(self.next_entry, value)
        self.apply(entry)
        if entry.value == value:
            BATCHES.inc({'result': 'ours'})
            self.queue.note_committed(outcomes)
        else:
            # another router wrote this entry: it is applied first, and
            # our batch is written again after it
            BATCHES.inc({'result': 'taken'})
            self.needs_reading = True
        self.queue.resolve_claims(self.table, self.applied_reading)

    async def append_confirmed(self, number: int, value: bytes) -> log.Entry:
        """Appends until the entry at the number is known.

        A batch whose reply was lost may be there. Writing its claims again
        before that is known could leave one of them without the reply
        'claimed' from either entry, so nothing else is written until then.
        """
        pause = RETRY_SECONDS
        while True:
            self.call_began_at = trio.current_time()
            try:
                entry = await self.log.append(number, value)
                self.note_success()
                return entry
            except errors.LogCompacted:
                raise
            except errors.KeyValueError:
                BATCHES.inc({'result': 'lost'})
                self.note_failure()
            await trio.sleep(self.rng.uniform(pause / 2, pause))
            pause = min(pause * 2, MAX_RETRY_SECONDS)

    def note_success(self) -> None:
        """Records that the service answered."""
        self.down_since = None
        self.failures = 0

    def note_failure(self) -> None:
        """Records a failed call, and refuses claims during an outage."""
        now = trio.current_time()
        self.failures += 1
        if self.down_since is None:
            self.down_since = now
        self.queue.note_failed_call(self.call_began_at, self.is_refusing())

    def reset(self) -> None:
        """Clears the table; the log was compacted past its last entry."""
        self.table = claims.ClaimTable()
        self.next_entry = 0
        self.needs_reading = True

    async def compact(self, retention: float) -> None:
        """Removes claims older than the retention from table and log."""
        before = self.table.first_since(self.clock() - retention)
        if not before or before <= self.table.batches[0].number:
            return
        await self.log.compact(before)
        self.table.forget(before)
