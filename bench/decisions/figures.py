"""Figures of a run."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lavenderbend.state import requests

if TYPE_CHECKING:
    from collections.abc import Sequence

    from bench.decisions import world


SURGING = ('clinic-3', 'city-5')
TIMEOUT = 60.0


@attrs.frozen
class Figures:
    """What the table shows of a run.

    Attributes:
        reuse: Part of the tokens that an earlier turn computed that was
            found cached.
        above: Admissions above the bound.
        most_above: Most requests above the bound.
        skew: 99th percentile over time of max over mean load.
        bytes_mean: Control bytes a second of a router, both directions.
        bytes_most: The same of the busiest router.
        messages: Control messages a second of a router.
        first_token: 99th percentile of seconds to the first token.
        waited: 99th percentile of seconds in admission.
        instant: 99th percentile of seconds in admission, instant calls.
        others_waited: The same of customers that do not surge 20-fold.
        others_first_token: 99th percentile of their first token.
        others_refused: Their requests that got an error.
        late_refusals: Refusals told within a second of the deadline.
        moved: Contexts that were moved off leaving engines.
        poisoned: Engines that a request killed.
        innocents: Requests without fault that the quarantine refused.
        refused: Requests that got an error.
        late_work: Most seconds after its first signal that a leaving
            engine got work.
        requests: Number of requests.
    """

    reuse: float
    above: int
    most_above: int
    skew: float
    bytes_mean: float
    bytes_most: float
    messages: float
    first_token: float
    waited: float
    instant: float
    others_waited: float
    others_first_token: float
    others_refused: int
    late_refusals: int
    moved: int
    poisoned: int
    innocents: int
    refused: int
    late_work: float
    requests: int


def percentile(values: Sequence[float], part: float) -> float:
    """Returns a percentile, 0 for no values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def figures(record: world.Record, warm: float) -> Figures:
    """Returns the figures of a run after its warm-up."""
    counted = [one for one in record.outcomes if one.arrival.at >= warm]
    complete = [one for one in counted if not one.error]
    shared = sum(one.arrival.shared for one in complete)
    hits = sum(one.hit for one in complete)
    sizes = [one.sent + one.received for one in record.counts.values()]
    messages = sum(one.messages for one in record.counts.values())
    routers = max(1, len(record.counts))
    waits = [one.waited for one in complete]
    instant = requests.Priority.INSTANT
    others = [one for one in counted if one.arrival.customer not in SURGING]
    served = [one for one in others if not one.error]
    return Figures(
        reuse=hits / max(1, shared),
        above=len(record.excess),
        most_above=max((over for _, over in record.excess), default=0),
        skew=percentile([skew for _, skew in record.skews], 0.99),
        bytes_mean=sum(sizes) / routers / record.seconds,
        bytes_most=max(sizes, default=0) / record.seconds,
        messages=messages / routers / record.seconds,
        first_token=percentile(
            [one.first_token or 0 for one in complete], 0.99
        ),
        waited=percentile(waits, 0.99),
        instant=percentile(
            [one.waited for one in complete if one.arrival.priority == instant],
            0.99,
        ),
        others_waited=percentile([one.waited for one in served], 0.99),
        others_first_token=percentile(
            [one.first_token or 0 for one in served], 0.99
        ),
        others_refused=len(others) - len(served),
        late_refusals=sum(
            bool(one.error) and one.decided > TIMEOUT - 1 for one in counted
        ),
        moved=record.moved,
        poisoned=record.poisoned,
        innocents=sum(
            one.error == 'RequestQuarantined' and not one.arrival.poison
            for one in record.outcomes
        ),
        refused=len(counted) - len(complete),
        late_work=max(record.late_work, default=0.0),
        requests=len(counted),
    )
