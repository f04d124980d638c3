"""Facts that routers tell each other, in any order and any number of times."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies
import trio
import trio.testing

from lavenderbend.coordination.forwarding import crashes
from lavenderbend.coordination.forwarding import facts
from lavenderbend.coordination.forwarding import suspicions

BEGIN = 100.0
# further apart than ages are wrong by on their way
APART = 1.0

FACTS = strategies.builds(
    lambda kind, subject, source, step: facts.Fact(
        kind, subject, source, BEGIN + APART * step, 60.0
    ),
    strategies.sampled_from([crashes.DEATH, crashes.CLEARED]),
    strategies.sampled_from(['a', 'b']),
    strategies.sampled_from(['x', 'y', 'z']),
    strategies.integers(0, 8),
)


def make():
    return facts.Facts('10.0.0.1', lambda fact: None)


def held(known):
    return {one.fact for one in known.all() if known.holds(one)}


def on_virtual_clock(function):
    """Runs a synchronous check at a moment after all facts."""

    async def run():
        await trio.sleep(BEGIN + 10 * APART)
        function()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@hypothesis.settings(max_examples=60, deadline=None)
@hypothesis.given(strategies.lists(FACTS, max_size=12), strategies.randoms())
def test_order_and_repetition_do_not_matter(found, rng):
    def check():
        first, second = make(), make()
        for fact in found:
            first.merge(fact)
        again = [*found, *rng.sample(found, rng.randint(0, len(found)))]
        rng.shuffle(again)
        for fact in again:
            second.merge(fact)
        assert held(first) == held(second)

    on_virtual_clock(check)


@hypothesis.settings(max_examples=60, deadline=None)
@hypothesis.given(
    strategies.lists(FACTS, min_size=1, max_size=12),
    strategies.integers(0, 12),
    strategies.randoms(),
)
def test_lost_facts_come_with_those_that_others_hold(found, cut, rng):
    # A message with some facts is lost. Its receiver has them from a third
    # router, in another order, some by now cleared.
    def check():
        first, second, third = make(), make(), make()
        for fact in found:
            first.merge(fact)
            third.merge(fact)
        for fact in found[:cut]:
            second.merge(fact)
        rest = [one.fact for one in third.all_entries()]
        rng.shuffle(rest)
        for fact in rest:
            second.merge(fact)
        assert held(first) == held(second)

    on_virtual_clock(check)


async def test_fact_is_told_on_a_few_times_only(autojump_clock):
    known = make()
    known.add(crashes.DEATH, 'a', 'x', 60.0)
    told = [bool(known.next_new()) for _ in range(3)]
    assert told == [True] * 3
    for _ in range(facts.SENDS_PER_FACT):
        known.next_rows()
    assert known.next_new() == []


async def test_router_that_was_cut_off_gets_the_old_facts(autojump_clock):
    # A router misses all tellings of twenty facts. Each later message has
    # one of them, so that it knows all after twenty and some messages.
    known, late = make(), make()
    for number in range(20):
        known.add(crashes.DEATH, f'{number:016x}', 'x', 60.0)
    while known.next_new():
        known.next_rows()
    for _ in range(45):
        late.merge_rows(known.next_rows())
    assert len(held(late)) == 20


async def test_kind_of_a_later_version_is_passed_over(autojump_clock):
    known = make()
    known.merge_rows([['unheard of', 'a', 'x', 0, 1000]])
    assert held(known) == set()


async def test_fact_ends_with_its_time_whatever_it_says(autojump_clock):
    known = make()
    known.add(suspicions.SUSPECTED, 'e1', '10.0.0.2', 3600.0)
    await trio.sleep(suspicions.MOST_SECONDS + 0.1)
    assert known.current(suspicions.SUSPECTED, 'e1') == []
    known.prune()
    assert not known.may_have(suspicions.SUSPECTED)


async def test_facts_are_bounded(autojump_clock):
    known = make()
    for number in range(facts.MAX_FACTS + 10):
        known.add(crashes.DEATH, f'{number:016x}', 'x', 60.0)
    known.prune()
    assert len(held(known)) == facts.MAX_FACTS


async def test_fact_found_while_others_are_told_is_told_at_once(
    nursery, autojump_clock
):
    # The task that tells of fresh facts waits for the next one while another
    # message is made. The wait was on a mark that the message had replaced,
    # and what came next waited for the ordinary messages.
    known = make()
    known.add(crashes.DEATH, 'a', 'x', 60.0)
    known.next_rows()
    waited = known.new_fact
    known.next_rows()
    known.add(crashes.DEATH, 'b', 'x', 60.0)
    assert waited.is_set()


def suspecting(size):
    believed = []
    one = suspicions.Suspicions(
        facts.Facts('10.0.0.1', lambda fact: one.learn(fact)), lambda: size
    )
    one.believed = lambda instance, seconds: believed.append(
        (instance, round(seconds, 1))
    )
    return one, believed


async def test_one_router_of_many_is_not_believed(autojump_clock):
    # A router whose own way is cut finds one upstream after the other dead.
    # Believed by two hundred others it would empty the caches of them all.
    one, believed = suspecting(200)
    one.facts.merge_rows([['suspected', 'e1', '10.0.0.2', 0, 1000]])
    one.facts.merge_rows([['suspected', 'e2', '10.0.0.2', 0, 1000]])
    assert believed == []
    one.facts.merge_rows([['suspected', 'e1', '10.0.0.3', 0, 2000]])
    assert believed == [('e1', 2.0)]


async def test_one_router_of_few_is_believed(autojump_clock):
    one, believed = suspecting(4)
    one.facts.merge_rows([['suspected', 'e1', '10.0.0.2', 200, 1000]])
    assert believed == [('e1', 0.8)]


async def test_own_finding_is_no_news(autojump_clock):
    one, believed = suspecting(4)
    one.tell('e1', 1.0)
    assert believed == []
