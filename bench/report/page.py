"""The page: tables and plots of what the benches gave."""

from __future__ import annotations

import html
from typing import Any
from typing import TYPE_CHECKING

from bench.report import figures
from bench.report import plots

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

STYLE = """
body { font: 14px sans-serif; margin: 2em auto; max-width: 1250px; }
table { border-collapse: collapse; margin: 0.5em 0 1.5em; }
td, th { border-bottom: 1px solid #ddd; padding: 2px 10px; text-align: right; }
td:first-child, th:first-child { text-align: left; }
tr.ours { background: #efe6fa; font-weight: bold; }
.worse { color: #b00020; }
pre { overflow-x: auto; background: #f6f6f6; padding: 0.5em; }
img { max-width: 100%; }
"""
COLUMNS = {
    'reuse': 'reuse',
    'skew': 'skew',
    'bytes_mean': 'bytes/s, mean',
    'bytes_most': 'bytes/s, busiest',
    'above': 'above the bound',
    'first_token': 'first token p99, s',
    'refused': 'refused',
    'requests': 'requests',
}
NOTABLE = 0.1  # changes above this part are marked


def number(value: float | None) -> str:
    """Returns a figure as text."""
    if value is None:
        return '–'
    if value == int(value) and abs(value) < 1e9:
        return f'{int(value):,}'
    return f'{value:,.4g}'


def percent(change: float | None) -> str:
    """Returns a change as a cell's content, marked if notable."""
    if change is None:
        return '–'
    text = f'{change:+.1%}'
    if abs(change) < NOTABLE:
        return text
    return f'<span class="worse">{text}</span>'


def row(cells: Iterable[str], tag: str = 'td', kind: str = '') -> str:
    """Returns a row of a table; cells are HTML."""
    body = ''.join(f'<{tag}>{cell}</{tag}>' for cell in cells)
    return f'<tr class="{kind}">{body}</tr>'


def table(head: Sequence[str], rows: Iterable[str]) -> str:
    """Returns a table."""
    return f'<table>{row(head, "th")}{"".join(rows)}</table>'


def case_table(case: dict[str, Any], committed: dict[str, Any]) -> str:
    """Returns the figures of a case's runs, ours with what was committed."""
    rows = []
    for label, found in case['runs'].items():
        kind = 'ours' if label == plots.OURS else ''
        cells = [number(found.get(column)) for column in COLUMNS]
        rows.append(row([html.escape(label), *cells], kind=kind))
        old = committed.get('runs', {}).get(label)
        if old is not None and old != found:
            cells = [
                percent(figures.Pair(name, old[name], found[name]).change)
                for name in COLUMNS
            ]
            rows.append(row(['against the committed figures', *cells]))
    return table(['run', *COLUMNS.values()], rows)


def decisions(now: dict[str, Any], committed: dict[str, Any]) -> str:
    """Returns the three measures, case by case."""
    parts = []
    for name, case in now.items():
        old = committed.get(name, {})
        parts.append(f'<h3>{html.escape(name)}</h3>')
        if plots.is_comparison(case):
            parts.append(plots.of_case(name, case, old))
        if name == plots.SCALING:
            parts.append(plots.of_scaling(case))
        parts.append(case_table(case, old))
    return '\n'.join(parts)


def others(now: dict[str, Any], committed: dict[str, Any]) -> str:
    """Returns each figure of a bench beside the committed one."""
    rows = [
        row(
            [
                html.escape(pair.name),
                number(pair.committed),
                number(pair.now),
                percent(pair.change),
            ]
        )
        for pair in figures.pairs(committed, now)
    ]
    return table(['figure', 'committed', 'now', 'change'], rows)


def verdict(code: int | None, seconds: float) -> str:
    """Returns how a bench ended."""
    if code is None:
        return 'not run; figures from a file'
    word = 'bounds kept' if code == 0 else f'FAILED, exit code {code}'
    return f'{word}, {seconds:.0f} s'


def section(
    name: str, how: str, now: dict[str, Any], text: str, short: bool = False
) -> str:
    """Returns the part of the page for one bench.

    Args:
        name: Name of the bench.
        how: How it ended.
        now: Its figures.
        text: What it printed.
        short: Whether the run was short: the committed figures are those of
            full runs, and a difference would mean nothing.
    """
    committed = {} if short else figures.read_committed(name)
    parts = [f'<h2>{html.escape(name)}: {html.escape(how)}</h2>']
    if short:
        parts.append('<p>A short run, not compared with committed figures.</p>')
    if name == 'decisions':
        parts.append(decisions(now, committed))
    elif now or committed:
        parts.append(others(now, committed))
    if text:
        parts.append(
            '<details><summary>what it printed</summary>'
            f'<pre>{html.escape(text)}</pre></details>'
        )
    return '\n'.join(parts)


def page(sections: Iterable[str]) -> str:
    """Returns the whole page."""
    body = '\n'.join(sections)
    return (
        '<!doctype html><html lang="en"><meta charset="utf-8">'
        f'<title>Benches of lavenderbend</title><style>{STYLE}</style>'
        '<h1>Benches of lavenderbend</h1>'
        '<p>Cases of the decisions run on a virtual clock with the real code: '
        'the same seed gives the same figures. Baselines (all but ours) '
        'send no control messages; all-knowing sees every load and cache at '
        'once, which no fleet can. The budget at the target is 17 KB/s a '
        'router. Processor times depend on the '
        'machine and on what else it does. A dotted line in a plot is what '
        'was committed last; changes above a tenth are red, better or worse.'
        f'</p>{body}</html>\n'
    )
