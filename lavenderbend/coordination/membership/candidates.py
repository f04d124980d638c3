"""Which routers and upstreams are in use, and why the others are not."""

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
    """The view that other parts work with, kept until something changes.

    Attributes:
        fleet: The membership.
        services: Upstreams that may get new work, by service.
        ids: Live routers.
        away: Upstreams that get nothing for a sign of their own.
        held: Upstreams held back for failing or flapping.
    """

    def __init__(self, fleet: fleet_lib.FleetMembership) -> None:
        self.fleet = fleet
        self.services: dict[str, tuple[upstreams.Vm, ...]] = {}
        self.ids: frozenset[str] | None = None
        self.order: tuple[str, ...] = ()
        self.region: tuple[str, ...] | None = None
        self.members_of: tuple[upstreams.Vm, ...] = ()
        self.by_service: dict[str, tuple[upstreams.Vm, ...]] = {}
        self.away: frozenset[str] = frozenset()
        self.held: frozenset[str] = frozenset()
        self.unlisted: frozenset[str] = frozenset()

    def forget(self) -> None:
        """Drops what is kept, after a change."""
        self.services = {}
        self.ids = None
        self.region = None

    # routers

    def router_ids(self) -> frozenset[str]:
        """Returns the live routers."""
        if self.ids is None:
            ids = {
                item.vm.id for item in self.fleet.table if self.is_live(item)
            }
            # a router that leaves gives its part to the others; alone, it
            # serves on to the end
            if self.fleet.table.state is not State.LEFT or not ids:
                ids.add(self.fleet.vm.id)
            self.ids = frozenset(ids)
            self.order = tuple(sorted(ids))
        return self.ids

    def ordered_ids(self) -> tuple[str, ...]:
        """Returns the live routers, sorted."""
        self.router_ids()
        return self.order

    def region_ids(self) -> tuple[str, ...]:
        """Returns the live routers of this router's region, sorted."""
        order = self.ordered_ids()
        if self.region is None:
            own = self.fleet.vm
            table = self.fleet.table.routers
            self.region = tuple(
                name
                for name in order
                if name == own.id or table[name].vm.region == own.region
            )
        return self.region

    def is_live(self, item: routers_lib.Router) -> bool:
        """Returns whether a router takes part."""
        if not item.answers:
            return False
        if item.listed:
            state = self.fleet.listing.state(item.vm.id)
            return state is not ListState.LEAVING
        # it answers, so the list may just be late: kept for a while
        hold = self.fleet.settings.unlisted_hold
        return trio.current_time() - item.unlisted_since <= hold

    # upstreams

    def of_service(self, service: str) -> tuple[upstreams.Vm, ...]:
        """Returns the upstreams of a service that may get new work."""
        if service not in self.services:
            self.services[service] = self.choose(service)
        return self.services[service]

    def members(self, service: str) -> tuple[upstreams.Vm, ...]:
        """Returns the upstreams of a service, of this region if any."""
        vms = self.fleet.listing.vms()
        if vms is not self.members_of:
            # thousands of VMs; only a change of the list changes this
            self.members_of = vms
            self.by_service = {}
        if service not in self.by_service:
            members = [
                vm
                for vm in vms
                if vm.service == service
                and vm.kind is not upstreams.UpstreamKind.ROUTER
            ]
            home = [vm for vm in members if vm.region == self.fleet.vm.region]
            self.by_service[service] = tuple(
                sorted(home or members, key=lambda vm: vm.id)
            )
        return self.by_service[service]

    def choose(self, service: str) -> tuple[upstreams.Vm, ...]:
        """Returns the upstreams of a service that may get new work."""
        facts = self.fleet.facts
        draining = {name for name in facts.facts if self.is_draining(name)}
        live = upstreams.VmState.LIVE
        staying = [
            vm
            for vm in self.members(service)
            if vm.state is live and vm.id not in draining
        ]
        away = {name for name in facts.facts if facts.why(name) is not None}
        usable = [vm for vm in staying if vm.id not in away]
        # with nobody reached it is likelier that we are the ones cut off
        usable = usable or staying
        held = self.fleet.ejector.held(vm.id for vm in staying)
        chosen = [vm for vm in usable if vm.id not in held] or usable
        return tuple(chosen)

    def is_draining(self, upstream: str) -> bool:
        """Returns whether an upstream said that it is leaving."""
        kind = messages.FactKind.DRAINING
        return bool(self.fleet.facts.held(upstream, kind))

    def explain(self, upstream_id: str) -> str:
        """Returns why an upstream is a candidate, or why it is not."""
        line = self.fleet.listing.lines.get(upstream_id)
        if line is None:
            return 'not in the VM list'
        if line.state is not ListState.LIVE:
            return f'{line.state.name.lower()} in the VM list'
        chosen = {vm.id for vm in self.of_service(line.vm.service)}
        why = self.fleet.facts.why(upstream_id) or self.fleet.ejector.why(
            upstream_id
        )
        if upstream_id in chosen:
            if why is None:
                return 'candidate'
            return f'candidate, for want of others, though {why}'
        return why or 'in another region'

    # what changes with time

    def refresh(self) -> bool:
        """Looks at all that is held back; returns whether that changed."""
        away = frozenset(
            name
            for name in self.fleet.facts.facts
            if self.fleet.facts.why(name) is not None
        )
        held = frozenset(
            name
            for name in tuple(self.fleet.ejector.suspects)
            if self.fleet.ejector.why(name) is not None
        )
        unlisted = frozenset(
            item.vm.id
            for item in self.fleet.table
            if item.answers and not item.listed and not self.is_live(item)
        )
        for name in self.away - away:
            self.fleet.ejector.note_return(name)
        view = (self.away, self.held, self.unlisted)
        self.away, self.held, self.unlisted = away, held, unlisted
        return view != (away, held, unlisted)

    def note_returned(self, upstream: str, restarted: bool) -> None:
        """Takes it that an upstream is back.

        One that was held back is seen to return by `refresh`; one that
        restarted between two reports only by its new instance id.
        """
        if restarted and upstream not in self.away:
            self.fleet.ejector.note_return(upstream)
