"""One group of upstreams as its owner sees it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from lavenderbend import errors
from lavenderbend.coordination.admission import copies
from lavenderbend.coordination.admission import entries
from lavenderbend.coordination.admission import leaving
from lavenderbend.coordination.admission import loads
from lavenderbend.coordination.admission import shares
from lavenderbend.coordination.admission import spread
from lavenderbend.coordination.admission import waiting
from lavenderbend.state import permits
from lavenderbend.state import placements

if TYPE_CHECKING:
    from lavenderbend.coordination import cache_transfer
    from lavenderbend.coordination import interfaces
    from lavenderbend.coordination.admission import groups
    from lavenderbend.coordination.admission import live_routers
    from lavenderbend.coordination.admission import settings as settings_
    from lavenderbend.coordination.admission import sums
    from lavenderbend.coordination.admission import waiter as waiter_
    from lavenderbend.protocol import messages_decisions

# a grant may still be on its way to the entry when the entry lists its
# permits: such a permit must not be taken for a leaked one
GRANT_IN_FLIGHT_SECONDS = 3.0


class OwnedGroup:
    """Permits, places and waiting requests of one group.

    Attributes:
        freed: Entries whose permits were freed because they left the view,
            and that were not asked since to list what they hold.
    """

    def __init__(
        self,
        name: str,
        group: groups.GroupId,
        directory: groups.Directory,
        membership: interfaces.Membership,
        routers: live_routers.LiveRouters,
        settings: settings_.AdmissionSettings,
        pool_sums: sums.PoolSums,
        cache_client: cache_transfer.CacheClient | None = None,
    ) -> None:
        self.group = group
        self.entries = entries.Entries(membership, routers, settings.heard)
        self.freed: set[str] = set()
        self.loads = loads.GroupLoads(
            name,
            group,
            directory,
            membership,
            settings,
            self.entries,
            pool_sums,
        )
        self.table = self.loads.table
        self.unsure = self.loads.unsure
        self.places = placements.Placements(settings.chats)
        self.shares = shares.FairShares(directory)
        self.room = waiting.WaitingRoom(
            self.loads, self.places, self.shares, settings
        )
        self.spread = spread.Spread(self.loads, self.places, settings.chats)
        self.copies = copies.Copies(group, self.places)
        self.leaving = leaving.Leaving(
            self.loads, self.places, cache_client, settings.transfer
        )

    def hear(self, entry: str) -> bool:
        """Notes a sign that an entry takes this router for the owner.

        Returns whether the entry should list its permits: it was taken for
        dead and is not. What it holds still loads the engines, and it would
        list that only when its heartbeats have differed, seconds later.
        """
        if self.entries.hear(entry):
            self.places.fresh.clear()
        return self.take_freed(entry)

    def take_freed(self, entry: str) -> bool:
        """Returns whether an entry's permits were freed, once."""
        freed = entry in self.freed
        self.freed.discard(entry)
        return freed

    def submit(self, waiter: waiter_.Waiter) -> None:
        """Grants, refuses, queues or sends on a new request."""
        waiter.elsewhere = self.spread.settled(waiter.ask)
        if waiter.elsewhere is not None:
            waiter.done.set()
            return
        try:
            if self.room.try_now(waiter):
                return
        except errors.NoUpstream as exc:
            waiter.nobody = self.loads.pool().groups > 1
            if waiter.nobody:
                waiter.done.set()
            else:
                self.room.refuse(waiter, exc)
            return
        except errors.RequestError as exc:
            self.room.refuse(waiter, exc)
            return
        waiter.elsewhere = self.spread.elsewhere(waiter.ask)
        if waiter.elsewhere is not None:
            waiter.done.set()
            return
        self.room.enqueue(waiter)

    def release(self, entry: str, number: int, unused: bool = False) -> bool:
        """Takes a permit back, or a waiting request out; whether it had."""
        waiter = self.room.waiting.get((entry, number))
        if waiter is not None:
            self.room.forget(waiter)
        permit = self.table.remove(entry, number, trio.current_time())
        if permit is None:
            return False
        self.shares.live[permit.customer] -= 1
        if not unused:
            self.loads.rates.note(permit)
        elif permit.suspect_chat is not None:
            self.loads.clear_suspect(permit.upstream, permit.suspect_chat)
        return True

    def look_after(self) -> None:
        """Serves and expires those that wait; called at every tick."""
        self.loads.rates.measure()
        for permit in self.loads.drop_vanished():
            self.shares.live[permit.customer] -= 1
        if self.room.waiting:
            self.room.dispatch()
            self.room.expire()

    def register(
        self, entry: str, item: messages_decisions.PermitRegister
    ) -> None:
        """Takes over the live permits that an entry lists."""
        self.hear(entry)
        now = trio.current_time()
        listed = set(item.numbers)
        for number in list(self.table.numbers.get(entry, ())):
            permit = self.table.get(entry, number)
            if number in listed or permit is None:
                continue
            if permit.granted_at < now - GRANT_IN_FLIGHT_SECONDS:
                self.release(entry, number)
        names = self.loads.names()
        rows = zip(
            item.numbers, item.upstreams, item.ages, item.customers,
            strict=False,
        )  # fmt: skip
        for number, upstream, age, customer in rows:
            name = names.get(upstream)
            if name is None or self.table.get(entry, number) is not None:
                continue
            at = now - age / 10
            permit = permits.LivePermit(
                entry, number, name, at, customer=customer
            )
            self.table.add(permit)
            self.shares.live[customer] += 1
        # the permits were live when the last reports were taken: joined
        # anew, they no longer count as load that came from elsewhere
        self.table.seen.clear()

    def check_digest(self, entry: str, count: int, digest: int) -> bool:
        """Returns whether an entry should list its permits."""
        freed = self.hear(entry)
        self.unsure.note_held(entry, count)
        equal = self.table.digest(entry) == (count, digest)
        return self.entries.compare(entry, equal) or freed

    def drop_entry(self, entry: str) -> None:
        """Frees all permits of an entry that is gone."""
        for number in list(self.table.numbers.get(entry, ())):
            self.release(entry, number)
            self.freed.add(entry)
        for waiter in list(self.room.waiting.values()):
            if waiter.entry == entry:
                self.room.forget(waiter)
        self.entries.drop(entry)

    def learn_places(self, item: messages_decisions.PlacesCopy) -> None:
        """Notes places that another owner copied here."""
        self.copies.learn(item, self.loads.names())
