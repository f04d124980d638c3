"""The entry point of the command line."""

from __future__ import annotations

import sys

from lavenderbend.transport import early_listener
from lavenderbend.transport import early_signals
from lavenderbend.transport import startup_gc

ROUTER_COMMAND = 'router'


def main() -> None:
    """Runs the command of the process's arguments and exits."""
    if sys.argv[1:2] == [ROUTER_COMMAND]:
        startup_gc.disable()
        early_signals.defer()
        early_listener.open_from_environment()
    # loaded only now: callers can connect while it takes its time
    from lavenderbend.cmd import main as command_line

    sys.exit(int(command_line.run(sys.argv[1:])))


if __name__ == '__main__':
    main()
