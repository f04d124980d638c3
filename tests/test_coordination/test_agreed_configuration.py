from __future__ import annotations

import random

import pytest
import trio

from lavenderbend import errors
from lavenderbend.coordination.configuration import (
    follower as configuration_follower,
)
from lavenderbend.coordination.configuration import log as configuration_log
from lavenderbend.state import configuration
from lavenderbend.state import documents
from lavenderbend.state import settings
from tests.test_coordination import agreed_fakes as fakes


@pytest.fixture
def store():
    return fakes.service()


class Fleet:
    """Followers on one network with one key-value service."""

    def __init__(self, store, nursery, count=7, **options):
        self.store = store
        self.nursery = nursery
        self.network = fakes.Network()
        self.names = [f'r{n}' for n in range(count)]
        self.membership = fakes.Membership(self.names)
        self.scopes = {}
        self.followers = {}
        for name in self.names:
            self.start(name, **options)

    def start(self, name, **options):
        link = fakes.Link(name, self.network)
        rng = random.Random(name)
        follower = configuration_follower.ConfigurationFollower(
            name, self.store, link, self.membership, rng, **options
        )
        self.followers[name] = follower
        self.scopes[name] = fakes.start_tasks(self.nursery, link, follower)
        return follower

    async def wait_all_beyond(self, number, seconds):
        with trio.fail_after(seconds):
            for follower in self.followers.values():
                await follower.wait_beyond(number)


async def test_change_is_in_force_everywhere_within_a_second(
    store, nursery, autojump_clock
):
    fleet = Fleet(store, nursery)
    await trio.sleep(1)
    first = fleet.followers['r0']
    revision = await first.accept(fakes.document('a'), 0, 'ana', 'start')
    await fleet.wait_all_beyond(0, 1.0)
    digests = {f.current().digest for f in fleet.followers.values()}
    assert digests == {revision.digest}
    assert await first.wait_in_force(1, 2.0) == ()


async def test_service_down_just_after_acceptance(
    store, nursery, autojump_clock
):
    """The service fails right after it has confirmed the accepted change.

    No watch reports the change then. Without comparing revisions between
    peers, the other routers would serve the old one during the outage.
    """
    fleet = Fleet(store, nursery)
    await trio.sleep(1)
    original = store.create

    async def create_then_fail(*args, **kwargs):
        created = await original(*args, **kwargs)
        if args[0].endswith('1'):
            store.fault(outage=True)
        return created

    store.create = create_then_fail
    await fleet.followers['r0'].accept(fakes.document('a'), 0, 'ana', '')
    await fleet.wait_all_beyond(0, 3.0)


async def test_new_router_starts_from_a_peer_while_the_service_is_down(
    store, nursery, autojump_clock
):
    """A VM replaced during an outage must get the rules from a peer."""
    fleet = Fleet(store, nursery, count=3)
    await trio.sleep(1)
    for number in range(300):
        rules = [f'rule {n}' for n in range(number % 7)]
        await fleet.followers['r0'].accept(
            fakes.document(*rules), number, 'ana', ''
        )
    await fleet.wait_all_beyond(299, 2.0)
    store.fault(outage=True)
    fleet.scopes['r2'].cancel()
    restarted = fleet.start('r2')
    with pytest.raises(errors.NoConfiguration):
        restarted.current()
    with trio.fail_after(3):
        await restarted.wait_beyond(299)


async def test_loser_of_a_race_gets_the_difference(store, autojump_clock):
    """Two operators edit revision 1; the second must not undo the first."""
    first = configuration_log.ConfigurationLog(store)
    second = configuration_log.ConfigurationLog(store)
    await first.accept(fakes.document('a'), 0, 'ana', 'start')
    await first.accept(fakes.document('a', 'b'), 1, 'ana', 'add b')
    with pytest.raises(errors.ConfigurationConflict) as raised:
        await second.accept(fakes.document('a', 'c'), 1, 'bo', 'add c')
    assert (raised.value.seen, raised.value.newest) == (1, 2)
    assert raised.value.difference == ('rules: b added',)
    entries = await second.history()
    assert [(entry.author, entry.reason) for entry in entries] == [
        ('ana', 'start'),
        ('ana', 'add b'),
    ]
    assert (await second.read(1)).document == fakes.document('a')


async def test_lost_answer_of_an_acceptance_is_settled(store, autojump_clock):
    """The create takes effect and its reply is lost.

    Reported as a conflict or a failure, the operator would apply the change
    again and find a revision of unknown origin.
    """
    log = configuration_log.ConfigurationLog(store)
    store.fault(lost_answers=0.3, lost_requests=0.1, late_writes=0.5)
    number = 0
    for _ in range(80):
        try:
            revision = await log.accept(
                fakes.document(f'rule {number}'), number, 'ana', ''
            )
        except errors.KeyValueUnavailable:
            continue
        number = revision.number
    assert number > 30
    store.fault(lost_answers=0.0, lost_requests=0.0)
    entries = await configuration_log.ConfigurationLog(store).history()
    assert [entry.number for entry in entries] == list(range(1, number + 1))


async def test_outage_during_acceptance_is_uncertain(store, autojump_clock):
    log = configuration_log.ConfigurationLog(store)
    original = store.create

    async def create_then_fail(*args, **kwargs):
        await original(*args, **kwargs)
        store.fault(outage=True)
        raise errors.KeyValueUncertain('no answer')

    store.create = create_then_fail
    with pytest.raises(errors.KeyValueUncertain):
        await log.accept(fakes.document('a'), 0, 'ana', '')
    store.fault(outage=False)
    assert len(await log.history()) == 1


async def test_invalid_document_is_refused_before_the_service_is_asked(store):
    log = configuration_log.ConfigurationLog(store)
    with pytest.raises(errors.ConfigurationInvalid, match='no pool'):
        await log.accept(fakes.document('a', pool='x'), 0, 'ana', '')
    assert not store.calls


async def test_too_large_document_is_refused(store, autojump_clock):
    rng = random.Random(1)
    customers = tuple(
        configuration.Customer(rng.randbytes(500).hex()) for _ in range(3000)
    )
    log = configuration_log.ConfigurationLog(store)
    with pytest.raises(errors.ConfigurationTooLarge):
        await log.accept(
            configuration.Configuration(customers=customers), 0, 'ana', ''
        )
    assert await log.history() == ()


async def test_compacted_log_still_starts_a_reader(store, autojump_clock):
    log = configuration_log.ConfigurationLog(store, retained_revisions=150)
    for number in range(1100):
        await log.accept(
            fakes.document(f'rule {number}'), number, 'ana', f'{number}'
        )
    reader = configuration_log.ConfigurationLog(store)
    entries = await reader.history(5000)
    assert reader.chain.latest.document == log.chain.latest.document
    assert 150 <= len(entries) < 400
    assert (await reader.read(1000)).document == fakes.document('rule 999')
    with pytest.raises(errors.ConfigurationError):
        await reader.read(3)


@pytest.mark.parametrize('policy', list(settings.CutOffPolicy))
async def test_router_cut_off_says_so(store, nursery, autojump_clock, policy):
    """A router loses the service and every peer for a minute.

    If this is not detected, it serves rules that may have been replaced.
    """
    fleet = Fleet(store, nursery, count=2, policy=policy)
    await fleet.followers['r0'].accept(fakes.document('a'), 0, 'ana', '')
    await fleet.wait_all_beyond(0, 2.0)
    store.fault(outage=True)
    await trio.sleep(60)
    cut_off = fleet.followers['r1']
    assert cut_off.stale_seconds is None  # r0 still replies
    fleet.network.down.add('r0')
    await trio.sleep(60)
    assert cut_off.stale_seconds is not None
    if policy is settings.CutOffPolicy.REFUSE:
        with pytest.raises(errors.ConfigurationStale):
            cut_off.current()
    else:
        assert cut_off.current().number == 1
    store.fault(outage=False)
    await trio.sleep(20)
    assert cut_off.stale_seconds is None
    assert cut_off.current().number == 1


async def test_missing_router_is_named(store, nursery, autojump_clock):
    fleet = Fleet(store, nursery, count=3)
    await trio.sleep(1)
    fleet.network.down.add('r2')
    fleet.scopes['r2'].cancel()
    await fleet.followers['r0'].accept(fakes.document('a'), 0, 'ana', '')
    assert await fleet.followers['r0'].wait_in_force(1, 3.0) == ('r2',)


async def test_watch_lost_and_compacted_leaves_no_gap(
    store, nursery, autojump_clock
):
    """The service drops the watch and compacts changes in the meantime."""
    fleet = Fleet(store, nursery, count=1)
    await fleet.followers['r0'].accept(fakes.document('a'), 0, 'ana', '')
    operator = configuration_log.ConfigurationLog(store)
    numbers_in_force = []
    for number in range(1, 30):
        if number % 5 == 0:
            store.fault(outage=True)
            await trio.sleep(0.5)
            store.fault(outage=False)
        await operator.accept(fakes.document(f'r {number}'), number, 'b', '')
        if number % 5 == 0:
            store.compact_events()
        numbers_in_force.append(fleet.followers['r0'].current().number)
    await fleet.wait_all_beyond(29, 10.0)
    assert numbers_in_force == sorted(numbers_in_force)


def test_delta_of_one_item_is_small():
    old = documents.from_configuration(
        fakes.document(*[f'rule {n}' for n in range(1000)])
    )
    names = [f'rule {n}' for n in range(1000)]
    names[500] = 'other'
    new = documents.from_configuration(fakes.document(*names))
    splices = documents.delta(old, new)
    assert len(splices) == 1
    assert documents.apply(old, splices) == new
    assert documents.to_configuration(new) == fakes.document(*names)
    assert documents.unpack(documents.pack(new)) == new
