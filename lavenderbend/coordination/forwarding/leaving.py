"""Upstreams that are known to leave before the own snapshot shows it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from lavenderbend.state import upstreams

if TYPE_CHECKING:
    from collections.abc import Collection

    from lavenderbend.state import forwarding

LIVE = upstreams.VmState.LIVE
# an entry that lapsed may be back, and say less than the upstream's answers did
ANNOUNCED_SECONDS = 60.0


class LeavingUpstreams:
    """Knows who leaves by what others saw in the store, and by answers.

    Attributes:
        left_revisions: Upstreams that other routers saw leave, and the revision of the
            store that shows it. What an entry says later counts.
        announced: Upstreams whose answers say that they leave, and the router
            clock at which they were last known to be there. No entry unsays
            it: one that was written before may come into the store later.
    """

    def __init__(self) -> None:
        self.left_revisions: dict[str, int] = {}
        self.announced: dict[str, float] = {}

    def is_staying(self, upstream: forwarding.Upstream) -> bool:
        """Returns whether nothing is known of the upstream's leaving."""
        if upstream.vm.state is not LIVE or upstream.instance in self.announced:
            return False
        return (
            self.left_revisions.get(upstream.instance, -1) < upstream.revision
        )

    def note_left(self, instance: str, revision: int) -> None:
        """Notes that a revision of the store shows an upstream to leave."""
        self.left_revisions[instance] = max(
            revision, self.left_revisions.get(instance, -1)
        )

    def note_announced(self, instance: str) -> None:
        """Notes that an upstream says in its answers that it leaves."""
        self.announced[instance] = trio.current_time()

    def forget(
        self, snapshot: forwarding.Snapshot, lapsed: Collection[str]
    ) -> None:
        """Forgets what a new snapshot shows by itself, and who is long gone.

        Args:
            snapshot: The snapshot.
            lapsed: Upstreams that it lacks and that may still be there.
        """
        self.left_revisions = {
            instance: revision
            for instance, revision in self.left_revisions.items()
            if revision > snapshot.revision or instance in lapsed
        }
        now = trio.current_time()
        self.announced = {
            instance: at
            for instance, at in self.announced.items()
            if at > now - ANNOUNCED_SECONDS
        }
        for instance in self.announced:
            if instance in snapshot.upstreams or instance in lapsed:
                self.announced[instance] = now
