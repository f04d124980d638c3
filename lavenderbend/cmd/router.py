"""`lavenderbend router`."""

from __future__ import annotations

import os
import sys
from typing import Any
from typing import TYPE_CHECKING

import trio

from lavenderbend.cmd import base
from lavenderbend.cmd import exit_codes
from lavenderbend.observe import logs
from lavenderbend.protocol import documents_yaml
from lavenderbend.transport import startup_gc

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lavenderbend.state import settings as settings_module

SETTINGS_VARIABLE = 'LAVENDERBEND_SETTINGS'


def run_forwarding(
    settings: settings_module.RouterSettings, path: str
) -> exit_codes.ExitCode:
    """Runs a router that forwards any HTTP request."""
    # imported here because it loads a third as much code as the other kind
    # of router
    from lavenderbend.daemon import forwarding

    if settings.tracing.otlp_endpoint is not None:
        from lavenderbend.observe import tracing

        tracing.set_up(settings.id, settings.tracing.otlp_endpoint)
    logs.write_nonblocking(sys.stdout.fileno())
    startup_gc.enable()
    trio.run(forwarding.run_router, settings, path)
    return exit_codes.ExitCode.OK


@base.COMMANDS.register('router')
class Router(base.Command):
    """Runs one router."""

    summary = 'run one router of the fleet'
    usage = """Run one router until SIGTERM.

Usage:
  lavenderbend router [--settings FILE] [--check]

Options:
  --settings FILE  Settings of this router, in YAML; else the file that the
                   environment variable LAVENDERBEND_SETTINGS names.
  --check          Only read the settings and say whether they can be used.
"""

    def run(
        self, arguments: Mapping[str, Any], output: base.Output
    ) -> exit_codes.ExitCode:
        """Runs the router; log lines go to standard output."""
        path = arguments['--settings'] or os.environ.get(SETTINGS_VARIABLE)
        if not path:
            output.write_message(f'give --settings, or set {SETTINGS_VARIABLE}')
            return exit_codes.ExitCode.USAGE
        settings = documents_yaml.load_settings(path)
        if arguments['--check']:
            output.write_message(f'{path}: can be used')
            return exit_codes.ExitCode.OK
        if settings.forwarding is not None:
            return run_forwarding(settings, path)
        # imported here so that `rules check` starts faster without the daemon
        from lavenderbend.daemon import router
        from lavenderbend.observe import tracing

        logs.write_to(sys.stdout)
        tracing.set_up(settings.id, settings.tracing.otlp_endpoint)
        startup_gc.enable()
        trio.run(router.run_router, settings)
        return exit_codes.ExitCode.OK
