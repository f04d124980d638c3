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
    """Tries other rules on recorded decisions."""

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
        found = operator_options.ask(
            arguments,
            lambda client: client.post(
                '/v1/rules/diff', text, limit=arguments['--limit']
            ),
        )
        rows = [
            (
                item['decision'],
                item['customer'],
                item['path'],
                item['old_rule'],
                item['new_rule'],
                ', '.join(item['changed']),
            )
            for item in found['differences']
        ]
        heads = ('decision', 'customer', 'path', 'now', 'then', 'changes')
        lines = [tables.table(heads, rows)] if rows else []
        lines.append(
            f'{len(rows)} of {found["compared"]} decisions would go another '
            f'way than under revision {found["seen"]}'
        )
        if found['uncertain']:
            lines.append(
                f'{len(found["uncertain"])} have not kept a header that a '
                'rule looks at'
            )
        output.result(found, '\n'.join(lines))
        return exit_codes.ExitCode.OK
