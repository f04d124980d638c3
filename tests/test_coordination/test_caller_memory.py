"""The memory that callers' requests and answers take up."""

from __future__ import annotations

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest
import trio
import trio.testing

from lavenderbend import errors
from lavenderbend.coordination import caller_memory
from lavenderbend.protocol import http_limits

LIMIT = 8 * http_limits.MIB
SMALL = caller_memory.SMALL_BYTES
LARGE = http_limits.MIB
STALL = caller_memory.STALL_SECONDS
MAX_LARGE = LIMIT * caller_memory.LARGE_FRACTION


@pytest.fixture
def memory():
    return caller_memory.CallerMemory(LIMIT)


@pytest.fixture
def ended():
    """The holdings whose callers were ended, by their names."""
    return []


def hold(memory, size, ended=None, name='', groups=(), waits=True):
    """Returns a holding of a size that waits for its caller."""
    holding = memory.open(
        lambda: ended is not None and ended.append(name), groups
    )
    holding.resize(size)
    if waits:
        memory.await_caller(holding)
    return holding


def fill(memory, ended=None, groups=(), waits=True):
    """Returns large holdings that leave no room for another one."""
    holdings = []
    with pytest.raises(errors.RouterOverloaded):
        while True:
            number = len(holdings)
            holdings.append(hold(memory, LARGE, ended, number, groups, waits))
    return holdings


async def test_large_holdings_leave_room_for_small_ones(memory, autojump_clock):
    """Guards against ordinary requests refused for a few large bodies."""
    fill(memory)
    assert memory.held <= MAX_LARGE
    for _ in range(int((LIMIT - MAX_LARGE) // SMALL)):
        hold(memory, SMALL)
    with pytest.raises(errors.RouterOverloaded) as refused:
        hold(memory, SMALL)
    assert refused.value.outcome is errors.Outcome.NOT_RUN
    assert refused.value.retry_after == caller_memory.RETRY_AFTER_SECONDS
    assert memory.held <= LIMIT


async def test_large_holdings_beside_small_ones_keep_the_limit(
    memory, autojump_clock
):
    """Guards against a limit that small and large bodies each use up."""
    for _ in range(LIMIT // SMALL):
        hold(memory, SMALL, waits=False)
    fill(memory)
    # one large holding alone is always taken
    assert memory.held <= LIMIT + LARGE


async def test_one_body_beyond_the_limit_is_held(memory, autojump_clock):
    """Guards against bodies within their limit that are never served."""
    hold(memory, 2 * LIMIT, waits=False)
    hold(memory, SMALL)
    with pytest.raises(errors.RouterOverloaded):
        hold(memory, LARGE)


async def test_caller_that_stalls_is_ended_for_one_that_sends(
    memory, ended, autojump_clock
):
    """Guards against a body refused beside a crowd that sends no more."""
    fill(memory, ended)
    await trio.sleep(STALL)
    hold(memory, LARGE, ended, 'new')
    assert ended == [0]
    assert memory.held <= MAX_LARGE


async def test_caller_that_moves_on_is_not_ended(memory, ended, autojump_clock):
    """Guards against a large body ended in place of those that stall."""
    first, *_ = fill(memory, ended)
    await trio.sleep(STALL / 2)
    first.note_moved(caller_memory.PROGRESS_BYTES)
    await trio.sleep(STALL / 2)
    hold(memory, LARGE, ended, 'new')
    assert ended == [1]


async def test_caller_that_trickles_counts_as_one_that_stalls(
    memory, ended, autojump_clock
):
    """Guards against memory kept by a byte now and then."""
    first, *_ = fill(memory, ended)
    for _ in range(20):
        await trio.sleep(STALL / 10)
        first.note_moved(1)
    hold(memory, LARGE, ended, 'new')
    assert ended == [0]


async def test_caller_that_the_router_did_not_read_is_not_ended(
    memory, ended, autojump_clock
):
    """Guards against callers ended for the time that a busy router took."""
    first, *_ = fill(memory, ended)
    await trio.sleep(STALL)
    first.moved_at += STALL / 2
    hold(memory, LARGE, ended, 'new')
    assert ended == [1]


async def test_nobody_is_ended_while_there_is_room(
    memory, ended, autojump_clock
):
    """Guards against slow callers ended on a calm day."""
    hold(memory, LARGE, ended)
    await trio.sleep(100 * STALL)
    hold(memory, LARGE, ended)
    assert not ended


async def test_request_at_an_upstream_is_not_ended(
    memory, ended, autojump_clock
):
    """Guards against running requests ended for new ones."""
    for holding in fill(memory, ended):
        memory.keep(holding)
    await trio.sleep(2 * STALL)
    with pytest.raises(errors.RouterOverloaded):
        hold(memory, LARGE, ended)
    assert not ended


async def test_one_rule_leaves_room_for_others(memory, autojump_clock):
    """Guards against one slow service that takes up all memory."""
    first = caller_memory.body_groups('slow', 'corte')
    holdings = fill(memory, groups=first, waits=False)
    assert len(holdings) == int(
        LIMIT * caller_memory.CUSTOMER_RULE_FRACTION // LARGE
    )
    fill(
        memory, groups=caller_memory.body_groups('slow', 'clinica'), waits=False
    )
    assert memory.held == LIMIT * caller_memory.RULE_FRACTION
    hold(memory, LARGE, groups=caller_memory.body_groups('other', 'corte'))


async def test_one_customer_leaves_room_for_others(memory, autojump_clock):
    """Guards against one customer that takes up all memory by many rules."""
    for rule in ('a', 'b', 'c'):
        fill(memory, groups=caller_memory.body_groups(rule, 'one'), waits=False)
    assert memory.held <= LIMIT * caller_memory.CUSTOMER_FRACTION
    hold(memory, LARGE, groups=caller_memory.body_groups('a', 'two'))


async def test_only_callers_whose_end_helps_are_ended(
    memory, ended, autojump_clock
):
    """Guards against slow callers of others ended for a rule that is full."""
    other = caller_memory.body_groups('other', 'two')
    hold(memory, LARGE, ended, 'other', other)
    hold(memory, SMALL, ended, 'small', other)
    rule = caller_memory.body_groups('full', 'one')
    fill(memory, ended, rule)
    await trio.sleep(STALL)
    hold(memory, LARGE, ended, 'new', rule)
    assert ended == [0]


async def test_answer_waits_for_room_and_is_not_lost(
    memory, nursery, autojump_clock
):
    """Guards against answers that are dropped for lack of memory."""
    kept = fill(memory, waits=False)
    answers = [memory.open(lambda: None) for _ in range(2)]
    for answer in answers:
        nursery.start_soon(memory.wait_room, answer, LARGE)
    await trio.testing.wait_all_tasks_blocked()
    # one may exceed the limit: none would end if all waited for each other
    assert [answer.size for answer in answers] == [LARGE, 0]
    kept[0].release()
    kept[1].release()
    await trio.testing.wait_all_tasks_blocked()
    assert [answer.size for answer in answers] == [LARGE, LARGE]


async def test_answer_that_exceeds_the_limit_lets_the_next_one(
    memory, nursery, autojump_clock
):
    fill(memory, waits=False)
    first, second = (memory.open(lambda: None) for _ in range(2))
    await memory.wait_room(first, LARGE)
    nursery.start_soon(memory.wait_room, second, LARGE)
    await trio.testing.wait_all_tasks_blocked()
    first.release()
    await trio.testing.wait_all_tasks_blocked()
    assert second.size == LARGE


async def test_head_of_many_fields_counts_for_its_objects():
    """Guards against many small objects that take up more than their bytes."""
    fields, text_bytes = 3000, 15_000
    headers = tuple(
        (b'a%d' % number, b'%d' % number) for number in range(fields)
    )
    pairs = sum(
        pair.__sizeof__() + sum(part.__sizeof__() for part in pair)
        for pair in headers
    )
    assert caller_memory.head_size(fields, text_bytes) > 2 * pairs


SIZES = strategies.integers(0, LIMIT)
RULES = strategies.sampled_from(['a', 'b'])
STEPS = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 7), SIZES, RULES, strategies.booleans()
    ),
    max_size=40,
)


@settings(max_examples=200, deadline=None)
@given(STEPS)
def test_counts_agree_with_what_is_held(steps):
    """Guards against memory that is counted for ever, or not at all."""

    async def play():
        memory = caller_memory.CallerMemory(LIMIT)
        holdings = {}
        for key, size, rule, passes in steps:
            groups = caller_memory.body_groups(rule, 'corte')
            holding = holdings.get(key)
            if holding is None or holding.ended:
                holding = holdings[key] = memory.open(lambda: None, groups)
                memory.await_caller(holding)
            try:
                holding.resize(size)
            except errors.RouterOverloaded:
                holdings.pop(key).release()
            if passes:
                await trio.sleep(STALL)
            live = [one for one in holdings.values() if not one.ended]
            large = sorted(one.size for one in live if one.is_large)
            assert memory.held == sum(one.size for one in live)
            assert memory.large == sum(large)
            assert memory.held - memory.large <= LIMIT
            assert len(large) < 2 or memory.large <= MAX_LARGE
        for holding in holdings.values():
            holding.release()
        assert memory.held == memory.large == 0
        assert not memory.waiting
        assert not memory.large_by_group

    trio.run(play, clock=trio.testing.MockClock(autojump_threshold=0))
