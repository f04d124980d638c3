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
    """Followers on one network and one service."""

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
        self.scopes[name] = fakes.start_parts(self.nursery, link, follower)
        return follower

    async def all_beyond(self, number, seconds):
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
    await fleet.all_beyond(0, 1.0)
    digests = {f.current().digest for f in fleet.followers.values()}
    assert digests == {revision.digest}
    assert await first.wait_in_force(1, 2.0) == ()


async def test_service_down_just_after_acceptance(
    store, nursery, autojump_clock
):
    """The service dies as the acceptor gets its answer.

    No watch tells the others; without comparing between peers they would
    serve the old revision for the length of the outage.
    """
    fleet = Fleet(store, nursery)
    await trio.sleep(1)
    original = store.create

    async def create_and_die(*args, **kwargs):
        done = await original(*args, **kwargs)
        if args[0].endswith('1'):
            store.fault(outage=True)
        return done

    store.create = create_and_die
    await fleet.followers['r0'].accept(fakes.document('a'), 0, 'ana', '')
    await fleet.all_beyond(0, 3.0)


async def test_new_router_starts_from_a_peer_while_the_service_is_down(
    store, nursery, autojump_clock
):
    """A VM is replaced during an outage; it must not stay without rules."""
    fleet = Fleet(store, nursery, count=3)
    await trio.sleep(1)
    for number in range(300):
        rules = [f'rule {n}' for n in range(number % 7)]
        await fleet.followers['r0'].accept(
            fakes.document(*rules), number, 'ana', ''
        )
    await fleet.all_beyond(299, 2.0)
    store.fault(outage=True)
    fleet.scopes['r2'].cancel()
    restarted = fleet.start('r2')
    with pytest.raises(errors.NoConfiguration):
        restarted.current()
    with trio.fail_after(3):
        await restarted.wait_beyond(299)


async def test_loser_of_a_race_gets_the_difference(store, autojump_clock):
    """Two operators edit revision 1; the second must not undo the first."""
    one = configuration_log.ConfigurationLog(store)
    two = configuration_log.ConfigurationLog(store)
    await one.accept(fakes.document('a'), 0, 'ana', 'start')
    await one.accept(fakes.document('a', 'b'), 1, 'ana', 'add b')
    with pytest.raises(errors.ConfigurationConflict) as caught:
        await two.accept(fakes.document('a', 'c'), 1, 'bo', 'add c')
    assert (caught.value.seen, caught.value.newest) == (1, 2)
    assert caught.value.difference == ('rules: b added',)
    lines = await two.history()
    assert [(line.author, line.reason) for line in lines] == [
        ('ana', 'start'),
        ('ana', 'add b'),
    ]
    assert (await two.read(1)).document == fakes.document('a')


async def test_lost_answer_of_an_acceptance_is_settled(store, autojump_clock):
    """The create takes effect and its answer is lost.

    Told 'conflict' or 'failed', the operator would apply it again and find
    a revision that nobody seems to have made.
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
    lines = await configuration_log.ConfigurationLog(store).history()
    assert [line.number for line in lines] == list(range(1, number + 1))


async def test_outage_during_acceptance_is_uncertain(store, autojump_clock):
    log = configuration_log.ConfigurationLog(store)
    original = store.create

    async def create_and_die(*args, **kwargs):
        await original(*args, **kwargs)
        store.fault(outage=True)
        raise errors.KeyValueUncertain('no answer')

    store.create = create_and_die
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
    fresh = configuration_log.ConfigurationLog(store)
    lines = await fresh.history(5000)
    assert fresh.chain.latest.document == log.chain.latest.document
    assert 150 <= len(lines) < 400
    assert (await fresh.read(1000)).document == fakes.document('rule 999')
    with pytest.raises(errors.ConfigurationError):
        await fresh.read(3)


@pytest.mark.parametrize('policy', list(settings.CutOffPolicy))
async def test_router_cut_off_says_so(store, nursery, autojump_clock, policy):
    """A router loses the service and every peer for a minute.

    Unnoticed, it would serve rules that were replaced long ago.
    """
    fleet = Fleet(store, nursery, count=2, policy=policy)
    await fleet.followers['r0'].accept(fakes.document('a'), 0, 'ana', '')
    await fleet.all_beyond(0, 2.0)
    store.fault(outage=True)
    await trio.sleep(60)
    cut = fleet.followers['r1']
    assert cut.stale_since is None  # the peer still confirms
    fleet.network.down.add('r0')
    await trio.sleep(60)
    assert cut.stale_since is not None
    if policy is settings.CutOffPolicy.REFUSE:
        with pytest.raises(errors.ConfigurationStale):
            cut.current()
    else:
        assert cut.current().number == 1
    store.fault(outage=False)
    await trio.sleep(20)
    assert cut.stale_since is None
    assert cut.current().number == 1


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
    """The service drops the watch and forgets past changes meanwhile."""
    fleet = Fleet(store, nursery, count=1)
    await fleet.followers['r0'].accept(fakes.document('a'), 0, 'ana', '')
    operator = configuration_log.ConfigurationLog(store)
    seen = []
    for number in range(1, 30):
        if number % 5 == 0:
            store.fault(outage=True)
            await trio.sleep(0.5)
            store.fault(outage=False)
        await operator.accept(fakes.document(f'r {number}'), number, 'b', '')
        if number % 5 == 0:
            store.compact_events()
        seen.append(fleet.followers['r0'].current().number)
    await fleet.all_beyond(29, 10.0)
    assert seen == sorted(seen)


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
