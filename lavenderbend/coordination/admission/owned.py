"""State of one group of upstreams at its owner."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from lavenderbend import errors
from lavenderbend.coordination.admission import context_moves
from lavenderbend.coordination.admission import entry_tracker
from lavenderbend.coordination.admission import group_redirects
from lavenderbend.coordination.admission import loads
from lavenderbend.coordination.admission import place_replication
from lavenderbend.coordination.admission import request_queue
from lavenderbend.coordination.admission import shares
from lavenderbend.state import permits
from lavenderbend.state import placements

if TYPE_CHECKING:
    from lavenderbend.coordination import cache_transfer
    from lavenderbend.coordination import interfaces
    from lavenderbend.coordination.admission import groups
    from lavenderbend.coordination.admission import live_routers
    from lavenderbend.coordination.admission import pool_totals as pool_totals_
    from lavenderbend.coordination.admission import settings as settings_
    from lavenderbend.coordination.admission import waiter as waiter_
    from lavenderbend.protocol import messages_decisions

# A grant may still be in transit when the entry router lists its permits: a
# permit granted more recently than this does not count as leaked.
GRANT_IN_FLIGHT_SECONDS = 3.0


class OwnedGroup:
    """Permits, places and queued requests of one group.

    Attributes:
        freed_entries: Entry routers whose permits were freed because they
            left the view, and that have not been asked since then to list
            the permits they hold.
    """

    def __init__(
        self,
        name: str,
        group: groups.GroupId,
        directory: groups.Directory,
        membership: interfaces.Membership,
        routers: live_routers.LiveRouters,
        settings: settings_.AdmissionSettings,
        pool_totals: pool_totals_.PoolTotals,
        cache_client: cache_transfer.CacheClient | None = None,
    ) -> None:
        self.group = group
        self.entries = entry_tracker.EntryTracker(
            membership, routers, settings.entry_timeout
        )
        self.freed_entries: set[str] = set()
        self.loads = loads.GroupLoads(
            name,
            group,
            directory,
            membership,
            settings,
            self.entries,
            pool_totals,
        )
        self.table = self.loads.table
        self.unconfirmed = self.loads.unconfirmed
        self.places = placements.Placements(settings.chats)
        self.shares = shares.FairShares(directory)
        self.queue = request_queue.RequestQueue(
            self.loads, self.places, self.shares, settings
        )
        self.redirects = group_redirects.GroupRedirects(
            self.loads, self.places, settings.chats
        )
        self.replication = place_replication.PlaceReplication(
            group, self.places
        )
        self.context_mover = context_moves.ContextMover(
            self.loads, self.places, cache_client, settings.transfer
        )

    def note_contact(self, entry: str) -> bool:
        """Records that an entry router regards this router as the owner.

        Returns:
            Whether the entry router should list its permits: it was wrongly
            regarded as dead. The requests of its permits still load the
            engines, and it would list the permits only when its heartbeats
            have differed, seconds later.
        """
        if self.entries.note_contact(entry):
            self.places.placed_here.clear()
        return self.pop_freed(entry)

    def pop_freed(self, entry: str) -> bool:
        """Returns whether an entry router's permits were freed, and resets.

        Further calls return False until its permits are freed again.
        """
        freed = entry in self.freed_entries
        self.freed_entries.discard(entry)
        return freed

    def submit(self, waiter: waiter_.Waiter) -> None:
        """Grants, refuses, queues or redirects a new request."""
        waiter.redirect_group = self.redirects.for_new_chat(waiter.request)
        if waiter.redirect_group is not None:
            waiter.done.set()
            return
        try:
            if self.queue.try_grant(waiter):
                return
        except errors.NoUpstream as exc:
            waiter.unserved = self.loads.pool().groups > 1
            if waiter.unserved:
                waiter.done.set()
            else:
                self.queue.refuse(waiter, exc)
            return
        except errors.RequestError as exc:
            self.queue.refuse(waiter, exc)
            return
        waiter.redirect_group = self.redirects.for_full_group(waiter.request)
        if waiter.redirect_group is not None:
            waiter.done.set()
            return
        self.queue.enqueue(waiter)

    def release(self, entry: str, number: int, unused: bool = False) -> bool:
        """Releases a permit, or removes a waiting request.

        Args:
            entry: The entry router.
            number: Its number for the permit.
            unused: Whether nothing was sent with the permit.

        Returns:
            Whether there was such a permit.
        """
        waiter = self.queue.waiting.get((entry, number))
        if waiter is not None:
            self.queue.remove(waiter)
        permit = self.table.remove(entry, number, trio.current_time())
        if permit is None:
            return False
        self.shares.live[permit.customer] -= 1
        if not unused:
            self.loads.rates.note_release(permit)
        elif permit.suspect_chat is not None:
            self.loads.clear_suspect(permit.upstream, permit.suspect_chat)
        return True

    def tick(self) -> None:
        """Updates the rates, drops obsolete permits, serves the queue."""
        self.loads.rates.update()
        self.queue.update_rates()
        for permit in self.loads.drop_obsolete_permits():
            self.shares.live[permit.customer] -= 1
        if self.queue.waiting:
            self.queue.dispatch()
            self.queue.expire()

    def register(
        self, entry: str, message: messages_decisions.PermitRegister
    ) -> None:
        """Registers the live permits that an entry router lists."""
        self.note_contact(entry)
        now = trio.current_time()
        listed = set(message.numbers)
        for number in list(self.table.numbers.get(entry, ())):
            permit = self.table.get(entry, number)
            if number in listed or permit is None:
                continue
            if permit.granted_at < now - GRANT_IN_FLIGHT_SECONDS:
                self.release(entry, number)
        names = self.loads.names()
        rows = zip(
            message.numbers, message.upstreams, message.ages,
            message.customers, strict=False,
        )  # fmt: skip
        for number, upstream, age, customer in rows:
            name = names.get(upstream)
            if name is None or self.table.get(entry, number) is not None:
                continue
            granted_at = now - age / 10
            permit = permits.LivePermit(
                entry, number, name, granted_at, customer=customer
            )
            self.table.add(permit)
            self.shares.live[customer] += 1
        # The permits were live when the last reports were taken: after a new
        # join they no longer count as load from other owners.
        self.table.reports.clear()

    def check_digest(self, entry: str, count: int, digest: int) -> bool:
        """Returns whether an entry router should list its permits.

        Args:
            entry: The entry router.
            count: How many permits it holds.
            digest: Digest of their numbers.
        """
        freed = self.note_contact(entry)
        self.unconfirmed.note_held(entry, count)
        equal = self.table.digest(entry) == (count, digest)
        return self.entries.compare(entry, equal) or freed

    def drop_entry(self, entry: str) -> None:
        """Frees the permits of an entry router that left the view."""
        for number in list(self.table.numbers.get(entry, ())):
            self.release(entry, number)
            self.freed_entries.add(entry)
        for waiter in list(self.queue.waiting.values()):
            if waiter.entry == entry:
                self.queue.remove(waiter)
        self.entries.remove(entry)

    def store_places(
        self, message: messages_decisions.ReplicatedPlaces
    ) -> None:
        """Stores places that another owner replicated to this router."""
        self.replication.store(message, self.loads.names())
