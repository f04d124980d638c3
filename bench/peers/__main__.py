"""Peer links and membership, measured.

Usage:
  bench.peers [--links] [--membership] [--sizes=LIST] [--write]

Options:
  --links       Only the peer links, on loopback sockets.
  --membership  Only membership, in memory on the virtual clock.
  --sizes=LIST  Fleets to measure [default: 6,24,96].
  --write       Put the figures into figures.json.

Exit code 1 if a figure is beyond its bound in figures.json.
"""

from __future__ import annotations

import json
import pathlib
import sys

import docopt

from bench.peers import bounds
from bench.peers import scale
from bench.peers import wires

FIGURES = pathlib.Path(__file__).with_name('figures.json')


def main() -> int:
    """Runs the measurements; returns the exit code."""
    arguments = docopt.docopt(__doc__)
    both = arguments['--links'] == arguments['--membership']
    figures = json.loads(FIGURES.read_text())
    if both or arguments['--links']:
        figures['links'] = wires.table()
    if both or arguments['--membership']:
        sizes = [int(size) for size in arguments['--sizes'].split(',')]
        figures['membership'] = {
            **figures.get('membership', {}),
            **scale.table(sizes),
        }
    if arguments['--write']:
        FIGURES.write_text(json.dumps(figures, indent=1) + '\n')
    beyond = bounds.check(figures)
    for line in beyond:
        print(line)
    return 1 if beyond else 0


if __name__ == '__main__':
    sys.exit(main())
