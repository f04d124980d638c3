"""The revisions that one process knows; they only move forward."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import trio

from lavenderbend import errors
from lavenderbend.protocol import records_configuration as records

if TYPE_CHECKING:
    from lavenderbend.state import configuration

KEPT_RECORDS = 256


class Chain:
    """The newest known revision and the latest changes that led to it.

    Attributes:
        known: Newest known revision.
        revision: The same as the rest of the router uses it.
        recent: Latest changes as they stand in the log, by number.
        changed: Set, and replaced, at each step forward.
    """

    def __init__(self) -> None:
        self.known = records.EMPTY_REVISION
        self.revision: configuration.Revision | None = None
        self.recent: collections.OrderedDict[int, bytes] = (
            collections.OrderedDict()
        )
        self.changed = trio.Event()

    @property
    def number(self) -> int:
        """Number of the newest known revision."""
        return self.known.number

    def take(self, number: int, value: bytes) -> bool:
        """Steps to a revision if it is the next; returns whether it was.

        Raises:
            CodecError: The change cannot be read or does not fit.
        """
        if number != self.number + 1:
            return False
        known = records.advance(self.known, records.decode(value))
        self.step(known)
        self.recent[number] = value
        while len(self.recent) > KEPT_RECORDS:
            self.recent.popitem(last=False)
        return True

    def take_whole(self, known: records.StoredRevision) -> bool:
        """Jumps to a whole revision if it is newer; returns whether."""
        if known.number <= self.number:
            return False
        self.step(known)
        self.recent.clear()
        return True

    def step(self, known: records.StoredRevision) -> None:
        """Puts a revision in force, whole and at once."""
        revision = records.to_revision(known)
        self.known = known
        self.revision = revision
        changed, self.changed = self.changed, trio.Event()
        changed.set()

    def after(self, number: int) -> tuple[bytes, ...] | None:
        """Returns the changes after a revision, None if not kept."""
        wanted = range(number + 1, self.number + 1)
        if any(n not in self.recent for n in wanted):
            return None
        return tuple(self.recent[n] for n in wanted)

    def current(self) -> configuration.Revision:
        """Returns the newest known revision.

        Raises:
            NoConfiguration: There is none.
        """
        if self.revision is None:
            raise errors.NoConfiguration('no configuration is known yet')
        return self.revision
