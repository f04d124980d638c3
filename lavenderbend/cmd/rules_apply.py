"""`lavenderbend rules apply`."""

from __future__ import annotations

import getpass
import re
from typing import Any
from typing import TYPE_CHECKING

from lavenderbend import errors
from lavenderbend.cmd import base
from lavenderbend.cmd import exit_codes
from lavenderbend.cmd import operator_options
from lavenderbend.protocol import documents_yaml
from lavenderbend.transport import operator_client

if TYPE_CHECKING:
    from collections.abc import Mapping

REVISION_COMMENT = re.compile(rb'\A# revision ([0-9]{1,12})\b')


@base.COMMANDS.register('rules apply')
class RulesApply(base.Command):
    """Applies a configuration to the fleet."""

    summary = 'have a configuration accepted and wait until it is in force'
    usage = f"""Have a configuration accepted on top of the revision seen.

Waits until every live router reports it in force, and names those that
do not.

Usage:
  lavenderbend rules apply FILE [--seen N] [--author NAME] [--reason TEXT]
                           [--wait SECONDS] [options]

Options:
  --seen N                Revision that FILE was made from; without it the
                          first line as `rules show` writes it, else the
                          revision in force.
  --author NAME           Who accepts it; without it the user's name.
  --reason TEXT           Why, for the history [default: ].
  --wait SECONDS          How long to wait for the routers [default: 10].
{operator_options.OPTIONS}
"""

    def run(
        self, arguments: Mapping[str, Any], output: base.Output
    ) -> exit_codes.ExitCode:
        """Checks the file locally, then applies it through a router."""
        text = documents_yaml.read_file(arguments['FILE'])
        documents_yaml.parse_configuration(text, arguments['FILE'])

        async def call(client: operator_client.OperatorClient) -> Any:
            return await client.post(
                '/v1/rules/apply',
                text,
                operator_client.APPLY_TIMEOUT_SECONDS,
                seen=await base_revision(arguments, text, client),
                author=arguments['--author'] or getpass.getuser(),
                reason=arguments['--reason'],
                wait=arguments['--wait'],
            )

        try:
            accepted = operator_options.call_router(arguments, call)
        except errors.OperatorRefused as exc:
            if exc.kind != 'configuration-conflict':
                raise
            output.write_message(f'lavenderbend: conflict: {exc}')
            return exit_codes.ExitCode.CONFLICT
        return write_report(accepted, output)


async def base_revision(
    arguments: Mapping[str, Any],
    text: bytes,
    client: operator_client.OperatorClient,
) -> str:
    """Returns the number of the revision that the file is based on."""
    if arguments['--seen'] is not None:
        return arguments['--seen']
    match = REVISION_COMMENT.match(text)
    if match:
        return match[1].decode()
    status = await client.get('/v1/status')
    return str(status['revision']['number'] if status['revision'] else 0)


def write_report(
    accepted: dict[str, Any], output: base.Output
) -> exit_codes.ExitCode:
    """Writes the accepted revision and the routers that lack it."""
    lines = [f'warning: {text}' for text in accepted['warnings']]
    lines.append(f'revision {accepted["number"]} is accepted')
    if accepted['in_force']:
        lines.append(f'in force on every router in {accepted["seconds"]} s')
    else:
        missing = ', '.join(accepted['missing'])
        lines.append(f'not reported in force by: {missing}')
    output.write_result(accepted, '\n'.join(lines))
    if accepted['in_force']:
        return exit_codes.ExitCode.OK
    return exit_codes.ExitCode.NOT_IN_FORCE
