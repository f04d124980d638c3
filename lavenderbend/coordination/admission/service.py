"""The entry's side of admission: gets permits from owners."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend import errors
from lavenderbend.coordination import interfaces
from lavenderbend.coordination import placement
from lavenderbend.coordination.admission import degraded
from lavenderbend.coordination.admission import groups
from lavenderbend.coordination.admission import owner as owner_
from lavenderbend.coordination.admission import serving
from lavenderbend.coordination.admission import settings as settings_
from lavenderbend.observe import logs
from lavenderbend.observe import metrics
from lavenderbend.protocol import messages_decisions
from lavenderbend.state import decisions
from lavenderbend.state import permits

if TYPE_CHECKING:
    import random

    from lavenderbend.protocol import peer
    from lavenderbend.state import configuration
    from lavenderbend.state import upstreams

NUMBER_BITS = 32
CHAT_SHIFT = 32
LAST_WORD_SECONDS = 0.05

DEGRADED = metrics.counter(
    'lavenderbend_permits_degraded_total', 'Permits given without an owner.'
)
UNREACHABLE = metrics.counter(
    'lavenderbend_owner_unreachable_total', 'Permit requests without answer.'
)

REFUSALS: dict[str, type[errors.RequestError]] = {
    'PoolFull': errors.PoolFull,
    'NoUpstream': errors.NoUpstream,
    'CustomerOverLimit': errors.CustomerOverLimit,
}


@attrs.frozen
class Held:
    """A permit that this entry uses.

    Attributes:
        number: This entry's number for it.
        group: The group of its upstream.
        upstream: VM id.
        owner: Router that was last told of it.
        granted_at: Router clock.
    """

    number: int
    group: groups.GroupId
    upstream: str
    owner: str
    granted_at: float


class OwnerAdmission(interfaces.Admission):
    """Permits from the owner of each group of upstreams.

    Attributes:
        held: Permits in use here, by number.
        owners: Owner of each group by this router's view.
        suspects: Until when an unreachable router is not asked.
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
    ) -> None:
        self.name = name
        self.link = link
        self.membership = membership
        self.configurations = configurations
        self.rng = rng
        self.settings = settings or settings_.AdmissionSettings()
        self.directory = groups.Directory(membership, configurations)
        self.owner = owner_.Owner(
            name, link, membership, self.directory, self.settings
        )
        self.local = degraded.LocalShare(name, membership)
        self.held: dict[int, Held] = {}
        self.owners: dict[groups.GroupId, str] = {}
        self.suspects: dict[str, float] = {}
        self.asking: dict[str, set[trio.CancelScope]] = collections.defaultdict(
            set
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
        search = Search(self, ask, pool)
        return await search.run()

    def release(self, permit: interfaces.Permit, result: str) -> None:
        """Gives the permit back; safe to call twice."""
        number = int(permit.id.rpartition('/')[2])
        held = self.held.pop(number, None)
        if held is None:
            return
        if permit.degraded:
            self.local.release(held.upstream)
        if held.owner:
            self.tell(held.owner, messages_decisions.PermitRelease([number]))

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
        self.stop_asking(router)
        UNREACHABLE.inc({'owner': router})

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
        self, group: groups.GroupId, name: str, held: list[Held]
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
            try:
                self.refresh_owners()
            except errors.NoConfiguration:
                await self.configurations.wait_beyond(0)
                continue
            await self.membership.wait_changed()

    async def run_beats(self) -> None:
        """Sends each owner the sums of this entry's permits."""
        await trio.sleep(self.rng.random() * self.settings.beat)
        while True:
            await trio.sleep(self.settings.beat)
            if self.owners:
                self.refresh_owners()
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


class Search:
    """The search for one permit."""

    def __init__(
        self,
        admission: OwnerAdmission,
        ask: interfaces.PermitAsk,
        pool: configuration.Pool,
    ) -> None:
        self.admission = admission
        self.ask = ask
        self.pool = pool
        self.chat = ask.chat >> CHAT_SHIFT
        self.number = admission.next_number()
        self.started = trio.current_time()
        self.avoid = {messages_decisions.short_id(one) for one in ask.avoid}
        self.index = groups.chat_group(pool, self.chat or self.number)
        self.hops = 0
        self.waits = False

    async def run(self) -> interfaces.Permit:
        """Returns the permit; raises as `Admission.acquire`."""
        while True:
            self.check_deadline()
            group = groups.group_id(self.pool, self.index)
            owner = self.admission.owner_of(group)
            if not owner:
                permit = self.admit_alone(group)
                if permit is not None:
                    return permit
                await trio.sleep(self.admission.settings.degraded_poll)
                continue
            answer = await self.request(owner, group)
            permit = self.follow(answer, owner, group)
            if permit is not None:
                return permit

    def check_deadline(self) -> None:
        """Ends the search at the deadline.

        Raises:
            PoolFull: The deadline has come.
        """
        if trio.current_time() < self.ask.deadline - LAST_WORD_SECONDS:
            return
        raise errors.PoolFull('no upstream was free before the deadline', 1)

    async def request(
        self, owner: str, group: groups.GroupId
    ) -> peer.Message | None:
        """Asks an owner; returns None if it cannot be reached."""
        admission = self.admission
        with trio.CancelScope() as scope:
            admission.asking[owner].add(scope)
            try:
                return await self.exchange(owner, group)
            except errors.PeerRefused as exc:
                self.raise_refusal(exc)
                self.abandon(owner)
                await trio.sleep(admission.settings.degraded_poll)
                return None
            except errors.PeerUnreachable:
                admission.asking[owner].discard(scope)
                admission.suspect(owner)
                self.abandon(owner)
                return None
            except trio.Cancelled:
                self.give_up(owner)
                raise
            finally:
                admission.asking[owner].discard(scope)
        # cancelled because the owner is lost
        self.abandon(owner)
        return None

    async def exchange(self, owner: str, group: groups.GroupId) -> peer.Message:
        """Sends the request or a poll and returns the answer."""
        settings = self.admission.settings
        left = self.ask.deadline - trio.current_time()
        hold = settings.hold if self.waits else settings.first_hold
        hold = max(0.0, min(hold, left - LAST_WORD_SECONDS))
        item: peer.Message
        if self.waits:
            item = messages_decisions.PermitPoll(
                self.number, group.pool, group.index, round(hold * 1000)
            )
        else:
            item = self.message(group, hold, left)
        timeout = hold + settings.ask_timeout
        return await self.admission.link.request(owner, item, timeout)

    def abandon(self, owner: str) -> None:
        """Goes on with another number.

        The owner may have granted this one all the same: without the notice
        the permit would be live there until the next resync.
        """
        self.give_up(owner)
        self.number = self.admission.next_number()
        self.waits = False

    def give_up(self, owner: str) -> None:
        """Tells an owner that this number is not used."""
        item = messages_decisions.PermitRelease([self.number])
        self.admission.tell(owner, item)

    def raise_refusal(self, exc: errors.PeerRefused) -> None:
        """Raises the owner's typed refusal as this entry's own."""
        kind = str(exc.args[0]) if exc.args else ''
        refusal = REFUSALS.get(kind)
        if refusal is None:
            return
        failure = exc.args[1] if len(exc.args) > 1 else None
        detail = getattr(failure, 'detail', kind)
        raise refusal(detail, getattr(failure, 'retry_after', None)) from exc

    def message(
        self, group: groups.GroupId, hold: float, left: float
    ) -> messages_decisions.PermitRequest:
        """Returns the message that asks for the permit."""
        short_id = messages_decisions.short_id
        ask = self.ask
        return messages_decisions.PermitRequest(
            number=self.number,
            pool=group.pool,
            group=group.index,
            customer=short_id(ask.customer),
            chat=self.chat,
            model=short_id(ask.model) if ask.model else None,
            adapter=short_id(ask.adapter) if ask.adapter else None,
            priority=int(ask.priority),
            prompt_tokens=ask.prompt_tokens,
            left=round(left * 1000),
            hold=round(hold * 1000),
            avoid=sorted(self.avoid),
            hops=self.hops,
            suspect=ask.suspect,
        )

    def follow(
        self, answer: peer.Message | None, owner: str, group: groups.GroupId
    ) -> interfaces.Permit | None:
        """Acts on an answer; returns the permit if there is one."""
        if isinstance(answer, messages_decisions.PermitWaiting):
            self.waits = True
            return None
        if isinstance(answer, messages_decisions.PermitElsewhere):
            self.index = answer.group
            self.hops += 1
            return None
        if isinstance(answer, messages_decisions.PermitGrant):
            return self.accept(answer, owner, group)
        return None

    def accept(
        self,
        grant: messages_decisions.PermitGrant,
        owner: str,
        group: groups.GroupId,
    ) -> interfaces.Permit | None:
        """Returns the permit, None if this entry may not use it."""
        admission = self.admission
        names = self.names()
        vm = names.get(grant.upstream)
        if vm is None:
            # this entry knows already that the upstream is leaving, the
            # owner does not: a leaving upstream must get nothing new
            self.abandon(owner)
            self.avoid.add(grant.upstream)
            return None
        now = trio.current_time()
        admission.held[self.number] = Held(
            self.number, group, vm.id, owner, now
        )
        return interfaces.Permit(
            id=f'{admission.name}/{self.number}',
            upstream=vm,
            owner=owner,
            reason=placement.REASONS[grant.reason],
            passed_over=self.passed_over(grant, names),
            waited=now - self.started,
        )

    def names(self) -> dict[int, upstreams.Vm]:
        """Returns the pool's upstreams by short id, as seen here."""
        vms = self.admission.membership.upstreams(self.pool.service)
        return {messages_decisions.short_id(vm.id): vm for vm in vms}

    def passed_over(
        self,
        grant: messages_decisions.PermitGrant,
        names: dict[int, upstreams.Vm],
    ) -> tuple[decisions.PassedOver, ...]:
        """Returns who was passed over and why."""
        rows = zip(
            grant.passed_over[::2], grant.passed_over[1::2], strict=False
        )
        result = []
        for number, reason in rows:
            vm = names.get(number)
            upstream = vm.id if vm is not None else f'{number:08x}'
            text = placement.REASONS[reason]
            result.append(decisions.PassedOver(upstream, text))
        return tuple(result)

    def admit_alone(self, group: groups.GroupId) -> interfaces.Permit | None:
        """Returns a permit within this entry's own share, if any."""
        admission = self.admission
        ask = self.ask
        model = messages_decisions.short_id(ask.model) if ask.model else None
        vms = serving.serving(
            admission.membership,
            admission.membership.upstreams(self.pool.service),
            model,
        )
        names = {vm.id: vm for vm in vms}
        upstream = admission.local.choose(self.pool, vms, self.chat, ask.avoid)
        if upstream is None:
            return None
        now = trio.current_time()
        index = admission.directory.index(self.pool, upstream)
        group = groups.group_id(self.pool, index)
        admission.held[self.number] = Held(
            self.number, group, upstream, '', now
        )
        DEGRADED.inc({'pool': self.pool.name})
        return interfaces.Permit(
            id=f'{admission.name}/{self.number}',
            upstream=names[upstream],
            owner=admission.name,
            reason=placement.OWN_SHARE,
            waited=now - self.started,
            degraded=True,
        )
