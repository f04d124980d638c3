"""One shard of the claims: its table and the writer of its log."""

from __future__ import annotations

import secrets
import time
from typing import TYPE_CHECKING

import trio

from lavenderbend import errors
from lavenderbend.coordination import log
from lavenderbend.coordination.claims import waiting as claim_waiting
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
UNUSABLE = (errors.CodecError, errors.ClaimLayoutDiffers)

BATCHES = metrics.counter(
    'lavenderbend_claim_batches_total',
    'Batches of claims by result: ours, taken by another router, lost.',
)
LOADED = metrics.counter(
    'lavenderbend_claim_loaded_entries_total',
    'Log entries read when a shard was taken over or found changed.',
)


class Shard:
    """Commits claims of one shard, many with one write.

    Any number of routers may run the same shard at once: the log decides.
    A claim is answered only from entries that stand in the log.

    Attributes:
        number: Number of the shard.
        table: The log's claims as far as read.
        next: Number of the next log entry.
        queue: What waits to be committed.
        attempt_at: When the latest call to the service began.
        down_since: When the service stopped answering, None if it answers.
        failures: Calls to it that failed in a row.
        stale: Whether others may have written since.
        begun: Readings of the log that have begun.
        shown: The latest of them that the table shows.
        used_at: When somebody last asked.
        loads: Seconds that each reading of the log took.
    """

    def __init__(
        self,
        number: int,
        store: interfaces.KeyValueStore,
        prefix: str,
        rng: random.Random,
        policy: claim_waiting.ShardPolicy,
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
        self.next = 0
        self.queue = claim_waiting.Queue(policy)
        self.work = trio.Event()
        self.progress = trio.Event()
        self.last_batch = float('-inf')
        self.attempt_at = 0.0
        self.down_since: float | None = None
        self.failures = 0
        self.stale = True
        self.begun = 0
        self.shown = 0
        self.used_at = 0.0
        self.loads: list[float] = []

    async def claim(
        self, line: claims.ClaimLine, deadline: float
    ) -> claims.ClaimState:
        """Commits a claim, or tells where the key's earlier one stands.

        Only `REFUSED` promises that the claim will not come to stand in
        the log.
        """
        self.used_at = trio.current_time()
        known = self.table.state(line.key, line.token, line.digest)
        reading = 0
        if known is claims.ClaimState.REUSED:
            # the claim with the other body may have been released since;
            # what is on its way now may not show that
            self.stale = True
            reading = self.begun + 1
        elif known is not claims.ClaimState.ABSENT:
            # also while the service is down: a copy of a request that ran
            # must not hear 'not run' where it is known that it ran
            return known
        waiting = claim_waiting.Waiting(
            line, deadline, trio.current_time(), reading
        )
        self.queue.claims.append(waiting)
        self.work.set()
        with trio.move_on_at(deadline):
            await waiting.decided.wait()
        return waiting.state or claims.ClaimState.UNDECIDED

    async def record(
        self, lines: tuple[claims.OutcomeLine, ...], deadline: float
    ) -> bool:
        """Commits outcomes; returns whether they stand in the log."""
        self.used_at = trio.current_time()
        waiting = claim_waiting.WaitingOutcomes(lines, trio.current_time())
        self.queue.outcomes.append(waiting)
        self.work.set()
        with trio.move_on_at(deadline):
            await waiting.committed.wait()
        if waiting.committed.is_set():
            return True
        if waiting in self.queue.outcomes:
            self.queue.outcomes.remove(waiting)
        return False

    async def outcome(self, key: bytes, deadline: float) -> None:
        """Waits until the key's claim has an outcome or is released."""
        while self.running(key):
            progress = self.progress
            with trio.move_on_at(deadline) as scope:
                await progress.wait()
            if scope.cancelled_caught:
                return

    def running(self, key: bytes) -> bool:
        """Returns whether the key's claim has no outcome."""
        held = self.table.held.get(key)
        return held is not None and held.outcome is None

    def refuses(self) -> bool:
        """Returns whether the service has been silent for too long."""
        if self.failures < self.policy.failed_calls:
            return False
        silent = trio.current_time() - self.down_since
        return silent >= self.policy.give_up

    def refresh(self) -> None:
        """Has the log read for what others wrote."""
        self.stale = True
        self.work.set()

    async def run(self) -> None:
        """Writes batches until cancelled."""
        pause = RETRY_SECONDS
        while True:
            await self.wait_for_work()
            self.attempt_at = trio.current_time()
            try:
                if self.stale or self.down_since is not None:
                    await self.catch_up()
                self.queue.answer(self.table, self.shown)
                if self.queue.due():
                    await self.commit()
                self.up()
                pause = RETRY_SECONDS
            except errors.LogCompacted:
                self.reset()
            except (errors.KeyValueError, errors.CodecError) as exc:
                # an entry that cannot be read may hold a claim: nothing is
                # answered from beyond it
                if isinstance(exc, UNUSABLE) and self.down_since is None:
                    logs.change('claims_unusable', fault=str(exc))
                self.down()
                await trio.sleep(self.rng.uniform(pause / 2, pause))
                pause = min(pause * 2, MAX_RETRY_SECONDS)

    async def wait_for_work(self) -> None:
        """Waits until there is something to write, and for the gap."""
        if self.down_since is None:
            self.work = trio.Event()
            if not self.stale and not self.queue.due():
                with trio.move_on_at(self.queue.outcomes_due()):
                    await self.work.wait()
        await trio.sleep_until(self.last_batch + self.policy.gap)

    async def catch_up(self) -> None:
        """Reads what stands in the log beyond the table."""
        began = trio.current_time()
        # who asks for a reading from here on is not served by this one
        self.stale = False
        self.begun += 1
        try:
            await self.read_on()
        except BaseException:
            self.stale = True
            raise
        self.shown = self.begun
        self.loads.append(trio.current_time() - began)
        del self.loads[:-100]

    async def read_on(self) -> None:
        """Takes the entries beyond the table, page by page."""
        if self.next == 0:
            await self.check_layout()
        while True:
            if self.next == 0:
                page = await self.log.read_kept(1, LOAD_PAGE_ENTRIES)
            else:
                page = await self.log.read(self.next, LOAD_PAGE_ENTRIES)
            for entry in page.entries:
                self.apply(entry)
            LOADED.add({}, len(page.entries))
            if page.last:
                break
        self.next = max(self.next, 1)

    async def check_layout(self) -> None:
        """Makes sure that every router spreads the claims alike.

        A router with another number of shards would look for a key in
        another log, not find it there, and run its request again.

        Raises:
            ClaimLayoutDiffers: This router's number is not the fleet's.
        """
        value = str(self.shards).encode()
        await self.store.create(self.layout_key, value)
        found = await self.store.read(self.layout_key)
        if not found.items or found.items[0].value != value:
            raise errors.ClaimLayoutDiffers(
                f'{self.shards} shards here, not so at {self.layout_key}'
            )

    def apply(self, entry: log.Entry) -> None:
        """Takes an entry of the log into the table."""
        self.table.apply(entry.number, records_claims.decode(entry.value))
        self.next = entry.number + 1
        progress, self.progress = self.progress, trio.Event()
        progress.set()

    async def commit(self) -> None:
        """Writes one batch and takes whatever stands at its number."""
        batched = self.queue.next_claims()
        outcomes = self.queue.next_outcomes()
        if not batched and not outcomes:
            return
        value = records_claims.encode(
            claims.Batch(
                secrets.token_bytes(BATCH_ID_BYTES),
                self.clock(),
                tuple(waiting.line for waiting in batched),
                tuple(line for item in outcomes for line in item.lines),
            )
        )
        for waiting in batched:
            waiting.batched = True
        self.last_batch = trio.current_time()
        entry = await self.settled(self.next, value)
        self.apply(entry)
        if entry.value == value:
            BATCHES.inc({'result': 'ours'})
            self.queue.committed(outcomes)
        else:
            # another router took the number: its entry counts first, and
            # ours is written again behind it
            BATCHES.inc({'result': 'taken'})
            self.stale = True
        self.queue.answer(self.table, self.shown)

    async def settled(self, number: int, value: bytes) -> log.Entry:
        """Appends until it is known what stands at the number.

        A batch whose answer was lost may stand there. Writing its claims
        anew before that is known could answer one of them 'claimed' from
        neither entry; so nothing else is written until it is settled.
        """
        pause = RETRY_SECONDS
        while True:
            self.attempt_at = trio.current_time()
            try:
                entry = await self.log.append(number, value)
                self.up()
                return entry
            except errors.LogCompacted:
                raise
            except errors.KeyValueError:
                BATCHES.inc({'result': 'lost'})
                self.down()
            await trio.sleep(self.rng.uniform(pause / 2, pause))
            pause = min(pause * 2, MAX_RETRY_SECONDS)

    def up(self) -> None:
        """Notes that the service answers."""
        self.down_since = None
        self.failures = 0

    def down(self) -> None:
        """Notes that it does not, and refuses who has waited too long."""
        now = trio.current_time()
        self.failures += 1
        if self.down_since is None:
            self.down_since = now
        self.queue.call_failed(self.attempt_at, self.refuses())

    def reset(self) -> None:
        """Forgets the table; the log was compacted beyond it."""
        self.table = claims.ClaimTable()
        self.next = 0
        self.stale = True

    async def compact(self, retention: float) -> None:
        """Forgets claims older than the retention, here and in the log."""
        before = self.table.first_since(self.clock() - retention)
        if not before or before <= self.table.batches[0].number:
            return
        await self.log.compact(before)
        self.table.forget(before)
