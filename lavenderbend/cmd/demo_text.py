"""The report of a demo, for people and for programs."""

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
    """Returns the report as plain values."""
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
        'control': plain(report.control),
        'leaving': plain(report.leaving),
        'router_stop_seconds': report.router_stop_seconds,
        'in_force_seconds': report.in_force_seconds,
        'once_runs': {str(k): v for k, v in report.once_runs.items()},
        'told_not_run_yet_ran': report.told_not_run,
        'decision': report.decision,
    }


def plain(item: Any) -> dict[str, Any] | None:
    """Returns an attrs object as a dict, None for none."""
    return None if item is None else attrs.asdict(item)


def text(report: demo_report.DemoReport) -> str:
    """Returns the report for people."""
    parts = [
        answers(report),
        latency_table(report.loads),
        engines(report),
        events(report),
        control(report),
    ]
    if report.decision is not None:
        parts.append(
            'One decision explained (lavenderbend decisions ID)\n'
            + decision_text.whole(report.decision)
        )
    verdict = 'PASSED'
    if report.failed:
        verdict = 'FAILED: an answer was wrong or cut, or something ran twice'
    parts.append(verdict)
    return '\n\n' + '\n\n'.join(parts)


def answers(report: demo_report.DemoReport) -> str:
    """Returns what became of the calls."""
    once = sum(report.once_runs.values())
    twice = sum(n for times, n in report.once_runs.items() if times > 1)
    return (
        f'{answer_table(report.loads)}\n'
        f'Non-idempotent calls: {once} ran, {twice} of them more than once; '
        f'{report.told_not_run} were told "not run" and yet ran'
    )


def answer_table(loads: dict[str, results.LoadResult]) -> str:
    """Returns the table of answers, with examples of what went wrong."""
    heads = (
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
    lines = [tables.table(heads, rows)]
    for name, result in loads.items():
        lines += [f'  {name}: {example}' for example in result.examples[:3]]
    return '\n'.join(lines)


def latency_table(loads: dict[str, results.LoadResult]) -> str:
    """Returns the table of latencies."""
    heads = ('Latency, ms', *(f'p{percent:g}' for percent in QUANTILES))
    rows = [
        row
        for name, result in loads.items()
        for row in latency_rows(name, result)
    ]
    return tables.table(heads, rows)


def latency_rows(
    name: str, result: results.LoadResult
) -> list[tuple[str, ...]]:
    """Returns the lines of one site."""
    return [
        (
            f'{name} {timing.value}',
            *(f'{result.quantile(timing, p):.1f}' for p in QUANTILES),
        )
        for timing in result.used_timings()
    ]


def engines(report: demo_report.DemoReport) -> str:
    """Returns the table of skew."""
    heads = (
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
    return tables.table(heads, rows)


def events(report: demo_report.DemoReport) -> str:
    """Returns what happened and what came of it."""
    lines = ['What happened']
    lines += [f'  {at:5.1f} s  {event}' for at, event in report.events]
    leaving = report.leaving
    if leaving is not None:
        rest = 'its requests ended' if leaving.finished else 'still working'
        last = 'no new request'
        if leaving.last_new_work is not None:
            last = f'its last new request {leaving.last_new_work:.2f} s'
        lines.append(f'  {leaving.engine} got {last} after it left; {rest}')
    if report.router_stop_seconds is not None:
        lines.append(
            f'  the router stopped in {report.router_stop_seconds:.2f} s'
        )
    return '\n'.join(lines)


def control(report: demo_report.DemoReport) -> str:
    """Returns the table of control traffic."""
    found = report.control
    if found is None:
        return ''
    rows = [(name, f'{count:.0f}') for name, count in found.peer_bytes.items()]
    table = tables.table(
        ('Control traffic', 'bytes/s on peer links, both directions'), rows
    )
    return (
        f'{table}\n'
        f'Key-value service: {found.key_value_calls:.1f} calls/s and '
        f'{found.key_value_bytes:.0f} bytes of values a second, all routers '
        'together'
    )
