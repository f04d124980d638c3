"""Routers of a platform whose store comes back from an older copy.

The routers are whole ones but for their sockets, on a virtual clock; they read
the store through the platform's client. What the store acknowledged since the
copy is gone, and it gives the same revisions out again. Workers and the
operator write again what they wrote.
"""

from __future__ import annotations

import collections
import itertools
import math

import attrs
import trio

from lavenderbend import errors
from lavenderbend.coordination.forwarding import interfaces
from lavenderbend.platform import store as store_module
from lavenderbend.transport import http_calls
from lavenderbend.transport import peer_datagrams
from tests import forwarding_fakes as fakes
from tests import platform_standins as standins
from tests import version_fleet

ZONES = version_fleet.ZONES
SERVICES = ('engines', 'desk')
PATHS = {'engines': '/chat/1', 'desk': '/desk/look/1'}
WORKERS_PER_SERVICE = 4
REQUESTS_PER_SECOND = 15.0
CALL_SECONDS = 0.004
TIMEOUT_SECONDS = 1.0
BEAT_SECONDS = 1.0
AWAY_SECONDS = 0.4
WRITTEN_AGAIN_SECONDS = 0.1
# A worker serves for this long after it said that it leaves.
SERVES_SECONDS = 12.0
# Requests may reach a leaving worker for this long, and be served with a
# revoked key for that long.
LEAVE_SECONDS = 2.0
REVOKE_SECONDS = 5.0
# A router is in touch this long after it was paused, cut off or started.
CONTACT_SECONDS = 3.0
# Content over which a router reads changes only.
LARGE_BYTES = 80 * 1024
WATCH_SECONDS = 0.02


class Calls:
    """One router's calls to the store, without sockets."""

    def __init__(self, fleet, host):
        self.fleet = fleet
        self.host = host

    async def get(self, target):
        return await self.answer('GET', target, b'')

    async def post(self, target, body):
        return await self.answer('POST', target, body)

    async def answer(self, method, target, body):
        fleet = self.fleet
        await trio.sleep(CALL_SECONDS / 2)
        if self.host in fleet.cut_from_store or fleet.store.fault == 'silent':
            await trio.sleep(TIMEOUT_SECONDS)
            raise errors.KeyValueUnavailable('TooSlowError')
        if fleet.store.fault:
            raise errors.KeyValueUnavailable('status 503')
        fleet.reads[self.host] += method == 'GET'
        request = standins.ReceivedRequest(method, target, {}, body)
        status, value = fleet.store.response(request)
        headers = {
            name.encode(): text.encode()
            for name, text in fleet.store.era_headers()
        }
        content = standins.json.dumps(value).encode()
        await trio.sleep(CALL_SECONDS / 2)
        router = fleet.routers.get(self.host)
        if router is not None:
            await router.awake()
        return http_calls.CallAnswer(status, content, headers)

    def close(self):
        pass


class Link(version_fleet.Link):
    """A router's link; snapshots are exchanged as on the wire."""

    async def fetch(self, host, base):
        await trio.sleep(0.002)
        if not self.reaches(host):
            raise errors.PeerUnreachable('cut')
        other = self.fleet.routers[host].snapshots
        content = peer_datagrams.requested_content(
            other.current.raw,
            peer_datagrams.snapshot_request(base),
            other.removals.removed_since,
        )
        return peer_datagrams.apply_changes(base, content)


class Worker:
    """A process of a service.

    Attributes:
        name: Its id.
        service: Its service.
        state: What its entry says, `gone` once it has ended.
        left_at: Time at which the store took that it leaves.
        arrived: Time and router of each request that reached it.
        beats: Number of its writes.
    """

    def __init__(self, name, service, zone, port):
        self.name = name
        self.service = service
        self.zone = zone
        self.port = port
        self.state = 'ready'
        self.left_at = math.inf
        self.arrived = []
        self.beats = 0

    @property
    def key(self):
        return f'servers/{self.name}'

    def entry(self):
        return {
            'service': self.service,
            'address': f'10.9.0.1:{self.port}',
            'zone': self.zone,
            'version': 'v1',
            'slots': 64,
            'state': self.state,
            'coldLeftMs': 0,
            'seqNo': self.beats,
        }


class Exchange(interfaces.Exchange):
    """One answer of a worker."""

    def __init__(self, worker, fleet, host):
        self.worker = worker
        self.fleet = fleet
        self.host = host
        self.left = 2

    async def send(self, request):
        self.worker.arrived.append((trio.current_time(), self.host))
        await trio.sleep(self.fleet.rng.uniform(0.01, 0.05))
        return interfaces.AnswerHead(200, ((b'x-signature', b'sig'),))

    async def read(self):
        self.left -= 1
        await trio.sleep(0.005)
        if self.left < 0:
            return None
        return f'id: {2 - self.left}\ndata: x\n\n'.encode()

    def close(self):
        pass


class Exchanges(version_fleet.Exchanges):
    """A router's connections to the workers."""

    def engine(self, upstream):
        worker = self.fleet.workers.get(upstream.instance)
        if worker is None or worker.state == 'gone':
            raise errors.UpstreamUnreachable('refused')
        return worker

    async def accepts(self, upstream):
        await trio.sleep(0.001)
        worker = self.fleet.workers.get(upstream.instance)
        return worker is not None and worker.state != 'gone'

    async def connect(self, upstream):
        await trio.sleep(0.001)
        return Exchange(self.engine(upstream), self.fleet, self.host)


class Router(version_fleet.Router):
    """One process of a router.

    Attributes:
        versions: Versions of the configuration that were in force, in order.
    """

    revocation_seconds = REVOKE_SECONDS

    def make_connections(self):
        self.clock = trio.current_time
        self.store = store_module.PlatformStore('http://127.0.0.1:4', 1.0)
        self.store.calls = Calls(self.fleet, self.host)
        self.store.write_calls = Calls(self.fleet, self.host)
        self.link = Link(self.fleet, self.host)
        self.exchanges = Exchanges(self.fleet, self.host)
        self.versions = []

    def note_version(self):
        table = self.snapshots.table
        version = 0 if table is None else table.version
        if not self.versions or self.versions[-1] != version:
            self.versions.append(version)


@attrs.define
class Call:
    """One request.

    Attributes:
        at: Time at which it was sent.
        host: The router.
        key: The key that it names.
        outcome: `answered`, `dropped` (its router was killed), or the kind of
            the error.
    """

    at: float
    host: str
    key: str
    outcome: str = 'dropped'


class Fleet(version_fleet.Fleet):
    """Routers, workers, callers, and a store that may go back.

    Attributes:
        workers: All workers, by name.
        calls: All requests.
        written: What the operator wants in the store, by key.
        written_again: Time after a return at which this is written again,
            by key.
        revoked: Time at which the store took that a key is revoked, by key.
        returned_at: Times at which the store came back.
        copies: Times of copies of the store, with their revisions.
        out_of_touch: Time until which a router is not in touch, by host.
        reads: Calls to the store that read, by router.
        beat_seconds: Interval between the writes of a worker.
        quiet: Whether nothing changes any more.
    """

    def __init__(self, nursery, routers=6, seed=1, era=1, large=False):
        super().__init__(nursery, routers, seed)
        self.store = standins.Store()
        self.store.era = era
        self.copies = []
        self.workers = {}
        self.calls = []
        self.written = {}
        self.written_again = {}
        self.revoked = {}
        self.returned_at = []
        self.out_of_touch = {}
        self.reads = collections.Counter()
        self.beat_seconds = BEAT_SECONDS
        self.quiet = False
        self.keys = [f'key-{number}' for number in range(4)]
        self.ports = itertools.count(8000)
        self.version = 0
        self.filler = 'x' * LARGE_BYTES if large else ''
        self.configure()
        for number in range(WORKERS_PER_SERVICE * len(SERVICES)):
            self.add_worker(f'w{number}', SERVICES[number % 2])

    def start(self, host, make=Router):
        if self.calls:
            self.note_out_of_touch(host, 0.0)
        super().start(host, make)

    def pause(self, host, seconds):
        self.note_out_of_touch(host, seconds)
        super().pause(host, seconds)

    async def cut_off(self, host, seconds):
        """Cuts a router off from the store for some time."""
        self.cut_from_store.add(host)
        self.out_of_touch[host] = math.inf
        await trio.sleep(seconds)
        self.cut_from_store.discard(host)
        self.out_of_touch[host] = 0.0
        self.note_out_of_touch(host, 0.0)

    def note_out_of_touch(self, host, seconds):
        until = trio.current_time() + seconds + CONTACT_SECONDS
        self.out_of_touch[host] = max(until, self.out_of_touch.get(host, 0.0))

    async def run(self):
        """Starts the routers and what writes to the store."""
        self.start_routers()
        self.nursery.start_soon(self.watch_versions)
        for worker in list(self.workers.values()):
            self.nursery.start_soon(self.beat, worker)
        await self.ready()

    async def watch_versions(self):
        while True:
            for router in self.routers.values():
                router.note_version()
            await trio.sleep(WATCH_SECONDS)

    def calm(self):
        """Ends all changes and faults."""
        self.quiet = True
        self.cut_from_store.clear()
        self.cut = lambda source, target: False
        for router in self.routers.values():
            router.paused_until = 0.0

    # what the operator and the workers write

    def operate(self, key, value):
        """The operator writes an item, None to remove it."""
        self.written[key] = value
        self.write_operated(key)

    def write_operated(self, key):
        value = self.written[key]
        if value is not None:
            self.store.put(key, value)
        elif key in self.store.items:
            self.store.remove(key)

    def configure(self, **changes):
        """The operator writes a further version of the configuration."""
        self.version += 1
        tenants = [{'name': 'corte', 'apiKeys': list(self.keys), 'priority': 1}]
        value = standins.configuration(
            self.version, tenants=tenants, note=self.filler, **changes
        )
        self.operate('op/config', value)

    def revoke(self, key):
        self.keys.remove(key)
        self.configure()
        self.revoked[key] = trio.current_time()

    def add_worker(self, name, service):
        zone = self.zones[len(self.workers) % len(self.zones)]
        worker = Worker(name, service, zone, next(self.ports))
        self.workers[name] = worker
        self.store.put(worker.key, worker.entry())
        return worker

    async def beat(self, worker):
        """Writes a worker's entry at each of its heartbeats."""
        await trio.sleep(self.rng.uniform(0.0, self.beat_seconds))
        while worker.state != 'gone':
            if not self.store.fault and not self.quiet:
                worker.beats += 1
                self.store.put(worker.key, worker.entry())
            await trio.sleep(self.beat_seconds)

    def leave(self, name):
        """A worker says that it leaves, and ends some time later."""
        worker = self.workers[name]
        worker.state = 'draining'
        self.store.put(worker.key, worker.entry())
        worker.left_at = trio.current_time()
        self.nursery.start_soon(self.end, worker, SERVES_SECONDS)

    async def end(self, worker, seconds):
        await trio.sleep(seconds)
        if not self.quiet:
            self.die(worker.name)

    def die(self, name):
        """A worker ends; its entry is removed."""
        worker = self.workers[name]
        worker.state = 'gone'
        worker.left_at = min(worker.left_at, trio.current_time())
        if worker.key in self.store.items:
            self.store.remove(worker.key)

    def fill(self, revision):
        """Makes changes of another key until the store is at a revision."""
        while self.store.revision < revision:
            self.store.put('op/other', self.store.revision)

    # the return from a copy

    async def keep_copies(self):
        while True:
            self.copies.append((trio.current_time(), self.copy()))
            await trio.sleep(0.1)

    def copy(self):
        """Returns a copy of the store as of now."""
        return self.store.revision

    async def go_back(self, copy, away=AWAY_SECONDS, fault='busy'):
        """The store is away, and comes back from a copy."""
        self.store.fault = fault if away else ''
        try:
            await trio.sleep(away)
        finally:
            self.store.fault = ''
        self.store.go_back(copy)
        self.returned_at.append(trio.current_time())
        for key in self.written:
            self.nursery.start_soon(self.write_again, key, self.restore)
        for worker in self.workers.values():
            if worker.state != 'gone':
                self.nursery.start_soon(
                    self.write_again, worker.key, self.write_worker
                )

    async def write_again(self, key, write):
        returned_at = self.returned_at[-1]
        await trio.sleep(self.written_again.get(key, WRITTEN_AGAIN_SECONDS))
        if self.returned_at[-1] == returned_at:
            write(key)

    def restore(self, key):
        """The operator writes an item again if the store lost it."""
        value = self.written[key]
        content, _ = self.store.items.get(key, (b'null', 0))
        if standins.json.loads(content) != value:
            self.write_operated(key)

    def write_worker(self, key):
        worker = self.workers[key.removeprefix('servers/')]
        if worker.state != 'gone' and not self.is_written(worker):
            self.store.put(key, worker.entry())

    def is_written(self, worker):
        content, _ = self.store.items.get(worker.key, (b'{}', 0))
        return standins.json.loads(content) == worker.entry()

    # callers

    async def send_requests(self, per_second=REQUESTS_PER_SECOND):
        while True:
            await trio.sleep(self.rng.expovariate(per_second))
            hosts = sorted(self.routers)
            if hosts:
                host = self.rng.choice(hosts)
                key = self.rng.choice(('key-0', 'key-1', 'key-2', 'key-3'))
                self.nursery.start_soon(self.request, host, key)

    async def request(self, host, key):
        """One caller, which tries once."""
        path = PATHS[self.rng.choice(SERVICES)]
        record = Call(trio.current_time(), host, key)
        self.calls.append(record)
        answer = fakes.Answer()
        request = fakes.request(
            path=path,
            key=key,
            x_request_id=f'{next(self.ids):016x}',
            x_deadline_ms='5000',
        )
        try:
            await self.routers[host].serve(request, answer)
        except errors.RequestError as exc:
            record.outcome = exc.kind
            return
        if answer.finished:
            record.outcome = 'answered'

    # what is judged

    def in_touch(self, host, at):
        return self.out_of_touch.get(host, 0.0) <= at

    def is_stable(self, at):
        """Returns whether the store has not been away for some time."""
        return not any(
            returned_at - 1.0 <= at <= returned_at + CONTACT_SECONDS
            for returned_at in self.returned_at
        )

    def late_while_stable(self):
        """Returns by how much those were late that could not be early."""
        return self.late(self.is_stable)

    def late(self, counts=lambda at: True):
        """Returns by how much requests were late at leaving workers.

        Args:
            counts: Returns whether what arrives at a time counts.
        """
        return sorted(
            round(at - worker.left_at - LEAVE_SECONDS, 3)
            for worker in self.workers.values()
            for at, host in worker.arrived
            if at > worker.left_at + LEAVE_SECONDS
            and self.in_touch(host, at)
            and counts(at)
        )

    def served_revoked(self):
        """Returns the requests served too late with a revoked key."""
        return [
            call
            for call in self.calls
            if call.outcome == 'answered'
            and call.at > self.revoked.get(call.key, math.inf) + REVOKE_SECONDS
        ]

    def worst_second(self, since, until):
        """Returns the least share of requests served in one second.

        Left out are requests with revoked keys, and what a killed router
        dropped.
        """
        seconds = collections.defaultdict(list)
        for call in self.calls:
            if not since <= call.at < until or call.outcome == 'dropped':
                continue
            if call.at >= self.revoked.get(call.key, math.inf):
                continue
            seconds[int(call.at - since)].append(call.outcome == 'answered')
        return min(sum(served) / len(served) for served in seconds.values())

    def reverted(self):
        """Returns the routers at which a version came into force again."""
        return [
            router.host
            for router in self.routers.values()
            if router.versions != sorted(router.versions)
        ]

    def differing(self):
        """Returns the routers whose belief is not the store's content."""
        return [
            router.host
            for router in self.routers.values()
            if self.known(router) != dict(self.store.items)
        ]

    def known(self, router):
        items = router.snapshots.current.raw.items
        return {key: (item.value, item.revision) for key, item in items.items()}
