from __future__ import annotations

import json

import pytest
import trio

from bench.peers import __main__ as bench
from bench.peers import bounds
from bench.peers import scale

# on the virtual clock and from fixed seeds: the same figures at every run


@pytest.fixture(scope='module')
def row():
    return scale.table([12], deaths=3, count=3, minutes=0.5, seconds=10)['12']


def test_short_run_is_within_the_bounds(row):
    assert bounds.check_membership('12', row) == []


def test_nobody_is_lost_wrongly(row):
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
def test_a_figure_that_falls_back_is_named(row, path, value):
    worse = json.loads(json.dumps(row))
    worse[path[0]][path[1]] = value

    assert len(bounds.check_membership('12', worse)) == 1


async def test_views_never_differ_for_more_than_seconds_under_churn(
    nursery, autojump_clock
):
    # routers are replaced one after the other, every five seconds, while
    # one-way cuts come and go. Whatever each believes meanwhile, ten
    # seconds after the last change all must believe the same.
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
