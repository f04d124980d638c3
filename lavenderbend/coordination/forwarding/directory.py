"""Which upstreams of a service may be sent requests now."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend.state import upstreams as upstreams_module

if TYPE_CHECKING:
    from lavenderbend.coordination.forwarding import snapshots
    from lavenderbend.state import forwarding

LIVE = upstreams_module.VmState.LIVE


# chats that have not come back for so long are hardly cached any more
FORMER_SECONDS = 30.0
MAX_FORMER = 6


@attrs.frozen
class Former:
    """The upstreams that a service had before a change.

    Attributes:
        until: Router clock of the change.
        instances: Those that were not leaving.
    """

    until: float
    instances: frozenset[str]


class Directory:
    """Upstreams by service, from the newest snapshot.

    Attributes:
        changes: Upstreams before the latest changes of each service.
        misplaced: Instances at whose address another one answered.
    """

    def __init__(self, followed: snapshots.Snapshots) -> None:
        self.followed = followed
        self.misplaced: set[str] = set()
        self.by_service: dict[str, list[forwarding.Upstream]] = {}
        self.changes: dict[str, list[Former]] = {}
        followed.on_change.append(self.take)

    def take(self, snapshot: forwarding.Snapshot) -> None:
        """Orders the upstreams of a snapshot by service."""
        self.misplaced &= snapshot.upstreams.keys()
        before = self.by_service
        self.by_service = {}
        for upstream in snapshot.upstreams.values():
            if upstream.vm.state is not LIVE:
                continue
            self.by_service.setdefault(upstream.vm.service, []).append(upstream)
        for service, found in before.items():
            self.note_change(service, found)

    def note_change(
        self, service: str, before: list[forwarding.Upstream]
    ) -> None:
        """Remembers the upstreams that a service had before a change."""
        old = frozenset(one.instance for one in before)
        new = {one.instance for one in self.by_service.get(service, [])}
        if old == new:
            return
        changes = self.changes.setdefault(service, [])
        changes.append(Former(trio.current_time(), old))
        del changes[:-MAX_FORMER]

    def former(self, service: str, since: float) -> list[frozenset[str]]:
        """Returns the upstreams that a service had lately, latest first.

        Args:
            service: The service.
            since: Router clock of its first request. Upstreams that came one
                after the other before it hold nothing yet.
        """
        oldest = max(trio.current_time() - FORMER_SECONDS, since)
        return [
            change.instances
            for change in reversed(self.changes.get(service, []))
            if change.until >= oldest
        ]

    def known(self, instance: str) -> forwarding.Upstream | None:
        """Returns an upstream that is there, leaving or not."""
        if self.followed.current is None or instance in self.misplaced:
            return None
        return self.followed.current.upstreams.get(instance)

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
