"""`lavenderbend trace`."""

from __future__ import annotations

import json
import pathlib
from typing import Any
from typing import TYPE_CHECKING

from lavenderbend import errors
from lavenderbend.cmd import base
from lavenderbend.cmd import exit_codes

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping

Line = dict[str, Any]

# what a router came to believe so long before a request ended may be why
CONTEXT_SECONDS = 10.0
# lines that speak of all requests of a router
GENERAL = (
    'store_lost',
    'store_regained',
    'snapshot_changed',
    'router_started',
    'router_stopping',
    'settings_reloaded',
)
HIDDEN = ('timestamp', 'task_uuid', 'task_level', 'message_type')


class LogUnreadable(errors.LavenderbendError):
    """A log file cannot be read."""

    category = 'log error'


@base.COMMANDS.register('trace')
class Trace(base.Command):
    """Shows what became of a request, from the logs of routers."""

    summary = 'show what became of a request, from logs'
    usage = """Show the lines of a request, and what its router believed then.

Usage:
  lavenderbend trace ID FILE... [--json]

Options:
  --json  One JSON document.
"""

    def run(
        self, arguments: Mapping[str, Any], output: base.Output
    ) -> exit_codes.ExitCode:
        """Reads the files in their order.

        Within a file the lines keep their order, and files are not mixed:
        the clocks of VMs differ, and a request touches one router only.
        """
        request = arguments['ID']
        found: list[Line] = []
        for name in arguments['FILE']:
            found.extend(lines_of(request, name))
        text = '\n'.join(shown(line) for line in found)
        output.result(found, text or f'no line names {request}')
        if found:
            return exit_codes.ExitCode.OK
        return exit_codes.ExitCode.FAILED


def lines_of(request: str, name: str) -> list[Line]:
    """Returns the lines of a file on a request, with their context."""
    lines = list(read_lines(name))
    own = [line for line in lines if line.get('request') == request]
    if not own:
        return []
    began = own[0]['timestamp'] - own[0].get('seconds', 0) - CONTEXT_SECONDS
    ended = own[-1]['timestamp']
    upstreams = upstreams_of(own)
    return [
        {'file': name, **line}
        for line in lines
        if line.get('request') == request
        or (began <= line['timestamp'] <= ended and is_context(line, upstreams))
    ]


def upstreams_of(lines: list[Line]) -> set[str]:
    """Returns the upstreams that lines of a request name."""
    names: set[str] = set()
    for line in lines:
        names.update(line.get('sent_to', ()))
        names.update(line.get('unreachable', ()))
        names.add(line.get('upstream', ''))
    return names - {''}


def is_context(line: Line, upstreams: set[str]) -> bool:
    """Returns whether a line says what the router believed."""
    if line.get('request'):
        return False
    return event_of(line) in GENERAL or line.get('upstream') in upstreams


def event_of(line: Line) -> str:
    """Returns the name of what a line tells."""
    return line.get('message_type', '').rpartition(':')[2]


def read_lines(name: str) -> Iterator[Line]:
    """Yields the log lines of a file; other output in it is passed over.

    Raises:
        LogUnreadable: The file cannot be read.
    """
    try:
        text = pathlib.Path(name).read_text(errors='replace')
    except OSError as exc:
        raise LogUnreadable(f'{name}: {exc.strerror}') from exc
    for row in text.splitlines():
        start = row.find('{')
        if start < 0:
            continue
        try:
            line = json.loads(row[start:])
        except json.JSONDecodeError:
            continue
        if isinstance(line, dict) and 'timestamp' in line:
            yield line


def shown(line: Line) -> str:
    """Returns a line as text."""
    fields = '  '.join(
        f'{key}={value}'
        for key, value in line.items()
        if key not in (*HIDDEN, 'file') and value not in ('', [], None)
    )
    return f'{line["file"]} {line["timestamp"]:.3f} {event_of(line)}  {fields}'
