"""Accepts configuration and reads accepted configuration."""

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
SNAPSHOT_EVERY = 100
KEEP_REVISIONS = 30_000
COMPACT_EVERY = 1000
SETTLE_SECONDS = 10.0
SETTLE_PAUSE_SECONDS = 0.2
LAST_NUMBER = 10**log.DIGITS - 1


@attrs.frozen
class HistoryEntry:
    """One line of the history.

    Attributes:
        number: Number of the revision.
        author: Who had it accepted.
        reason: Why.
        accepted_at: Seconds since the epoch, by the acceptor's clock.
        digest: Digest of the document.
    """

    number: int
    author: str
    reason: str
    accepted_at: float
    digest: str


class ConfigurationLog:
    """The log of accepted changes, with whole revisions now and then.

    Attributes:
        log: The log; entry N is the change that made revision N.
        chain: Revisions known so far.
        clock: Seconds since the epoch.
        keep: Revisions that are kept for the history.
        revision: Store revision up to which the log was read.
    """

    def __init__(
        self,
        store: interfaces.KeyValueStore,
        prefix: str = DEFAULT_PREFIX,
        chain: configuration_chain.Chain | None = None,
        clock: Callable[[], float] = time.time,
        keep: int = KEEP_REVISIONS,
    ) -> None:
        self.store = store
        self.log = log.Log(store, prefix)
        self.chain = chain or configuration_chain.Chain()
        self.clock = clock
        self.keep = keep
        self.revision = 0
        self.snapshot_first = f'{prefix}snapshot/'
        self.snapshot_end = f'{prefix}snapshot0'
        self.snapshot_number = 0

    async def accept(
        self,
        document: configuration.Configuration,
        seen: int,
        author: str,
        reason: str,
    ) -> configuration.Revision:
        """Makes a document the revision after the one that was seen.

        Raises:
            ConfigurationInvalid: The document breaks its own terms.
            ConfigurationTooLarge: It does not fit the service.
            ConfigurationConflict: Another change was accepted since.
            KeyValueUnavailable: Not accepted; the service is down.
            KeyValueUncertain: The service went down meanwhile; the history
                will tell.
        """
        check(document)
        await self.catch_up()
        number = seen + 1
        if self.chain.number != seen:
            raise await self.conflict(seen)
        wanted = documents.from_configuration(document)
        value = self.change(wanted, author, reason)
        try:
            entry = await self.append(number, value)
        except errors.LogCompacted:
            entry = None
        if entry is None or entry.value != value:
            await self.catch_up()
            raise await self.conflict(seen)
        # a watch may have brought it already
        self.chain.take(number, value)
        revision = self.revision_of(number, wanted, value)
        await self.keep_house()
        return revision

    def change(
        self, wanted: documents.Document, author: str, reason: str
    ) -> bytes:
        """Returns the log entry that leads to a document.

        Raises:
            ConfigurationTooLarge: The service could not hold it.
        """
        record = records.Record(
            id=uuid.uuid4().bytes,
            author=author,
            reason=reason,
            accepted_at=self.clock(),
            digest=wanted.digest,
            splices=documents.delta(self.chain.known.document, wanted),
        )
        value = records.encode(record)
        whole = records.StoredRevision(
            self.chain.number + 1, wanted, author, reason
        )
        size = max(len(value), len(records.encode_revision(whole)))
        if size > MAX_VALUE_BYTES:
            raise errors.ConfigurationTooLarge(
                f'{size} bytes compressed, {MAX_VALUE_BYTES} are allowed'
            )
        return value

    def revision_of(
        self, number: int, document: documents.Document, value: bytes
    ) -> configuration.Revision:
        """Returns the accepted revision, even if newer ones followed."""
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
        """Appends, and asks again for a while if the answer is lost."""
        limit = trio.current_time() + SETTLE_SECONDS
        try:
            return await self.log.append(number, value)
        except errors.KeyValueUncertain:
            pass
        while True:
            await trio.sleep(SETTLE_PAUSE_SECONDS)
            try:
                return await self.log.append(number, value)
            except errors.LogCompacted:
                raise
            except errors.KeyValueError as exc:
                # even a refusal leaves the first write uncertain
                if trio.current_time() >= limit:
                    raise errors.KeyValueUncertain(str(exc)) from exc

    async def conflict(self, seen: int) -> errors.ConfigurationConflict:
        """Returns the error for a document made from an old revision."""
        newest = self.chain.known
        try:
            old = await self.known_at(seen)
            lines = documents.difference(old.document, newest.document)
        except (errors.KeyValueError, errors.ConfigurationError):
            lines = (f'revision {seen} cannot be read',)
        return errors.ConfigurationConflict(seen, newest.number, lines)

    async def catch_up(self) -> None:
        """Reads what was accepted since the newest known revision.

        Raises:
            KeyValueUnavailable: The service does not answer.
        """
        if self.chain.number == 0:
            await self.read_snapshot()
        while True:
            try:
                page = await self.log.read(self.chain.number + 1)
            except errors.LogCompacted:
                # away for longer than changes are kept
                await self.read_snapshot()
                continue
            for entry in page.entries:
                self.chain.take(entry.number, entry.value)
            if page.last:
                # that of an earlier page is ahead of what was read
                self.revision = page.revision
                return

    async def read_snapshot(self) -> None:
        """Jumps to the newest whole revision in the service."""
        known = await self.snapshot_upto(LAST_NUMBER)
        if known is not None:
            self.snapshot_number = max(self.snapshot_number, known.number)
            self.chain.take_whole(known)

    async def snapshot_upto(self, number: int) -> records.StoredRevision | None:
        """Returns the newest whole revision up to a number."""
        found = await self.store.read(
            self.snapshot_key(number), self.snapshot_end, 1
        )
        if not found.items:
            return None
        return records.decode_revision(found.items[0].value)

    def snapshot_key(self, number: int) -> str:
        """Returns the key of a whole revision; newer ones sort first."""
        return f'{self.snapshot_first}{LAST_NUMBER - number:0{log.DIGITS}d}'

    async def keep_house(self) -> None:
        """Writes a whole revision and compacts when due.

        A failure leaves the next acceptor to do it: nothing depends on it.
        """
        known = self.chain.known
        if known.number - self.snapshot_number < SNAPSHOT_EVERY:
            return
        try:
            await self.store.create(
                self.snapshot_key(known.number), records.encode_revision(known)
            )
            self.snapshot_number = known.number
            if known.number % COMPACT_EVERY < SNAPSHOT_EVERY:
                await self.compact(known.number - self.keep)
        except errors.KeyValueError:
            return

    async def compact(self, number: int) -> None:
        """Deletes what is older than a revision and not needed for it."""
        if number <= 0:
            return
        oldest = await self.snapshot_upto(number)
        if oldest is None:
            return
        await self.log.compact(oldest.number)
        await self.store.delete(
            self.snapshot_key(oldest.number - 1), self.snapshot_end
        )

    async def known_at(self, number: int) -> records.StoredRevision:
        """Returns a past revision.

        Raises:
            ConfigurationError: It is not kept, or not accepted yet.
        """
        if number == self.chain.number:
            return self.chain.known
        known = await self.snapshot_upto(number) or records.EMPTY_REVISION
        while known.number < number:
            page = await self.log.read_kept(known.number + 1)
            if not page.entries or page.entries[0].number != known.number + 1:
                raise errors.ConfigurationError(f'no revision {number}')
            for entry in page.entries:
                if known.number < number:
                    record = records.decode(entry.value)
                    known = records.advance(known, record)
        return known

    async def read(self, number: int) -> configuration.Revision:
        """Returns a past revision; see `known_at`."""
        return records.to_revision(await self.known_at(number))

    async def history(self, limit: int = 100) -> tuple[HistoryEntry, ...]:
        """Returns the latest revisions, oldest first."""
        await self.catch_up()
        first = max(1, self.chain.number - limit + 1)
        lines: list[HistoryEntry] = []
        while True:
            page = await self.log.read_kept(first)
            lines += [history_entry(entry) for entry in page.entries]
            if page.last:
                return tuple(lines)
            first = page.entries[-1].number + 1


def history_entry(entry: log.Entry) -> HistoryEntry:
    """Returns the line of a log entry."""
    record = records.decode(entry.value)
    return HistoryEntry(
        entry.number,
        record.author,
        record.reason,
        record.accepted_at,
        record.digest,
    )


def check(document: configuration.Configuration) -> None:
    """Refuses a document that breaks its own terms."""
    found = validation.configuration_problems(document)
    if not found:
        return
    lines = [
        f'{".".join(map(str, problem.path))}: {problem.fault}'
        f' (allowed: {problem.allowed})'
        for problem in found
    ]
    raise errors.ConfigurationInvalid('\n'.join(lines))
