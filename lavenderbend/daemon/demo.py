"""A small fleet under load in one process, with a report of what it did."""

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
QUIET_SECONDS = 0.2
PROGRESS_SECONDS = 1.0
# shares of the load's time at which things happen
LEAVE_AT = 0.4
CHANGE_AT = 0.6
STOP_AT = 0.5
DECISIONS_LOOKED_AT = 1000


class Demo:
    """One demo in progress.

    Attributes:
        plan: What it does.
        note: Shows a line of progress.
        report: What it has measured so far.
    """

    def __init__(
        self, plan: demo_report.DemoPlan, note: Callable[[str], None]
    ) -> None:
        self.plan = plan
        self.note = note
        self.report = demo_report.DemoReport(plan)
        self.sites = demo_sites.chosen(plan.deployment)
        self.documents = [demo_sites.load_document(s) for s in self.sites]
        self.began = 0.0

    async def run(self) -> demo_report.DemoReport:
        """Starts everything, sends the load, and measures."""
        async with trio.open_nursery() as standins:
            async with trio.open_nursery() as routers:
                fleet = demo_fleet.DemoFleet(
                    self.sites, self.plan.seed, standins, routers
                )
                await self.run_fleet(fleet)
                routers.cancel_scope.cancel()
            # a server that is cancelled while it sends the head of an answer
            # ends in an error of its own; no router asks any more
            await trio.sleep(QUIET_SECONDS)
            standins.cancel_scope.cancel()
        return self.report

    async def run_fleet(self, fleet: demo_fleet.DemoFleet) -> None:
        """Starts the fleet, sends the load, and looks back."""
        self.note(
            f'starting {demo_fleet.ROUTERS} routers, '
            f'{sum(s.engines for s in self.sites)} engines, '
            f'{sum(s.services for s in self.sites)} plain services'
        )
        await fleet.start()
        await self.accept(fleet)
        await trio.sleep(SETTLE_SECONDS)
        await self.send_load(fleet)
        await self.look_back(fleet)

    def event(self, text: str) -> None:
        """Notes something that happened."""
        at = trio.current_time() - self.began
        self.report.events.append((round(at, 2), text))
        self.note(f'{at:6.1f} s  ** {text}')

    async def accept(self, fleet: demo_fleet.DemoFleet) -> None:
        """Has the first configuration accepted."""
        document = demo_sites.join(self.documents)
        async with fleet.operator() as client:
            answer = await apply(client, document, 0, 'first configuration')
        self.note(
            f'revision {answer["number"]} with {len(document.rules)} rules '
            f'is in force on every router after {answer["seconds"]} s'
        )

    async def send_load(self, fleet: demo_fleet.DemoFleet) -> None:
        """Sends the load while things happen."""
        self.began = trio.current_time()
        sampler = demo_samples.Sampler(fleet)
        async with trio.open_nursery() as around:
            around.start_soon(sampler.run)
            around.start_soon(self.show_progress, fleet)
            async with trio.open_nursery() as nursery:
                for site, document in zip(
                    self.sites, self.documents, strict=True
                ):
                    nursery.start_soon(self.send_site, fleet, site, document)
                nursery.start_soon(self.engine_leaves, fleet)
                nursery.start_soon(self.rules_change, fleet)
                nursery.start_soon(self.router_stops, fleet)
            around.cancel_scope.cancel()
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

        def keep(result: results.LoadResult) -> None:
            self.report.loads[site.name] = result

        self.report.loads[site.name] = await load.run_load(
            plan,
            fleet.caller_urls(),
            engine_texts.answer_text,
            keep,
            PROGRESS_SECONDS / 2,
        )

    async def show_progress(self, fleet: demo_fleet.DemoFleet) -> None:
        """Shows a line each second."""
        surging = False
        while True:
            await trio.sleep(PROGRESS_SECONDS)
            at = trio.current_time() - self.began
            now_surging = 0.35 <= at / self.plan.seconds < 0.65
            if now_surging != surging:
                surging = now_surging
                names = ', '.join(n for s in self.sites for n in s.surge)
                verb = 'surge' if surging else 'calm down'
                self.event(f'{names} {verb}')
            self.note(f'{at:6.1f} s  {self.progress_line(fleet)}')

    def progress_line(self, fleet: demo_fleet.DemoFleet) -> str:
        """Returns counts so far and the load of each engine."""
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
                'out' if w.engine.draining else str(w.load)
                for w in fleet.workers
                if w.site == site.name
            )
            parts.append(f'{site.name}: {counts}; engines {loads}')
        return ' | '.join(parts)

    async def engine_leaves(self, fleet: demo_fleet.DemoFleet) -> None:
        """Takes one engine out, as the platform does."""
        await trio.sleep(LEAVE_AT * self.plan.seconds)
        worker = fleet.workers[0]
        self.event(f'engine {worker.vm.id} leaves')
        fleet.vms.set_state(worker.vm.id, upstreams.VmState.LEAVING)
        watch = demo_samples.LeavingWatch(worker)
        self.report.leaving = await watch.run()

    async def rules_change(self, fleet: demo_fleet.DemoFleet) -> None:
        """Has a change of the rules accepted under load."""
        await trio.sleep(CHANGE_AT * self.plan.seconds)
        document = demo_sites.join(self.documents)
        first, *others = document.rules
        then = attrs.evolve(first.then, timeout=first.then.timeout + 1)
        changed = attrs.evolve(
            document, rules=(attrs.evolve(first, then=then), *others)
        )
        try:
            async with fleet.operator() as client:
                answer = await apply(client, changed, 1, 'more time')
        except errors.OperatorError as exc:
            self.event(f'the change was not accepted: {exc}')
            return
        missing = ', '.join(answer['missing']) or 'nobody'
        self.report.in_force_seconds = answer['seconds']
        self.event(
            f'revision {answer["number"]} in force after '
            f'{answer["seconds"]} s, missing: {missing}'
        )

    async def router_stops(self, fleet: demo_fleet.DemoFleet) -> None:
        """Stops one router gracefully."""
        await trio.sleep(STOP_AT * self.plan.seconds)
        daemon = fleet.routers[-1]
        self.event(f'{daemon.settings.id} begins to stop')
        started = trio.current_time()
        daemon.stop()
        await daemon.stopped.wait()
        self.report.router_stop_seconds = trio.current_time() - started
        self.event(f'{daemon.settings.id} has stopped')

    async def look_back(self, fleet: demo_fleet.DemoFleet) -> None:
        """Checks the upstreams' own records and picks a decision."""
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
            found = await client.get('/v1/decisions', limit=DECISIONS_LOOKED_AT)
        self.report.decision = max(found, key=interest, default=None)


def interest(decision: dict[str, Any]) -> tuple[int, int]:
    """Returns how much there is to see in a decision."""
    attempts = decision['attempts']
    passed = sum(len(attempt['passed_over']) for attempt in attempts)
    return len(attempts), passed


async def apply(
    client: operator_client.OperatorClient,
    document: Any,
    seen: int,
    reason: str,
) -> dict[str, Any]:
    """Has a configuration accepted through the operators' interface."""
    text = documents_yaml.dump_configuration(document)
    return await client.post(
        '/v1/rules/apply',
        text.encode(),
        30.0,
        seen=seen,
        author='demo',
        reason=reason,
    )
