"""Polling of engine load reports, each engine by a few routers."""

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
# the selection is repeated after this time even in an unchanged view, because
# the result of the poll filter may have changed
SELECT_PERIOD_SECONDS = 2.0
MAX_CONCURRENT_POLLS = 32
# delay from a failed poll to its retry
FAST_RETRY_SECONDS = 0.25
# bounds of the wait between two checks for due polls
MIN_WAIT_SECONDS = 0.01
MAX_WAIT_SECONDS = 0.5

POLLS = metrics.counter(
    'lavenderbend_load_reports_total', 'Load reports polled, by result.'
)


@attrs.define
class PolledEngine:
    """Poll schedule of an engine that this router polls.

    Attributes:
        due: Router clock of the next poll.
        busy: Whether a poll is in progress.
    """

    due: float
    busy: bool = False


class ReportPoller:
    """Polls load reports of the engines assigned to this router.

    Attributes:
        fleet: Membership that the reports are applied to.
        reports: Last report of each upstream.
        reported_at: Router clock at which each of them was taken.
        polled: Engines that this router polls, by id.
        checked_at: Router clock of the last immediate check, by engine.
        polls: Number of polls sent.
        shards: Shards of engines that this router polls by default.
        shards_for: Routers for which `shards` was computed.
    """

    def __init__(self, fleet: fleet_lib.FleetMembership) -> None:
        self.fleet = fleet
        self.reports: dict[str, upstreams.LoadReport] = {}
        self.reported_at: dict[str, float] = {}
        self.polled: dict[str, PolledEngine] = {}
        self.checked_at: dict[str, float] = {}
        self.polls = 0
        self.shards: frozenset[int] = frozenset()
        self.shards_for: tuple[str, ...] = ()

    def should_poll(self, vm: upstreams.Vm) -> bool:
        """Returns whether this router polls an engine."""
        if self.fleet.poll_filter is not None:
            return self.fleet.poll_filter(vm)
        return hashing.hash64(vm.id) % POLL_SHARDS in self.shards

    def own_shards(self) -> frozenset[int]:
        """Returns the shards of engines that this router polls.

        Ranking all routers for each of thousands of engines would take most
        of a second at each change of the fleet. For the shards it takes
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

    def engines_to_poll(self) -> list[upstreams.Vm]:
        """Returns the engines that this router polls."""
        return [
            vm
            for vm in self.fleet.listing.vms()
            if vm.kind is upstreams.UpstreamKind.ENGINE
            and vm.region == self.fleet.vm.region
            and self.should_poll(vm)
        ]

    def period(self, engines: int) -> float:
        """Returns the seconds between polls of one engine."""
        settings = self.fleet.settings
        return max(settings.report_period, engines / settings.report_rate)

    def select_engines(self) -> None:
        """Selects the engines to poll and discards the state of others."""
        routers = self.fleet.region_routers()
        if routers != self.shards_for and self.fleet.poll_filter is None:
            self.shards_for = routers
            self.shards = self.own_shards()
        selected = {vm.id for vm in self.engines_to_poll()}
        now = trio.current_time()
        period = self.period(len(selected))
        for vm_id in sorted(selected - self.polled.keys()):
            # random start times within half a period, to spread the polls
            due = now + self.fleet.rng.uniform(0, period / 2)
            self.polled[vm_id] = PolledEngine(due)
        for vm_id in self.polled.keys() - selected:
            del self.polled[vm_id]
        listed = {vm.id for vm in self.fleet.listing.vms()}
        for vm_id in self.reports.keys() - listed:
            del self.reports[vm_id]
            del self.reported_at[vm_id]
        for vm_id in self.checked_at.keys() - listed:
            del self.checked_at[vm_id]

    async def run(self) -> None:
        """Polls engines until cancelled."""
        selected_version = None
        selected_at = -math.inf
        async with trio.open_nursery() as nursery:
            while True:
                now = trio.current_time()
                view_version = self.fleet.view_version
                age = now - selected_at
                # in a large fleet a selection takes milliseconds, so it
                # runs at most once a second while many VMs start
                if age > SELECT_PERIOD_SECONDS or (
                    view_version != selected_version and age > 1.0
                ):
                    self.select_engines()
                    selected_version = view_version
                    selected_at = now
                self.start_due(nursery)
                await trio.sleep(self.until_due())

    def until_due(self) -> float:
        """Returns the seconds until the next poll, within bounds."""
        now = trio.current_time()
        due = [engine.due for engine in self.polled.values() if not engine.busy]
        left = min(due, default=now + MAX_WAIT_SECONDS) - now
        return min(max(left, MIN_WAIT_SECONDS), MAX_WAIT_SECONDS)

    def start_due(self, nursery: trio.Nursery) -> None:
        """Starts the polls that are due."""
        now = trio.current_time()
        period = self.period(len(self.polled))
        busy = sum(1 for engine in self.polled.values() if engine.busy)
        due = [
            (engine.due, vm_id)
            for vm_id, engine in self.polled.items()
            if engine.due <= now and not engine.busy
        ]
        for _, vm_id in sorted(due)[: MAX_CONCURRENT_POLLS - busy]:
            engine = self.polled[vm_id]
            engine.busy = True
            engine.due = max(engine.due, now - period) + period
            nursery.start_soon(self.poll_due, vm_id, engine)

    async def poll_due(self, vm_id: str, engine: PolledEngine) -> None:
        """Polls an engine; asks other routers if all polls fail."""
        try:
            for number in range(self.fleet.settings.report_failures):
                if number:
                    await trio.sleep(FAST_RETRY_SECONDS)
                if await self.poll(vm_id):
                    return
            await self.confirm_unreachable(vm_id)
        finally:
            engine.busy = False

    async def poll(self, vm_id: str) -> bool:
        """Fetches one report; returns whether it arrived in time."""
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
        self.store_report(report)
        return True

    def store_report(self, report: upstreams.LoadReport) -> None:
        """Stores a report and announces the facts that it implies."""
        vm_id = report.upstream
        before = self.reports.get(vm_id)
        self.reports[vm_id] = report
        self.reported_at[vm_id] = trio.current_time() - report.age
        if report.draining:
            self.fleet.processor.observe(vm_id, Kind.DRAINING, report.instance)
            return
        restarted = before is not None and before.instance != report.instance
        if before is not None and before.draining and not restarted:
            self.fleet.processor.observe(
                vm_id, Kind.DRAIN_ENDED, report.instance
            )
        if restarted or self.fleet.facts.is_contradicted(
            vm_id, report.instance
        ):
            self.fleet.processor.observe(vm_id, Kind.RETURNED, report.instance)

    async def confirm_unreachable(self, vm_id: str) -> None:
        """Asks other routers whether they reach an upstream.

        If only this router is cut off from the upstream, the rest of the
        fleet must keep using it. So the upstream is announced as unreachable
        only if other routers answered and none of them reached it.
        Otherwise it is excluded on this router only.
        """
        others = self.fleet.table.responsive_ids()
        count = min(self.fleet.settings.indirect_probes, len(others))
        answers: list[bool] = []
        async with trio.open_nursery() as nursery:
            for helper in self.fleet.rng.sample(others, count):
                nursery.start_soon(self.request_probe, helper, vm_id, answers)
        if answers and not any(answers):
            self.fleet.processor.observe(vm_id, Kind.UNREACHABLE)
            return
        self.fleet.processor.observe_locally(vm_id)

    async def request_probe(
        self, helper: str, vm_id: str, answers: list[bool]
    ) -> None:
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

    async def check_now(self, vm_id: str) -> None:
        """Polls at once an engine that an attempt did not reach.

        At most one check of an engine runs in a second.
        """
        now = trio.current_time()
        if now - self.checked_at.get(vm_id, -math.inf) < 1.0:
            return
        self.checked_at[vm_id] = now
        if await self.poll(vm_id):
            return
        await trio.sleep(FAST_RETRY_SECONDS)
        if not await self.poll(vm_id):
            await self.confirm_unreachable(vm_id)
