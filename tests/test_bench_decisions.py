from __future__ import annotations

import pytest

from bench.decisions import cases
from bench.decisions import results
from bench.decisions import workload
from bench.decisions import world

BOUNDS = results.load_bounds()


@pytest.mark.parametrize('name', sorted(BOUNDS['short']))
def test_decisions_keep_their_bounds(name):
    table = results.run_case(name, cases.SHORT)

    found = results.measures(table)

    assert list(results.breaches(name, found, BOUNDS['short'][name])) == []


def test_a_run_gives_the_same_figures_again():
    length = cases.Length(20.0, 5.0, ())
    case = cases.base(workload.RUTACLARA, length, 'again')

    first = world.run(case)
    second = world.run(case)

    assert first.outcomes == second.outcomes
    assert first.counts == second.counts


def test_a_figure_that_falls_back_is_a_breach():
    bounds = {'reuse': {'min': 0.9}, 'above': {'max': 0}, 'gone': {'max': 1}}

    found = results.breaches('case', {'reuse': 0.8, 'above': 1}, bounds)

    assert [breach.measure for breach in found] == ['reuse', 'above', 'gone']


def test_random_placement_breaks_the_bound():
    # the check of the bound must be able to fail
    length = cases.Length(40.0, 20.0, ())
    case = cases.base(workload.CORREO, length, 'check', policy='random')

    record = world.run(case)

    assert record.excess
