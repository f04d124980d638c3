"""Routers before upstreams that crash if they must reject too much.

Gossip between the routers is real; the clock is virtual.
"""

from __future__ import annotations

import collections
import random

import attrs
import trio

from lavenderbend import errors
from lavenderbend.coordination.forwarding import interfaces
from lavenderbend.coordination.forwarding import rejection_limits
from lavenderbend.state import forwarding
from tests import forwarding_fakes as fakes

SERVICE = 'desk'
SLOTS = 6
WAITING = 2
SERVICE_SECONDS = 0.09
LATENCY_SECONDS = 0.001
DOWN_SECONDS = 3.0
SETTLE_SECONDS = 4.0
NOT_RUN = fakes.not_run().head


@attrs.define(eq=False)
class Worker:
    """An upstream with a few slots and little room to wait.

    Attributes:
        limit: Rejections in a second that it stands.
        waiting: Requests that it lets wait.
        says: Whether its answers name the limit.
        held: Requests that it has.
        down_until: Time until which it is down.
        rejected: Times of its rejections.
        crashes: Times at which it crashed.
        done: Requests that it answered.
    """

    limit: int
    waiting: int = WAITING
    says: bool = True
    slots: trio.CapacityLimiter = attrs.field(
        factory=lambda: trio.CapacityLimiter(SLOTS)
    )
    held: int = 0
    down_until: float = 0.0
    rejected: list = attrs.field(factory=list)
    crashes: list = attrs.field(factory=list)
    done: int = 0

    @property
    def down(self):
        return trio.current_time() < self.down_until

    def head(self, head):
        if not self.says:
            return head
        name = (b'x-rejection-limit', b'%d' % self.limit)
        return attrs.evolve(head, headers=(*head.headers, name))

    async def answer(self):
        """Returns the head of its answer to a request."""
        if self.held >= SLOTS + self.waiting:
            return self.reject()
        self.held += 1
        try:
            async with self.slots:
                await trio.sleep(SERVICE_SECONDS)
        finally:
            self.held -= 1
        if self.down:
            raise errors.UpstreamLost('crashed')
        self.done += 1
        return self.head(fakes.reply().head)

    def reject(self):
        now = trio.current_time()
        self.rejected.append(now)
        if self.says and sum(at > now - 1.0 for at in self.rejected) > (
            self.limit
        ):
            self.crashes.append(now)
            self.rejected.clear()
            self.down_until = now + DOWN_SECONDS
            raise errors.UpstreamLost('crashed')
        return self.head(NOT_RUN)


class Exchange(interfaces.Exchange):
    def __init__(self, worker):
        self.worker = worker
        self.parts = [b'done']

    async def send(self, request):
        await trio.sleep(LATENCY_SECONDS)
        if self.worker.down:
            raise errors.UpstreamLost('down')
        head = await self.worker.answer()
        await trio.sleep(LATENCY_SECONDS)
        return head

    async def read(self):
        await trio.lowlevel.checkpoint()
        return self.parts.pop() if self.parts else None

    def close(self):
        pass


class Exchanges(interfaces.Exchanges):
    def __init__(self, workers):
        self.workers = workers

    async def accepts(self, target):
        await trio.sleep(2 * LATENCY_SECONDS)
        return not self.workers[target.instance].down

    async def open(self, target, repeatable):
        if not await self.accepts(target):
            raise errors.UpstreamUnreachable('down')
        return Exchange(self.workers[target.instance])


class LimitedFleet:
    """Routers with gossip, and callers that send to them at random.

    Attributes:
        workers: The upstreams by instance.
        routers: The routers by host.
        outcomes: How many requests ended in which way.
    """

    def __init__(self, nursery, size, limit, seed, workers=3, guarded=True):
        self.nursery = nursery
        self.rng = random.Random(seed)
        self.workers = {f'd{n}': Worker(limit) for n in range(workers)}
        rule = fakes.rule(
            path='/desk/*',
            pools=(forwarding.PoolShare(SERVICE, 1.0),),
            idempotent=True,
            attempts=2,
        )
        self.content = fakes.snapshot(
            1,
            fakes.table(1, (rule,)),
            *(
                fakes.upstream(name, SERVICE, slots=SLOTS)
                for name in self.workers
            ),
        )
        self.cut = set()
        self.routers = {}
        self.outcomes = collections.Counter()
        self.exchanges = Exchanges(self.workers)
        nodes = {}
        hosts = [f'10.0.{n // 100}.{n % 100 + 1}' for n in range(size)]
        for host in hosts:
            self.start(host, hosts[:3], nodes, guarded)

    def start(self, host, seeds, nodes, guarded):
        source = fakes.Source(self.content)
        node = fakes.Node(host, fakes.ZONE, source, nodes, self.cut, seeds)
        node.link.nursery = self.nursery
        node.link.delay = LATENCY_SECONDS
        router = fakes.Router(
            self.content, self.exchanges, shared_loads_of=node.loads
        )
        router.node = node
        if guarded:
            guard = rejection_limits.RejectionLimits(
                node.loads,
                node.peers.facts,
                node.peers.budget_divisor,
                random.Random(host),
            )
            node.peers.fact_callbacks[rejection_limits.LIMITED] = (
                guard.apply_limit
            )
            node.peers.fact_callbacks[rejection_limits.FULL] = guard.apply_full
            router.chooser.rejection_limits = guard
            router.reserving_chooser.reservations = node.peers.reservations
            router.forwarder.attempts.rejection_limits = guard
        node.start(self.nursery)
        self.nursery.start_soon(router.silence.run)
        self.routers[host] = router

    async def press(self, seconds, per_second, deadline=2.0):
        """Sends requests to routers at random times."""
        until = trio.current_time() + seconds
        hosts = list(self.routers)
        async with trio.open_nursery() as nursery:
            number = 0
            while trio.current_time() < until:
                number += 1
                host = self.rng.choice(hosts)
                nursery.start_soon(self.ask, host, number, deadline)
                await trio.sleep(self.rng.expovariate(per_second))

    async def ask(self, host, number, deadline):
        router = self.routers[host]
        request = fakes.request(
            '/desk/1',
            x_request_id=f'r{number}',
            x_deadline_ms=f'{deadline * 1000:.0f}',
        )
        answer = fakes.Answer()
        outcome = 'answered'
        try:
            await router.forwarder.forward(request, answer)
        except errors.RequestError as exc:
            outcome = exc.kind
        self.outcomes[outcome] += 1

    @property
    def crashes(self):
        return sum(len(worker.crashes) for worker in self.workers.values())

    def share(self, outcome):
        return self.outcomes[outcome] / max(1, self.outcomes.total())
