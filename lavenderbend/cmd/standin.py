"""`lavenderbend standin`."""

from __future__ import annotations

import contextlib
import signal
from typing import Any
from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend import errors
from lavenderbend.cmd import base
from lavenderbend.cmd import exit_codes
from lavenderbend.daemon import standins

if TYPE_CHECKING:
    from collections.abc import Mapping

KINDS = '\n'.join(
    f'  {kind:<15} {standins.STANDINS.get(kind).summary}; '
    f'port {standins.STANDINS.get(kind).default_port}'
    for kind in standins.STANDINS
)


@base.COMMANDS.register('standin')
class Standin(base.Command):
    """Runs one stand-in."""

    summary = 'run one stand-in for a system that routers meet'
    usage = f"""Run one stand-in until SIGTERM; for trials and tests only.

Usage:
  lavenderbend standin KIND [--host IP] [--port PORT] [--name ID]
                       [--settings FILE]

Options:
  --host IP        IP number to bind [default: 127.0.0.1].
  --port PORT      Port to bind, 0 for any; without it the kind's own.
  --name ID        VM id, for kinds that have one.
  --settings FILE  Settings of the stand-in, in YAML.

Kinds:
{KINDS}
"""

    def run(
        self, arguments: Mapping[str, Any], output: base.Output
    ) -> exit_codes.ExitCode:
        """Serves until SIGTERM or SIGINT."""
        try:
            kind = standins.STANDINS.get(arguments['KIND'])
        except errors.RegistrationError as exc:
            output.write_message(f'lavenderbend: {exc}')
            return exit_codes.ExitCode.USAGE
        port = arguments['--port'] or str(kind.default_port)
        if not port.isascii() or not port.isdigit() or int(port) > 65535:
            output.write_message(f'lavenderbend: no port: {port!r}')
            return exit_codes.ExitCode.USAGE
        settings = standins.load_settings(kind, arguments['--settings'])
        if arguments['--name'] is not None and hasattr(settings, 'name'):
            settings = attrs.evolve(settings, name=arguments['--name'])
        trio.run(
            serve, kind(), arguments['--host'], int(port), settings, output
        )
        return exit_codes.ExitCode.OK


async def serve(
    standin: standins.StandIn,
    host: str,
    port: int,
    settings: Any,
    output: base.Output,
) -> None:
    """Serves until SIGTERM or SIGINT."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:

            async def run(task_status: trio.TaskStatus[Any]) -> None:
                await standin.serve(host, port, settings, task_status)

            bound = await nursery.start(run)
            output.write_message(f'serving at {bound}')
            with contextlib.suppress(StopAsyncIteration):
                await anext(signals)
            nursery.cancel_scope.cancel()
