"""Entry routers that regard this router as the owner of a group."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from lavenderbend.coordination.admission import live_routers

if TYPE_CHECKING:
    from lavenderbend.coordination import interfaces


class EntryTracker:
    """The entry routers of a group and when each last sent a message.

    Attributes:
        timeout: Seconds without a message after which an entry router no
            longer counts as using this owner.
        last_contact: Owner clock at which each entry router last sent a
            message.
        moved_at: Owner clock at which entry routers announced that they use
            another owner.
        active_since: Owner clock of the first message of any entry router.
        last_joined_at: Owner clock of the first message of the entry router
            that joined last.
        mismatches: Consecutive heartbeats whose digest differed from the
            owner's, by entry router.
    """

    def __init__(
        self,
        membership: interfaces.Membership,
        routers: live_routers.LiveRouters,
        timeout: float,
    ) -> None:
        self.membership = membership
        self.routers = routers
        self.timeout = timeout
        self.last_contact: dict[str, float] = {}
        self.moved_at: dict[str, float] = {}
        self.active_since = 0.0
        self.last_joined_at = 0.0
        self.mismatches: dict[str, int] = {}

    def note_contact(self, entry: str) -> bool:
        """Records a message of an entry router.

        Returns:
            Whether no entry router had been in contact before.
        """
        now = trio.current_time()
        first = not self.last_contact
        if first:
            self.active_since = now
        if entry not in self.last_contact:
            self.last_joined_at = now
        self.last_contact[entry] = now
        self.moved_at.pop(entry, None)
        return first

    def note_moved(self, entry: str) -> None:
        """Records that an entry router now uses another owner."""
        self.remove(entry)
        self.moved_at[entry] = trio.current_time()

    def remove(self, entry: str) -> None:
        """Removes an entry router that is no longer in the view."""
        self.moved_at.pop(entry, None)
        self.last_contact.pop(entry, None)
        self.mismatches.pop(entry, None)

    def share(self, seconds: float = live_routers.LOST_SECONDS) -> float:
        """Returns the fraction of the routers that use this owner.

        Recently lost routers count as users of another owner. Otherwise two
        routers that each regard the other as dead would both act as the only
        owner.

        Args:
            seconds: How long a lost router counts.
        """
        return self.in_contact() / max(1, len(self.routers.names(seconds)))

    def in_contact(self) -> int:
        """Returns how many live routers use this owner."""
        oldest = trio.current_time() - self.timeout
        return sum(
            self.last_contact.get(name, -math.inf) >= oldest
            for name in self.membership.region_routers()
        )

    def compare(self, entry: str, equal: bool) -> bool:
        """Records whether a heartbeat's digest equals the owner's.

        A release can be lost with its connection: the permit would stay in
        the table for ever and its engine would appear loaded. One difference
        may be due to a grant in transit, a second consecutive one means that
        a message was lost.

        Returns:
            Whether the entry router should list all its permits.
        """
        if equal:
            self.mismatches.pop(entry, None)
            return False
        self.mismatches[entry] = self.mismatches.get(entry, 0) + 1
        return self.mismatches[entry] >= 2
