"""Plain tables for people."""

from __future__ import annotations

import datetime
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence


def table(heads: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Returns lines with aligned columns."""
    lines = [[str(head) for head in heads]]
    lines += [[cell(value) for value in row] for row in rows]
    widths = [max(len(line[i]) for line in lines) for i in range(len(heads))]
    return '\n'.join(
        '  '.join(
            text.ljust(width) for text, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def cell(value: object) -> str:
    """Returns one value as text, a dash for none."""
    if value is None or value == '':
        return '-'
    if isinstance(value, float):
        return f'{value:.3f}'
    return str(value)


def clock(at: float) -> str:
    """Returns a time since the epoch as UTC."""
    moment = datetime.datetime.fromtimestamp(at, datetime.UTC)
    return moment.strftime('%Y-%m-%d %H:%M:%SZ')
