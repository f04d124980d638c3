"""Each checker is shown to fail on records that break its rule."""

from __future__ import annotations

import attrs

from lavenderbend.standin import engine_texts
from tests.integration import callers
from tests.integration import checkers

BODY = {'messages': [{'role': 'user', 'content': 'hola'}], 'max_tokens': 5}
RIGHT = callers.Call(
    'chat',
    'corte-santiago',
    BODY,
    told=callers.Told.COMPLETE,
    request_id='r1',
    text=engine_texts.answer_text('r1', BODY),
)
ONCE = callers.Call(
    'once', 'c', {}, 'k1', told=callers.Told.NOT_RUN, request_id='r9', ended=5.0
)


def test_answer_of_another_request_is_found():
    wrong = attrs.evolve(RIGHT, text=engine_texts.answer_text('r2', BODY))

    assert checkers.whole_answers([RIGHT]) == []
    assert len(checkers.whole_answers([wrong])) == 1


def test_shortened_answer_is_found():
    wrong = attrs.evolve(RIGHT, text=RIGHT.text[:-1])

    assert len(checkers.whole_answers([wrong])) == 1


def test_false_not_run_is_found():
    by_id = checkers.Run('s', 'r9', '', 1.0)
    by_key = checkers.Run('s', 'r8', 'k1', 1.0)
    later = checkers.Run('s', 'r8', 'k1', 6.0)

    assert len(checkers.not_run([ONCE], [by_id])) == 1
    assert len(checkers.not_run([ONCE], [by_key])) == 1
    assert checkers.not_run([ONCE], [later]) == []


def test_second_run_is_found():
    runs = [
        checkers.Run('a', 'r1', 'k', 1.0),
        checkers.Run('b', 'r2', 'k', 2.0),
    ]

    assert checkers.at_most_once(runs[:1]) == []
    assert len(checkers.at_most_once(runs)) == 1


def test_complete_that_never_ran_is_found():
    call = attrs.evolve(ONCE, told=callers.Told.COMPLETE)

    assert len(checkers.once_told_truly([call], [])) == 1


def test_cut_answer_is_found():
    call = attrs.evolve(RIGHT, told=callers.Told.BROKEN)

    assert len(checkers.nothing_cut([RIGHT, call])) == 1


def test_work_for_a_leaving_upstream_is_found():
    runs = [checkers.Run('a', 'r1', '', 1.0), checkers.Run('a', 'r2', '', 9.0)]

    assert len(checkers.nothing_new(runs, 'a', 5.0)) == 1


def test_overload_is_found():
    runs = [checkers.Run('a', f'r{number}', '', 1.0) for number in range(6)]

    found = checkers.bounded_load(runs, ['a', 'b', 'c'], 1.25, 2)

    assert found


def test_even_load_is_no_overload():
    runs = [
        checkers.Run(name, f'{name}{number}', '', number)
        for number in range(6)
        for name in 'abc'
    ]

    assert checkers.bounded_load(runs, list('abc'), 1.25, 2) == []


# ten requests that were admitted together, as engines recorded their starts
# in milliseconds on a machine with other work on it
TOGETHER = {
    'e0': (0.0, 0.2),
    'e1': (7.8,),
    'e3': (5.9, 7.8),
    'e4': (2.8, 2.9, 3.0, 4.0, 4.2),
}
ENGINES = ('e0', 'e1', 'e2', 'e3', 'e4')


def runs_of(starts):
    return [
        checkers.Run(name, f'{name}-{place}', '', 1.0 + at / 1000, 1.3)
        for name, moments in starts.items()
        for place, at in enumerate(moments)
    ]


def test_order_of_starts_within_the_clocks_error_is_no_overload():
    # Five starts on one engine were read before those of other engines that
    # were admitted with them: the load that the owner had counted was ten,
    # the checker saw five and took the engine for overloaded. The clocks of
    # two engines cannot tell which of these starts came first.
    early = {**TOGETHER, 'e4': (-1.0, -0.9, -0.8, -0.7, -0.6)}
    for starts in (TOGETHER, early):
        runs = runs_of(starts)
        found = checkers.bounded_load(runs, ENGINES, 1.5, 2, slack=2)
        assert found == []


def test_overload_beyond_the_clocks_error_is_found():
    # the same five starts, while the other engines get theirs clearly later
    late = {
        name: tuple(at + 100 for at in moments)
        for name, moments in TOGETHER.items()
    }
    runs = runs_of({**late, 'e4': TOGETHER['e4']})
    assert checkers.bounded_load(runs, ENGINES, 1.5, 2, slack=2)


def test_revision_that_goes_back_is_found():
    seen = [('a', 1), ('a', 2), ('b', 1), ('a', 1)]

    assert checkers.never_back(seen[:3]) == []
    assert len(checkers.never_back(seen)) == 1
