"""`lavenderbend rules history`."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from lavenderbend.cmd import base
from lavenderbend.cmd import exit_codes
from lavenderbend.cmd import operator_options
from lavenderbend.cmd import tables

if TYPE_CHECKING:
    from collections.abc import Mapping


@base.COMMANDS.register('rules history')
class RulesHistory(base.Command):
    """Shows the history of revisions."""

    summary = 'show who had which revision accepted, when and why'
    usage = f"""Show the latest revisions, newest first.

Usage:
  lavenderbend rules history [--limit N] [options]

Options:
  --limit N               How many at most [default: 20].
{operator_options.OPTIONS}
"""

    def run(
        self, arguments: Mapping[str, Any], output: base.Output
    ) -> exit_codes.ExitCode:
        """Writes one line for each revision."""
        revisions = operator_options.call_router(
            arguments,
            lambda client: client.get(
                '/v1/rules/history', limit=arguments['--limit']
            ),
        )
        rows = [
            (
                revision['number'],
                tables.format_utc(revision['accepted_at']),
                revision['author'],
                revision['reason'],
                revision['digest'][:12],
            )
            for revision in revisions
        ]
        headers = ('revision', 'accepted', 'author', 'reason', 'digest')
        output.write_result(revisions, tables.table(headers, rows))
        return exit_codes.ExitCode.OK
