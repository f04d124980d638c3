"""Entry point of the command line."""

from __future__ import annotations

import sys

from lavenderbend.transport import early_listener
from lavenderbend.transport import early_signals
from lavenderbend.transport import startup_gc

ROUTER_COMMAND = 'router'


def main() -> None:
    """Runs the command given by the process arguments and exits."""
    if sys.argv[1:2] == [ROUTER_COMMAND]:
        startup_gc.disable()
        early_signals.defer()
        early_listener.open_from_environment()
    # Imported late because it is slow: the listener is already open, so
    # callers can connect meanwhile.
    from lavenderbend.cmd import main as command_line

    sys.exit(int(command_line.run(sys.argv[1:])))


if __name__ == '__main__':
    main()
