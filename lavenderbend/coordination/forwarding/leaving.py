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
SAID_SECONDS = 60.0


class Leaving:
    """Knows who leaves by what others saw in the store, and by answers.

    Attributes:
        left: Upstreams that other routers saw leave, and the revision of the
            store that shows it. What an entry says later counts.
        said: Upstreams whose answers say that they leave, and the router
            clock at which they were last known to be there. No entry unsays
            it: one that was written before may come into the store later.
    """

    def __init__(self) -> None:
        self.left: dict[str, int] = {}
        self.said: dict[str, float] = {}

    def stays(self, upstream: forwarding.Upstream) -> bool:
        """Returns whether nothing is known of the upstream's leaving."""
        if upstream.vm.state is not LIVE or upstream.instance in self.said:
            return False
        return self.left.get(upstream.instance, -1) < upstream.revision

    def note_left(self, instance: str, revision: int) -> None:
        """Notes that a revision of the store shows an upstream to leave."""
        self.left[instance] = max(revision, self.left.get(instance, -1))

    def note_said(self, instance: str) -> None:
        """Notes that an upstream says in its answers that it leaves."""
        self.said[instance] = trio.current_time()

    def forget(
        self, snapshot: forwarding.Snapshot, lapsed: Collection[str]
    ) -> None:
        """Forgets what a new snapshot shows by itself, and who is long gone.

        Args:
            snapshot: The snapshot.
            lapsed: Upstreams that it lacks and that may still be there.
        """
        self.left = {
            instance: revision
            for instance, revision in self.left.items()
            if revision > snapshot.revision or instance in lapsed
        }
        now = trio.current_time()
        self.said = {
            instance: at
            for instance, at in self.said.items()
            if at > now - SAID_SECONDS
        }
        for instance in self.said:
            if instance in snapshot.upstreams or instance in lapsed:
                self.said[instance] = now
