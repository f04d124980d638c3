"""`lavenderbend router`."""

from __future__ import annotations

import sys
from typing import Any
from typing import TYPE_CHECKING

import trio

from lavenderbend.cmd import base
from lavenderbend.cmd import exit_codes
from lavenderbend.observe import logs
from lavenderbend.observe import tracing
from lavenderbend.protocol import documents_yaml

if TYPE_CHECKING:
    from collections.abc import Mapping


@base.COMMANDS.register('router')
class Router(base.Command):
    """Runs one router."""

    summary = 'run one router of the fleet'
    usage = """Run one router until SIGTERM.

Usage:
  lavenderbend router --settings FILE [--check]

Options:
  --settings FILE  Settings of this router, in YAML.
  --check          Only read the settings and say whether they can be used.
"""

    def run(
        self, arguments: Mapping[str, Any], output: base.Output
    ) -> exit_codes.ExitCode:
        """Runs the router; log lines go to standard output."""
        settings = documents_yaml.load_settings(arguments['--settings'])
        if arguments['--check']:
            output.note(f'{arguments["--settings"]}: can be used')
            return exit_codes.ExitCode.OK
        # only this command needs the daemon; `rules check` starts faster
        from lavenderbend.daemon import router

        logs.write_to(sys.stdout)
        tracing.set_up(settings.id, settings.tracing.otlp_endpoint)
        trio.run(router.run_router, settings)
        return exit_codes.ExitCode.OK
