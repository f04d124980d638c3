"""The upstreams of each service that may be sent requests now."""

from __future__ import annotations

import types
from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend.coordination.forwarding import drained_zones
from lavenderbend.coordination.forwarding import leaving
from lavenderbend.coordination.forwarding import rendezvous as rendezvous_module

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from lavenderbend.coordination.forwarding import snapshots
    from lavenderbend.state import forwarding

# Chats without a new request for this long are rarely cached any more.
FORMER_UPSTREAMS_SECONDS = 30.0
MAX_FORMER_SETS = 6
# Upstreams that leave within this time count as one change. As one change each
# they would displace the set that still tells who holds a chat.
SAME_CHANGE_SECONDS = 2.0
# Selections for which the upstreams of a service are kept.
MAX_SELECTED = 1000


@attrs.frozen
class FormerUpstreams:
    """The upstreams that a service had before a change.

    Attributes:
        until: Router clock of the change.
        rendezvous: Those that were not leaving.
    """

    until: float
    rendezvous: rendezvous_module.RendezvousTree


@attrs.frozen
class Selection:
    """Which upstreams of a service a request may be sent to.

    Attributes:
        regions: The regions that they may be in, None for all.
        software_id: The software that they must run, None for any.
    """

    regions: frozenset[str] | None = None
    software_id: int | None = None


EVERY_UPSTREAM = Selection()


@attrs.frozen
class Candidates:
    """The upstreams of a service that may be sent requests now.

    Attributes:
        by_name: Upstreams by instance.
        rendezvous: Their preference order for each chat.
    """

    by_name: Mapping[str, forwarding.Upstream]
    rendezvous: rendezvous_module.RendezvousTree


def make_candidates(upstreams: Iterable[forwarding.Upstream]) -> Candidates:
    """Returns upstreams with their preference order for each chat."""
    by_name = {upstream.instance: upstream for upstream in upstreams}
    return Candidates(by_name, rendezvous_module.RendezvousTree(by_name))


NO_CANDIDATES = make_candidates(())


class Directory:
    """Upstreams by service, from the newest snapshot.

    Attributes:
        by_service: Upstreams of the snapshot that are not leaving.
        changes: Upstreams before the latest changes of each service.
        replaced: Instances at whose address another instance answered.
        leaving: Upstreams that are known to leave before the snapshot shows
            it.
        drained: Availability zones whose upstreams get no requests.
        regions: Regions of the availability zones.
        copy_seconds: Time for which cached prompts are copied from upstreams
            of a drained zone.
        selected: The selected upstreams of a service, with the upstreams of
            the service from which they were selected.
    """

    def __init__(
        self,
        followed: snapshots.Snapshots,
        regions: Mapping[str, str] = types.MappingProxyType({}),
        copy_seconds: float = 0.0,
    ) -> None:
        self.followed = followed
        self.regions = regions
        self.copy_seconds = copy_seconds
        self.replaced: set[str] = set()
        self.leaving = leaving.LeavingUpstreams()
        self.drained = drained_zones.DrainedZones()
        self.selected: dict[
            tuple[str, Selection], tuple[Candidates, Candidates]
        ] = {}
        self.by_service: dict[str, Candidates] = {}
        self.changes: dict[str, list[FormerUpstreams]] = {}
        followed.on_change.append(self.apply_snapshot)

    def apply_snapshot(self, snapshot: forwarding.Snapshot) -> None:
        """Replaces the upstreams of all services by those of a snapshot."""
        self.replaced &= snapshot.upstreams.keys()
        self.leaving.forget(snapshot, self.followed.retained)
        self.drained.apply_snapshot(snapshot)
        self.rebuild(snapshot)

    def rebuild(self, snapshot: forwarding.Snapshot) -> None:
        """Determines which upstreams may be sent requests."""
        before = self.by_service
        by_service: dict[str, list[forwarding.Upstream]] = {}
        for upstream in snapshot.upstreams.values():
            if self.may_be_sent(upstream):
                by_service.setdefault(upstream.vm.service, []).append(upstream)
        self.by_service = {
            service: make_candidates(upstreams)
            for service, upstreams in by_service.items()
        }
        for service, candidates in before.items():
            self.note_change(service, candidates.rendezvous)

    def may_be_sent(self, upstream: forwarding.Upstream) -> bool:
        """Returns whether an upstream may be sent new requests."""
        if upstream.vm.availability_zone in self.drained.zones:
            return False
        return self.leaving.is_staying(upstream)

    def note_drained(
        self, zone: str, position: forwarding.StorePosition
    ) -> bool:
        """Records that another router saw in the store that a zone is drained.

        Args:
            zone: The zone.
            position: Position of the store that shows it.

        Returns:
            Whether this router did not know it yet.
        """
        current = self.followed.current
        if current is None or current.position >= position:
            # This router's snapshot shows it, or that it has ended.
            return False
        if not self.drained.note(zone, position):
            return False
        self.rebuild(current)
        return True

    def note_leaving_in_store(
        self, instance: str, position: forwarding.StorePosition
    ) -> bool:
        """Records that another router saw in the store an upstream leave.

        Args:
            instance: The upstream.
            position: Position of the store that shows it.

        Returns:
            Whether this router did not know it yet.
        """
        current = self.followed.current
        if current is None:
            return False
        shown = (
            current.era == position.era
            and current.revision >= position.revision
        )
        if shown and instance not in self.followed.retained:
            # This router's snapshot shows it already.
            return False
        self.leaving.note_left(instance, position)
        return self.drop(instance)

    def note_leaving_announced(self, instance: str) -> bool:
        """Records that an upstream announces in its answers that it leaves.

        Returns:
            Whether this router did not know it yet.
        """
        if instance in self.leaving.announced:
            return False
        self.leaving.note_announced(instance)
        return self.drop(instance)

    def drop(self, instance: str) -> bool:
        """Removes an upstream that leaves; returns whether it was present."""
        if instance in self.followed.retained:
            return True
        for service, before in self.by_service.items():
            upstream = before.by_name.get(instance)
            if upstream is not None and not self.may_be_sent(upstream):
                self.by_service[service] = make_candidates(
                    candidate
                    for candidate in before.by_name.values()
                    if candidate is not upstream
                )
                self.note_change(service, before.rendezvous)
                return True
        return False

    def note_change(
        self, service: str, before: rendezvous_module.RendezvousTree
    ) -> None:
        """Keeps the upstreams that a service had before a change."""
        if (
            before.names
            == self.by_service.get(service, NO_CANDIDATES).rendezvous.names
        ):
            return
        changes = self.changes.setdefault(service, [])
        now = trio.current_time()
        recent = changes and changes[-1].until > now - SAME_CHANGE_SECONDS
        if recent and before.names < changes[-1].rendezvous.names:
            return
        changes.append(FormerUpstreams(now, before))
        del changes[:-MAX_FORMER_SETS]

    def former_upstreams(
        self, service: str, since: float
    ) -> list[rendezvous_module.RendezvousTree]:
        """Returns the sets of upstreams before recent changes, latest first.

        Args:
            service: The service.
            since: Router clock of its first request. Upstreams that came one
                after the other before it have nothing cached yet.
        """
        oldest = max(trio.current_time() - FORMER_UPSTREAMS_SECONDS, since)
        return [
            change.rendezvous
            for change in reversed(self.changes.get(service, []))
            if change.until >= oldest
        ]

    def has_drained(self, service: str) -> bool:
        """Returns whether a service has upstreams in drained zones."""
        current = self.followed.current
        if current is None or not self.drained.zones:
            return False
        return any(
            upstream.vm.service == service
            and upstream.vm.availability_zone in self.drained.zones
            for upstream in current.upstreams.values()
        )

    def find(self, instance: str) -> forwarding.Upstream | None:
        """Returns an upstream that is present, leaving or not."""
        if self.followed.current is None or instance in self.replaced:
            return None
        return self.followed.current.upstreams.get(instance)

    def of(self, service: str) -> list[forwarding.Upstream]:
        """Returns the upstreams of a service that are not leaving."""
        return list(self.candidates(service).by_name.values())

    def candidates(
        self, service: str, selection: Selection = EVERY_UPSTREAM
    ) -> Candidates:
        """Returns the upstreams of a service that may be sent requests."""
        candidates = self.all_candidates(service)
        if selection == EVERY_UPSTREAM:
            return candidates
        known = self.selected.get((service, selection))
        if known is not None and known[0] is candidates:
            return known[1]
        selected = make_candidates(
            upstream
            for upstream in candidates.by_name.values()
            if self.is_selected(upstream, selection)
        )
        if len(self.selected) >= MAX_SELECTED:
            self.selected.clear()
        self.selected[service, selection] = candidates, selected
        return selected

    def is_selected(
        self, upstream: forwarding.Upstream, selection: Selection
    ) -> bool:
        """Returns whether a selection allows an upstream."""
        software_id = selection.software_id
        if software_id is not None and upstream.software_id != software_id:
            return False
        return self.is_in(upstream, selection.regions)

    def may_copy_from(
        self, upstream: forwarding.Upstream, regions: frozenset[str] | None
    ) -> bool:
        """Returns whether cached prompts may be copied from an upstream.

        A drained zone may be removed soon: what is not copied before that
        would be a wait for nothing.
        """
        since = self.drained.zones.get(upstream.vm.availability_zone)
        if (
            since is not None
            and trio.current_time() > since + self.copy_seconds
        ):
            return False
        return self.is_in(upstream, regions)

    def is_in(
        self, upstream: forwarding.Upstream, regions: frozenset[str] | None
    ) -> bool:
        """Returns whether an upstream is in one of some regions, None for all.

        An upstream of a zone whose region is not known is in none.
        """
        if regions is None:
            return True
        return self.regions.get(upstream.vm.availability_zone) in regions

    def all_candidates(self, service: str) -> Candidates:
        """Returns the upstreams of a service that may be sent requests."""
        candidates = self.by_service.get(service, NO_CANDIDATES)
        lapsed = self.lapsed(service)
        replaced = self.replaced & candidates.rendezvous.names
        if not lapsed and not replaced:
            return candidates
        upstreams = [
            upstream
            for upstream in candidates.by_name.values()
            if upstream.instance not in replaced
        ]
        return make_candidates([*upstreams, *lapsed])

    def lapsed(self, service: str) -> list[forwarding.Upstream]:
        """Returns upstreams whose expired entries may be renewed soon."""
        if not self.followed.retained:
            return []
        now = self.followed.clock()
        return [
            upstream
            for upstream, until in self.followed.retained.values()
            if until > now
            and upstream.vm.service == service
            and self.may_be_sent(upstream)
        ]
