"""Formats decisions and explanations as plain text."""

from __future__ import annotations

from typing import Any

from lavenderbend.cmd import tables

HEADERS = (
    'decision',
    'customer',
    'request',
    'rule',
    'upstream',
    'why',
    'outcome',
    'ms',
)


def table_row(decision: dict[str, Any]) -> tuple[object, ...]:
    """Returns one decision as a table row."""
    attempts = decision['attempts']
    last = attempts[-1] if attempts else None
    return (
        decision['id'],
        decision['customer'],
        f'{decision["method"]} {decision["path"]}',
        decision['rule'],
        last['upstream'] if last else None,
        last['reason'] if last else decision['error'],
        decision['outcome'] or 'in progress',
        f'{decision["duration"] * 1000:.1f}',
    )


def milliseconds(seconds: float | None) -> str:
    """Returns a duration in milliseconds, or a dash for None."""
    return '-' if seconds is None else f'{seconds * 1000:.1f} ms'


def full_text(decision: dict[str, Any]) -> str:
    """Returns a decision with its attempts and candidates."""
    lines = [
        f'decision   {decision["id"]}',
        f'customer   {decision["customer"]}',
        f'request    {decision["method"]} {decision["path"]}',
        f'model      {tables.format_cell(decision["model"])}',
        f'chat       {tables.format_cell(decision["chat"])}',
        f'rule       {decision["rule"] or "no rule matched"} '
        f'(revision {decision["revision"]})',
        f'pool       {tables.format_cell(decision["pool"])}, priority '
        f'{tables.format_cell(decision["priority"])}',
    ]
    for number, attempt in enumerate(decision['attempts'], 1):
        lines += attempt_lines(number, attempt)
    if not decision['attempts']:
        lines.append('nothing was sent to any upstream')
    outcome = decision['outcome'] or 'in progress'
    lines.append(
        f'outcome    {outcome} after {milliseconds(decision["duration"])}'
    )
    if decision['error']:
        lines.append(f'error      {decision["error"]}: {decision["detail"]}')
    return '\n'.join(lines)


def attempt_lines(number: int, attempt: dict[str, Any]) -> list[str]:
    """Returns the lines that describe one attempt."""
    lines = [f'attempt {number}  {attempt["upstream"]}: {attempt["reason"]}']
    for skipped in attempt['passed_over']:
        lines.append(
            f'           passed over {skipped["upstream"]}: {skipped["reason"]}'
        )
    if attempt['permit']:
        lines.append(
            f'           permit {attempt["permit"]} from {attempt["owner"]} '
            f'after {milliseconds(attempt["waited"])}'
        )
    lines += [
        f'           first byte after '
        f'{milliseconds(attempt["first_byte"])}, '
        f'{attempt["result"] or "in progress"} after '
        f'{milliseconds(attempt["finished"])}',
    ]
    return lines


def explanation_text(explanation: dict[str, Any]) -> str:
    """Returns an explanation with a line for each rule and candidate."""
    lines = [f'under revision {explanation["revision"]}:']
    for step in explanation['steps']:
        if step['failed']:
            lines.append(f'  rule {step["rule"]}: no, {step["failed"]}')
        else:
            lines.append(f'  rule {step["rule"]}: matches')
    if explanation['then']:
        lines.append('then:')
        for name, value in explanation['then'].items():
            lines.append(f'  {name}: {value}')
    if explanation['candidates']:
        lines.append(f'upstreams (allowed load {explanation["allowed_load"]}):')
    for candidate in explanation['candidates']:
        load = tables.format_cell(candidate['load'])
        lines.append(
            f'  {candidate["upstream"]} in {candidate["availability_zone"]}, '
            f'load {load}: {candidate["verdict"]}'
        )
    lines.append(explanation['verdict'])
    return '\n'.join(lines)
