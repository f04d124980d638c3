"""Bounds that the figures of a run must hold."""

from __future__ import annotations

from typing import Any

# seconds, bytes a second, and ratios; stated in docs/design
DRAIN_SECONDS = 2.0
DETECTION_SECONDS = 8.0
UNPOLLED_DRAIN_SECONDS = 10.0
CALM_BYTES_PER_SECOND = 150.0
# a request, its answer and its release at 23 requests a second
LINK_BYTES = 200.0
# processor time of frames, as a share of that of a gRPC stream
LINK_CPU_RATIO = 0.6

PACED = 'paced 23/s over 20 peers'


def check(figures: dict[str, Any]) -> list[str]:
    """Returns a line for each figure that is beyond its bound."""
    lines = []
    for size, row in figures.get('membership', {}).items():
        lines.extend(check_membership(size, row))
    if 'links' in figures:
        lines.extend(check_links(figures['links']))
    return lines


def check_membership(size: str, row: dict[str, Any]) -> list[str]:
    """Returns the lines of one size of the fleet."""
    found = {
        'drain': (row['drain, all views']['max'], DRAIN_SECONDS),
        'drain and its only poller lost': (
            row['drain and its only poller lost, all views']['max'],
            UNPOLLED_DRAIN_SECONDS,
        ),
        'silent death': (
            row['silent death, all views']['max'],
            DETECTION_SECONDS,
        ),
        'bytes a second': (
            row['calm']['bytes_per_second'],
            CALM_BYTES_PER_SECOND,
        ),
        'wrong losses': (sum(row.get('wrong losses', {}).values()), 0),
    }
    return [
        f'{size} routers, {name}: {value} is beyond {bound}'
        for name, (value, bound) in found.items()
        if value > bound
    ]


def check_links(rows: dict[str, Any]) -> list[str]:
    """Returns the lines of the peer links."""
    frames = rows['frames, TLS'][PACED]
    stream = rows['grpc stream, TLS'][PACED]
    lines = []
    if frames['bytes'] > LINK_BYTES:
        lines.append(f'frames: {frames["bytes"]} bytes a request')
    if frames['cpu_ms'] > LINK_CPU_RATIO * stream['cpu_ms']:
        lines.append(
            f'frames take {frames["cpu_ms"]} ms, a stream {stream["cpu_ms"]}'
        )
    return lines
