"""What the routers of a large fleet believe, on the virtual clock.

Usage:
  bench.fleet [--sizes=LIST] [--zones=N] [--loss=SHARE] [--engines=N]
              [--only=NAME]... [--json=FILE]
  bench.fleet contention [--size=N] [--loss=SHARE] [--seed=N]
              [--queue=LIST] [--rate=LIST]
              [--only=NAME]... [--json=FILE]

`contention` plays fleets whose upstreams have too little room, with and
without waiting at the owners of upstreams.

Options:
  --sizes=LIST   Fleets to measure [default: 30,200].
  --zones=N      Availability zones [default: 5].
  --loss=SHARE   Share of datagrams that are lost [default: 0.02].
  --engines=N    Upstreams; 0 for one for each three routers [default: 0].
  --only=NAME    Only this scenario, and the start before it.
  --size=N       Routers of a play [default: 88].
  --seed=N       Seed of a play [default: 1].
  --queue=LIST   Values of queue_seconds [default: 0,4].
  --rate=LIST    Requests, as multiples of the usual [default: 1].
  --json=FILE    Writes the figures there.
"""

from __future__ import annotations

import itertools
import json
import pathlib
import sys
from typing import Any

import docopt
import trio
import trio.testing

from bench.fleet import contention
from bench.fleet import measures
from bench.fleet import world

ORDER = (
    'start',
    'steady',
    'version',
    'crash notice',
    'suspicion',
    'departures',
    'loads',
    'prompts by hashes',
    'prompts by owners',
    'one-way cut',
    'half killed',
    'all killed',
)


async def measure(
    size: int, zones: int, loss: float, engines: int, names: list[str]
) -> dict[str, Any]:
    """Returns the figures of one fleet by scenario."""
    figures: dict[str, Any] = {}
    async with trio.open_nursery() as nursery:
        fleet = world.make(nursery, size, zones, engines or size // 3, loss)
        for name in ORDER:
            if name != 'start' and names and name not in names:
                continue
            figures[name] = await measures.SCENARIOS.get(name)(fleet)
            print(size, name, figures[name], flush=True)
        nursery.cancel_scope.cancel()
    return figures


def play_contention(arguments: dict[str, Any]) -> dict[str, Any]:
    """Returns the figures of the contention plays by title."""
    # docopt lists repeated options more than once.
    names = dict.fromkeys(arguments['--only']) or list(contention.PLAYS)
    rates = arguments['--rate'].split(',')
    queues = arguments['--queue'].split(',')
    table = {}
    for name, rate, queue in itertools.product(names, rates, queues):
        found = contention.run(
            name,
            int(arguments['--seed']),
            int(arguments['--size']),
            float(arguments['--loss']),
            float(queue),
            float(rate),
        )
        title = f'{name}, rate {rate}, queue {queue} s'
        table[title] = found
        for line in contention.lines(title, found):
            print(line, flush=True)
    return table


def measure_all(arguments: dict[str, Any]) -> dict[str, Any]:
    """Returns the figures of the scenarios by size of the fleet."""
    table: dict[str, Any] = {}
    for size in arguments['--sizes'].split(','):
        table[size] = trio.run(
            measure,
            int(size),
            int(arguments['--zones']),
            float(arguments['--loss']),
            int(arguments['--engines']),
            arguments['--only'],
            clock=trio.testing.MockClock(autojump_threshold=0),
        )
    return table


def main() -> int:
    """Runs the scenarios; returns the exit code."""
    arguments = docopt.docopt(__doc__)
    if arguments['contention']:
        table = play_contention(arguments)
    else:
        table = measure_all(arguments)
    if arguments['--json']:
        text = json.dumps(table, indent=1) + '\n'
        pathlib.Path(arguments['--json']).write_text(text)
    return 0


if __name__ == '__main__':
    sys.exit(main())
