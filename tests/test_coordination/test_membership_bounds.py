from __future__ import annotations

import json

import pytest
import trio

from bench.peers import __main__ as bench
from bench.peers import bounds
from bench.peers import scale

# the fixture runs on a virtual clock with fixed seeds, so its figures are the
# same in every run


@pytest.fixture(scope='module')
def row():
    return scale.table([12], deaths=3, count=3, minutes=0.5, seconds=10)['12']


def test_short_run_is_within_the_bounds(row):
    assert bounds.check_membership('12', row) == []


def test_no_live_router_is_declared_dead(row):
    assert row['wrong losses'] == {'cut': 0, 'pause': 0, 'loss': 0}


def test_committed_figures_are_within_the_bounds():
    figures = json.loads(bench.FIGURES.read_text())

    assert figures['links']
    assert figures['membership']
    assert bounds.check(figures) == []


@pytest.mark.parametrize(
    ('path', 'value'),
    [
        (('drain, all views', 'max'), 2.1),
        (('silent death, all views', 'max'), 8.5),
        (('calm', 'bytes_per_second'), 151),
        (('wrong losses', 'cut'), 1),
    ],
)
def test_figure_that_got_worse_is_reported(row, path, value):
    worse = json.loads(json.dumps(row))
    worse[path[0]][path[1]] = value

    assert len(bounds.check_membership('12', worse)) == 1


async def test_views_converge_within_ten_seconds_under_churn(
    nursery, autojump_clock
):
    # Guards against views that stay different after churn: routers are
    # replaced every five seconds while one-way cuts begin and end. Ten
    # seconds after the last change all views must be equal.
    fleet = await scale.fleets.make_fleet(nursery, 12, engines=6, seed=3)
    names = sorted(fleet.members)
    for number in range(6):
        name = names[number]
        vm = fleet.members[name].vm
        fleet.network.cut = {(names[-1], names[(number + 3) % 12])}
        if number % 2:
            await fleet.members[name].leave()
        fleet.end(name)
        await trio.sleep(5)
        fleet.start(vm)
        fleet.engines[f'engine-{number:04d}'].draining = True
    fleet.network.cut.clear()

    await trio.sleep(10)

    assert {member.routers() for member in fleet.members.values()} == {
        tuple(names)
    }
    assert fleet.using('engine-0000') == []
