"""Upstreams that leave get no new requests, however that is known."""

from __future__ import annotations

import itertools

import pytest
import trio

from lavenderbend import errors
from lavenderbend.coordination.forwarding import departures
from lavenderbend.state import forwarding
from tests import forwarding_fakes as fakes
from tests.test_coordination import test_forwarding_peers as peer_fleets

HOSTS = peer_fleets.HOSTS
# Time from the store's change until no requests may be sent; the same bound as
# for applying versions in these fleets.
LEAVE_SECONDS = 2.0
NOW = 10.0
POSITION = forwarding.StorePosition(0, 2)


@pytest.fixture
async def fleet(nursery, autojump_clock):
    fleet = peer_fleets.Fleet(nursery)
    await trio.sleep(5.0)
    return fleet


def delay_configuration(node):
    """Makes all sources of the configuration time out at one router."""
    node.source.error = errors.KeyValueUnavailable('TooSlowError')
    node.link.too_slow = True


async def put_versions(fleet, *upstreams, seconds):
    """Puts a new version of the configuration each 0.7 seconds."""
    end = trio.current_time() + seconds
    revision = fleet.content.revision
    for number in itertools.count(revision + 1):
        fleet.set_content(
            fakes.snapshot(number, fakes.table(number), *upstreams)
        )
        if trio.current_time() + 0.7 > end:
            break
        await trio.sleep(0.7)
    await trio.sleep(end - trio.current_time())


def names(node):
    return sorted(upstream.instance for upstream in node.directory.of('chat'))


@pytest.mark.parametrize('with_leaving_entry', [True, False])
async def test_router_with_slow_reads_learns_which_upstreams_left(
    fleet, autojump_clock, with_leaving_entry
):
    # Guards against a router with slow reads that still sends to an upstream
    # that all other routers know to have left.
    node = fleet.routers[HOSTS[3]]
    delay_configuration(node)
    both = fakes.upstream('e1'), fakes.upstream('e2')
    await put_versions(fleet, *both, seconds=2.0)
    revision = fleet.content.revision + 1
    leaving = fakes.upstream('e1', leaving=True, revision=revision)
    left = [leaving, both[1]] if with_leaving_entry else [both[1]]
    await put_versions(fleet, *left, seconds=LEAVE_SECONDS)
    assert names(node) == ['e2']


async def test_left_upstream_is_not_kept_as_lapsed_after_slow_reads(
    fleet, autojump_clock
):
    # Guards against treating slow reads of this router as a store outage, after
    # which missing entries are kept.
    node = fleet.routers[HOSTS[3]]
    del node.peers.fact_callbacks[departures.LEFT]
    delay_configuration(node)
    both = fakes.upstream('e1'), fakes.upstream('e2')
    await put_versions(fleet, *both, seconds=2.5)
    await put_versions(fleet, both[1], seconds=1.0)
    node.source.error = None
    await put_versions(fleet, both[1], seconds=1.0)
    assert names(node) == ['e2']


async def test_lapsed_entry_of_an_upstream_that_left_is_not_kept(
    autojump_clock,
):
    # Guards against keeping a missing entry as lapsed although another router
    # saw the upstream leave.
    upstreams = [fakes.upstream('e1'), fakes.upstream('e2')]
    router = fakes.Router(
        fakes.snapshot(1, fakes.table(1), *upstreams), fakes.Exchanges()
    )
    await trio.sleep(10.0)
    router.snapshots.note_answered(trio.current_time())
    router.snapshots.accept(fakes.snapshot(3, fakes.table(1)), NOW)
    assert names(router) == ['e1', 'e2']
    router.directory.note_leaving_in_store('e1', POSITION)
    assert names(router) == ['e2']


async def test_upstream_is_used_again_once_its_entry_returns(
    fleet, autojump_clock
):
    # Guards against an upstream that was partitioned from the store and stays
    # unused after its entry returns.
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
async def test_departure_without_a_revision_is_ignored(
    fleet, autojump_clock, source
):
    # Guards against a malformed message that stops the router or removes an
    # upstream.
    node = fleet.routers[HOSTS[3]]
    fleet.routers[HOSTS[0]].peers.facts.add(
        departures.LEFT, 'e1', source, departures.FACT_SECONDS
    )
    await trio.sleep(1.0)
    assert names(node) == ['e1', 'e2']


def leaving_reply(status=200, **headers):
    """Returns a response that announces that its upstream leaves."""
    return fakes.reply(status, **{'x-leaving': '1'}, **headers)


async def test_upstream_that_announced_leaving_gets_no_new_requests(
    autojump_clock,
):
    # Guards against relying on the store, which may be unavailable, to show
    # that an upstream leaves.
    upstreams = [fakes.upstream('e1'), fakes.upstream('e2')]
    exchanges = fakes.Exchanges(e1=[leaving_reply()], e2=[leaving_reply()])
    router = fakes.Router(
        fakes.snapshot(1, fakes.table(1), *upstreams), exchanges
    )
    await router.send_request()
    (leaving,) = exchanges.names()
    other = {'e1': 'e2', 'e2': 'e1'}[leaving]
    exchanges.steps[other] = [fakes.reply()]
    for _ in range(20):
        await router.send_request()
        await trio.sleep(10.0)
    assert exchanges.names() == [leaving] + [other] * 20


async def test_lapsed_entry_of_an_upstream_that_announced_leaving_is_not_kept(
    autojump_clock,
):
    # Guards against a recovered store that overrides the announcement in a
    # response.
    upstreams = [fakes.upstream('e1'), fakes.upstream('e2')]
    exchanges = fakes.Exchanges(e1=[leaving_reply()], e2=[fakes.reply()])
    router = fakes.Router(
        fakes.snapshot(1, fakes.table(1), *upstreams), exchanges
    )
    while 'e1' not in exchanges.names():
        await router.send_request()
        router.loads.begin('e2')
    await trio.sleep(10.0)
    router.snapshots.note_answered(trio.current_time())
    left = fakes.snapshot(3, fakes.table(1), upstreams[1])
    router.snapshots.accept(left, trio.current_time())
    assert names(router) == ['e2']


@pytest.mark.parametrize(('seconds', 'used'), [(50.0, False), (70.0, True)])
async def test_returning_entry_does_not_override_the_leaving_announcement(
    autojump_clock, seconds, used
):
    # Guards against an entry from before the announcement that reaches the
    # store late.
    upstreams = [fakes.upstream('e1'), fakes.upstream('e2')]
    router = fakes.Router(
        fakes.snapshot(1, fakes.table(1), *upstreams), fakes.Exchanges()
    )
    router.departures.note_announcement('e1')
    for revision in (2, 3):
        gone = fakes.snapshot(revision, fakes.table(revision), upstreams[1])
        router.snapshots.accept(gone, trio.current_time())
        await trio.sleep(seconds / 2)
    back = fakes.upstream('e1', revision=4)
    router.snapshots.accept(
        fakes.snapshot(4, fakes.table(4), back, upstreams[1]),
        trio.current_time(),
    )
    assert names(router) == (['e1', 'e2'] if used else ['e2'])


async def test_leaving_announcement_of_another_process_is_ignored(
    autojump_clock,
):
    # Guards against removing an upstream for the response of another process
    # at its address.
    exchanges = fakes.Exchanges(e1=[leaving_reply(421), fakes.reply()])
    router = fakes.Router(
        fakes.snapshot(1, fakes.table(1), fakes.upstream('e1')), exchanges
    )
    await router.send_request()
    router.directory.replaced.clear()
    answer, _ = await router.send_request()
    assert answer.status == 200


async def test_leaving_announcement_reaches_the_other_routers(
    fleet, autojump_clock
):
    # Guards against each router learning it only by a request of its own.
    first_router = fleet.routers[HOSTS[0]]
    for host in HOSTS:
        fleet.isolate_from_store(host)
    first_router.departures.note_announcement('e1')
    await trio.sleep(1.0)
    for router in fleet.routers.values():
        assert names(router) == ['e2']


async def test_former_candidates_stay_known_when_many_upstreams_leave(
    autojump_clock,
):
    # Guards against processing prompts again that leaving upstreams still hold.
    upstreams = [fakes.upstream(f'e{number}') for number in range(20)]
    router = fakes.Router(
        fakes.snapshot(1, fakes.table(1), *upstreams), fakes.Exchanges()
    )
    for number in range(12):
        router.directory.note_leaving_in_store(f'e{number}', POSITION)
        await trio.sleep(0.05)
    former = router.directory.former_upstreams('chat', 0.0)
    assert len(former[-1].names) == 20
    assert len(names(router)) == 8
