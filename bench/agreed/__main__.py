"""Measures what is agreed and kept; run as `python -m bench.agreed`.

Usage:
  agreed [--figures FILE]

Options:
  --figures FILE  Where all figures go [default: bench/agreed/figures.json].
"""

from __future__ import annotations

import json
import pathlib
import sys

import docopt

from bench.agreed import measures


def main() -> int:
    """Runs the bench; returns 1 if a bound is broken."""
    arguments = docopt.docopt(__doc__)
    table, figures = measures.all_of_them()
    for line in table:
        mark = 'ok' if line.holds else 'OVER'
        print(f'{line.name:58} {line.value:10.2f} <= {line.bound:g} {mark}')
    text = json.dumps(figures, indent=2, sort_keys=True)
    pathlib.Path(arguments['--figures']).write_text(text + '\n')
    return 0 if all(line.holds for line in table) else 1


if __name__ == '__main__':
    sys.exit(main())
