"""The membership of a fleet, as one router sees it."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from lavenderbend import errors
from lavenderbend.coordination import interfaces
from lavenderbend.coordination.membership import answers
from lavenderbend.coordination.membership import candidates
from lavenderbend.coordination.membership import list_reader
from lavenderbend.coordination.membership import listing
from lavenderbend.coordination.membership import news
from lavenderbend.coordination.membership import probes
from lavenderbend.coordination.membership import reports
from lavenderbend.coordination.membership import routers
from lavenderbend.coordination.membership import settings as settings_lib
from lavenderbend.coordination.membership import spread
from lavenderbend.coordination.membership import updates
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

TICK = news.TICK
FORGET_PERIOD = 30.0  # seconds
LEAVE_TIMEOUT = 1.0  # seconds


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
        self.news = news.News(self)
        self.answers = answers.Answers(self)

    # what other parts ask

    def routers(self) -> tuple[str, ...]:
        """Returns the ids of the live routers, this one among them."""
        return self.candidates.ordered_ids()

    def region_routers(self) -> tuple[str, ...]:
        """Returns the live routers of this router's region."""
        return self.candidates.region_ids()

    def upstreams(self, service: str) -> tuple[upstreams.Vm, ...]:
        """Returns the upstreams of a service that may get new work."""
        return self.candidates.of_service(service)

    def report(self, upstream: str) -> upstreams.LoadReport | None:
        """Returns the last load report of an upstream, if any."""
        return self.poller.reports.get(upstream)

    def report_at(self, upstream: str) -> float:
        """Returns the router clock at which that report was taken."""
        return self.poller.taken_at.get(upstream, -math.inf)

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
            self.candidates.refresh()
            self.touch()
        if isinstance(error, errors.UpstreamUnreachable):
            self.poke(upstream_id)

    def note_draining(self, upstream_id: str) -> None:
        """Takes an upstream's own word that it is leaving."""
        report = self.report(upstream_id)
        instance = self.facts.instances.get(upstream_id, '')
        if report is not None:
            instance = report.instance
        self.news.observe(upstream_id, Kind.DRAINING, instance)

    async def leave(self) -> None:
        """Tells the other routers that this one takes no part any more."""
        self.table.state = State.LEFT
        self.news.put(self.vm.id, self.table.own_update())
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
            nursery.start_soon(self.forget)
            await self.prober.join()
            self.ready.set()
            nursery.start_soon(self.prober.run)
            nursery.start_soon(self.poller.run)
            nursery.start_soon(self.check_poked)

    async def tick(self) -> None:
        """Sees to all that ends by time."""
        while True:
            await trio.sleep(TICK)
            self.news.end_suspicions()
            self.news.end_unlisted()
            if self.candidates.refresh():
                self.touch()

    async def forget(self) -> None:
        """Drops what is kept of upstreams that are gone."""
        while True:
            await trio.sleep(FORGET_PERIOD)
            known = [vm.id for vm in self.listing.vms()]
            self.facts.forget(known)
            self.ejector.forget(known)

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
            self.news.observe(upstream_id, Kind.REFUSED)

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
        """Returns whether the VM list is known, by a read or by a peer."""
        return self.reader.read.is_set() or bool(self.listing.lines)
