"""The owner's part of admission: answers messages of entry routers."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import trio

from lavenderbend import errors
from lavenderbend.coordination import placement
from lavenderbend.coordination.admission import groups
from lavenderbend.coordination.admission import owned
from lavenderbend.coordination.admission import pool_totals
from lavenderbend.coordination.admission import waiter as waiter_
from lavenderbend.protocol import messages_decisions

if TYPE_CHECKING:
    from lavenderbend.coordination import cache_transfer
    from lavenderbend.coordination import interfaces
    from lavenderbend.coordination.admission import live_routers
    from lavenderbend.coordination.admission import settings as settings_
    from lavenderbend.protocol import peer

MILLISECOND = 0.001
REPLICATION_INTERVAL_SECONDS = 1.0

# Other routers may regard a router that has just started as the owner before
# it has received a configuration, and a router that is cut off may have to
# refuse requests. Periodic tasks then skip a round: such an error must not
# end the process.
SKIP_REQUEST_ERRORS = contextlib.suppress(errors.RequestError)


class Owner:
    """Serves every group that entry routers regard this router as owner of.

    It does not check whether it is the owner by its own view: views differ
    for seconds, and `OwnerShare.limit_headroom` keeps the bound while there
    are two owners.

    Attributes:
        created: Set when a group is added to `owned`.
        pool_totals: Load totals of the pools' groups.
        owned: State of each group.
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
        self.pool_totals = pool_totals.PoolTotals()
        self.cache_client = cache_client
        self.owned: dict[groups.GroupId, owned.OwnedGroup] = {}
        link.handle(messages_decisions.PermitRequest, self.on_request)
        link.handle(messages_decisions.PermitRelease, self.on_release)
        link.handle(messages_decisions.PermitRegister, self.on_register)
        link.handle(messages_decisions.PermitOwnerChanged, self.on_moved)
        link.handle(messages_decisions.PermitDigest, self.on_digest)
        link.handle(messages_decisions.ReplicatedPlaces, self.on_places)
        link.handle(messages_decisions.PermitPoll, self.on_poll)
        link.handle(messages_decisions.GroupTotals, self.on_totals)

    def group(self, pool: int, index: int) -> owned.OwnedGroup:
        """Returns the state of a group, created on first use."""
        group = groups.GroupId(pool, index)
        if group not in self.owned:
            self.owned[group] = owned.OwnedGroup(
                self.name,
                group,
                self.directory,
                self.membership,
                self.routers,
                self.settings,
                self.pool_totals,
                self.cache_client,
            )
            self.created.set()
        return self.owned[group]

    def note_contact(self, group: owned.OwnedGroup, entry: str) -> None:
        """Records a message; asks for the sender's permits if necessary."""
        if group.note_contact(entry):
            self.request_resync(group, entry)

    def request_resync(self, group: owned.OwnedGroup, entry: str) -> None:
        """Asks an entry router to list its permits of a group."""
        group_id = group.group
        message = messages_decisions.PermitResync(group_id.pool, group_id.index)
        self.link.notify(entry, message)

    async def on_request(
        self, entry: str, message: peer.Message
    ) -> peer.Message | None:
        """Answers a permit request."""
        assert isinstance(message, messages_decisions.PermitRequest)
        group = self.group(message.pool, message.group)
        self.note_contact(group, entry)
        group.unconfirmed.note_held(entry, message.held_permits)
        live = group.table.get(entry, message.number)
        if live is not None:
            # The request was sent again because the first answer was lost:
            # another permit would count it twice.
            return self.answer(placement.Choice(live.upstream))
        waiter = group.queue.waiting.get((entry, message.number))
        now = trio.current_time()
        if waiter is None:
            deadline = now + message.milliseconds_left * MILLISECOND
            waiter = waiter_.Waiter(entry, message, deadline, now, now)
            group.submit(waiter)
        return await self.wait(group, waiter, message.hold_milliseconds)

    async def on_poll(
        self, entry: str, message: peer.Message
    ) -> peer.Message | None:
        """Answers a poll about a queued request.

        Raises:
            NotWaiting: The request is not queued here.
        """
        assert isinstance(message, messages_decisions.PermitPoll)
        group = self.group(message.pool, message.group)
        self.note_contact(group, entry)
        live = group.table.get(entry, message.number)
        if live is not None:
            return self.answer(placement.Choice(live.upstream))
        waiter = group.queue.waiting.get((entry, message.number))
        if waiter is None:
            # It was lost in a restart or removed because it was not polled.
            # The entry router must send a new request, or it would poll until
            # its deadline.
            raise errors.NotWaiting('no request with this number is queued')
        return await self.wait(group, waiter, message.hold_milliseconds)

    async def wait(
        self, group: owned.OwnedGroup, waiter: waiter_.Waiter, hold: int
    ) -> peer.Message:
        """Waits up to `hold` milliseconds for a decision.

        Raises:
            RequestError: The request was refused.
        """
        waiter.polled_at = trio.current_time()
        with trio.move_on_after(hold * MILLISECOND):
            await waiter.done.wait()
        waiter.polled_at = trio.current_time()
        if waiter.error is not None:
            raise waiter.error
        if waiter.redirect_group is not None or waiter.unserved:
            return messages_decisions.PermitRedirect(waiter.redirect_group)
        if waiter.choice is None:
            return messages_decisions.PermitQueued()
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

    async def on_release(self, entry: str, message: peer.Message) -> None:
        """Releases permits and serves queued requests."""
        assert isinstance(message, messages_decisions.PermitRelease)
        for group in self.owned.values():
            for number in message.numbers:
                group.release(entry, number, message.unused)
            if group.queue.waiting:
                group.queue.dispatch()

    async def on_register(self, entry: str, message: peer.Message) -> None:
        """Registers an entry router's live permits."""
        assert isinstance(message, messages_decisions.PermitRegister)
        self.group(message.pool, message.group).register(entry, message)

    async def on_moved(self, entry: str, message: peer.Message) -> None:
        """Records that an entry router now uses another owner."""
        assert isinstance(message, messages_decisions.PermitOwnerChanged)
        self.group(message.pool, message.group).entries.note_moved(entry)

    async def on_digest(self, entry: str, message: peer.Message) -> None:
        """Compares an entry router's digests with this owner's."""
        assert isinstance(message, messages_decisions.PermitDigest)
        rows = zip(
            message.pools, message.groups, message.counts, message.digests,
            strict=False,
        )  # fmt: skip
        for pool, index, count, digest in rows:
            group = self.group(pool, index)
            if group.check_digest(entry, count, digest):
                self.request_resync(group, entry)

    async def on_places(self, router: str, message: peer.Message) -> None:
        """Stores the places that another owner replicated here."""
        assert isinstance(message, messages_decisions.ReplicatedPlaces)
        self.group(message.pool, message.group).store_places(message)

    async def run(self) -> None:
        """Runs the periodic tasks of all owned groups."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.run_ticks)
            nursery.start_soon(self.run_view_changes)
            nursery.start_soon(self.run_replication)
            nursery.start_soon(self.run_totals)
            nursery.start_soon(self.run_groups, nursery)

    async def run_groups(self, nursery: trio.Nursery) -> None:
        """Starts the tasks of each new group."""
        started: set[groups.GroupId] = set()
        while True:
            for group_id, group in list(self.owned.items()):
                if group_id not in started:
                    started.add(group_id)
                    nursery.start_soon(group.queue.locality_wait.run)
                    nursery.start_soon(self.run_context_moves, group)
            await self.created.wait()
            self.created = trio.Event()

    async def run_context_moves(self, group: owned.OwnedGroup) -> None:
        """Moves contexts off the upstreams that leave a group."""
        while True:
            try:
                await group.context_mover.move_departed()
            except errors.NoConfiguration:
                pass
            await self.membership.wait_changed()

    async def run_ticks(self) -> None:
        """Serves and expires queued requests periodically."""
        while True:
            await trio.sleep(self.settings.tick_interval)
            # The view may not change for long: a router that is lost then
            # would count as lost long ago.
            self.routers.refresh()
            with SKIP_REQUEST_ERRORS:
                for group in list(self.owned.values()):
                    group.tick()

    async def run_view_changes(self) -> None:
        """Updates the groups when the view of live routers changes.

        Frees the permits of entry routers that left the view, and asks those
        that returned to list theirs.
        """
        while True:
            self.routers.refresh()
            await self.membership.wait_changed()
            live = set(self.membership.region_routers())
            for group in list(self.owned.values()):
                for entry in sorted(set(group.table.numbers) - live):
                    group.drop_entry(entry)
                for entry in sorted(group.freed_entries & live):
                    group.pop_freed(entry)
                    self.request_resync(group, entry)
                with SKIP_REQUEST_ERRORS:
                    group.queue.dispatch()

    async def on_totals(self, router: str, message: peer.Message) -> None:
        """Stores the load totals of other groups."""
        assert isinstance(message, messages_decisions.GroupTotals)
        rows = zip(message.groups, message.loads, message.engines, strict=False)
        for index, load, engines in rows:
            self.pool_totals.put(message.pool, index, load, engines)

    async def run_totals(self) -> None:
        """Sends load totals to the owners of the same pool's groups."""
        while True:
            await trio.sleep(pool_totals.SEND_INTERVAL_SECONDS)
            with SKIP_REQUEST_ERRORS:
                for message, routers in self.totals_to_send():
                    for router in routers:
                        self.link.notify(router, message)

    def totals_to_send(
        self,
    ) -> list[tuple[messages_decisions.GroupTotals, list[str]]]:
        """Returns the totals of each pool's own groups, with the receivers."""
        routers = self.membership.region_routers()
        messages: dict[int, messages_decisions.GroupTotals] = {}
        for group_id, group in self.owned.items():
            if groups.owner(group_id, routers) != self.name:
                continue
            pool = self.directory.pool(group_id.pool)
            if pool is None or pool.groups <= 1:
                continue
            load, engines = group.loads.total()
            message = messages.setdefault(
                group_id.pool,
                messages_decisions.GroupTotals(group_id.pool, [], [], []),
            )
            message.groups.append(group_id.index)
            message.loads.append(load)
            message.engines.append(engines)
        return [
            (message, self.owners_of(pool_id, routers))
            for pool_id, message in messages.items()
        ]

    def owners_of(self, pool_id: int, routers: tuple[str, ...]) -> list[str]:
        """Returns the owners of a pool's groups."""
        pool = self.directory.pool(pool_id)
        count = pool.groups if pool is not None else 0
        owners = {
            groups.owner(groups.GroupId(pool_id, index), routers)
            for index in range(count)
        }
        return sorted(owners)

    async def run_replication(self) -> None:
        """Replicates places to the standby of each group.

        An owner that is lost takes its table with it. Without a replica,
        every returning chat would be placed where there is headroom, and its
        context would be lost.
        """
        while True:
            await trio.sleep(REPLICATION_INTERVAL_SECONDS)
            routers = self.membership.region_routers()
            # a standby that does not answer must not delay the others
            async with trio.open_nursery() as nursery:
                for group in list(self.owned.values()):
                    standby = groups.standby(group.group, routers, self.name)
                    nursery.start_soon(
                        group.replication.send, self.link, standby
                    )
