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

LogLine = dict[str, Any]

# state changes of a router within this time before a request may explain the
# request's outcome
CONTEXT_SECONDS = 10.0
# events that concern all requests of a router
ROUTER_EVENTS = (
    'store_lost',
    'store_regained',
    'snapshot_changed',
    'router_started',
    'router_stopping',
    'settings_reloaded',
)
OMITTED_FIELDS = ('timestamp', 'task_uuid', 'task_level', 'message_type')


class LogUnreadable(errors.LavenderbendError):
    """A log file cannot be read."""

    category = 'log error'


@base.COMMANDS.register('trace')
class Trace(base.Command):
    """Shows the log lines of a request with their context."""

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
        """Writes the lines of a request, file by file.

        Lines keep their order within a file and are not sorted across files:
        the clocks of VMs differ, and a request passes through one router
        only.
        """
        request = arguments['ID']
        matches: list[LogLine] = []
        for name in arguments['FILE']:
            matches.extend(request_lines(request, name))
        text = '\n'.join(format_line(line) for line in matches)
        output.write_result(matches, text or f'no line names {request}')
        if matches:
            return exit_codes.ExitCode.OK
        return exit_codes.ExitCode.FAILED


def request_lines(request: str, name: str) -> list[LogLine]:
    """Returns the lines of a request in a log file, with context lines."""
    lines = list(read_lines(name))
    own_lines = [line for line in lines if line.get('request') == request]
    if not own_lines:
        return []
    context_start = (
        own_lines[0]['timestamp']
        - own_lines[0].get('seconds', 0)
        - CONTEXT_SECONDS
    )
    request_end = own_lines[-1]['timestamp']
    upstreams = named_upstreams(own_lines)
    return [
        {'file': name, **line}
        for line in lines
        if line.get('request') == request
        or (
            context_start <= line['timestamp'] <= request_end
            and is_context(line, upstreams)
        )
    ]


def named_upstreams(lines: list[LogLine]) -> set[str]:
    """Returns the ids of upstreams that occur in lines of a request."""
    names: set[str] = set()
    for line in lines:
        names.update(line.get('sent_to', ()))
        names.update(line.get('unreachable', ()))
        names.add(line.get('upstream', ''))
    return names - {''}


def is_context(line: LogLine, upstreams: set[str]) -> bool:
    """Returns whether a line concerns these upstreams or all requests."""
    if line.get('request'):
        return False
    return (
        event_name(line) in ROUTER_EVENTS or line.get('upstream') in upstreams
    )


def event_name(line: LogLine) -> str:
    """Returns the name of the event that a line logs."""
    return line.get('message_type', '').rpartition(':')[2]


def read_lines(name: str) -> Iterator[LogLine]:
    """Yields the log lines of a file and skips other output in it.

    Raises:
        LogUnreadable: The file cannot be read.
    """
    try:
        text = pathlib.Path(name).read_text(errors='replace')
    except OSError as exc:
        raise LogUnreadable(f'{name}: {exc.strerror}') from exc
    for text_line in text.split('\n'):
        start = text_line.find('{')
        if start < 0:
            continue
        try:
            line = json.loads(text_line[start:])
        except json.JSONDecodeError:
            continue
        if isinstance(line, dict) and 'timestamp' in line:
            yield line


def format_line(line: LogLine) -> str:
    """Returns a log line as plain text."""
    fields = '  '.join(
        f'{key}={value}'
        for key, value in line.items()
        if key not in (*OMITTED_FIELDS, 'file') and value not in ('', [], None)
    )
    return (
        f'{line["file"]} {line["timestamp"]:.3f} {event_name(line)}  {fields}'
    )
