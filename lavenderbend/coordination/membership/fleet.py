"""Fleet membership as one router sees it."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from lavenderbend import errors
from lavenderbend.coordination import interfaces
from lavenderbend.coordination.membership import candidates
from lavenderbend.coordination.membership import gossip
from lavenderbend.coordination.membership import list_reader
from lavenderbend.coordination.membership import listing
from lavenderbend.coordination.membership import message_handlers
from lavenderbend.coordination.membership import piggyback
from lavenderbend.coordination.membership import probes
from lavenderbend.coordination.membership import reports
from lavenderbend.coordination.membership import routers
from lavenderbend.coordination.membership import settings as settings_lib
from lavenderbend.coordination.membership import update_processor
from lavenderbend.coordination.upstream_health import ejection
from lavenderbend.coordination.upstream_health import health as upstream_health
from lavenderbend.observe import logs
from lavenderbend.protocol import messages_membership as messages
from lavenderbend.state import upstreams

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

State = messages.RouterState
Kind = messages.FactKind

TICK_SECONDS = update_processor.TICK_SECONDS
CLEANUP_PERIOD_SECONDS = 30.0
LEAVE_TIMEOUT_SECONDS = 1.0


class FleetMembership(interfaces.Membership):
    """Live routers and usable upstreams.

    The view is built from the VM list, from probes of other routers, from
    load reports of engines and from updates that routers gossip.

    Attributes:
        vm: VM of this router.
        poll_filter: Returns whether this router polls an engine; None for
            the default, the first few routers by rendezvous hashing.
        ready: Set once the VM list is known and some peers have been asked
            for their state.
        view_version: Incremented on each change of routers or upstreams.
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
        self.poll_filter: Callable[[upstreams.Vm], bool] | None = None
        self.ready = trio.Event()
        self.view_version = 0
        self.changed = trio.Event()
        self.pending_checks: list[str] = []
        self.check_requested = trio.Event()
        self.table = routers.RouterTable(vm)
        self.listing = listing.Listing(self.settings)
        observer = f'{vm.id}#{rng.getrandbits(20):x}'
        self.facts = upstream_health.UpstreamFacts(
            observer, self.settings.observers
        )
        self.ejector = ejection.Ejector(self.settings.ejection)
        self.candidates = candidates.Candidates(self)
        self.piggyback = piggyback.PiggybackQueue()
        self.gossiper = gossip.Gossiper(
            link, rng, self.settings, self.table.responsive_ids
        )
        self.prober = probes.Prober(self)
        self.reader = list_reader.ListReader(self)
        self.poller = reports.ReportPoller(self)
        self.processor = update_processor.UpdateProcessor(self)
        self.handlers = message_handlers.MessageHandlers(self)

    # queries

    def routers(self) -> tuple[str, ...]:
        """Returns the ids of the live routers, including this one."""
        return self.candidates.ordered_ids()

    def region_routers(self) -> tuple[str, ...]:
        """Returns the ids of the live routers in this router's region."""
        return self.candidates.region_ids()

    def upstreams(self, service: str) -> tuple[upstreams.Vm, ...]:
        """Returns the upstreams of a service usable for new requests."""
        return self.candidates.usable(service)

    def report(self, upstream: str) -> upstreams.LoadReport | None:
        """Returns the last load report of an upstream, if any."""
        return self.poller.reports.get(upstream)

    def report_at(self, upstream: str) -> float:
        """Returns when the last load report was taken, by the router clock.

        Minus infinity if there is none.
        """
        return self.poller.reported_at.get(upstream, -math.inf)

    async def wait_changed(self) -> None:
        """Waits until the routers or the upstreams change."""
        await self.changed.wait()

    def all_vms(self) -> tuple[upstreams.Vm, ...]:
        """Returns all listed VMs and the responsive routers not listed."""
        vms = {vm.id: vm for vm in self.listing.vms()}
        for router in self.table:
            if router.is_responsive:
                vms.setdefault(router.vm.id, router.vm)
        vms[self.vm.id] = self.vm
        return tuple(vms[vm_id] for vm_id in sorted(vms))

    def router_state(self, router_id: str) -> str:
        """Returns the state of a router as text for operators."""
        if router_id == self.vm.id:
            return self.table.state.name.lower()
        router = self.table.get(router_id)
        if router is None:
            return 'not known'
        state = 'not heard of yet'
        if router.state is not None:
            state = router.state.name.lower()
        return state if router.listed else f'{state}, not in the VM list'

    def explain(self, upstream_id: str) -> str:
        """Returns why an upstream is or is not usable for new requests."""
        return self.candidates.explain(upstream_id)

    # notifications from other components

    def note_result(self, upstream_id: str, error: Exception | None) -> None:
        """Records the result of an attempt at an upstream.

        A refusal counts as a success, because an engine that is full is
        not faulty.
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
            self.candidates.refresh()
            self.notify_changed()
        if isinstance(error, errors.UpstreamUnreachable):
            self.request_check(upstream_id)

    def note_draining(self, upstream_id: str) -> None:
        """Records that an upstream announced that it is draining."""
        report = self.report(upstream_id)
        instance = self.facts.instances.get(upstream_id, '')
        if report is not None:
            instance = report.instance
        self.processor.observe(upstream_id, Kind.DRAINING, instance)

    async def leave(self) -> None:
        """Announces to the other routers that this one leaves the fleet."""
        self.table.state = State.LEFT
        self.processor.disseminate(self.vm.id, self.table.own_update())
        self.gossiper.flush(to_all=True)
        self.notify_changed()
        # notices to a peer arrive in order, so the answer to a later probe
        # shows that the announcement has arrived
        others = self.table.responsive_ids()
        count = min(self.settings.indirect_probes, len(others))
        with trio.move_on_after(LEAVE_TIMEOUT_SECONDS):
            async with trio.open_nursery() as nursery:
                for name in self.rng.sample(others, count):
                    nursery.start_soon(self.prober.is_reachable, name)

    # background tasks

    async def run(self) -> None:
        """Maintains the view until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.gossiper.run)
            nursery.start_soon(self.reader.run)
            nursery.start_soon(self.run_expiry)
            nursery.start_soon(self.run_cleanup)
            await self.prober.join()
            self.ready.set()
            nursery.start_soon(self.prober.run)
            nursery.start_soon(self.poller.run)
            nursery.start_soon(self.run_checks)

    async def run_expiry(self) -> None:
        """Applies expiry of suspicions, unlisted routers and exclusions."""
        while True:
            await trio.sleep(TICK_SECONDS)
            self.processor.expire_suspicions()
            self.processor.remove_unlisted()
            if self.candidates.refresh():
                self.notify_changed()

    async def run_cleanup(self) -> None:
        """Removes the state of upstreams that are no longer listed."""
        while True:
            await trio.sleep(CLEANUP_PERIOD_SECONDS)
            listed = [vm.id for vm in self.listing.vms()]
            self.facts.remove_expired(listed)
            self.ejector.remove_unlisted(listed)

    async def run_checks(self) -> None:
        """Checks upstreams that an attempt did not reach."""
        async with trio.open_nursery() as nursery:
            while True:
                await self.check_requested.wait()
                self.check_requested = trio.Event()
                names = self.pending_checks
                self.pending_checks = []
                for name in names:
                    nursery.start_soon(self.check_upstream, name)

    async def check_upstream(self, upstream_id: str) -> None:
        """Checks one upstream that an attempt did not reach."""
        vm = self.listed_vm(upstream_id)
        if vm is None:
            return
        if vm.kind is upstreams.UpstreamKind.ENGINE:
            await self.poller.check_now(upstream_id)
            return
        state = self.ejector.state(upstream_id)
        # services have no load report to fetch, so consecutive failures are
        # announced instead
        if state.consecutive_failures >= self.settings.report_failures:
            self.processor.observe(upstream_id, Kind.REFUSED)

    def request_check(self, upstream_id: str) -> None:
        """Schedules a check of an upstream."""
        self.pending_checks.append(upstream_id)
        self.check_requested.set()

    # changes of the view

    def notify_changed(self) -> None:
        """Wakes tasks that wait for a change of routers or upstreams."""
        self.view_version += 1
        self.candidates.invalidate()
        self.changed.set()
        self.changed = trio.Event()

    def listed_vm(self, vm_id: str) -> upstreams.Vm | None:
        """Returns a VM of the VM list, None if it is not listed."""
        entry = self.listing.entries.get(vm_id)
        return None if entry is None else entry.vm

    def has_list(self) -> bool:
        """Returns whether the VM list is known, by a read or from a peer."""
        return self.reader.first_read.is_set() or bool(self.listing.entries)
