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
    """Shows what a router knows of the fleet."""

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
        """Writes the tables."""
        found = operator_options.ask(
            arguments, lambda client: client.get('/v1/status')
        )
        output.result(found, '\n\n'.join(sections(found)))
        return exit_codes.ExitCode.OK


def sections(found: dict[str, Any]) -> list[str]:
    """Returns the parts of the text."""
    revision = found['revision']
    number = revision['number'] if revision else 'none'
    head = (
        f'{found["router"]} in {found["availability_zone"]}, '
        f'lavenderbend {found["version"]}, revision {number}'
    )
    if found['cut_off_seconds'] is not None:
        head += (
            f'\ncut off from the key-value service and all peers for '
            f'{found["cut_off_seconds"]:.0f} s, policy: '
            f'{found["when_cut_off"]}'
        )
    routers = [
        (r['id'], r['availability_zone'], r['state'], r['revision'])
        for r in found['routers']
    ]
    rules = [
        (r['name'], r['pool'] or 'rejected', r['priority'], r['hits'])
        for r in found['rules']
    ]
    parts = [
        head,
        tables.table(('router', 'zone', 'state', 'revision'), routers),
    ]
    for pool in found['pools']:
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
        heads = (f'pool {pool["name"]}', 'zone', 'load', 'age s', 'new work')
        parts.append(tables.table(heads, rows))
    heads = ('rule', 'goes to', 'priority', 'first matches here')
    parts.append(tables.table(heads, rules))
    return parts
