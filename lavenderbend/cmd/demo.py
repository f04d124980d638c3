"""`lavenderbend demo`."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import trio

from lavenderbend import errors
from lavenderbend.cmd import base
from lavenderbend.cmd import demo_text
from lavenderbend.cmd import exit_codes
from lavenderbend.cmd import numbers

if TYPE_CHECKING:
    from collections.abc import Mapping

LEAST_SECONDS = 5.0
MOST_SECONDS = 600.0
DEPLOYMENTS = ('correo', 'rutaclara', 'both')


@base.COMMANDS.register('demo')
class Demo(base.Command):
    """Runs a small fleet under load and reports."""

    summary = 'run a small fleet under load in one process, and report'
    usage = """Run three routers, stand-in upstreams and a load; then report.

Two customers surge, an engine leaves, the rules change and a router stops
while the load runs. Ends with exit code 1 if any answer was wrong or cut
off, or anything that may run only once ran twice.

Usage:
  lavenderbend demo [--seed N] [--seconds S] [--deployment NAME] [--json]

Options:
  --seed N           Seed of everything random [default: 1].
  --seconds S        How long calls are begun [default: 20].
  --deployment NAME  correo, rutaclara or both [default: both].
  --json             Write the report as JSON; progress goes to standard
                     error in any case.
"""

    def run(
        self, arguments: Mapping[str, Any], output: base.Output
    ) -> exit_codes.ExitCode:
        """Runs the demo."""
        # the daemon and the load take a while to import
        from lavenderbend.daemon import demo
        from lavenderbend.daemon import demo_report

        plan = demo_report.DemoPlan(
            choice(arguments['--deployment']),
            numbers.read('--seconds', arguments, LEAST_SECONDS, MOST_SECONDS),
            int(numbers.read('--seed', arguments, 0, 2**31)),
        )
        report = trio.run(demo.Demo(plan, output.note).run)
        output.result(demo_text.document(report), demo_text.text(report))
        if report.failed:
            return exit_codes.ExitCode.FAILED
        return exit_codes.ExitCode.OK


def choice(name: str) -> str:
    """Returns the deployment.

    Raises:
        SettingsError: There is none of that name.
    """
    if name not in DEPLOYMENTS:
        allowed = ', '.join(DEPLOYMENTS)
        raise errors.SettingsError(f'--deployment {name!r}: one of {allowed}')
    return name
