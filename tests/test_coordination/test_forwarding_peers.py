"""Forwarding routers that share freshness, loads and facts."""

from __future__ import annotations

import attrs
import pytest
import trio

from lavenderbend import errors
from lavenderbend.coordination.forwarding import crashes
from lavenderbend.coordination.forwarding import departures
from lavenderbend.protocol import messages_forwarding
from lavenderbend.protocol import peer
from tests import forwarding_fakes as fakes

REVOCATION_SECONDS = 5.0
HOSTS = ('10.0.0.1', '10.0.0.2', '10.0.0.3', '10.0.0.4')


class Fleet:
    def __init__(self, nursery, hosts=HOSTS):
        self.content = fakes.snapshot(
            1, fakes.table(1), fakes.upstream('e1'), fakes.upstream('e2')
        )
        self.unreachable = set()
        self.routers = {}
        self.nursery = nursery
        for host in hosts:
            self.add(host)

    def add(self, host, seeds=HOSTS[:2]):
        node = fakes.Node(
            host,
            'sala-a' if host in HOSTS[:2] else 'sala-b',
            fakes.Source(self.content),
            self.routers,
            self.unreachable,
            seeds,
            apply_seconds=2.0,
            revocation_seconds=REVOCATION_SECONDS,
        )
        node.start(self.nursery)
        return node

    def set_content(self, content):
        self.content = content
        for node in self.routers.values():
            node.source.snapshots_by_digest[content.digest] = content
            node.source.put(content)

    def read_count(self):
        return sum(node.source.reads for node in self.routers.values())

    def isolate_from_store(self, host):
        self.routers[host].source.error = errors.KeyValueUnavailable('cut')

    def isolate_from_peers(self, host):
        for other in HOSTS:
            self.unreachable |= {(host, other), (other, host)}


@pytest.fixture
async def fleet(nursery, autojump_clock):
    fleet = Fleet(nursery)
    await trio.sleep(5.0)
    return fleet


async def test_routers_discover_each_other_from_few_seeds(
    fleet, autojump_clock
):
    assert [n.peers.fleet_size() for n in fleet.routers.values()] == [4] * 4


async def test_one_read_serves_all_routers(fleet, autojump_clock):
    before = fleet.read_count()
    await trio.sleep(20.0)
    # Without sharing, four routers would make more than one read a second each.
    assert fleet.read_count() - before < 45


async def test_version_reaches_all_routers_in_time(fleet, autojump_clock):
    fleet.set_content(fakes.snapshot(2, fakes.table(2)))
    await trio.sleep(1.2)
    versions = [n.snapshots.table.version for n in fleet.routers.values()]
    assert versions == [2] * 4


async def test_router_refused_by_the_store_relies_on_its_peers(
    fleet, autojump_clock
):
    # The store refuses one router and serves the others. The router accepts
    # credentials as long as its peers prove that nothing has changed, and
    # receives changes through them.
    fleet.isolate_from_store(HOSTS[3])
    node = fleet.routers[HOSTS[3]]
    await trio.sleep(12.0)
    assert node.snapshots.may_serve_credentials()
    fleet.set_content(fakes.snapshot(2, fakes.table(2)))
    await trio.sleep(1.5)
    assert node.snapshots.table.version == 2


async def test_isolated_router_stops_accepting_credentials(
    fleet, autojump_clock
):
    fleet.isolate_from_store(HOSTS[3])
    fleet.isolate_from_peers(HOSTS[3])
    node = fleet.routers[HOSTS[3]]
    await trio.sleep(REVOCATION_SECONDS)
    assert not node.snapshots.may_serve_credentials()


async def test_messages_that_waited_prove_nothing_new(fleet, autojump_clock):
    # Guards against accepting a revoked credential after a suspension. During
    # the eight seconds of suspension the credential is revoked, and messages
    # with a recent proof of freshness wait in the socket. Proofs that are taken
    # as recent when the router resumes would make it accept the credential.
    fleet.isolate_from_store(HOSTS[3])
    node = fleet.routers[HOSTS[3]]
    await trio.sleep(1.0)
    node.link.held = []
    await trio.sleep(0.5)
    held = list(node.link.held)
    assert held
    fleet.isolate_from_peers(HOSTS[3])
    node.clock.suspended += 8.0
    node.link.release()
    assert not node.snapshots.may_serve_credentials()


async def test_echo_of_an_earlier_incarnation_proves_nothing(
    fleet, autojump_clock
):
    # A VM lost power and its clock began anew. A peer still echoes the clock of
    # the earlier incarnation, which is far ahead of the present one.
    node = fleet.routers[HOSTS[0]]
    state = fleet.routers[HOSTS[1]].peers.state(HOSTS[0])
    node.peers.freshness.incarnation += 1
    assert node.peers.freshness.proved_at(state) == float('-inf')


async def test_proof_is_never_later_than_the_own_clock(fleet, autojump_clock):
    node = fleet.routers[HOSTS[0]]
    state = messages_forwarding.RouterState(
        'x',
        1,
        HOSTS[1],
        'z',
        False,
        False,
        0.0,
        node.peers.freshness.incarnation,
        node.clock() + 100.0,
        0.0,
        0.0,
        1,
        1,
    )
    assert node.peers.freshness.proved_at(state) <= node.clock()


async def test_loads_of_peers_are_counted(fleet, autojump_clock):
    fleet.routers[HOSTS[0]].loads.begin('e2')
    fleet.routers[HOSTS[0]].loads.begin('e2')
    await trio.sleep(0.3)
    assert fleet.routers[HOSTS[1]].loads.load('e2') == 2
    await trio.sleep(1.0)
    assert fleet.routers[HOSTS[3]].loads.load('e2') == 2


async def test_loads_of_a_silent_peer_expire(fleet, autojump_clock):
    fleet.routers[HOSTS[0]].loads.begin('e2')
    await trio.sleep(1.0)
    fleet.isolate_from_peers(HOSTS[0])
    await trio.sleep(4.0)
    assert fleet.routers[HOSTS[1]].loads.load('e2') == 0


async def test_router_that_starts_during_an_outage_fetches_from_peers(
    fleet, autojump_clock
):
    for host in HOSTS:
        fleet.isolate_from_store(host)
    node = fleet.add('10.0.0.9')
    node.source.error = errors.KeyValueUnavailable('down')
    node.source.snapshots_by_digest.update(
        fleet.routers[HOSTS[0]].source.snapshots_by_digest
    )
    await trio.sleep(1.5)
    assert node.snapshots.table.version == 1
    assert node.snapshots.may_serve_credentials()


async def test_starting_router_receives_requests_that_crash_upstreams(
    fleet, autojump_clock
):
    facts = fleet.routers[HOSTS[0]].peers.facts
    for name in ('e1', 'e2'):
        facts.add(crashes.DEATH, crashes.fact_subject(7), name, 60.0)
    await trio.sleep(5.0)
    node = fleet.add('10.0.0.9')
    await trio.sleep(1.5)
    assert node.crashes.crashed_upstreams(7) == ['e1', 'e2']


async def test_departures_do_not_displace_facts_for_a_starting_router(
    fleet, autojump_clock
):
    # Guards against a rollout of upstreams whose departures fill the message to
    # a starting router, so that it does not receive a crash.
    facts = fleet.routers[HOSTS[0]].peers.facts
    facts.add(crashes.DEATH, crashes.fact_subject(7), 'e1', 60.0)
    for number in range(20):
        facts.add(departures.LEFT, f'x{number}', '1', 30.0)
    kinds = [kind for kind, *_ in facts.rows_for_starting()]
    assert kinds == [crashes.DEATH]


async def test_starting_router_receives_who_left_before_a_return(
    fleet, autojump_clock
):
    """Guards against requests of a router that only knows an older copy."""
    facts = fleet.routers[HOSTS[0]].peers.facts
    facts.add(departures.LEFT_BEFORE, 'x1', '12', 30.0)
    kinds = [kind for kind, *_ in facts.rows_for_starting()]
    assert kinds == [departures.LEFT_BEFORE]


async def test_many_changes_are_fetched_together(fleet, autojump_clock):
    # Upstreams come and go twenty times a second. With a fetch for each change
    # a router of a large fleet would spend most of its time on fetches.
    node = fleet.routers[HOSTS[3]]
    fleet.isolate_from_store(HOSTS[3])
    await trio.sleep(1.0)
    fetch_times = []
    original_fetch = node.link.fetch

    async def counting_fetch(host, known):
        fetch_times.append(trio.current_time())
        return await original_fetch(host, known)

    node.link.fetch = counting_fetch
    for number in range(100):
        upstream = fakes.upstream(f'x{number}')
        fleet.set_content(fakes.snapshot(number + 2, fakes.table(1), upstream))
        await trio.sleep(0.05)
    assert 3 <= len(fetch_times) <= 26
    await trio.sleep(1.5)
    assert list(node.snapshots.current.upstreams) == ['x99']


async def test_message_fits_one_datagram_in_the_largest_fleet(
    fleet, autojump_clock
):
    # A thousand routers in one zone or spread over twelve, 6,100 upstreams that
    # all report loads, and a rack that fails. A message larger than a packet
    # would be fragmented, and lost twice as often.
    peers = fleet.routers[HOSTS[0]].peers
    upstreams = [fakes.upstream(f'i-{number:08x}') for number in range(6100)]
    fleet.routers[HOSTS[0]].snapshots.accept(
        fakes.snapshot(2, fakes.table(2), *upstreams), trio.current_time()
    )
    loads = fleet.routers[HOSTS[0]].loads
    for upstream in upstreams:
        loads.begin(upstream.instance)
        loads.note_report(upstream.instance, b'31,95,32')
        peers.facts.add(
            crashes.DEATH,
            crashes.fact_subject(2**64 - 1),
            upstream.instance,
            60.0,
        )
    for number in range(500):
        peers.prompts.note_chat(f'chat-{number}', f'i-{number:08x}')
    for number in range(1000):
        host = f'10.9.{number // 250}.{number % 250}'
        peers.members.same_zone.note(host)
        peers.fleet.note(f'zone-number-{number % 12}', 1000)
        peers.members.note_host(f'zone-number-{number % 12}', host, 1.0)
    zones = {HOSTS[1]: fakes.ZONE, '10.9.0.7': 'zone-number-7'}
    for host, zone in zones.items():
        state = fleet.routers[HOSTS[1]].peers.state(HOSTS[0])
        peers.members.note(attrs.evolve(state, host=host, zone=zone))
        for new in (False, True):
            state = peers.full_state(host, reply_requested=True, new=new)
            assert len(peer.encode(state)) < 1400


async def test_reads_grow_little_with_the_fleet(nursery, autojump_clock):
    # Each call of the store is charged for. Messages between routers take some
    # time; sixty routers with uniformly drawn delays would make a dozen reads
    # before the proof of the first one has reached them.
    hosts = [f'10.1.0.{number}' for number in range(60)]
    fleet = Fleet(nursery, hosts)
    for node in fleet.routers.values():
        node.peers.members.seeds = hosts[:2]
        node.link.delay = 0.02
        node.link.nursery = nursery
    await trio.sleep(20.0)
    assert all(n.peers.fleet_size() > 50 for n in fleet.routers.values())
    before = fleet.read_count()
    await trio.sleep(20.0)
    reads = fleet.read_count() - before
    assert reads < 20 * 4
