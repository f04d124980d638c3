"""A whole fleet of real processes with a proxy on each path."""

from __future__ import annotations

import contextlib
import hashlib
import json
import math
from typing import Any
from typing import TYPE_CHECKING

import attrs
import httpx
import trio
import yaml

from tests.integration import checkers
from tests.integration import ports
from tests.integration import processes
from tests.integration import proxy

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    import pathlib

OPERATOR_SECRET = 'fleet-operator'
HOST = '127.0.0.1'
CLOCK_READS = 10


@attrs.frozen
class Plan:
    """What a fleet consists of.

    Attributes:
        zones: Availability zones, over which all is spread.
        routers: How many routers.
        engines: How many engines, and their service's name.
        services: How many plain services, and their service's name.
        document: The first accepted configuration, as YAML text.
        step_seconds: Time of one engine step.
        lag_seconds: Lag of the VM list.
        grace_seconds: Balancer grace of routers.
    """

    document: str
    zones: tuple[str, ...] = ('sala-a', 'sala-b', 'sala-c')
    routers: int = 3
    engines: int = 3
    engine_service: str = 'assistant'
    services: int = 1
    plain_service: str = 'mailbox'
    step_seconds: float = 0.004
    lag_seconds: float = 0.5
    grace_seconds: float = 0.3


def salted(secret: str, salt: str = 'beefbeef') -> str:
    digest = hashlib.sha256((salt + secret).encode()).hexdigest()
    return f'{salt}${digest}'


def read_run(upstream: str, line: dict[str, Any], ahead: float) -> checkers.Run:
    """Returns a run; `ahead` is how far the upstream's clock is ahead."""
    ended = math.inf if line['ended'] is None else line['ended'] - ahead
    return checkers.Run(
        upstream,
        line['request_id'],
        line['idempotency_key'],
        line['started'] - ahead,
        ended,
    )


class Upstream:
    """An engine or plain service behind its proxy."""

    def __init__(
        self, process: processes.Process, port: int, line: dict[str, Any]
    ) -> None:
        self.process = process
        self.port = port
        self.line = line
        self.proxy = proxy.FaultProxy(HOST, port)
        self.last_runs: list[checkers.Run] = []

    @property
    def id(self) -> str:
        return self.line['id']


class Router:
    """A router with a proxy on each of its paths."""

    def __init__(self, name: str, zone: str, folder: pathlib.Path) -> None:
        self.id = name
        self.zone = zone
        self.settings_path = folder / f'{name}.yaml'
        self.callers_port = ports.PORTS.take()
        self.operators_port = ports.PORTS.take()
        self.peers_port = ports.PORTS.take()
        self.peer_proxy = proxy.FaultProxy(HOST, self.peers_port)
        self.key_value_proxy: proxy.FaultProxy | None = None
        self.vm_list_proxy: proxy.FaultProxy | None = None
        self.process = processes.Process(
            name,
            ['router', '--settings', str(self.settings_path)],
            folder / f'{name}.log',
        )

    @property
    def url(self) -> str:
        return f'http://{HOST}:{self.callers_port}'

    @property
    def operators_url(self) -> str:
        return f'http://{HOST}:{self.operators_port}'

    async def start(self, plan: Plan) -> None:
        document = {
            'id': self.id,
            'availability_zone': self.zone,
            'callers': {'port': self.callers_port},
            'operators': {
                'port': self.operators_port,
                'credential': salted(OPERATOR_SECRET),
            },
            'peers': {
                'port': self.peers_port,
                'advertised_port': self.peer_proxy.port,
            },
            'key_value': {
                'endpoints': [f'http://{HOST}:{self.key_value_proxy.port}'],
                'timeout_seconds': '1s',
            },
            'vm_list': {
                'adapter': 'http',
                'url': f'http://{HOST}:{self.vm_list_proxy.port}/vms',
                'interval_seconds': '500ms',
            },
            'stop': {'balancer_grace_seconds': f'{plan.grace_seconds}s'},
        }
        self.settings_path.write_text(yaml.safe_dump(document))
        await self.process.start()

    async def wait_ready(self) -> None:
        await self.process.wait_ready(f'{self.url}/readyz')


class Fleet:
    """The processes of one test and what they recorded."""

    def __init__(self, plan: Plan, folder: pathlib.Path) -> None:
        self.plan = plan
        self.folder = folder
        self.key_value_port = ports.PORTS.take()
        self.vm_list_port = ports.PORTS.take()
        self.key_value = self.standin('key-value', self.key_value_port)
        self.vm_list = self.standin(
            'vm-list',
            self.vm_list_port,
            settings={'lag_seconds': f'{plan.lag_seconds}s'},
        )
        self.engines: list[Upstream] = []
        self.services: list[Upstream] = []
        self.routers: list[Router] = []
        self.client = httpx.AsyncClient(timeout=10.0)

    def standin(
        self, kind: str, port: int, name: str = '', settings: Any = None
    ) -> processes.Process:
        arguments = ['standin', kind, '--port', str(port)]
        if name:
            arguments += ['--name', name]
        if settings is not None:
            path = self.folder / f'{name or kind}-settings.yaml'
            path.write_text(yaml.safe_dump(settings))
            arguments += ['--settings', str(path)]
        log = self.folder / f'{name or kind}.log'
        return processes.Process(name or kind, arguments, log)

    def add_upstream(
        self, kind: str, service: str, number: int, settings: Any
    ) -> Upstream:
        port = ports.PORTS.take()
        name = f'{service}-{number}'
        command = 'engine' if kind == 'engine' else 'plain-service'
        line = {
            'id': name,
            'host': HOST,
            'availability_zone': self.plan.zones[number % len(self.plan.zones)],
            'service': service,
            'kind': kind,
            'state': 'live',
        }
        process = self.standin(command, port, name, settings)
        return Upstream(process, port, line)

    async def start(self, nursery: trio.Nursery) -> None:
        plan = self.plan
        await self.key_value.start()
        await self.vm_list.start()
        for number in range(plan.engines):
            settings = {
                'models': [plan.engine_service],
                'step_seconds': plan.step_seconds,
            }
            self.engines.append(
                self.add_upstream(
                    'engine', plan.engine_service, number, settings
                )
            )
        for number in range(plan.services):
            self.services.append(
                self.add_upstream('service', plan.plain_service, number, None)
            )
        await self.start_upstreams(nursery)
        await self.key_value.wait_ready(
            f'http://{HOST}:{self.key_value_port}/standin/faults'
        )
        await self.vm_list.wait_ready(self.vm_list_url)
        for upstream in self.engines + self.services:
            await self.put_vm(upstream.line)
        await self.start_routers(nursery)

    @property
    def vm_list_url(self) -> str:
        return f'http://{HOST}:{self.vm_list_port}/vms'

    async def wait_listed(self, count: int) -> None:
        """Waits until the lagging list shows that many VMs."""
        with trio.fail_after(30):
            while True:
                answer = await self.client.get(self.vm_list_url)
                if len(answer.json()['vms']) >= count:
                    return
                await trio.sleep(0.05)

    async def start_upstreams(self, nursery: trio.Nursery) -> None:
        for upstream in self.engines + self.services:
            await upstream.process.start()
            await nursery.start(upstream.proxy.run)
            upstream.line['port'] = upstream.proxy.port
        for upstream in self.engines + self.services:
            await upstream.process.wait_ready(
                f'http://{HOST}:{upstream.port}/standin/runs'
            )

    async def start_routers(self, nursery: trio.Nursery) -> None:
        for number in range(self.plan.routers):
            zone = self.plan.zones[number % len(self.plan.zones)]
            await self.make_router(f'entry-{number}', zone, nursery)
        upstreams = len(self.engines) + len(self.services)
        await self.wait_listed(upstreams + len(self.routers))
        for router in self.routers:
            await router.start(self.plan)
        first = self.routers[0]
        await first.process.wait_ready(f'{first.url}/healthz')
        answer = await self.accept(self.plan.document, seen=0)
        answer.raise_for_status()
        for router in self.routers:
            await router.wait_ready()

    async def make_router(
        self, name: str, zone: str, nursery: trio.Nursery
    ) -> Router:
        """Makes a router and has it listed; it is not yet started."""
        router = Router(name, zone, self.folder)
        router.key_value_proxy = proxy.FaultProxy(HOST, self.key_value_port)
        router.vm_list_proxy = proxy.FaultProxy(HOST, self.vm_list_port)
        for path in (
            router.peer_proxy,
            router.key_value_proxy,
            router.vm_list_proxy,
        ):
            await nursery.start(path.run)
        self.routers.append(router)
        await self.put_vm(
            {
                'id': name,
                'host': HOST,
                'port': router.peer_proxy.port,
                'availability_zone': zone,
                'service': 'router',
                'kind': 'router',
                'state': 'live',
            }
        )
        return router

    async def put_vm(self, line: dict[str, Any]) -> None:
        answer = await self.client.put(
            f'{self.vm_list_url}/{line["id"]}', json=line
        )
        answer.raise_for_status()

    async def accept(
        self, document: str, seen: int, router: Router | None = None
    ) -> httpx.Response:
        """Has a configuration accepted through a router."""
        router = router or self.routers[0]
        return await self.client.post(
            f'{router.operators_url}/v1/rules/apply',
            content=document,
            params={'seen': seen, 'author': 'test', 'reason': 'test'},
            headers={'authorization': f'Bearer {OPERATOR_SECRET}'},
        )

    async def read_runs(self, upstream: Upstream) -> None:
        """Reads what an upstream recorded, on the clock of the test.

        Its clock is known to half the time that the answer took: on a busy
        machine the quickest of some answers is taken.
        """
        quickest = math.inf
        for _ in range(CLOCK_READS):
            before = trio.current_time()
            try:
                answer = await self.client.get(
                    f'http://{HOST}:{upstream.port}/standin/runs'
                )
            except httpx.HTTPError:
                return
            after = trio.current_time()
            if after - before >= quickest:
                continue
            quickest = after - before
            document = json.loads(answer.content)
            ahead = document['now'] - (before + after) / 2
            upstream.last_runs = [
                read_run(upstream.id, line, ahead) for line in document['runs']
            ]
            if quickest < checkers.CLOCK_ERROR:
                return

    async def runs(self, *upstreams: Upstream) -> list[checkers.Run]:
        """Returns the runs of some upstreams, of all if none is named.

        The record of a process that was killed is the one last read.
        """
        chosen = upstreams or (*self.engines, *self.services)
        for upstream in chosen:
            await self.read_runs(upstream)
        return [run for item in chosen for run in item.last_runs]

    async def crashes(self) -> int:
        """Returns how often engines crashed, by their instance ids."""
        count = 0
        for engine in self.engines:
            answer = await self.client.get(
                f'http://{HOST}:{engine.port}/standin/runs'
            )
            lines = json.loads(answer.content)['runs']
            instances = {
                line['instance']
                for line in lines
                if line['result'] == 'crashed'
            }
            count += len(instances)
        return count

    async def set_fault(self, upstream: Upstream, **fault: Any) -> None:
        answer = await self.client.post(
            f'http://{HOST}:{upstream.port}/standin/faults', json=fault
        )
        answer.raise_for_status()

    async def end(self) -> None:
        everything = [router.process for router in self.routers]
        everything += [item.process for item in self.engines + self.services]
        everything += [self.key_value, self.vm_list]
        async with trio.open_nursery() as nursery:
            for process in everything:
                nursery.start_soon(process.end)
        await self.client.aclose()


@contextlib.asynccontextmanager
async def running(plan: Plan, folder: pathlib.Path) -> AsyncIterator[Fleet]:
    """Starts a fleet, and ends every process of it at the end."""
    fleet = Fleet(plan, folder)
    async with trio.open_nursery() as nursery:
        try:
            await fleet.start(nursery)
            yield fleet
        finally:
            with trio.CancelScope(shield=True):
                await fleet.end()
            nursery.cancel_scope.cancel()
