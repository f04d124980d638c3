"""Formats the report of a demo as plain text or JSON."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import attrs

from lavenderbend.cmd import decision_text
from lavenderbend.cmd import tables

if TYPE_CHECKING:
    from lavenderbend.daemon import demo_report
    from lavenderbend.load import results

QUANTILES = (50.0, 95.0, 99.0)


def document(report: demo_report.DemoReport) -> dict[str, Any]:
    """Returns the report as a JSON object."""
    return {
        'plan': attrs.asdict(report.plan),
        'failed': report.failed,
        'events': [{'at': at, 'text': text} for at, text in report.events],
        'loads': {
            name: result.to_document() for name, result in report.loads.items()
        },
        'skew': {
            name: attrs.asdict(skew) for name, skew in report.skews.items()
        },
        'control': as_dict(report.control),
        'leaving': as_dict(report.leaving),
        'router_stop_seconds': report.router_stop_seconds,
        'in_force_seconds': report.in_force_seconds,
        'once_runs': {str(k): v for k, v in report.once_runs.items()},
        'told_not_run_yet_ran': report.told_not_run,
        'decision': report.decision,
    }


def as_dict(value: Any) -> dict[str, Any] | None:
    """Returns an attrs object as a dict, or None for None."""
    return None if value is None else attrs.asdict(value)


def text(report: demo_report.DemoReport) -> str:
    """Returns the report as plain text."""
    sections = [
        answer_section(report),
        latency_table(report.loads),
        skew_table(report),
        event_section(report),
        control_section(report),
    ]
    if report.decision is not None:
        sections.append(
            'One decision explained (lavenderbend decisions ID)\n'
            + decision_text.full_text(report.decision)
        )
    verdict = 'PASSED'
    if report.failed:
        verdict = 'FAILED: an answer was wrong or cut, or something ran twice'
    sections.append(verdict)
    return '\n\n' + '\n\n'.join(sections)


def answer_section(report: demo_report.DemoReport) -> str:
    """Returns the outcomes of the calls."""
    once = sum(report.once_runs.values())
    repeated = sum(n for times, n in report.once_runs.items() if times > 1)
    return (
        f'{answer_table(report.loads)}\n'
        f'Non-idempotent calls: {once} ran, {repeated} of them more than once; '
        f'{report.told_not_run} were told "not run" and yet ran'
    )


def answer_table(loads: dict[str, results.LoadResult]) -> str:
    """Returns the table of outcomes, with examples of failed calls."""
    headers = (
        'Answers',
        'whole',
        'wrong',
        'cut',
        'refused',
        'second try',
        'calls/s',
        'cache reuse',
        'of returning chats',
    )
    rows = [
        (
            name,
            result.whole,
            result.wrong,
            result.cut,
            result.refused,
            result.retried,
            f'{result.calls / max(result.elapsed, 1e-9):.1f}',
            f'{result.cache_reuse:.1%}',
            f'{result.returning_cache_reuse:.1%}',
        )
        for name, result in loads.items()
    ]
    lines = [tables.table(headers, rows)]
    for name, result in loads.items():
        lines += [f'  {name}: {example}' for example in result.examples[:3]]
    return '\n'.join(lines)


def latency_table(loads: dict[str, results.LoadResult]) -> str:
    """Returns the table of latencies."""
    headers = ('Latency, ms', *(f'p{percent:g}' for percent in QUANTILES))
    rows = [
        row
        for name, result in loads.items()
        for row in latency_rows(name, result)
    ]
    return tables.table(headers, rows)


def latency_rows(
    name: str, result: results.LoadResult
) -> list[tuple[str, ...]]:
    """Returns the latency rows of one site."""
    return [
        (
            f'{name} {timing.value}',
            *(f'{result.quantile(timing, p):.1f}' for p in QUANTILES),
        )
        for timing in result.used_timings()
    ]


def skew_table(report: demo_report.DemoReport) -> str:
    """Returns the table of engine load and its skew."""
    headers = (
        'Engine load',
        'mean',
        'highest',
        'skew (max/mean) mean',
        'p99',
        'samples',
    )
    rows = [
        (
            name,
            f'{skew.mean_load:.2f}',
            skew.highest_load,
            f'{skew.mean:.2f}',
            f'{skew.p99:.2f}',
            skew.samples,
        )
        for name, skew in report.skews.items()
    ]
    return tables.table(headers, rows)


def event_section(report: demo_report.DemoReport) -> str:
    """Returns the events and the measurements of their effects."""
    lines = ['What happened']
    lines += [f'  {at:5.1f} s  {event}' for at, event in report.events]
    leaving = report.leaving
    if leaving is not None:
        rest_text = (
            'its requests ended' if leaving.finished else 'still working'
        )
        last_text = 'no new request'
        if leaving.last_new_work is not None:
            last_text = f'its last new request {leaving.last_new_work:.2f} s'
        lines.append(
            f'  {leaving.engine} got {last_text} after it left; {rest_text}'
        )
    if report.router_stop_seconds is not None:
        lines.append(
            f'  the router stopped in {report.router_stop_seconds:.2f} s'
        )
    return '\n'.join(lines)


def control_section(report: demo_report.DemoReport) -> str:
    """Returns the table of control traffic."""
    traffic = report.control
    if traffic is None:
        return ''
    rows = [
        (name, f'{count:.0f}') for name, count in traffic.peer_bytes.items()
    ]
    table = tables.table(
        ('Control traffic', 'bytes/s on peer links, both directions'), rows
    )
    return (
        f'{table}\n'
        f'Key-value service: {traffic.key_value_calls:.1f} calls/s and '
        f'{traffic.key_value_bytes:.0f} bytes of values a second, all routers '
        'together'
    )
