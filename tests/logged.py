"""Selects log lines."""

from __future__ import annotations


def named(lines, event):
    """Returns the lines of an event."""
    return [
        line
        for line in lines
        if line['message_type'] == f'lavenderbend:{event}'
    ]
