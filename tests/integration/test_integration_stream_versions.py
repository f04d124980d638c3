"""Streams of two software versions, with real processes of routers."""

from __future__ import annotations

import contextlib
import functools

import attrs
import h11
import httpx
import pytest
import trio

from tests import platform_standins as standins
from tests.integration import forwarding_fleet
from tests.integration import ports

STREAMS = 16
GAP_SECONDS = 0.1
# Events after which callers leave.
LEFT_AFTER = 3


class VersionWorker(standins.Worker):
    """An engine whose events name the version of its software.

    Attributes:
        version: That version.
    """

    version = 'v1'

    def entry(self, state='ready'):
        return {**super().entry(state), 'version': self.version}

    async def events_from(self, request, stream, protocol, until):
        first = int(request.headers.get('last-event-id', 0)) + 1
        head = [*self.headers(request), ('content-type', 'text/event-stream')]
        await stream.send_all(
            protocol.send(h11.Response(status_code=200, headers=head))
        )
        for number in range(first, until + 1):
            event = f'id: {number}\ndata: {self.version}\n\n'.encode()
            await stream.send_all(protocol.send(h11.Data(data=event)))
            await trio.sleep(self.gap)
        await stream.send_all(protocol.send(h11.EndOfMessage()))


@attrs.define
class Stream:
    """A stream as its caller has it.

    Attributes:
        id: Id of the try that began it.
        events: Numbers and versions of its events.
        status: Status of the last try.
    """

    id: str
    events: list = attrs.field(factory=list)
    status: int = 0

    def take(self, line):
        if line.startswith('id: '):
            self.events.append([int(line.removeprefix('id: '))])
        elif line.startswith('data: '):
            self.events[-1].append(line.removeprefix('data: '))


class Entrance(standins.Store):
    """The store as one router reaches it, with faults of its own.

    Attributes:
        store: The store.
    """

    def __init__(self, store):
        super().__init__()
        self.store = store

    def response(self, request):
        return self.store.response(request)


class Fleet(forwarding_fleet.ForwardingFleet):
    """Routers of which the first reaches the store by an entrance.

    Attributes:
        entrance: That entrance.
        peers_port: Port at which the first router hears others; they use
            another one if it is cut off from them.
    """

    def __init__(self, folder, cut_off):
        super().__init__(folder)
        self.entrance = Entrance(self.store)
        self.peers_port = ports.PORTS.take() if cut_off else self.peer_port

    async def start(self, nursery):
        await nursery.start(self.entrance.serve)
        await super().start(nursery)

    def write_settings(self, router, **changes):
        changes['peers'] = [f'{forwarding_fleet.host_of(1)}:1']
        if router is self.routers[0]:
            host = router.host
            changes['store_port'] = self.entrance.port
            changes['listen'] = {
                'callers': f'{host}:{router.callers}',
                'readiness': f'{host}:{router.readiness}',
                'peers': f'{host}:{self.peers_port}',
            }
        super().write_settings(router, **changes)


def make_worker(name, version):
    worker = VersionWorker(name, 'engines')
    worker.version = version
    worker.events = 40
    worker.gap = GAP_SECONDS
    return worker


@pytest.fixture
def run_fleet(tmp_path, nursery):
    """Returns a context of a fleet of which two engines run given versions."""

    @contextlib.asynccontextmanager
    async def run(first, second, cut_off=False):
        subject = Fleet(tmp_path, cut_off)
        for name, version in (('i-e1', first), ('i-e2', second)):
            subject.workers[name] = make_worker(name, version)
        try:
            await subject.start(nursery)
            yield subject
        finally:
            await subject.end()

    return run


async def read(router, stream, request_id, most=0, **headers):
    """Reads a stream until its end, some events, or until its router is gone.

    Args:
        router: The router.
        stream: The stream; takes the events.
        request_id: Id of the try.
        most: Number of events after which the caller leaves, 0 to stay.
        **headers: Further headers.
    """
    named = {
        'host': 'a.example',
        'authorization': f'Bearer {standins.KEY}',
        'lavenderbend-request-id': request_id,
        'lavenderbend-deadline-ms': '5000',
        **headers,
    }
    url = f'{router.url}/chat/1'
    try:
        async with (
            httpx.AsyncClient(timeout=10.0) as client,
            client.stream('POST', url, headers=named, content=b'{}') as answer,
        ):
            stream.status = answer.status_code
            async for line in answer.aiter_lines():
                stream.take(line)
                if most and len(stream.events) > most:
                    return
    except httpx.HTTPError:
        stream.status = 0


async def test_streams_of_a_killed_router_go_on_at_their_version(run_fleet):
    """Guards against streams whose version only a dead process knew."""
    async with run_fleet('v1', 'v2') as fleet:
        await kill_router_amid_streams(fleet)


async def kill_router_amid_streams(fleet):
    first, *others = fleet.routers
    streams = [Stream(f'first-{number}') for number in range(STREAMS)]

    async def all_began():
        return all(stream.events for stream in streams)

    async with trio.open_nursery() as nursery:
        for stream in streams:
            nursery.start_soon(read, first, stream, stream.id)
        await fleet.until(all_began)
        await first.process.kill()
    versions = [stream.events[0][1] for stream in streams]
    assert set(versions) == {'v1', 'v2'}
    async with trio.open_nursery() as nursery:
        for number, stream in enumerate(streams):
            last = stream.events[-1]
            if len(last) < 2:
                stream.events.pop()
            nursery.start_soon(take_up, others[number % len(others)], stream)
    for stream, version in zip(streams, versions, strict=True):
        assert stream.status == 200
        assert [one[0] for one in stream.events] == list(range(1, 41))
        assert {one[1] for one in stream.events} == {version}


async def test_streams_of_a_new_version_are_not_mixed_at_a_cut_off_router(
    run_fleet, nursery
):
    """Guards against a router that takes what it saw last for the present."""
    async with run_fleet('v1', 'v1', cut_off=True) as fleet:
        await fleet.until(functools.partial(all_settled, fleet))
        await join_unseen(fleet, nursery)


async def all_settled(fleet):
    """Returns whether all routers know that one version runs."""
    return all(
        '"told_by":"only"' in router.process.log.read_text()
        for router in fleet.routers
    )


async def join_unseen(fleet, nursery):
    cut_off, *others = fleet.routers
    fleet.entrance.fault = 'silent'
    for number in range(4):
        worker = make_worker(f'i-n{number}', 'v2')
        await nursery.start(worker.serve)
        fleet.store.put(f'servers/{worker.instance}', worker.entry())
    streams = []

    async def new_version_serves():
        begun = [Stream(f'first-{len(streams) + n}') for n in range(STREAMS)]
        await take_all(begun, others, begin)
        streams.extend(begun)
        versions = [stream.events[0][1] for stream in streams]
        return versions.count('v2') >= STREAMS // 2

    await fleet.until(new_version_serves)
    await take_all(streams, [cut_off], take_up)
    assert {stream.status for stream in streams} <= {200, 503}
    refused = [stream for stream in streams if stream.status == 503]
    await take_all(refused, others, take_up)
    assert {stream.status for stream in streams} == {200}
    for stream in streams:
        assert len({version for _, version in stream.events}) == 1
        assert [number for number, _ in stream.events] == list(range(1, 41))


async def take_all(streams, routers, take):
    async with trio.open_nursery() as readers:
        for number, stream in enumerate(streams):
            readers.start_soon(take, routers[number % len(routers)], stream)


async def begin(router, stream):
    """Begins a stream that its caller leaves after some events."""
    await read(router, stream, stream.id, LEFT_AFTER)
    del stream.events[LEFT_AFTER:]


async def take_up(router, stream):
    await read(
        router,
        stream,
        f'again-{stream.id}',
        **{
            'last-event-id': str(stream.events[-1][0]),
            'x-resumes': stream.id,
        },
    )
