"""Measures the slopes for docs/CAPACITY.md that other benches do not give.

Usage:
  bench.capacity [--part NAME]... [--fleets LIST] [--json FILE] [--write]

Options:
  --part NAME    Only this of small, limits, router and relay.
  --fleets LIST  Fleets whose limits are measured [default: 6,24]; a minute
                 for 330.
  --json FILE    Put the figures there.
  --write        Put the figures into figures.json.

Exit code 1 if a figure is beyond its bound.
"""

from __future__ import annotations

import json
import pathlib
import sys
from typing import Any

import attrs
import docopt

from bench.capacity import limits_cost
from bench.capacity import one_router
from bench.capacity import parts
from bench.capacity import relay_cost
from lavenderbend import registry

FIGURES = pathlib.Path(__file__).with_name('figures.json')
BOUNDED_FLEET = '24 routers'
BOUNDED_SIZES = ('today', 'the target, its share of the engines')
# counts and differences, which the load of the machine does not change much
MAX_LIMIT_MESSAGES = 8.0  # a second, of a router of 24
MAX_LIMIT_REFUSED = 4.0  # of 1,000, far below the limit, 24 routers
MAX_KNOWLEDGE_MIB = 40.0  # all that is known of the target
MAX_RECORD_BYTES = 3000.0

PARTS: registry.Registry[Any] = registry.Registry('part of the bench')


@attrs.frozen
class Bound:
    """A figure that may not grow.

    Attributes:
        name: What it is.
        value: What was measured.
        most: It may not be above this.
    """

    name: str
    value: float
    most: float


@PARTS.register('small')
def measure_small(fleets: list[int]) -> dict[str, Any]:
    """Returns the costs of single steps."""
    return {
        'record_bytes': parts.record_bytes(),
        'compile_ms': {
            f'{count} rules': parts.compile_ms(count) for count in parts.RULES
        },
        'owners': {
            f'{count} groups': attrs.asdict(parts.spread(count))
            for count in parts.GROUPS
        },
    }


@PARTS.register('limits')
def measure_limits(fleets: list[int]) -> dict[str, Any]:
    """Returns what customers' limits cost."""
    return {
        f'{routers} routers': {
            kind: attrs.asdict(limits_cost.run(routers, kind))
            for kind in limits_cost.KINDS
        }
        for routers in fleets
    }


@PARTS.register('router')
def measure_router(fleets: list[int]) -> dict[str, Any]:
    """Returns what one idle router takes, by what it knows."""
    return {
        name: attrs.asdict(one_router.measure(size))
        for name, size in one_router.SIZES.items()
    }


@PARTS.register('relay')
def measure_relay(fleets: list[int]) -> dict[str, Any]:
    """Returns what relaying costs at the target's pace."""
    return {
        f'{item.streams} streams': attrs.asdict(item)
        for item in relay_cost.run()
    }


def bounds(figures: dict[str, Any]) -> list[Bound]:
    """Returns what the figures are held against."""
    found = []
    if 'small' in figures:
        size = figures['small']['record_bytes']
        found.append(Bound('bytes a record', size, MAX_RECORD_BYTES))
    if 'router' in figures:
        first, target = (
            figures['router'][name]['memory_mib'] for name in BOUNDED_SIZES
        )
        found.append(
            Bound('MiB to know the target', target - first, MAX_KNOWLEDGE_MIB)
        )
    if BOUNDED_FLEET in figures.get('limits', {}):
        rows = figures['limits'][BOUNDED_FLEET].values()
        most = max(row['messages_per_second'] for row in rows)
        found.append(
            Bound('messages/s of limits, 24 routers', most, MAX_LIMIT_MESSAGES)
        )
        refused = max(row['refused'] for row in rows)
        found.append(
            Bound('refused of 1,000, 24 routers', refused, MAX_LIMIT_REFUSED)
        )
    return found


def write(figures: dict[str, Any]) -> None:
    """Adds figures to the committed ones."""
    known = json.loads(FIGURES.read_text()) if FIGURES.exists() else {}
    for name, part in figures.items():
        known[name] = {**known.get(name, {}), **part}
    FIGURES.write_text(json.dumps(known, indent=1) + '\n', encoding='utf-8')


def main() -> int:
    """Measures; returns 1 if a bound is broken."""
    options = docopt.docopt(__doc__)
    fleets = [int(count) for count in options['--fleets'].split(',')]
    figures = {
        name: PARTS.get(name)(fleets) for name in options['--part'] or PARTS
    }
    print(json.dumps(figures, indent=1))
    if options['--write']:
        write(figures)
    if options['--json']:
        text = json.dumps(figures, indent=1)
        pathlib.Path(options['--json']).write_text(text, encoding='utf-8')
    broken = 0
    for item in bounds(figures):
        mark = 'ok' if item.value <= item.most else 'OVER'
        broken += item.value > item.most
        print(f'{item.name:40} {item.value:10.1f} <= {item.most:g} {mark}')
    return int(broken > 0)


if __name__ == '__main__':
    sys.exit(main())
