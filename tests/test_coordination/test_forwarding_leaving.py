"""Upstreams that leave get nothing new, whoever found out."""

from __future__ import annotations

import itertools

import pytest
import trio

from lavenderbend import errors
from lavenderbend.coordination.forwarding import departures
from tests import forwarding_fakes as fakes
from tests.test_coordination import test_forwarding_peers as peer_fleets

HOSTS = peer_fleets.HOSTS
# from the store's word on; the fleets here are told to apply versions within it
LEAVE_SECONDS = 2.0
NOW = 10.0


@pytest.fixture
async def fleet(nursery, autojump_clock):
    found = peer_fleets.Fleet(nursery)
    await trio.sleep(5.0)
    return found


def slow(node):
    """Has all that holds the configuration come too late at one router."""
    node.source.error = errors.KeyValueUnavailable('TooSlowError')
    node.link.too_slow = True


async def put_versions(fleet, *found, seconds):
    """Puts a new version of the configuration each 0.7 seconds."""
    end = trio.current_time() + seconds
    revision = fleet.content.revision
    for number in itertools.count(revision + 1):
        fleet.set_content(fakes.snapshot(number, fakes.table(number), *found))
        if trio.current_time() + 0.7 > end:
            break
        await trio.sleep(0.7)
    await trio.sleep(end - trio.current_time())


def names(node):
    return sorted(one.instance for one in node.directory.of('chat'))


@pytest.mark.parametrize('says_so', [True, False])
async def test_router_whose_reads_are_slow_hears_who_left(
    fleet, autojump_clock, says_so
):
    # guards against sending to what left, known to all but one router
    node = fleet.routers[HOSTS[3]]
    slow(node)
    both = fakes.upstream('e1'), fakes.upstream('e2')
    await put_versions(fleet, *both, seconds=2.0)
    revision = fleet.content.revision + 1
    leaving = fakes.upstream('e1', leaving=True, revision=revision)
    left = [leaving, both[1]] if says_so else [both[1]]
    await put_versions(fleet, *left, seconds=LEAVE_SECONDS)
    assert names(node) == ['e2']


async def test_what_left_is_no_lapse_for_a_router_whose_reads_were_slow(
    fleet, autojump_clock
):
    # guards against taking a slow router for a store that was away
    node = fleet.routers[HOSTS[3]]
    del node.peers.fact_callbacks[departures.LEFT]
    slow(node)
    both = fakes.upstream('e1'), fakes.upstream('e2')
    await put_versions(fleet, *both, seconds=2.5)
    await put_versions(fleet, both[1], seconds=1.0)
    node.source.error = None
    await put_versions(fleet, both[1], seconds=1.0)
    assert names(node) == ['e2']


async def test_lapsed_entry_of_an_upstream_that_left_is_not_kept(
    autojump_clock,
):
    # guards against keeping as lapsed what another router saw leave
    found = [fakes.upstream('e1'), fakes.upstream('e2')]
    router = fakes.Router(
        fakes.snapshot(1, fakes.table(1), *found), fakes.Exchanges()
    )
    await trio.sleep(10.0)
    router.snapshots.note_answered(trio.current_time())
    router.snapshots.accept(fakes.snapshot(3, fakes.table(1)), NOW)
    assert names(router) == ['e1', 'e2']
    router.directory.note_left('e1', 2)
    assert names(router) == ['e2']


async def test_entry_that_is_written_again_is_used_again(fleet, autojump_clock):
    # guards against taking a partition from the store for the last word
    for router in fleet.routers.values():
        router.snapshots.recovered_at = float('-inf')
    fleet.set_content(fakes.snapshot(2, fakes.table(1), fakes.upstream('e2')))
    await trio.sleep(1.5)
    again = fakes.upstream('e1', revision=3)
    fleet.set_content(
        fakes.snapshot(3, fakes.table(1), again, fakes.upstream('e2'))
    )
    await trio.sleep(1.5)
    assert [names(node) for node in fleet.routers.values()] == [
        ['e1', 'e2']
    ] * 4


@pytest.mark.parametrize('source', ['', '-1', 'x', '9' * 5000, '²'])
async def test_departure_without_a_revision_takes_nobody_out(
    fleet, autojump_clock, source
):
    # guards against a message that ends the router or drops an upstream
    node = fleet.routers[HOSTS[3]]
    fleet.routers[HOSTS[0]].peers.facts.add(
        departures.LEFT, 'e1', source, departures.MOST_SECONDS
    )
    await trio.sleep(1.0)
    assert names(node) == ['e1', 'e2']


def word(status=200, **headers):
    """Returns an answer of an upstream that says it leaves."""
    return fakes.reply(status, **{'x-leaving': '1'}, **headers)


async def test_upstream_whose_answer_says_it_leaves_gets_nothing_new(
    autojump_clock,
):
    # guards against waiting for a store that is away to say so
    found = [fakes.upstream('e1'), fakes.upstream('e2')]
    exchanges = fakes.Exchanges(e1=[word()], e2=[word()])
    router = fakes.Router(fakes.snapshot(1, fakes.table(1), *found), exchanges)
    await router.ask()
    (leaving,) = exchanges.names()
    other = {'e1': 'e2', 'e2': 'e1'}[leaving]
    exchanges.steps[other] = [fakes.reply()]
    for _ in range(20):
        await router.ask()
        await trio.sleep(10.0)
    assert exchanges.names() == [leaving] + [other] * 20


async def test_lapsed_entry_of_an_upstream_that_said_it_leaves_is_not_kept(
    autojump_clock,
):
    # guards against the store's return undoing what an answer said
    found = [fakes.upstream('e1'), fakes.upstream('e2')]
    exchanges = fakes.Exchanges(e1=[word()], e2=[fakes.reply()])
    router = fakes.Router(fakes.snapshot(1, fakes.table(1), *found), exchanges)
    while 'e1' not in exchanges.names():
        await router.ask()
        router.loads.begin('e2')
    await trio.sleep(10.0)
    router.snapshots.note_answered(trio.current_time())
    left = fakes.snapshot(3, fakes.table(1), found[1])
    router.snapshots.accept(left, trio.current_time())
    assert names(router) == ['e2']


@pytest.mark.parametrize(('seconds', 'used'), [(50.0, False), (70.0, True)])
async def test_entry_that_comes_back_does_not_unsay_that_its_upstream_leaves(
    autojump_clock, seconds, used
):
    # guards against an entry from before the word that is written late
    found = [fakes.upstream('e1'), fakes.upstream('e2')]
    router = fakes.Router(
        fakes.snapshot(1, fakes.table(1), *found), fakes.Exchanges()
    )
    router.departures.note_word('e1')
    for revision in (2, 3):
        gone = fakes.snapshot(revision, fakes.table(revision), found[1])
        router.snapshots.accept(gone, trio.current_time())
        await trio.sleep(seconds / 2)
    back = fakes.upstream('e1', revision=4)
    router.snapshots.accept(
        fakes.snapshot(4, fakes.table(4), back, found[1]), trio.current_time()
    )
    assert names(router) == (['e1', 'e2'] if used else ['e2'])


async def test_word_of_another_process_at_the_address_is_not_the_upstreams(
    autojump_clock,
):
    # guards against taking an upstream out for what a stranger says
    exchanges = fakes.Exchanges(e1=[word(421), fakes.reply()])
    router = fakes.Router(
        fakes.snapshot(1, fakes.table(1), fakes.upstream('e1')), exchanges
    )
    await router.ask()
    router.directory.misplaced.clear()
    answer, _ = await router.ask()
    assert answer.status == 200


async def test_word_of_an_answer_reaches_the_other_routers(
    fleet, autojump_clock
):
    # guards against each router finding out by a request of its own
    one = fleet.routers[HOSTS[0]]
    for host in HOSTS:
        fleet.isolate_from_store(host)
    one.departures.note_word('e1')
    await trio.sleep(1.0)
    for router in fleet.routers.values():
        assert names(router) == ['e2']


async def test_many_that_leave_at_once_leave_their_former_set_known(
    autojump_clock,
):
    # guards against reading prompts anew that those who leave still hold
    found = [fakes.upstream(f'e{number}') for number in range(20)]
    router = fakes.Router(
        fakes.snapshot(1, fakes.table(1), *found), fakes.Exchanges()
    )
    for number in range(12):
        router.directory.note_left(f'e{number}', 2)
        await trio.sleep(0.05)
    former = router.directory.former('chat', 0.0)
    assert len(former[-1].names) == 20
    assert len(names(router)) == 8
