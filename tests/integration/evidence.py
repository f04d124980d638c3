"""What the processes recorded around a violation, for a failed test."""

from __future__ import annotations

import collections
import json
import math
from typing import Any
from typing import TYPE_CHECKING

from tests.integration import permits as permits_

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Sequence
    import pathlib

    from tests.integration import checkers

# a router that is lost in one direction is noticed and left out for a second
BEFORE_SECONDS = 1.5
AFTER_SECONDS = 0.5
MILLISECOND = 0.001
NOISE = ('timestamp', 'task_uuid', 'task_level', 'message_type')

Line = tuple[float, str]


def intervals(
    name: str, runs: Sequence[checkers.Run], engines: Sequence[str]
) -> Iterator[Line]:
    """Yields starts and ends with the loads of all engines just after."""
    events = [(run.started, 1, run) for run in runs]
    events += [(run.ended, -1, run) for run in runs if run.ended < math.inf]
    loads: collections.Counter[str] = collections.Counter()
    for at, step, run in sorted(events, key=lambda event: event[:2]):
        if run.upstream not in engines:
            continue
        loads[run.upstream] += step
        verb = 'begins' if step > 0 else 'ends'
        more = ''
        if isinstance(run, permits_.Permit) and step > 0:
            more = f' at {run.router} by {run.owner}: {run.reason}'
            more += f', waited {run.waited:.3f} s'
        now = [loads[engine] for engine in engines]
        yield (
            at,
            f'{name} {verb} {run.request_id[:8]} on {run.upstream}{more} {now}',
        )


def log_lines(path: pathlib.Path, wall: float) -> Iterator[Line]:
    """Yields the lines that a router logged itself."""
    for text in path.read_text(errors='replace').splitlines():
        try:
            line: dict[str, Any] = json.loads(text)
            at = line['timestamp'] - wall
        except (ValueError, KeyError, TypeError):
            continue
        kind = line.get('message_type', '').partition(':')[2]
        rest = {key: line[key] for key in line if key not in NOISE}
        yield at, f'{path.stem} logs {kind} {rest}'


def around(
    found: Sequence[checkers.Violation],
    engines: Sequence[str],
    runs: Sequence[checkers.Run],
    held: Sequence[permits_.Permit],
    logs: Sequence[pathlib.Path],
) -> str:
    """Returns the runs, permits and routers' lines around each violation.

    Args:
        found: The violations.
        engines: Whose loads are shown, in this order.
        runs: Runs as the upstreams recorded them.
        held: Permits as the routers recorded them.
        logs: What the routers wrote.
    """
    wall = permits_.wall_ahead()
    lines = [
        *intervals('run', runs, engines),
        *intervals('permit', held, engines),
    ]
    for path in logs:
        lines += log_lines(path, wall)
    lines.sort()
    text = []
    for one in found:
        text.append(f'{one}; milliseconds from it, and loads of {engines}:')
        text += [
            f'{(at - one.at) / MILLISECOND:9.1f} {line}'
            for at, line in lines
            if -BEFORE_SECONDS < at - one.at < AFTER_SECONDS
        ]
    return '\n'.join(text)
