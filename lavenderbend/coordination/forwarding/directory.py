"""Which upstreams of a service may be sent requests now."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend.coordination.forwarding import leaving
from lavenderbend.coordination.forwarding import places as places_module

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from lavenderbend.coordination.forwarding import snapshots
    from lavenderbend.state import forwarding

# chats that have not come back for so long are hardly cached any more
FORMER_SECONDS = 30.0
MAX_FORMER = 6
# upstreams that leave within it are one change: each by itself would push out
# the set that still names who holds a chat
SAME_CHANGE_SECONDS = 2.0


@attrs.frozen
class Former:
    """The upstreams that a service had before a change.

    Attributes:
        until: Router clock of the change.
        places: Those that were not leaving.
    """

    until: float
    places: places_module.Places


@attrs.frozen
class Candidates:
    """The upstreams of a service that may be sent requests now.

    Attributes:
        by_name: By instance.
        places: In the order in which a chat prefers them.
    """

    by_name: Mapping[str, forwarding.Upstream]
    places: places_module.Places


def candidates_of(found: Iterable[forwarding.Upstream]) -> Candidates:
    """Returns upstreams, ordered for chats."""
    by_name = {one.instance: one for one in found}
    return Candidates(by_name, places_module.Places(by_name))


NOBODY = candidates_of(())


class Directory:
    """Upstreams by service, from the newest snapshot.

    Attributes:
        by_service: Upstreams that are not leaving, from the snapshot.
        changes: Upstreams before the latest changes of each service.
        misplaced: Instances at whose address another one answered.
        leaving: Knows who leaves beside what the snapshot shows.
    """

    def __init__(self, followed: snapshots.Snapshots) -> None:
        self.followed = followed
        self.misplaced: set[str] = set()
        self.leaving = leaving.LeavingUpstreams()
        self.by_service: dict[str, Candidates] = {}
        self.changes: dict[str, list[Former]] = {}
        followed.on_change.append(self.take)

    def take(self, snapshot: forwarding.Snapshot) -> None:
        """Orders the upstreams of a snapshot by service."""
        self.misplaced &= snapshot.upstreams.keys()
        self.leaving.forget(snapshot, self.followed.kept)
        before = self.by_service
        found: dict[str, list[forwarding.Upstream]] = {}
        for upstream in snapshot.upstreams.values():
            if self.leaving.is_staying(upstream):
                found.setdefault(upstream.vm.service, []).append(upstream)
        self.by_service = {
            service: candidates_of(some) for service, some in found.items()
        }
        for service, candidates in before.items():
            self.note_change(service, candidates.places)

    def note_left(self, instance: str, revision: int) -> bool:
        """Notes that an upstream leaves, as another router saw.

        Args:
            instance: The upstream.
            revision: Revision of the store that shows it.

        Returns:
            Whether this router took it for one that stays.
        """
        current = self.followed.current
        known = current is None or current.revision >= revision
        if known and instance not in self.followed.kept:
            # the own snapshot shows as much, or is yet to be read
            return False
        self.leaving.note_left(instance, revision)
        return self.drop(instance)

    def note_said(self, instance: str) -> bool:
        """Notes that an upstream says that it leaves.

        Returns:
            Whether this router took it for one that stays.
        """
        if instance in self.leaving.announced:
            return False
        self.leaving.note_announced(instance)
        return self.drop(instance)

    def drop(self, instance: str) -> bool:
        """Takes an upstream that leaves out; returns whether it was in."""
        if instance in self.followed.kept:
            return True
        for service, before in self.by_service.items():
            upstream = before.by_name.get(instance)
            if upstream is not None and not self.leaving.is_staying(upstream):
                self.by_service[service] = candidates_of(
                    one
                    for one in before.by_name.values()
                    if one is not upstream
                )
                self.note_change(service, before.places)
                return True
        return False

    def note_change(self, service: str, before: places_module.Places) -> None:
        """Remembers the upstreams that a service had before a change."""
        if before.names == self.by_service.get(service, NOBODY).places.names:
            return
        changes = self.changes.setdefault(service, [])
        now = trio.current_time()
        recent = changes and changes[-1].until > now - SAME_CHANGE_SECONDS
        if recent and before.names < changes[-1].places.names:
            return
        changes.append(Former(now, before))
        del changes[:-MAX_FORMER]

    def former(self, service: str, since: float) -> list[places_module.Places]:
        """Returns the upstreams that a service had lately, latest first.

        Args:
            service: The service.
            since: Router clock of its first request. Upstreams that came one
                after the other before it hold nothing yet.
        """
        oldest = max(trio.current_time() - FORMER_SECONDS, since)
        return [
            change.places
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
        return list(self.candidates(service).by_name.values())

    def candidates(self, service: str) -> Candidates:
        """Returns the same, ordered for chats."""
        candidates = self.by_service.get(service, NOBODY)
        lapsed = self.lapsed(service)
        misplaced = self.misplaced & candidates.places.names
        if not lapsed and not misplaced:
            return candidates
        found = [
            one
            for one in candidates.by_name.values()
            if one.instance not in misplaced
        ]
        return candidates_of([*found, *lapsed])

    def lapsed(self, service: str) -> list[forwarding.Upstream]:
        """Returns upstreams whose entries may be back soon."""
        if not self.followed.kept:
            return []
        now = self.followed.clock()
        return [
            upstream
            for upstream, until in self.followed.kept.values()
            if until > now
            and upstream.vm.service == service
            and self.leaving.is_staying(upstream)
        ]
