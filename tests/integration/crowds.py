"""Crowds of clients that do not behave, against real processes.

`python -m tests.integration.crowds [NAME...]` prints a table.
"""

from __future__ import annotations

import contextlib
import os
import pathlib
import sys
import tempfile
import uuid

import attrs
import httpx
import trio

from lavenderbend import registry
from tests import platform_standins as standins
from tests.integration import documents
from tests.integration import fleet as chat_fleets
from tests.integration import forwarding_fleet

CLIENTS = 120
# Nearly as many as the connections that a router allows.
MANY_CLIENTS = 1900
# The memory of the smallest machine, for the settings of its router.
MACHINE_MEMORY = '190MiB'
# A client that is refused or closed comes again so often.
VISITS = 4
# Until the clients have sent what they send, if they can.
CROWD_SECONDS = 6.0
# The limits of the users' configuration.
BODY_BYTES = 4 * 1024 * 1024
HEADER_BYTES = 16 * 1024
# The memory and the descriptors of the smallest machine of the users' sites.
MEMORY_MB = 200.0
DESCRIPTORS = 3900
# An ordinary caller comes again so often after a refusal, and waits so long
# in all for an answer before the router counts as one that hangs.
TRIES = 5
PATIENCE_SECONDS = 30.0
COME_BACK_SECONDS = 0.1
OK = 200
COMES_BACK = (0, 429, 503)
SAMPLE_SECONDS = 0.02
LARGE_CHUNK_BYTES = 64 * 1024
FAR_OVER_BYTES = 8_000_000_000
ANSWER_BYTES = 4 * 1024 * 1024
DESKS = 4
DESK_SLOTS = 64
STREAM_GAP_SECONDS = 0.2
SLOW_BYTES = 40_000
SLOW_SECONDS = 0.1
# Of the chat router, and of the operators' interface.
SMALL_BODY_BYTES = 1024 * 1024
SMALL_BODY_CLIENTS = 240

KINDS = registry.Registry('kind of clients')
# of each try of the ordinary callers, 0 for none; printed where a test fails
STATUSES = []
CONNECTION_ERRORS = (OSError, trio.BrokenResourceError)


@attrs.define
class Client:
    """One connection of a client.

    Attributes:
        stream: The connection.
        path: The path that it asks for.
        credential: Its credential, empty if it has none.
        body_bytes: The limit of bodies at the server.
    """

    stream: trio.SocketStream
    path: str
    credential: str
    body_bytes: int

    async def send(self, data):
        await self.stream.send_all(data)

    async def head(self, *fields, method='POST'):
        lines = [
            f'{method} {self.path} HTTP/1.1',
            'host: a.example',
            'lavenderbend-request-id: crowd',
            f'lavenderbend-deadline-ms: {PATIENCE_SECONDS * 1000:.0f}',
            *fields,
        ]
        if self.credential:
            lines.append(f'authorization: Bearer {self.credential}')
        await self.send('\r\n'.join([*lines, '', '']).encode())

    async def chunked(self, *fields):
        await self.head('transfer-encoding: chunked', *fields)

    async def without_end(self, part):
        while True:
            await self.send(part)

    async def chunks(self, size):
        """Sends chunks until one is missing to the limit."""
        part = chunk(b'x' * size)
        at_once = max(1, LARGE_CHUNK_BYTES // len(part))
        left = self.body_bytes // size - 1
        while left > 0:
            count = min(left, at_once)
            await self.send(part * count)
            left -= count


def chunk(data):
    return b'%x\r\n' % len(data) + data + b'\r\n'


@KINDS.register('large_chunks')
async def large_chunks(client):
    await client.chunked()
    await client.chunks(LARGE_CHUNK_BYTES)


@KINDS.register('length_but_a_byte')
async def length_but_a_byte(client):
    await client.head(f'content-length: {client.body_bytes}')
    await client.send(b'x' * (client.body_bytes - 1))


@KINDS.register('whole_bodies')
async def whole_bodies(client):
    await client.head(f'content-length: {client.body_bytes}')
    await client.send(b'x' * client.body_bytes)


@KINDS.register('tiny_chunks')
async def tiny_chunks(client):
    await client.chunked()
    await client.chunks(2)


@KINDS.register('small_chunks')
async def small_chunks(client):
    await client.chunked()
    await client.chunks(64)


@KINDS.register('length_far_over')
async def length_far_over(client):
    await client.head(f'content-length: {FAR_OVER_BYTES}')
    await client.without_end(b'x' * LARGE_CHUNK_BYTES)


@KINDS.register('length_far_over_expect')
async def length_far_over_expect(client):
    await client.head(
        f'content-length: {FAR_OVER_BYTES}', 'expect: 100-continue'
    )
    await client.without_end(b'x' * LARGE_CHUNK_BYTES)


@KINDS.register('chunks_without_end')
async def chunks_without_end(client):
    await client.chunked()
    await client.without_end(chunk(b'x' * LARGE_CHUNK_BYTES))


@KINDS.register('one_chunk_far_over')
async def one_chunk_far_over(client):
    await client.chunked()
    await client.send(b'%x\r\n' % FAR_OVER_BYTES)
    await client.without_end(b'x' * LARGE_CHUNK_BYTES)


@KINDS.register('extensions')
async def extensions(client):
    await client.chunked()
    part = b'1;' + b'x' * (HEADER_BYTES // 2) + b'\r\ny\r\n'
    await client.without_end(part * 8)


@KINDS.register('trailers')
async def trailers(client):
    await client.chunked()
    await client.send(b'0\r\n')
    await client.without_end(b'x-a: b\r\n' * 1024)


@KINDS.register('heads_without_end')
async def heads_without_end(client):
    await client.send(b'POST / HTTP/1.1\r\nhost: a.example\r\n')
    await client.without_end(b'x-a: b\r\n')


@KINDS.register('heads_of_many_fields')
async def heads_of_many_fields(client):
    fields = [f'{chr(97 + n % 26)}:' for n in range(HEADER_BYTES // 6)]
    while True:
        await client.head(*fields, method='GET')


@KINDS.register('heads_short_of_end')
async def heads_short_of_end(client):
    await client.send(b'POST / HTTP/1.1\r\nhost: a.example\r\nx-a: ')
    await client.send(b'x' * (HEADER_BYTES - 1024))


@KINDS.register('pipelined')
async def pipelined(client):
    while True:
        await client.head(method='GET')


@KINDS.register('pipelined_bodies')
async def pipelined_bodies(client):
    body = b'x' * LARGE_CHUNK_BYTES
    while True:
        await client.head(f'content-length: {len(body)}')
        await client.send(body)


@KINDS.register('idle')
async def idle(client):
    """Sends nothing at all."""


@KINDS.register('unread_answers')
async def unread_answers(client):
    """Asks for a large answer and reads nothing of it."""
    await client.head('content-length: 0')


class SlowStream:
    """A stream that is read slowly."""

    def __init__(self, stream):
        self.stream = stream
        self.socket = stream.socket
        self.send_all = stream.send_all

    async def receive_some(self, _):
        await trio.sleep(SLOW_SECONDS)
        return await self.stream.receive_some(SLOW_BYTES)


class Desk(standins.Worker):
    """A plain service that reads bodies slowly, and has large answers."""

    async def connection(self, stream):
        await super().connection(SlowStream(stream))

    def entry(self, state='ready'):
        return {**super().entry(state), 'slots': DESK_SLOTS}

    async def well(self, request, stream, protocol):
        self.note_run(request)
        headers = self.headers(request)
        data = standins.encode(protocol, 200, headers, b'x' * ANSWER_BYTES)
        await stream.send_all(data)


class Fleet(forwarding_fleet.ForwardingFleet):
    """One forwarding router, its engines, and services that read slowly.

    Attributes:
        max_connections: Connections of callers that the router allows.
        memory: Memory of its machine as its settings say, empty for none.
    """

    def __init__(self, folder, max_connections, memory=''):
        super().__init__(folder, routers=1)
        self.max_connections = max_connections
        self.memory = memory
        self.workers.pop('i-d1')
        for number in range(DESKS):
            desk = Desk(f'i-d{number}', 'desk')
            self.workers[desk.instance] = desk

    @property
    def subject(self):
        return self.routers[0]

    async def start(self, nursery):
        await super().start(nursery)
        timeout = PATIENCE_SECONDS * 1000
        value = standins.configuration(version=2)
        for route in value['routes']:
            route['timeoutMs'] = timeout
        value['limits'] |= {
            'maxBodyBytes': BODY_BYTES,
            'maxHeaderBytes': HEADER_BYTES,
            'headerTimeoutMs': 3000,
        }
        self.store.put('op/config', value)
        await self.until(self.takes_large_bodies)

    async def streams(self):
        """Returns whether an engine has begun a stream at its slow pace."""
        engines = (self.workers[name] for name in ('i-e1', 'i-e2'))
        return any(
            request.target == '/chat/1' for e in engines for request in e.ran
        )

    async def takes_large_bodies(self):
        body = b'x' * (BODY_BYTES // 2)
        return await ordinary(self.subject.url, '/chat/large', body)

    def write_settings(self, router, **changes):
        if self.memory:
            changes['memory_bytes'] = self.memory
        super().write_settings(router, **changes)
        path = self.folder / f'{router.host}.yaml'
        with path.open('a') as file:
            file.write(
                f'callers: {{max_connections: {self.max_connections}}}\n'
            )


async def ordinary(
    url, path, body=b'{}', tries=1, credential=standins.KEY, method='POST'
):
    """Returns whether a caller that behaves gets an answer."""
    with trio.move_on_after(PATIENCE_SECONDS):
        return await served_in(method, url + path, body, tries, credential)
    return False


async def served_in(method, url, body, tries, credential):
    """Returns whether a caller gets an answer in so many tries."""
    for number in range(tries):
        headers = {
            'host': 'a.example',
            'authorization': f'Bearer {credential}',
            'lavenderbend-request-id': f'ordinary-{number}-{uuid.uuid4().hex}',
            'lavenderbend-deadline-ms': f'{PATIENCE_SECONDS * 1000:.0f}',
        }
        status, wait = await one_try(method, url, headers, body)
        STATUSES.append(status)
        if status == OK:
            return True
        if status not in COMES_BACK:
            return False
        await trio.sleep(wait)
    return False


async def one_try(method, url, headers, body):
    """Returns the status of one try, 0 for none, and when to come back."""
    with contextlib.suppress(httpx.HTTPError):
        async with httpx.AsyncClient(timeout=PATIENCE_SECONDS) as client:
            reply = await client.request(
                method, url, headers=headers, content=body
            )
            wait = float(reply.headers.get('retry-after', COME_BACK_SECONDS))
            return reply.status_code, wait
    return 0, COME_BACK_SECONDS


@attrs.define
class Usage:
    """What a process holds, sampled until cancelled.

    Attributes:
        pid: The process.
        port: Its port; bytes that arrived there and were not read count.
        peak_mb: The most memory, with the bytes not read.
        peak_descriptors: The most open descriptors.
    """

    pid: int
    port: int
    peak_mb: float = 0.0
    peak_descriptors: int = 0

    async def sample(self):
        while True:
            with contextlib.suppress(FileNotFoundError):
                held = self.resident() + self.unread()
                self.peak_mb = max(self.peak_mb, held / 1e6)
                self.peak_descriptors = max(
                    self.peak_descriptors, len(os.listdir(self.files))
                )
            await trio.sleep(SAMPLE_SECONDS)

    @property
    def files(self):
        return f'/proc/{self.pid}/fd'

    def resident(self):
        rows = pathlib.Path(f'/proc/{self.pid}/status').read_text()
        for row in rows.splitlines():
            if row.startswith('VmRSS'):
                return int(row.split()[1]) * 1024
        return 0

    def unread(self):
        """Returns the bytes in the receive queues of the port."""
        rows = pathlib.Path('/proc/net/tcp').read_text().splitlines()[1:]
        total = 0
        for row in rows:
            _, local, _, _, queues, *_ = row.split()
            if int(local.rpartition(':')[2], 16) == self.port:
                total += int(queues.rpartition(':')[2], 16)
        return total


@attrs.define
class Outcome:
    """How a server stood a crowd.

    Attributes:
        alive: Whether its process lives.
        peak_mb: The most memory that it held, with bytes not read.
        peak_descriptors: The most open descriptors.
        served_before: Whether an ordinary caller was served before.
        served_beside: Whether an ordinary caller was served beside the crowd.
        large_beside: Whether one with a large body was.
        served_after: Whether one was served after the crowd had gone.
        statuses: The status of each of their tries, 0 for none.
    """

    alive: bool = False
    peak_mb: float = 0.0
    peak_descriptors: int = 0
    served_before: bool = False
    served_beside: bool = False
    large_beside: bool = False
    served_after: bool = False
    statuses: list = attrs.field(factory=list)


@attrs.define
class Crowd:
    """Many clients of one kind.

    Attributes:
        kind: What a client does.
        address: Host and port of the server.
        path: The path that the clients ask for.
        credential: The credential of each second client.
        clients: Number of clients.
        body_bytes: The limit of bodies at the server.
        settled: Number of clients that have sent what they send, or were
            refused as often as they come.
        all_settled: Set once all are.
    """

    kind: object
    address: tuple
    path: str
    credential: str
    clients: int = CLIENTS
    body_bytes: int = BODY_BYTES
    settled: int = 0
    all_settled: trio.Event = attrs.field(factory=trio.Event)

    async def run(self, nursery):
        """Starts the clients; returns once they have sent what they send."""
        for number in range(self.clients):
            nursery.start_soon(self.client, number)
        with trio.move_on_after(CROWD_SECONDS):
            await self.all_settled.wait()

    async def client(self, number):
        credential = self.credential if number % 2 else ''
        for _ in range(VISITS):
            with contextlib.suppress(*CONNECTION_ERRORS):
                await self.visit(credential)
        self.note_settled()

    def note_settled(self):
        self.settled += 1
        if self.settled == self.clients:
            self.all_settled.set()

    async def visit(self, credential):
        stream = await trio.open_tcp_stream(*self.address)
        async with stream:
            client = Client(stream, self.path, credential, self.body_bytes)
            await self.kind(client)
            self.note_settled()
            try:
                await self.stay(stream)
            finally:
                self.settled -= 1

    async def stay(self, stream):
        """Keeps a connection until the server closes it."""
        if self.kind is unread_answers:
            await trio.sleep_forever()
        while await stream.receive_some(LARGE_CHUNK_BYTES):
            pass


async def play(crowd, process, asks):
    """Returns how a server stood a crowd.

    Args:
        crowd: The crowd.
        process: The process of the server.
        asks: Asks as an ordinary caller, with a body of a size; returns
            whether it was served.
    """
    STATUSES.clear()
    outcome = Outcome(served_before=await asks(2), statuses=STATUSES)
    usage = Usage(process.process.pid, crowd.address[1])
    async with trio.open_nursery() as watching:
        watching.start_soon(usage.sample)
        async with trio.open_nursery() as clients:
            await crowd.run(clients)
            outcome.served_beside = await asks(2)
            outcome.large_beside = await asks(crowd.body_bytes)
            clients.cancel_scope.cancel()
        outcome.served_after = await asks(2)
        watching.cancel_scope.cancel()
    outcome.alive = process.running
    outcome.peak_mb = usage.peak_mb
    outcome.peak_descriptors = usage.peak_descriptors
    return outcome


async def at_callers(
    name,
    path='/desk/look/1',
    max_connections=2000,
    clients=CLIENTS,
    memory='',
):
    """Returns how a forwarding router stands a crowd at its callers' port."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(pathlib.Path(folder), max_connections, memory)
        async with trio.open_nursery() as nursery:
            try:
                await fleet.start(nursery)
                router = fleet.subject
                crowd = Crowd(
                    KINDS.get(name),
                    (router.host, router.callers),
                    path,
                    standins.KEY,
                    clients,
                )

                async def asks(size):
                    body = b'x' * size
                    return await ordinary(
                        router.url, '/chat/1', body, tries=TRIES
                    )

                return await play(crowd, router.process, asks)
            finally:
                await fleet.end()
                nursery.cancel_scope.cancel()


async def in_a_stop(name):
    """Returns how a forwarding router with a crowd stops.

    Returns:
        Whether a stream that had begun was served to its end, and the exit
        code of the process.
    """
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(pathlib.Path(folder), 2000)
        async with trio.open_nursery() as nursery:
            try:
                await fleet.start(nursery)
                router = fleet.subject
                for worker in fleet.workers.values():
                    worker.gap = STREAM_GAP_SECONDS
                crowd = Crowd(
                    KINDS.get(name),
                    (router.host, router.callers),
                    '/desk/look/1',
                    standins.KEY,
                )
                served = []

                async def ask():
                    served.append(await ordinary(router.url, '/chat/1'))

                async with trio.open_nursery() as clients:
                    await crowd.run(clients)
                    async with trio.open_nursery() as asking:
                        asking.start_soon(ask)
                        await fleet.until(fleet.streams)
                        code = await router.process.stop()
                    clients.cancel_scope.cancel()
                return served, code
            finally:
                await fleet.end()
                nursery.cancel_scope.cancel()


async def in_calm(parts):
    """Returns whether a caller gets an answer to the largest body, alone.

    Args:
        parts: Size of its chunks, 0 to send it with a length.
    """
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(pathlib.Path(folder), 2000)
        async with trio.open_nursery() as nursery:
            try:
                await fleet.start(nursery)
                body = b'x' * BODY_BYTES
                if parts:
                    body = chunks_of(body, parts)
                return await ordinary(fleet.subject.url, '/chat/1', body)
            finally:
                await fleet.end()
                nursery.cancel_scope.cancel()


async def chunks_of(body, size):
    for start in range(0, len(body), size):
        yield body[start : start + size]


async def at_chat_router(name, operators=False):
    """Returns how a chat router stands a crowd.

    Args:
        name: The kind of the clients.
        operators: Whether they come to the operators' interface.
    """
    plan = chat_fleets.Plan(
        documents.document(), routers=1, engines=1, services=1
    )
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            fleet = chat_fleets.Fleet(plan, pathlib.Path(folder))
            try:
                await fleet.start(nursery)
                router = fleet.routers[0]
                secret = documents.SECRETS[documents.CUSTOMERS[0]]
                port = router.callers_port
                if operators:
                    secret = chat_fleets.OPERATOR_SECRET
                    port = router.operators_port
                crowd = Crowd(
                    KINDS.get(name),
                    (chat_fleets.HOST, port),
                    '/v1/explain' if operators else '/alerts/1',
                    secret,
                    SMALL_BODY_CLIENTS,
                    SMALL_BODY_BYTES,
                )

                async def asks(size):
                    return await ordinary(
                        router.url,
                        '/alerts/1',
                        b'x' * size,
                        tries=TRIES,
                        credential=documents.SECRETS[documents.CUSTOMERS[1]],
                        method='GET',
                    )

                return await play(crowd, router.process, asks)
            finally:
                await fleet.end()
                nursery.cancel_scope.cancel()


def main(names):
    for name in names or KINDS.entries:
        outcome = trio.run(at_callers, name)
        print(f'callers {name}: {outcome}', flush=True)


if __name__ == '__main__':
    main(sys.argv[1:])
