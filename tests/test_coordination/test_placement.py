from __future__ import annotations

from hypothesis import given
from hypothesis import strategies
import pytest

from lavenderbend.coordination import placement
from lavenderbend.state import configuration
from lavenderbend.state import placements

POOL = configuration.Pool('chat', 'model')


def make_candidates(*loads, **changes):
    return [
        placement.Candidate(f'engine-{number}', 7, load, **changes)
        for number, load in enumerate(loads)
    ]


@given(strategies.lists(strategies.integers(0, 50), min_size=1, max_size=12))
def test_some_upstream_is_always_below_the_bound(loads):
    allowed = placement.allowed_load(
        POOL, sum(loads), len(loads), possibly_ended=100.0
    )

    assert min(loads) + 1 <= max(allowed, min(loads)) or allowed == 64


@given(strategies.integers(0, 400), strategies.integers(1, 12))
def test_bound_is_c_times_the_mean_rounded_up_at_most(load, count):
    pool = configuration.Pool('chat', 'model', max_load=10_000)

    allowed = placement.allowed_load(pool, load, count)

    assert allowed <= max(pool.floor, 1.25 * (load + 1) / count + 1)


def test_context_holder_comes_first_then_the_least_loaded():
    places = [placements.Place('engine-2', 7)]

    ordered = placement.order(make_candidates(3, 1, 9), places, 5)

    names = [candidate.upstream for candidate, _ in ordered]
    assert names == ['engine-2', 'engine-1', 'engine-0']
    assert ordered[0][1] == placement.HELD_CHAT


def test_context_is_lost_with_the_instance():
    places = [placements.Place('engine-2', 6)]

    ordered = placement.order(make_candidates(3, 1, 9), places, 5)

    assert placement.HELD_CHAT not in [reason for _, reason in ordered]


def test_upstreams_with_the_adapter_come_first():
    options = make_candidates(0, 4)
    options[0].adapter = False

    ordered = placement.order(options, (), 5)

    assert ordered[0][0].upstream == 'engine-1'


@pytest.mark.parametrize(
    ('changes', 'reason'),
    [
        ({'avoided': True}, placement.AVOIDED),
        ({'runs_suspect': True}, placement.RUNS_SUSPECT),
        ({'headroom': 0}, placement.OTHER_OWNER),
    ],
)
def test_reason_for_passing_over_an_upstream(changes, reason):
    ordered = placement.order(make_candidates(1, **changes), (), 5)

    choice = placement.choose(ordered, 10, 64)

    assert choice.upstream is None
    assert choice.passed_over == (('engine-0', reason),)


def test_table_of_places_is_bounded_and_evicts_the_oldest():
    table = placements.Placements(capacity=3)
    for chat in range(5):
        table.put(chat, placements.Place('engine-0', 1))

    assert len(table) == 3
    assert table.get(0) == ()
    assert len(table.next_unsent(10)) == 3


def test_replicated_place_does_not_replace_a_newer_one():
    table = placements.Placements()
    table.put(1, placements.Place('engine-0', 1))
    table.merge(1, placements.Place('engine-1', 1))

    assert table.get(1)[0].upstream == 'engine-0'
