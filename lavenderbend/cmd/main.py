"""Finds and runs a command, and maps its errors to exit codes."""

from __future__ import annotations

import importlib
import importlib.util
import pkgutil
from typing import TYPE_CHECKING

import docopt

import lavenderbend
from lavenderbend import cmd
from lavenderbend import errors
from lavenderbend.cmd import base
from lavenderbend.cmd import exit_codes

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

USAGE = """Usage:
  lavenderbend COMMAND [ARGUMENT...]
  lavenderbend COMMAND --help
  lavenderbend --help | --version

Commands:
{commands}

Exit codes:
{codes}
"""

ERROR_CODES: tuple[tuple[type[Exception], exit_codes.ExitCode], ...] = (
    (errors.SettingsError, exit_codes.ExitCode.SETTINGS),
    (errors.OperatorUnreachable, exit_codes.ExitCode.UNREACHABLE),
    (errors.OperatorRefused, exit_codes.ExitCode.REFUSED),
    (errors.LavenderbendError, exit_codes.ExitCode.FAILED),
    (OSError, exit_codes.ExitCode.UNREACHABLE),
)


def load_commands() -> None:
    """Imports all modules of the package, which register their commands."""
    for module in pkgutil.iter_modules(cmd.__path__):
        importlib.import_module(f'{cmd.__name__}.{module.name}')


def load_command_module(argv: Sequence[str]) -> None:
    """Imports the module of the command that the arguments start with.

    Importing all commands would raise the peak resident set size of a
    forwarding router after its imports from 35 MB to 56 MB.
    """
    for count in (2, 1):
        name = '_'.join(argv[:count])
        module = f'{cmd.__name__}.{name}'
        if name.isidentifier() and importlib.util.find_spec(module):
            importlib.import_module(module)
            return
    load_commands()


def usage() -> str:
    """Returns the text of `--help`."""
    commands = '\n'.join(
        f'  {name:<16} {base.COMMANDS.get(name).summary}'
        for name in base.COMMANDS
    )
    codes = '\n'.join(
        f'  {code:<4d} {code.name.lower().replace("_", " ")}'
        for code in exit_codes.ExitCode
    )
    return USAGE.format(commands=commands, codes=codes)


def find_command(argv: Sequence[str]) -> str | None:
    """Returns the name of the command at the start of the arguments."""
    for count in (2, 1):
        name = ' '.join(argv[:count])
        if name in base.COMMANDS.entries:
            return name
    return None


def run(
    argv: Sequence[str], output: base.Output | None = None
) -> exit_codes.ExitCode:
    """Runs a command line and returns its exit code."""
    output = output or base.Output()
    if not argv or argv[0] in ('--help', '-h', 'help'):
        load_commands()
        output.write_result(sorted(base.COMMANDS.entries), usage())
        return exit_codes.ExitCode.OK if argv else exit_codes.ExitCode.USAGE
    if argv[0] == '--version':
        output.write_result(lavenderbend.__version__, lavenderbend.__version__)
        return exit_codes.ExitCode.OK
    load_command_module(argv)
    name = find_command(argv)
    if name is None:
        output.write_message(
            f'lavenderbend: no command {argv[0]!r}; see --help'
        )
        return exit_codes.ExitCode.USAGE
    return run_command(base.COMMANDS.get(name)(), argv, output)


def run_command(
    command: base.Command, argv: Sequence[str], output: base.Output
) -> exit_codes.ExitCode:
    """Runs one command and returns its exit code."""
    if '--help' in argv or '-h' in argv:
        output.write_result(command.usage, command.usage)
        return exit_codes.ExitCode.OK
    try:
        arguments = docopt.docopt(command.usage, list(argv), help=False)
    except docopt.DocoptExit as exc:
        output.write_message(str(exc))
        return exit_codes.ExitCode.USAGE
    output.json = bool(arguments.get('--json'))
    return run_with_exit_code(lambda: command.run(arguments, output), output)


def run_with_exit_code(
    run: Callable[[], exit_codes.ExitCode], output: base.Output
) -> exit_codes.ExitCode:
    """Runs a command and returns its exit code or that of its error."""
    try:
        return run()
    except KeyboardInterrupt:
        return exit_codes.ExitCode.INTERRUPTED
    except (errors.LavenderbendError, OSError, ExceptionGroup) as exc:
        return report_error(exc, output)


def report_error(exc: Exception, output: base.Output) -> exit_codes.ExitCode:
    """Writes an error and returns its exit code.

    The errors of a group are written one by one; the highest of their exit
    codes is returned.

    Raises:
        Exception: The error has no exit code.
    """
    if isinstance(exc, ExceptionGroup) and not isinstance(
        exc, errors.LavenderbendError
    ):
        codes = [report_error(inner, output) for inner in exc.exceptions]
        return max(codes)
    for kind, code in ERROR_CODES:
        if isinstance(exc, kind):
            write_error(exc, output)
            return code
    raise exc


def write_error(exc: Exception, output: base.Output) -> None:
    """Writes an error message, with the members of an error group."""
    if isinstance(exc, ExceptionGroup):
        output.write_message(f'lavenderbend: {exc.message}:')
        for inner in exc.exceptions:
            output.write_message(f'  {inner}')
        return
    category = getattr(exc, 'category', 'system error')
    output.write_message(f'lavenderbend: {category}: {exc}')
