"""Routers, upstreams and the platform of a demo, in one process."""

from __future__ import annotations

import hashlib
import random
import socket
from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend.daemon import demo_sites
from lavenderbend.daemon import router
from lavenderbend.standin import engine
from lavenderbend.standin import engine_core
from lavenderbend.standin import key_value
from lavenderbend.standin import plain_service
from lavenderbend.standin import vm_list
from lavenderbend.standin import weight_store
from lavenderbend.state import settings
from lavenderbend.state import upstreams
from lavenderbend.transport import operator_client

if TYPE_CHECKING:
    from collections.abc import Sequence

HOST = '127.0.0.1'
ROUTERS = 3
VM_LIST_LAG_SECONDS = 1.0
# callers give up idle connections within this time, so that none of them
# is closed under a call that is just being sent
GRACE_SECONDS = 5.0
STREAM_SECONDS = 60.0
SALT = '00112233aabbccdd'


@attrs.define(eq=False)
class Worker:
    """One engine of a demo.

    Attributes:
        vm: Its line in the VM list.
        engine: The stand-in.
        site: Name of its deployment.
    """

    vm: upstreams.Vm
    engine: engine_core.Engine
    site: str

    @property
    def load(self) -> int:
        """Requests that it has taken and not finished."""
        return len(self.engine.running) + len(self.engine.waiting)


class DemoFleet:
    """Everything that a demo runs.

    Attributes:
        sites: The deployments.
        seed: Seed of everything random.
        nursery: Where the platform and the upstreams run.
        router_nursery: Where the routers run.
        store: The stand-in of the key-value service.
        vms: The stand-in of the VM list.
        weights: The stand-in of the weight store.
        workers: The engines.
        services: The plain services.
        routers: The routers.
    """

    def __init__(
        self,
        sites: Sequence[demo_sites.Site],
        seed: int,
        nursery: trio.Nursery,
        router_nursery: trio.Nursery,
    ) -> None:
        self.sites = sites
        self.seed = seed
        self.nursery = nursery
        self.router_nursery = router_nursery
        self.store = key_value.MemoryStore(random.Random(seed))
        self.vms = vm_list.VmListStandIn(lag=VM_LIST_LAG_SECONDS)
        self.weights = weight_store.WeightStore()
        self.workers: list[Worker] = []
        self.services: list[plain_service.PlainService] = []
        self.routers: list[router.RouterDaemon] = []

    async def start(self) -> None:
        """Starts the platform, the upstreams, then the routers."""
        start = self.nursery.start
        store_url = await start(key_value.serve, HOST, 0, self.store)
        list_port = await start(vm_list.serve, HOST, 0, self.vms)
        await start(weight_store.serve, HOST, 0, self.weights)
        vms = []
        for site in self.sites:
            vms += await self.start_engines(site)
            vms += await self.start_services(site)
        self.routers = self.make_routers(store_url, list_port)
        vms += [daemon.vm for daemon in self.routers]
        # what is there before the routers start shows without the lag
        self.vms.newest = {vm.id: vm for vm in vms}
        self.vms.shown = dict(self.vms.newest)
        async with trio.open_nursery() as starting:
            for daemon in self.routers:
                starting.start_soon(self.router_nursery.start, daemon.run)

    async def start_engines(self, site: demo_sites.Site) -> list[upstreams.Vm]:
        """Starts a site's engines and returns their lines."""
        found = []
        for index in range(site.engines):
            name = f'{site.engine_service}-{index + 1}'
            served = engine_core.Engine(
                engine_core.EngineSettings(
                    name=name,
                    models=(site.model,),
                    step_seconds=site.step_seconds,
                    checks_fencing=site.checks_fencing,
                    seed=self.seed * 1000 + index,
                )
            )
            port = await self.nursery.start(engine.serve, HOST, 0, served)
            vm = self.line(
                site,
                index,
                name,
                port,
                site.engine_service,
                upstreams.UpstreamKind.ENGINE,
            )
            self.workers.append(Worker(vm, served, site.name))
            found.append(vm)
        return found

    async def start_services(self, site: demo_sites.Site) -> list[upstreams.Vm]:
        """Starts a site's plain services and returns their lines."""
        found = []
        for index in range(site.services):
            name = f'{site.plain_service}-{index + 1}'
            served = plain_service.PlainService(
                plain_service.PlainSettings(name=name, seed=self.seed)
            )
            port = await self.nursery.start(
                plain_service.serve, HOST, 0, served
            )
            self.services.append(served)
            found.append(
                self.line(
                    site,
                    index,
                    name,
                    port,
                    site.plain_service,
                    upstreams.UpstreamKind.SERVICE,
                )
            )
        return found

    def line(
        self,
        site: demo_sites.Site,
        index: int,
        name: str,
        port: int,
        service: str,
        kind: upstreams.UpstreamKind,
    ) -> upstreams.Vm:
        """Returns the VM list's line of an upstream."""
        zones = site.availability_zones
        zone = zones[index % len(zones)]
        return upstreams.Vm(name, HOST, port, zone, service, kind)

    def make_routers(
        self, store_url: str, list_port: int
    ) -> list[router.RouterDaemon]:
        """Returns the routers, not yet running."""
        credential = demo_sites.OPERATOR_CREDENTIAL
        digest = hashlib.sha256((SALT + credential).encode()).hexdigest()
        zones = self.sites[0].availability_zones
        daemons = []
        for index, port in enumerate(free_ports(ROUTERS)):
            item = settings.RouterSettings(
                id=f'router-{index + 1}',
                availability_zone=zones[index % len(zones)],
                key_value=settings.KeyValueSettings(
                    (store_url,), prefix='/lavenderbend/demo/'
                ),
                callers=settings.CallerSettings(HOST, 0),
                operators=settings.OperatorSettings(
                    f'{SALT}${digest}', HOST, 0
                ),
                peers=settings.PeerSettings(HOST, port),
                vm_list=settings.VmListSettings(
                    settings.VmListKind.HTTP,
                    f'http://{HOST}:{list_port}/vms',
                    interval_seconds=1.0,
                ),
                stop=settings.StopSettings(GRACE_SECONDS, STREAM_SECONDS),
                seed=self.seed + index,
            )
            daemons.append(router.RouterDaemon(item))
        return daemons

    def caller_urls(self) -> list[str]:
        """Returns where callers reach the routers."""
        return [f'http://{HOST}:{r.caller_port}' for r in self.routers]

    def operator(self, index: int = 0) -> operator_client.OperatorClient:
        """Returns a client of a router's operators' interface."""
        port = self.routers[index].operator_port
        return operator_client.OperatorClient(
            f'http://{HOST}:{port}', demo_sites.OPERATOR_CREDENTIAL
        )


def free_ports(count: int) -> list[int]:
    """Returns ports that nobody listens at now.

    Peers must know each other's ports before they bind them, so these
    cannot be left to the system at the time of binding.
    """
    sockets = [socket.socket() for _ in range(count)]
    try:
        for item in sockets:
            item.bind((HOST, 0))
        return [item.getsockname()[1] for item in sockets]
    finally:
        for item in sockets:
            item.close()
