"""The owner's side of admission: answers entries' messages."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import trio

from lavenderbend import errors
from lavenderbend.coordination import placement
from lavenderbend.coordination.admission import groups
from lavenderbend.coordination.admission import owned
from lavenderbend.coordination.admission import sums
from lavenderbend.coordination.admission import waiter as waiter_
from lavenderbend.protocol import messages_decisions

if TYPE_CHECKING:
    from lavenderbend.coordination import cache_transfer
    from lavenderbend.coordination import interfaces
    from lavenderbend.coordination.admission import live_routers
    from lavenderbend.coordination.admission import settings as settings_
    from lavenderbend.protocol import peer

MILLISECOND = 0.001
COPY_SECONDS = 1.0

# a router that has just started is taken for the owner before it has heard
# of a configuration, and one that is cut off may have to refuse; what its
# tasks do by the clock then waits, and must not end the process
UNCONFIGURED = contextlib.suppress(errors.RequestError)


class Owner:
    """Serves any group that entries take this router to own.

    Whether it is the owner by its own view does not matter: views differ
    for seconds, and `OwnedGroup.limit_rooms` keeps two owners safe.
    """

    def __init__(
        self,
        name: str,
        link: interfaces.PeerLink,
        membership: interfaces.Membership,
        directory: groups.Directory,
        routers: live_routers.LiveRouters,
        settings: settings_.AdmissionSettings,
        cache_client: cache_transfer.CacheClient | None = None,
    ) -> None:
        self.name = name
        self.link = link
        self.membership = membership
        self.directory = directory
        self.settings = settings
        self.created = trio.Event()
        self.routers = routers
        self.sums = sums.PoolSums()
        self.cache_client = cache_client
        self.owned: dict[groups.GroupId, owned.OwnedGroup] = {}
        link.handle(messages_decisions.PermitRequest, self.on_request)
        link.handle(messages_decisions.PermitRelease, self.on_release)
        link.handle(messages_decisions.PermitRegister, self.on_register)
        link.handle(messages_decisions.PermitMoved, self.on_moved)
        link.handle(messages_decisions.PermitDigest, self.on_digest)
        link.handle(messages_decisions.PlacesCopy, self.on_places)
        link.handle(messages_decisions.PermitPoll, self.on_poll)
        link.handle(messages_decisions.GroupSums, self.on_sums)

    def group(self, pool: int, index: int) -> owned.OwnedGroup:
        """Returns the state of a group, made when first asked for."""
        group = groups.GroupId(pool, index)
        if group not in self.owned:
            self.owned[group] = owned.OwnedGroup(
                self.name,
                group,
                self.directory,
                self.membership,
                self.routers,
                self.settings,
                self.sums,
                self.cache_client,
            )
            self.created.set()
        return self.owned[group]

    def hear(self, group: owned.OwnedGroup, entry: str) -> None:
        """Notes a sign of an entry, and asks what it holds if need be."""
        if group.hear(entry):
            self.ask_list(group, entry)

    def ask_list(self, group: owned.OwnedGroup, entry: str) -> None:
        """Asks an entry to list its permits of a group."""
        name = group.group
        item = messages_decisions.PermitResync(name.pool, name.index)
        self.link.notify(entry, item)

    async def on_request(
        self, entry: str, item: peer.Message
    ) -> peer.Message | None:
        """Answers a permit request."""
        assert isinstance(item, messages_decisions.PermitRequest)
        group = self.group(item.pool, item.group)
        self.hear(group, entry)
        group.unsure.note_held(entry, item.held)
        live = group.table.get(entry, item.number)
        if live is not None:
            # asked again because the first answer was lost: another permit
            # would count the request twice
            return self.answer(placement.Choice(live.upstream))
        waiter = group.room.waiting.get((entry, item.number))
        now = trio.current_time()
        if waiter is None:
            deadline = now + item.left * MILLISECOND
            waiter = waiter_.Waiter(entry, item, deadline, now, now)
            group.submit(waiter)
        return await self.wait(group, waiter, item.hold)

    async def on_poll(
        self, entry: str, item: peer.Message
    ) -> peer.Message | None:
        """Answers how a waiting request stands."""
        assert isinstance(item, messages_decisions.PermitPoll)
        group = self.group(item.pool, item.group)
        self.hear(group, entry)
        live = group.table.get(entry, item.number)
        if live is not None:
            return self.answer(placement.Choice(live.upstream))
        waiter = group.room.waiting.get((entry, item.number))
        if waiter is None:
            # forgotten here, by a restart or for want of polls: the entry
            # must ask anew or it would poll until its deadline
            raise errors.NotWaiting('no such request waits here')
        return await self.wait(group, waiter, item.hold)

    async def wait(
        self, group: owned.OwnedGroup, waiter: waiter_.Waiter, hold: int
    ) -> peer.Message:
        """Waits for a decision as long as the entry allows."""
        waiter.polled = trio.current_time()
        with trio.move_on_after(hold * MILLISECOND):
            await waiter.done.wait()
        waiter.polled = trio.current_time()
        if waiter.error is not None:
            raise waiter.error
        if waiter.elsewhere is not None or waiter.nobody:
            return messages_decisions.PermitElsewhere(waiter.elsewhere)
        if waiter.choice is None:
            return messages_decisions.PermitWaiting()
        return self.answer(waiter.choice)

    def answer(self, choice: placement.Choice) -> peer.Message:
        """Returns the message for a granted permit."""
        short_id = messages_decisions.short_id
        passed_over: list[int] = []
        for upstream, reason in choice.passed_over:
            passed_over.append(short_id(upstream))
            passed_over.append(placement.REASON_NUMBERS[reason])
        return messages_decisions.PermitGrant(
            short_id(choice.upstream or ''),
            placement.REASON_NUMBERS.get(choice.reason, 0),
            passed_over,
        )

    async def on_release(self, entry: str, item: peer.Message) -> None:
        """Takes permits back and serves who waits."""
        assert isinstance(item, messages_decisions.PermitRelease)
        for group in self.owned.values():
            for number in item.numbers:
                group.release(entry, number, item.unused)
            if group.room.waiting:
                group.room.dispatch()

    async def on_register(self, entry: str, item: peer.Message) -> None:
        """Takes over an entry's live permits."""
        assert isinstance(item, messages_decisions.PermitRegister)
        self.group(item.pool, item.group).register(entry, item)

    async def on_moved(self, entry: str, item: peer.Message) -> None:
        """Notes that an entry asks another owner from now on."""
        assert isinstance(item, messages_decisions.PermitMoved)
        self.group(item.pool, item.group).entries.move(entry)

    async def on_digest(self, entry: str, item: peer.Message) -> None:
        """Compares an entry's sums with this owner's."""
        assert isinstance(item, messages_decisions.PermitDigest)
        rows = zip(
            item.pools, item.groups, item.counts, item.digests, strict=False
        )
        for pool, index, count, digest in rows:
            group = self.group(pool, index)
            if group.check_digest(entry, count, digest):
                self.ask_list(group, entry)

    async def on_places(self, router: str, item: peer.Message) -> None:
        """Notes the places that another owner copied here."""
        assert isinstance(item, messages_decisions.PlacesCopy)
        self.group(item.pool, item.group).learn_places(item)

    async def run(self) -> None:
        """Looks after those that wait and after entries that left."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.run_ticks)
            nursery.start_soon(self.run_views)
            nursery.start_soon(self.run_copies)
            nursery.start_soon(self.run_sums)
            nursery.start_soon(self.run_groups, nursery)

    async def run_groups(self, nursery: trio.Nursery) -> None:
        """Starts the task of each new group."""
        started: set[groups.GroupId] = set()
        while True:
            for name, group in list(self.owned.items()):
                if name not in started:
                    started.add(name)
                    nursery.start_soon(group.room.patience.run)
                    nursery.start_soon(self.run_leaving, group)
            await self.created.wait()
            self.created = trio.Event()

    async def run_leaving(self, group: owned.OwnedGroup) -> None:
        """Moves contexts off the upstreams that leave a group."""
        while True:
            try:
                await group.leaving.look()
            except errors.NoConfiguration:
                pass
            await self.membership.wait_changed()

    async def run_ticks(self) -> None:
        """Serves and expires waiting requests."""
        while True:
            await trio.sleep(self.settings.tick)
            with UNCONFIGURED:
                for group in list(self.owned.values()):
                    group.look_after()

    async def run_views(self) -> None:
        """Frees the permits of entries that left, asks those that came back."""
        while True:
            self.routers.look()
            await self.membership.wait_changed()
            live = set(self.membership.region_routers())
            for group in list(self.owned.values()):
                for entry in sorted(set(group.table.numbers) - live):
                    group.drop_entry(entry)
                for entry in sorted(group.freed & live):
                    group.take_freed(entry)
                    self.ask_list(group, entry)
                with UNCONFIGURED:
                    group.room.dispatch()

    async def on_sums(self, router: str, item: peer.Message) -> None:
        """Notes the load of other groups."""
        assert isinstance(item, messages_decisions.GroupSums)
        rows = zip(item.groups, item.loads, item.engines, strict=False)
        for index, load, engines in rows:
            self.sums.put(item.pool, index, load, engines)

    async def run_sums(self) -> None:
        """Tells the owners of a pool's groups of each other's load."""
        while True:
            await trio.sleep(sums.SUMS_SECONDS)
            with UNCONFIGURED:
                for item, routers in self.sums_to_tell():
                    for router in routers:
                        self.link.notify(router, item)

    def sums_to_tell(
        self,
    ) -> list[tuple[messages_decisions.GroupSums, list[str]]]:
        """Returns the sums of each pool's own groups, and whom to tell."""
        routers = self.membership.region_routers()
        items: dict[int, messages_decisions.GroupSums] = {}
        for name, group in self.owned.items():
            if groups.owner(name, routers) != self.name:
                continue
            pool = self.directory.pool(name.pool)
            if pool is None or pool.groups <= 1:
                continue
            load, engines = group.loads.total()
            item = items.setdefault(
                name.pool, messages_decisions.GroupSums(name.pool, [], [], [])
            )
            item.groups.append(name.index)
            item.loads.append(load)
            item.engines.append(engines)
        return [
            (item, self.owners_of(pool, routers))
            for pool, item in items.items()
        ]

    def owners_of(self, pool: int, routers: tuple[str, ...]) -> list[str]:
        """Returns the owners of a pool's groups."""
        known = self.directory.pool(pool)
        count = known.groups if known is not None else 0
        owners = {
            groups.owner(groups.GroupId(pool, index), routers)
            for index in range(count)
        }
        return sorted(owners)

    async def run_copies(self) -> None:
        """Copies places to the standby of each group.

        An owner that is lost takes its table with it; every returning chat
        would go where there is room, and its context would be lost.
        """
        while True:
            await trio.sleep(COPY_SECONDS)
            routers = self.membership.region_routers()
            # one standby that does not answer must not hold up the others
            async with trio.open_nursery() as nursery:
                for group in list(self.owned.values()):
                    standby = groups.standby(group.group, routers, self.name)
                    nursery.start_soon(group.copies.send, self.link, standby)
