"""Routers that are live or were live within the last seconds."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from lavenderbend.coordination import interfaces

# How long a lost router still counts: one that is wrongly regarded as dead
# may still grant permits, or request them from another owner.
LOST_SECONDS = 10.0


class LiveRouters:
    """The routers that are live or were live until recently.

    Headroom is shared between routers. By the current view alone, each of
    two routers that regard the other as dead would use all of it.

    Attributes:
        membership: This router's view.
        last_seen: Router clock at which each router was last in the view.
    """

    def __init__(self, membership: interfaces.Membership) -> None:
        self.membership = membership
        self.last_seen: dict[str, float] = {}

    def refresh(self) -> None:
        """Records which routers are live and removes those lost long ago."""
        now = trio.current_time()
        for name in self.membership.region_routers():
            self.last_seen[name] = now
        for name, seen_at in list(self.last_seen.items()):
            if seen_at < now - LOST_SECONDS:
                del self.last_seen[name]

    def names(self, seconds: float = LOST_SECONDS) -> list[str]:
        """Returns the routers that were live within the last seconds."""
        self.refresh()
        oldest = trio.current_time() - seconds
        return sorted(
            name
            for name, seen_at in self.last_seen.items()
            if seen_at >= oldest
        )
