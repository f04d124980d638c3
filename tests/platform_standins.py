"""Stand-ins for the metadata store and workers of the users' platform."""

from __future__ import annotations

import base64
import json
import socket
import struct
from urllib import parse

import attrs
import h11
import trio

HOST = '127.0.0.1'
KEY = 'llave-1'


@attrs.frozen
class ReceivedRequest:
    """A request that a stand-in has received.

    Attributes:
        method: HTTP method.
        target: Path and query.
        headers: Names in lower case.
        body: The whole body.
    """

    method: str
    target: str
    headers: dict
    body: bytes


class HttpStandin:
    """An HTTP/1.1 server on loopback.

    Attributes:
        host: Address at which it listens.
        port: Port at which it listens.
        connections: Number of accepted connections.
        received: All requests received.
    """

    def __init__(self):
        self.host = HOST
        self.port = 0
        self.connections = 0
        self.received = []

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED):
        listeners = await trio.open_tcp_listeners(self.port, host=self.host)
        self.port = listeners[0].socket.getsockname()[1]
        await trio.serve_listeners(
            self.connection, listeners, task_status=task_status
        )

    async def connection(self, stream):
        self.connections += 1
        protocol = h11.Connection(h11.SERVER)
        try:
            while request := await read(stream, protocol):
                self.received.append(request)
                await self.answer(request, stream, protocol)
                if protocol.states != {
                    h11.CLIENT: h11.DONE,
                    h11.SERVER: h11.DONE,
                }:
                    return
                protocol.start_next_cycle()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        except h11.RemoteProtocolError:
            return
        finally:
            stream.socket.close()

    async def answer(self, request, stream, protocol):
        raise NotImplementedError


async def read(stream, protocol):
    """Returns the next request, None at the end of the connection."""
    head = None
    body = b''
    while True:
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            protocol.receive_data(await stream.receive_some(65536))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            headers = {k.decode(): v.decode() for k, v in head.headers}
            return ReceivedRequest(
                head.method.decode(), head.target.decode(), headers, body
            )
        elif isinstance(event, h11.ConnectionClosed):
            return None


def encode(protocol, status, headers, body):
    """Returns the bytes of a response."""
    data = protocol.send(
        h11.Response(
            status_code=status,
            headers=[*headers, ('content-length', str(len(body)))],
        )
    )
    data += protocol.send(h11.Data(data=body))
    return data + (protocol.send(h11.EndOfMessage()) or b'')


class Store(HttpStandin):
    """The calls of the platform's metadata store that routers use.

    Attributes:
        items: Value and revision by key.
        fault: Fault to simulate: '', 'busy', 'many', 'reset', 'silent',
            'torn' (an incomplete page).
        page_size: Maximum number of items on a page.
        history: Changes that watches report.
        watches_silent: Whether watches report no changes.
        leases: Times of the leases that were made, in milliseconds.
        compacted_revision: Revision up to which the history is discarded.
        era: How often it came back from a copy, None to leave it unsaid.
        copies: The content at each revision.
    """

    def __init__(self):
        super().__init__()
        self.items = {}
        self.revision = 1
        self.fault = ''
        self.page_size = 500
        self.history = []
        self.watches_silent = False
        self.compacted_revision = 0
        self.leases = []
        self.era = None
        self.copies = {self.revision: ({}, 0)}

    def put(self, key, value):
        self.revision += 1
        self.items[key] = (json.dumps(value).encode(), self.revision)
        self.note_change(self.item(key))

    def remove(self, key):
        self.revision += 1
        del self.items[key]
        self.note_change({'key': key, 'rev': self.revision, 'deleted': True})

    def note_change(self, event):
        """Adds a change to the history, and keeps the content after it."""
        self.history.append((self.revision, event))
        self.copies[self.revision] = (dict(self.items), len(self.leases))

    def go_back(self, revision):
        """Returns to the content at a revision; later ones are given again."""
        items, leases = self.copies[revision]
        self.items = dict(items)
        del self.leases[leases:]
        self.revision = revision
        self.history = [one for one in self.history if one[0] <= revision]
        self.copies = {
            known: copy
            for known, copy in self.copies.items()
            if known <= revision
        }
        if self.era is not None:
            self.era += 1

    async def answer(self, request, stream, protocol):
        if self.fault == 'silent':
            await trio.sleep_forever()
        if self.fault == 'reset':
            stream.socket.close()
            return
        status, value = self.response(request)
        if self.fault == 'torn':
            value['items'][-1].pop('rev')
        elif self.fault:
            status, value = {'busy': 503, 'many': 429}[self.fault], {}
        body = json.dumps(value).encode()
        headers = [('content-type', 'application/json'), *self.era_headers()]
        await stream.send_all(encode(protocol, status, headers, body))

    def era_headers(self):
        return [] if self.era is None else [('store-era', str(self.era))]

    def response(self, request):
        """Returns status and content of a response."""
        url = parse.urlsplit(request.target)
        if url.path == '/lavenderbend/kv-lease':
            self.leases.append(json.loads(request.body)['ttlMs'])
            return 200, {
                'lease': len(self.leases),
                'ttlMs': self.leases[-1],
            }
        if url.path == '/lavenderbend/kv-txn':
            assert request.method == 'POST'
            return self.transaction(json.loads(request.body))
        query = dict(parse.parse_qsl(url.query))
        if url.path == '/lavenderbend/kv-watch':
            return self.watch(query)
        assert url.path == '/lavenderbend/kv-range'
        return 200, self.range(query)

    def transaction(self, value):
        """Makes all writes, or none if a key has another revision."""
        for row in value['ifRev']:
            if self.items.get(row['key'], (b'', 0))[1] != row['rev']:
                return 412, {'items': []}
        self.revision += 1
        for key in value['remove']:
            self.remove(key)
        for write in value['writes']:
            content = base64.b64decode(write['value'])
            self.items[write['key']] = (content, self.revision)
            self.note_change(self.item(write['key']))
        return 200, {'rev': self.revision}

    def watch(self, query):
        after = int(query['after'])
        if after < self.compacted_revision or after > self.revision:
            return 410, {}
        events = [event for revision, event in self.history if revision > after]
        if self.watches_silent:
            events = []
        return 200, {'events': events, 'storeRevision': self.revision}

    def range(self, query):
        prefix, after = query.get('pathPrefix', ''), query.get('after', '')
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        return {
            'items': [self.item(key) for key in keys[: self.page_size]],
            'hasMore': len(keys) > self.page_size,
            'storeRevision': self.revision,
        }

    def item(self, key):
        value, revision = self.items[key]
        return {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'rev': revision,
            'created': revision,
            'lease': 0,
        }


def configuration(version=1, **changes):
    """Returns the operator's configuration of a small site."""
    value = {
        'version': version,
        'routes': [
            route('chat', '/chat/', 'engines', 'streaming', resumable=True),
            route('desk', '/desk/', 'desk', 'non_idempotent', maxAttempts=1),
            route('look', '/desk/look/', 'desk', 'idempotent'),
        ],
        'services': [
            {'name': 'engines', 'healthPath': '/health', 'maxConns': 100},
            {'name': 'desk', 'healthPath': '/health', 'maxConns': 100},
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 65536,
            'headerTimeoutMs': 1000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [{'name': 'corte', 'apiKeys': [KEY], 'priority': 1}],
    }
    return {**value, **changes}


def route(name, prefix, service, kind, **more):
    value = {
        'name': name,
        'host': 'A.example',
        'pathPrefix': prefix,
        'kind': kind,
        'timeoutMs': 5000,
        'targetLatencyMs': 500,
        'priority': 2,
        'service': service,
        'maxAttempts': 2,
        'public': False,
        'sticky': False,
        'resumable': False,
    }
    return {**value, **more}


class Worker(HttpStandin):
    """A worker of the platform.

    Attributes:
        instance: Its id.
        service: Its service.
        plans: Names of the methods that handle its next requests; further
            requests are handled by `well`.
        events: Number of events in its streams.
        gap: Seconds between events.
        leaving: Whether its responses announce that it is leaving.
        retry_after_seconds: Value of `Retry-After` in rejections.
        rejects_until: Time until which it rejects all requests.
        ran: The requests that it ran.
        ran_at: Time at which it ran each.
        arrived: Time, request id and instance for each received request.
        announced_leaving: Ids of requests whose responses announced that it
            is leaving, and the instance that announced it.
        rejected: Time, request id and `Retry-After` of each rejection.
    """

    def __init__(self, instance, service):
        super().__init__()
        self.instance = instance
        self.service = service
        self.plans = []
        self.events = 5
        self.gap = 0.0
        self.leaving = False
        self.retry_after_seconds = 0.0
        self.rejects_until = 0.0
        self.ran = []
        self.ran_at = []
        self.arrived = []
        self.announced_leaving = {}
        self.rejected = []

    def note_run(self, request):
        self.ran.append(request)
        self.ran_at.append(trio.current_time())

    def entry(self, state='ready'):
        return {
            'service': self.service,
            'address': f'{HOST}:{self.port}',
            'zone': 'sala-a',
            'version': 'v1',
            'slots': 8,
            'state': state,
            'coldLeftMs': 0,
            'seqNo': 1,
        }

    def headers(self, request):
        return [
            *self.unsigned_headers(request),
            ('lavenderbend-response-signature', f'sig.{self.instance}'),
            ('lavenderbend-server-load', '1,0,8'),
        ]

    def unsigned_headers(self, request):
        request_id = request.headers['lavenderbend-request-id']
        headers = [('lavenderbend-request-id', request_id)]
        if self.leaving:
            self.announced_leaving[request_id] = self.instance
            headers.append(('server-leaving', '1'))
        return headers

    async def answer(self, request, stream, protocol):
        now = trio.current_time()
        request_id = request.headers['lavenderbend-request-id']
        self.arrived.append((now, request_id, self.instance))
        if now < self.rejects_until:
            self.rejected.append((now, request_id, self.retry_after_seconds))
            await self.rejects(request, stream, protocol)
            return
        plan = self.plans.pop(0) if self.plans else 'well'
        await getattr(self, plan)(request, stream, protocol)

    async def well(self, request, stream, protocol):
        if request.headers['lavenderbend-expect-instance'] != self.instance:
            await stream.send_all(encode(protocol, 421, [], b''))
            return
        self.note_run(request)
        if self.service == 'engines':
            await self.events_from(request, stream, protocol, self.events)
            return
        body = b'did ' + request.target.encode()
        data = encode(protocol, 200, self.headers(request), body)
        await stream.send_all(data)

    async def events_from(self, request, stream, protocol, until):
        first = int(request.headers.get('last-event-id', 0)) + 1
        head = [*self.headers(request), ('content-type', 'text/event-stream')]
        await stream.send_all(
            protocol.send(h11.Response(status_code=200, headers=head))
        )
        for number in range(first, until + 1):
            event = b'id: %d\ndata: x%d\n\n' % (number, number)
            await stream.send_all(protocol.send(h11.Data(data=event)))
            await trio.sleep(self.gap)
        if until == self.events:
            await stream.send_all(protocol.send(h11.EndOfMessage()))

    async def breaks_off(self, request, stream, protocol):
        self.note_run(request)
        await self.events_from(request, stream, protocol, 2)
        await stream.send_all(protocol.send(h11.Data(data=b'id: 3\nda')))
        stream.socket.close()

    async def falls_silent(self, request, stream, protocol):
        self.note_run(request)
        await self.events_from(request, stream, protocol, 2)
        await trio.sleep_forever()

    async def full(self, request, stream, protocol):
        headers = [
            *self.unsigned_headers(request),
            ('lavenderbend-not-executed', '1'),
        ]
        await stream.send_all(encode(protocol, 503, headers, b''))

    async def rejects(self, request, stream, protocol):
        headers = [
            *self.unsigned_headers(request),
            ('lavenderbend-not-executed', '1'),
            ('retry-after', f'{self.retry_after_seconds:g}'),
        ]
        await stream.send_all(encode(protocol, 503, headers, b''))

    async def resets(self, request, stream, protocol):
        self.note_run(request)
        stream.socket.close()

    async def hangs(self, request, stream, protocol):
        self.note_run(request)
        await trio.sleep_forever()

    async def twice(self, request, stream, protocol):
        self.note_run(request)
        data = encode(protocol, 200, self.headers(request), b'did it')
        await stream.send_all(data + data)

    async def late_second(self, request, stream, protocol):
        """Responds, and sends a second response before that to the next."""
        self.note_run(request)
        data = encode(protocol, 200, self.headers(request), b'the first')
        await stream.send_all(data)
        self.late = data
        self.plans.insert(0, 'stray_then_well')

    async def stray_then_well(self, request, stream, protocol):
        await stream.send_all(self.late)
        await self.well(request, stream, protocol)

    async def unframed(self, request, stream, protocol):
        self.note_run(request)
        lines = [f'{k}: {v}' for k, v in self.headers(request)]
        head = '\r\n'.join(['HTTP/1.1 200 OK', *lines, '', ''])
        await stream.send_all(head.encode() + b'whole to the end')
        stream.socket.close()

    async def unframed_reset(self, request, stream, protocol):
        """Sends an answer without length and resets its connection."""
        linger = struct.pack('ii', 1, 0)
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        await self.unframed(request, stream, protocol)

    async def no_http(self, request, stream, protocol):
        self.note_run(request)
        await stream.send_all(b'\x00\x01 garbage\r\n\r\n')
        stream.socket.close()
