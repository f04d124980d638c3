"""What is measured, how large it may be, and the runs that measure it."""

from __future__ import annotations

from typing import Any

import attrs

from bench.agreed import at_most_once
from bench.agreed import claim_rate
from bench.agreed import claim_table
from bench.agreed import operators
from bench.agreed import order_rolls
from bench.agreed import outage_spread
from bench.agreed import spread

FLEETS = (7, 30, 130)


@attrs.frozen
class Measure:
    """One line of the table.

    Attributes:
        name: What it is.
        value: What was measured.
        bound: It may not be above this.
    """

    name: str
    value: float
    bound: float

    @property
    def holds(self) -> bool:
        """Whether the value is within its bound."""
        return self.value <= self.bound


def of_at_most_once(result: at_most_once.Result) -> list[Measure]:
    """Returns the lines of non-idempotent requests."""
    return [
        Measure('keys run more than once', result.ran_twice, 0),
        Measure('sendings told not run yet run', result.not_run_yet_run, 0),
        Measure(
            'first sendings refused while the service was up',
            result.innocent_refused,
            0,
        ),
    ]


def of_claim_rate(result: claim_rate.Result) -> list[Measure]:
    """Returns the lines of claims at a steady rate."""
    offered = result.claims_per_second
    return [
        Measure(
            f'writes/s for {offered:.0f} claims/s from 7 routers',
            result.writes_per_second,
            100,
        ),
        Measure(
            'ms that a claim adds, 99th percentile',
            result.p99_ms,
            result.allowed_ms,
        ),
    ]


def of_claim_table(result: claim_table.Result) -> list[Measure]:
    """Returns the lines of a table taken over."""
    return [
        Measure('bytes in memory for each claim', result.bytes_per_claim, 400),
        Measure(
            'bytes in the log for each claim', result.log_bytes_per_claim, 80
        ),
    ]


def of_operators(result: operators.Result) -> list[Measure]:
    """Returns the lines of racing operators."""
    return [
        Measure('revisions seen to go back', result.went_back, 0),
        Measure('accepted changes lost', result.lost, 0),
        Measure('changes half applied', result.half_applied, 0),
        Measure('revisions seen differently', result.digests_differ, 0),
    ]


def of_spread(result: spread.Result) -> list[Measure]:
    """Returns the lines of followers."""
    return [
        Measure(
            f'bytes/s at a router of {result.routers}, 14,000 changes a day',
            result.bytes_per_second,
            1000,
        ),
        Measure(
            f'ms to be in force on {result.routers} routers (virtual clock)',
            result.slowest_ms,
            1000,
        ),
    ]


def of_outage_spread(result: outage_spread.Result) -> list[Measure]:
    """Returns the line of a service that is down just after acceptance."""
    return [
        Measure(
            f'ms to be in force on {result.routers}, service down after it',
            result.slowest_ms,
            3000,
        )
    ]


def of_order_rolls(result: order_rolls.Result) -> list[Measure]:
    """Returns the lines of orders."""
    return [
        Measure(
            'stale orders carried out, checking engines',
            result.stale_checking,
            0,
        ),
        Measure(
            'stale orders carried out, others after the wait',
            result.stale_others,
            0,
        ),
        Measure('seconds with too few engines', result.too_few, 0),
        Measure('engines that met a bad version', result.most_exposed, 3),
        Measure('models left at a wrong version', result.unsettled, 0),
    ]


def all_of_them() -> tuple[list[Measure], dict[str, Any]]:
    """Runs everything; returns the table and all figures."""
    results = {
        'at_most_once': at_most_once.run(),
        'claim_rate': claim_rate.run(),
        'claim_table': claim_table.run(),
        'operators': operators.run(),
        'order_rolls': order_rolls.run(),
        'outage_spread': outage_spread.run(),
        'outage_spread_130': outage_spread.run(130, 10),
    }
    fleets = [spread.run(count, 600.0 * 7 / count) for count in FLEETS]
    table = [
        *of_at_most_once(results['at_most_once']),
        *of_claim_rate(results['claim_rate']),
        *of_claim_table(results['claim_table']),
        *of_operators(results['operators']),
        *of_spread(fleets[0]),
        *of_outage_spread(results['outage_spread']),
        *of_order_rolls(results['order_rolls']),
    ]
    figures = {name: attrs.asdict(item) for name, item in results.items()}
    figures['spread'] = [attrs.asdict(item) for item in fleets]
    return table, figures
