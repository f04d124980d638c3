"""The log of accepted configuration changes, with snapshots."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING
import uuid

import attrs
import trio

from lavenderbend import errors
from lavenderbend.coordination import log
from lavenderbend.coordination.configuration import chain as configuration_chain
from lavenderbend.protocol import records_configuration as records
from lavenderbend.state import documents
from lavenderbend.state import validation

if TYPE_CHECKING:
    from collections.abc import Callable

    from lavenderbend.coordination import interfaces
    from lavenderbend.state import configuration

DEFAULT_PREFIX = '/lavenderbend/configuration/'
MAX_VALUE_BYTES = 1_000_000
SNAPSHOT_INTERVAL_REVISIONS = 100
RETAINED_REVISIONS = 30_000
COMPACT_INTERVAL_REVISIONS = 1000
APPEND_RETRY_SECONDS = 10.0
APPEND_RETRY_INTERVAL_SECONDS = 0.2
MAX_NUMBER = 10**log.KEY_DIGITS - 1


@attrs.frozen
class HistoryEntry:
    """One revision in the history.

    Attributes:
        number: Number of the revision.
        author: Who submitted it.
        reason: Reason that the author stated.
        accepted_at: Seconds since the epoch, by the clock of the process that
            appended it.
        digest: Digest of the document.
    """

    number: int
    author: str
    reason: str
    accepted_at: float
    digest: str


class ConfigurationLog:
    """The log of accepted changes, with periodic snapshots of a revision.

    Attributes:
        log: The log; entry N is the change that leads to revision N.
        chain: Revisions known so far.
        clock: Returns seconds since the epoch.
        retained_revisions: Number of revisions kept for the history.
        revision: Store revision up to which the log was read.
        snapshot_number: Highest number of a snapshot known to be stored.
    """

    def __init__(
        self,
        store: interfaces.KeyValueStore,
        prefix: str = DEFAULT_PREFIX,
        chain: configuration_chain.Chain | None = None,
        clock: Callable[[], float] = time.time,
        retained_revisions: int = RETAINED_REVISIONS,
    ) -> None:
        self.store = store
        self.log = log.Log(store, prefix)
        self.chain = chain or configuration_chain.Chain()
        self.clock = clock
        self.retained_revisions = retained_revisions
        self.revision = 0
        self.snapshot_first_key = f'{prefix}snapshot/'
        self.snapshot_end_key = f'{prefix}snapshot0'
        self.snapshot_number = 0

    async def accept(
        self,
        document: configuration.Configuration,
        base_number: int,
        author: str,
        reason: str,
    ) -> configuration.Revision:
        """Accepts a document as the next revision.

        Args:
            document: The new configuration.
            base_number: Number of the revision that the document was made
                from.
            author: Who submits it.
            reason: Reason for the change.

        Raises:
            ConfigurationInvalid: The document is inconsistent.
            ConfigurationTooLarge: It exceeds the size limit for one value.
            ConfigurationConflict: Another change was accepted since.
            KeyValueUnavailable: Not accepted; the service is down.
            KeyValueUncertain: The service went down meanwhile; the history
                shows later whether it was accepted.
        """
        check_valid(document)
        await self.catch_up()
        number = base_number + 1
        if self.chain.number != base_number:
            raise await self.conflict_error(base_number)
        target = documents.from_configuration(document)
        value = self.encode_change(target, author, reason)
        try:
            entry = await self.append(number, value)
        except errors.LogCompacted:
            entry = None
        if entry is None or entry.value != value:
            await self.catch_up()
            raise await self.conflict_error(base_number)
        # A watch may have delivered the entry already.
        self.chain.apply(number, value)
        revision = self.accepted_revision(number, target, value)
        await self.run_maintenance()
        return revision

    def encode_change(
        self, target: documents.Document, author: str, reason: str
    ) -> bytes:
        """Returns the log entry that leads to a document.

        Raises:
            ConfigurationTooLarge: The entry or a snapshot of the revision
                exceeds `MAX_VALUE_BYTES`.
        """
        record = records.Record(
            id=uuid.uuid4().bytes,
            author=author,
            reason=reason,
            accepted_at=self.clock(),
            digest=target.digest,
            splices=documents.delta(self.chain.latest.document, target),
        )
        value = records.encode(record)
        snapshot = records.StoredRevision(
            self.chain.number + 1, target, author, reason
        )
        size = max(len(value), len(records.encode_revision(snapshot)))
        if size > MAX_VALUE_BYTES:
            raise errors.ConfigurationTooLarge(
                f'{size} bytes compressed, {MAX_VALUE_BYTES} are allowed'
            )
        return value

    def accepted_revision(
        self, number: int, document: documents.Document, value: bytes
    ) -> configuration.Revision:
        """Returns the accepted revision, even if newer ones have followed."""
        record = records.decode(value)
        return records.to_revision(
            records.StoredRevision(
                number,
                document,
                record.author,
                record.reason,
                record.accepted_at,
            )
        )

    async def append(self, number: int, value: bytes) -> log.Entry:
        """Appends, and retries for a while if the reply was lost."""
        retry_until = trio.current_time() + APPEND_RETRY_SECONDS
        try:
            return await self.log.append(number, value)
        except errors.KeyValueUncertain:
            pass
        while True:
            await trio.sleep(APPEND_RETRY_INTERVAL_SECONDS)
            try:
                return await self.log.append(number, value)
            except errors.LogCompacted:
                raise
            except errors.KeyValueError as exc:
                # Even after a definite failure of the retry it is unknown
                # whether the first write took effect.
                if trio.current_time() >= retry_until:
                    raise errors.KeyValueUncertain(str(exc)) from exc

    async def conflict_error(
        self, base_number: int
    ) -> errors.ConfigurationConflict:
        """Returns the error for a document made from an outdated revision."""
        newest = self.chain.latest
        try:
            base = await self.read_at(base_number)
            differences = documents.difference(base.document, newest.document)
        except (errors.KeyValueError, errors.ConfigurationError):
            differences = (f'revision {base_number} cannot be read',)
        return errors.ConfigurationConflict(
            base_number, newest.number, differences
        )

    async def catch_up(self) -> None:
        """Applies the changes accepted since the newest known revision.

        Raises:
            KeyValueUnavailable: The service cannot be reached.
        """
        if self.chain.number == 0:
            await self.read_snapshot()
        while True:
            try:
                page = await self.log.read(self.chain.number + 1)
            except errors.LogCompacted:
                # The next change was compacted: this process did not read
                # the log for longer than changes are retained.
                await self.read_snapshot()
                continue
            for entry in page.entries:
                self.chain.apply(entry.number, entry.value)
            if page.last:
                # The store revision of an earlier page may already include
                # entries of the pages after it, which are not read yet.
                self.revision = page.revision
                return

    async def read_snapshot(self) -> None:
        """Installs the newest snapshot stored in the service."""
        snapshot = await self.latest_snapshot(MAX_NUMBER)
        if snapshot is not None:
            self.snapshot_number = max(self.snapshot_number, snapshot.number)
            self.chain.install_snapshot(snapshot)

    async def latest_snapshot(
        self, number: int
    ) -> records.StoredRevision | None:
        """Returns the newest snapshot up to a number, None without one."""
        result = await self.store.read(
            self.snapshot_key(number), self.snapshot_end_key, 1
        )
        if not result.items:
            return None
        return records.decode_revision(result.items[0].value)

    def snapshot_key(self, number: int) -> str:
        """Returns the key of a snapshot; newer ones sort first."""
        return (
            f'{self.snapshot_first_key}{MAX_NUMBER - number:0{log.KEY_DIGITS}d}'
        )

    async def run_maintenance(self) -> None:
        """Writes a snapshot and compacts the log when due.

        After a failure the next accepted change tries again: no other
        operation depends on it.
        """
        latest = self.chain.latest
        if latest.number - self.snapshot_number < SNAPSHOT_INTERVAL_REVISIONS:
            return
        try:
            await self.store.create(
                self.snapshot_key(latest.number),
                records.encode_revision(latest),
            )
            self.snapshot_number = latest.number
            if (
                latest.number % COMPACT_INTERVAL_REVISIONS
                < SNAPSHOT_INTERVAL_REVISIONS
            ):
                await self.compact(latest.number - self.retained_revisions)
        except errors.KeyValueError:
            return

    async def compact(self, number: int) -> None:
        """Deletes entries and snapshots not needed to read a revision."""
        if number <= 0:
            return
        base = await self.latest_snapshot(number)
        if base is None:
            return
        await self.log.compact(base.number)
        await self.store.delete(
            self.snapshot_key(base.number - 1), self.snapshot_end_key
        )

    async def read_at(self, number: int) -> records.StoredRevision:
        """Returns a past revision as it is stored.

        Raises:
            ConfigurationError: The revision is no longer retained, or not
                accepted yet.
        """
        if number == self.chain.number:
            return self.chain.latest
        past = await self.latest_snapshot(number) or records.EMPTY_REVISION
        while past.number < number:
            page = await self.log.read_retained(past.number + 1)
            if not page.entries or page.entries[0].number != past.number + 1:
                raise errors.ConfigurationError(
                    f'revision {number} is not in the log'
                )
            for entry in page.entries:
                if past.number < number:
                    record = records.decode(entry.value)
                    past = records.advance(past, record)
        return past

    async def read(self, number: int) -> configuration.Revision:
        """Returns a past revision; see `read_at`."""
        return records.to_revision(await self.read_at(number))

    async def history(self, limit: int = 100) -> tuple[HistoryEntry, ...]:
        """Returns at most `limit` latest revisions, oldest first."""
        await self.catch_up()
        first = max(1, self.chain.number - limit + 1)
        entries: list[HistoryEntry] = []
        while True:
            page = await self.log.read_retained(first)
            entries += [history_entry(entry) for entry in page.entries]
            if page.last:
                return tuple(entries)
            first = page.entries[-1].number + 1


def history_entry(entry: log.Entry) -> HistoryEntry:
    """Returns the history entry of a log entry."""
    record = records.decode(entry.value)
    return HistoryEntry(
        entry.number,
        record.author,
        record.reason,
        record.accepted_at,
        record.digest,
    )


def check_valid(document: configuration.Configuration) -> None:
    """Checks that a document is consistent.

    Raises:
        ConfigurationInvalid: It is not.
    """
    problems = validation.configuration_problems(document)
    if not problems:
        return
    lines = [
        f'{".".join(map(str, problem.path))}: {problem.fault}'
        f' (allowed: {problem.allowed})'
        for problem in problems
    ]
    raise errors.ConfigurationInvalid('\n'.join(lines))
