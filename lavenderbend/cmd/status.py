"""`lavenderbend status`."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from lavenderbend.cmd import base
from lavenderbend.cmd import exit_codes
from lavenderbend.cmd import operator_options
from lavenderbend.cmd import tables

if TYPE_CHECKING:
    from collections.abc import Mapping


@base.COMMANDS.register('status')
class Status(base.Command):
    """Shows the state of the fleet as seen by one router."""

    summary = 'show routers, upstreams and rules as one router sees them'
    usage = f"""Show routers, upstreams with their load, and rules.

Usage:
  lavenderbend status [options]

Options:
{operator_options.OPTIONS}
"""

    def run(
        self, arguments: Mapping[str, Any], output: base.Output
    ) -> exit_codes.ExitCode:
        """Writes the tables of routers, upstreams and rules."""
        status = operator_options.call_router(
            arguments, lambda client: client.get('/v1/status')
        )
        output.write_result(status, '\n\n'.join(text_sections(status)))
        return exit_codes.ExitCode.OK


def text_sections(status: dict[str, Any]) -> list[str]:
    """Returns the heading and the tables of the plain text."""
    revision = status['revision']
    number = revision['number'] if revision else 'none'
    heading = (
        f'{status["router"]} in {status["availability_zone"]}, '
        f'lavenderbend {status["version"]}, revision {number}'
    )
    if status['cut_off_seconds'] is not None:
        heading += (
            f'\ncut off from the key-value service and all peers for '
            f'{status["cut_off_seconds"]:.0f} s, policy: '
            f'{status["when_cut_off"]}'
        )
    routers = [
        (r['id'], r['availability_zone'], r['state'], r['revision'])
        for r in status['routers']
    ]
    rules = [
        (r['name'], r['pool'] or 'rejected', r['priority'], r['hits'])
        for r in status['rules']
    ]
    sections = [
        heading,
        tables.table(('router', 'zone', 'state', 'revision'), routers),
    ]
    for pool in status['pools']:
        rows = [
            (
                vm['id'],
                vm['availability_zone'],
                vm['load'],
                vm['report_age'],
                vm['standing'],
            )
            for vm in pool['upstreams']
        ]
        headers = (f'pool {pool["name"]}', 'zone', 'load', 'age s', 'new work')
        sections.append(tables.table(headers, rows))
    headers = ('rule', 'goes to', 'priority', 'first matches here')
    sections.append(tables.table(headers, rules))
    return sections
