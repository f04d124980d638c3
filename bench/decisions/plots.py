"""Plots of the figures."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import matplotlib.figure

if TYPE_CHECKING:
    import pathlib

SHOWN = ('reuse', 'above', 'skew', 'first_token', 'bytes_most')


def write(document: dict[str, Any], folder: pathlib.Path) -> list[str]:
    """Writes a plot for each case; returns the names of the files."""
    folder.mkdir(parents=True, exist_ok=True)
    names = []
    for case, found in document.items():
        name = f'{case}.png'
        plot(case, found['runs']).savefig(folder / name, dpi=70)
        names.append(name)
    return names


def plot(case: str, runs: dict[str, Any]) -> matplotlib.figure.Figure:
    """Returns the plot of a case: a row of bars for each figure."""
    figure = matplotlib.figure.Figure(figsize=(14, 1.2 + 0.3 * len(runs)))
    axes = figure.subplots(1, len(SHOWN), sharey=True)
    labels = list(runs)
    for axis, column in zip(axes, SHOWN, strict=True):
        axis.barh(labels, [runs[label][column] for label in labels])
        axis.set_title(column)
    figure.suptitle(case)
    figure.tight_layout()
    return figure
