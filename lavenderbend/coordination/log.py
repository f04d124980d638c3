"""A log in the key-value service whose next entry is created if absent."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lavenderbend import errors

if TYPE_CHECKING:
    from lavenderbend.coordination import interfaces

SETTLE_ATTEMPTS = 4
READ_ENTRIES = 500
DIGITS = 16


@attrs.frozen
class Entry:
    """One entry.

    Attributes:
        number: Its place, from 1.
        value: Its bytes.
    """

    number: int
    value: bytes


@attrs.frozen
class Page:
    """Entries read at once.

    Attributes:
        entries: In order, without gaps.
        revision: Store revision at which they were read.
        last: Whether no entry follows.
    """

    entries: tuple[Entry, ...]
    revision: int
    last: bool


class Log:
    """Appends and reads; keeps no state, so that any router may do both.

    An entry is created only if it is absent and the one before it is there
    (the first one: only if nothing was ever compacted). The newest entry is
    never deleted. So the entries that are there are always one run without
    gaps that ends at the newest, and a creation succeeds only at its end:
    a writer that was paused for any time cannot write again a number that
    was compacted meanwhile.

    Attributes:
        store: The key-value service.
        prefix: Prefix of the keys.
        attempts: Calls made before `append` gives up on a lost answer.
    """

    def __init__(
        self,
        store: interfaces.KeyValueStore,
        prefix: str,
        attempts: int = SETTLE_ATTEMPTS,
    ) -> None:
        self.store = store
        self.attempts = attempts
        self.prefix = prefix
        self.marker = f'{prefix}compacted'
        self.first_key = f'{prefix}entry/'
        self.end_key = f'{prefix}entry0'

    def key(self, number: int) -> str:
        """Returns the key of an entry."""
        return f'{self.first_key}{number:0{DIGITS}d}'

    def number(self, key: str) -> int:
        """Returns the number of an entry's key."""
        return int(key[len(self.first_key) :])

    async def append(self, number: int, value: bytes) -> Entry:
        """Returns the entry that stands at a number, ours or another's.

        The value must be unlike any other writer's, so that the caller can
        tell. May be called again with the same value after an error.

        Raises:
            KeyValueUnavailable: Ours does not stand there and will not.
            KeyValueUncertain: Ours may stand there, now or later.
            LogCompacted: The number lies before the kept entries, or beyond
                the next one.
        """
        lost = False
        for _ in range(self.attempts):
            try:
                if await self.create(number, value):
                    return Entry(number, value)
                return await self.standing(number)
            except errors.KeyValueUncertain:
                # the write may have taken effect though its answer was lost:
                # creating again tells, as only one creation can succeed
                lost = True
            except errors.KeyValueUnavailable as exc:
                if lost:
                    raise errors.KeyValueUncertain(str(exc)) from exc
                raise
        raise errors.KeyValueUncertain(f'no answer for entry {number}')

    async def create(self, number: int, value: bytes) -> bool:
        """Makes one attempt; returns whether it wrote."""
        key = self.key(number)
        if number == 1:
            return await self.store.create(key, value, absent=self.marker)
        before = self.key(number - 1)
        return await self.store.create(key, value, present=before)

    async def standing(self, number: int) -> Entry:
        """Returns the entry at a number that could not be created."""
        found = await self.store.read(self.key(number))
        if not found.items:
            raise errors.LogCompacted(f'entry {number} is not there')
        item = found.items[0]
        return Entry(number, item.value)

    async def read(self, first: int, limit: int = READ_ENTRIES) -> Page:
        """Returns entries from a number on, none if it is the next one.

        Raises:
            KeyValueUnavailable: The service does not answer.
            LogCompacted: The number lies before the kept entries.
        """
        page = await self.read_kept(first, limit)
        if page.entries and page.entries[0].number != first:
            raise errors.LogCompacted(
                f'entry {first} is gone, {page.entries[0].number} is there'
            )
        return page

    async def read_kept(
        self, first: int = 1, limit: int = READ_ENTRIES
    ) -> Page:
        """Returns the kept entries from a number on, wherever they begin."""
        found = await self.store.read(self.key(first), self.end_key, limit)
        entries = tuple(
            Entry(self.number(item.key), item.value) for item in found.items
        )
        return Page(entries, found.revision, len(entries) < limit)

    async def compact(self, before: int) -> None:
        """Deletes the entries before one that is known to be there."""
        if before <= 1:
            return
        # without the marker a writer that was paused since the log was
        # empty could create entry 1 again after it was deleted
        await self.store.create(self.marker, b'')
        found = await self.store.read(self.marker)
        if not found.items:
            raise errors.KeyValueUnavailable('the marker was not written')
        await self.store.delete(self.first_key, self.key(before))
