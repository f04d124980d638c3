"""What this router hears, and what of it is news to be passed on."""

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

TICK = 0.25  # seconds between looks at what has ended
TELL_SUSPECT = 5  # routers of a fleet that do

CHANGES = metrics.counter(
    'lavenderbend_membership_changes_total',
    'Changes of what is believed of routers, by state.',
)


class News:
    """Takes updates into the view and passes on those that are news.

    Attributes:
        fleet: The membership.
    """

    def __init__(self, fleet: fleet_lib.FleetMembership) -> None:
        self.fleet = fleet
        self.addresses_changed = False

    def updates_for(self, peer_id: str) -> list[list[Any]]:
        """Returns the updates that ride on a message to a peer."""
        taken = []
        item = self.fleet.table.get(peer_id)
        if item is None or not item.answers:
            # it may not know this router; and it must hear what is believed
            # of it, or it could never refute that
            taken.append(peer.to_wire(self.fleet.table.own_update()))
        if item is not None and item.state not in {None, State.ALIVE}:
            taken.append(peer.to_wire(self.fleet.table.update_of(item)))
        taken.extend(
            self.fleet.queue.take(
                self.fleet.settings.piggyback_bytes,
                len(self.fleet.table.routers),
            )
        )
        return taken

    def take_updates(self, wires: Any, spread: bool = True) -> None:
        """Takes the updates of a message.

        Args:
            wires: The updates by `peer.to_wire`.
            spread: Whether what is news is passed on to others.

        Raises:
            CodecError: One of them is malformed; those before it hold.
        """
        if not isinstance(wires, list):
            raise errors.CodecError('updates are a list')
        changes: list[messages.VmChange] = []
        try:
            for wire in wires:
                self.take_update(peer.from_wire(wire), changes, spread)
        except (ValueError, TypeError) as exc:
            raise errors.CodecError(f'update: {exc}') from exc
        finally:
            self.list_changed(changes, spread)
            if self.addresses_changed:
                self.set_peers()

    def take_update(
        self,
        update: peer.Message,
        changes: list[messages.VmChange],
        spread: bool,
    ) -> None:
        """Takes one update; changes of VMs are gathered in `changes`.

        Raises:
            CodecError: It is no update.
            ValueError: It has values that are none of ours.
            TypeError: It has values of other types.
        """
        if isinstance(update, messages.RouterUpdate):
            self.take_router(update, spread)
        elif isinstance(update, messages.UpstreamFact):
            before = self.fleet.facts.instances.get(update.upstream)
            if self.fleet.facts.merge(update):
                self.fact_news(update, before, spread)
        elif isinstance(update, messages.VmChange):
            if self.fleet.listing.merge(update):
                changes.append(update)
        else:
            raise errors.CodecError(f'{type(update).__name__}: no update')

    def take_router(
        self, update: messages.RouterUpdate, spread: bool = True
    ) -> None:
        """Takes what was said of a router, and passes news on."""
        if update.router == self.fleet.vm.id:
            if self.fleet.table.refute(update):
                self.put(self.fleet.vm.id, self.fleet.table.own_update())
            return
        known = self.fleet.table.get(update.router)
        answered = known is not None and known.answers
        if not self.fleet.table.merge(update):
            return
        item = self.fleet.table.routers[update.router]
        if known is None:
            item.unlisted_since = trio.current_time()
        if spread:
            self.put(update.router, self.fleet.table.update_of(item))
        if item.state is State.SUSPECT:
            self.tell_suspect(item)
        CHANGES.inc({'state': item.state.name.lower()})
        logs.change(
            'router_state',
            router=self.fleet.vm.id,
            of=update.router,
            state=item.state.name.lower(),
            incarnation=update.incarnation,
        )
        if known is None or update.host:
            self.addresses_changed = True
        if answered != item.answers:
            self.fleet.touch()

    def put(self, subject: Hashable, update: peer.Message) -> None:
        """Passes an update on, at once to some and by probes to all."""
        self.fleet.queue.put(subject, update)
        self.fleet.spreader.put(update)

    def tell_suspect(self, item: routers.Router) -> None:
        """Tells a router that it is suspected.

        Were it to hear of that by chance only, the time to refute could
        end before; telling it straight away gives it all of that time. A
        few of those who hear of a suspicion do so, for those who raised it
        do not reach the router.
        """
        routers_known = len(self.fleet.table.routers)
        if self.fleet.rng.random() * routers_known > TELL_SUSPECT:
            return
        update = peer.to_wire(self.fleet.table.update_of(item))
        self.fleet.link.notify(item.vm.id, messages.Updates([update]))

    def note_answer(self, router_id: str) -> None:
        """Takes it that a listed router has answered for the first time."""
        item = self.fleet.table.get(router_id)
        if item is None or item.state is not None:
            return
        update = routers.to_update(item.vm, State.ALIVE, 0)
        # others hear of it when it joins, or by their own probes
        self.take_router(update, spread=False)
        if self.addresses_changed:
            self.set_peers()

    def suspect(self, router_id: str) -> None:
        """Begins to suspect a router that nobody reached."""
        item = self.fleet.table.get(router_id)
        if item is None or item.state is not State.ALIVE:
            return
        self.take_router(
            messages.RouterUpdate(
                router_id, int(State.SUSPECT), item.incarnation
            )
        )

    def end_suspicions(self) -> None:
        """Believes routers dead that did not refute in time."""
        limit = self.fleet.settings.suspicion
        for item in list(self.fleet.table):
            if item.state is not State.SUSPECT:
                continue
            # a pause of this router counts as one tick: refutations that
            # came meanwhile wait in the sockets and are read first
            item.suspected_for += TICK
            if item.suspected_for > limit:
                self.take_router(
                    messages.RouterUpdate(
                        item.vm.id, int(State.DEAD), item.incarnation
                    )
                )

    def end_unlisted(self) -> None:
        """Forgets routers that neither answer nor are listed."""
        now = trio.current_time()
        hold = self.fleet.settings.unlisted_hold
        for item in list(self.fleet.table):
            if item.listed or item.answers:
                continue
            if now - item.unlisted_since > hold:
                del self.fleet.table.routers[item.vm.id]
                self.fleet.queue.items.pop(item.vm.id, None)
                self.set_peers()

    def list_changed(
        self, changes: list[messages.VmChange], spread: bool
    ) -> None:
        """Takes changes of the VM list into the view."""
        if not changes:
            return
        for change in changes:
            self.take_listed_router(change)
            if spread:
                self.put(('vm', change.vm), change)
        self.set_peers()
        self.fleet.touch()

    def take_listed_router(self, change: messages.VmChange) -> None:
        """Takes what the VM list says of a router."""
        vm_id = change.vm
        if change.kind != upstreams.UpstreamKind.ROUTER.value:
            return
        if vm_id == self.fleet.vm.id:
            return
        vm = listing.from_change(change)
        item = self.fleet.table.routers.setdefault(vm_id, routers.Router(vm))
        listed = change.state != messages.ListState.GONE
        if item.listed and not listed:
            item.unlisted_since = trio.current_time()
        item.listed = listed
        item.vm = vm

    def set_peers(self) -> None:
        """Gives the link the addresses of all routers."""
        self.addresses_changed = False
        self.fleet.link.set_peers(
            {
                item.vm.id: (item.vm.host, item.vm.port)
                for item in self.fleet.table
            }
        )

    def observe(self, upstream_id: str, kind: Kind, instance: str = '') -> None:
        """Notes what this router saw of an upstream and tells the others."""
        hold = self.fleet.settings.draining_hold
        if kind in {Kind.UNREACHABLE, Kind.REFUSED}:
            hold = self.fleet.settings.unreachable_hold
        held = self.fleet.facts.facts.get(upstream_id, {}).get(
            (kind, self.fleet.facts.name)
        )
        # said again only when half of its time has gone
        if (
            held is not None
            and kind not in upstream_health.ENDING
            and held.instance == instance
            and held.until - trio.current_time() > hold / 2
        ):
            return
        before = self.fleet.facts.instances.get(upstream_id)
        fact = self.fleet.facts.observe(upstream_id, kind, hold, instance)
        self.fact_news(fact, before)

    def observe_alone(self, upstream_id: str) -> None:
        """Holds an upstream back on this router only."""
        hold = self.fleet.settings.unreachable_hold
        self.fleet.facts.observe(upstream_id, Kind.REFUSED, hold)
        if self.fleet.candidates.refresh():
            self.fleet.touch()

    def fact_news(
        self,
        fact: messages.UpstreamFact,
        before: str | None,
        spread: bool = True,
    ) -> None:
        """Passes a new fact on and takes it into the view."""
        if spread:
            self.put((fact.upstream, fact.kind, fact.observer), fact)
        if fact.kind == Kind.RETURNED:
            restarted = before not in {None, fact.instance}
            self.fleet.candidates.note_returned(fact.upstream, restarted)
        if self.fleet.candidates.refresh():
            self.fleet.touch()
