"""Keys recently removed from the store, for routers with older snapshots."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lavenderbend.state import forwarding

# Upstreams that are replaced within a minute at the largest site that the
# design covers.
MAX_REMOVALS = 5000


class Removals:
    """Keys that were removed from the snapshots of this router.

    A router that asks for the changes since a revision gets these keys.
    Without them it would need all keys of a store with thousands of entries,
    five times a second while upstreams come and go.

    Attributes:
        entries: Revision at which this router saw the removal, and key; all in
            the era of the latest snapshot.
        complete_since: Revision from which on `entries` is complete.
    """

    def __init__(self) -> None:
        self.entries: collections.deque[tuple[int, str]] = collections.deque()
        self.complete_since = 0

    def note(
        self,
        before: forwarding.RawSnapshot | None,
        after: forwarding.RawSnapshot,
    ) -> None:
        """Records the keys that a newer snapshot no longer has."""
        if before is None or before.era != after.era:
            self.entries.clear()
            self.complete_since = after.revision
            return
        for key in before.items.keys() - after.items.keys():
            self.entries.append((after.revision, key))
        while len(self.entries) > MAX_REMOVALS:
            self.complete_since, _ = self.entries.popleft()

    def removed_since(self, revision: int) -> list[str] | None:
        """Returns keys removed after a revision, None if the list is cut."""
        if revision < self.complete_since:
            return None
        return [
            key for removed_at, key in self.entries if removed_at > revision
        ]
