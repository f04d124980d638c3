"""The routers that may be at work, by this router's view of some seconds."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from lavenderbend.coordination import interfaces

# a router that is taken for dead in error may still grant permits, or ask
# another owner for them
LOST_SECONDS = 10.0


class LiveRouters:
    """The routers that are live, or were a moment ago.

    Headroom is shared between routers. By the view alone, each of two that
    take one another for dead would take the whole.

    Attributes:
        membership: This router's view.
        seen: Router clock at which each was last in the view.
    """

    def __init__(self, membership: interfaces.Membership) -> None:
        self.membership = membership
        self.seen: dict[str, float] = {}

    def look(self) -> None:
        """Notes who is live now, and forgets who is lost for long."""
        now = trio.current_time()
        for name in self.membership.region_routers():
            self.seen[name] = now
        for name, at in list(self.seen.items()):
            if at < now - LOST_SECONDS:
                del self.seen[name]

    def names(self) -> list[str]:
        """Returns those that are live, or were a moment ago."""
        self.look()
        return sorted(self.seen)
