"""The complete answer path over sockets, with randomly faulty upstreams.

The bytes that a caller reads are compared with the expected answer to its own
request.
"""

from __future__ import annotations

import functools
import random

import h11
import pytest
import trio

from lavenderbend.coordination.forwarding import attempts
from lavenderbend.coordination.forwarding import budget
from lavenderbend.coordination.forwarding import silence
from lavenderbend.state import forwarding
from lavenderbend.state import upstreams
from lavenderbend.transport import caller_server
from lavenderbend.transport import upstream_exchanges
from tests import forwarding_fakes as fakes

HOST = '127.0.0.1'
EVENTS = 6
REQUESTS = 40
CALLERS = 4
LIMITS = forwarding.CallerLimits(header_seconds=2.0, idle_seconds=5.0)


def event(name, number):
    return b'id: %d\ndata: %s-%d\n\n' % (number, name, number)


def stream_body(name, last=0):
    return b''.join(event(name, n) for n in range(last + 1, EVENTS + 1))


def chunk(data):
    return b'%x\r\n%s\r\n' % (len(data), data)


def head(name, status=b'200 OK', signed=True, more=b''):
    lines = [b'HTTP/1.1 ' + status, b'x-request-id: ' + name]
    if signed:
        lines.append(b'x-signature: sig-' + name)
    return b'\r\n'.join(lines) + b'\r\n' + more + b'\r\n'


class FaultyUpstream:
    """Answers each request in one of many variants, chosen at random."""

    def __init__(self, rng):
        self.rng = rng
        self.seen = []

    async def serve(self, stream):
        protocol = h11.Connection(h11.SERVER)
        try:
            while True:
                name, last = await self.read(stream, protocol)
                if name is None:
                    return
                self.seen.append(name)
                if not await self.answer(stream, name, last):
                    return
                protocol = h11.Connection(h11.SERVER)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        except h11.RemoteProtocolError:
            return
        finally:
            stream.socket.close()

    async def read(self, stream, protocol):
        request = None
        while True:
            received = protocol.next_event()
            if received is h11.NEED_DATA:
                protocol.receive_data(await stream.receive_some(65536))
            elif isinstance(received, h11.Request):
                request = dict(received.headers)
            elif isinstance(received, h11.EndOfMessage):
                last = int(request.get(b'last-event-id', b'0'))
                return request[b'x-request-id'], last
            elif isinstance(received, h11.ConnectionClosed):
                return None, 0

    async def answer(self, stream, name, last):
        """Answers a request; returns whether the connection stays open."""
        body = stream_body(name, last)
        chunked = head(name, more=b'transfer-encoding: chunked\r\n')
        length = b'content-length: %d\r\n' % len(body)
        fine = chunked + chunk(body) + b'0\r\n\r\n'
        other = b'older-%d' % self.rng.randrange(9)
        stale = head(other, more=b'content-length: 5\r\n') + b'stale'
        cut = self.rng.randrange(len(fine))
        some = self.rng.randrange(len(body) + 1)
        variants = {
            'fine': (fine, True),
            'split': (fine[:cut], fine[cut:], True),
            'stall': (fine[:cut], 0.15, fine[cut:], True),
            'edge': (fine[:cut], 0.05, fine[cut:], True),
            'events': (chunked, *self.slow_chunks(body), b'0\r\n\r\n', True),
            'sized': (head(name, more=length) + body, True),
            'unframed': (head(name) + body, False),
            'twice': (fine + fine, True),
            'late': (fine, 0.02, fine, True),
            'stale': (stale + fine, True),
            'broken': (fine[:cut], False),
            'short': (head(name, more=length) + body[:some], False),
            'long': (head(name, more=length) + body + b'more', True),
            'framing': (chunked + b'zz\r\n' + body, False),
            'garbage': (b'\x00\xff garbage\r\n\r\n', False),
            'unsigned': (head(name, signed=False, more=length) + body, True),
            'encoded': (
                head(name, more=length + b'content-encoding: br\r\n') + body,
                True,
            ),
            'failed': (
                head(name, b'500 Oops', more=b'content-length: 4\r\n')
                + b'oops',
                True,
            ),
            'refused': (
                head(
                    name,
                    b'503 Full',
                    signed=False,
                    more=b'x-not-run: 1\r\ncontent-length: 4\r\n',
                )
                + b'full',
                True,
            ),
            # the upstream may choose the first number, but must not leave a gap
            'skipped': (
                chunked
                + chunk(event(name, last + 1) + event(name, last + 3))
                + b'0\r\n\r\n',
                True,
            ),
            'again': (
                chunked
                + chunk(event(name, last + 1) * 2 + body)
                + b'0\r\n\r\n',
                True,
            ),
            'closed': (False,),
        }
        *steps, stays_open = variants[self.rng.choice(sorted(variants))]
        for step in steps:
            if isinstance(step, float):
                await trio.sleep(step)
            else:
                await stream.send_all(step)
        return stays_open

    def slow_chunks(self, body):
        for part in body.split(b'\n\n')[:-1]:
            yield chunk(part + b'\n\n')
            yield self.rng.choice([0.0, 0.01, 0.05])


class Caller:
    """Sends one request after the other, on persistent connections."""

    def __init__(self, port, number):
        self.port = port
        self.number = number
        self.complete = 0

    async def run(self):
        stream = None
        for count in range(REQUESTS):
            name = b'q%d-%d' % (self.number, count)
            if stream is None:
                stream = await trio.open_tcp_stream(HOST, self.port)
            if not await self.send_request(stream, name):
                stream.socket.close()
                stream = None
        if stream is not None:
            stream.socket.close()

    async def send_request(self, stream, name):
        """Sends a request; returns whether the connection can be reused."""
        # no bytes that belong to no request may have been received
        assert not stream.socket.is_readable() or not await self.read_pending(
            stream
        )
        protocol = h11.Connection(h11.CLIENT)
        request = h11.Request(
            method='POST',
            target=b'/chat/' + name,
            headers=[
                ('host', 'a.example'),
                ('x-request-id', name),
                ('x-deadline-ms', '900'),
                ('authorization', f'Bearer {fakes.KEY}'),
                ('content-length', '2'),
            ],
        )
        data = protocol.send(request) + protocol.send(h11.Data(data=b'{}'))
        data += protocol.send(h11.EndOfMessage())
        status, body, complete = None, b'', False
        try:
            await stream.send_all(data)
            while not complete:
                received = protocol.next_event()
                if received is h11.NEED_DATA:
                    protocol.receive_data(await stream.receive_some(65536))
                elif isinstance(received, h11.Response):
                    status = received.status_code
                    headers = dict(received.headers)
                elif isinstance(received, h11.Data):
                    body += bytes(received.data)
                elif isinstance(received, h11.EndOfMessage):
                    complete = True
                elif isinstance(received, h11.ConnectionClosed):
                    break
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except h11.RemoteProtocolError as exc:
            # the answer was cut off; any other protocol error is a fault
            assert 'peer closed connection' in str(exc), (name, exc, body)
        self.check(name, status, body, complete)
        if status == 200:
            assert headers[b'x-signature'] == b'sig-' + name
            assert headers[b'x-request-id'] == name
        rest, _ = protocol.trailing_data
        assert rest == b''
        return complete and protocol.their_state is h11.DONE

    def check(self, name, status, body, complete):
        if status == 200:
            expected = stream_body(name)
            assert expected.startswith(body), (name, body)
            assert not complete or body == expected
            self.complete += complete
        elif complete:
            # an error of the upstream, or problem details of the router
            assert body == b'oops' or b'"outcome"' in body, (status, body)

    async def read_pending(self, stream):
        try:
            return await stream.receive_some(65536)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return b''


@pytest.mark.parametrize('seed', range(8))
async def test_caller_reads_its_own_answer_or_detects_a_failure(
    seed, nursery, monkeypatch
):
    # Upstreams duplicate, truncate, delay, misframe and swap answers, and
    # stall so that waits time out while bytes arrive. An answer that a caller
    # reads as complete must be the complete answer to its own request.
    monkeypatch.setattr(attempts, 'MIN_FIRST_BYTE_SECONDS', 0.05)
    monkeypatch.setattr(attempts, 'MIN_STALL_SECONDS', 0.05)
    monkeypatch.setattr(silence, 'CHECK_SECONDS', 0.005)
    monkeypatch.setattr(silence, 'SILENT_SECONDS', 0.04)
    rng = random.Random(seed)
    listed = []
    for name in ('e1', 'e2', 'e3'):
        serve = functools.partial(
            trio.serve_tcp, FaultyUpstream(rng).serve, 0, host=HOST
        )
        (listener,) = await nursery.start(serve)
        port = listener.socket.getsockname()[1]
        vm = upstreams.Vm(
            name, HOST, port, 'z', 'chat', upstreams.UpstreamKind.SERVICE
        )
        listed.append(forwarding.Upstream(name, vm, 8))
    rules = (
        fakes.rule(
            streaming=True,
            resumable=True,
            attempts=3,
            target=0.02,
            max_gap=0.01,
        ),
    )
    content = fakes.snapshot(1, fakes.table(1, rules), *listed)
    exchanges = upstream_exchanges.UpstreamExchanges()
    router = fakes.Router(content, exchanges)
    router.budget.settings = budget.RetryBudgetSettings(10.0, 1000.0, 10.0)
    nursery.start_soon(router.silence.run)
    server = caller_server.CallerServer(
        router.forwarder.forward, lambda: LIMITS, 100
    )
    port = await nursery.start(functools.partial(server.serve, HOST, 0))
    callers = [Caller(port, number) for number in range(CALLERS)]
    with trio.fail_after(60.0):
        async with trio.open_nursery() as sending:
            for caller in callers:
                sending.start_soon(caller.run)
    exchanges.close()
    # enough answers were checked, even on a busy machine
    assert sum(caller.complete for caller in callers) > CALLERS
