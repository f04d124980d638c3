"""What a router keeps of a store that comes back from an older copy."""

from __future__ import annotations

import random

import attrs
import pytest
import trio

from lavenderbend.coordination.forwarding import departures
from lavenderbend.coordination.forwarding import drained_zones
from lavenderbend.coordination.forwarding import facts as facts_module
from lavenderbend.coordination.forwarding import leaving
from lavenderbend.coordination.forwarding import removals
from lavenderbend.coordination.forwarding import snapshots
from lavenderbend.coordination.forwarding import store_reads
from lavenderbend.coordination.forwarding.crashing_parts import part_records
from lavenderbend.coordination.forwarding.warm_up import coldness
from lavenderbend.platform import store as store_module
from lavenderbend.protocol import messages_forwarding
from lavenderbend.state import forwarding
from lavenderbend.transport import http_calls
from lavenderbend.transport import peer_datagrams
from tests import cold_start_fleet
from tests import forwarding_fakes as fakes
from tests import platform_standins as standins
from tests.logged import named

REREGISTRATION = snapshots.REREGISTRATION_SECONDS


def of_era(content, era):
    """Returns a snapshot as of another era of the store."""
    raw = attrs.evolve(content.raw, era=era)
    return attrs.evolve(content, raw=raw)


def at(era, revision):
    return forwarding.StorePosition(era, revision)


class Calls:
    """Calls to a store stand-in without sockets.

    Attributes:
        targets: Targets of the calls.
        after_call: Called after each.
    """

    def __init__(self, store):
        self.store = store
        self.targets = []
        self.after_call = lambda: None

    async def get(self, target):
        self.targets.append(target)
        await trio.lowlevel.checkpoint()
        request = standins.ReceivedRequest('GET', target, {}, b'')
        status, value = self.store.response(request)
        headers = {
            name.encode(): text.encode()
            for name, text in self.store.era_headers()
        }
        self.after_call()
        body = standins.json.dumps(value).encode()
        return http_calls.CallAnswer(status, body, headers)


@pytest.fixture
def store():
    standin = standins.Store()
    standin.era = 1
    standin.put('op/config', standins.configuration())
    standin.put('servers/w1', entry('ready'))
    return standin


@pytest.fixture
def client(store):
    subject = store_module.PlatformStore('http://127.0.0.1:4', 1.0)
    subject.calls = Calls(store)
    return subject


def entry(state, **changes):
    worker = standins.Worker('w1', 'engines')
    worker.port = 4000
    return {**worker.entry(state), **changes}


@pytest.fixture
def followed(client, autojump_clock):
    return snapshots.Snapshots(
        client,
        snapshots.FollowSettings(2.0, 5.0),
        random.Random(1),
        trio.current_time,
    )


def state_of(content, proved_ago=0.0, **changes):
    """Returns a message of a router with a snapshot."""
    fields = {
        'name': 'router-2',
        'incarnation': 2,
        'host': '10.0.0.2',
        'zone': fakes.ZONE,
        'leaving': False,
        'reply_requested': False,
        'sent_at': 0.0,
        'echo_incarnation': 0,
        'echo_at': trio.current_time(),
        'echo_delay': 0.0,
        'proof_age': proved_ago,
        'revision': content.revision,
        'digest': content.digest,
        'era': content.era,
        'version': content.version,
    }
    return messages_forwarding.RouterState(**{**fields, **changes})


# reads


async def test_value_with_a_known_revision_is_decoded_anew(store, client):
    """Guards against a leaving entry that passes for the ready one."""
    before = client.decode(await client.read())
    assert before.upstreams['w1'].vm.state.name == 'LIVE'
    store.go_back(store.revision - 1)
    store.put('servers/w1', entry('draining'))
    after = client.decode(await client.read())
    assert after.upstreams['w1'].vm.state.name == 'LEAVING'


@pytest.mark.parametrize('era', [1, None])
async def test_whole_content_with_known_revisions_is_taken_for_new(
    autojump_clock, store, followed, era
):
    """Guards against a content that passes for unchanged by its revisions."""
    store.era = era
    await followed.read()
    before = followed.current
    store.go_back(store.revision - 1)
    store.put('servers/w1', entry('draining'))
    await followed.read()
    assert followed.current.upstreams['w1'].vm.state.name == 'LEAVING'
    assert followed.current.digest == before.digest
    assert followed.current.era == before.era + 1
    assert followed.recovered_at == trio.current_time()


async def test_lower_revision_of_a_later_era_is_taken_over(
    autojump_clock, store, followed, lines
):
    """Guards against a router that waits until the old revision is passed."""
    copy = store.revision
    for number in range(50):
        store.put('op/other', number)
    await followed.read()
    await trio.sleep(2.0)
    store.go_back(copy)
    await followed.read()
    assert followed.current.position == at(2, copy)
    assert followed.age < 0.1
    (line,) = named(lines, 'store_came_back')
    assert (line['known_era'], line['known_revision']) == (1, copy + 50)


async def test_answer_of_an_earlier_era_is_dropped_and_not_asked_at_once(
    autojump_clock, store, followed, lines
):
    """Guards against reads without a pause while nothing newer is answered."""
    store.era = 3
    await followed.read()
    store.era = 2
    proved_at = followed.proved_at
    await trio.sleep(1.0)
    await followed.read()
    assert followed.current.era == 3
    assert followed.proved_at == proved_at
    assert followed.next_read_at() > trio.current_time()
    assert named(lines, 'store_outdated')


@pytest.fixture
def large(store):
    """Makes the store so large that only changes are read."""
    store.put('op/large', 'x' * store_reads.FULL_READ_BYTES)
    return store


@pytest.mark.parametrize('era', [1, None])
async def test_change_beneath_the_known_revision_is_read(
    autojump_clock, large, followed, era
):
    """Guards against a watch from a revision that exists again."""
    large.era = era
    copy = large.revision
    large.put('op/other', 1)
    large.put('op/other', 2)
    await followed.read()
    large.go_back(copy)
    large.put('servers/w1', entry('draining'))
    if era is None:
        # Within the time for a whole read nothing else shows that it came back.
        await followed.read()
    for number in range(5):
        large.put('op/other', number)
    await followed.read()
    assert followed.current.upstreams['w1'].vm.state.name == 'LEAVING'
    assert followed.current.revision == large.revision


async def test_large_store_without_an_era_is_read_whole_now_and_then(
    autojump_clock, large, followed
):
    """Guards against a return between two reads that nothing shows."""
    large.era = None
    copy = large.revision
    large.put('op/other', 1)
    await followed.read()
    await followed.read()
    large.go_back(copy)
    large.put('servers/w1', entry('draining'))
    large.put('op/other', 2)
    await followed.read()
    await trio.sleep(snapshots.WHOLE_READ_SECONDS)
    await followed.read()
    assert followed.current.upstreams['w1'].vm.state.name == 'LEAVING'


async def test_return_between_two_calls_of_a_read_is_noticed(
    autojump_clock, large, client, followed
):
    """Guards against changes of one era that are applied to another one's."""
    await followed.read()
    large.put('op/other', 1)

    def return_once():
        client.calls.after_call = lambda: None
        large.go_back(large.revision - 1)
        large.put('servers/w1', entry('draining'))

    client.calls.after_call = return_once
    await followed.read()
    assert followed.current.era == 2
    assert followed.current.upstreams['w1'].vm.state.name == 'LEAVING'


async def test_pages_of_two_eras_are_no_content(
    autojump_clock, store, client, followed
):
    """Guards against a content of which half is from before the return."""
    store.page_size = 1
    client.calls.after_call = lambda: store.go_back(store.revision)
    await followed.read()
    assert followed.current is None
    client.calls.after_call = lambda: None
    await followed.read()
    assert followed.current.upstreams.keys() == {'w1'}


async def test_era_that_is_no_number_is_an_unreadable_answer(
    autojump_clock, store, followed, monkeypatch
):
    """Guards against a router that a store's broken header ends."""
    monkeypatch.setattr(store, 'era_headers', lambda: [('store-era', 'x')])
    await followed.read()
    assert followed.current is None
    assert followed.failures == 1


# the configuration in force


async def test_version_in_force_stays_until_the_store_has_it_again(
    autojump_clock, store, followed
):
    """Guards against a revoked key that an older copy lets in again."""
    copy = store.revision
    store.put('op/config', standins.configuration(7))
    await followed.read()
    store.go_back(copy)
    store.put('servers/w1', entry('draining'))
    await followed.read()
    assert followed.table.version == 7
    assert followed.current.upstreams['w1'].vm.state.name == 'LEAVING'
    kept = followed.current
    await followed.read()
    assert followed.current.identity == kept.identity
    store.put('op/config', standins.configuration(8))
    await followed.read()
    assert followed.table.version == 8
    assert followed.current.raw.items['op/config'].revision == store.revision


async def test_version_in_force_reaches_a_router_that_started_since(
    autojump_clock, store, followed
):
    """Guards against a started router that lets a revoked key in again."""
    copy = store.revision
    store.put('op/config', standins.configuration(7))
    await followed.read()
    store.go_back(copy)
    await followed.read()
    other = store_module.PlatformStore('http://127.0.0.1:4', 1.0)
    other.calls = Calls(store)
    started = snapshots.Snapshots(
        other, snapshots.FollowSettings(), random.Random(1), trio.current_time
    )
    await started.read()
    assert started.table.version == 1
    content = peer_datagrams.requested_content(
        followed.current.raw,
        peer_datagrams.snapshot_request(started.current.raw),
        followed.removals.removed_since,
    )
    raw = peer_datagrams.apply_changes(started.current.raw, content)
    started.accept(other.decode(raw), 0.0)
    assert started.table.version == 7
    assert started.current.identity == followed.current.identity
    await started.read()
    assert started.table.version == 7


async def test_other_content_of_a_version_is_in_force(autojump_clock):
    """Guards against rules and keys that are kept by a version's number."""
    first = fakes.table(5)
    router = fakes.Router(
        fakes.snapshot(1, first, fakes.upstream('e1')), fakes.Exchanges()
    )
    router.resolver.compile(router.snapshots.table)
    other = fakes.table(
        5, customers=(forwarding.ForwardCustomer('corte', ('new',), 1),)
    )
    router.resolver.compile(other)
    assert router.resolver.customers.keys() == {'new'}


# proofs and snapshots of other routers


@pytest.fixture
async def node(autojump_clock):
    content = of_era(fakes.snapshot(50, fakes.table(3)), 2)
    subject = fakes.Node(
        '10.0.0.1', fakes.ZONE, fakes.Source(content), {}, set(), []
    )
    subject.peers.freshness.incarnation = 0
    subject.snapshots.accept(content, 0.0)
    await trio.sleep(10.0)
    return subject


async def test_offer_of_an_earlier_era_is_not_taken(node, autojump_clock):
    """Guards against a router that goes back with one that is cut off."""
    older = of_era(fakes.snapshot(90, fakes.table(3)), 1)
    freshness = node.peers.freshness
    assert freshness.note(state_of(older)) == 0.0
    assert not freshness.has_offer.is_set()
    before = state_of(older, era=0, version=0)
    assert freshness.note(before) == 0.0
    assert not freshness.has_offer.is_set()


async def test_proof_of_an_earlier_era_proves_nothing(node, autojump_clock):
    """Guards against a proof of a content whose revisions are the same."""
    older = of_era(node.snapshots.current, 1)
    assert node.peers.freshness.note(state_of(older)) == 0.0
    assert node.snapshots.proved_at == 0.0
    assert node.peers.freshness.note(state_of(node.snapshots.current)) > 0.0


async def test_offer_of_a_later_era_is_taken_if_it_was_proved_later(
    node, autojump_clock
):
    """Guards against eras that routers have counted differently."""
    freshness = node.peers.freshness
    later = of_era(fakes.snapshot(40, fakes.table(3)), 3)
    freshness.note(state_of(later, proved_ago=20.0))
    assert not freshness.has_offer.is_set()
    freshness.note(state_of(later))
    assert freshness.offer.position == at(3, 40)


async def test_offer_of_a_later_version_is_taken(node, autojump_clock):
    """Guards against a kept configuration of which nobody else hears."""
    same = attrs.evolve(node.snapshots.current, table=fakes.table(4))
    node.peers.freshness.note(state_of(same))
    assert node.peers.freshness.has_offer.is_set()


def test_snapshot_of_another_era_is_sent_whole():
    """Guards against a difference to a content that the sender never had."""
    items = {'a': forwarding.RawItem(3, b'x'), 'b': forwarding.RawItem(7, b'y')}
    raw = forwarding.RawSnapshot(9, items, era=2)
    base = forwarding.RawSnapshot(
        5, {'a': forwarding.RawItem(3, b'z'), 'c': forwarding.RawItem(5, b'')}
    )
    removed = removals.Removals()
    content = peer_datagrams.requested_content(
        raw, peer_datagrams.snapshot_request(base), removed.removed_since
    )
    assert peer_datagrams.apply_changes(base, content) == raw
    assert peer_datagrams.apply_changes(None, content) == raw


def test_removals_of_an_earlier_era_are_forgotten():
    """Guards against keys removed in a history that did not happen."""
    subject = removals.Removals()
    before = forwarding.RawSnapshot(9, {'a': forwarding.RawItem(3, b'')})
    subject.note(None, before)
    subject.note(before, forwarding.RawSnapshot(12, {}))
    assert subject.removed_since(9) == ['a']
    subject.note(before, forwarding.RawSnapshot(10, {}, era=1))
    assert subject.removed_since(9) is None
    assert subject.removed_since(10) == []


# upstreams


def members(*leaving_names, revision=1):
    return [
        fakes.upstream(name, leaving=name in leaving_names, revision=revision)
        for name in ('e1', 'e2')
    ]


@pytest.fixture
async def router(autojump_clock):
    content = fakes.snapshot(10, fakes.table(1), *members())
    return fakes.Router(content, fakes.Exchanges())


def see(router, era, revision, *upstreams, **more):
    content = fakes.snapshot(revision, fakes.table(1), *upstreams, **more)
    router.snapshots.accept(of_era(content, era), trio.current_time())


def names(router):
    return sorted(upstream.instance for upstream in router.directory.of('chat'))


async def test_upstream_that_left_stays_so_where_a_copy_shows_it_as_ready(
    router, autojump_clock
):
    """Guards against requests to an upstream that had left before."""
    see(router, 0, 12, *members('e1', revision=12))
    see(router, 1, 8, *members())
    assert names(router) == ['e2']
    facts = router.departures.facts
    (fact,) = facts.current(departures.LEFT_BEFORE, 'e1')
    assert departures.position_of(fact) == at(0, 12)


async def test_upstream_that_was_gone_stays_so_where_a_copy_shows_it(
    router, autojump_clock
):
    """Guards against requests that are sent to nobody."""
    see(router, 0, 12, members()[1])
    see(router, 1, 8, *members())
    assert names(router) == ['e2']


async def test_entry_written_since_overrides_an_earlier_departure(
    router, autojump_clock
):
    """Guards against an upstream that was cut off and stays unused."""
    see(router, 0, 12, members()[1])
    see(router, 0, 14, *members(revision=13))
    assert names(router) == ['e1', 'e2']


async def test_departure_of_an_earlier_era_is_forgotten_in_time(
    router, autojump_clock
):
    """Guards against an upstream that came back and is never used."""
    see(router, 0, 12, members()[1])
    see(router, 1, 8, *members())
    await trio.sleep(leaving.DEPARTED_SECONDS + 0.1)
    see(router, 1, 9, *members(revision=9))
    assert names(router) == ['e1', 'e2']


async def test_entries_lost_by_the_store_are_kept_until_they_are_due(
    router, autojump_clock
):
    """Guards against services without upstreams right after a return."""
    see(router, 1, 8)
    assert names(router) == ['e1', 'e2']
    await trio.sleep(REREGISTRATION / 2)
    see(router, 2, 7)
    await trio.sleep(REREGISTRATION * 0.9)
    assert names(router) == ['e1', 'e2']
    await trio.sleep(REREGISTRATION * 0.2)
    assert names(router) == []


async def test_departure_that_another_router_saw_before_the_return_counts(
    router, autojump_clock
):
    """Guards against a router that missed what the store lost."""
    see(router, 1, 8, *members())
    fact = facts_module.Fact(
        departures.LEFT, 'e1', '12', trio.current_time(), 30.0
    )
    router.departures.apply_departure(fact)
    assert names(router) == ['e2']


def test_facts_name_era_and_revision():
    """Guards against a fact of one era that is read as one of another."""
    for position in (at(0, 7), at(3, 12)):
        text = departures.position_text(position)
        fact = facts_module.Fact(departures.LEFT, 'e1', text, 0.0, 1.0)
        assert departures.position_of(fact) == position
    assert departures.position_text(at(0, 7)) == '7'
    for text in ('', 'x', '1.', '1.2.3', '-1', '9' * 30, '²'):
        fact = facts_module.Fact(departures.LEFT, 'e1', text, 0.0, 1.0)
        assert departures.position_of(fact) == departures.UNKNOWN_POSITION


async def test_fact_that_names_no_position_is_not_applied(
    router, autojump_clock
):
    """Guards against a fact of another build that takes an upstream away."""
    fact = facts_module.Fact(departures.LEFT, 'e1', 'x', 0.0, 30.0)
    router.departures.apply_departure(fact)
    assert names(router) == ['e1', 'e2']


async def test_drained_zone_that_the_store_lost_stays_drained_for_a_while(
    router, autojump_clock
):
    """Guards against requests to a zone that operators have drained."""
    see(router, 0, 12, *members(), drained={fakes.ZONE: 11})
    see(router, 1, 8, *members())
    assert names(router) == []
    await trio.sleep(drained_zones.WRITTEN_AGAIN_SECONDS + 0.1)
    see(router, 1, 9, *members(revision=9))
    assert names(router) == ['e1', 'e2']


async def test_drained_zone_that_is_written_again_is_taken_back_at_once(
    router, autojump_clock
):
    """Guards against a zone that stays drained after it was taken back."""
    see(router, 0, 12, *members(), drained={fakes.ZONE: 11})
    see(router, 1, 8, *members())
    see(router, 1, 9, *members(), drained={fakes.ZONE: 9})
    see(router, 1, 10, *members(revision=10))
    assert names(router) == ['e1', 'e2']


# cold upstreams


def cold_members(cold_seconds, revision):
    return attrs.evolve(
        fakes.upstream('e1', revision=revision), cold_seconds=cold_seconds
    )


@pytest.fixture
async def colds(autojump_clock):
    facts = facts_module.Facts('10.0.0.1', lambda fact: None)
    return coldness.Coldness(facts)


def see_cold(colds, era, revision, cold_seconds):
    content = fakes.snapshot(
        revision, cold_start_fleet.TABLE, cold_members(cold_seconds, revision)
    )
    colds.apply_snapshot(of_era(content, era))


async def test_warm_upstream_is_not_cold_by_an_entry_of_a_copy(
    colds, autojump_clock
):
    """Guards against a fleet that counts as cold after each return."""
    see_cold(colds, 0, 5, 8.0)
    see_cold(colds, 0, 9, 0.0)
    await trio.sleep(60.0)
    see_cold(colds, 1, 5, 8.0)
    assert not colds.is_cold('e1')
    see_cold(colds, 1, 9, 6.0)
    assert colds.is_cold('e1')


# records of routers


def test_confirmed_record_of_an_earlier_era_is_not_confirmed(client):
    """Guards against a write that an earlier era's condition let through."""
    for written, read, confirmed in ((1, 1, True), (1, 2, False), (0, 0, True)):
        raw = forwarding.RawSnapshot(
            9,
            {
                'router-zones/sala-a': forwarding.RawItem(
                    5, store_module.zone_record_items.value(True, written)
                )
            },
            era=read,
        )
        record = client.decode(raw).zone_records['sala-a']
        assert record.confirmed is confirmed


class Parts:
    """The quarantined parts of one router."""

    def __init__(self):
        self.quarantines = {}
        self.recorded = []
        self.unrecorded = []
        self.on_cleared = None

    def was_answered(self, part):
        return part == 8

    def note_recorded(self, part, strike):
        self.recorded.append((part, strike))

    def note_unrecorded(self, part):
        self.unrecorded.append(part)


async def test_part_whose_record_the_store_lost_is_not_released(
    router, autojump_clock
):
    """Guards against a part that crashes engines again after a return."""
    parts = Parts()
    records = part_records.PartRecords(router.snapshots, None, parts)
    content = fakes.snapshot(20, fakes.table(1))
    one = {7: forwarding.PartRecord(15, 1), 8: forwarding.PartRecord(16, 1)}
    with_records = attrs.evolve(content, part_records=one)
    records.apply_snapshot(with_records)
    assert records.void == {8: 16}
    records.apply_snapshot(of_era(fakes.snapshot(9, fakes.table(1)), 1))
    assert parts.unrecorded == []
    assert records.void == {}
    again = {8: forwarding.PartRecord(16, 2)}
    records.apply_snapshot(of_era(attrs.evolve(content, part_records=again), 1))
    records.apply_snapshot(of_era(fakes.snapshot(21, fakes.table(1)), 1))
    assert parts.unrecorded == [8]
