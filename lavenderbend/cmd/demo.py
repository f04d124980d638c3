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

MIN_SECONDS = 5.0
MAX_SECONDS = 600.0
DEPLOYMENTS = ('correo', 'rutaclara', 'both')


@base.COMMANDS.register('demo')
class Demo(base.Command):
    """Runs a small fleet under load and writes a report."""

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
        # imported here because the daemon and the load generator import slowly
        from lavenderbend.daemon import demo
        from lavenderbend.daemon import demo_report

        plan = demo_report.DemoPlan(
            check_deployment(arguments['--deployment']),
            numbers.read_number(
                '--seconds', arguments, MIN_SECONDS, MAX_SECONDS
            ),
            int(numbers.read_number('--seed', arguments, 0, 2**31)),
        )
        report = trio.run(demo.Demo(plan, output.write_message).run)
        output.write_result(demo_text.document(report), demo_text.text(report))
        if report.failed:
            return exit_codes.ExitCode.FAILED
        return exit_codes.ExitCode.OK


def check_deployment(name: str) -> str:
    """Returns the name of a deployment if it is valid.

    Raises:
        SettingsError: There is no deployment of that name.
    """
    if name not in DEPLOYMENTS:
        allowed = ', '.join(DEPLOYMENTS)
        raise errors.SettingsError(f'--deployment {name!r}: one of {allowed}')
    return name
