"""A soak of forwarding routers: real processes, seeded faults from outside."""

from __future__ import annotations

import argparse
import collections
import pathlib
import random
import signal
import sys
import tempfile

import attrs
import trio

from lavenderbend import registry
from tests import platform_standins as standins
from tests.integration import forwarding_fleet
from tests.integration import proxy as proxies

CALLERS = 8
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
FAULTS: registry.Registry = registry.Registry('fault')


@attrs.frozen
class Told:
    """What a caller was told of one request.

    Attributes:
        id: The request.
        kind: `chat`, `desk` or `look`.
        key: The credential.
        sent: Clock of its first byte.
        status: The HTTP status, 0 if the connection broke.
        body: What came of the body.
        signed: Whether the answer has an upstream's signature.
    """

    id: str
    kind: str
    key: str
    sent: float
    status: int
    body: bytes = b''
    signed: bool = False


class World(forwarding_fleet.ForwardingFleet):
    """A fleet whose links to the store and the workers can be disturbed."""

    def __init__(self, folder, seed, routers=forwarding_fleet.ROUTERS) -> None:
        super().__init__(folder, routers)
        self.rng = random.Random(seed)
        self.told: list[Told] = []
        self.faults: list[str] = []
        self.violations: list[str] = []
        self.revoked: dict[str, float] = {}
        self.returned: list[tuple[str, float]] = []
        self.left: list[tuple[str, float]] = []
        self.disturbed: list[float] = []
        self.version = 1
        self.keys = [f'llave-{number}' for number in range(1, 9)]
        self.store_links = {}
        self.worker_links = {}
        self.count = 0

    async def start(self, nursery) -> None:
        await nursery.start(self.store.serve)
        for name, worker in self.workers.items():
            worker.gap = 0.03
            await nursery.start(worker.serve)
            link = proxies.FaultProxy(standins.HOST, worker.port)
            await nursery.start(link.run)
            self.worker_links[name] = link
            self.register(name)
        self.publish()
        for router in self.routers:
            link = proxies.FaultProxy(standins.HOST, self.store.port)
            await nursery.start(link.run)
            self.store_links[router.host] = link
            self.write_settings(router, store_port=link.port)
            await router.process.start()
        for router in self.routers:
            await self.until(router.ready)

    def register(self, name, state='ready') -> None:
        port = self.worker_links[name].port
        address = f'{standins.HOST}:{port}'
        entry = {**self.workers[name].entry(state), 'address': address}
        self.store.put(f'servers/{name}', entry)

    def publish(self) -> None:
        tenants = [{'name': 'corte', 'apiKeys': self.keys, 'priority': 1}]
        value = standins.configuration(self.version, tenants=tenants)
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
            kind, path, method = self.rng.choice(
                (
                    ('chat', '/chat/1', 'POST'),
                    ('desk', '/desk/send', 'POST'),
                    ('look', '/desk/look/1', 'GET'),
                )
            )
            self.count += 1
            number = self.count
            known = [*self.keys, *self.revoked]
            key = self.rng.choice(known)
            sent = trio.current_time()
            told = Told(f'r{number}', kind, key, sent, 0)
            with trio.move_on_after(REQUEST_SECONDS):
                told = await self.told_of(
                    client, told, router, f'{path}/{number}', method
                )
            self.told.append(told)
            await trio.sleep(self.rng.uniform(0.0, 0.1))

    async def told_of(self, client, told, router, path, method) -> Told:
        try:
            answer = await forwarding_fleet.ask_by(
                client, router, path, told.id[1:], method, told.key
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

    async def play(self, seconds) -> None:
        """Plays faults, every second time two at once."""
        names = list(FAULTS)
        end = trio.current_time() + seconds
        while trio.current_time() < end:
            chosen = self.rng.sample(names, 1 + len(self.faults) % 2)
            self.faults.append('+'.join(chosen))
            async with trio.open_nursery() as nursery:
                for name in chosen:
                    nursery.start_soon(FAULTS.get(name), self)
            await trio.sleep(QUIET_SECONDS)

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

    def check_told(self, told: Told, ran: list) -> None:
        found = self.violations
        if told.kind == 'desk' and len(ran) > 1:
            found.append(f'{told.id} ran {len(ran)} times')
        if told.status in NOT_RUN and told.kind == 'desk' and ran:
            found.append(f'{told.id} was told {told.status} and ran')
        if told.status == 200 and not (told.signed and self.whole(told)):
            found.append(f'{told.id} got {told.body!r} as a success')
        revoked = self.revoked.get(told.key)
        if revoked is None or told.sent < revoked + REVOCATION_SECONDS:
            return
        if ran:
            late = told.sent - revoked
            found.append(f'{told.id} ran {late:.2f} s after its revocation')

    def whole(self, told: Told) -> bool:
        """Returns whether a body is the whole answer to its request."""
        if told.kind == 'chat':
            return told.body == b''.join(
                b'id: %d\ndata: x%d\n\n' % (number, number)
                for number in range(1, 6)
            )
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
    world.disturb()


@FAULTS.register('kill all')
async def kill_all(world):
    world.disturb()
    for router in world.routers:
        await router.process.kill()
    for router in world.routers:
        await router.process.start()
    world.disturb()


@FAULTS.register('pause')
async def pause(world):
    # the clock that counts suspension goes on under SIGSTOP
    router = pick(world)
    world.disturb()
    router.process.pause()
    await trio.sleep(world.rng.uniform(0.5, 6.0))
    router.process.resume()
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
    world.disturb()


@FAULTS.register('reload')
async def reload(world):
    for router in world.routers:
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
            PLANS if worker.service == 'desk' else (*PLANS[:3], 'breaks_off')
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


async def soak(
    folder, seed, seconds, routers=forwarding_fleet.ROUTERS
) -> World:
    """Returns the world after a soak."""
    world = World(folder, seed, routers)
    async with trio.open_nursery() as nursery:
        try:
            await world.start(nursery)
            nursery.start_soon(world.balancer.run)
            async with trio.open_nursery() as callers:
                for _ in range(CALLERS):
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


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--count', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=20.0)
    parser.add_argument('--routers', type=int, default=forwarding_fleet.ROUTERS)
    options = parser.parse_args()
    failed = 0
    for seed in range(options.seed, options.seed + options.count):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
        world = trio.run(soak, folder, seed, options.seconds, options.routers)
        told = collections.Counter((one.kind, one.status) for one in world.told)
        failed += bool(world.violations)
        print(f'seed {seed}: {len(world.told)} requests, {dict(told)}')
        print(f'  faults: {", ".join(world.faults)}')
        for violation in world.violations:
            print(f'  VIOLATION {violation} (logs in {folder})')
        sys.stdout.flush()
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
