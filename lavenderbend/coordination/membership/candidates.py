"""Selection of live routers and usable upstreams, with reasons."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from lavenderbend.protocol import messages_membership as messages
from lavenderbend.state import upstreams

if TYPE_CHECKING:
    from lavenderbend.coordination.membership import fleet as fleet_lib
    from lavenderbend.coordination.membership import routers as routers_lib

State = messages.RouterState
ListState = messages.ListState


class Candidates:
    """Live routers and usable upstreams, cached until something changes.

    Attributes:
        fleet: Membership whose state is evaluated.
        usable_by_service: Cached upstreams usable for new requests.
        live_ids: Cached ids of live routers, None if they must be computed.
        sorted_ids: The same, sorted.
        region_live_ids: Cached ids of live routers of this router's region,
            sorted.
        members_source: VM list from which `members_by_service` was computed.
        members_by_service: Cached upstreams by service, usable or not.
        excluded_by_fact: Upstreams that a fact in force excludes.
        excluded_by_ejector: Upstreams that are ejected or damped.
        expired_unlisted: Responsive routers that have been missing from the
            VM list for longer than the grace period.
    """

    def __init__(self, fleet: fleet_lib.FleetMembership) -> None:
        self.fleet = fleet
        self.usable_by_service: dict[str, tuple[upstreams.Vm, ...]] = {}
        self.live_ids: frozenset[str] | None = None
        self.sorted_ids: tuple[str, ...] = ()
        self.region_live_ids: tuple[str, ...] | None = None
        self.members_source: tuple[upstreams.Vm, ...] = ()
        self.members_by_service: dict[str, tuple[upstreams.Vm, ...]] = {}
        self.excluded_by_fact: frozenset[str] = frozenset()
        self.excluded_by_ejector: frozenset[str] = frozenset()
        self.expired_unlisted: frozenset[str] = frozenset()

    def invalidate(self) -> None:
        """Discards cached results after a change."""
        self.usable_by_service = {}
        self.live_ids = None
        self.region_live_ids = None

    # routers

    def router_ids(self) -> frozenset[str]:
        """Returns the ids of the live routers."""
        if self.live_ids is None:
            ids = {
                router.vm.id
                for router in self.fleet.table
                if self.is_live(router)
            }
            # a router that leaves hands its share to the others; if there
            # are none, it serves until it stops
            if self.fleet.table.state is not State.LEFT or not ids:
                ids.add(self.fleet.vm.id)
            self.live_ids = frozenset(ids)
            self.sorted_ids = tuple(sorted(ids))
        return self.live_ids

    def ordered_ids(self) -> tuple[str, ...]:
        """Returns the ids of the live routers, sorted."""
        self.router_ids()
        return self.sorted_ids

    def region_ids(self) -> tuple[str, ...]:
        """Returns the ids of live routers in this router's region, sorted."""
        order = self.ordered_ids()
        if self.region_live_ids is None:
            own = self.fleet.vm
            table = self.fleet.table.routers
            self.region_live_ids = tuple(
                name
                for name in order
                if name == own.id or table[name].vm.region == own.region
            )
        return self.region_live_ids

    def is_live(self, router: routers_lib.Router) -> bool:
        """Returns whether a router is responsive and not leaving."""
        if not router.is_responsive:
            return False
        if router.listed:
            state = self.fleet.listing.state(router.vm.id)
            return state is not ListState.LEAVING
        # the VM list lags, so a responsive router that is not listed counts as
        # live for a grace period
        grace = self.fleet.settings.unlisted_grace
        return trio.current_time() - router.unlisted_since <= grace

    # upstreams

    def usable(self, service: str) -> tuple[upstreams.Vm, ...]:
        """Returns the upstreams of a service usable for new requests."""
        if service not in self.usable_by_service:
            self.usable_by_service[service] = self.select_usable(service)
        return self.usable_by_service[service]

    def members(self, service: str) -> tuple[upstreams.Vm, ...]:
        """Returns the listed upstreams of a service, sorted by id.

        Only those of this router's region if it has any, else all.
        """
        vms = self.fleet.listing.vms()
        if vms is not self.members_source:
            # filtering thousands of VMs is costly; the result depends only
            # on the VM list
            self.members_source = vms
            self.members_by_service = {}
        if service not in self.members_by_service:
            members = [
                vm
                for vm in vms
                if vm.service == service
                and vm.kind is not upstreams.UpstreamKind.ROUTER
            ]
            own_region = [
                vm for vm in members if vm.region == self.fleet.vm.region
            ]
            self.members_by_service[service] = tuple(
                sorted(own_region or members, key=lambda vm: vm.id)
            )
        return self.members_by_service[service]

    def select_usable(self, service: str) -> tuple[upstreams.Vm, ...]:
        """Computes the upstreams of a service usable for new requests."""
        facts = self.fleet.facts
        draining = {name for name in facts.facts if self.is_draining(name)}
        live = upstreams.VmState.LIVE
        staying = [
            vm
            for vm in self.members(service)
            if vm.state is live and vm.id not in draining
        ]
        unusable = {
            name for name in facts.facts if facts.reason(name) is not None
        }
        usable = [vm for vm in staying if vm.id not in unusable]
        # if no upstream is reachable, this router is more likely to be cut off
        # itself
        usable = usable or staying
        excluded = self.fleet.ejector.excluded(vm.id for vm in staying)
        chosen = [vm for vm in usable if vm.id not in excluded] or usable
        return tuple(chosen)

    def is_draining(self, upstream: str) -> bool:
        """Returns whether any router reports the upstream as draining."""
        kind = messages.FactKind.DRAINING
        return bool(self.fleet.facts.active_observers(upstream, kind))

    def explain(self, upstream_id: str) -> str:
        """Returns why an upstream is or is not usable for new requests."""
        entry = self.fleet.listing.entries.get(upstream_id)
        if entry is None:
            return 'not in the VM list'
        if entry.state is not ListState.LIVE:
            return f'{entry.state.name.lower()} in the VM list'
        chosen = {vm.id for vm in self.usable(entry.vm.service)}
        reason = self.fleet.facts.reason(
            upstream_id
        ) or self.fleet.ejector.reason(upstream_id)
        if upstream_id in chosen:
            if reason is None:
                return 'candidate'
            return f'candidate because no other is usable, although {reason}'
        return reason or 'in another region'

    # changes over time

    def refresh(self) -> bool:
        """Reevaluates all exclusions; returns whether any of them changed."""
        by_fact = frozenset(
            name
            for name in self.fleet.facts.facts
            if self.fleet.facts.reason(name) is not None
        )
        by_ejector = frozenset(
            name
            for name in tuple(self.fleet.ejector.excludable)
            if self.fleet.ejector.reason(name) is not None
        )
        unlisted = frozenset(
            router.vm.id
            for router in self.fleet.table
            if router.is_responsive
            and not router.listed
            and not self.is_live(router)
        )
        for name in self.excluded_by_fact - by_fact:
            self.fleet.ejector.note_return(name)
        before = (
            self.excluded_by_fact,
            self.excluded_by_ejector,
            self.expired_unlisted,
        )
        (
            self.excluded_by_fact,
            self.excluded_by_ejector,
            self.expired_unlisted,
        ) = by_fact, by_ejector, unlisted
        return before != (by_fact, by_ejector, unlisted)

    def note_returned(self, upstream: str, restarted: bool) -> None:
        """Counts a return of an upstream that restarted.

        The return of an excluded upstream is counted by `refresh`. One that
        restarted between two load reports was never excluded and shows only
        by its new instance id.
        """
        if restarted and upstream not in self.excluded_by_fact:
            self.fleet.ejector.note_return(upstream)
