"""Latency of instant calls beside a saturating model load.

Usage: python -m bench.relay.instant [STREAMS] [PACE_SECONDS]
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
import time

import trio

from bench.relay import __main__ as relay_bench
from bench.relay import client
from bench.relay import router
from bench.relay import stub

STREAMS = 64
PACE = 0.004
CALLS = 250
GAP_SECONDS = 0.002
SETTLE_SECONDS = 2.0
RATIO_GOAL = 2.0
ROUNDS = 3

CALL = (
    f'GET /alerts/office HTTP/1.1\r\nhost: bench\r\n'
    f'authorization: Bearer {router.CREDENTIAL}\r\n\r\n'
).encode()


async def measure(port: int) -> list[float]:
    """Makes instant calls one by one and returns their latencies."""
    found = []
    stream = await trio.open_tcp_stream(stub.HOST, port)
    async with stream:
        for _ in range(CALLS):
            started = time.perf_counter()
            await stream.send_all(CALL)
            await client.read_answer(stream, False)
            found.append(time.perf_counter() - started)
            await trio.sleep(GAP_SECONDS)
    return sorted(found)


def quantile(values: list[float], percent: float) -> float:
    """Returns a quantile in milliseconds."""
    index = min(len(values) - 1, int(len(values) * percent / 100))
    return round(values[index] * 1000, 3)


def load_process(port: int, streams: int, pace: float) -> subprocess.Popen:
    """Starts a process that keeps streams going."""
    return subprocess.Popen(
        [
            sys.executable,
            '-m',
            'bench.relay.streams',
            str(port),
            str(streams),
            str(pace),
        ],
        stdin=subprocess.PIPE,
    )


def one_round(relay, streams: int, pace: float) -> dict[str, float]:
    """Measures idle and beside the load."""
    idle = trio.run(measure, relay.port)
    process = load_process(relay.port, streams, pace)
    try:
        time.sleep(SETTLE_SECONDS)
        before, at = relay.cpu(), time.monotonic()
        busy = trio.run(measure, relay.port)
        used = (relay.cpu() - before) / (time.monotonic() - at)
    finally:
        process.stdin.close()
        process.wait(20)
    return {
        'idle_p50_ms': quantile(idle, 50),
        'idle_p99_ms': quantile(idle, 99),
        'busy_p50_ms': quantile(busy, 50),
        'busy_p99_ms': quantile(busy, 99),
        'ratio_p99': round(quantile(busy, 99) / quantile(idle, 99), 2),
        'router_cores': round(used, 2),
    }


def main() -> int:
    streams = int(sys.argv[1]) if len(sys.argv) > 1 else STREAMS
    pace = float(sys.argv[2]) if len(sys.argv) > 2 else PACE
    os.environ.pop('BENCH_PROFILE', None)
    with (
        relay_bench.child('stub') as engine,
        relay_bench.child('stub') as service,
        relay_bench.child('router', engine.port, service.port) as relay,
    ):
        # the first calls open connections and compile patterns
        trio.run(measure, relay.port)
        rounds = [one_round(relay, streams, pace) for _ in range(ROUNDS)]
    rounds.sort(key=lambda item: item['ratio_p99'])
    middle = rounds[len(rounds) // 2]
    result = {'streams': streams, 'pace_s': pace, **middle}
    result['ratios'] = [item['ratio_p99'] for item in rounds]
    print(json.dumps(result))
    return 0 if middle['ratio_p99'] <= RATIO_GOAL else 1


if __name__ == '__main__':
    sys.exit(main())
