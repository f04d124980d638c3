"""Which entries take this router for the owner of a group."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from lavenderbend.coordination import interfaces
    from lavenderbend.coordination.admission import live_routers


class Entries:
    """The entries of a group and when each was last heard.

    Attributes:
        heard: Owner clock of each entry's last sign.
        moved: Owner clock at which entries said that they ask another owner.
        active_since: When the first of them was heard.
        changed_at: When the last of them was heard for the first time.
        mismatches: Heartbeats in a row with other sums than the owner's.
    """

    def __init__(
        self,
        membership: interfaces.Membership,
        routers: live_routers.LiveRouters,
        seconds: float,
    ) -> None:
        self.membership = membership
        self.routers = routers
        self.seconds = seconds
        self.heard: dict[str, float] = {}
        self.moved: dict[str, float] = {}
        self.active_since = 0.0
        self.changed_at = 0.0
        self.mismatches: dict[str, int] = {}

    def hear(self, entry: str) -> bool:
        """Notes a sign of an entry; returns whether it is the first."""
        now = trio.current_time()
        first = not self.heard
        if first:
            self.active_since = now
        if entry not in self.heard:
            self.changed_at = now
        self.heard[entry] = now
        self.moved.pop(entry, None)
        return first

    def move(self, entry: str) -> None:
        """Notes that an entry asks another owner."""
        self.drop(entry)
        self.moved[entry] = trio.current_time()

    def drop(self, entry: str) -> None:
        """Notes that an entry is gone."""
        self.moved.pop(entry, None)
        self.heard.pop(entry, None)
        self.mismatches.pop(entry, None)

    def share(self) -> float:
        """Returns the share of the routers that ask this owner.

        Those lost a moment ago count as asking another: each of two routers
        that take each other for dead would hold itself for the only owner.
        """
        live = self.membership.region_routers()
        oldest = trio.current_time() - self.seconds
        asking = sum(self.heard.get(name, -1.0) >= oldest for name in live)
        return asking / max(1, len(self.routers.names()))

    def compare(self, entry: str, equal: bool) -> bool:
        """Notes a heartbeat; returns whether the entry should list all.

        A release may be lost with its connection; the permit would stand in
        the table for ever and its engine would look loaded. One difference
        may be a grant on its way, a second in a row is a loss.
        """
        if equal:
            self.mismatches.pop(entry, None)
            return False
        self.mismatches[entry] = self.mismatches.get(entry, 0) + 1
        return self.mismatches[entry] >= 2
