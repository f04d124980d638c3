"""Runs cases, and compares what they give with the bounds."""

from __future__ import annotations

import pathlib
from typing import Any
from typing import TYPE_CHECKING

import attrs
import yaml

from bench.decisions import cases
from bench.decisions import figures
from bench.decisions import world

if TYPE_CHECKING:
    from collections.abc import Iterable

CEILING = 'all-knowing'
OURS = 'lavenderbend'
CALM = 'without the surge'
BOUNDS = pathlib.Path(__file__).with_name('bounds.yaml')

Table = dict[str, figures.Figures]


def run_case(name: str, length: cases.Length) -> Table:
    """Runs a case; returns the figures by label."""
    table: Table = {}
    for setup in cases.CASES.get(name)(length):
        record = world.run(setup.case, list(setup.events))
        table[setup.label] = figures.figures(record, setup.case.warm)
    return table


def measures(table: Table) -> dict[str, float]:
    """Returns what the bounds speak of.

    For a comparison of policies: reuse against the ceiling and the best
    baseline that keeps the bound, and the library's own figures. For other
    cases: the worst over the runs.
    """
    if OURS not in table:
        return worst(table)
    ours = table[OURS]
    result = {
        'reuse': ours.reuse,
        'above': ours.above,
        'most_above': ours.most_above,
        'skew': ours.skew,
        'bytes_most': ours.bytes_most,
        'waited': ours.waited,
        'instant': ours.instant,
    }
    if CEILING in table:
        result['reuse_of_ceiling'] = ours.reuse / table[CEILING].reuse
    bounded = table.get('local-bounded')
    if bounded is not None:
        result['reuse_over_local'] = ours.reuse / bounded.reuse
    return result


def worst(table: Table) -> dict[str, float]:
    """Returns the worst figures over the runs of a case."""
    rows = table.values()
    result = {
        'above': max(row.above for row in rows),
        'most_above': max(row.most_above for row in rows),
        'late_work': max(row.late_work for row in rows),
        'poisoned': max(row.poisoned for row in rows),
        'innocents': max(row.innocents for row in rows),
        'refused': max(row.refused for row in rows),
        'bytes_most': max(row.bytes_most for row in rows),
        'bytes_mean': max(row.bytes_mean for row in rows),
        'reuse': min(row.reuse for row in rows),
    }
    calm = table.get(CALM)
    if calm is not None:
        waits = max(row.others_waited for row in rows)
        tokens = max(row.others_first_token for row in rows)
        result['others_wait_ratio'] = waits / calm.others_waited
        result['others_token_ratio'] = tokens / calm.others_first_token
    return result


@attrs.frozen
class Breach:
    """A figure outside of its bounds.

    Attributes:
        case: Name of the case.
        measure: Name of the measure.
        value: The figure.
        bound: What it should keep.
    """

    case: str
    measure: str
    value: float
    bound: str


def load_bounds() -> dict[str, Any]:
    """Returns the committed bounds."""
    return yaml.safe_load(BOUNDS.read_text(encoding='utf-8'))


def breaches(
    case: str, found: dict[str, float], bounds: dict[str, Any]
) -> Iterable[Breach]:
    """Yields the figures of a case that are outside of their bounds.

    A bound on a measure that the case does not give is a breach too.
    """
    for measure, limits in bounds.items():
        if measure not in found:
            yield Breach(case, measure, float('nan'), 'is not measured')
            continue
        value = found[measure]
        if 'min' in limits and value < limits['min']:
            yield Breach(case, measure, value, f'at least {limits["min"]}')
        if 'max' in limits and value > limits['max']:
            yield Breach(case, measure, value, f'at most {limits["max"]}')
