"""A stand-in of a worker that runs requests."""

from __future__ import annotations

import asyncio
import time

from harness import wire

READ_AHEAD_BYTES = 256 * 1024


class Worker:
    """Runs each request that it gets, and answers it whole.

    What a request does is in its query: `ms` is how long it runs, `bytes` how
    long its answer is, `events` how many events it streams.

    Attributes:
        id: Its id in the store.
        service: Its service.
        port: Its port.
        slow_bytes: How much of a body it reads at a time, 0 for all at once.
        slow_seconds: How long it pauses after that.
        received: Ids of the requests of which it has read the head.
        runs: Request id, start and end of each run, in the order of starts.
    """

    def __init__(self, name: str, service: str) -> None:
        self.id = name
        self.service = service
        self.port = 0
        self.slow_bytes = 0
        self.slow_seconds = 0.0
        self.received: list[str] = []
        self.runs: list[dict[str, object]] = []
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Begins to listen."""
        self.server = await asyncio.start_server(
            self.serve, '127.0.0.1', self.port, limit=READ_AHEAD_BYTES
        )
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self, state: str = 'ready') -> dict[str, object]:
        """Returns its entry in the store."""
        return {
            'service': self.service,
            'address': f'127.0.0.1:{self.port}',
            'zone': 'sala-a',
            'version': '1',
            'slots': 64,
            'state': state,
            'coldLeftMs': 0,
            'seqNo': 1,
        }

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        self.writers.add(writer)
        try:
            while (request := await self.read(reader)) is not None:
                await self.answer(request, writer)
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            # a cancelled task of a server would be reported as a fault
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def read(self, reader: asyncio.StreamReader) -> wire.Message | None:
        """Returns the next request, None if the connection was closed."""
        request = await wire.read_head(reader)
        if request is None:
            return None
        self.received.append(request.headers.get('lavenderbend-request-id', ''))
        left = int(request.headers.get('content-length', '0'))
        while self.slow_bytes and left > self.slow_bytes:
            await reader.readexactly(self.slow_bytes)
            left -= self.slow_bytes
            await asyncio.sleep(self.slow_seconds)
        await reader.readexactly(left)
        return request

    def headers(self, request: wire.Message) -> dict[str, object]:
        """Returns the headers of an answer."""
        return {
            'Lavenderbend-Request-Id': request.headers.get(
                'lavenderbend-request-id', ''
            ),
            'Lavenderbend-Response-Signature': f'sig-{self.id}',
            'Keep-Alive': 'timeout=5',
        }

    async def answer(
        self, request: wire.Message, writer: asyncio.StreamWriter
    ) -> None:
        """Runs a request and answers it."""
        path, _, text = request.target.partition('?')
        if path == '/health':
            headers = {'Lavenderbend-Instance-Id': self.id}
            writer.write(wire.encode('HTTP/1.1 200 OK', headers))
            return
        expected = request.headers.get('lavenderbend-expect-instance')
        if expected != self.id:
            writer.write(
                wire.encode('HTTP/1.1 421 Misdirected', self.headers(request))
            )
            return
        query = dict(row.split('=') for row in text.split('&') if row)
        run = {
            'id': request.headers.get('lavenderbend-request-id', ''),
            'at': time.monotonic(),
            'ended': None,
        }
        self.runs.append(run)
        if 'events' in query:
            await self.stream(request, query, writer)
        else:
            work = int(query.get('ms', '0'))
            deadline = int(request.headers['lavenderbend-deadline-ms'])
            await asyncio.sleep(min(work, deadline) / 1000)
            body = b'x' * int(query.get('bytes', '800'))
            start = 'HTTP/1.1 200 OK'
            if work > deadline:
                # it stops work at the deadline that it was given
                start, body = 'HTTP/1.1 504 Deadline', b''
            writer.write(wire.encode(start, self.headers(request), body))
            await writer.drain()
        run['ended'] = time.monotonic()

    async def stream(
        self,
        request: wire.Message,
        query: dict[str, str],
        writer: asyncio.StreamWriter,
    ) -> None:
        """Streams events, evenly over the time of the run."""
        headers = {
            **self.headers(request),
            'Content-Type': 'text/event-stream',
            'Transfer-Encoding': 'chunked',
        }
        rows = ['HTTP/1.1 200 OK']
        rows += [f'{name}: {value}' for name, value in headers.items()]
        writer.write('\r\n'.join([*rows, '', '']).encode())
        count = int(query['events'])
        size = int(query.get('bytes', '40'))
        for number in range(1, count + 1):
            text = b'id: %d\ndata: %s\n\n' % (number, b'y' * size)
            writer.write(wire.chunk(text))
            await writer.drain()
            await asyncio.sleep(int(query.get('ms', '0')) / 1000 / count)
        writer.write(wire.chunk(b''))
        await writer.drain()

    def crash(self) -> None:
        """Drops all connections and stops listening."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
