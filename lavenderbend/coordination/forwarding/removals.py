"""Which keys left the store lately, for routers that know it as it was."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lavenderbend.state import forwarding

# upstreams that are replaced within a minute on the largest site designed for
MAX_REMOVALS = 5000


class Removals:
    """Keys that left the snapshots of this router.

    A router that asks for what changed since a revision is told of these;
    all keys of a store with thousands of entries would be sent instead, five
    times a second while upstreams come and go.

    Attributes:
        entries: Revision at which this router saw that it was gone, and key.
        since: Revision from which on `entries` is complete.
    """

    def __init__(self) -> None:
        self.entries: collections.deque[tuple[int, str]] = collections.deque()
        self.since = 0

    def note(
        self,
        before: forwarding.RawSnapshot | None,
        after: forwarding.RawSnapshot,
    ) -> None:
        """Notes what is gone with a newer snapshot."""
        if before is None:
            self.since = after.revision
            return
        for key in before.items.keys() - after.items.keys():
            self.entries.append((after.revision, key))
        while len(self.entries) > MAX_REMOVALS:
            self.since, _ = self.entries.popleft()

    def after(self, revision: int) -> list[str] | None:
        """Returns what was removed since, None if that is not known."""
        if revision < self.since:
            return None
        return [key for at, key in self.entries if at > revision]
