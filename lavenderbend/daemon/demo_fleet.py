"""Routers, upstreams and platform services of a demo, in one process."""

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
# callers close idle connections within this time, so the router closes none
# on which a call is being sent
GRACE_SECONDS = 5.0
STREAM_SECONDS = 60.0
SALT = '00112233aabbccdd'


@attrs.define(eq=False)
class DemoEngine:
    """One engine of a demo.

    Attributes:
        vm: Its entry in the VM list.
        standin: The stand-in engine.
        site: Name of its deployment.
    """

    vm: upstreams.Vm
    standin: engine_core.Engine
    site: str

    @property
    def load(self) -> int:
        """Requests that it runs or that wait in its queue."""
        return len(self.standin.running) + len(self.standin.waiting)


class DemoFleet:
    """The routers, upstreams and platform services of a demo.

    Attributes:
        sites: The deployments.
        seed: Seed of all random choices.
        nursery: Runs the platform services and the upstreams.
        router_nursery: Runs the routers.
        store: The stand-in of the key-value service.
        vms: The stand-in of the VM list.
        weights: The stand-in of the weight store.
        engines: The engines.
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
        self.engines: list[DemoEngine] = []
        self.services: list[plain_service.PlainService] = []
        self.routers: list[router.RouterDaemon] = []

    async def start(self) -> None:
        """Starts the platform services, the upstreams, then the routers."""
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
        # VMs that exist before the routers start are listed without the lag
        self.vms.newest = {vm.id: vm for vm in vms}
        self.vms.shown = dict(self.vms.newest)
        async with trio.open_nursery() as starting:
            for daemon in self.routers:
                starting.start_soon(self.router_nursery.start, daemon.run)

    async def start_engines(self, site: demo_sites.Site) -> list[upstreams.Vm]:
        """Starts a site's engines and returns their VM list entries."""
        vms = []
        for index in range(site.engines):
            name = f'{site.engine_service}-{index + 1}'
            standin = engine_core.Engine(
                engine_core.EngineSettings(
                    name=name,
                    models=(site.model,),
                    step_seconds=site.step_seconds,
                    checks_fencing=site.checks_fencing,
                    seed=self.seed * 1000 + index,
                )
            )
            port = await self.nursery.start(engine.serve, HOST, 0, standin)
            vm = self.make_vm(
                site,
                index,
                name,
                port,
                site.engine_service,
                upstreams.UpstreamKind.ENGINE,
            )
            self.engines.append(DemoEngine(vm, standin, site.name))
            vms.append(vm)
        return vms

    async def start_services(self, site: demo_sites.Site) -> list[upstreams.Vm]:
        """Starts a site's plain services and returns their VM list entries."""
        vms = []
        for index in range(site.services):
            name = f'{site.plain_service}-{index + 1}'
            standin = plain_service.PlainService(
                plain_service.PlainSettings(name=name, seed=self.seed)
            )
            port = await self.nursery.start(
                plain_service.serve, HOST, 0, standin
            )
            self.services.append(standin)
            vms.append(
                self.make_vm(
                    site,
                    index,
                    name,
                    port,
                    site.plain_service,
                    upstreams.UpstreamKind.SERVICE,
                )
            )
        return vms

    def make_vm(
        self,
        site: demo_sites.Site,
        index: int,
        name: str,
        port: int,
        service: str,
        kind: upstreams.UpstreamKind,
    ) -> upstreams.Vm:
        """Returns the VM list entry of an upstream."""
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
            router_settings = settings.RouterSettings(
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
            daemons.append(router.RouterDaemon(router_settings))
        return daemons

    def caller_urls(self) -> list[str]:
        """Returns the base URLs at which callers reach the routers."""
        return [f'http://{HOST}:{r.caller_port}' for r in self.routers]

    def operator(self, index: int = 0) -> operator_client.OperatorClient:
        """Returns a client of a router's operators' interface."""
        port = self.routers[index].operator_port
        return operator_client.OperatorClient(
            f'http://{HOST}:{port}', demo_sites.OPERATOR_CREDENTIAL
        )


def free_ports(count: int) -> list[int]:
    """Returns ports of this host that are free now.

    The VM list contains the routers' peer ports before the routers bind
    them, so the system cannot assign these ports at the time of binding.
    """
    sockets = [socket.socket() for _ in range(count)]
    try:
        for listener in sockets:
            listener.bind((HOST, 0))
        return [listener.getsockname()[1] for listener in sockets]
    finally:
        for listener in sockets:
            listener.close()
