"""Paths to upstreams: a router's own, and through other routers."""

from __future__ import annotations

import random

import attrs
import pytest
import trio
import trio.testing

from lavenderbend import errors
from lavenderbend.coordination.forwarding import health
from lavenderbend.coordination.forwarding import interfaces
from lavenderbend.coordination.forwarding import reachability
from lavenderbend.coordination.forwarding import relays
from lavenderbend.coordination.forwarding import silence
from lavenderbend.coordination.forwarding import suspicion_checks
from lavenderbend.coordination.forwarding import upstream_paths
from lavenderbend.protocol import messages_forwarding
from tests import forwarding_fakes as fakes
from tests.logged import named

Failure = errors.ConnectFailure
SILENT = 'silent'
REFUSED = 'refused'
CONNECT_SECONDS = 0.5
ROUND_TRIP_SECONDS = 0.002
NEAR, NEAR_2, FAR = '10.0.1.2', '10.0.1.3', '10.0.2.2'


@attrs.define(eq=False)
class Opened(interfaces.Exchange):
    """A connection that records whether it is closed."""

    relay: str = ''
    closed: bool = False

    async def send(self, request):
        raise NotImplementedError

    async def read(self):
        raise NotImplementedError

    def close(self):
        self.closed = True


class Connections(interfaces.DirectExchanges):
    """Paths that a test cuts, by the router that connects.

    Attributes:
        own: How this router's own connections fail, by instance.
        others: How those of each other router fail: a cut, or an error.
        opened: The connections opened.
        asked: The routers asked.
        silent_since: Arguments of `close_silent`.
    """

    def __init__(self):
        self.own = {}
        self.others = {}
        self.opened = []
        self.asked = []
        self.silent_since = []

    def reuse(self, upstream, repeatable):
        return None

    async def connect(self, upstream):
        await self.pass_cut(self.own.get(upstream.instance))
        return self.open_one('')

    async def connect_through(self, upstream, host):
        self.asked.append(host)
        fault = self.others.get(host)
        if isinstance(fault, Exception):
            await trio.sleep(ROUND_TRIP_SECONDS)
            raise fault
        await self.pass_cut(fault)
        return self.open_one(host)

    async def pass_cut(self, cut):
        await trio.sleep(ROUND_TRIP_SECONDS)
        if cut == SILENT:
            await trio.sleep(CONNECT_SECONDS)
            raise errors.UpstreamUnreachable(SILENT, Failure.TIMEOUT)
        if cut == REFUSED:
            raise errors.UpstreamUnreachable(REFUSED, Failure.REFUSED)

    def open_one(self, relay):
        exchange = Opened(relay)
        self.opened.append(exchange)
        return exchange

    async def accepts(self, upstream):
        try:
            await self.connect(upstream)
        except errors.UpstreamUnreachable:
            return False
        return True

    def close_silent(self, since):
        self.silent_since.append(since)


UPSTREAMS = [fakes.upstream(name) for name in ('e1', 'e2', 'e3')]
E1, E2, E3 = UPSTREAMS


@pytest.fixture
async def node(autojump_clock):
    """A router that knows two others of its zone and one of another."""
    source = fakes.Source()
    subject = fakes.Node(
        '10.0.1.1', fakes.ZONE, source, {}, set(), [NEAR, NEAR_2, FAR]
    )
    content = fakes.snapshot(1, fakes.table(), *UPSTREAMS)
    subject.snapshots.accept(content, subject.clock())
    return subject


def hear(node, host, zone=fakes.ZONE, **fields):
    """Receives a message of another router."""
    node.peers.members.note(
        messages_forwarding.RouterState(
            name=host,
            incarnation=1,
            host=host,
            zone=zone,
            leaving=fields.pop('leaving', False),
            reply_requested=False,
            sent_at=trio.current_time(),
            echo_incarnation=0,
            echo_at=None,
            echo_delay=0.0,
            proof_age=None,
            revision=0,
            digest=0,
            **fields,
        )
    )


@pytest.fixture
def connections():
    return Connections()


@pytest.fixture
def own():
    return reachability.Reachability()


@pytest.fixture
def chosen(node, own):
    return relays.Relays(
        node.peers.members, node.directory, node.health, own, random.Random(1)
    )


@pytest.fixture
def paths(connections, own, chosen):
    return upstream_paths.UpstreamPaths(connections, own, chosen)


@pytest.fixture
async def fleet(node):
    for host in (NEAR, NEAR_2):
        hear(node, host)
    hear(node, FAR, 'sala-b')


async def test_own_path_is_used_while_it_works(
    paths, connections, fleet, autojump_clock
):
    assert (await paths.open(E1, True)).relay == ''
    assert connections.asked == []


@pytest.mark.parametrize('cut', [SILENT, REFUSED])
async def test_request_reaches_an_upstream_through_another_router(
    paths, connections, fleet, autojump_clock, cut
):
    connections.own = {'e1': cut}
    began = trio.current_time()
    exchange = await paths.open(E1, False)
    assert exchange.relay in (NEAR, NEAR_2, FAR)
    assert trio.current_time() - began < 0.2
    began = trio.current_time()
    again = await paths.open(E1, False)
    assert again.relay == exchange.relay
    assert trio.current_time() - began == pytest.approx(ROUND_TRIP_SECONDS)


async def test_routers_of_a_zone_that_is_cut_off_are_passed_by(
    paths, connections, fleet, autojump_clock
):
    # Guards against a zone whose routers ask only each other.
    connections.own = {'e1': REFUSED}
    connections.others = {
        NEAR: errors.UpstreamUnreachable(REFUSED),
        NEAR_2: errors.UpstreamUnreachable(REFUSED),
    }
    assert (await paths.open(E1, True)).relay == FAR


async def test_upstream_that_nobody_reaches_is_unreachable(
    paths, connections, fleet, own, autojump_clock
):
    connections.own = {'e1': REFUSED, 'e2': REFUSED}
    down = errors.UpstreamUnreachable(REFUSED)
    connections.others = dict.fromkeys((NEAR, NEAR_2, FAR), down)
    for upstream in (E1, E2):
        with pytest.raises(errors.UpstreamUnreachable):
            await paths.open(upstream, True)
        assert paths.found_unreached(upstream.instance)
    assert not own.lost
    asked = len(connections.asked)
    with pytest.raises(errors.UpstreamUnreachable):
        await paths.open(E1, True)
    assert len(connections.asked) == asked


async def test_upstream_that_hangs_for_all_costs_less_than_a_second(
    paths, connections, fleet, autojump_clock
):
    connections.own = {'e1': SILENT}
    connections.others = dict.fromkeys((NEAR, NEAR_2, FAR), SILENT)
    began = trio.current_time()
    with pytest.raises(errors.UpstreamUnreachable) as caught:
        await paths.open(E1, True)
    assert caught.value.failure is Failure.TIMEOUT
    assert trio.current_time() - began < 0.8


async def test_router_alone_uses_its_own_path(
    paths, connections, node, autojump_clock
):
    connections.own = {'e1': REFUSED}
    with pytest.raises(errors.UpstreamUnreachable) as caught:
        await paths.open(E1, True)
    assert caught.value.failure is Failure.REFUSED
    assert (await paths.open(E2, True)).relay == ''


async def test_upstream_known_elsewhere_to_leave_is_not_suspected(
    paths, connections, fleet, autojump_clock
):
    connections.own = {'e1': REFUSED}
    leaving = errors.UpstreamWithdrawn('leaving')
    connections.others = dict.fromkeys((NEAR, NEAR_2, FAR), leaving)
    with pytest.raises(errors.UpstreamWithdrawn):
        await paths.open(E1, True)


async def test_router_cut_off_from_all_says_so_and_relays_nothing(
    paths, connections, fleet, own, chosen, autojump_clock, lines
):
    # Guards against a connection that is passed on a second time.
    connections.own = dict.fromkeys(('e1', 'e2', 'e3'), REFUSED)
    await paths.open(E1, True)
    assert chosen.admit('e1')[1] is E1
    await paths.open(E2, True)
    assert own.lost
    assert chosen.admit('e1') == (relays.Outcome.UNABLE, None)
    assert len(named(lines, 'upstreams_lost')) == 1


async def test_silent_cut_closes_idle_connections_and_a_refused_one_does_not(
    paths, connections, fleet, autojump_clock
):
    # Guards against requests that are sent into connections that hang.
    connections.own = {'e1': REFUSED, 'e2': SILENT}
    await paths.open(E1, True)
    assert connections.silent_since == []
    began = trio.current_time()
    await paths.open(E2, True)
    assert connections.silent_since == [began]


async def test_own_path_is_used_again_when_it_works(
    paths, connections, fleet, own, autojump_clock, nursery, lines
):
    nursery.start_soon(paths.run)
    connections.own = dict.fromkeys(('e1', 'e2', 'e3'), SILENT)
    for upstream in UPSTREAMS:
        await paths.open(upstream, True)
    await trio.sleep(3.0)
    assert own.lost and paths.any_cut()
    connections.own = {}
    await trio.sleep(1.5)
    assert not own.lost and not paths.any_cut()
    assert (await paths.open(E3, True)).relay == ''
    assert len(named(lines, 'upstream_path_regained')) == 3


async def test_only_the_used_one_of_two_connections_stays_open(
    paths, connections, fleet, autojump_clock
):
    connections.own = {'e1': SILENT}
    await paths.open(E1, True)
    await trio.sleep(1.0)
    assert [one.closed for one in connections.opened] == [False]


async def test_cancelled_request_leaves_no_connection_open(
    paths, connections, fleet, autojump_clock
):
    connections.own = {'e1': SILENT}
    connections.others = dict.fromkeys((NEAR, NEAR_2, FAR), SILENT)
    with trio.move_on_after(0.15) as scope:
        await paths.open(E1, True)
    assert scope.cancelled_caught
    await trio.sleep(1.0)
    assert connections.opened == []


async def test_relays_that_failed_are_asked_last(
    chosen, fleet, node, autojump_clock
):
    chosen.note_connected(NEAR)
    assert chosen.choose(1) == [NEAR]
    chosen.note_failed(NEAR)
    assert chosen.choose(3)[-1] == NEAR
    hear(node, NEAR_2, upstreams_lost=True)
    assert chosen.choose(1) == [FAR]


@pytest.fixture
def detector(autojump_clock):
    return silence.SilenceDetector(health.Health())


@pytest.fixture
async def checks(paths, node, detector, nursery):
    announced = []
    subject = suspicion_checks.SuspicionChecks(
        paths,
        node.directory,
        detector,
        lambda instance, seconds: announced.append(instance),
    )
    subject.announced = announced
    nursery.start_soon(subject.run)
    await trio.testing.wait_all_tasks_blocked()
    return subject


async def test_upstream_that_others_reach_is_not_announced_as_dead(
    checks, connections, fleet, autojump_clock, lines
):
    # Guards against routers without paths that turn the others away from
    # upstreams that work.
    checks.suspect('e1', 1.0)
    await trio.sleep(1.0)
    assert checks.announced == []
    (line,) = named(lines, 'suspicion_withheld')
    assert line['reached_by_others'] is True


async def test_upstream_that_nobody_reaches_is_announced(
    checks, connections, fleet, autojump_clock
):
    connections.others = dict.fromkeys(
        (NEAR, NEAR_2, FAR), errors.UpstreamUnreachable(REFUSED)
    )
    checks.suspect('e1', 1.0)
    await trio.sleep(0.1)
    assert checks.announced == ['e1']


async def test_upstream_that_is_silent_while_others_answer_is_announced_at_once(
    checks, connections, fleet, detector, autojump_clock
):
    detector.last_bytes_at['e2'] = trio.current_time()
    checks.suspect('e1', 1.0)
    assert checks.announced == ['e1']
    assert connections.asked == []
