"""The latencies of a load as a file and as a picture."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from lavenderbend.load import results

if TYPE_CHECKING:
    from lavenderbend.load.results import LoadResult

STEPS_PER_HALF = 5
WIDTH_INCHES = 8.0
HEIGHT_INCHES = 5.0
PERCENTS = (50, 75, 90, 95, 99, 99.5, 99.9, 99.95, 99.99)


def write_histograms(result: LoadResult, stream: Any) -> None:
    """Writes the percentile distributions, in milliseconds.

    Args:
        result: The result.
        stream: A binary file.
    """
    for timing in result.used_timings():
        stream.write(f'# {timing.value}, ms\n'.encode())
        result.histograms[timing].output_percentile_distribution(
            stream, results.US_PER_MS, STEPS_PER_HALF
        )


def write_plot(result: LoadResult, path: str) -> None:
    """Draws the latencies over the percentiles into an image file."""
    # imported here, since it takes longer than a whole small command
    from matplotlib import figure

    drawn = figure.Figure(figsize=(WIDTH_INCHES, HEIGHT_INCHES))
    axes = drawn.subplots()
    for timing in result.used_timings():
        values = [result.quantile(timing, percent) for percent in PERCENTS]
        axes.plot(range(len(PERCENTS)), values, marker='o', label=timing.value)
    axes.set_xticks(range(len(PERCENTS)), [f'p{item:g}' for item in PERCENTS])
    axes.set_yscale('log')
    axes.set_ylabel('latency, ms')
    axes.set_xlabel('percentile')
    axes.grid(visible=True, which='both', alpha=0.3)
    if axes.lines:
        axes.legend()
    drawn.tight_layout()
    drawn.savefig(path)
