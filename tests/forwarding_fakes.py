"""Fakes of callers, upstreams, peers and the store for forwarding tests."""

from __future__ import annotations

import random

import attrs
import trio

from lavenderbend import errors
from lavenderbend.coordination.forwarding import attempts
from lavenderbend.coordination.forwarding import budget
from lavenderbend.coordination.forwarding import cached_prompts
from lavenderbend.coordination.forwarding import choice
from lavenderbend.coordination.forwarding import crashes
from lavenderbend.coordination.forwarding import departures
from lavenderbend.coordination.forwarding import directory
from lavenderbend.coordination.forwarding import facts
from lavenderbend.coordination.forwarding import forwarder
from lavenderbend.coordination.forwarding import health
from lavenderbend.coordination.forwarding import interfaces
from lavenderbend.coordination.forwarding import loads
from lavenderbend.coordination.forwarding import outgoing
from lavenderbend.coordination.forwarding import peers
from lavenderbend.coordination.forwarding import prompt_holders
from lavenderbend.coordination.forwarding import request_resolver
from lavenderbend.coordination.forwarding import reserving_chooser
from lavenderbend.coordination.forwarding import shared_loads
from lavenderbend.coordination.forwarding import silence
from lavenderbend.coordination.forwarding import snapshots
from lavenderbend.coordination.forwarding import suspicions
from lavenderbend.state import configuration
from lavenderbend.state import forwarding
from lavenderbend.state import forwarding_settings
from lavenderbend.state import upstreams

HEADERS = forwarding_settings.ForwardHeaders(
    copy_from='x-copy-from', reserved=('x-hold',)
)
ZONE = 'sala-a'
KEY = 'llave-1'


def upstream(
    name,
    service='chat',
    zone=ZONE,
    leaving=False,
    slots=64,
    start='',
    revision=0,
):
    state = upstreams.VmState.LEAVING if leaving else upstreams.VmState.LIVE
    vm = upstreams.Vm(
        name,
        '127.0.0.1',
        9,
        zone,
        service,
        upstreams.UpstreamKind.SERVICE,
        state=state,
    )
    return forwarding.Upstream(name + start, vm, slots, revision)


def rule(name='chat', path='/chat/*', **then):
    values = {
        'pools': (forwarding.PoolShare('chat', 1.0),),
        'timeout': 5.0,
        **then,
    }
    when = configuration.When(path=(path,), header={'host': 'a.example'})
    return forwarding.ForwardRule(name, when, forwarding.Forward(**values))


def table(version=1, rules=None, customers=None):
    if customers is None:
        customers = (forwarding.ForwardCustomer('corte', (KEY,), 1),)
    return forwarding.ForwardingTable(
        version, rules or (rule(),), customers=customers
    )


def snapshot(revision=1, forwarding_table=None, *members, drained=None):
    by_name = {member.instance: member for member in members}
    parts = [str(forwarding_table), *sorted(str(member) for member in members)]
    if drained:
        parts.append(str(drained))
    # A changed part becomes another key, so that the digest changes.
    items = {part: forwarding.RawItem(1, b'') for part in parts}
    raw = forwarding.RawSnapshot(revision, items)
    return forwarding.Snapshot(
        revision, raw.digest, forwarding_table, by_name, raw, drained or {}
    )


class Source(interfaces.SnapshotSource):
    """A store with content, delay and error that a test sets."""

    def __init__(self, content=None):
        self.content = content
        self.snapshots_by_digest = {}
        self.delay = 0.004
        self.error = None
        self.reads = 0

    def put(self, content):
        self.content = content

    async def read(self):
        self.reads += 1
        await trio.sleep(self.delay)
        if self.error is not None:
            raise self.error
        self.snapshots_by_digest[self.content.digest] = self.content
        return self.content.raw

    async def newest_position(self):
        return (await self.read()).position

    async def changes_since(self, revision):
        return None

    def decode(self, raw):
        if raw.digest not in self.snapshots_by_digest:
            raise errors.CodecError('unknown content')
        return attrs.evolve(
            self.snapshots_by_digest[raw.digest], revision=raw.revision, raw=raw
        )

    def keep_table(self, raw, kept):
        """Returns a read with the table of an earlier one, told by its key."""
        content = self.snapshots_by_digest[raw.digest]
        table = self.snapshots_by_digest[kept.digest].table
        key = str(table)
        item = forwarding.RawItem(forwarding.KEPT_REVISION, b'')
        both = raw.with_changes(raw.revision, {key: item}, ())
        self.snapshots_by_digest[both.digest] = attrs.evolve(
            content, digest=both.digest, table=table
        )
        return both


class SuspensionClock:
    """A clock that continues while the process is suspended."""

    def __init__(self):
        self.suspended = 0.0

    def __call__(self):
        return trio.current_time() + self.suspended


class Answer(interfaces.CallerAnswer):
    """Records what a caller receives, without writes that were cancelled.

    A write is cancelled before the caller has any of it, like one to a socket
    with a full buffer.
    """

    def __init__(self):
        self.status = None
        self.headers = ()
        self.body = b''
        self.heads = 0

    async def send_whole(self, status, headers, body):
        self.started = True
        await self.write()
        self.finished = True
        self.heads += 1
        self.status, self.headers, self.body = status, headers, body

    async def start(self, status, headers):
        self.started = True
        await self.write()
        self.heads += 1
        self.status, self.headers = status, headers

    async def send(self, data):
        await self.write()
        self.body += data

    async def finish(self):
        await self.write()
        self.finished = True

    async def write(self):
        self.write_pending = True
        await trio.lowlevel.checkpoint()
        self.write_pending = False


def reply(status=200, body=(b'done',), delay=0.0, error=None, **headers):
    """Returns how an upstream responds to one request.

    `error` is raised after the body. A float among the parts of the body is a
    pause in seconds.
    """
    named = {'x-signature': 'sig', **headers}
    raw = tuple((k.encode(), v.encode()) for k, v in named.items() if v)
    return Reply(interfaces.AnswerHead(status, raw), tuple(body), delay, error)


@attrs.frozen
class Reply:
    head: interfaces.AnswerHead
    body: tuple
    delay: float
    error: Exception | None


LOST_ANSWER = errors.UpstreamLost('reset')


def not_run(status=503):
    return reply(status, (b'',), **{'x-signature': '', 'x-not-run': '1'})


class Exchange(interfaces.Exchange):
    def __init__(self, exchanges, instance, step):
        self.exchanges = exchanges
        self.instance = instance
        self.step = step
        self.parts = list(getattr(step, 'body', ()))
        self.ended = False

    async def send(self, request):
        self.exchanges.sent.append((self.instance, request))
        if isinstance(self.step, Exception):
            raise self.step
        await trio.sleep(self.step.delay)
        return self.step.head

    async def read(self):
        while self.parts:
            part = self.parts.pop(0)
            if isinstance(part, float):
                await trio.sleep(part)
            else:
                await trio.lowlevel.checkpoint()
                return part
        if self.step.error is not None:
            raise self.step.error
        self.ended = True
        return None

    def close(self):
        self.exchanges.closed.append((self.instance, self.ended))


class Exchanges(interfaces.Exchanges):
    """Upstreams that respond as a test lists, by instance.

    Attributes:
        steps: The next responses of each; the last one is repeated.
        sent: Instances and the requests sent to them.
        closed: Instances, and whether their response was complete.
        refusing: Instances that accept no connections.
        gone: Instances that accept none after their first answer.
    """

    def __init__(self, **steps):
        self.steps = {name: list(value) for name, value in steps.items()}
        self.sent = []
        self.closed = []
        self.refusing = set()
        self.gone = set()

    async def accepts(self, target):
        await trio.lowlevel.checkpoint()
        return target.instance not in self.refusing | self.gone

    async def open(self, target, repeatable):
        await trio.lowlevel.checkpoint()
        if target.instance in self.refusing:
            raise errors.UpstreamUnreachable('refused')
        steps = self.steps[target.instance]
        step = steps.pop(0) if len(steps) > 1 else steps[0]
        return Exchange(self, target.instance, step)

    def names(self):
        return [instance for instance, _ in self.sent]


class Router:
    """A forwarding router assembled over fakes.

    Attributes:
        applied_facts: Facts that the router applied, in order.
    """

    def __init__(
        self, content, exchanges, fleet=1, shared_loads_of=None, **follow
    ):
        self.clock = SuspensionClock()
        self.source = Source(content)
        self.snapshots = snapshots.Snapshots(
            self.source,
            snapshots.FollowSettings(**follow),
            random.Random(1),
            self.clock,
        )
        self.directory = directory.Directory(self.snapshots)
        self.health = health.Health()
        self.loads = shared_loads_of or loads.Loads()
        self.exchanges = exchanges
        self.applied_facts = []
        shared_facts = facts.Facts('10.0.0.1', self.apply_fact)
        self.crashes = crashes.CrashDetector(exchanges.accepts, shared_facts)
        self.departures = departures.Departures(
            self.snapshots, self.directory, shared_facts
        )
        self.silence = silence.SilenceDetector(self.health)
        self.budget = budget.RetryBudget(
            budget.RetryBudgetSettings(0.2, 50.0, 10.0), lambda: fleet
        )
        self.resolver = request_resolver.RequestResolver(
            self.snapshots, HEADERS, 2.0
        )
        self.shared_loads = shared_loads.SharedLoads(self.snapshots, self.loads)
        self.cached = cached_prompts.CachedPrompts(
            self.directory,
            self.health,
            prompt_holders.PromptHolders(),
            self.shared_loads.instances,
        )
        self.chooser = choice.Chooser(
            ZONE,
            self.directory,
            self.health,
            self.loads,
            2.0,
        )
        self.reserving_chooser = reserving_chooser.ReservingChooser(
            self.chooser, None, self.shared_loads.instances, lambda: 1
        )
        self.forwarder = forwarder.Forwarder(
            self.resolver,
            self.reserving_chooser,
            attempts.Attempts(
                exchanges,
                self.directory,
                self.health,
                self.loads,
                outgoing.OutgoingRequests(
                    self.cached,
                    HEADERS,
                ),
                self.crashes,
                self.silence,
                self.departures,
                HEADERS,
            ),
            self.budget,
        )
        self.snapshots.accept(content, self.clock())

    def apply_fact(self, fact):
        self.applied_facts.append(fact)
        if fact.kind == departures.LEAVING:
            self.departures.apply_announcement(fact)
        elif fact.kind == departures.DRAINED:
            self.departures.apply_drained(fact)
        elif fact.kind != departures.LEFT:
            self.crashes.apply_fact(fact)

    async def send_request(self, **fields):
        """Returns the caller's response, and the error or None."""
        answer = Answer()
        error = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.silence.run)
            try:
                await self.forwarder.forward(request(**fields), answer)
            except errors.RequestError as exc:
                error = exc
            nursery.cancel_scope.cancel()
        return answer, error


def request(path='/chat/1', body=b'{}', key=KEY, method=b'POST', **headers):
    named = {
        'host': 'a.example',
        'x-request-id': 'r1',
        'x-deadline-ms': '5000',
        'authorization': f'Bearer {key}' if key else '',
        **{name.replace('_', '-'): value for name, value in headers.items()},
    }
    raw = tuple(
        (name.encode(), value.encode())
        for name, value in named.items()
        if value
    )
    return interfaces.CallerRequest(
        method, path.encode(), raw, body, trio.current_time()
    )


class Network(interfaces.DatagramLink):
    """A router's link to the other routers in a shared map.

    Attributes:
        cut: Pairs of hosts between which nothing is delivered.
        delay: Delivery time in seconds; the nursery delivers the messages.
        held: Messages held back until `release`, None to deliver at once.
        too_slow: Whether snapshot fetches time out while messages arrive.
    """

    delay = 0.0
    nursery = None
    too_slow = False

    def __init__(self, host, routers, cut):
        self.host = host
        self.routers = routers
        self.cut = cut
        self.held = None

    def reaches(self, host):
        return host in self.routers and (self.host, host) not in self.cut

    def send(self, host, message):
        if not self.reaches(host):
            return
        link = self.routers[host].link
        if link.held is not None:
            link.held.append(message)
        elif self.delay:
            self.nursery.start_soon(self.deliver, link, message)
        else:
            link.receiver(message)

    async def deliver(self, link, message):
        await trio.sleep(self.delay)
        link.receiver(message)

    def release(self):
        held, self.held = self.held, None
        for message in held:
            self.receiver(message)

    async def fetch(self, host, base):
        await trio.sleep(0.001)
        if self.too_slow or not self.reaches(host):
            raise errors.PeerUnreachable('cut')
        return self.routers[host].snapshots.current.raw


class Node:
    """The state that one router shares with its peers, without requests."""

    def __init__(self, host, zone, source, routers, cut, seeds, **follow):
        self.clock = SuspensionClock()
        self.source = source
        self.snapshots = snapshots.Snapshots(
            source,
            snapshots.FollowSettings(**follow),
            random.Random(host),
            self.clock,
        )
        self.directory = directory.Directory(self.snapshots)
        self.loads = loads.Loads()
        self.health = health.Health()
        self.link = Network(host, routers, cut)
        self.peers = peers.Peers(
            f'router-{host}',
            host,
            zone,
            seeds,
            self.snapshots,
            self.loads,
            self.link,
            random.Random(host),
        )
        self.crashes = crashes.CrashDetector(
            lambda target: True, self.peers.facts
        )
        self.suspicions = suspicions.Suspicions(
            self.peers.facts, self.peers.fleet_size
        )
        self.departures = departures.Departures(
            self.snapshots, self.directory, self.peers.facts
        )
        self.peers.fact_callbacks = {
            crashes.DEATH: self.crashes.apply_fact,
            crashes.CLEARED: self.crashes.apply_fact,
            departures.LEFT: self.departures.apply_departure,
            departures.LEAVING: self.departures.apply_announcement,
            departures.DRAINED: self.departures.apply_drained,
            suspicions.SUSPECTED: self.suspicions.apply_suspicion,
        }
        routers[host] = self

    def start(self, nursery):
        nursery.start_soon(self.snapshots.run)
        nursery.start_soon(self.peers.run)
