"""A fleet of routers with admission on an in-memory network."""

from __future__ import annotations

import random

import trio

from bench.decisions import network
from bench.decisions import views
from lavenderbend.coordination import admission
from lavenderbend.coordination import interfaces
from lavenderbend.state import configuration
from lavenderbend.state import requests
from lavenderbend.state import upstreams

Network = network.Network
MemoryLink = network.MemoryLink
View = views.View
ReportBoard = views.ReportBoard
FixedConfiguration = views.FixedConfiguration
engine_vm = views.engine_vm


class Fleet:
    """Routers with admission that share one in-memory network."""

    def __init__(
        self,
        nursery: trio.Nursery,
        routers: int = 3,
        engines: int = 4,
        pool: configuration.Pool | None = None,
        customers: tuple[configuration.Customer, ...] = (),
        settings: admission.AdmissionSettings | None = None,
    ) -> None:
        self.nursery = nursery
        self.pool = pool or configuration.Pool('chat', 'model')
        self.configurations = FixedConfiguration(
            configuration.Configuration(pools=(self.pool,), customers=customers)
        )
        self.network = Network(nursery, 0.001)
        self.board = ReportBoard()
        self.names = [f'router-{index}' for index in range(routers)]
        self.vms = [engine_vm(f'engine-{index}') for index in range(engines)]
        self.views: dict[str, View] = {}
        self.admissions: dict[str, admission.OwnerAdmission] = {}
        for name in self.names:
            view = View(self.names, self.vms, self.board)
            self.views[name] = view
            router = admission.OwnerAdmission(
                name,
                self.network.link(name),
                view,
                self.configurations,
                random.Random(name),
                settings,
            )
            self.admissions[name] = router
            nursery.start_soon(router.run)

    def permit_request(
        self, number: int = 1, **changes
    ) -> interfaces.PermitRequest:
        """Returns a request for a permit; each `number` is another chat."""
        values = {
            'request_id': f'request-{number}',
            'pool': self.pool.name,
            'customer': 'court',
            'chat': (number + 1) * 0x9E3779B97F4A7C15 % 2**64,
            'model': 'chat-1',
            'adapter': None,
            'priority': requests.Priority.NORMAL,
            'prompt_tokens': 100,
            'deadline': trio.current_time() + 30,
        }
        values.update(changes)
        return interfaces.PermitRequest(**values)

    def owner(self) -> str:
        """Returns the owner of the pool's only group."""
        router = self.admissions[self.names[0]]
        router.refresh_owners()
        return router.owner_of(router.directory.groups()[0])

    def loads(self) -> dict[str, int]:
        """Returns the number of permits in use at all routers, by upstream."""
        loads = {vm.id: 0 for vm in self.vms}
        for router in self.admissions.values():
            for permit in router.held.values():
                loads[permit.upstream] += 1
        return loads

    def report(self, loads: dict[str, int], at: float | None = None) -> None:
        """Publishes load reports that were taken at `at`, now by default."""
        taken_at = trio.current_time() if at is None else at
        for upstream, load in loads.items():
            report = upstreams.LoadReport(
                upstream, 'one', load, 0, models=('chat-1',)
            )
            self.board.put(report, taken_at)
