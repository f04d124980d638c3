"""A soak of forwarding routers: real processes, seeded faults from outside."""

from __future__ import annotations

import argparse
import collections
import pathlib
import random
import signal
import sys
import tempfile
import weakref

import attrs
import trio

from lavenderbend import registry
from tests import platform_standins as standins
from tests import stream_standins
from tests.integration import forwarding_fleet
from tests.integration import proxy as proxies
from tests.integration import stream_callers

CALLERS = 8
# so many of them keep what came of their streams, and resume
STREAM_CALLERS = 4
MOST_RESUMES = 4
RESUME_SECONDS = 0.3
TROUBLED_SHARE = 0.4
# shorter than what a router takes for a stand-still of its own
STALL_SECONDS = (0.05, 0.25)
RUN_SECONDS = (0.0, 0.1)
GAP_SECONDS = 0.02
# with the smaller one the routers run out of repeats
REPEAT_SHARES = (0.1, 0.5)
RESUMED_STATUSES = (200, 401, 408, 421, 429, 503, 504)
ROUTES = [
    standins.route('chat', '/chat/', 'engines', 'streaming', resumable=True),
    standins.route('draft', '/draft/', 'engines', 'streaming'),
    standins.route('desk', '/desk/', 'desk', 'non_idempotent', maxAttempts=1),
    standins.route('look', '/desk/look/', 'desk', 'idempotent'),
]
REQUEST_SECONDS = 8.0
QUIET_SECONDS = 0.5
SETTLE_SECONDS = 4.0
STOP_SECONDS = 12.0
REVOCATION_SECONDS = 5.0
LEAVE_SECONDS = 2.0
# a leaving upstream is judged if the store was well for so long before
TOUCH_SECONDS = 3.0
NOT_RUN = (408, 421, 429, 503)
PLANS = (
    'full',
    'resets',
    'hangs',
    'twice',
    'unframed',
    'no_http',
    'late_second',
)
# of what a worker asks for by turning requests away
AFTER_SECONDS = 0.5
MOST_AFTER = 2
FAULTS: registry.Registry = registry.Registry('fault')
# apart from the others: what a seed draws of those stays as it is
DEPARTURES: registry.Registry = registry.Registry('fault of who leaves')
ZONES: registry.Registry = registry.Registry('fault of zones and starts')
DRAINED_ZONE = 'sala-b'
# Time in which a drained zone is known on all routers.
DRAIN_SECONDS = 3.0
# What a cold engine tolerates in any second.
COLD_SECONDS = 2.0
COLD_RATE = 2.0
COLD_RATE_EXTRA = 2.0
MOST_WHILE_COLD = 4


@attrs.frozen
class Told:
    """What a caller was told of one request.

    Attributes:
        id: The request.
        kind: `chat`, `draft`, `desk` or `look`.
        key: The credential.
        sent: Clock of its first byte.
        status: The HTTP status, 0 if the connection broke.
        body: What came of the body.
        signed: Whether the answer has an upstream's signature.
        ended: How the answer ended.
        after: The last event that its caller had before, 0 for none.
        router: The host that it was sent to.
        until: Clock of the end of its answer.
    """

    id: str
    kind: str
    key: str
    sent: float
    status: int
    body: bytes = b''
    signed: bool = False
    ended: str = stream_callers.COMPLETE
    after: int = 0
    router: str = ''
    until: float = 0.0

    @property
    def path(self) -> str:
        """Its target; a resume's id is that of the request and a count."""
        kind = {'look': 'desk/look/1', 'desk': 'desk/send'}.get(
            self.kind, f'{self.kind}/1'
        )
        return f'/{kind}/{self.id[1:].partition(".")[0]}'

    @property
    def streamed(self) -> bool:
        return self.kind in ('chat', 'draft')


class WorkerLink(proxies.FaultProxy):
    """A link whose connections end where they lost bytes.

    TCP loses none in the midst of a connection that goes on: what came then
    would contradict itself as no worker does.
    """

    def __init__(self, target_host, target_port) -> None:
        super().__init__(target_host, target_port)
        self.lossy = weakref.WeakSet()

    async def pass_on(self, data, sink, direction, nursery) -> None:
        if self.faults.cut in (direction, proxies.Cut.BOTH):
            self.lossy.add(sink)
        elif sink in self.lossy:
            nursery.cancel_scope.cancel()
            return
        await super().pass_on(data, sink, direction, nursery)


class World(forwarding_fleet.ForwardingFleet):
    """A fleet whose links to the store and the workers can be disturbed."""

    def __init__(
        self,
        folder,
        seed,
        routers=forwarding_fleet.ROUTERS,
        departures=False,
        zones=False,
    ) -> None:
        super().__init__(folder, routers)
        self.seed = seed
        self.kinds = {name: FAULTS.get(name) for name in FAULTS}
        if departures:
            self.kinds = {name: DEPARTURES.get(name) for name in DEPARTURES}
        self.changes = {}
        self.services = standins.configuration()['services']
        if zones:
            self.kinds = {name: ZONES.get(name) for name in ZONES}
            self.limit_cold_engines()
        self.zones = {'i-e2': DRAINED_ZONE}
        self.drained: list[tuple[float, float]] = []
        self.cold: list[tuple[str, float]] = []
        self.restarted: list[tuple[str, float]] = []
        self.rng = random.Random(seed)
        self.told: list[Told] = []
        self.faults: list[str] = []
        self.played: list[tuple[str, float, float]] = []
        self.violations: list[str] = []
        self.revoked: dict[str, float] = {}
        self.returned: list[tuple[str, float]] = []
        self.left: list[tuple[str, float]] = []
        self.disturbed: list[float] = []
        self.version = 1
        self.keys = [f'llave-{number}' for number in range(1, 9)]
        self.store_links = {}
        self.worker_links = {}
        self.held: set[str] = set()
        self.count = 0
        self.workers = {
            name: self.stream_worker(worker)
            if worker.service == 'engines'
            else worker
            for name, worker in self.workers.items()
        }

    def limit_cold_engines(self) -> None:
        """Lets engines that start tolerate few requests."""
        engines = {'coldS': COLD_SECONDS, 'warmupPerS': COLD_RATE}
        self.services = [
            {**service, **(engines if service['name'] == 'engines' else {})}
            for service in self.services
        ]
        self.changes = {'cold_rate_extra': COLD_RATE_EXTRA}

    def stream_worker(self, worker):
        engine = stream_standins.StreamWorker(
            worker.instance, worker.service, self.seed
        )
        engine.fault_fraction = TROUBLED_SHARE
        return engine

    async def start(self, nursery) -> None:
        await nursery.start(self.store.serve)
        for name, worker in self.workers.items():
            worker.gap = GAP_SECONDS
            await nursery.start(worker.serve)
            link = WorkerLink(standins.HOST, worker.port)
            await nursery.start(link.run)
            self.worker_links[name] = link
            self.register(name)
        self.publish()
        for router in self.routers:
            link = proxies.FaultProxy(standins.HOST, self.store.port)
            await nursery.start(link.run)
            self.store_links[router.host] = link
            share = REPEAT_SHARES[self.seed % len(REPEAT_SHARES)]
            self.write_settings(
                router,
                store_port=link.port,
                repeat_share=share,
                **self.changes,
            )
            await router.process.start()
        for router in self.routers:
            await self.until(router.ready)

    def register(self, name, state='ready') -> None:
        port = self.worker_links[name].port
        address = f'{standins.HOST}:{port}'
        worker = self.workers[name]
        entry = {**worker.entry(state), 'address': address}
        entry['zone'] = self.zones.get(name, entry['zone'])
        self.store.put(f'servers/{worker.instance}', entry)

    def replace(self, name) -> None:
        """Starts a worker anew under another id, at the same address."""
        worker = self.workers[name]
        key = f'servers/{worker.instance}'
        if key in self.store.items:
            self.store.remove(key)
        self.count += 1
        worker.instance = f'{name}-{self.count}'
        worker.leaving = False
        self.register(name)

    def publish(self) -> None:
        tenants = [{'name': 'corte', 'apiKeys': self.keys, 'priority': 1}]
        value = standins.configuration(
            self.version,
            tenants=tenants,
            routes=ROUTES,
            services=self.services,
        )
        self.store.put('op/config', value)
        self.version += self.rng.randint(1, 3)

    def disturb(self) -> None:
        """Notes that the store or a router is disturbed now."""
        self.disturbed.append(trio.current_time())

    async def call(self) -> None:
        """Sends one request after the other on kept connections."""
        async with forwarding_fleet.httpx.AsyncClient(timeout=10.0) as client:
            await self.call_by(client)

    async def call_by(self, client) -> None:
        while True:
            router = self.balancer.pick(self.rng)
            kind = self.rng.choice(('chat', 'desk', 'look'))
            self.count += 1
            number = self.count
            known = [*self.keys, *self.revoked]
            key = self.rng.choice(known)
            sent = trio.current_time()
            told = Told(f'r{number}', kind, key, sent, 0, router=router.host)
            with trio.move_on_after(REQUEST_SECONDS):
                told = await self.told_of(client, told, router)
            until = trio.current_time()
            self.told.append(attrs.evolve(told, until=until))
            await trio.sleep(self.rng.uniform(0.0, 0.1))

    async def told_of(self, client, told, router) -> Told:
        method = 'GET' if told.kind == 'look' else 'POST'
        try:
            answer = await forwarding_fleet.ask_by(
                client, router, told.path, told.id[1:], method, told.key
            )
        except forwarding_fleet.httpx.TransportError:
            return told
        signature = 'lavenderbend-response-signature'
        return attrs.evolve(
            told,
            status=answer.status_code,
            body=answer.content,
            signed=signature in answer.headers,
        )

    async def call_streams(self, number) -> None:
        """Reads one stream after the other, each to its end."""
        rng = random.Random(f'{self.seed} caller {number}')
        caller = stream_callers.StreamCaller(rng)
        while True:
            await self.whole_stream(caller, rng)
            await trio.sleep(rng.uniform(0.0, 0.1))

    async def whole_stream(self, caller, rng) -> None:
        """Reads a stream, and resumes it elsewhere if it may be."""
        kind = rng.choice(('chat', 'chat', 'draft'))
        key = rng.choice(self.keys)
        self.count += 1
        request = f'r{self.count}'
        after = 0
        router = None
        for number in range(1 + MOST_RESUMES):
            router = self.balancer.pick(rng, router)
            told = Told(
                f'{request}.{number}',
                kind,
                key,
                trio.current_time(),
                0,
                after=after,
                router=router.host,
            )
            told = await self.streamed(caller, told, router)
            self.told.append(told)
            if told.status == 200:
                after = stream_callers.last_event(told.body, after)
                if told.ended == stream_callers.COMPLETE:
                    return
            if kind == 'draft':
                return
            await trio.sleep(rng.uniform(0.0, RESUME_SECONDS))

    async def streamed(self, caller, told, router) -> Told:
        part = stream_callers.Part()
        names = forwarding_fleet.headers()
        headers = [
            ('authorization', f'Bearer {told.key}'),
            (names['request_id'], told.id),
            (names['deadline'], '5000'),
        ]
        if told.after:
            headers.append(('last-event-id', str(told.after)))
        with trio.move_on_after(REQUEST_SECONDS):
            await caller.ask(router, told.path, headers, part, told.after)
        return attrs.evolve(
            told,
            status=part.status,
            body=part.body,
            signed=part.signed,
            ended=part.ended,
            until=trio.current_time(),
        )

    async def stall(self) -> None:
        """Stops routers for moments, as a busy machine does.

        What a router's timers and its sockets have waiting then meets in one
        turn of its event loop.
        """
        rng = random.Random(f'{self.seed} stalls')
        while True:
            router = rng.choice(self.routers)
            if router.host not in self.held:
                router.process.pause()
            await trio.sleep(rng.uniform(*STALL_SECONDS))
            if router.host not in self.held:
                router.process.resume()
            await trio.sleep(rng.uniform(*RUN_SECONDS))

    async def play_one(self, name) -> None:
        begin = trio.current_time()
        try:
            await self.kinds[name](self)
        finally:
            self.played.append((name, begin, trio.current_time()))

    def in_play(self, told: Told) -> str:
        """Returns the faults that were played during a request."""
        return ', '.join(
            f'{name} {begin - told.sent:+.2f}..{end - told.sent:+.2f} s'
            for name, begin, end in self.played
            if begin <= told.until and end >= told.sent
        )

    def done_for(self, told: Told) -> str:
        """Returns what engines did with a request."""
        return ', '.join(
            f'{text} {at - told.sent:+.2f} s'
            for at, text in sorted(
                one
                for worker in self.workers.values()
                if isinstance(worker, stream_standins.StreamWorker)
                for one in worker.history.get(told.id, [])
            )
        )

    async def play(self, seconds) -> None:
        """Plays faults, every second time two at once."""
        names = list(self.kinds)
        end = trio.current_time() + seconds
        while trio.current_time() < end:
            chosen = self.rng.sample(names, 1 + len(self.faults) % 2)
            self.faults.append('+'.join(chosen))
            async with trio.open_nursery() as nursery:
                for name in chosen:
                    nursery.start_soon(self.play_one, name)
            await self.check_running()
            await trio.sleep(QUIET_SECONDS)

    async def check_running(self) -> None:
        """Finds routers that no fault ended, and starts them again."""
        for router in self.routers:
            if router.process.running:
                continue
            code = router.process.process.returncode
            self.violations.append(
                f'{router.host} ended by itself with {code} in the faults '
                f'{self.faults[-1]}'
            )
            await router.process.start()
            self.restarted.append((router.host, trio.current_time()))
            self.disturb()

    def runs(self) -> dict[str, list]:
        """Returns the runs of each request: when, and at which worker."""
        found = collections.defaultdict(list)
        for name, worker in self.workers.items():
            for asked, at in zip(worker.ran, worker.ran_at, strict=True):
                request = asked.headers['lavenderbend-request-id']
                found[request].append((at, name))
        return found

    def check(self) -> None:
        """Collects what must never happen, and did."""
        runs = self.runs()
        for told in self.told:
            self.check_told(told, runs.get(told.id, []))
        for name, at in self.left:
            self.check_left(name, at)
        told = {one.id: one for one in self.told}
        for name, worker in self.workers.items():
            self.check_word(name, worker, told)
            self.check_turned_away(name, worker, told)
        for begin, end in self.drained:
            self.check_drained(begin, end)
        for instance, at in self.cold:
            self.check_cold(instance, at)

    def has_restarted(self, host: str, since: float, until: float) -> bool:
        """Returns whether a router ended, or stood still for long."""
        return any(
            one == host and since <= at <= until for one, at in self.restarted
        )

    def check_word(self, name, worker, told: dict[str, Told]) -> None:
        """Finds what came to a worker whose answers had said it leaves."""
        heard: dict[tuple[str, str], float] = {}
        for request, instance in worker.announced_leaving.items():
            one = told.get(request)
            if one is None or not one.status:
                continue
            at = heard.get((one.router, instance), float('inf'))
            heard[one.router, instance] = min(at, one.until)
        for _, request, instance in worker.arrived:
            one = told.get(request)
            at = one and heard.get((one.router, instance))
            if at is None or one.sent <= at + LEAVE_SECONDS:
                continue
            if self.has_restarted(one.router, at, one.sent):
                continue
            self.violations.append(
                f'{request} came to {name} {one.sent - at:.2f} s after '
                f'{one.router} had passed on that it leaves'
            )

    def check_turned_away(self, name, worker, told: dict[str, Told]) -> None:
        """Finds what came to a worker that had asked for a pause."""
        arrived = [
            (at, told[request].router, request)
            for at, request, _ in worker.arrived
            if request in told
        ]
        for at, request, seconds in worker.rejected:
            if request not in told:
                continue
            router = told[request].router
            found = [
                one
                for came, host, one in arrived
                if host == router and at + AFTER_SECONDS < came < at + seconds
            ]
            excused = self.has_restarted(router, at, at + seconds)
            if len(found) > MOST_AFTER and not excused:
                self.violations.append(
                    f'{", ".join(found)} came to {name} from {router} within '
                    f'{seconds} s of its refusal of {request}'
                )

    def runs_of(self, name: str) -> list[tuple[float, str, str]]:
        """Returns time, request and instance of the runs of a worker."""
        worker = self.workers[name]
        return [
            (
                at,
                asked.headers['lavenderbend-request-id'],
                asked.headers['lavenderbend-expect-instance'],
            )
            for asked, at in zip(worker.ran, worker.ran_at, strict=True)
        ]

    def check_drained(self, begin: float, end: float) -> None:
        """Finds what came to the drained zone while it was drained."""
        if any(
            begin - TOUCH_SECONDS < disturbed < end
            for disturbed in self.disturbed
        ):
            return
        for name in self.zones:
            self.violations.extend(
                f'{request} came to {name} {at - begin:.2f} s after its zone '
                'was drained'
                for at, request, _ in self.runs_of(name)
                if begin + DRAIN_SECONDS < at < end
            )

    def check_cold(self, instance: str, begin: float) -> None:
        """Finds whether an engine got too many requests while it was cold."""
        times = sorted(
            at
            for name in self.workers
            for at, _, expected in self.runs_of(name)
            if expected == instance and begin <= at < begin + COLD_SECONDS
        )
        for first, last in zip(times, times[MOST_WHILE_COLD:], strict=False):
            if last - first < 1.0:
                self.violations.append(
                    f'{instance} got more than {MOST_WHILE_COLD} requests in '
                    f'{last - first:.2f} s, {first - begin:.2f} s after its '
                    'start'
                )
                return

    def check_told(self, told: Told, ran: list) -> None:
        found = []
        self.find(told, ran, found)
        context = (
            f' ({told.status}, {told.ended}, from {told.router}, after event '
            f'{told.after}, in {told.until - told.sent:.2f} s; engines: '
            f'{self.done_for(told)}; faults: {self.in_play(told)})'
        )
        self.violations.extend(text + context for text in found)

    def find(self, told: Told, ran: list, found: list[str]) -> None:
        """Adds what is wrong with what a caller was told."""
        if told.kind == 'desk' and len(ran) > 1:
            found.append(f'{told.id} ran {len(ran)} times')
        if told.status in NOT_RUN and told.kind == 'desk' and ran:
            found.append(f'{told.id} was told {told.status} and ran')
        if told.streamed:
            self.find_streamed(told, found)
        elif told.status == 200 and not (told.signed and self.whole(told)):
            found.append(f'{told.id} got {told.body!r} as a success')
        revoked = self.revoked.get(told.key)
        if revoked is None or told.sent < revoked + REVOCATION_SECONDS:
            return
        if ran:
            late = told.sent - revoked
            found.append(f'{told.id} ran {late:.2f} s after its revocation')

    def find_streamed(self, told: Told, found: list[str]) -> None:
        """Adds what is wrong with a stream, also with one that broke off."""
        if told.after and told.status not in (0, *RESUMED_STATUSES):
            found.append(f'{told.id} resumed and was told {told.status}')
        if told.status == 401 and told.key not in self.revoked:
            found.append(f'{told.id} was told 401 with a valid credential')
        if told.status != 200:
            if told.ended == stream_callers.MALFORMED:
                found.append(f'{told.id} got an answer that is no HTTP')
            return
        fault = stream_callers.fault_in(
            told.path, told.after, told.body, told.ended
        )
        if fault and not self.looks_complete(told):
            found.append(f'{told.id} got {fault}')
        if not told.signed:
            found.append(f'{told.id} got no signature')

    def looks_complete(self, told: Told) -> bool:
        """Returns whether a link cut an answer without a length.

        No router can tell one that is cut between two events from a
        complete one.
        """
        done = self.done_for(told)
        return (
            'worker link' in self.in_play(told)
            and any(plan in done for plan in stream_standins.UNFRAMED)
            and told.ended == stream_callers.COMPLETE
            and told.body.endswith(b'\n\n')
            and not stream_callers.fault_in(
                told.path, told.after, told.body, stream_callers.BROKEN
            )
        )

    def whole(self, told: Told) -> bool:
        """Returns whether a body is the whole answer to its request."""
        if told.body in (b'did it', b'the first', b'whole to the end'):
            return True
        return told.body.endswith(f'/{told.id[1:]}'.encode())

    def check_left(self, name: str, at: float) -> None:
        if any(
            at - TOUCH_SECONDS < disturbed < at + LEAVE_SECONDS
            for disturbed in self.disturbed
        ):
            return
        back = min(
            (
                again
                for one, again in self.returned
                if one == name and again > at
            ),
            default=float('inf'),
        )
        worker = self.workers[name]
        for asked, when in zip(worker.ran, worker.ran_at, strict=True):
            if at + LEAVE_SECONDS < when < back:
                request = asked.headers['lavenderbend-request-id']
                self.violations.append(f'{request} came to {name} that left')


def pick(world):
    return world.rng.choice(world.routers)


@FAULTS.register('kill')
async def kill(world):
    router = pick(world)
    world.disturb()
    await router.process.kill()
    await trio.sleep(world.rng.uniform(0.0, 1.0))
    await router.process.start()
    world.restarted.append((router.host, trio.current_time()))
    world.disturb()


@FAULTS.register('kill all')
async def kill_all(world):
    world.disturb()
    for router in world.routers:
        await router.process.kill()
    for router in world.routers:
        await router.process.start()
        world.restarted.append((router.host, trio.current_time()))
    world.disturb()


@FAULTS.register('pause')
async def pause(world):
    # the clock that counts suspension goes on under SIGSTOP
    router = pick(world)
    world.disturb()
    world.held.add(router.host)
    router.process.pause()
    await trio.sleep(world.rng.uniform(0.5, 6.0))
    world.held.discard(router.host)
    router.process.resume()
    world.restarted.append((router.host, trio.current_time()))
    world.disturb()


@FAULTS.register('stop')
async def stop(world):
    router = pick(world)
    if not router.process.running:
        return
    process = router.process.process
    router.process.signal(signal.SIGTERM)
    with trio.move_on_after(STOP_SECONDS):
        await process.wait()
    if process.returncode is None:
        world.violations.append(f'{router.host} did not stop')
        await router.process.kill()
    await router.process.start()
    world.restarted.append((router.host, trio.current_time()))
    world.disturb()


@FAULTS.register('reload')
async def reload(world):
    # a process that has yet to install its handler ends by the signal
    for router in world.routers:
        if router.answered is router.process.process:
            router.process.signal(signal.SIGHUP)
    await trio.sleep(0.1)


@FAULTS.register('store link')
async def store_link(world):
    link = world.store_links[pick(world).host]
    world.disturb()
    choice = world.rng.choice(('refuse', 'silent', 'slow', 'reset', 'lose'))
    link.faults.refuse = choice == 'refuse'
    link.faults.lose_answers = choice == 'lose'
    link.faults.delay = 0.3 if choice == 'slow' else 0.0
    if choice == 'silent':
        link.faults.cut = proxies.Cut.BOTH
    if choice in ('reset', 'refuse'):
        await link.reset()
    await trio.sleep(world.rng.uniform(0.5, 7.0))
    link.heal()
    await link.reset()
    world.disturb()


@FAULTS.register('store')
async def store(world):
    world.disturb()
    world.store.fault = world.rng.choice(('busy', 'many', 'reset', 'silent'))
    await trio.sleep(world.rng.uniform(0.5, 6.0))
    world.store.fault = ''
    world.disturb()


@FAULTS.register('worker link')
async def worker_link(world):
    link = world.worker_links[world.rng.choice(list(world.worker_links))]
    choice = world.rng.choice(('delay', 'reset', 'silent', 'one way', 'lose'))
    if choice == 'silent':
        link.faults.cut = proxies.Cut.BOTH
    if choice == 'one way':
        link.faults.cut = proxies.Cut.FROM_TARGET
    link.faults.delay = 0.2 if choice == 'delay' else 0.0
    link.faults.lose_answers = choice == 'lose'
    if choice == 'reset':
        await link.reset()
    await trio.sleep(world.rng.uniform(0.2, 3.0))
    link.heal()


@FAULTS.register('worker answers')
async def worker_answers(world):
    for worker in world.workers.values():
        plans = (
            PLANS
            if worker.service == 'desk'
            else (*PLANS[:3], *stream_standins.PLANS)
        )
        worker.plans.extend(world.rng.choices(plans, k=3))
    await trio.sleep(1.0)


@FAULTS.register('revoke')
async def revoke(world):
    if len(world.keys) < 3:
        return
    key = world.keys.pop(world.rng.randrange(len(world.keys)))
    world.publish()
    world.revoked[key] = trio.current_time()
    await trio.sleep(world.rng.uniform(0.0, 1.0))


@FAULTS.register('configuration')
async def configuration(world):
    for _ in range(world.rng.randint(1, 5)):
        world.publish()
        await trio.sleep(world.rng.uniform(0.0, 0.4))


@FAULTS.register('leave')
async def leave(world):
    name = world.rng.choice(('i-e1', 'i-e2'))
    world.register(name, 'draining')
    world.left.append((name, trio.current_time()))
    await trio.sleep(3.0)
    world.returned.append((name, trio.current_time()))
    world.register(name)


@DEPARTURES.register('leave by answers')
async def leave_by_answers(world):
    """A worker says that it leaves while the store is away."""
    name = world.rng.choice(('i-e1', 'i-e2'))
    worker = world.workers[name]
    if any(one.leaving for one in world.workers.values()):
        return
    world.disturb()
    world.store.fault = 'silent'
    worker.leaving = True
    await trio.sleep(world.rng.uniform(LEAVE_SECONDS + 1.0, 5.0))
    # the store learns of it, or the entry has lapsed, or is as before
    outcome = world.rng.choice(('told', 'lapsed', 'late'))
    if outcome == 'told':
        world.register(name, 'draining')
    if outcome == 'lapsed':
        world.store.remove(f'servers/{worker.instance}')
    world.store.fault = ''
    world.disturb()
    await trio.sleep(world.rng.uniform(1.0, LEAVE_SECONDS + 1.0))
    world.replace(name)


@DEPARTURES.register('leave without a word')
async def leave_without_a_word(world):
    name = world.rng.choice(('i-e1', 'i-e2'))
    if world.workers[name].leaving:
        return
    key = f'servers/{world.workers[name].instance}'
    if key not in world.store.items:
        return
    world.store.remove(key)
    world.left.append((name, trio.current_time()))
    await trio.sleep(world.rng.uniform(3.0, 5.0))
    world.returned.append((name, trio.current_time()))
    world.replace(name)


@DEPARTURES.register('turn away')
async def turn_away(world):
    """Workers turn requests away and say for how long."""
    count = world.rng.randint(1, len(world.workers))
    for name in world.rng.sample(sorted(world.workers), count):
        worker = world.workers[name]
        worker.retry_after_seconds = world.rng.choice((1.0, 1.5, 3.0))
        seconds = world.rng.uniform(0.2, 4.0)
        worker.rejects_until = trio.current_time() + seconds
    await trio.sleep(1.0)


for shared in ('kill', 'leave', 'configuration', 'reload', 'stop'):
    DEPARTURES.register(shared)(FAULTS.get(shared))


@ZONES.register('drain zone')
async def drain_zone(world):
    """Operators drain a zone and take it back; its engine is cold then."""
    key = f'op/evacuate/{DRAINED_ZONE}'
    if key in world.store.items:
        return
    world.store.put(key, {})
    begin = trio.current_time()
    await trio.sleep(world.rng.uniform(DRAIN_SECONDS, DRAIN_SECONDS + 2.0))
    end = trio.current_time()
    world.store.remove(key)
    world.drained.append((begin, end))
    for name in world.zones:
        world.cold.append((world.workers[name].instance, end))


@ZONES.register('start again')
async def start_again(world):
    """An engine is gone, and another one starts cold at its address."""
    name = world.rng.choice(('i-e1', 'i-e2'))
    world.replace(name)
    instance = world.workers[name].instance
    world.cold.append((instance, trio.current_time()))
    await trio.sleep(world.rng.uniform(0.0, 2.0))


for shared in ('kill', 'kill all', 'pause', 'configuration', 'store link'):
    ZONES.register(shared)(FAULTS.get(shared))


async def soak(
    folder,
    seed,
    seconds,
    routers=forwarding_fleet.ROUTERS,
    departures=False,
    zones=False,
) -> World:
    """Returns the world after a soak."""
    world = World(folder, seed, routers, departures, zones)
    async with trio.open_nursery() as nursery:
        try:
            await world.start(nursery)
            nursery.start_soon(world.balancer.run)
            nursery.start_soon(world.stall)
            async with trio.open_nursery() as callers:
                for number in range(CALLERS):
                    if number < STREAM_CALLERS:
                        callers.start_soon(world.call_streams, number)
                    else:
                        callers.start_soon(world.call)
                await world.play(seconds)
                await trio.sleep(SETTLE_SECONDS)
                callers.cancel_scope.cancel()
        finally:
            with trio.CancelScope(shield=True):
                await world.end()
        nursery.cancel_scope.cancel()
    world.check()
    return world


def streams(world) -> collections.Counter:
    """Returns how streams ended, and how many were resumed."""
    counts = collections.Counter()
    for told in world.told:
        if told.streamed and told.status == 200:
            counts[told.ended] += 1
            counts['resumed'] += bool(told.after)
            further = world.done_for(told).count(' after ') - 1
            counts['went on at a further engine'] += further
    return counts


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--count', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=20.0)
    parser.add_argument('--routers', type=int, default=forwarding_fleet.ROUTERS)
    parser.add_argument('--departures', action='store_true')
    parser.add_argument('--zones', action='store_true')
    options = parser.parse_args()
    failed = 0
    for seed in range(options.seed, options.seed + options.count):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
        world = trio.run(
            soak,
            folder,
            seed,
            options.seconds,
            options.routers,
            options.departures,
            options.zones,
        )
        told = collections.Counter((one.kind, one.status) for one in world.told)
        failed += bool(world.violations)
        print(f'seed {seed}: {len(world.told)} requests, {dict(told)}')
        print(f'  faults: {", ".join(world.faults)}')
        print(f'  streams: {dict(streams(world))}')
        for violation in world.violations:
            print(f'  VIOLATION {violation} (logs in {folder})')
        sys.stdout.flush()
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
