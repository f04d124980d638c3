"""Writes the latencies of a load as a text file and as a plot."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from lavenderbend.load import results

if TYPE_CHECKING:
    from lavenderbend.load.results import LoadResult

TICKS_PER_HALF_DISTANCE = 5
WIDTH_INCHES = 8.0
HEIGHT_INCHES = 5.0
PERCENTILES = (50, 75, 90, 95, 99, 99.5, 99.9, 99.95, 99.99)


def write_histograms(result: LoadResult, stream: Any) -> None:
    """Writes the percentile distributions in milliseconds.

    Args:
        result: Result of the load.
        stream: Binary file to write to.
    """
    for timing in result.used_timings():
        stream.write(f'# {timing.value}, ms\n'.encode())
        result.histograms[timing].output_percentile_distribution(
            stream, results.US_PER_MS, TICKS_PER_HALF_DISTANCE
        )


def write_plot(result: LoadResult, path: str) -> None:
    """Plots latency by percentile into an image file."""
    # imported here because the import takes longer than a short command
    from matplotlib import figure

    chart = figure.Figure(figsize=(WIDTH_INCHES, HEIGHT_INCHES))
    axes = chart.subplots()
    for timing in result.used_timings():
        values = [result.quantile(timing, percent) for percent in PERCENTILES]
        axes.plot(
            range(len(PERCENTILES)), values, marker='o', label=timing.value
        )
    axes.set_xticks(
        range(len(PERCENTILES)), [f'p{percent:g}' for percent in PERCENTILES]
    )
    axes.set_yscale('log')
    axes.set_ylabel('latency, ms')
    axes.set_xlabel('percentile')
    axes.grid(visible=True, which='both', alpha=0.3)
    if axes.lines:
        axes.legend()
    chart.tight_layout()
    chart.savefig(path)
