"""Forwarding routers that share freshness, loads and crashes."""

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

REVOCATION = 5.0
HOSTS = ('10.0.0.1', '10.0.0.2', '10.0.0.3', '10.0.0.4')


class Fleet:
    def __init__(self, nursery, hosts=HOSTS):
        self.content = fakes.snapshot(
            1, fakes.table(1), fakes.upstream('e1'), fakes.upstream('e2')
        )
        self.cut = set()
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
            self.cut,
            seeds,
            apply_seconds=2.0,
            revocation_seconds=REVOCATION,
        )
        node.start(self.nursery)
        return node

    def put(self, content):
        self.content = content
        for node in self.routers.values():
            node.source.snapshots_by_digest[content.digest] = content
            node.source.put(content)

    def reads(self):
        return sum(node.source.reads for node in self.routers.values())

    def isolate_from_store(self, host):
        self.routers[host].source.error = errors.KeyValueUnavailable('cut')

    def isolate_from_peers(self, host):
        for other in HOSTS:
            self.cut |= {(host, other), (other, host)}


@pytest.fixture
async def fleet(nursery, autojump_clock):
    fleet = Fleet(nursery)
    await trio.sleep(5.0)
    return fleet


async def test_routers_find_each_other_from_few_addresses(
    fleet, autojump_clock
):
    assert [n.peers.fleet_size() for n in fleet.routers.values()] == [4] * 4


async def test_one_read_serves_the_fleet(fleet, autojump_clock):
    before = fleet.reads()
    await trio.sleep(20.0)
    # alone, four routers would make more than a read a second each
    assert fleet.reads() - before < 45


async def test_version_reaches_all_within_its_time(fleet, autojump_clock):
    fleet.put(fakes.snapshot(2, fakes.table(2)))
    await trio.sleep(1.2)
    versions = [n.snapshots.table.version for n in fleet.routers.values()]
    assert versions == [2] * 4


async def test_router_that_the_store_turns_away_serves_by_its_peers(
    fleet, autojump_clock
):
    # The store refuses one router and serves the others. Its callers are
    # served as long as its peers prove that nothing has changed, and a
    # change reaches it through them.
    fleet.isolate_from_store(HOSTS[3])
    node = fleet.routers[HOSTS[3]]
    await trio.sleep(12.0)
    assert node.snapshots.may_serve_credentials()
    fleet.put(fakes.snapshot(2, fakes.table(2)))
    await trio.sleep(1.5)
    assert node.snapshots.table.version == 2


async def test_router_that_nobody_reaches_stops_serving_credentials(
    fleet, autojump_clock
):
    fleet.isolate_from_store(HOSTS[3])
    fleet.isolate_from_peers(HOSTS[3])
    node = fleet.routers[HOSTS[3]]
    await trio.sleep(REVOCATION)
    assert not node.snapshots.may_serve_credentials()


async def test_messages_that_waited_prove_nothing_new(fleet, autojump_clock):
    # A router is suspended for eight seconds. Meanwhile a credential is
    # taken away, and its socket holds messages from before, each of which
    # says that its sender was fresh a moment ago. Taken at their word on
    # waking, they would have it serve the credential.
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


async def test_echo_of_an_earlier_life_proves_nothing(fleet, autojump_clock):
    # A VM lost power and its clock began anew; a peer still echoes the clock
    # of its earlier life, which now lies far ahead.
    node = fleet.routers[HOSTS[0]]
    state = fleet.routers[HOSTS[1]].peers.state(HOSTS[0])
    node.peers.freshness.incarnation += 1
    assert node.peers.freshness.proved_at(state) == float('-inf')


async def test_proof_is_never_ahead_of_the_own_clock(fleet, autojump_clock):
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


async def test_loads_of_peers_are_known(fleet, autojump_clock):
    fleet.routers[HOSTS[0]].loads.begin('e2')
    fleet.routers[HOSTS[0]].loads.begin('e2')
    await trio.sleep(0.3)
    assert fleet.routers[HOSTS[1]].loads.load('e2') == 2
    await trio.sleep(1.0)
    assert fleet.routers[HOSTS[3]].loads.load('e2') == 2


async def test_loads_of_a_silent_peer_end(fleet, autojump_clock):
    fleet.routers[HOSTS[0]].loads.begin('e2')
    await trio.sleep(1.0)
    fleet.isolate_from_peers(HOSTS[0])
    await trio.sleep(4.0)
    assert fleet.routers[HOSTS[1]].loads.load('e2') == 0


async def test_router_that_starts_without_the_store_gets_all_from_peers(
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


async def test_new_router_learns_of_requests_that_upstreams_die_of(
    fleet, autojump_clock
):
    known = fleet.routers[HOSTS[0]].peers.facts
    for name in ('e1', 'e2'):
        known.add(crashes.DEATH, crashes.fact_subject(7), name, 60.0)
    await trio.sleep(5.0)
    node = fleet.add('10.0.0.9')
    await trio.sleep(1.5)
    assert node.crashes.crashed_upstreams(7) == ['e1', 'e2']


async def test_upstreams_that_leave_hide_nothing_from_a_router_that_starts(
    fleet, autojump_clock
):
    # guards against a release that keeps a new router from hearing of a death
    known = fleet.routers[HOSTS[0]].peers.facts
    known.add(crashes.DEATH, crashes.fact_subject(7), 'e1', 60.0)
    for number in range(20):
        known.add(departures.LEFT, f'x{number}', '1', 30.0)
    told = [kind for kind, *_ in known.told_to_new()]
    assert told == [crashes.DEATH]


async def test_many_changes_are_fetched_together(fleet, autojump_clock):
    # Upstreams come and go twenty times a second. Fetching each change would
    # cost each router of a large fleet most of its time.
    node = fleet.routers[HOSTS[3]]
    fleet.isolate_from_store(HOSTS[3])
    await trio.sleep(1.0)
    fetched = []
    fetch = node.link.fetch

    async def counted(host, known):
        fetched.append(trio.current_time())
        return await fetch(host, known)

    node.link.fetch = counted
    for number in range(100):
        one = fakes.upstream(f'x{number}')
        fleet.put(fakes.snapshot(number + 2, fakes.table(1), one))
        await trio.sleep(0.05)
    assert 3 <= len(fetched) <= 26
    await trio.sleep(1.5)
    assert list(node.snapshots.current.upstreams) == ['x99']


async def test_message_fits_a_datagram_in_the_largest_fleet(
    fleet, autojump_clock
):
    # A thousand routers, all in one zone or spread over twelve, 6,100
    # upstreams that all report, and a rack that dies: a message over the
    # size of a packet would be cut, and lost twice as often.
    peers = fleet.routers[HOSTS[0]].peers
    found = [fakes.upstream(f'i-{number:08x}') for number in range(6100)]
    fleet.routers[HOSTS[0]].snapshots.accept(
        fakes.snapshot(2, fakes.table(2), *found), trio.current_time()
    )
    loads = fleet.routers[HOSTS[0]].loads
    for one in found:
        loads.begin(one.instance)
        loads.note_report(one.instance, b'31,95,32')
        peers.facts.add(
            crashes.DEATH, crashes.fact_subject(2**64 - 1), one.instance, 60.0
        )
    for number in range(500):
        peers.prompts.note_chat(f'chat-{number}', f'i-{number:08x}')
    for number in range(1000):
        host = f'10.9.{number // 250}.{number % 250}'
        peers.members.near.note(host)
        peers.count.note(f'zone-number-{number % 12}', 1000)
        peers.members.learn(f'zone-number-{number % 12}', host, 1.0)
    zones = {HOSTS[1]: fakes.ZONE, '10.9.0.7': 'zone-number-7'}
    for host, zone in zones.items():
        state = fleet.routers[HOSTS[1]].peers.state(HOSTS[0])
        peers.members.note(attrs.evolve(state, host=host, zone=zone))
        for new in (False, True):
            state = peers.full_state(host, asks=True, new=new)
            assert len(peer.encode(state)) < 1400


async def test_reads_of_a_large_fleet_grow_little(nursery, autojump_clock):
    # Each call of the store is paid for. A message takes a moment from one
    # router to the next; sixty routers that each drew an even time would
    # read a dozen times before the first one's proof had reached them.
    hosts = [f'10.1.0.{number}' for number in range(60)]
    fleet = Fleet(nursery, hosts)
    for node in fleet.routers.values():
        node.peers.members.seeds = hosts[:2]
        node.link.delay = 0.02
        node.link.nursery = nursery
    await trio.sleep(20.0)
    assert all(n.peers.fleet_size() > 50 for n in fleet.routers.values())
    before = fleet.reads()
    await trio.sleep(20.0)
    reads = fleet.reads() - before
    assert reads < 20 * 4
