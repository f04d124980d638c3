"""The membership of a fleet, as one router sees it."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import trio

from lavenderbend import errors
from lavenderbend.coordination import ejection
from lavenderbend.coordination import interfaces
from lavenderbend.coordination import upstream_health
from lavenderbend.coordination.membership import candidates
from lavenderbend.coordination.membership import list_reader
from lavenderbend.coordination.membership import listing
from lavenderbend.coordination.membership import probes
from lavenderbend.coordination.membership import reports
from lavenderbend.coordination.membership import routers
from lavenderbend.coordination.membership import settings as settings_lib
from lavenderbend.coordination.membership import spread
from lavenderbend.coordination.membership import updates
from lavenderbend.observe import logs
from lavenderbend.observe import metrics
from lavenderbend.protocol import messages_membership as messages
from lavenderbend.protocol import peer
from lavenderbend.state import upstreams

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

State = messages.RouterState
Kind = messages.FactKind

TICK = 0.25  # seconds between looks at what has ended
LEAVE_TIMEOUT = 1.0  # seconds

CHANGES = metrics.counter(
    'lavenderbend_membership_changes_total',
    'Changes of what is believed of routers, by state.',
)


class FleetMembership(interfaces.Membership):
    """Routers and upstreams, by the VM list, probes and announcements.

    Attributes:
        vm: This router.
        wants_report: Says which engines this router polls; None for the
            default, the first few routers by rendezvous hashing.
        ready: Set once the VM list was read and some peers were asked.
        view: Counts the changes of routers or upstreams.
    """

    def __init__(
        self,
        vm: upstreams.Vm,
        vm_list: interfaces.VmList,
        link: interfaces.PeerLink,
        upstream_client: interfaces.UpstreamClient,
        rng: random.Random,
        settings: settings_lib.MembershipSettings | None = None,
    ) -> None:
        self.vm = vm
        self.vm_list = vm_list
        self.link = link
        self.upstream_client = upstream_client
        self.rng = rng
        self.settings = settings or settings_lib.MembershipSettings()
        self.wants_report: Callable[[upstreams.Vm], bool] | None = None
        self.ready = trio.Event()
        self.view = 0
        self.changed = trio.Event()
        self.pokes: list[str] = []
        self.poked = trio.Event()
        self.table = routers.RouterTable(vm)
        self.listing = listing.Listing(self.settings)
        observer = f'{vm.id}#{rng.getrandbits(20):x}'
        self.facts = upstream_health.UpstreamFacts(
            observer, self.settings.observers
        )
        self.ejector = ejection.Ejector(self.settings.ejection)
        self.candidates = candidates.Candidates(self)
        self.queue = updates.UpdateQueue()
        self.spreader = spread.Spreader(
            link, rng, self.settings, self.table.answering
        )
        self.prober = probes.Prober(self)
        self.reader = list_reader.ListReader(self)
        self.poller = reports.ReportPoller(self)
        link.handle(messages.Ping, self.on_ping)
        link.handle(messages.PingThrough, self.on_ping_through)
        link.handle(messages.SyncAsk, self.on_sync)
        link.handle(messages.Updates, self.on_updates)
        link.handle(messages.UpstreamProbe, self.on_upstream_probe)

    # what other parts ask

    def routers(self) -> tuple[str, ...]:
        """Returns the ids of the live routers, this one among them."""
        return tuple(sorted(self.candidates.router_ids()))

    def region_routers(self) -> tuple[str, ...]:
        """Returns the live routers of this router's region."""
        return tuple(
            name
            for name in self.routers()
            if name == self.vm.id
            or self.table.routers[name].vm.region == self.vm.region
        )

    def upstreams(self, service: str) -> tuple[upstreams.Vm, ...]:
        """Returns the upstreams of a service that may get new work."""
        return self.candidates.of_service(service)

    def report(self, upstream: str) -> upstreams.LoadReport | None:
        """Returns the last load report of an upstream, if any."""
        return self.poller.reports.get(upstream)

    def report_at(self, upstream: str) -> float:
        """Returns the router clock at which that report was taken."""
        return self.poller.taken_at[upstream]

    async def wait_changed(self) -> None:
        """Waits until routers or upstreams change."""
        await self.changed.wait()

    def all_vms(self) -> tuple[upstreams.Vm, ...]:
        """Returns every VM that is listed, and routers that answer."""
        vms = {vm.id: vm for vm in self.listing.vms()}
        for item in self.table:
            if item.answers:
                vms.setdefault(item.vm.id, item.vm)
        vms[self.vm.id] = self.vm
        return tuple(vms[vm_id] for vm_id in sorted(vms))

    def router_state(self, router_id: str) -> str:
        """Returns what is believed of a router, for operators."""
        if router_id == self.vm.id:
            return self.table.state.name.lower()
        item = self.table.get(router_id)
        if item is None:
            return 'not known'
        word = 'not heard of yet'
        if item.state is not None:
            word = item.state.name.lower()
        return word if item.listed else f'{word}, not in the VM list'

    def explain(self, upstream_id: str) -> str:
        """Returns why an upstream is a candidate, or why it is not."""
        return self.candidates.explain(upstream_id)

    # what other parts tell

    def note_result(self, upstream_id: str, error: Exception | None) -> None:
        """Takes the result of an attempt at an upstream.

        Refusals are no failures: a full engine is not a broken one.
        """
        if error is None or isinstance(error, errors.UpstreamRefused):
            self.ejector.note_success(upstream_id)
            return
        if not isinstance(error, errors.UpstreamError):
            return
        if self.ejector.note_failure(upstream_id):
            logs.change(
                'upstream_ejected', router=self.vm.id, upstream=upstream_id
            )
            self.touch()
        if isinstance(error, errors.UpstreamUnreachable):
            self.poke(upstream_id)

    def note_draining(self, upstream_id: str) -> None:
        """Takes an upstream's own word that it is leaving."""
        self.observe(upstream_id, Kind.DRAINING)

    async def leave(self) -> None:
        """Tells the other routers that this one takes no part any more."""
        self.table.state = State.LEFT
        update = self.table.own_update()
        self.queue.put(self.vm.id, update)
        self.spreader.put(update)
        self.spreader.flush(everybody=True)
        self.touch()
        # an answer to a later request shows that the notice has arrived
        others = self.table.answering()
        count = min(self.settings.indirect_probes, len(others))
        with trio.move_on_after(LEAVE_TIMEOUT):
            async with trio.open_nursery() as nursery:
                for name in self.rng.sample(others, count):
                    nursery.start_soon(self.prober.reaches, name)

    # the tasks

    async def run(self) -> None:
        """Keeps the view until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.spreader.run)
            nursery.start_soon(self.reader.run)
            nursery.start_soon(self.tick)
            await self.reader.read.wait()
            await self.prober.sync()
            self.ready.set()
            nursery.start_soon(self.prober.run)
            nursery.start_soon(self.poller.run)
            nursery.start_soon(self.check_poked)

    async def tick(self) -> None:
        """Sees to all that ends by time."""
        while True:
            await trio.sleep(TICK)
            self.end_suspicions()
            self.end_unlisted()
            known = [vm.id for vm in self.listing.vms()]
            self.facts.forget(known)
            self.ejector.forget(known)
            if self.candidates.refresh():
                self.touch()

    async def check_poked(self) -> None:
        """Looks at upstreams that attempts did not reach."""
        async with trio.open_nursery() as nursery:
            while True:
                await self.poked.wait()
                self.poked = trio.Event()
                names = self.pokes
                self.pokes = []
                for name in names:
                    nursery.start_soon(self.check_upstream, name)

    async def check_upstream(self, upstream_id: str) -> None:
        """Looks at one upstream that an attempt did not reach."""
        vm = self.listed_vm(upstream_id)
        if vm is None:
            return
        if vm.kind is upstreams.UpstreamKind.ENGINE:
            await self.poller.check(upstream_id)
            return
        state = self.ejector.state(upstream_id)
        # plain services have no report; two failures in a row are told
        if state.in_row >= self.settings.report_failures:
            self.observe(upstream_id, Kind.REFUSED)

    def poke(self, upstream_id: str) -> None:
        """Has an upstream looked at soon."""
        self.pokes.append(upstream_id)
        self.poked.set()

    # changes

    def touch(self) -> None:
        """Tells waiters that routers or upstreams have changed."""
        self.view += 1
        self.candidates.forget()
        self.changed.set()
        self.changed = trio.Event()

    def listed_vm(self, vm_id: str) -> upstreams.Vm | None:
        """Returns a listed VM."""
        line = self.listing.lines.get(vm_id)
        return None if line is None else line.vm

    def has_list(self) -> bool:
        """Returns whether the VM list has been read."""
        return self.reader.read.is_set()

    def list_changed(
        self, changes: list[messages.VmChange], spread: bool
    ) -> None:
        """Takes changes of the VM list into the view."""
        if not changes:
            return
        for change in changes:
            self.take_listed_router(change)
            if spread:
                self.spreader.put(change)
                self.queue.put(('vm', change.vm), change)
        self.set_peers()
        self.touch()

    def take_listed_router(self, change: messages.VmChange) -> None:
        """Takes what the VM list says of a router."""
        vm_id = change.vm
        if change.kind != upstreams.UpstreamKind.ROUTER.value:
            return
        if vm_id == self.vm.id:
            return
        vm = listing.from_change(change)
        item = self.table.routers.setdefault(vm_id, routers.Router(vm))
        listed = change.state != messages.ListState.GONE
        if item.listed and not listed:
            item.unlisted_since = trio.current_time()
        item.listed = listed
        item.vm = vm

    def set_peers(self) -> None:
        """Gives the link the addresses of all routers."""
        self.link.set_peers(
            {item.vm.id: (item.vm.host, item.vm.port) for item in self.table}
        )

    def observe(self, upstream_id: str, kind: Kind, instance: str = '') -> None:
        """Notes what this router saw of an upstream and tells the others."""
        hold = self.settings.draining_hold
        if kind in {Kind.UNREACHABLE, Kind.REFUSED}:
            hold = self.settings.unreachable_hold
        held = self.facts.facts.get(upstream_id, {}).get(
            (kind, self.facts.name)
        )
        # said again only when half of its time has gone
        if (
            held is not None
            and kind is not Kind.RETURNED
            and held.instance == instance
            and held.until - trio.current_time() > hold / 2
        ):
            return
        before = self.facts.instances.get(upstream_id)
        fact = self.facts.observe(upstream_id, kind, hold, instance)
        self.fact_news(fact, before)

    def observe_alone(self, upstream_id: str) -> None:
        """Holds an upstream back on this router only."""
        hold = self.settings.unreachable_hold
        self.facts.observe(upstream_id, Kind.REFUSED, hold)
        if self.candidates.refresh():
            self.touch()

    def fact_news(
        self, fact: messages.UpstreamFact, before: str | None
    ) -> None:
        """Passes a new fact on and takes it into the view."""
        self.spreader.put(fact)
        self.queue.put((fact.upstream, fact.kind, fact.observer), fact)
        if fact.kind == Kind.RETURNED:
            restarted = before not in {None, fact.instance}
            self.candidates.note_returned(fact.upstream, restarted)
        if self.candidates.refresh():
            self.touch()

    def suspect(self, router_id: str) -> None:
        """Begins to suspect a router that nobody reached."""
        item = self.table.get(router_id)
        if item is None or item.state is not State.ALIVE:
            return
        self.take_router(
            messages.RouterUpdate(
                router_id, int(State.SUSPECT), item.incarnation
            )
        )

    def note_answer(self, router_id: str) -> None:
        """Takes it that a listed router has answered for the first time."""
        item = self.table.get(router_id)
        if item is None or item.state is not None:
            return
        update = routers.to_update(item.vm, State.ALIVE, 0)
        self.take_router(update)

    def end_suspicions(self) -> None:
        """Believes routers dead that did not refute in time."""
        count = len(self.table.routers) + 1
        limit = self.settings.suspicion_time(count)
        for item in list(self.table):
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
        hold = self.settings.unlisted_hold
        for item in list(self.table):
            if item.listed or item.answers:
                continue
            if now - item.unlisted_since > hold:
                del self.table.routers[item.vm.id]
                self.queue.items.pop(item.vm.id, None)
                self.set_peers()

    # messages

    def updates_for(self, peer_id: str) -> list[list[Any]]:
        """Returns the updates that ride on a message to a peer."""
        taken = []
        item = self.table.get(peer_id)
        if item is None or not item.answers:
            # it may not know this router; and it must hear what is believed
            # of it, or it could never refute that
            taken.append(peer.to_wire(self.table.own_update()))
        if item is not None and item.state not in {None, State.ALIVE}:
            taken.append(peer.to_wire(self.table.update_of(item)))
        taken.extend(
            self.queue.take(
                self.settings.piggyback_bytes, len(self.table.routers)
            )
        )
        return taken

    def take_updates(self, wires: Any) -> None:
        """Takes the updates of a message.

        Raises:
            CodecError: One of them is malformed; those before it hold.
        """
        if not isinstance(wires, list):
            raise errors.CodecError('updates are a list')
        for wire in wires:
            self.take_update(peer.from_wire(wire))

    def take_update(self, update: peer.Message) -> None:
        """Takes one update.

        Raises:
            CodecError: It is malformed, or no update.
        """
        try:
            if isinstance(update, messages.RouterUpdate):
                self.take_router(update)
            elif isinstance(update, messages.UpstreamFact):
                before = self.facts.instances.get(update.upstream)
                if self.facts.merge(update):
                    self.fact_news(update, before)
            elif isinstance(update, messages.VmChange):
                if self.listing.merge(update):
                    self.list_changed([update], spread=True)
            else:
                raise errors.CodecError(f'{type(update).__name__}: no update')
        except (ValueError, TypeError) as exc:
            raise errors.CodecError(f'update: {exc}') from exc

    def take_router(self, update: messages.RouterUpdate) -> None:
        """Takes what was said of a router, and passes news on."""
        if update.router == self.vm.id:
            if self.table.refute(update):
                own = self.table.own_update()
                self.queue.put(self.vm.id, own)
                self.spreader.put(own)
            return
        known = self.table.get(update.router)
        answered = known is not None and known.answers
        if not self.table.merge(update):
            return
        item = self.table.routers[update.router]
        if known is None:
            item.unlisted_since = trio.current_time()
        news = self.table.update_of(item)
        self.queue.put(update.router, news)
        if item.state is not State.SUSPECT:
            self.spreader.put(news)
        CHANGES.inc({'state': item.state.name.lower()})
        logs.change(
            'router_state',
            router=self.vm.id,
            of=update.router,
            state=item.state.name.lower(),
            incarnation=update.incarnation,
        )
        if known is None or update.host:
            self.set_peers()
        if answered != item.answers:
            self.touch()

    async def on_ping(self, peer_id: str, item: messages.Ping) -> messages.Ack:
        """Answers a probe."""
        self.take_updates(item.updates)
        self.note_answer(peer_id)
        return messages.Ack(self.updates_for(peer_id))

    async def on_ping_through(
        self, peer_id: str, item: messages.PingThrough
    ) -> messages.Ack:
        """Probes a router for another.

        Raises:
            PeerUnreachable: It did not answer.
        """
        self.take_updates(item.updates)
        if not await self.prober.reaches(item.target):
            raise errors.PeerUnreachable(item.target)
        return messages.Ack(self.updates_for(peer_id))

    async def on_updates(self, peer_id: str, item: messages.Updates) -> None:
        """Takes urgent updates."""
        self.take_updates(item.updates)

    async def on_sync(
        self, peer_id: str, item: messages.SyncAsk
    ) -> messages.SyncAnswer:
        """Tells a router all that this one believes."""
        self.take_updates(item.updates)
        self.note_answer(peer_id)
        known = [self.table.own_update()]
        known.extend(
            self.table.update_of(other)
            for other in self.table
            if other.state is not None
        )
        now = trio.current_time()
        for upstream, facts in self.facts.facts.items():
            known.extend(
                messages.UpstreamFact(
                    upstream,
                    int(kind),
                    observer,
                    fact.sequence,
                    max(fact.until - now, 0.0),
                    fact.instance,
                )
                for (kind, observer), fact in facts.items()
                if fact.until > now
            )
        if item.want_list:
            known.extend(
                listing.to_change(line.vm, line.state)
                for line in self.listing.lines.values()
            )
        return messages.SyncAnswer([peer.to_wire(update) for update in known])

    async def on_upstream_probe(
        self, peer_id: str, item: messages.UpstreamProbe
    ) -> None:
        """Tries an upstream for another router.

        Raises:
            UpstreamUnreachable: This router does not reach it either.
            NoUpstream: This router does not know it.
        """
        if self.listed_vm(item.upstream) is None:
            raise errors.NoUpstream(f'{item.upstream} is not listed here')
        if not await self.poller.poll(item.upstream):
            raise errors.UpstreamUnreachable(item.upstream)
