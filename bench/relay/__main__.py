"""Measures the relay beside a bare one; fails when a bound is passed.

Usage: python -m bench.relay [--quick] [--httpx]
"""

from __future__ import annotations

import collections
import contextlib
import functools
import json
import os
import statistics
import subprocess
import sys
import time

import attrs
import trio

from bench.relay import client

ROUNDS = 7
QUICK_ROUNDS = 3
WHOLE_CONNECTIONS = 8
WHOLE_REQUESTS = 150
STREAMS = 20
STREAM_CHUNKS = 200
STREAM_PACE = 0.01
FULL_STREAMS = 40
FULL_PACE = 0.0005
HELD_STREAMS = 2000
# the router and the bare relay by the router's own client, which count; both
# by httpx, for comparison, with --httpx
# a forwarding router, with the lines of all requests, and with none
KINDS = ('bare', 'router', 'forwarding', 'forwarding-quiet')
HTTPX_KINDS = ('bare-httpx', 'router-httpx')
TICKS = os.sysconf('SC_CLK_TCK')
KIB = 1024

# goals of the project; the bounds stand a little above what was measured
WHOLE_GOAL = 1.5
CHUNK_GOAL = 1.2
# a forwarding router does without the libraries of the bare relay: both of
# its costs are below that one's
FORWARDING_GOAL = 1.0
# lines on a request (three of them) beside the same path without any
LINES_GOAL = 1.3
HELD_GOAL_KIB = 64.0


@attrs.define
class Child:
    """A process of the bench."""

    process: subprocess.Popen
    port: int

    def cpu(self) -> float:
        """Returns the processor seconds it has used."""
        with open(f'/proc/{self.process.pid}/stat') as file:
            fields = file.read().rpartition(')')[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS

    def memory(self) -> int:
        """Returns its resident bytes."""
        with open(f'/proc/{self.process.pid}/status') as file:
            for line in file:
                if line.startswith('VmRSS:'):
                    return int(line.split()[1]) * KIB
        raise AssertionError('no VmRSS')


@contextlib.contextmanager
def child(kind: str, upstream_port: int = 0, service_port: int = 0):
    """Starts a process and ends it by closing its input."""
    process = subprocess.Popen(
        [
            sys.executable,
            '-m',
            'bench.relay.child',
            kind,
            str(upstream_port),
            str(service_port),
        ],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        yield Child(process, int(process.stdout.readline()))
    finally:
        process.stdin.close()
        process.wait(20)


@attrs.define
class Cost:
    """What one measured load cost."""

    cpu_us: float
    per_core: float


def measure(relay: Child, units: int, load) -> Cost:
    """Runs a load and returns its cost for each unit."""
    before = relay.cpu()
    events = trio.run(load)
    if events is not None and units != events:
        raise AssertionError(f'{events} events instead of {units}')
    used = relay.cpu() - before
    return Cost(used / units * 1e6, units / used)


def whole_cost(relay: Child, requests: int) -> Cost:
    """Returns the cost of a request with a whole answer."""
    load = functools.partial(
        client.load, relay.port, WHOLE_CONNECTIONS, requests, 0, 0.0
    )

    async def run() -> None:
        await load()

    return measure(relay, WHOLE_CONNECTIONS * requests, run)


def chunk_cost(relay: Child, streams: int, chunks: int, pace: float) -> Cost:
    """Returns the cost of a streamed chunk, its share of the request in."""
    load = functools.partial(client.load, relay.port, streams, 1, chunks, pace)
    return measure(relay, streams * chunks, load)


def held_memory(relay: Child, streams: int) -> float:
    """Returns the KiB of one open stream."""
    before = relay.memory()

    async def run() -> int:
        async with trio.open_nursery() as nursery:
            await nursery.start(client.hold, relay.port, streams)
            found = relay.memory()
            nursery.cancel_scope.cancel()
        return found

    return (trio.run(run) - before) / streams / KIB


def median(costs: list[Cost]) -> Cost:
    """Returns the median of each figure."""
    return Cost(
        statistics.median(item.cpu_us for item in costs),
        statistics.median(item.per_core for item in costs),
    )


def run(quick: bool, kinds: tuple[str, ...]) -> dict:
    """Measures the relays in turns, so that all see the same machine."""
    held = HELD_STREAMS // (10 if quick else 1)
    found: dict[str, dict[str, list[Cost]]] = {}
    memory: dict[str, float] = {}
    with child('stub') as stub_child, contextlib.ExitStack() as stack:
        relays = {
            kind: stack.enter_context(child(kind, stub_child.port))
            for kind in kinds
        }
        for relay in relays.values():
            whole_cost(relay, 20)
        for _ in range(QUICK_ROUNDS if quick else ROUNDS):
            for kind, relay in relays.items():
                costs = found.setdefault(kind, collections.defaultdict(list))
                measure_once(relay, costs)
        for kind, relay in relays.items():
            memory[kind] = round(held_memory(relay, held), 2)
    return report(found, memory, held)


def measure_once(relay: Child, costs: dict[str, list[Cost]]) -> None:
    """Adds one round of costs."""
    costs['request'].append(whole_cost(relay, WHOLE_REQUESTS))
    costs['chunk'].append(
        chunk_cost(relay, STREAMS, STREAM_CHUNKS, STREAM_PACE)
    )
    costs['chunk at full load'].append(
        chunk_cost(relay, FULL_STREAMS, STREAM_CHUNKS, FULL_PACE)
    )


def report(found: dict, memory: dict[str, float], held: int) -> dict:
    """Returns the figures."""
    result: dict = {'held_streams': held, 'held_kib': memory}
    for name in ('request', 'chunk', 'chunk at full load'):
        figures: dict = {}
        for kind, costs in found.items():
            figures[f'{kind}_us'] = round(median(costs[name]).cpu_us, 1)
        figures['ratio'] = ratio(found['router'][name], found['bare'][name])
        figures['ratio_forwarding'] = ratio(
            found['forwarding'][name], found['bare'][name]
        )
        figures['ratio_lines'] = ratio(
            found['forwarding'][name], found['forwarding-quiet'][name]
        )
        if 'bare-httpx' in found:
            figures['ratio_httpx'] = ratio(
                found['router-httpx'][name], found['bare-httpx'][name]
            )
        figures['router_per_core'] = round(
            median(found['router'][name]).per_core
        )
        result[name] = figures
    return result


def ratio(costs: list[Cost], bases: list[Cost]) -> float:
    """Returns the median of the ratios of each round.

    The machine's speed changes from minute to minute; the two costs of one
    round are taken within seconds of each other.
    """
    pairs = zip(costs, bases, strict=True)
    found = [cost.cpu_us / base.cpu_us for cost, base in pairs]
    return round(statistics.median(found), 3)


def main() -> int:
    started = time.monotonic()
    kinds = KINDS + (HTTPX_KINDS if '--httpx' in sys.argv else ())
    result = run('--quick' in sys.argv, kinds)
    result['seconds'] = round(time.monotonic() - started, 1)
    print(json.dumps(result, indent=2))
    failed = []
    if result['request']['ratio'] > WHOLE_GOAL:
        failed.append('a request costs too much')
    if result['chunk']['ratio'] > CHUNK_GOAL:
        failed.append('a chunk costs too much')
    for name in ('request', 'chunk'):
        if result[name]['ratio_forwarding'] > FORWARDING_GOAL:
            failed.append(f'a forwarded {name} costs too much')
    if result['request']['ratio_lines'] > LINES_GOAL:
        failed.append('the lines on a forwarded request cost too much')
    if result['held_kib']['router'] > HELD_GOAL_KIB:
        failed.append('a held stream takes too much memory')
    for line in failed:
        print(f'over its bound: {line}', file=sys.stderr)
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
