"""The entry point of the command line."""

from __future__ import annotations

import sys

from lavenderbend.transport import early_collection
from lavenderbend.transport import early_listener
from lavenderbend.transport import early_signals

ROUTER_COMMAND = 'router'


def main() -> None:
    """Runs the command of the process's arguments and exits."""
    if sys.argv[1:2] == [ROUTER_COMMAND]:
        early_collection.hold()
        early_signals.hold()
        early_listener.open_named()
    # loaded only now: callers can connect while it takes its time
    from lavenderbend.cmd import main as command_line

    sys.exit(int(command_line.run(sys.argv[1:])))


if __name__ == '__main__':
    main()
