"""Forwarding routers in one process, each with its own paths to upstreams.

A router's connections to upstreams can be cut while callers, the store and the
other routers still reach it.
"""

from __future__ import annotations

import contextvars
import enum
import socket

import attrs
import httpx
import trio

from lavenderbend.daemon import forwarding
from lavenderbend.protocol import documents_yaml
from lavenderbend.transport import socket_options
from tests import platform_standins as standins
from tests.integration import forwarding_fleet

ROUTER = contextvars.ContextVar('router', default='')
DEADLINE_SECONDS = 5.0
# a kind of request by its path; `desk` may run only once
PATHS = {'chat': '/chat/1', 'desk': '/desk/send', 'look': '/desk/look/1'}
BODIES = (
    b''.join(b'id: %d\ndata: x%d\n\n' % (n, n) for n in range(1, 6)),
    *(b'did ' + path.encode() for path in PATHS.values()),
)


class Cut(enum.Enum):
    """What happens to a router's connections to upstreams."""

    SILENT = 'nothing passes, and new connections hang'
    RESET = 'open ones are reset, new ones are refused'
    REFUSED = 'open ones live on, new ones are refused'


class Paths:
    """The paths from routers to upstreams.

    Attributes:
        ports: Ports of the upstreams.
        cuts: Cuts in force, by router.
        streams: Connections to upstreams, by router.
    """

    def __init__(self):
        self.ports = set()
        self.cuts = {}
        self.streams = {}
        self.connect_unharmed = socket_options.connect

    async def connect(self, host, port):
        if port not in self.ports:
            return await self.connect_unharmed(host, port)
        router = ROUTER.get()
        cut = self.cuts.get(router)
        if cut is Cut.SILENT:
            await trio.sleep_forever()
        if cut is not None:
            raise ConnectionRefusedError
        stream = await self.connect_unharmed(host, port)
        stream = Stream(stream)
        self.streams.setdefault(router, []).append(stream)
        return stream

    def cut(self, router, cut):
        self.cuts[router] = cut
        for stream in self.streams.pop(router, ()):
            if stream.socket.fileno() < 0:
                continue
            stream.silent = cut is Cut.SILENT
            if cut is Cut.RESET:
                stream.socket.shutdown(socket.SHUT_RDWR)

    def heal(self):
        self.cuts.clear()


class Stream:
    """A connection that may fall silent for good.

    Attributes:
        stream: The TCP stream.
        silent: Whether nothing passes any more.
    """

    def __init__(self, stream):
        self.stream = stream
        self.socket = stream.socket
        self.silent = False

    async def send_all(self, data):
        if not self.silent:
            await self.stream.send_all(data)

    async def receive_some(self, max_bytes=None):
        if not self.silent:
            data = await self.stream.receive_some(max_bytes)
            if not self.silent:
                return data
        await trio.sleep(socket_options.USER_TIMEOUT_MILLISECONDS / 1000)
        raise trio.BrokenResourceError


@attrs.frozen
class Try:
    """The first try of a caller.

    Attributes:
        router: Host of the router that got it.
        kind: Key of `PATHS`.
        id: Id of the request.
        began: Time at which it was sent.
        status: Status of the answer, 0 if there was none.
        seconds: Time that it took.
        whole: Whether the body was that of an upstream.
    """

    router: str
    kind: str
    id: str
    began: float
    status: int
    seconds: float
    whole: bool


class PartitionedFleet(forwarding_fleet.ForwardingFleet):
    """Routers that run in the process of the test.

    Attributes:
        paths: Their paths to upstreams.
        daemons: The routers, by host.
        ended: Set when a router has ended, by host.
        nursery: Runs the routers.
        tries: What callers got.
        new_connections: Opens a connection for each request.
    """

    worker_class = standins.Worker

    def __init__(self, folder, monkeypatch, routers):
        super().__init__(folder, routers)
        self.workers = {
            name: self.worker_class(name, worker.service)
            for name, worker in self.workers.items()
        }
        self.paths = Paths()
        monkeypatch.setattr(socket_options, 'connect', self.paths.connect)
        self.daemons = {}
        self.ended = {}
        self.nursery = None
        self.tries = []
        self.sent = 0
        self.new_connections = httpx.AsyncClient(
            timeout=2 * DEADLINE_SECONDS,
            limits=httpx.Limits(max_keepalive_connections=0),
        )

    async def start(self, nursery):
        self.nursery = nursery
        await nursery.start(self.store.serve)
        for worker in self.workers.values():
            await nursery.start(worker.serve)
            self.paths.ports.add(worker.port)
            self.store.put(f'servers/{worker.instance}', worker.entry())
        self.store.put('op/config', standins.configuration())
        for router in self.routers:
            self.write_settings(router)
            await self.start_router(router.host)
        await self.until(self.know_each_other)

    async def start_router(self, host):
        path = self.folder / f'{host}.yaml'
        settings = documents_yaml.load_settings(str(path))
        self.daemons[host] = forwarding.ForwardingDaemon(settings)
        self.ended[host] = trio.Event()
        token = ROUTER.set(host)
        await self.nursery.start(self.run_router, host)
        ROUTER.reset(token)

    async def run_router(self, host, task_status):
        await self.daemons[host].run(task_status=task_status)
        self.ended[host].set()

    async def know_each_other(self):
        return all(
            one.ready() and one.peers.fleet_size() == len(self.routers)
            for one in self.daemons.values()
        )

    async def load(self, seconds, per_second):
        """Sends each router requests of all kinds, by new and kept callers."""
        until = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            for router in self.routers:
                nursery.start_soon(
                    self.load_router, nursery, router, until, per_second
                )

    async def load_router(self, nursery, router, until, per_second):
        # closed by the end of the test; requests outlive the load
        client = httpx.AsyncClient(timeout=2 * DEADLINE_SECONDS)
        number = 0
        while trio.current_time() < until:
            kind = list(PATHS)[number % len(PATHS)]
            kept = client if number % 2 else None
            nursery.start_soon(self.send, router, kind, kept)
            number += 1
            await trio.sleep(1 / per_second)

    async def send(self, router, kind, client):
        self.sent += 1
        number = self.sent
        began = trio.current_time()
        path = PATHS[kind]
        try:
            answer = await forwarding_fleet.ask_by(
                client or self.new_connections,
                router,
                path,
                number,
                'POST',
                standins.KEY,
            )
            status, whole = answer.status_code, answer.content in BODIES
        except httpx.HTTPError:
            status, whole = 0, False
        seconds = trio.current_time() - began
        self.tries.append(
            Try(router.host, kind, f'r{number}', began, status, seconds, whole)
        )

    def served(self, hosts, kind=''):
        """Returns the share of first tries at some routers that were served."""
        statuses = [
            one.status
            for one in self.tries
            if one.router in hosts and kind in ('', one.kind)
        ]
        return statuses.count(200) / len(statuses)

    def ran_twice(self):
        """Returns the requests of kind `desk` that ran more than once."""
        ran = [
            request.headers['lavenderbend-request-id']
            for worker in self.workers.values()
            for request in worker.ran
            if request.target == PATHS['desk']
        ]
        return sorted({one for one in ran if ran.count(one) > 1})
