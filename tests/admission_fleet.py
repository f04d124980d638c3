"""Routers with real gossip before engines that have too little room.

The clock is virtual. Routers can be killed, paused and cut off while requests
wait at the owners of engines.
"""

from __future__ import annotations

import random

import attrs
import trio

from bench.fleet import engines
from bench.fleet import entries
from lavenderbend import errors
from lavenderbend.protocol import messages_forwarding
from lavenderbend.state import forwarding
from lavenderbend.state import hashing
from tests import forwarding_fakes as fakes

SERVICE = 'chat'
# Routers of the smallest fleet in which owners are asked, and one more, so
# that one may die.
SIZE = 14
ENGINES = 3
QUEUE_SECONDS = 4.0
LATENCY_SECONDS = 0.001
SETTLE_SECONDS = 4.0
LOAD_FACTOR = 2.0
SHARED_TOKENS = 8600
OWN_TOKENS = 600
EVENTS = 7
TARGET_SECONDS = 1.0
DEADLINE_SECONDS = 5.0
# A router may end a request this long after its deadline.
LATE_SECONDS = 0.05
RESTART_SECONDS = 0.1
NOT_RUN_STATUS = 503
# Fields that the build before this one does not know.
NEW_FIELDS = {
    messages_forwarding.ReservationRequest: (
        'rank',
        'customer',
        'output_tokens',
        'target_milliseconds',
        'checks_room',
        'wait_milliseconds',
    ),
    messages_forwarding.ReservationReply: (
        'outcome',
        'shortage',
        'expected_milliseconds',
        'queued',
    ),
    messages_forwarding.RouterState: ('capacity',),
}


def as_previous_build(message):
    """Returns a message as the previous build sends or reads it."""
    names = NEW_FIELDS.get(type(message), ())
    fields = attrs.fields_dict(type(message))
    return attrs.evolve(
        message, **{name: fields[name].default for name in names}
    )


def hosts_of(size):
    """Returns the hosts of a fleet."""
    return [f'10.0.{n // 100}.{n % 100 + 1}' for n in range(size)]


def owner_of(instance, hosts):
    """Returns the router of one zone that owns an engine."""
    return hashing.rendezvous(f'{hashing.short_id(instance):08x}', hosts)


def drop_message(host, message):
    """Sends nothing."""


class Cuts(set):
    """Pairs of hosts between which nothing is delivered, and random losses.

    Attributes:
        loss: Part of all messages that are lost.
    """

    def __init__(self, rng):
        super().__init__()
        self.rng = rng
        self.loss = 0.0

    def __contains__(self, pair):
        return super().__contains__(pair) or self.rng.random() < self.loss


@attrs.define(eq=False)
class Call:
    """One request of a caller.

    Attributes:
        id: Its id.
        host: The router that got it.
        router: That router in the life in which it got it.
        sent_at: Router clock.
        begun_at: When the first event arrived, None if none did.
        ended_at: When the router ended it, None if it died before.
        error: What the caller was told, None if it was answered.
        ended: Set when the router ended it.
    """

    id: str
    host: str
    router: object
    sent_at: float
    begun_at: float | None = None
    ended_at: float | None = None
    error: errors.RequestError | None = None
    ended: trio.Event = attrs.field(factory=trio.Event)

    @property
    def in_time(self):
        """Whether the answer began within the target."""
        begun = self.begun_at
        return begun is not None and begun - self.sent_at <= TARGET_SECONDS


class Answer(fakes.Answer):
    """Records when a stream begins."""

    begun_at = None

    async def start(self, status, headers):
        await super().start(status, headers)
        self.begun_at = trio.current_time()


class AdmissionFleet:
    """Routers, engines and the requests of callers.

    Attributes:
        pool: The engines by instance.
        exchanges: Connections to them; compares their loads with the bound.
        nodes: What each router shares with the others, by host.
        routers: The live routers by host.
        calls: All requests of callers.
        cut: Pairs of hosts between which nothing is delivered.
    """

    def __init__(
        self,
        nursery,
        size=SIZE,
        count=ENGINES,
        seed=1,
        queue_seconds=QUEUE_SECONDS,
        previous=(),
    ):
        self.nursery = nursery
        self.rng = random.Random(seed)
        self.queue_seconds = queue_seconds
        self.previous = set(previous)
        self.cut = Cuts(random.Random(seed + 1))
        self.hosts = hosts_of(size)
        self.nodes = {}
        self.routers = {}
        self.calls = []
        self.pool = {f'e{n}': engines.Engine() for n in range(count)}
        for engine in self.pool.values():
            nursery.start_soon(engine.run)
        self.exchanges = engines.Engines(
            self.pool, fakes.HEADERS, {}, LOAD_FACTOR
        )
        rule = fakes.rule(
            timeout=DEADLINE_SECONDS,
            pools=(forwarding.PoolShare(SERVICE, 1.0),),
            attempts=2,
            streaming=True,
            resumable=True,
            target=TARGET_SECONDS,
        )
        self.content = fakes.snapshot(
            1,
            fakes.table(1, (rule,)),
            *(fakes.upstream(name, SERVICE) for name in self.pool),
        )
        for host in self.hosts:
            self.start(host)

    def start(self, host):
        """Starts a router."""
        source = fakes.Source(self.content)
        node = fakes.Node(
            host, fakes.ZONE, source, self.nodes, self.cut, self.hosts[:3]
        )
        node.link.nursery = self.nursery
        node.link.delay = LATENCY_SECONDS
        router = fakes.Router(
            self.content, self.exchanges, shared_loads_of=node.loads
        )
        router.node = node
        chooser = router.reserving_chooser
        chooser.reservations = node.peers.reservations
        chooser.instances = node.peers.loads.instances
        chooser.fleet_size = node.peers.fleet_size
        if host in self.previous:
            self.make_previous(node)
        else:
            entries.set_queue(router.forwarder, node.peers, self.queue_seconds)
        router.scope = trio.CancelScope()
        self.routers[host] = router
        self.nursery.start_soon(self.run_router, router)

    def make_previous(self, node):
        """Has a router send and read messages as the previous build."""
        send, receive = node.link.send, node.link.receiver
        node.link.send = lambda host, message: send(
            host, as_previous_build(message)
        )
        node.link.receiver = lambda message: receive(as_previous_build(message))

    async def run_router(self, router):
        """Runs a router and its requests until it is killed."""
        with router.scope:
            async with trio.open_nursery() as nursery:
                router.nursery = nursery
                router.node.start(nursery)
                nursery.start_soon(router.silence.run)
                await trio.sleep_forever()

    def kill(self, host):
        """Ends a router at once; nobody is told."""
        # What its requests send as they are cancelled is lost.
        self.nodes.pop(host).link.send = drop_message
        self.routers.pop(host).scope.cancel()

    async def restart_all(self):
        """Kills all routers and starts them again."""
        for host in self.hosts:
            self.kill(host)
        await trio.sleep(RESTART_SECONDS)
        for host in self.hosts:
            self.start(host)

    async def pause(self, host, seconds):
        """Has a router neither send nor receive; what it got waits."""
        link = self.nodes[host].link
        pairs = [(host, other) for other in self.hosts]
        link.held = []
        self.cut.update(pairs)
        await trio.sleep(seconds)
        self.cut.difference_update(pairs)
        link.release()

    def mute(self, host):
        """Cuts a router off one way: it hears all and reaches nobody."""
        self.cut.update((host, other) for other in self.hosts)

    def deafen(self, host):
        """Cuts a router off the other way."""
        self.cut.update((other, host) for other in self.hosts)

    def split(self):
        """Cuts the routers into halves that do not hear each other."""
        half = len(self.hosts) // 2
        for first in self.hosts[:half]:
            for second in self.hosts[half:]:
                self.cut.update({(first, second), (second, first)})

    def owner(self, instance):
        """Returns the host of an engine's owner when all are alive."""
        return owner_of(instance, self.hosts)

    def entries(self):
        """Returns the routers that own no engine."""
        owners = {self.owner(instance) for instance in self.pool}
        return [host for host in self.hosts if host not in owners]

    def owned(self, host):
        """Returns what a router counts as an owner."""
        return self.nodes[host].peers.reservations.owned

    def waiting(self, host=None):
        """Returns the requests that wait at owners, of one entry or of all."""
        return [
            waiting
            for owner in self.nodes
            for queue in self.owned(owner).queue.queues.values()
            for waiting in queue
            if host in (None, waiting.message.host)
        ]

    def counted(self, host):
        """Returns the requests of an entry that owners count."""
        return [
            counted
            for owner in self.nodes
            for room in self.owned(owner).upstreams.values()
            for key, counted in room.counted.items()
            if key[0] == host
        ]

    def unread(self, host):
        """Returns the tokens that owners take engines to read for an entry."""
        now = trio.current_time()
        return sum(
            counted.unread
            for counted in self.counted(host)
            if now < min(counted.until, counted.reading_until)
        )

    async def settle(self):
        """Waits until the routers know each other."""
        await trio.sleep(SETTLE_SECONDS)

    def burst(self, count, hosts=None, shared=SHARED_TOKENS):
        """Sends requests of different chats at once."""
        for _ in range(count):
            self.send(self.rng.choice(hosts or sorted(self.routers)), shared)

    async def press(self, seconds, per_second, shared=1400):
        """Sends requests of different chats at random times."""
        until = trio.current_time() + seconds
        while trio.current_time() < until:
            self.send(self.rng.choice(sorted(self.routers)), shared)
            await trio.sleep(self.rng.expovariate(per_second))

    async def finish(self):
        """Waits until the requests of live routers ended, or should have."""
        with trio.move_on_after(DEADLINE_SECONDS + 2 * LATE_SECONDS):
            for call in self.open_calls():
                await call.ended.wait()

    def open_calls(self):
        """Returns requests that live routers have not ended."""
        return [
            call
            for call in self.calls
            if call.ended_at is None
            and self.routers.get(call.host) is call.router
        ]

    def send(self, host, shared, chat=None):
        """Sends a request to a router."""
        name = f'r{len(self.calls)}'
        router = self.routers[host]
        call = Call(name, host, router, trio.current_time())
        self.calls.append(call)
        chat = chat or f'chat-{name}'
        request = fakes.request(
            x_request_id=name,
            x_deadline_ms=f'{DEADLINE_SECONDS * 1000:.0f}',
            x_events=str(EVENTS),
            x_prompt_parts=f'all:0,{chat}:{shared},{name}-own:{OWN_TOKENS}',
        )
        router.nursery.start_soon(self.call, router, request, call)

    async def call(self, router, request, call):
        """Runs a request and records what its caller got."""
        answer = Answer()
        try:
            await router.forwarder.forward(request, answer)
        except errors.RequestError as exc:
            call.error = exc
        call.begun_at = answer.begun_at
        call.ended_at = trio.current_time()
        call.ended.set()

    def calls_since(self, at):
        """Returns the requests sent from a time on."""
        return [call for call in self.calls if call.sent_at >= at]

    def late_calls(self):
        """Returns requests that live routers kept beyond their deadline."""
        now = trio.current_time()
        latest = DEADLINE_SECONDS + LATE_SECONDS
        return [
            call
            for call in self.calls
            if self.routers.get(call.host) is call.router
            and (call.ended_at or now) - call.sent_at > latest
        ]

    def falsely_not_run(self):
        """Returns requests told not to have run that an engine received."""
        return [
            call
            for call in self.calls
            if call.error is not None
            and call.error.status == NOT_RUN_STATUS
            and any(call.id in engine.ran for engine in self.pool.values())
        ]

    def in_time_part(self, calls):
        """Returns the part of some requests that began within the target."""
        return sum(call.in_time for call in calls) / len(calls)
