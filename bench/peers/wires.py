"""Processor time and bytes of the peer links, on loopback sockets."""

from __future__ import annotations

import pathlib
import random
import resource
import tempfile
import time

import attrs
import trio

from bench.peers import certificates
from bench.peers import unary
from lavenderbend.protocol import peer
from lavenderbend.transport import peer_frames
from lavenderbend.transport import peer_grpc

KINDS = {
    'grpc unary': unary.UnaryLink,
    'grpc stream': peer_grpc.GrpcLink,
    'frames': peer_frames.FramesLink,
}
WARM_UP = 200  # requests before the measurement
CONCURRENCY = 64  # requests in flight in the saturated case


@attrs.define
class Relay:
    """Counts the bytes of TCP connections that go through it.

    Attributes:
        count: Bytes, both ways.
    """

    count: int = 0

    async def serve(self, port, task_status=trio.TASK_STATUS_IGNORED):
        """Serves connections that go on to a port."""

        async def pair(stream):
            other = await trio.open_tcp_stream('127.0.0.1', port)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.pump, stream, other, nursery)
                nursery.start_soon(self.pump, other, stream, nursery)

        await trio.serve_tcp(pair, 0, host='127.0.0.1', task_status=task_status)

    async def pump(self, source, target, nursery):
        """Carries one direction of a connection."""
        try:
            while data := await source.receive_some(65536):
                self.count += len(data)
                await target.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        nursery.cancel_scope.cancel()


@peer.message(107)
@attrs.frozen
class Ask(peer.Message):
    """A request of the shape and size of a permit request."""

    number: int
    pool: int
    group: int
    customer: int
    chat: int
    model: int
    adapter: int | None
    priority: int
    prompt_tokens: int
    left: int
    hold: int
    avoid: list[int]
    hops: int
    suspect: bool


@peer.message(108)
@attrs.frozen
class Grant(peer.Message):
    """An answer of the shape and size of a permit."""

    upstream: int
    reason: int
    passed_over: list[int]


@peer.message(109)
@attrs.frozen
class Release(peer.Message):
    """A notice of the shape and size of a permit's release."""

    numbers: list[int]


def ask(number, rng):
    """Returns a permit request as an entry sends it."""
    return Ask(
        number=number,
        pool=rng.getrandbits(32),
        group=3,
        customer=rng.getrandbits(32),
        chat=rng.getrandbits(32),
        model=rng.getrandbits(32),
        adapter=None,
        priority=2,
        prompt_tokens=rng.randrange(100, 8000),
        left=30_000,
        hold=1000,
        avoid=[],
        hops=0,
        suspect=False,
    )


async def grant(peer_id, item):
    return Grant(item.chat, 1, [])


async def take_release(peer_id, item):
    return None


async def start(nursery, cls, names, tls):
    links = []
    for name in names:
        link = cls(name, '127.0.0.1', 0, tls.get(name))
        link.handle(Ask, grant)
        link.handle(Release, take_release)
        nursery.start_soon(link.run)
        await link.started.wait()
        links.append(link)
    return links


async def one(link, peer_id, number, rng):
    """Asks for a permit and gives it back."""
    await link.request(peer_id, ask(number, rng), 30)
    link.notify(peer_id, Release([number]))


async def saturate(link, peer_id, count, rng):
    """Keeps many requests in flight at once."""
    left = iter(range(count))

    async def worker():
        for number in left:
            await one(link, peer_id, number, rng)

    async with trio.open_nursery() as nursery:
        for _ in range(CONCURRENCY):
            nursery.start_soon(worker)


async def pace(link, peers, rate, count, rng):
    """Sends requests at a rate, each to a peer chosen by chance."""
    async with trio.open_nursery() as nursery:
        for number in range(count):
            nursery.start_soon(one, link, rng.choice(peers), number, rng)
            await trio.sleep(rng.expovariate(rate))


@attrs.frozen
class Cost:
    """What one request, its answer and its release cost.

    Attributes:
        cpu_ms: Processor time of both ends together, in ms.
        bytes: Bytes on the sockets, both ways.
    """

    cpu_ms: float
    bytes: float


async def measure(kind, secure, peers, work, count):
    """Returns the cost of each request of some work.

    Bytes are counted by a relay in a second run, so that the relay's
    processor time is not in the first.
    """
    cpu_ms = size = 0.0
    for relayed in (False, True):
        rng = random.Random(7)
        names = [f'router-{number:03d}' for number in range(peers + 1)]
        relay = Relay()
        with tempfile.TemporaryDirectory() as directory:
            tls = certificates.issue(directory, names) if secure else {}
            async with trio.open_nursery() as nursery:
                links = await start(nursery, KINDS[kind], names, tls)
                addresses = {}
                for link in links:
                    port = link.port
                    if relayed:
                        listeners = await nursery.start(relay.serve, port)
                        port = listeners[0].socket.getsockname()[1]
                    addresses[link.name] = ('127.0.0.1', port)
                links[0].set_peers(addresses)
                for number in range(max(WARM_UP // peers, 1)):
                    for name in names[1:]:
                        await one(links[0], name, number, rng)
                await trio.sleep(0.2)
                cpu = time.process_time()
                before = relay.count
                await work(links[0], names[1:], count, rng)
                await trio.sleep(0.1)
                if relayed:
                    size = (relay.count - before) / count
                else:
                    cpu_ms = (time.process_time() - cpu) / count * 1000
                nursery.cancel_scope.cancel()
    return Cost(round(cpu_ms, 3), round(size, 1))


async def run_saturated(link, names, count, rng):
    await saturate(link, names[0], count, rng)


async def run_today(link, names, count, rng):
    """As at the sites of today: 20 requests a second over six peers."""
    await pace(link, names, 20.0, count, rng)


async def run_paced(link, names, count, rng):
    await pace(link, names, 23.0, count, rng)


def resident_bytes():
    """Returns the memory that this process holds now."""
    pages = int(pathlib.Path('/proc/self/statm').read_text().split()[1])
    return pages * resource.getpagesize()


async def open_many(secure, count):
    """Returns what it costs to open and to keep many connections."""
    names = [f'router-{number:03d}' for number in range(count + 1)]
    rng = random.Random(7)
    with tempfile.TemporaryDirectory() as directory:
        shared = certificates.issue_shared(directory, names)
        tls = dict.fromkeys(names, shared) if secure else {}
        async with trio.open_nursery() as nursery:
            links = await start(nursery, KINDS['frames'], names, tls)
            hub = links[0]
            for link in links[1:]:
                link.set_peers({hub.name: ('127.0.0.1', hub.port)})
            await one(links[-1], hub.name, 1, rng)
            memory = resident_bytes()
            cpu = time.process_time()
            for link in links[1:-1]:
                await one(link, hub.name, 1, rng)
            cpu = time.process_time() - cpu
            memory = resident_bytes() - memory
            nursery.cancel_scope.cancel()
    opened = count - 1
    return {
        'cpu_ms_to_open': round(cpu / opened * 1000, 2),
        'kib_both_ends': round(memory / opened / 1024, 1),
    }


def table(saturated=10_000, paced=350):
    """Returns the costs of all kinds, as plain values."""
    rows = {}
    for kind in KINDS:
        count = saturated // 5 if kind == 'grpc unary' else saturated
        for secure in (False, True):
            name = f'{kind}, TLS' if secure else kind
            busy = trio.run(measure, kind, secure, 1, run_saturated, count)
            calm = trio.run(measure, kind, secure, 20, run_paced, paced)
            rows[name] = {
                'saturated': attrs.asdict(busy),
                'paced 23/s over 20 peers': attrs.asdict(calm),
            }
            print(name, rows[name], flush=True)
    for secure in (False, True):
        name = 'frames, TLS' if secure else 'frames'
        today = trio.run(measure, 'frames', secure, 6, run_today, paced)
        rows[name]['today, 20/s over 6 peers'] = attrs.asdict(today)
        rows[name]['connection'] = trio.run(open_many, secure, 200)
        print(name, rows[name], flush=True)
    return rows
