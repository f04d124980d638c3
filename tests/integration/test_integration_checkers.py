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


# permits that routers held around five grants for one engine, in
# milliseconds before its process, which stood still for 1.6 s, went on
STOOD_STILL = {
    'e0': ((-1792, -1721), (-1549, -1482), (-1019, -794)),
    'e1': (
        (-1857, -1602), (-1842, -1681), (-1799, -1663), (-1781, -1663),
        (-1565, -1412), (-1542, -1324), (-1041, -815), (-923, -780),
    ),
    'e2': (
        (-1819, -1687), (-1805, -1663), (-1780, -1598), (-1756, 22),
        (-1674, 49), (-1534, 97), (-1516, 60), (-856, 196),
    ),
    'e3': (
        (-1810, -1748), (-1792, -1632), (-1713, -1518), (-1702, -1603),
        (-1551, -1503), (-905, -793), (-177, 1),
    ),
    'e4': ((-1815, -1568), (-1781, -1716), (-1579, -1353), (-69, 100)),
}  # fmt: skip
LATE = 2  # seconds; all of it is after the clock's zero


def intervals_of(times):
    return [
        checkers.Run(
            name, f'{name}-{start}', '', LATE + start / 1000, LATE + end / 1000
        )
        for name, intervals in times.items()
        for start, end in intervals
    ]


def test_late_start_on_an_engine_that_stood_still_is_no_overload():
    # An engine's process stands still on a busy machine. Five requests wait
    # at it, admitted while others had their share; when it goes on, three
    # start at once and the others have ended. By the starts the engine is
    # at five of six, which nobody decided: the permits kept the bound.
    permits = intervals_of(STOOD_STILL)
    # a run ends before its permit is back
    runs = [attrs.evolve(one, ended=one.ended - 0.002) for one in permits]
    for place, one in enumerate(runs):
        if one.upstream == 'e2' and LATE - 1.6 < one.started < LATE < one.ended:
            runs[place] = attrs.evolve(one, started=LATE)

    assert checkers.bounded_load(runs, ENGINES, 1.5, 2, slack=2)
    assert checkers.bounded_load(permits, ENGINES, 1.5, 2, slack=2) == []
    assert checkers.unpermitted(runs, permits, ENGINES) == []


def test_permits_above_the_bound_are_found():
    # the same five, while the other engines have less than they had
    permits = intervals_of({**STOOD_STILL, 'e1': (), 'e3': ()})

    assert checkers.bounded_load(permits, ENGINES, 1.5, 2, slack=2)


def test_run_that_no_permit_covers_is_found():
    permits = intervals_of({'e0': ((0, 100),)})
    wrong = (
        attrs.evolve(permits[0], upstream='e1'),
        attrs.evolve(permits[0], request_id='other'),
        attrs.evolve(permits[0], started=LATE - 0.2),
        attrs.evolve(permits[0], ended=LATE + 0.3),
    )

    assert checkers.unpermitted(permits, permits, ENGINES) == []
    for run in wrong:
        assert len(checkers.unpermitted([run], permits, ENGINES)) == 1


def test_revision_that_goes_back_is_found():
    seen = [('a', 1), ('a', 2), ('b', 1), ('a', 1)]

    assert checkers.never_back(seen[:3]) == []
    assert len(checkers.never_back(seen)) == 1
