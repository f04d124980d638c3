"""Runs the bench of the decisions.

Usage:
  bench.decisions [--case NAME]... [--short] [--json FILE] [--plots DIR]

Options:
  --case NAME   Only this case; may be given again.
  --short       The short runs that CI checks against the bounds.
  --json FILE   Writes all figures there.
  --plots DIR   Writes a plot for each comparison there.
"""

from __future__ import annotations

import json
import pathlib
import sys

import attrs
import docopt

from bench.decisions import cases
from bench.decisions import results

COLUMNS = (
    'reuse',
    'above',
    'most_above',
    'skew',
    'first_token',
    'waited',
    'instant',
    'bytes_mean',
    'bytes_most',
    'messages',
    'refused',
    'others_waited',
    'others_first_token',
    'others_refused',
    'late_refusals',
    'moved',
    'poisoned',
    'innocents',
    'late_work',
    'requests',
)


def print_table(name: str, table: results.Table) -> None:
    """Prints the figures of a case."""
    width = max(len(label) for label in table)
    print(f'\n{name}')
    print(' ' * width, *(f'{column[:11]:>11}' for column in COLUMNS))
    for label, row in table.items():
        values = attrs.asdict(row)
        cells = (f'{values[column]:11.4g}' for column in COLUMNS)
        print(f'{label:{width}}', *cells, flush=True)


def main() -> int:
    """Runs the cases; returns 1 if a bound is broken."""
    options = docopt.docopt(__doc__)
    length = cases.SHORT if options['--short'] else cases.FULL
    names = options['--case'] or list(cases.CASES)
    bounds = results.load_bounds()['short' if options['--short'] else 'full']
    document = {}
    broken = []
    for name in names:
        table = results.run_case(name, length)
        print_table(name, table)
        found = results.measures(table)
        for measure, value in found.items():
            print(f'  {measure}: {value:.4g}')
        broken.extend(results.breaches(name, found, bounds.get(name, {})))
        document[name] = {
            'runs': {label: attrs.asdict(row) for label, row in table.items()},
            'measures': found,
        }
    for breach in broken:
        print(
            f'BROKEN {breach.case} {breach.measure}: {breach.value:.4g},'
            f' should be {breach.bound}'
        )
    if options['--json']:
        path = pathlib.Path(options['--json'])
        path.write_text(json.dumps(document, indent=1), encoding='utf-8')
    if options['--plots']:
        from bench.decisions import plots

        plots.write(document, pathlib.Path(options['--plots']))
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit(main())
