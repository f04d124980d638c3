"""Real processes of forwarding routers before stand-ins of the platform."""

from __future__ import annotations

import contextlib

import attrs
import h11
import httpx
import trio
import yaml

from tests import platform_standins as standins
from tests.integration import ports
from tests.integration import processes

ROUTERS = 3
FIRST_HOST = 2
WAIT_SECONDS = 20.0
# as the platform's balancer asks: once a second, out after two misses
ASK_SECONDS = 1.0
MISSES = 2


def host_of(number) -> str:
    """Returns the loopback address of a router."""
    return f'127.0.0.{FIRST_HOST + number}'


@attrs.define
class Router:
    """One router process.

    Attributes:
        host: Its loopback address.
        process: The process.
        callers: Port for callers.
        readiness: Port for the balancer.
        answered: The process that was ready last.
    """

    host: str
    process: processes.Process
    callers: int
    readiness: int
    answered: trio.Process | None = None

    @property
    def url(self) -> str:
        return f'http://{self.host}:{self.callers}'

    async def ready(self) -> bool:
        """Returns whether this process, and no other at its port, is ready."""
        if not self.process.running:
            return False
        process = self.process.process
        async with httpx.AsyncClient(timeout=1.0) as client:
            url = f'http://{self.host}:{self.readiness}/lavenderbend/ready'
            with contextlib.suppress(httpx.HTTPError):
                if (await client.get(url)).status_code == 200:
                    self.answered = process
                    return True
        return False


class ForwardingFleet:
    """Routers behind a balancer, two engines and a plain service."""

    def __init__(self, folder, routers=ROUTERS) -> None:
        self.folder = folder
        self.store = standins.Store()
        self.workers = {
            name: standins.Worker(name, service)
            for name, service in (
                ('i-e1', 'engines'),
                ('i-e2', 'engines'),
                ('i-d1', 'desk'),
            )
        }
        self.peer_port = ports.PORTS.take()
        self.routers = [self.make(host_of(n)) for n in range(routers)]
        self.balancer = Balancer(self.routers)

    def make(self, host) -> Router:
        callers, readiness = ports.PORTS.take(), ports.PORTS.take()
        path = self.folder / f'{host}.yaml'
        return Router(
            host,
            processes.Process(
                host,
                ['router', '--settings', str(path)],
                self.folder / f'{host}.log',
            ),
            callers,
            readiness,
        )

    async def start(self, nursery) -> None:
        await nursery.start(self.store.serve)
        for worker in self.workers.values():
            await nursery.start(worker.serve)
            self.store.put(f'servers/{worker.instance}', worker.entry())
        self.store.put('op/config', standins.configuration())
        for router in self.routers:
            self.write_settings(router)
            await router.process.start()
        for router in self.routers:
            await self.until(router.ready)

    def write_settings(
        self, router, store_port=0, operators=None, grace='300ms', **changes
    ) -> None:
        host = router.host
        store_port = store_port or self.store.port
        forwarding = {
            'listen': {
                'callers': f'{host}:{router.callers}',
                'readiness': f'{host}:{router.readiness}',
                'peers': f'{host}:{self.peer_port}',
            },
            'readiness_path': '/lavenderbend/ready',
            'peers': [f'{host_of(0)}:1'],
            'revocation_seconds': '5s',
            'headers': headers(),
            **changes,
        }
        document = {
            'id': f'router-{host}',
            'availability_zone': 'sala-a',
            'key_value': {
                'adapter': 'platform',
                'endpoints': [f'http://{standins.HOST}:{store_port}'],
                'timeout_seconds': '1s',
            },
            'stop': {
                'balancer_grace_seconds': grace,
                'stream_seconds': '8s',
            },
            'forwarding': forwarding,
            **({'operators': operators} if operators else {}),
        }
        path = self.folder / f'{host}.yaml'
        path.write_text(yaml.safe_dump(document))

    async def until(self, check) -> None:
        """Waits until a check holds."""
        with trio.fail_after(WAIT_SECONDS):
            while True:
                if await check():
                    return
                await trio.sleep(0.05)

    async def end(self) -> None:
        for router in self.routers:
            await router.process.end()


class Balancer:
    """Sends callers to routers that are ready, as the platform's does.

    Attributes:
        misses: Questions in a row without a good answer, by host.
    """

    def __init__(self, routers) -> None:
        self.routers = routers
        self.misses = dict.fromkeys((one.host for one in routers), 0)

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            for router in self.routers:
                nursery.start_soon(self.ask, router)

    async def ask(self, router) -> None:
        while True:
            if await router.ready():
                self.misses[router.host] = 0
            else:
                self.misses[router.host] += 1
            await trio.sleep(ASK_SECONDS)

    def pick(self, rng, last=None) -> Router:
        """Returns a router; all are used if under half are in rotation.

        One other than the last is taken if there is one.
        """
        well = [one for one in self.routers if self.misses[one.host] < MISSES]
        if len(well) * 2 < len(self.routers):
            well = self.routers
        others = [one for one in well if one is not last]
        return rng.choice(others or well)


def headers() -> dict:
    name = 'lavenderbend-{}'.format
    return {
        'request_id': name('request-id'),
        'deadline': name('deadline-ms'),
        'prompt_parts': name('prompt-prefix'),
        'customer': name('tenant'),
        'rank': name('request-priority'),
        'instance': name('expect-instance'),
        'signature': name('response-signature'),
        'not_run': name('not-executed'),
        'load': name('server-load'),
        'leaving': 'server-leaving',
        'rejection_limit': 'server-brittle',
        'reserved': [name('hold')],
    }


async def ask(router, path, number=1, method='POST', key=standins.KEY):
    """Returns the answer to one request on a connection of its own."""
    async with httpx.AsyncClient(timeout=10.0) as client:
        return await ask_by(client, router, path, number, method, key)


async def ask_by(client, router, path, number, method, key):
    """Returns the answer to one request of a client."""
    return await client.request(
        method,
        router.url + path,
        headers={
            'host': 'a.example',
            'authorization': f'Bearer {key}',
            'lavenderbend-request-id': f'r{number}',
            'lavenderbend-deadline-ms': '5000',
        },
        content=b'{}' if method == 'POST' else None,
    )


class KeptCaller:
    """A caller that uses one connection until it is told to close it."""

    def __init__(self, stream) -> None:
        self.stream = stream
        self.protocol = h11.Connection(h11.CLIENT)

    async def ask(self, path, number):
        """Returns status, body, and whether the connection stays open."""
        self.protocol.start_next_cycle() if number > 1 else None
        head = h11.Request(
            method='POST',
            target=path,
            headers=[
                ('host', 'a.example'),
                ('authorization', f'Bearer {standins.KEY}'),
                ('lavenderbend-request-id', f'k{number}'),
                ('lavenderbend-deadline-ms', '5000'),
                ('content-length', '0'),
            ],
        )
        data = self.protocol.send(head)
        data += self.protocol.send(h11.EndOfMessage())
        await self.stream.send_all(data)
        status, body = 0, b''
        while True:
            event = self.protocol.next_event()
            if event is h11.NEED_DATA:
                self.protocol.receive_data(
                    await self.stream.receive_some(65536)
                )
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                stays = self.protocol.our_state is h11.DONE
                return status, body, stays
