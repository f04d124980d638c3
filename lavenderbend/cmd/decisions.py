"""`lavenderbend decisions`."""

from __future__ import annotations

import json
from typing import Any
from typing import TYPE_CHECKING

from lavenderbend import errors
from lavenderbend.cmd import base
from lavenderbend.cmd import decision_text
from lavenderbend.cmd import exit_codes
from lavenderbend.cmd import operator_options
from lavenderbend.cmd import tables

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lavenderbend.transport import operator_client

FILTERS = (
    'customer',
    'rule',
    'pool',
    'upstream',
    'outcome',
    'error',
    'path',
)
HTTP_NOT_FOUND = 404


@base.COMMANDS.register('decisions')
class Decisions(base.Command):
    """Shows recorded decisions."""

    summary = 'show recorded decisions, one of them, or a live stream'
    usage = f"""Show the decisions that a router has recorded.

With ID, all of one decision; with --follow, each new one as it ends.

Usage:
  lavenderbend decisions ID [options]
  lavenderbend decisions [--follow] [--limit N] [--customer NAME]
                         [--rule NAME] [--pool NAME] [--upstream ID]
                         [--outcome NAME] [--error TYPE] [--path PREFIX]
                         [options]

Options:
  --follow                Stream new decisions until interrupted.
  --limit N               How many at most [default: 20].
  --customer NAME         Only of this customer.
  --rule NAME             Only where this rule was the first match.
  --pool NAME             Only sent to this pool.
  --upstream ID           Only with an attempt at this upstream.
  --outcome NAME          Only with this outcome: complete, not-run, failed,
                          unknown.
  --error TYPE            Only with this error type.
  --path PREFIX           Only with paths that begin so.
{operator_options.OPTIONS}
"""

    def run(
        self, arguments: Mapping[str, Any], output: base.Output
    ) -> exit_codes.ExitCode:
        """Writes the decisions that the arguments select."""
        if arguments['ID'] is not None:
            return show_decision(arguments, output)
        query = {
            name: arguments[f'--{name}']
            for name in FILTERS
            if arguments[f'--{name}'] is not None
        }
        if arguments['--follow']:
            return follow_decisions(arguments, query, output)
        decisions = operator_options.call_router(
            arguments,
            lambda client: client.get(
                '/v1/decisions', limit=arguments['--limit'], **query
            ),
        )
        rows = [decision_text.table_row(decision) for decision in decisions]
        output.write_result(
            decisions, tables.table(decision_text.HEADERS, rows)
        )
        return exit_codes.ExitCode.OK


def show_decision(
    arguments: Mapping[str, Any], output: base.Output
) -> exit_codes.ExitCode:
    """Writes one decision with its attempts and candidates."""
    path = f'/v1/decisions/{arguments["ID"]}'
    try:
        decision = operator_options.call_router(
            arguments, lambda client: client.get(path)
        )
    except errors.OperatorRefused as exc:
        if exc.status != HTTP_NOT_FOUND:
            raise
        output.write_message(f'lavenderbend: {exc}')
        return exit_codes.ExitCode.NOT_FOUND
    output.write_result(decision, decision_text.full_text(decision))
    return exit_codes.ExitCode.OK


def follow_decisions(
    arguments: Mapping[str, Any],
    query: Mapping[str, str],
    output: base.Output,
) -> exit_codes.ExitCode:
    """Writes a line for each new decision until interrupted."""

    async def call(client: operator_client.OperatorClient) -> None:
        async for decision in client.follow('/v1/decisions', query):
            if output.json:
                line = json.dumps(decision)
            else:
                line = '  '.join(map(str, decision_text.table_row(decision)))
            output.out.write(line + '\n')
            output.out.flush()

    operator_options.call_router(arguments, call)
    return exit_codes.ExitCode.OK
