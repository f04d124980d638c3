"""Merging of received updates, and relaying of those that are new."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import trio

from lavenderbend import errors
from lavenderbend.coordination.membership import listing
from lavenderbend.coordination.membership import routers
from lavenderbend.coordination.upstream_health import health as upstream_health
from lavenderbend.observe import logs
from lavenderbend.observe import metrics
from lavenderbend.protocol import messages_membership as messages
from lavenderbend.protocol import peer
from lavenderbend.state import upstreams

if TYPE_CHECKING:
    from collections.abc import Hashable

    from lavenderbend.coordination.membership import fleet as fleet_lib

State = messages.RouterState
Kind = messages.FactKind

# interval of the checks for expired suspicions and exclusions
TICK_SECONDS = 0.25
# expected number of routers that notify a router that it is suspected
SUSPECT_NOTIFIERS = 5

CHANGES = metrics.counter(
    'lavenderbend_membership_changes_total',
    'Changes of what is believed of routers, by state.',
)


class UpdateProcessor:
    """Merges updates into the view and relays those that change it.

    Attributes:
        fleet: Membership that the updates are merged into.
        addresses_changed: Whether the link needs the peer addresses anew.
    """

    def __init__(self, fleet: fleet_lib.FleetMembership) -> None:
        self.fleet = fleet
        self.addresses_changed = False

    def updates_for(self, peer_id: str) -> list[list[Any]]:
        """Returns the updates to piggyback on a message to a peer."""
        updates = []
        router = self.fleet.table.get(peer_id)
        if router is None or not router.is_responsive:
            # the peer may not know this router
            updates.append(peer.to_wire(self.fleet.table.own_update()))
        if router is not None and router.state not in {None, State.ALIVE}:
            # a router can refute a suspicion only if it learns of it
            updates.append(peer.to_wire(self.fleet.table.update_of(router)))
        updates.extend(
            self.fleet.piggyback.next_batch(
                self.fleet.settings.piggyback_bytes,
                len(self.fleet.table.routers),
            )
        )
        return updates

    def merge_updates(self, updates: Any, relay: bool = True) -> None:
        """Merges the updates of a message.

        Args:
            updates: Updates encoded by `peer.to_wire`.
            relay: Whether updates that are new are relayed.

        Raises:
            CodecError: An update is malformed; those before it are kept.
        """
        if not isinstance(updates, list):
            raise errors.CodecError('updates must be a list')
        changes: list[messages.VmChange] = []
        try:
            for update in updates:
                self.merge_update(peer.from_wire(update), changes, relay)
        except (ValueError, TypeError) as exc:
            raise errors.CodecError(f'update: {exc}') from exc
        finally:
            self.apply_list_changes(changes, relay)
            if self.addresses_changed:
                self.set_peers()

    def merge_update(
        self,
        update: peer.Message,
        changes: list[messages.VmChange],
        relay: bool,
    ) -> None:
        """Merges one update; appends changes of VMs to `changes`.

        Raises:
            CodecError: The message is not an update.
            ValueError: The update has unknown enum values.
            TypeError: The update has values of wrong types.
        """
        if isinstance(update, messages.RouterUpdate):
            self.merge_router(update, relay)
        elif isinstance(update, messages.UpstreamFact):
            before = self.fleet.facts.instances.get(update.upstream)
            if self.fleet.facts.merge(update):
                self.apply_new_fact(update, before, relay)
        elif isinstance(update, messages.VmChange):
            if self.fleet.listing.merge(update):
                changes.append(update)
        else:
            raise errors.CodecError(f'{type(update).__name__} is not an update')

    def merge_router(
        self, update: messages.RouterUpdate, relay: bool = True
    ) -> None:
        """Merges the state of a router, and relays it if it is new."""
        if update.router == self.fleet.vm.id:
            if self.fleet.table.refute(update):
                self.disseminate(
                    self.fleet.vm.id, self.fleet.table.own_update()
                )
            return
        previous = self.fleet.table.get(update.router)
        was_responsive = previous is not None and previous.is_responsive
        if not self.fleet.table.merge(update):
            return
        router = self.fleet.table.routers[update.router]
        if previous is None:
            router.unlisted_since = trio.current_time()
        if relay:
            self.disseminate(update.router, self.fleet.table.update_of(router))
        if router.state is State.SUSPECT:
            self.notify_suspect(router)
        CHANGES.inc({'state': router.state.name.lower()})
        logs.change(
            'router_state',
            router=self.fleet.vm.id,
            of=update.router,
            state=router.state.name.lower(),
            incarnation=update.incarnation,
        )
        if previous is None or update.host:
            self.addresses_changed = True
        if was_responsive != router.is_responsive:
            self.fleet.notify_changed()

    def disseminate(self, subject: Hashable, update: peer.Message) -> None:
        """Sends an update to some routers at once and to all with probes."""
        self.fleet.piggyback.put(subject, update)
        self.fleet.gossiper.put(update)

    def notify_suspect(self, router: routers.Router) -> None:
        """Notifies a router that it is suspected.

        If it learned of the suspicion by gossip only, the suspicion timeout
        could end first. A direct notice leaves it the whole timeout to
        refute. The routers that raised the suspicion do not reach it, so a
        few of the routers that receive the suspicion send the notice, each
        with a probability that gives `SUSPECT_NOTIFIERS` in the fleet.
        """
        router_count = len(self.fleet.table.routers)
        if self.fleet.rng.random() * router_count > SUSPECT_NOTIFIERS:
            return
        update = peer.to_wire(self.fleet.table.update_of(router))
        self.fleet.link.notify(router.vm.id, messages.Updates([update]))

    def note_responsive(self, router_id: str) -> None:
        """Marks a listed router as alive when it answers for the first time."""
        router = self.fleet.table.get(router_id)
        if router is None or router.state is not None:
            return
        update = routers.to_update(router.vm, State.ALIVE, 0)
        # the others learn of it when it joins, or by their own probes
        self.merge_router(update, relay=False)
        if self.addresses_changed:
            self.set_peers()

    def suspect(self, router_id: str) -> None:
        """Suspects a router that neither this router nor helpers reached."""
        router = self.fleet.table.get(router_id)
        if router is None or router.state is not State.ALIVE:
            return
        self.merge_router(
            messages.RouterUpdate(
                router_id, int(State.SUSPECT), router.incarnation
            )
        )

    def expire_suspicions(self) -> None:
        """Declares routers dead that did not refute a suspicion in time."""
        limit = self.fleet.settings.suspicion_timeout
        for router in list(self.fleet.table):
            if router.state is not State.SUSPECT:
                continue
            # a pause of this process counts as one tick only, because
            # refutations that arrived meanwhile are still unread
            router.suspected_for += TICK_SECONDS
            if router.suspected_for > limit:
                self.merge_router(
                    messages.RouterUpdate(
                        router.vm.id, int(State.DEAD), router.incarnation
                    )
                )

    def remove_unlisted(self) -> None:
        """Removes routers that are neither responsive nor listed."""
        now = trio.current_time()
        grace = self.fleet.settings.unlisted_grace
        for router in list(self.fleet.table):
            if router.listed or router.is_responsive:
                continue
            if now - router.unlisted_since > grace:
                del self.fleet.table.routers[router.vm.id]
                self.fleet.piggyback.queued.pop(router.vm.id, None)
                self.set_peers()

    def apply_list_changes(
        self, changes: list[messages.VmChange], relay: bool
    ) -> None:
        """Applies changes of the VM list to the view."""
        if not changes:
            return
        for change in changes:
            self.apply_listed_router(change)
            if relay:
                self.disseminate(('vm', change.vm), change)
        self.set_peers()
        self.fleet.notify_changed()

    def apply_listed_router(self, change: messages.VmChange) -> None:
        """Applies a change of the VM list that concerns a router."""
        vm_id = change.vm
        if change.kind != upstreams.UpstreamKind.ROUTER.value:
            return
        if vm_id == self.fleet.vm.id:
            return
        vm = listing.from_change(change)
        router = self.fleet.table.routers.setdefault(vm_id, routers.Router(vm))
        listed = change.state != messages.ListState.GONE
        if router.listed and not listed:
            router.unlisted_since = trio.current_time()
        router.listed = listed
        router.vm = vm

    def set_peers(self) -> None:
        """Sets the addresses of all routers on the peer link."""
        self.addresses_changed = False
        self.fleet.link.set_peers(
            {
                router.vm.id: (router.vm.host, router.vm.port)
                for router in self.fleet.table
            }
        )

    def observe(self, upstream_id: str, kind: Kind, instance: str = '') -> None:
        """Records an observation of an upstream and announces it."""
        ttl = self.fleet.settings.draining_ttl
        if kind in {Kind.UNREACHABLE, Kind.REFUSED}:
            ttl = self.fleet.settings.unreachable_ttl
        active = self.fleet.facts.facts.get(upstream_id, {}).get(
            (kind, self.fleet.facts.name)
        )
        # an unchanged fact is renewed only after half of its lifetime
        if (
            active is not None
            and kind not in upstream_health.ENDING_KINDS
            and active.instance == instance
            and active.until - trio.current_time() > ttl / 2
        ):
            return
        before = self.fleet.facts.instances.get(upstream_id)
        fact = self.fleet.facts.observe(upstream_id, kind, ttl, instance)
        self.apply_new_fact(fact, before)

    def observe_locally(self, upstream_id: str) -> None:
        """Excludes an upstream on this router only."""
        ttl = self.fleet.settings.unreachable_ttl
        self.fleet.facts.observe(upstream_id, Kind.REFUSED, ttl)
        if self.fleet.candidates.refresh():
            self.fleet.notify_changed()

    def apply_new_fact(
        self,
        fact: messages.UpstreamFact,
        before: str | None,
        relay: bool = True,
    ) -> None:
        """Applies a new fact to the view and relays it."""
        if relay:
            self.disseminate((fact.upstream, fact.kind, fact.observer), fact)
        if fact.kind == Kind.RETURNED:
            restarted = before not in {None, fact.instance}
            self.fleet.candidates.note_returned(fact.upstream, restarted)
        if self.fleet.candidates.refresh():
            self.fleet.notify_changed()
