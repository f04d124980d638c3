"""The report of the benches."""

from __future__ import annotations

from bench.report import figures
from bench.report import page


def run(reuse: float) -> dict[str, float]:
    return {
        'reuse': reuse,
        'skew': 1.2,
        'bytes_mean': 400.0,
        'bytes_most': 1200.0,
        'above': 0,
        'first_token': 0.8,
        'refused': 0,
        'requests': 6106,
    }


def test_figures_are_found_at_any_depth():
    value = {'a': {'b': 1, 'c': [2.5, {'d': 3}]}, 'text': 'x', 'flag': True}

    assert dict(figures.flat(value)) == {
        'a / b': 1.0,
        'a / c / 0': 2.5,
        'a / c / 1 / d': 3.0,
    }


def test_figures_missing_on_either_side_stay_in_the_table():
    found = figures.pairs({'old': 1, 'both': 2}, {'both': 3, 'new': 4})

    assert found == [
        figures.Pair('old', 1.0, None),
        figures.Pair('both', 2.0, 3.0),
        figures.Pair('new', None, 4.0),
    ]
    assert [pair.change for pair in found] == [None, 0.5, None]


def test_a_fall_against_the_committed_figures_is_marked():
    """A reader sees at once that reuse has fallen by half."""
    now = {'steady': {'runs': {'lavenderbend': run(0.4)}}}
    committed = {'steady': {'runs': {'lavenderbend': run(0.8)}}}

    text = page.decisions(now, committed)

    assert '<span class="worse">-50.0%</span>' in text
    assert text.count('class="worse"') == 1


def test_a_failed_bench_and_odd_text_are_shown():
    how = page.verdict(3, 12.4)
    text = page.section('rules_cost', how, {}, 'match <b> BROKEN')

    assert 'FAILED, exit code 3, 12 s' in text
    assert 'match &lt;b&gt; BROKEN' in text


def test_short_runs_are_not_compared_with_full_ones():
    now = {'correo-steady': {'runs': {'lavenderbend': run(0.1)}}}

    short = page.section('decisions', 'bounds kept', now, '', short=True)
    full = page.section('decisions', 'bounds kept', now, '')

    assert 'against the committed figures' not in short
    assert 'against the committed figures' in full
