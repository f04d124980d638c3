"""The entry's side of admission: gets permits from owners."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend import errors
from lavenderbend.coordination import interfaces
from lavenderbend.coordination.admission import degraded
from lavenderbend.coordination.admission import groups
from lavenderbend.coordination.admission import held as held_
from lavenderbend.coordination.admission import live_routers
from lavenderbend.coordination.admission import owner as owner_
from lavenderbend.coordination.admission import search
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
# results of attempts that sent nothing
UNUSED_RESULTS = ('RequestQuarantined',)

UNREACHABLE = metrics.counter(
    'lavenderbend_owner_unreachable_total', 'Permit requests without answer.'
)


class OwnerAdmission(interfaces.Admission):
    """Permits from the owner of each group of upstreams.

    Attributes:
        held: Permits in use here, by number.
        owners: Owner of each group by this router's view.
        suspects: Until when an unreachable router is not asked.
        out_of_touch: Owners that could not be reached since their last answer.
        empty: Until when a group is not asked for a model that none of its
            upstreams serves, by pool, group and model.
        asking: Requests that wait for each router's answer.
        polling: Whether the reports of a group are needed here, by the
            routers in `polling_for`.
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
        self.held: dict[int, held_.Held] = {}
        self.owners: dict[groups.GroupId, str] = {}
        self.suspects: dict[str, float] = {}
        self.out_of_touch: set[str] = set()
        self.empty: dict[tuple[str, int, str | None], float] = {}
        self.asking: dict[str, dict[trio.CancelScope, None]] = (
            collections.defaultdict(dict)
        )
        self.last_number = rng.getrandbits(NUMBER_BITS)
        self.polling: dict[groups.GroupId, bool] = {}
        self.polling_for: tuple[str, ...] = ()
        link.handle(messages_decisions.PermitResync, self.on_resync)

    def next_number(self) -> int:
        """Returns a number that no live permit of this entry has."""
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

    async def acquire(self, ask: interfaces.PermitAsk) -> interfaces.Permit:
        """Returns a permit, waiting up to the deadline for one."""
        pool = self.pool(ask.pool)
        return await search.Search(self, ask, pool).run()

    def release(self, permit: interfaces.Permit, result: str) -> None:
        """Gives the permit back; safe to call twice."""
        number = int(permit.id.rpartition('/')[2])
        held = self.held.pop(number, None)
        if held is None:
            return
        if permit.degraded:
            self.local.release(held.upstream)
        if held.owner:
            unused = result in UNUSED_RESULTS
            item = messages_decisions.PermitRelease([number], unused)
            self.tell(held.owner, item)

    def wants_report(self, vm: upstreams.Vm) -> bool:
        """Returns whether this router needs an engine's load reports.

        The owner of its group does, and the router that becomes the owner
        if that one is lost; any other while it must admit alone.
        """
        try:
            self.directory.refresh()
        except errors.NoConfiguration:
            return False
        return any(
            self.wants_group(
                groups.group_id(pool, self.directory.index(pool, vm.id))
            )
            for pool in self.directory.pools.values()
            if pool.service == vm.service
        )

    def wants_group(self, group: groups.GroupId) -> bool:
        """Returns whether this router needs the reports of a group."""
        routers = self.membership.region_routers()
        if self.polling_for != routers:
            self.polling_for = routers
            self.polling.clear()
        if group not in self.polling:
            self.polling[group] = self.name in groups.first_owners(
                group, routers
            )
        return self.polling[group] or not self.owner_of(group)

    def held_of(self, owner: str, group: groups.GroupId) -> int:
        """Returns how many permits of an owner's group are held here."""
        return sum(
            one.owner == owner and one.group == group
            for one in self.held.values()
        )

    def tell(self, router: str, item: peer.Message) -> None:
        """Queues a notice to a router."""
        self.link.notify(router, item)

    def owner_of(self, group: groups.GroupId) -> str:
        """Returns the owner of a group, empty if it is not reachable."""
        name = self.owners.get(group)
        if name is None:
            name = groups.owner(group, self.membership.region_routers())
            self.owners[group] = name
        if self.suspects.get(name, 0.0) > trio.current_time():
            return ''
        return name

    def suspect(self, router: str) -> None:
        """Leaves an unreachable router out for a while."""
        now = trio.current_time()
        if self.suspects.get(router, 0.0) <= now:
            logs.change('owner_unreachable', owner=router)
        self.suspects[router] = now + self.settings.suspect
        if router not in self.out_of_touch:
            self.out_of_touch.add(router)
            self.local.lost_at = now
        self.stop_asking(router)
        UNREACHABLE.inc({'owner': router})

    def back_in_touch(self, router: str) -> None:
        """Lists the permits of an owner's groups after a time without it.

        Permits taken alone meanwhile are unknown to it: it would see their
        load one report late and fill the engines above the bound.
        """
        self.out_of_touch.discard(router)
        for group, name in self.owners.items():
            if name == router:
                held = [one for one in self.held.values() if one.group == group]
                self.register(group, router, held)

    def stop_asking(self, router: str) -> None:
        """Ends the wait for the answers of a router that is lost.

        Those that wait in its queue would else learn of it only when the
        time is over that it may hold an answer.
        """
        for scope in list(self.asking[router]):
            scope.cancel()

    def refresh_owners(self) -> None:
        """Reads the owners anew and moves the live permits to new ones."""
        routers = self.membership.region_routers()
        for router in list(self.asking):
            if router not in routers:
                self.stop_asking(router)
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
                moved = messages_decisions.PermitMoved(group.pool, group.index)
                self.tell(before, moved)
            self.register(group, name, by_group[group])

    def register(
        self, group: groups.GroupId, name: str, held: list[held_.Held]
    ) -> None:
        """Lists this entry's permits of a group to its owner."""
        now = trio.current_time()
        short_id = messages_decisions.short_id
        item = messages_decisions.PermitRegister(
            group.pool,
            group.index,
            [one.number for one in held],
            [short_id(one.upstream) for one in held],
            [round((now - one.granted_at) * 10) for one in held],
            [one.customer for one in held],
        )
        for one in held:
            self.held[one.number] = attrs.evolve(one, owner=name)
        self.tell(name, item)

    async def on_resync(self, router: str, item: peer.Message) -> None:
        """Lists all permits of a group to an owner whose sums differ."""
        assert isinstance(item, messages_decisions.PermitResync)
        group = groups.GroupId(item.pool, item.group)
        if self.owners.get(group) != router:
            self.tell(
                router, messages_decisions.PermitMoved(item.pool, item.group)
            )
            return
        held = [one for one in self.held.values() if one.group == group]
        self.register(group, router, held)

    async def run(self) -> None:
        """Keeps owners informed, and serves as an owner."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.owner.run)
            nursery.start_soon(self.run_owners)
            nursery.start_soon(self.run_beats)

    async def run_owners(self) -> None:
        """Follows changes of the view."""
        while True:
            with owner_.UNCONFIGURED:
                self.refresh_owners()
            # a first configuration is no change of the view
            with trio.move_on_after(self.settings.beat):
                await self.membership.wait_changed()

    async def run_beats(self) -> None:
        """Sends each owner the sums of this entry's permits."""
        await trio.sleep(self.rng.random() * self.settings.beat)
        while True:
            await trio.sleep(self.settings.beat)
            for router, item in self.digests().items():
                self.tell(router, item)

    def digests(self) -> dict[str, messages_decisions.PermitDigest]:
        """Returns the heartbeat for each owner."""
        by_group = collections.defaultdict(list)
        for held in self.held.values():
            by_group[held.group].append(held.number)
        items: dict[str, messages_decisions.PermitDigest] = {}
        for group, name in self.owners.items():
            item = items.setdefault(
                name, messages_decisions.PermitDigest([], [], [], [])
            )
            numbers = by_group[group]
            item.pools.append(group.pool)
            item.groups.append(group.index)
            item.counts.append(len(numbers))
            item.digests.append(permits.digest(tuple(numbers)))
        return items
