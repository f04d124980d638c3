"""Gossiped facts: merge order, loss, expiry and bounds."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies
import pytest
import trio
import trio.testing

from lavenderbend.coordination.forwarding import crashes
from lavenderbend.coordination.forwarding import facts
from lavenderbend.coordination.forwarding import suspicions
from lavenderbend.coordination.forwarding.crashing_parts import crashing_parts

BEGIN = 100.0
HASHED_KINDS = [
    crashes.DEATH,
    crashes.CLEARED,
    crashing_parts.BLAMED,
    crashing_parts.ANSWERED,
]
# Longer than `SAME_FACT_SECONDS`: no two facts count as the same one.
GAP_SECONDS = 1.0

FACTS = strategies.builds(
    lambda kind, subject, source, step: facts.Fact(
        kind, subject, source, BEGIN + GAP_SECONDS * step, 60.0
    ),
    strategies.sampled_from([crashes.DEATH, crashes.CLEARED]),
    strategies.sampled_from(['a', 'b']),
    strategies.sampled_from(['x', 'y', 'z']),
    strategies.integers(0, 8),
)


def make_facts():
    return facts.Facts('10.0.0.1', lambda fact: None)


def current_facts(router_facts):
    return {
        entry.fact
        for entry in router_facts.all_entries()
        if router_facts.is_current(entry)
    }


def on_virtual_clock(function):
    """Runs a synchronous check at a time after all facts."""

    async def run():
        await trio.sleep(BEGIN + 10 * GAP_SECONDS)
        function()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@hypothesis.settings(max_examples=60, deadline=None)
@hypothesis.given(strategies.lists(FACTS, max_size=12), strategies.randoms())
def test_merge_does_not_depend_on_order_or_repetition(drawn, rng):
    def check():
        first, second = make_facts(), make_facts()
        for fact in drawn:
            first.merge(fact)
        again = [*drawn, *rng.sample(drawn, rng.randint(0, len(drawn)))]
        rng.shuffle(again)
        for fact in again:
            second.merge(fact)
        assert current_facts(first) == current_facts(second)

    on_virtual_clock(check)


@hypothesis.settings(max_examples=60, deadline=None)
@hypothesis.given(
    strategies.lists(FACTS, min_size=1, max_size=12),
    strategies.integers(0, 12),
    strategies.randoms(),
)
def test_lost_facts_are_received_from_another_router(drawn, cut, rng):
    # Guards against facts that stay missing: a message with some facts is lost,
    # and its receiver gets them from a third router, in another order and with
    # some of them cleared by now.
    def check():
        first, second, third = make_facts(), make_facts(), make_facts()
        for fact in drawn:
            first.merge(fact)
            third.merge(fact)
        for fact in drawn[:cut]:
            second.merge(fact)
        rest = [entry.fact for entry in third.all_entries()]
        rng.shuffle(rest)
        for fact in rest:
            second.merge(fact)
        assert current_facts(first) == current_facts(second)

    on_virtual_clock(check)


async def test_fact_is_sent_a_few_times_only(autojump_clock):
    router_facts = make_facts()
    router_facts.add(crashes.DEATH, 'a', 'x', 60.0)
    pending = [bool(router_facts.next_new()) for _ in range(3)]
    assert pending == [True] * 3
    for _ in range(facts.TRANSMISSIONS_PER_FACT):
        router_facts.rows_to_send()
    assert router_facts.next_new() == []


async def test_partitioned_router_receives_old_facts(autojump_clock):
    # Guards against facts that a router never receives after a partition: it
    # misses all transmissions of twenty facts. Each later message contains one
    # old fact, so after somewhat more than twenty messages it has all.
    sender, receiver = make_facts(), make_facts()
    for number in range(20):
        sender.add(crashes.DEATH, f'{number:016x}', 'x', 60.0)
    while sender.next_new():
        sender.rows_to_send()
    for _ in range(45):
        receiver.merge_rows(sender.rows_to_send())
    assert len(current_facts(receiver)) == 20


@pytest.mark.parametrize('kind', HASHED_KINDS)
@pytest.mark.parametrize('subject', ['', 'e1', 'g' * 16, '7' * 15, '7' * 5000])
async def test_subject_that_is_no_hash_is_ignored(
    autojump_clock, kind, subject
):
    """Guards against a message whose facts end the router."""
    known = []
    router_facts = facts.Facts('10.0.0.1', known.append)
    router_facts.merge_rows(
        [[kind, subject, '1', 0, 1000], [kind, '7' * 16, '1', 0, 1000]]
    )
    assert [int(fact.subject, 16) for fact in known] == [0x7777777777777777]


async def test_kind_of_a_later_version_is_ignored(autojump_clock):
    router_facts = make_facts()
    router_facts.merge_rows([['unheard of', 'a', 'x', 0, 1000]])
    assert current_facts(router_facts) == set()


async def test_validity_of_a_fact_is_bounded_by_its_kind(autojump_clock):
    router_facts = make_facts()
    router_facts.add(suspicions.SUSPECTED, 'e1', '10.0.0.2', 3600.0)
    await trio.sleep(suspicions.MAX_SUSPICION_SECONDS + 0.1)
    assert router_facts.current(suspicions.SUSPECTED, 'e1') == []
    router_facts.remove_expired()
    assert not router_facts.may_have(suspicions.SUSPECTED)


async def test_facts_are_bounded(autojump_clock):
    router_facts = make_facts()
    for number in range(facts.MAX_FACTS + 10):
        router_facts.add(crashes.DEATH, f'{number:016x}', 'x', 60.0)
    router_facts.remove_expired()
    assert len(current_facts(router_facts)) == facts.MAX_FACTS


async def test_fact_added_while_others_are_sent_is_sent_at_once(
    nursery, autojump_clock
):
    # Guards against a lost wake-up: the task that sends new facts waits while
    # another message is built. It waited for an event that the message had
    # replaced, and the next fact was delayed until the periodic messages.
    router_facts = make_facts()
    router_facts.add(crashes.DEATH, 'a', 'x', 60.0)
    router_facts.rows_to_send()
    awaited = router_facts.new_fact
    router_facts.rows_to_send()
    router_facts.add(crashes.DEATH, 'b', 'x', 60.0)
    assert awaited.is_set()


def make_suspicions(size):
    confirmed = []
    subject = suspicions.Suspicions(
        facts.Facts('10.0.0.1', lambda fact: subject.apply_suspicion(fact)),
        lambda: size,
    )
    subject.on_confirmed = lambda instance, seconds: confirmed.append(
        (instance, round(seconds, 1))
    )
    return subject, confirmed


async def test_one_report_confirms_no_suspicion_in_a_large_fleet(
    autojump_clock,
):
    # A router whose own network path is cut finds one upstream after the other
    # dead. If 200 others acted on that, all prompt caches would be lost.
    subject, confirmed = make_suspicions(200)
    subject.facts.merge_rows([['suspected', 'e1', '10.0.0.2', 0, 1000]])
    subject.facts.merge_rows([['suspected', 'e2', '10.0.0.2', 0, 1000]])
    assert confirmed == []
    subject.facts.merge_rows([['suspected', 'e1', '10.0.0.3', 0, 2000]])
    assert confirmed == [('e1', 2.0)]


async def test_one_report_confirms_a_suspicion_in_a_small_fleet(autojump_clock):
    subject, confirmed = make_suspicions(4)
    subject.facts.merge_rows([['suspected', 'e1', '10.0.0.2', 200, 1000]])
    assert confirmed == [('e1', 0.8)]


async def test_own_report_confirms_no_suspicion(autojump_clock):
    subject, confirmed = make_suspicions(4)
    subject.announce('e1', 1.0)
    assert confirmed == []
