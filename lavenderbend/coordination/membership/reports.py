"""Load reports of engines, polled by few routers each."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend import errors
from lavenderbend.observe import metrics
from lavenderbend.protocol import messages_membership as messages
from lavenderbend.state import hashing
from lavenderbend.state import upstreams

if TYPE_CHECKING:
    from lavenderbend.coordination.membership import fleet as fleet_lib

Kind = messages.FactKind

POLL_SHARDS = 256
CHOOSE_PERIOD = 2.0  # seconds, should admission change its mind
MAX_POLLS = 32  # at the same time
FAST_RETRY = 0.25  # seconds from a failed report to the next
MIN_TURN = 0.01  # seconds between looks at what is due
MAX_TURN = 0.5

POLLS = metrics.counter(
    'lavenderbend_load_reports_total', 'Load reports polled, by result.'
)


@attrs.define
class Polled:
    """An engine that this router polls.

    Attributes:
        due: Router clock of the next poll.
        busy: Whether a poll is in progress.
    """

    due: float
    busy: bool = False


class ReportPoller:
    """Polls the load reports that this router needs.

    Attributes:
        fleet: The membership.
        reports: The last report of each upstream.
        taken_at: Router clock at which each was taken.
        polled: By upstream id.
        polls: Reports asked for.
    """

    def __init__(self, fleet: fleet_lib.FleetMembership) -> None:
        self.fleet = fleet
        self.reports: dict[str, upstreams.LoadReport] = {}
        self.taken_at: dict[str, float] = {}
        self.polled: dict[str, Polled] = {}
        self.poked: dict[str, float] = {}
        self.polls = 0
        self.shards: frozenset[int] = frozenset()
        self.shards_for: tuple[str, ...] = ()

    def wants(self, vm: upstreams.Vm) -> bool:
        """Returns whether this router polls an engine."""
        if self.fleet.wants_report is not None:
            return self.fleet.wants_report(vm)
        return hashing.hash64(vm.id) % POLL_SHARDS in self.shards

    def own_shards(self) -> frozenset[int]:
        """Returns the shards of engines that this router polls.

        An order of all routers for each of thousands of engines would take
        most of a second at each change of the fleet; for shards it takes
        milliseconds.
        """
        routers = self.fleet.region_routers()
        count = self.fleet.settings.report_pollers
        own = self.fleet.vm.id
        return frozenset(
            shard
            for shard in range(POLL_SHARDS)
            if own in hashing.rendezvous_order(f'poll-{shard}', routers)[:count]
        )

    def wanted(self) -> list[upstreams.Vm]:
        """Returns the engines that this router polls."""
        return [
            vm
            for vm in self.fleet.listing.vms()
            if vm.kind is upstreams.UpstreamKind.ENGINE
            and vm.region == self.fleet.vm.region
            and self.wants(vm)
        ]

    def period(self, engines: int) -> float:
        """Returns the seconds between the reports of one engine."""
        settings = self.fleet.settings
        return max(settings.report_period, engines / settings.report_rate)

    def choose(self) -> None:
        """Decides anew which engines to poll."""
        routers = self.fleet.region_routers()
        if routers != self.shards_for and self.fleet.wants_report is None:
            self.shards_for = routers
            self.shards = self.own_shards()
        wanted = {vm.id for vm in self.wanted()}
        now = trio.current_time()
        period = self.period(len(wanted))
        for vm_id in sorted(wanted - self.polled.keys()):
            # spread over the period, so that polls come evenly
            due = now + self.fleet.rng.uniform(0, period / 2)
            self.polled[vm_id] = Polled(due)
        for vm_id in self.polled.keys() - wanted:
            del self.polled[vm_id]
        known = {vm.id for vm in self.fleet.listing.vms()}
        for vm_id in self.reports.keys() - known:
            del self.reports[vm_id]
            del self.taken_at[vm_id]
        for vm_id in self.poked.keys() - known:
            del self.poked[vm_id]

    async def run(self) -> None:
        """Polls until cancelled."""
        chosen_for = None
        chosen_at = -math.inf
        async with trio.open_nursery() as nursery:
            while True:
                now = trio.current_time()
                view = self.fleet.view
                age = now - chosen_at
                # in a large fleet a choice takes milliseconds; when many
                # VMs start at once it is made for all of them together
                if age > CHOOSE_PERIOD or (view != chosen_for and age > 1.0):
                    self.choose()
                    chosen_for = view
                    chosen_at = now
                self.start_due(nursery)
                await trio.sleep(self.until_due())

    def until_due(self) -> float:
        """Returns the seconds until the next poll, within bounds."""
        now = trio.current_time()
        due = [item.due for item in self.polled.values() if not item.busy]
        left = min(due, default=now + MAX_TURN) - now
        return min(max(left, MIN_TURN), MAX_TURN)

    def start_due(self, nursery: trio.Nursery) -> None:
        """Starts the polls that are due."""
        now = trio.current_time()
        period = self.period(len(self.polled))
        busy = sum(1 for item in self.polled.values() if item.busy)
        due = [
            (item.due, vm_id)
            for vm_id, item in self.polled.items()
            if item.due <= now and not item.busy
        ]
        for _, vm_id in sorted(due)[: MAX_POLLS - busy]:
            item = self.polled[vm_id]
            item.busy = True
            item.due = max(item.due, now - period) + period
            nursery.start_soon(self.poll_due, vm_id, item)

    async def poll_due(self, vm_id: str, item: Polled) -> None:
        """Polls an engine that is due; looks closer if it is not reached."""
        try:
            for number in range(self.fleet.settings.report_failures):
                if number:
                    await trio.sleep(FAST_RETRY)
                if await self.poll(vm_id):
                    return
            await self.confirm(vm_id)
        finally:
            item.busy = False

    async def poll(self, vm_id: str) -> bool:
        """Fetches one report; returns whether it came."""
        vm = self.fleet.listed_vm(vm_id)
        if vm is None:
            return True
        self.polls += 1
        report = None
        with trio.move_on_after(self.fleet.settings.report_timeout):
            try:
                report = await self.fleet.upstream_client.report(vm)
            except errors.UpstreamError:
                pass
        if report is None:
            POLLS.inc({'result': 'failed'})
            return False
        POLLS.inc({'result': 'done'})
        self.take(report)
        return True

    def take(self, report: upstreams.LoadReport) -> None:
        """Keeps a report and tells the others of what it changes."""
        vm_id = report.upstream
        before = self.reports.get(vm_id)
        self.reports[vm_id] = report
        self.taken_at[vm_id] = trio.current_time() - report.age
        if report.draining:
            self.fleet.news.observe(vm_id, Kind.DRAINING, report.instance)
            return
        restarted = before is not None and before.instance != report.instance
        if before is not None and before.draining and not restarted:
            self.fleet.news.observe(vm_id, Kind.DRAIN_ENDED, report.instance)
        if restarted or self.fleet.facts.is_contradicted(
            vm_id, report.instance
        ):
            self.fleet.news.observe(vm_id, Kind.RETURNED, report.instance)

    async def confirm(self, vm_id: str) -> None:
        """Has others try an upstream that this router does not reach.

        A router that is cut off from an upstream alone must not have the
        whole fleet drop it. So it is called unreachable only if others
        answered and none of them reached it; else this router holds it
        back for itself.
        """
        others = self.fleet.table.answering()
        count = min(self.fleet.settings.indirect_probes, len(others))
        answers: list[bool] = []
        async with trio.open_nursery() as nursery:
            for helper in self.fleet.rng.sample(others, count):
                nursery.start_soon(self.ask, helper, vm_id, answers)
        if answers and not any(answers):
            self.fleet.news.observe(vm_id, Kind.UNREACHABLE)
            return
        self.fleet.news.observe_alone(vm_id)

    async def ask(self, helper: str, vm_id: str, answers: list[bool]) -> None:
        """Asks another router whether it reaches an upstream."""
        timeout = self.fleet.settings.report_timeout * 1.5
        try:
            await self.fleet.link.request(
                helper, messages.UpstreamProbe(vm_id), timeout
            )
        except errors.PeerRefused as exc:
            if exc.args[0] == errors.UpstreamUnreachable.__name__:
                answers.append(False)
            return
        except errors.PeerError:
            return
        answers.append(True)

    async def check(self, vm_id: str) -> None:
        """Looks at once at an engine that an attempt did not reach."""
        now = trio.current_time()
        if now - self.poked.get(vm_id, -math.inf) < 1.0:
            return
        self.poked[vm_id] = now
        if await self.poll(vm_id):
            return
        await trio.sleep(FAST_RETRY)
        if not await self.poll(vm_id):
            await self.confirm(vm_id)
