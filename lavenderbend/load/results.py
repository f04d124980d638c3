"""Counts and latencies of a load."""

from __future__ import annotations

import collections
import enum
from typing import Any
from typing import TYPE_CHECKING

import attrs
from hdrh import histogram

if TYPE_CHECKING:
    from collections.abc import Iterator

LOWEST_US = 1
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 2
US_PER_SECOND = 1_000_000
US_PER_MS = 1000.0
QUANTILES = (50.0, 90.0, 95.0, 99.0, 99.9)
MAX_EXAMPLES = 20


class Verdict(enum.Enum):
    """Outcome of one call."""

    WHOLE = 'whole'
    WRONG = 'wrong'
    CUT = 'cut'
    REFUSED = 'refused'


class Timing(enum.Enum):
    """Latency that a histogram measures."""

    FIRST_BYTE = 'chat first byte'
    CHAT = 'chat'
    INSTANT = 'instant'
    ONCE = 'once'


def new_histogram() -> histogram.HdrHistogram:
    """Returns an empty histogram of microseconds."""
    return histogram.HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)


@attrs.define
class LoadResult:
    """Counts and latencies of a load.

    Attributes:
        verdicts: Number of calls by outcome.
        refusals: Number of refused calls by problem kind or error.
        examples: Descriptions of some wrong, cut or refused calls.
        retried: Calls that were served after a retry.
        resent: Non-idempotent calls sent again after their answer.
        cached_tokens: Prompt tokens that upstreams had cached.
        prompt_tokens: Prompt tokens in total.
        returning_cached_tokens: `cached_tokens` of chats with earlier turns.
        returning_prompt_tokens: `prompt_tokens` of chats with earlier turns.
        once_keys: Non-idempotent calls by their Idempotency-Key: whether
            the caller knows that they ran (true), that they did not
            (false), or neither (None).
        histograms: Latencies in microseconds.
        elapsed: Duration of the load in seconds.
    """

    verdicts: collections.Counter[Verdict] = attrs.field(
        factory=collections.Counter
    )
    refusals: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    examples: list[str] = attrs.field(factory=list)
    retried: int = 0
    resent: int = 0
    cached_tokens: int = 0
    prompt_tokens: int = 0
    returning_cached_tokens: int = 0
    returning_prompt_tokens: int = 0
    once_keys: dict[str, bool | None] = attrs.field(factory=dict)
    histograms: dict[Timing, histogram.HdrHistogram] = attrs.field(
        factory=lambda: {timing: new_histogram() for timing in Timing}
    )
    elapsed: float = 0.0

    @property
    def whole(self) -> int:
        """Calls with a complete and correct answer."""
        return self.verdicts[Verdict.WHOLE]

    @property
    def wrong(self) -> int:
        """Calls with an incorrect answer, such as that of another call."""
        return self.verdicts[Verdict.WRONG]

    @property
    def cut(self) -> int:
        """Calls whose answer was incomplete or missing."""
        return self.verdicts[Verdict.CUT]

    @property
    def refused(self) -> int:
        """Calls that were not run in any try."""
        return self.verdicts[Verdict.REFUSED]

    @property
    def calls(self) -> int:
        """All completed calls, whatever their outcome."""
        return self.verdicts.total()

    @property
    def cache_reuse(self) -> float:
        """Share of prompt tokens that were cached."""
        return self.cached_tokens / max(1, self.prompt_tokens)

    @property
    def returning_cache_reuse(self) -> float:
        """The same share, for chats with earlier turns only."""
        total = max(1, self.returning_prompt_tokens)
        return self.returning_cached_tokens / total

    def record_call(self, verdict: Verdict, detail: str = '') -> None:
        """Records the outcome of one call."""
        self.verdicts[verdict] += 1
        if verdict is Verdict.REFUSED:
            self.refusals[detail] += 1
        if verdict is not Verdict.WHOLE and len(self.examples) < MAX_EXAMPLES:
            self.examples.append(f'{verdict.value}: {detail}')

    def record_latency(self, timing: Timing, seconds: float) -> None:
        """Records one latency."""
        value = max(LOWEST_US, round(seconds * US_PER_SECOND))
        self.histograms[timing].record_value(min(value, HIGHEST_US))

    def quantile(self, timing: Timing, percent: float) -> float:
        """Returns a quantile of the latency, in milliseconds."""
        value_us = self.histograms[timing].get_value_at_percentile(percent)
        return value_us / US_PER_MS

    def used_timings(self) -> Iterator[Timing]:
        """Yields the timings with at least one recorded latency."""
        for timing, latencies in self.histograms.items():
            if latencies.get_total_count():
                yield timing

    def to_document(self) -> dict[str, Any]:
        """Returns the result as a JSON object."""
        return {
            'calls': self.calls,
            **{verdict.value: self.verdicts[verdict] for verdict in Verdict},
            'refusals': dict(self.refusals),
            'examples': self.examples,
            'retried': self.retried,
            'resent': self.resent,
            'cache_reuse': round(self.cache_reuse, 4),
            'returning_cache_reuse': round(self.returning_cache_reuse, 4),
            'calls_per_second': round(self.calls / max(self.elapsed, 1e-9), 1),
            'elapsed_seconds': round(self.elapsed, 3),
            'latency_ms': {
                timing.value: {
                    f'p{percent:g}': round(self.quantile(timing, percent), 3)
                    for percent in QUANTILES
                }
                for timing in self.used_timings()
            },
        }
