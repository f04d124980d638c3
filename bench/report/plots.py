"""Plots of the three measures, as images within the page."""

from __future__ import annotations

import base64
import io
from typing import Any

import matplotlib.figure

MEASURES = {
    'reuse': 'reuse of the prompt cache (more is better)',
    'skew': 'skew: largest over mean load, p99 (less is better)',
    'bytes_mean': 'control bytes/s of a router, mean (less is better)',
    'bytes_most': 'control bytes/s of the busiest router (less is better)',
}
OURS = 'lavenderbend'
OUR_COLOUR = 'tab:purple'
OTHER_COLOUR = 'lightgray'
HEIGHT = 0.22  # inches of a bar
SCALING = 'scaling'


def image(figure: matplotlib.figure.Figure, text: str) -> str:
    """Returns a figure as an element of the page."""
    stream = io.BytesIO()
    figure.savefig(stream, format='png', dpi=80)
    data = base64.b64encode(stream.getvalue()).decode()
    return f'<img alt="{text}" src="data:image/png;base64,{data}">'


def is_comparison(case: dict[str, Any]) -> bool:
    """Returns whether a case compares policies."""
    return OURS in case['runs']


def of_case(name: str, case: dict[str, Any], committed: dict[str, Any]) -> str:
    """Returns the bars of one case: a column for each measure.

    A line across our bar shows what was committed last.
    """
    labels = list(case['runs'])[::-1]
    figure = matplotlib.figure.Figure(
        figsize=(15, 1.1 + HEIGHT * len(labels)), layout='constrained'
    )
    old = committed.get('runs', {}).get(OURS)
    axes = figure.subplots(1, len(MEASURES), sharey=True)
    for axis, measure in zip(axes, MEASURES, strict=True):
        values = [case['runs'][label][measure] for label in labels]
        colours = [
            OUR_COLOUR if label == OURS else OTHER_COLOUR for label in labels
        ]
        axis.barh(labels, values, color=colours)
        if old is not None:
            axis.axvline(old[measure], color='black', linestyle=':')
        axis.set_title(MEASURES[measure], fontsize=8)
    return image(figure, f'{name}: measures by policy')


def of_scaling(case: dict[str, Any]) -> str:
    """Returns the growth of control traffic with the fleet."""
    sizes = [int(label.split()[0]) for label in case['runs']]
    figure = matplotlib.figure.Figure(figsize=(7, 3.5), layout='constrained')
    axis = figure.subplots()
    for measure in ('bytes_mean', 'bytes_most'):
        values = [row[measure] for row in case['runs'].values()]
        axis.plot(sizes, values, marker='o', label=MEASURES[measure])
    axis.set_xlabel('routers')
    axis.set_ylim(bottom=0)
    axis.legend(fontsize=8)
    return image(figure, 'control traffic by size of the fleet')
