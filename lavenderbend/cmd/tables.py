"""Plain text tables."""

from __future__ import annotations

import datetime
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence


def table(headers: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Returns a table with aligned columns."""
    lines = [[str(header) for header in headers]]
    lines += [[format_cell(value) for value in row] for row in rows]
    widths = [max(len(line[i]) for line in lines) for i in range(len(headers))]
    return '\n'.join(
        '  '.join(
            text.ljust(width) for text, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def format_cell(value: object) -> str:
    """Returns one value as text, or a dash for None or empty text."""
    if value is None or value == '':
        return '-'
    if isinstance(value, float):
        return f'{value:.3f}'
    return str(value)


def format_utc(timestamp: float) -> str:
    """Returns a Unix timestamp in seconds as UTC date and time."""
    utc = datetime.datetime.fromtimestamp(timestamp, datetime.UTC)
    return utc.strftime('%Y-%m-%d %H:%M:%SZ')
