"""Upstreams known to be leaving before this router's snapshot shows it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from lavenderbend.state import upstreams

if TYPE_CHECKING:
    from collections.abc import Collection

    from lavenderbend.state import forwarding

LIVE = upstreams.VmState.LIVE
# How long an announcement is kept after the upstream was last seen: an expired
# entry of the store may return, and not show that the upstream leaves.
ANNOUNCED_SECONDS = 60.0


class LeavingUpstreams:
    """Upstreams that leave, by other routers' snapshots or by responses.

    Attributes:
        left_revisions: By upstream, the store revision at which other routers
            saw it leave. A later entry of the upstream overrides it.
        announced: By upstream whose responses announced that it leaves, the
            router clock at which it was last known to exist. No store entry
            overrides it: one written before may reach the store later.
    """

    def __init__(self) -> None:
        self.left_revisions: dict[str, int] = {}
        self.announced: dict[str, float] = {}

    def is_staying(self, upstream: forwarding.Upstream) -> bool:
        """Returns whether the upstream is not known to be leaving."""
        if upstream.vm.state is not LIVE or upstream.instance in self.announced:
            return False
        return (
            self.left_revisions.get(upstream.instance, -1) < upstream.revision
        )

    def note_left(self, instance: str, revision: int) -> None:
        """Records that a store revision shows that an upstream leaves."""
        self.left_revisions[instance] = max(
            revision, self.left_revisions.get(instance, -1)
        )

    def note_announced(self, instance: str) -> None:
        """Records that a response announced that its upstream leaves."""
        self.announced[instance] = trio.current_time()

    def forget(
        self, snapshot: forwarding.Snapshot, lapsed: Collection[str]
    ) -> None:
        """Removes what a new snapshot shows itself, and old announcements.

        Args:
            snapshot: The snapshot.
            lapsed: Upstreams that it lacks and that may still exist.
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
