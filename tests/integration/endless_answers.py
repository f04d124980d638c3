"""Workers whose bytes are no answer and never end, with real processes.

`python -m tests.integration.endless_answers [NAME...]` prints a table.
"""

from __future__ import annotations

import collections
import pathlib
import sys
import tempfile

import attrs
import httpx
import trio

from lavenderbend import registry
from tests import platform_standins as standins
from tests.integration import forwarding_fleet

SECONDS = 10.0
DISCOVERY_SECONDS = 3.0
# Until the connections of the last requests are closed.
CLOSED_SECONDS = 6.0
REQUESTS_PER_SECOND = 21.0
WORKERS_PER_SERVICE = 4
SLOW_SECONDS = 0.05
FAST_BYTES = 16 * 1024
SLOW_BYTES = 8

KINDS = registry.Registry('kind of bytes')


@attrs.frozen
class Kind:
    """Bytes that never end.

    Attributes:
        head: Returns the bytes that come first, of the request's id.
        part: Bytes that come again and again; a sequence takes turns.
    """

    head: object
    part: bytes


def lines(*texts):
    return '\r\n'.join(texts).encode()


def answer(status, *headers, ending='\r\n\r\n'):
    def head(request_id):
        named = [f'lavenderbend-request-id: {request_id}', *headers]
        return lines(f'HTTP/1.1 {status}', *named) + ending.encode()

    return head


def chunk(data):
    return b'%x\r\n' % len(data) + data + b'\r\n'


SIGNED = 'lavenderbend-response-signature: sig'
CHUNKED = 'transfer-encoding: chunked'
PART = b'x' * SLOW_BYTES

KINDS.register('head_line')(Kind(lambda _: b'HTTP/1.1 200 ', PART))
KINDS.register('fields')(Kind(answer('200 OK', ending='\r\n'), b'x-a: b\r\n'))
KINDS.register('field')(Kind(answer('200 OK', 'x-a: '), PART))
KINDS.register('no_http')(Kind(lambda _: b'\x00\x01\x02', PART))
KINDS.register('no_http_lines')(Kind(lambda _: b'\x00\x01\r\n', b'y\r\n' * 3))
KINDS.register('interim')(
    Kind(lambda _: b'', b'HTTP/1.1 103 Early Hints\r\nx: y\r\n\r\n')
)
KINDS.register('chunk_size')(
    Kind(answer('200 OK', SIGNED, CHUNKED), b'0' * SLOW_BYTES)
)
KINDS.register('trailers')(
    Kind(
        answer('200 OK', SIGNED, CHUNKED, ending='\r\n\r\n0\r\n'),
        b'x-a: b\r\n',
    )
)
KINDS.register('past_length')(
    Kind(
        answer('200 OK', SIGNED, 'content-length: 2', ending='\r\n\r\nok'), PART
    )
)
KINDS.register('unsigned_chunks')(Kind(answer('200 OK', CHUNKED), chunk(PART)))
KINDS.register('unsigned_without_length')(Kind(answer('200 OK'), PART))
KINDS.register('without_id_chunks')(
    Kind(lambda _: lines('HTTP/1.1 200 OK', CHUNKED, '', ''), chunk(PART))
)
KINDS.register('without_id_without_length')(
    Kind(lambda _: lines('HTTP/1.1 200 OK', '', ''), PART)
)
KINDS.register('of_another_request')(
    Kind(
        lambda _: lines(
            'HTTP/1.1 200 OK', 'lavenderbend-request-id: x', CHUNKED, '', ''
        ),
        chunk(PART),
    )
)
KINDS.register('signed_chunks')(
    Kind(answer('200 OK', SIGNED, CHUNKED), chunk(PART))
)
KINDS.register('event')(
    Kind(
        answer('200 OK', SIGNED, CHUNKED, 'content-type: text/event-stream'),
        chunk(b'data: ' + PART),
    )
)
KINDS.register('error')(
    Kind(answer('500 Internal Server Error', SIGNED, CHUNKED), chunk(PART))
)
KINDS.register('refusal')(
    Kind(
        answer(
            '503 Service Unavailable',
            'lavenderbend-not-executed: 1',
            CHUNKED,
        ),
        chunk(PART),
    )
)


class EndlessWorker(standins.Worker):
    """A worker that writes without end whatever it is asked.

    Attributes:
        kind: What it writes.
        slow: Whether it writes a few bytes at a time.
        asked: Number of requests that reached it.
        open_connections: Number of its connections.
    """

    def __init__(self, instance, service, kind, slow):
        super().__init__(instance, service)
        self.kind = kind
        self.slow = slow
        self.asked = 0
        self.open_connections = 0

    async def connection(self, stream):
        self.open_connections += 1
        try:
            await super().connection(stream)
        finally:
            self.open_connections -= 1

    async def answer(self, request, stream, protocol):
        self.asked += 1
        request_id = request.headers.get('lavenderbend-request-id', '')
        await stream.send_all(self.kind.head(request_id))
        part = self.kind.part
        if not self.slow:
            part *= max(1, FAST_BYTES // len(part))
        while True:
            await stream.send_all(part)
            await trio.sleep(SLOW_SECONDS if self.slow else 0.0005)


class Fleet(forwarding_fleet.ForwardingFleet):
    """Routers before workers of which one of each service never ends.

    Attributes:
        outcomes: How often requests had each status, by path.
    """

    def __init__(self, folder, kind, slow, routers=3):
        super().__init__(folder, routers)
        self.outcomes = collections.Counter()
        self.workers = {}
        for service in ('engines', 'desk'):
            for number in range(WORKERS_PER_SERVICE - 1):
                self.add(standins.Worker(f'i-{service}{number}', service))
            self.add(EndlessWorker(f'i-{service}-e', service, kind, slow))

    def write_settings(self, router, **changes):
        super().write_settings(router, repeat_extra=50.0, **changes)

    def add(self, worker):
        self.workers[worker.instance] = worker

    def endless(self):
        return [one for one in self.workers.values() if hasattr(one, 'asked')]

    async def load(self, seconds, per_second=REQUESTS_PER_SECOND):
        """Sends requests to each kind of route in turn, each tried once."""
        paths = ('/chat/{}', '/desk/{}', '/desk/look/{}')
        async with trio.open_nursery() as nursery:
            for number in range(int(seconds * per_second)):
                router = self.routers[number % len(self.routers)]
                path = paths[number // len(self.routers) % len(paths)]
                nursery.start_soon(self.call, router, path, number)
                await trio.sleep(1.0 / per_second)

    async def call(self, router, path, number):
        try:
            reply = await forwarding_fleet.ask(
                router, path.format(number), number
            )
            outcome = reply.status_code
        except httpx.HTTPError as exc:
            outcome = type(exc).__name__
        self.outcomes[path, outcome] += 1

    @property
    def served(self):
        total = sum(self.outcomes.values())
        good = sum(
            count
            for (_, outcome), count in self.outcomes.items()
            if outcome == 200
        )
        return good / total

    def memory(self):
        """Returns the resident memory of all routers, in MB."""
        return [resident(router.process.process.pid) for router in self.routers]


def resident(pid):
    text = pathlib.Path(f'/proc/{pid}/statm').read_text()
    return int(text.split()[1]) * 4096 / 1e6


async def play(name, slow, seconds=SECONDS):
    """Returns the fleet after a load, and how its memory grew, in MB."""
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            fleet = Fleet(pathlib.Path(folder), KINDS.get(name), slow)
            try:
                await fleet.start(nursery)
                # Until the routers know how many they are.
                await trio.sleep(DISCOVERY_SECONDS)
                before = fleet.memory()
                await fleet.load(seconds)
                grown = max(
                    after - start
                    for after, start in zip(fleet.memory(), before, strict=True)
                )
                await trio.sleep(CLOSED_SECONDS)
            finally:
                await fleet.end()
                nursery.cancel_scope.cancel()
    return fleet, grown


def main(names):
    for name in names or KINDS.entries:
        for slow in (False, True):
            fleet, grown = trio.run(play, name, slow)
            asked = [one.asked for one in fleet.endless()]
            still_open = sum(one.open_connections for one in fleet.endless())
            failed = {
                f'{path[:8]} {outcome}': count
                for (path, outcome), count in sorted(
                    fleet.outcomes.items(), key=str
                )
                if outcome != 200
            }
            print(
                f'{name} {"slow" if slow else "fast"}: {fleet.served:.2f}; '
                f'asked {asked}; open {still_open}; {grown:.1f} MB; {failed}',
                flush=True,
            )


if __name__ == '__main__':
    main(sys.argv[1:])
