"""The entry point of the command line."""

from __future__ import annotations

import sys

from lavenderbend.cmd import main as command_line


def main() -> None:
    """Runs the command of the process's arguments and exits."""
    sys.exit(int(command_line.run(sys.argv[1:])))


if __name__ == '__main__':
    main()
