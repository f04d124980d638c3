"""The entry router's part of admission: gets permits from owners."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend import errors
from lavenderbend.coordination import interfaces
from lavenderbend.coordination.admission import acquisition
from lavenderbend.coordination.admission import degraded
from lavenderbend.coordination.admission import groups
from lavenderbend.coordination.admission import held_permits
from lavenderbend.coordination.admission import live_routers
from lavenderbend.coordination.admission import owner as owner_
from lavenderbend.coordination.admission import settings as settings_
from lavenderbend.observe import logs
from lavenderbend.observe import metrics
from lavenderbend.protocol import messages_decisions
from lavenderbend.state import permits

if TYPE_CHECKING:
    import random

    from lavenderbend.coordination import cache_transfer
    from lavenderbend.protocol import peer
    from lavenderbend.state import configuration
    from lavenderbend.state import upstreams

NUMBER_BITS = 32
# results of attempts that sent nothing to the upstream
UNUSED_RESULTS = ('RequestQuarantined',)

UNREACHABLE = metrics.counter(
    'lavenderbend_owner_unreachable_total', 'Permit requests without answer.'
)


class OwnerAdmission(interfaces.Admission):
    """Gets permits from the owner of each group of upstreams.

    Attributes:
        held: Permits in use here, by number.
        owners: Owner of each group by this router's view.
        unreachable_until: Router clock until which an unreachable router is
            not used as an owner.
        disconnected: Owners that became unreachable and have not answered
            since.
        unserved_until: Router clock until which a group is not asked for a
            model that none of its upstreams serves, by pool, group and model.
        pending: Cancel scopes of the requests that wait for each router's
            answer, with their groups.
        report_needs: Whether the reports of a group are needed here, by the
            view in `report_needs_view`.
        report_needs_view: The live routers that `report_needs` is based on.
    """

    def __init__(
        self,
        name: str,
        link: interfaces.PeerLink,
        membership: interfaces.Membership,
        configurations: interfaces.Configurations,
        rng: random.Random,
        settings: settings_.AdmissionSettings | None = None,
        cache_client: cache_transfer.CacheClient | None = None,
    ) -> None:
        self.name = name
        self.link = link
        self.membership = membership
        self.configurations = configurations
        self.rng = rng
        self.settings = settings or settings_.AdmissionSettings()
        self.directory = groups.Directory(membership, configurations)
        routers = live_routers.LiveRouters(membership)
        self.owner = owner_.Owner(
            name,
            link,
            membership,
            self.directory,
            routers,
            self.settings,
            cache_client,
        )
        self.local = degraded.LocalShare(name, membership, routers)
        self.held: dict[int, held_permits.HeldPermit] = {}
        self.owners: dict[groups.GroupId, str] = {}
        self.unreachable_until: dict[str, float] = {}
        self.disconnected: set[str] = set()
        self.unserved_until: dict[tuple[str, int, str | None], float] = {}
        self.pending: dict[str, dict[trio.CancelScope, groups.GroupId]] = (
            collections.defaultdict(dict)
        )
        self.last_number = rng.getrandbits(NUMBER_BITS)
        self.report_needs: dict[groups.GroupId, bool] = {}
        self.report_needs_view: tuple[str, ...] = ()
        link.handle(messages_decisions.PermitResync, self.on_resync)

    def next_number(self) -> int:
        """Returns a number that no live permit of this entry router has."""
        while True:
            self.last_number = (self.last_number + 1) % 2**NUMBER_BITS
            if self.last_number not in self.held:
                return self.last_number

    def pool(self, name: str) -> configuration.Pool:
        """Returns the pool of that name.

        Raises:
            NoUpstream: There is no such pool.
        """
        pool = self.configurations.current().document.pool(name)
        if pool is None:
            raise errors.NoUpstream(f'no pool {name!r}')
        return pool

    async def acquire(
        self, permit_request: interfaces.PermitRequest
    ) -> interfaces.Permit:
        """Returns a permit, waiting up to the deadline for one."""
        pool = self.pool(permit_request.pool)
        return await acquisition.PermitAcquisition(
            self, permit_request, pool
        ).run()

    def release(self, permit: interfaces.Permit, result: str) -> None:
        """Releases the permit; safe to call twice."""
        number = int(permit.id.rpartition('/')[2])
        held = self.held.pop(number, None)
        if held is None:
            return
        if permit.degraded:
            self.local.release(held.upstream)
        if held.owner:
            unused = result in UNUSED_RESULTS
            message = messages_decisions.PermitRelease([number], unused)
            self.send_notice(held.owner, message)

    def needs_report(self, vm: upstreams.Vm) -> bool:
        """Returns whether this router needs an engine's load reports.

        The owner of its group and that owner's successor do, and any other
        router while it must admit in degraded mode.
        """
        try:
            self.directory.refresh()
        except errors.NoConfiguration:
            return False
        return any(
            self.needs_group_reports(
                groups.group_id(pool, self.directory.index(pool, vm.id))
            )
            for pool in self.directory.pools.values()
            if pool.service == vm.service
        )

    def needs_group_reports(self, group: groups.GroupId) -> bool:
        """Returns whether this router needs the reports of a group."""
        routers = self.membership.region_routers()
        if self.report_needs_view != routers:
            self.report_needs_view = routers
            self.report_needs.clear()
        if group not in self.report_needs:
            self.report_needs[group] = self.name in groups.first_owners(
                group, routers
            )
        return self.report_needs[group] or not self.owner_of(group)

    def held_count(self, owner: str, group: groups.GroupId) -> int:
        """Returns how many permits of an owner's group are held here."""
        return sum(
            held.owner == owner and held.group == group
            for held in self.held.values()
        )

    def send_notice(self, router: str, message: peer.Message) -> None:
        """Queues a notice to a router."""
        self.link.notify(router, message)

    def owner_of(self, group: groups.GroupId) -> str:
        """Returns the owner of a group, empty if it is not reachable."""
        name = self.owners.get(group)
        if name is None:
            name = groups.owner(group, self.membership.region_routers())
            self.owners[group] = name
        if self.unreachable_until.get(name, 0.0) > trio.current_time():
            return ''
        return name

    def mark_unreachable(self, router: str) -> None:
        """Stops using an unreachable router as an owner for some time."""
        now = trio.current_time()
        if self.unreachable_until.get(router, 0.0) <= now:
            logs.change('owner_unreachable', owner=router)
        self.unreachable_until[router] = now + self.settings.unreachable_backoff
        if router not in self.disconnected:
            self.disconnected.add(router)
            self.local.owner_lost_at = now
        self.cancel_pending(router)
        UNREACHABLE.inc({'owner': router})

    def reconnect(self, router: str) -> None:
        """Registers permits with an owner that answers again.

        Permits granted in degraded mode meanwhile are unknown to it: it would
        see their load one report late and load the engines above the bound.
        """
        self.disconnected.discard(router)
        for group, name in self.owners.items():
            if name == router:
                held = [
                    permit
                    for permit in self.held.values()
                    if permit.group == group
                ]
                self.register(group, router, held)

    def cancel_pending(
        self, router: str, group: groups.GroupId | None = None
    ) -> None:
        """Cancels the requests that wait for the answer of a former owner.

        Otherwise requests queued there would not notice that it is lost, or
        that another router is the owner now, until the time for which it may
        hold an answer is over.

        Args:
            router: The former owner.
            group: The group that it no longer owns, None for all groups.
        """
        for scope, pending_group in list(self.pending[router].items()):
            if group in (None, pending_group):
                scope.cancel()

    def refresh_owners(self) -> None:
        """Computes the owners anew and registers permits with new owners."""
        routers = self.membership.region_routers()
        for router in list(self.pending):
            if router not in routers:
                self.cancel_pending(router)
        by_group = collections.defaultdict(list)
        for held in self.held.values():
            by_group[held.group].append(held)
        for group in self.directory.groups():
            name = groups.owner(group, routers)
            before = self.owners.get(group)
            if name == before:
                continue
            self.owners[group] = name
            if before is not None:
                moved = messages_decisions.PermitOwnerChanged(
                    group.pool, group.index
                )
                self.send_notice(before, moved)
                self.cancel_pending(before, group)
            self.register(group, name, by_group[group])

    def register(
        self,
        group: groups.GroupId,
        name: str,
        held: list[held_permits.HeldPermit],
    ) -> None:
        """Lists this entry router's permits of a group to its owner."""
        now = trio.current_time()
        short_id = messages_decisions.short_id
        message = messages_decisions.PermitRegister(
            group.pool,
            group.index,
            [permit.number for permit in held],
            [short_id(permit.upstream) for permit in held],
            [round((now - permit.granted_at) * 10) for permit in held],
            [permit.customer for permit in held],
        )
        for permit in held:
            self.held[permit.number] = attrs.evolve(permit, owner=name)
        self.send_notice(name, message)

    async def on_resync(self, router: str, message: peer.Message) -> None:
        """Lists all permits of a group to an owner whose digest differs."""
        assert isinstance(message, messages_decisions.PermitResync)
        group = groups.GroupId(message.pool, message.group)
        if self.owners.get(group) != router:
            self.send_notice(
                router,
                messages_decisions.PermitOwnerChanged(
                    message.pool, message.group
                ),
            )
            return
        held = [
            permit for permit in self.held.values() if permit.group == group
        ]
        self.register(group, router, held)

    async def run(self) -> None:
        """Runs the tasks of the entry router and of the owner."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.owner.run)
            nursery.start_soon(self.run_owners)
            nursery.start_soon(self.run_heartbeats)

    async def run_owners(self) -> None:
        """Refreshes the owners when the view of live routers changes."""
        while True:
            with owner_.SKIP_REQUEST_ERRORS:
                self.refresh_owners()
            # the first configuration does not change the view
            with trio.move_on_after(self.settings.heartbeat_interval):
                await self.membership.wait_changed()

    async def run_heartbeats(self) -> None:
        """Sends each owner the digests of this entry router's permits."""
        await trio.sleep(self.rng.random() * self.settings.heartbeat_interval)
        while True:
            await trio.sleep(self.settings.heartbeat_interval)
            for router, message in self.digests().items():
                self.send_notice(router, message)

    def digests(self) -> dict[str, messages_decisions.PermitDigest]:
        """Returns the heartbeat for each owner."""
        by_group = collections.defaultdict(list)
        for held in self.held.values():
            by_group[held.group].append(held.number)
        messages: dict[str, messages_decisions.PermitDigest] = {}
        for group, name in self.owners.items():
            message = messages.setdefault(
                name, messages_decisions.PermitDigest([], [], [], [])
            )
            numbers = by_group[group]
            message.pools.append(group.pool)
            message.groups.append(group.index)
            message.counts.append(len(numbers))
            message.digests.append(permits.digest(tuple(numbers)))
        return messages
