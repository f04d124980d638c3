"""Small servers that speak what the users' platform and its workers speak."""

from __future__ import annotations

import base64
import json
from urllib import parse

import attrs
import h11
import trio

HOST = '127.0.0.1'
KEY = 'llave-1'


@attrs.frozen
class Asked:
    """One request that a stand-in has read.

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
        host: Where it listens.
        port: Bound port.
        connections: Connections accepted.
        asked: All requests read.
    """

    def __init__(self):
        self.host = HOST
        self.port = 0
        self.connections = 0
        self.asked = []

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
            while asked := await read(stream, protocol):
                self.asked.append(asked)
                await self.answer(asked, stream, protocol)
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

    async def answer(self, asked, stream, protocol):
        raise NotImplementedError


async def read(stream, protocol):
    """Returns the next request, None at the end."""
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
            return Asked(
                head.method.decode(), head.target.decode(), headers, body
            )
        elif isinstance(event, h11.ConnectionClosed):
            return None


def encode(protocol, status, headers, body):
    """Returns the bytes of an answer."""
    data = protocol.send(
        h11.Response(
            status_code=status,
            headers=[*headers, ('content-length', str(len(body)))],
        )
    )
    data += protocol.send(h11.Data(data=body))
    return data + (protocol.send(h11.EndOfMessage()) or b'')


class Store(HttpStandin):
    """The platform's metadata store, as far as routers read it.

    Attributes:
        items: Value and revision by key.
        fault: How it misbehaves: '', 'busy', 'many', 'reset', 'silent',
            'torn' (an answer that is no page).
        page: Items of one page at most.
        history: Changes that watches are told.
        deaf: Whether watches hear nothing.
        forgotten: Revision up to which the history is gone.
    """

    def __init__(self):
        super().__init__()
        self.items = {}
        self.revision = 1
        self.fault = ''
        self.page = 500
        self.history = []
        self.deaf = False
        self.forgotten = 0

    def put(self, key, value):
        self.revision += 1
        self.items[key] = (json.dumps(value).encode(), self.revision)
        self.history.append((self.revision, self.item(key)))

    def remove(self, key):
        self.revision += 1
        del self.items[key]
        gone = {'key': key, 'rev': self.revision, 'deleted': True}
        self.history.append((self.revision, gone))

    async def answer(self, asked, stream, protocol):
        if self.fault == 'silent':
            await trio.sleep_forever()
        if self.fault == 'reset':
            stream.socket.close()
            return
        status, value = self.told(asked.target)
        if self.fault == 'torn':
            value['items'][-1].pop('rev')
        elif self.fault:
            status, value = {'busy': 503, 'many': 429}[self.fault], {}
        body = json.dumps(value).encode()
        headers = [('content-type', 'application/json')]
        await stream.send_all(encode(protocol, status, headers, body))

    def told(self, target):
        """Returns status and value of an answer."""
        url = parse.urlsplit(target)
        query = dict(parse.parse_qsl(url.query))
        if url.path == '/lavenderbend/kv-watch':
            return self.watch(query)
        assert url.path == '/lavenderbend/kv-range'
        return 200, self.range(query)

    def watch(self, query):
        after = int(query['after'])
        if after < self.forgotten:
            return 410, {}
        events = [event for at, event in self.history if at > after]
        if self.deaf:
            events = []
        return 200, {'events': events, 'storeRevision': self.revision}

    def range(self, query):
        prefix, after = query.get('pathPrefix', ''), query.get('after', '')
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        return {
            'items': [self.item(key) for key in keys[: self.page]],
            'hasMore': len(keys) > self.page,
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
        plans: What it does with its next requests, by name of a method; then
            it answers well.
        events: Events of its streams.
        gap: Seconds between them.
        leaving: Whether its answers say that it leaves.
        pause: Seconds for which it asks those that it turns away.
        away_until: Clock until which it turns all away.
        arrived: When each request came, its id, and the instance by then.
        told_leaving: Ids of requests whose answers said that it leaves, and
            the instance that said so.
        turned_away: When it turned which request away, and for how long.
    """

    def __init__(self, instance, service):
        super().__init__()
        self.instance = instance
        self.service = service
        self.plans = []
        self.events = 5
        self.gap = 0.0
        self.leaving = False
        self.pause = 0.0
        self.away_until = 0.0
        self.ran = []
        self.ran_at = []
        self.arrived = []
        self.told_leaving = {}
        self.turned_away = []

    def note_run(self, asked):
        self.ran.append(asked)
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

    def headers(self, asked):
        return [
            *self.unsigned(asked),
            ('lavenderbend-response-signature', f'sig.{self.instance}'),
            ('lavenderbend-server-load', '1,0,8'),
        ]

    def unsigned(self, asked):
        request = asked.headers['lavenderbend-request-id']
        found = [('lavenderbend-request-id', request)]
        if self.leaving:
            self.told_leaving[request] = self.instance
            found.append(('server-leaving', '1'))
        return found

    async def answer(self, asked, stream, protocol):
        now = trio.current_time()
        request = asked.headers['lavenderbend-request-id']
        self.arrived.append((now, request, self.instance))
        if now < self.away_until:
            self.turned_away.append((now, request, self.pause))
            await self.turns_away(asked, stream, protocol)
            return
        plan = self.plans.pop(0) if self.plans else 'well'
        await getattr(self, plan)(asked, stream, protocol)

    async def well(self, asked, stream, protocol):
        if asked.headers['lavenderbend-expect-instance'] != self.instance:
            await stream.send_all(encode(protocol, 421, [], b''))
            return
        self.note_run(asked)
        if self.service == 'engines':
            await self.events_from(asked, stream, protocol, self.events)
            return
        body = b'did ' + asked.target.encode()
        data = encode(protocol, 200, self.headers(asked), body)
        await stream.send_all(data)

    async def events_from(self, asked, stream, protocol, until):
        first = int(asked.headers.get('last-event-id', 0)) + 1
        head = [*self.headers(asked), ('content-type', 'text/event-stream')]
        await stream.send_all(
            protocol.send(h11.Response(status_code=200, headers=head))
        )
        for number in range(first, until + 1):
            event = b'id: %d\ndata: x%d\n\n' % (number, number)
            await stream.send_all(protocol.send(h11.Data(data=event)))
            await trio.sleep(self.gap)
        if until == self.events:
            await stream.send_all(protocol.send(h11.EndOfMessage()))

    async def breaks_off(self, asked, stream, protocol):
        self.note_run(asked)
        await self.events_from(asked, stream, protocol, 2)
        await stream.send_all(protocol.send(h11.Data(data=b'id: 3\nda')))
        stream.socket.close()

    async def falls_silent(self, asked, stream, protocol):
        self.note_run(asked)
        await self.events_from(asked, stream, protocol, 2)
        await trio.sleep_forever()

    async def full(self, asked, stream, protocol):
        headers = [*self.unsigned(asked), ('lavenderbend-not-executed', '1')]
        await stream.send_all(encode(protocol, 503, headers, b''))

    async def turns_away(self, asked, stream, protocol):
        headers = [
            *self.unsigned(asked),
            ('lavenderbend-not-executed', '1'),
            ('retry-after', f'{self.pause:g}'),
        ]
        await stream.send_all(encode(protocol, 503, headers, b''))

    async def resets(self, asked, stream, protocol):
        self.note_run(asked)
        stream.socket.close()

    async def hangs(self, asked, stream, protocol):
        self.note_run(asked)
        await trio.sleep_forever()

    async def twice(self, asked, stream, protocol):
        self.note_run(asked)
        data = encode(protocol, 200, self.headers(asked), b'did it')
        await stream.send_all(data + data)

    async def late_second(self, asked, stream, protocol):
        """Answers; a second answer comes where the next one is due."""
        self.note_run(asked)
        data = encode(protocol, 200, self.headers(asked), b'the first')
        await stream.send_all(data)
        self.late = data
        self.plans.insert(0, 'stray_then_well')

    async def stray_then_well(self, asked, stream, protocol):
        await stream.send_all(self.late)
        await self.well(asked, stream, protocol)

    async def unframed(self, asked, stream, protocol):
        self.note_run(asked)
        lines = [f'{k}: {v}' for k, v in self.headers(asked)]
        head = '\r\n'.join(['HTTP/1.1 200 OK', *lines, '', ''])
        await stream.send_all(head.encode() + b'whole to the end')
        stream.socket.close()

    async def no_http(self, asked, stream, protocol):
        self.note_run(asked)
        await stream.send_all(b'\x00\x01 garbage\r\n\r\n')
        stream.socket.close()
