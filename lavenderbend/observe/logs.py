"""Structured log lines, one for each change of state, by eliot."""

from __future__ import annotations

from typing import Any

import eliot


def change(event: str, **fields: Any) -> None:
    """Writes a line for a change of state, such as `router_left`.

    Requests are counted, not logged; see `metrics`.
    """
    eliot.log_message(message_type=f'lavenderbend:{event}', **fields)


def write_to(stream: Any) -> None:
    """Sends the lines, as JSON, to a stream."""
    eliot.to_file(stream)
