"""An append-only log in the key-value service.

An entry is appended by creating its key if the key is absent.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lavenderbend import errors

if TYPE_CHECKING:
    from lavenderbend.coordination import interfaces

APPEND_ATTEMPTS = 4
PAGE_ENTRIES = 500
KEY_DIGITS = 16


@attrs.frozen
class Entry:
    """One entry of the log.

    Attributes:
        number: Its position, from 1.
        value: Its content.
    """

    number: int
    value: bytes


@attrs.frozen
class Page:
    """Entries returned by one read.

    Attributes:
        entries: In order, without gaps.
        revision: Store revision at the time of the read.
        last: Whether the log had no later entry.
    """

    entries: tuple[Entry, ...]
    revision: int
    last: bool


class Log:
    """Appends and reads entries.

    It keeps no state, so that any router may append and read.

    An entry is created only if it is absent and the one before it exists
    (the first one: only if nothing was ever compacted). The newest entry is
    never deleted. So the stored entries are always contiguous up to the
    newest, and an entry can be created only right after the newest: a writer
    that was paused, however long, cannot write again a number that was
    compacted meanwhile.

    Attributes:
        store: The key-value service.
        prefix: Prefix of the keys.
        attempts: Calls that `append` makes before it raises
            `KeyValueUncertain` because their replies were lost.
    """

    def __init__(
        self,
        store: interfaces.KeyValueStore,
        prefix: str,
        attempts: int = APPEND_ATTEMPTS,
    ) -> None:
        self.store = store
        self.attempts = attempts
        self.prefix = prefix
        self.marker = f'{prefix}compacted'
        self.first_key = f'{prefix}entry/'
        self.end_key = f'{prefix}entry0'

    def key(self, number: int) -> str:
        """Returns the key of the entry with a number."""
        return f'{self.first_key}{number:0{KEY_DIGITS}d}'

    def number(self, key: str) -> int:
        """Returns the number of the entry with a key."""
        return int(key[len(self.first_key) :])

    async def append(self, number: int, value: bytes) -> Entry:
        """Appends a value; returns the entry stored under the number.

        That is another writer's entry if it was created first. The value
        must differ from any other writer's, so that the caller can tell. May
        be called again with the same value after an error.

        Raises:
            KeyValueUnavailable: The value was not written and will not be.
            KeyValueUncertain: The value may have been written, or may still
                be.
            LogCompacted: The number is below the retained entries, or above
                the next one.
        """
        may_have_written = False
        for _ in range(self.attempts):
            try:
                if await self.create(number, value):
                    return Entry(number, value)
                return await self.read_existing(number)
            except errors.KeyValueUncertain:
                # The write may have taken effect although its reply was lost.
                # Creating the key again shows it: only one create can succeed.
                may_have_written = True
            except errors.KeyValueUnavailable as exc:
                if may_have_written:
                    raise errors.KeyValueUncertain(str(exc)) from exc
                raise
        raise errors.KeyValueUncertain(
            f'no reply to the write of log entry {number}'
        )

    async def create(self, number: int, value: bytes) -> bool:
        """Makes one attempt to create an entry; returns whether it did."""
        key = self.key(number)
        if number == 1:
            return await self.store.create(key, value, absent=self.marker)
        previous = self.key(number - 1)
        return await self.store.create(key, value, present=previous)

    async def read_existing(self, number: int) -> Entry:
        """Returns the entry whose key another writer created."""
        result = await self.store.read(self.key(number))
        if not result.items:
            raise errors.LogCompacted(f'log entry {number} does not exist')
        stored = result.items[0]
        return Entry(number, stored.value)

    async def read(self, first: int, limit: int = PAGE_ENTRIES) -> Page:
        """Returns entries from a number on, none if it is not yet written.

        Raises:
            KeyValueUnavailable: The service cannot be reached.
            LogCompacted: The number is below the retained entries.
        """
        page = await self.read_retained(first, limit)
        if page.entries and page.entries[0].number != first:
            raise errors.LogCompacted(
                f'log entry {first} was compacted,'
                f' the oldest is {page.entries[0].number}'
            )
        return page

    async def read_retained(
        self, first: int = 1, limit: int = PAGE_ENTRIES
    ) -> Page:
        """Returns the retained entries with at least a number.

        Other than `read` it does not fail if the first one was compacted.
        """
        result = await self.store.read(self.key(first), self.end_key, limit)
        entries = tuple(
            Entry(self.number(item.key), item.value) for item in result.items
        )
        return Page(entries, result.revision, len(entries) < limit)

    async def compact(self, before: int) -> None:
        """Deletes the entries before an existing one."""
        if before <= 1:
            return
        # Without the marker, a writer that was paused since the log was
        # empty could create entry 1 again after it was deleted.
        await self.store.create(self.marker, b'')
        result = await self.store.read(self.marker)
        if not result.items:
            raise errors.KeyValueUnavailable(
                'the log compaction marker was not written'
            )
        await self.store.delete(self.first_key, self.key(before))
