"""Newest known configuration revision of one process.

The number of the revision only increases.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import trio

from lavenderbend import errors
from lavenderbend.protocol import records_configuration as records

if TYPE_CHECKING:
    from lavenderbend.state import configuration

MAX_RECENT_ENTRIES = 256


class Chain:
    """The newest known revision and the latest changes that led to it.

    Attributes:
        latest: Newest known revision, as the log stores it.
        revision: The same revision, as the rest of the router uses it.
        recent_entries: Log entries of the latest changes, by number.
        changed: Set, and replaced, whenever a newer revision is installed.
    """

    def __init__(self) -> None:
        self.latest = records.EMPTY_REVISION
        self.revision: configuration.Revision | None = None
        self.recent_entries: collections.OrderedDict[int, bytes] = (
            collections.OrderedDict()
        )
        self.changed = trio.Event()

    @property
    def number(self) -> int:
        """Number of the newest known revision."""
        return self.latest.number

    def apply(self, number: int, value: bytes) -> bool:
        """Applies a log entry if it is the next; returns whether it was.

        Raises:
            CodecError: The entry cannot be decoded or does not apply to the
                newest known revision.
        """
        if number != self.number + 1:
            return False
        latest = records.advance(self.latest, records.decode(value))
        self.install(latest)
        self.recent_entries[number] = value
        while len(self.recent_entries) > MAX_RECENT_ENTRIES:
            self.recent_entries.popitem(last=False)
        return True

    def install_snapshot(self, snapshot: records.StoredRevision) -> bool:
        """Installs a snapshot if it is newer; returns whether it was."""
        if snapshot.number <= self.number:
            return False
        self.install(snapshot)
        self.recent_entries.clear()
        return True

    def install(self, latest: records.StoredRevision) -> None:
        """Puts a revision in force atomically."""
        revision = records.to_revision(latest)
        self.latest = latest
        self.revision = revision
        changed, self.changed = self.changed, trio.Event()
        changed.set()

    def entries_after(self, number: int) -> tuple[bytes, ...] | None:
        """Returns the log entries after a revision, None if not retained."""
        numbers = range(number + 1, self.number + 1)
        if any(n not in self.recent_entries for n in numbers):
            return None
        return tuple(self.recent_entries[n] for n in numbers)

    def current(self) -> configuration.Revision:
        """Returns the newest known revision.

        Raises:
            NoConfiguration: No revision is known yet.
        """
        if self.revision is None:
            raise errors.NoConfiguration('no configuration is known yet')
        return self.revision
