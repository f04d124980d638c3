"""`lavenderbend rules diff`."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from lavenderbend.cmd import base
from lavenderbend.cmd import exit_codes
from lavenderbend.cmd import operator_options
from lavenderbend.cmd import tables
from lavenderbend.protocol import documents_yaml

if TYPE_CHECKING:
    from collections.abc import Mapping


@base.COMMANDS.register('rules diff')
class RulesDiff(base.Command):
    """Compares recorded decisions under other rules."""

    summary = 'say which recorded decisions other rules would change'
    usage = f"""Say which decisions of a router would go another way.

The decisions that the router has kept are matched against the rules in FILE
and against those in force; nothing is sent or accepted.

Usage:
  lavenderbend rules diff FILE [--limit N] [options]

Options:
  --limit N               Only the latest N decisions [default: 10000].
{operator_options.OPTIONS}
"""

    def run(
        self, arguments: Mapping[str, Any], output: base.Output
    ) -> exit_codes.ExitCode:
        """Writes one line for each difference."""
        text = documents_yaml.read_file(arguments['FILE'])
        documents_yaml.parse_configuration(text, arguments['FILE'])
        comparison = operator_options.call_router(
            arguments,
            lambda client: client.post(
                '/v1/rules/diff', text, limit=arguments['--limit']
            ),
        )
        rows = [
            (
                difference['decision'],
                difference['customer'],
                difference['path'],
                difference['old_rule'],
                difference['new_rule'],
                ', '.join(difference['changed']),
            )
            for difference in comparison['differences']
        ]
        headers = ('decision', 'customer', 'path', 'now', 'then', 'changes')
        lines = [tables.table(headers, rows)] if rows else []
        lines.append(
            f'{len(rows)} of {comparison["compared"]} decisions would go '
            f'another way than under revision {comparison["seen"]}'
        )
        if comparison['uncertain']:
            lines.append(
                f'{len(comparison["uncertain"])} have not kept a header that a '
                'rule looks at'
            )
        output.write_result(comparison, '\n'.join(lines))
        return exit_codes.ExitCode.OK
