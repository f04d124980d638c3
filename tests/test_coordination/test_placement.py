from __future__ import annotations

from hypothesis import given
from hypothesis import strategies
import pytest

from lavenderbend.coordination import placement
from lavenderbend.state import configuration
from lavenderbend.state import placements

POOL = configuration.Pool('chat', 'model')


def candidates(*loads, **changes):
    return [
        placement.Candidate(f'engine-{number}', 7, load, **changes)
        for number, load in enumerate(loads)
    ]


@given(strategies.lists(strategies.integers(0, 50), min_size=1, max_size=12))
def test_some_upstream_is_always_below_the_bound(loads):
    allowed = placement.allowed_load(POOL, sum(loads), len(loads), unseen=100.0)

    assert min(loads) + 1 <= max(allowed, min(loads)) or allowed == 64


@given(strategies.integers(0, 400), strategies.integers(1, 12))
def test_bound_is_c_times_the_mean_rounded_up_at_most(load, count):
    pool = configuration.Pool('chat', 'model', max_load=10_000)

    allowed = placement.allowed_load(pool, load, count)

    assert allowed <= max(pool.floor, 1.25 * (load + 1) / count + 1)


def test_held_chat_goes_first_then_the_least_loaded():
    places = [placements.Place('engine-2', 7)]

    tried = placement.order(candidates(3, 1, 9), places, 5)

    names = [candidate.upstream for candidate, _ in tried]
    assert names == ['engine-2', 'engine-1', 'engine-0']
    assert tried[0][1] == placement.HELD_CHAT


def test_context_is_gone_with_the_instance():
    places = [placements.Place('engine-2', 6)]

    tried = placement.order(candidates(3, 1, 9), places, 5)

    assert placement.HELD_CHAT not in [reason for _, reason in tried]


def test_upstreams_with_the_adapter_go_first():
    both = candidates(0, 4)
    both[0].adapter = False

    tried = placement.order(both, (), 5)

    assert tried[0][0].upstream == 'engine-1'


@pytest.mark.parametrize(
    ('changes', 'reason'),
    [
        ({'avoided': True}, placement.AVOIDED),
        ({'tested': True}, placement.TESTED),
        ({'room': 0}, placement.OTHER_OWNER),
    ],
)
def test_why_an_upstream_is_passed_over(changes, reason):
    tried = placement.order(candidates(1, **changes), (), 5)

    choice = placement.choose(tried, 10, 64)

    assert choice.upstream is None
    assert choice.passed_over == (('engine-0', reason),)


def test_table_of_places_is_bounded_and_forgets_the_oldest():
    table = placements.Placements(capacity=3)
    for chat in range(5):
        table.put(chat, placements.Place('engine-0', 1))

    assert len(table) == 3
    assert table.get(0) == ()
    assert len(table.next_unsent(10)) == 3


def test_copy_does_not_replace_a_newer_place():
    table = placements.Placements()
    table.put(1, placements.Place('engine-0', 1))
    table.learn(1, placements.Place('engine-1', 1))

    assert table.get(1)[0].upstream == 'engine-0'
