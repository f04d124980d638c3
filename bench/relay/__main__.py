"""Measures the relay beside a bare one; fails when a bound is passed.

Usage: python -m bench.relay [--quick]
"""

from __future__ import annotations

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

ROUNDS = 3
WHOLE_CONNECTIONS = 8
WHOLE_REQUESTS = 150
STREAMS = 20
STREAM_CHUNKS = 200
STREAM_PACE = 0.01
FULL_STREAMS = 40
FULL_PACE = 0.0005
HELD_STREAMS = 2000
TICKS = os.sysconf('SC_CLK_TCK')
KIB = 1024

# goals of the project; the bounds stand a little above what was measured
WHOLE_GOAL = 1.5
CHUNK_GOAL = 1.2
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
def child(kind: str, upstream_port: int = 0):
    """Starts a process and ends it by closing its input."""
    process = subprocess.Popen(
        [sys.executable, '-m', 'bench.relay.child', kind, str(upstream_port)],
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


def run(quick: bool) -> dict:
    """Measures both relays in turns, so that both see the same machine."""
    rounds = 1 if quick else ROUNDS
    requests = WHOLE_REQUESTS // (3 if quick else 1)
    held = HELD_STREAMS // (10 if quick else 1)
    found: dict[str, dict[str, list[Cost]]] = {}
    memory: dict[str, float] = {}
    with child('stub') as stub_child, contextlib.ExitStack() as stack:
        relays = {
            kind: stack.enter_context(child(kind, stub_child.port))
            for kind in ('bare', 'router')
        }
        for relay in relays.values():
            whole_cost(relay, 20)
        for _ in range(rounds):
            for kind, relay in relays.items():
                costs = found.setdefault(kind, {})
                costs.setdefault('request', []).append(
                    whole_cost(relay, requests)
                )
                costs.setdefault('chunk', []).append(
                    chunk_cost(relay, STREAMS, STREAM_CHUNKS, STREAM_PACE)
                )
                costs.setdefault('chunk at full load', []).append(
                    chunk_cost(relay, FULL_STREAMS, STREAM_CHUNKS, FULL_PACE)
                )
        for kind, relay in relays.items():
            memory[kind] = held_memory(relay, held)
    return report(found, memory, held)


def report(found: dict, memory: dict[str, float], held: int) -> dict:
    """Returns the figures."""
    result: dict = {'held_streams': held, 'held_kib': memory}
    for name in ('request', 'chunk', 'chunk at full load'):
        bare = median(found['bare'][name])
        router = median(found['router'][name])
        result[name] = {
            'bare_us': round(bare.cpu_us, 1),
            'router_us': round(router.cpu_us, 1),
            'ratio': round(router.cpu_us / bare.cpu_us, 3),
            'router_per_core': round(router.per_core),
        }
    return result


def main() -> int:
    started = time.monotonic()
    result = run('--quick' in sys.argv)
    result['seconds'] = round(time.monotonic() - started, 1)
    print(json.dumps(result, indent=2))
    failed = []
    if result['request']['ratio'] > WHOLE_GOAL:
        failed.append('a request costs too much')
    if result['chunk']['ratio'] > CHUNK_GOAL:
        failed.append('a chunk costs too much')
    if result['held_kib']['router'] > HELD_GOAL_KIB:
        failed.append('a held stream takes too much memory')
    for line in failed:
        print(f'over its bound: {line}', file=sys.stderr)
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
