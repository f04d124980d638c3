"""When an upstream counts as cold, and what a request does then."""

from __future__ import annotations

import attrs
import pytest
import trio

from lavenderbend import errors
from lavenderbend.coordination.forwarding import choice
from lavenderbend.coordination.forwarding import facts as facts_module
from lavenderbend.coordination.forwarding import reserving_chooser
from lavenderbend.coordination.forwarding.warm_up import coldness as colds
from lavenderbend.state import forwarding
from tests import forwarding_fakes as fakes

WARM_UP_SECONDS = 3.0
POOL = forwarding.ForwardPool('chat', 100, WARM_UP_SECONDS, 10.0)
UNLIMITED = forwarding.ForwardPool('chat', 100)
E1 = fakes.upstream('e1')
E2 = fakes.upstream('e2', zone='sala-b')


def content(revision, *members, pool=POOL, drained=()):
    table = forwarding.ForwardingTable(1, (fakes.rule(),), (pool,))
    zones = dict.fromkeys(drained, revision)
    return fakes.snapshot(revision, table, *members, drained=zones)


def cold_for(upstream, seconds, revision):
    return attrs.evolve(upstream, cold_seconds=seconds, revision=revision)


@pytest.fixture
async def facts(autojump_clock):
    return facts_module.Facts('10.0.0.1', lambda fact: None)


@pytest.fixture
async def coldness(facts):
    return colds.Coldness(facts)


async def test_upstreams_found_at_the_start_of_a_router_are_warm(
    coldness, autojump_clock
):
    # Guards against a fleet that starts and takes all upstreams for cold.
    coldness.apply_snapshot(content(1, E1, E2))
    assert not coldness.cold()


async def test_started_upstream_is_cold_for_its_warm_up(
    coldness, autojump_clock
):
    coldness.apply_snapshot(content(1, E1))
    coldness.apply_snapshot(content(2, E1, E2))
    assert coldness.cold() == {'e2'}
    await trio.sleep(WARM_UP_SECONDS - 0.1)
    assert coldness.is_cold('e2')
    await trio.sleep(0.2)
    assert not coldness.is_cold('e2')


async def test_entry_may_name_a_longer_time(coldness, autojump_clock):
    coldness.apply_snapshot(content(1, E1))
    coldness.apply_snapshot(content(2, E1, cold_for(E2, 7.0, 2)))
    await trio.sleep(6.9)
    assert coldness.is_cold('e2')


async def test_entry_read_first_by_a_new_router_counts(
    coldness, autojump_clock
):
    coldness.apply_snapshot(content(1, E1, cold_for(E2, 2.0, 1)))
    assert coldness.cold() == {'e2'}


async def test_warm_upstream_that_turns_cold_is_told_to_others(
    coldness, facts, autojump_clock
):
    coldness.apply_snapshot(content(1, E1, E2))
    coldness.apply_snapshot(content(2, E1, cold_for(E2, 2.0, 2)))
    assert coldness.cold() == {'e2'}
    (fact,) = facts.current(colds.COLD, 'e2')
    other = colds.Coldness(facts)
    other.apply_snapshot(content(1, E1, E2))
    other.apply_fact(fact)
    assert other.cold() == {'e2'}


async def test_unchanged_entry_does_not_stay_cold_for_ever(
    coldness, autojump_clock
):
    # Guards against an entry that is not written again once it is warm.
    cold = cold_for(E2, 2.0, 1)
    coldness.apply_snapshot(content(1, E1, cold))
    await trio.sleep(1.9)
    coldness.apply_snapshot(content(2, E1, cold, drained=('sala-x',)))
    await trio.sleep(0.2)
    assert not coldness.cold()


async def test_upstreams_of_a_zone_that_was_taken_back_are_cold(
    coldness, autojump_clock
):
    coldness.apply_snapshot(content(1, E1, E2, drained=('sala-b',)))
    coldness.apply_snapshot(content(2, E1, E2))
    assert coldness.cold() == {'e2'}


async def test_entry_that_lapsed_and_came_back_is_no_start(
    coldness, autojump_clock
):
    # Guards against an outage of the store after which all count as cold.
    coldness.apply_snapshot(content(1, E1, E2))
    coldness.apply_snapshot(content(2, E1))
    await trio.sleep(5.0)
    coldness.apply_snapshot(content(3, E1, E2))
    assert not coldness.cold()


async def test_upstream_that_did_not_answer_may_have_started_again(
    coldness, autojump_clock
):
    coldness.apply_snapshot(content(1, E1, E2))
    coldness.note_silent('e1', 1.0)
    await trio.sleep(1.0 + WARM_UP_SECONDS - 0.1)
    assert coldness.is_cold('e1')
    await trio.sleep(0.2)
    assert not coldness.is_cold('e1')


async def test_router_whose_path_is_cut_takes_few_for_cold(
    coldness, autojump_clock
):
    # Guards against a router that needs a permit for each request when its path
    # is back, from owners that it does not know yet.
    members = [fakes.upstream(f'e{number}') for number in range(8)]
    coldness.apply_snapshot(content(1, *members))
    for member in members:
        coldness.note_silent(member.instance, 1.0)
    assert len(coldness.cold()) == 4


async def test_pool_without_a_warm_up_rate_has_no_cold_upstreams(
    coldness, autojump_clock
):
    coldness.apply_snapshot(content(1, E1, pool=UNLIMITED))
    coldness.apply_snapshot(content(2, E1, E2, pool=UNLIMITED))
    coldness.note_silent('e1', 1.0)
    assert not coldness.cold()


class Permits:
    """Permits a test sets, in place of the owners' replies."""

    def __init__(self, coldness):
        self.coldness = coldness
        self.left = 0
        self.asked = []

    async def permit(self, upstream):
        self.asked.append(upstream.instance)
        await trio.lowlevel.checkpoint()
        if not self.left:
            return None
        self.left -= 1
        return trio.current_time() + 0.2

    def may_send(self, instance, permitted_until):
        if permitted_until is not None:
            return trio.current_time() <= permitted_until
        return not self.coldness.is_cold(instance)


@pytest.fixture
async def exchanges(autojump_clock):
    return fakes.Exchanges(e1=[fakes.reply()], e2=[fakes.reply()])


@pytest.fixture
async def router(coldness, exchanges):
    router = fakes.Router(content(1, E1, E2), exchanges)
    coldness.apply_snapshot(content(1, E1, E2))
    router.permits = Permits(coldness)
    router.forwarder.reserving_chooser.cold_starts = router.permits
    router.forwarder.attempts.cold_starts = router.permits
    return router


async def test_cold_upstream_without_a_permit_is_passed_over(
    router, coldness, exchanges, autojump_clock
):
    coldness.note('e1', 5.0, 'test')
    for _ in range(4):
        answer, error = await router.send_request()
        assert (error, answer.status) == (None, 200)
    assert set(exchanges.names()) == {'e2'}
    assert set(router.permits.asked) <= {'e1'}


async def test_warm_upstreams_need_no_permit(router, autojump_clock):
    # Guards against questions to owners while nothing is cold.
    await router.send_request()
    assert not router.permits.asked


async def test_request_waits_for_a_permit_if_all_are_cold(
    router, coldness, exchanges, autojump_clock
):
    for name in ('e1', 'e2'):
        coldness.note(name, 5.0, 'test')

    async def permit_later():
        await trio.sleep(0.1)
        router.permits.left = 1

    async with trio.open_nursery() as nursery:
        nursery.start_soon(permit_later)
        answer, error = await router.send_request()
    assert (error, answer.status) == (None, 200)
    assert len(exchanges.names()) == 1


async def test_request_without_any_permit_is_refused_as_not_run(
    router, coldness, exchanges, autojump_clock
):
    for name in ('e1', 'e2'):
        coldness.note(name, 5.0, 'test')
    begin = trio.current_time()
    _, error = await router.send_request()
    assert isinstance(error, errors.NoUpstream)
    assert choice.ALL_CLOSED in error.detail
    waited = trio.current_time() - begin
    assert waited <= reserving_chooser.MAX_PERMIT_WAIT_SECONDS + 0.05
    assert not exchanges.names()


async def test_upstream_that_turns_cold_while_connecting_gets_no_request(
    router, coldness, exchanges, autojump_clock
):
    # Guards against a request that was placed before the upstream was cold.
    opened = exchanges.open

    async def turn_cold_then_open(target, repeatable):
        if not coldness.cold():
            coldness.note(target.instance, 5.0, 'test')
        return await opened(target, repeatable)

    exchanges.open = turn_cold_then_open
    answer, error = await router.send_request()
    assert (error, answer.status) == (None, 200)
    (sent,) = exchanges.names()
    assert not coldness.is_cold(sent)


async def test_permit_that_expired_while_connecting_is_not_used(
    router, coldness, exchanges, autojump_clock
):
    coldness.note('e1', 5.0, 'test')
    coldness.note('e2', 5.0, 'test')
    router.permits.left = 1
    opened = exchanges.open

    async def slow_open(target, repeatable):
        await trio.sleep(0.3)
        return await opened(target, repeatable)

    exchanges.open = slow_open
    _, error = await router.send_request()
    assert isinstance(error, errors.NoUpstream)
    assert not exchanges.names()
