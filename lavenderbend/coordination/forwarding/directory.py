"""Which upstreams of a service may be sent requests now."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lavenderbend.state import upstreams as upstreams_module

if TYPE_CHECKING:
    from lavenderbend.coordination.forwarding import snapshots
    from lavenderbend.state import forwarding

LIVE = upstreams_module.VmState.LIVE


class Directory:
    """Upstreams by service, from the newest snapshot.

    Attributes:
        misplaced: Instances at whose address another one answered.
    """

    def __init__(self, followed: snapshots.Snapshots) -> None:
        self.followed = followed
        self.misplaced: set[str] = set()
        self.by_service: dict[str, list[forwarding.Upstream]] = {}
        followed.on_change.append(self.take)

    def take(self, snapshot: forwarding.Snapshot) -> None:
        """Orders the upstreams of a snapshot by service."""
        self.misplaced &= snapshot.upstreams.keys()
        self.by_service = {}
        for upstream in snapshot.upstreams.values():
            if upstream.vm.state is not LIVE:
                continue
            self.by_service.setdefault(upstream.vm.service, []).append(upstream)

    def of(self, service: str) -> list[forwarding.Upstream]:
        """Returns the upstreams of a service that are not leaving."""
        found = self.by_service.get(service, [])
        if self.misplaced:
            found = [one for one in found if one.instance not in self.misplaced]
        if not self.followed.kept:
            return found
        return [*found, *self.lapsed(service)]

    def lapsed(self, service: str) -> list[forwarding.Upstream]:
        """Returns upstreams whose entries may be back soon."""
        now = self.followed.clock()
        return [
            upstream
            for upstream, until in self.followed.kept.values()
            if until > now
            and upstream.vm.service == service
            and upstream.vm.state is LIVE
        ]
