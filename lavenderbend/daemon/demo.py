"""Runs a small fleet under load in one process and measures it."""

from __future__ import annotations

import collections
from typing import Any
from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend import errors
from lavenderbend import load
from lavenderbend.daemon import demo_fleet
from lavenderbend.daemon import demo_report
from lavenderbend.daemon import demo_samples
from lavenderbend.daemon import demo_sites
from lavenderbend.protocol import documents_yaml
from lavenderbend.standin import engine_texts
from lavenderbend.state import upstreams

if TYPE_CHECKING:
    from collections.abc import Callable

    from lavenderbend.load import results
    from lavenderbend.transport import operator_client

SETTLE_SECONDS = 1.5
SERVER_SHUTDOWN_SECONDS = 0.2
PROGRESS_SECONDS = 1.0
# fractions of the load's duration at which the demo changes the fleet
ENGINE_LEAVE_FRACTION = 0.4
RULE_CHANGE_FRACTION = 0.6
ROUTER_STOP_FRACTION = 0.5
DECISION_LIMIT = 1000


class Demo:
    """One demo in progress.

    Attributes:
        plan: Settings of the demo.
        write_progress: Writes a line of progress.
        report: Measurements so far.
        sites: Deployments that take part.
        documents: Configuration of each site, in the order of `sites`.
        load_started_at: Trio clock at the start of the load.
    """

    def __init__(
        self, plan: demo_report.DemoPlan, write_progress: Callable[[str], None]
    ) -> None:
        self.plan = plan
        self.write_progress = write_progress
        self.report = demo_report.DemoReport(plan)
        self.sites = demo_sites.select_sites(plan.deployment)
        self.documents = [demo_sites.load_document(s) for s in self.sites]
        self.load_started_at = 0.0

    async def run(self) -> demo_report.DemoReport:
        """Starts the fleet, sends the load and returns the measurements."""
        async with trio.open_nursery() as standins:
            async with trio.open_nursery() as routers:
                fleet = demo_fleet.DemoFleet(
                    self.sites, self.plan.seed, standins, routers
                )
                await self.run_fleet(fleet)
                routers.cancel_scope.cancel()
            # a server that is cancelled while it sends response headers
            # raises an error of its own; no router sends requests any more,
            # so the remaining responses end within this delay
            await trio.sleep(SERVER_SHUTDOWN_SECONDS)
            standins.cancel_scope.cancel()
        return self.report

    async def run_fleet(self, fleet: demo_fleet.DemoFleet) -> None:
        """Starts the fleet, sends the load and collects the results."""
        self.write_progress(
            f'starting {demo_fleet.ROUTERS} routers, '
            f'{sum(s.engines for s in self.sites)} engines, '
            f'{sum(s.services for s in self.sites)} plain services'
        )
        await fleet.start()
        await self.apply_first_configuration(fleet)
        await trio.sleep(SETTLE_SECONDS)
        await self.send_load(fleet)
        await self.collect_results(fleet)

    def record_event(self, text: str) -> None:
        """Adds an event to the report and writes it as progress."""
        at = trio.current_time() - self.load_started_at
        self.report.events.append((round(at, 2), text))
        self.write_progress(f'{at:6.1f} s  ** {text}')

    async def apply_first_configuration(
        self, fleet: demo_fleet.DemoFleet
    ) -> None:
        """Applies the first configuration to the fleet."""
        document = demo_sites.merge_configurations(self.documents)
        async with fleet.operator() as client:
            response = await post_configuration(
                client, document, 0, 'first configuration'
            )
        self.write_progress(
            f'revision {response["number"]} with {len(document.rules)} rules '
            f'is in force on every router after {response["seconds"]} s'
        )

    async def send_load(self, fleet: demo_fleet.DemoFleet) -> None:
        """Sends the load and changes the fleet meanwhile.

        An engine leaves, the rules change and a router stops.
        """
        self.load_started_at = trio.current_time()
        sampler = demo_samples.Sampler(fleet)
        async with trio.open_nursery() as background:
            background.start_soon(sampler.run)
            background.start_soon(self.show_progress, fleet)
            async with trio.open_nursery() as nursery:
                for site, document in zip(
                    self.sites, self.documents, strict=True
                ):
                    nursery.start_soon(self.send_site, fleet, site, document)
                nursery.start_soon(self.remove_engine, fleet)
                nursery.start_soon(self.change_rules, fleet)
                nursery.start_soon(self.stop_router, fleet)
            background.cancel_scope.cancel()
        self.report.skews = sampler.skews()
        self.report.control = sampler.control()

    async def send_site(
        self,
        fleet: demo_fleet.DemoFleet,
        site: demo_sites.Site,
        document: Any,
    ) -> None:
        """Sends the load of one site."""
        plan = demo_sites.load_plan(
            site, document, self.plan.seconds, self.plan.seed
        )

        def store_result(result: results.LoadResult) -> None:
            self.report.loads[site.name] = result

        self.report.loads[site.name] = await load.run_load(
            plan,
            fleet.caller_urls(),
            engine_texts.answer_text,
            store_result,
            PROGRESS_SECONDS / 2,
        )

    async def show_progress(self, fleet: demo_fleet.DemoFleet) -> None:
        """Writes a line of progress each second, until cancelled."""
        surging = False
        while True:
            await trio.sleep(PROGRESS_SECONDS)
            at = trio.current_time() - self.load_started_at
            surge_active = 0.35 <= at / self.plan.seconds < 0.65
            if surge_active != surging:
                surging = surge_active
                names = ', '.join(n for s in self.sites for n in s.surge)
                verb = 'surge' if surging else 'calm down'
                self.record_event(f'{names} {verb}')
            self.write_progress(f'{at:6.1f} s  {self.progress_line(fleet)}')

    def progress_line(self, fleet: demo_fleet.DemoFleet) -> str:
        """Returns call counts so far and the load of each engine."""
        parts = []
        for site in self.sites:
            result = self.report.loads.get(site.name)
            counts = 'no calls yet'
            if result is not None:
                counts = (
                    f'{result.whole} whole, {result.wrong} wrong, '
                    f'{result.cut} cut, {result.refused} refused'
                )
            loads = ' '.join(
                'out' if e.standin.draining else str(e.load)
                for e in fleet.engines
                if e.site == site.name
            )
            parts.append(f'{site.name}: {counts}; engines {loads}')
        return ' | '.join(parts)

    async def remove_engine(self, fleet: demo_fleet.DemoFleet) -> None:
        """Marks one engine as leaving in the VM list, as the platform does."""
        await trio.sleep(ENGINE_LEAVE_FRACTION * self.plan.seconds)
        engine = fleet.engines[0]
        self.record_event(f'engine {engine.vm.id} leaves')
        fleet.vms.set_state(engine.vm.id, upstreams.VmState.LEAVING)
        monitor = demo_samples.LeavingMonitor(engine)
        self.report.leaving = await monitor.run()

    async def change_rules(self, fleet: demo_fleet.DemoFleet) -> None:
        """Applies a changed rule under load."""
        await trio.sleep(RULE_CHANGE_FRACTION * self.plan.seconds)
        document = demo_sites.merge_configurations(self.documents)
        first, *others = document.rules
        then = attrs.evolve(first.then, timeout=first.then.timeout + 1)
        changed = attrs.evolve(
            document, rules=(attrs.evolve(first, then=then), *others)
        )
        try:
            async with fleet.operator() as client:
                response = await post_configuration(
                    client, changed, 1, 'more time'
                )
        except errors.OperatorError as exc:
            self.record_event(f'the change was not accepted: {exc}')
            return
        missing = ', '.join(response['missing']) or 'nobody'
        self.report.in_force_seconds = response['seconds']
        self.record_event(
            f'revision {response["number"]} in force after '
            f'{response["seconds"]} s, missing: {missing}'
        )

    async def stop_router(self, fleet: demo_fleet.DemoFleet) -> None:
        """Stops one router gracefully."""
        await trio.sleep(ROUTER_STOP_FRACTION * self.plan.seconds)
        daemon = fleet.routers[-1]
        self.record_event(f'{daemon.settings.id} begins to stop')
        stop_started = trio.current_time()
        daemon.stop()
        await daemon.stopped.wait()
        self.report.router_stop_seconds = trio.current_time() - stop_started
        self.record_event(f'{daemon.settings.id} has stopped')

    async def collect_results(self, fleet: demo_fleet.DemoFleet) -> None:
        """Counts runs in the plain services' records and picks a decision.

        The decision with the most attempts is picked, and of those the one
        with the most candidates that were passed over.
        """
        runs: collections.Counter[str] = collections.Counter()
        for service in fleet.services:
            for record in service.log.records:
                if record.idempotency_key:
                    runs[record.idempotency_key] += 1
        self.report.once_runs = collections.Counter(runs.values())
        for result in self.report.loads.values():
            self.report.told_not_run += sum(
                ran is False and runs[key] > 0
                for key, ran in result.once_keys.items()
            )
        async with fleet.operator() as client:
            decisions = await client.get('/v1/decisions', limit=DECISION_LIMIT)
        self.report.decision = max(decisions, key=detail_counts, default=None)


def detail_counts(decision: dict[str, Any]) -> tuple[int, int]:
    """Returns the numbers of attempts and of passed over candidates."""
    attempts = decision['attempts']
    passed_over = sum(len(attempt['passed_over']) for attempt in attempts)
    return len(attempts), passed_over


async def post_configuration(
    client: operator_client.OperatorClient,
    document: Any,
    seen: int,
    reason: str,
) -> dict[str, Any]:
    """Applies a configuration through the operators' interface.

    Args:
        client: Client of the operators' interface.
        document: The configuration.
        seen: Revision that it replaces.
        reason: Reason for the revision history.
    """
    text = documents_yaml.dump_configuration(document)
    return await client.post(
        '/v1/rules/apply',
        text.encode(),
        30.0,
        seen=seen,
        author='demo',
        reason=reason,
    )
