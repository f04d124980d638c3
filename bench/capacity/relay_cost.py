"""Processor time of relaying at the target's pace: a token every 50 ms."""

from __future__ import annotations

import time

import attrs

from bench.relay import __main__ as relay

PACE_SECONDS = 0.05
CHUNKS = 100
STREAMS = (20, 80, 160, 320)


@attrs.frozen
class Result:
    """What a router process spent on so many streams.

    Attributes:
        streams: Open at the same time, a token every 50 ms each.
        tokens_per_second: Passed on; below the pace if it cannot keep up.
        offered: Tokens a second that the pace asks for.
        chunk_us: Processor time for each token, its request's share in it.
        core_percent: Of a core, while the streams ran.
    """

    streams: int
    tokens_per_second: int
    offered: int
    chunk_us: float
    core_percent: float


def measure(router: relay.Child, streams: int) -> Result:
    """Runs one load."""
    started = time.monotonic()
    cost = relay.chunk_cost(router, streams, CHUNKS, PACE_SECONDS)
    rate = streams * CHUNKS / (time.monotonic() - started)
    return Result(
        streams,
        round(rate),
        round(streams / PACE_SECONDS),
        round(cost.cpu_us, 1),
        round(rate * cost.cpu_us / 1e4, 1),
    )


def run() -> list[Result]:
    """Runs all loads through one router process."""
    with relay.child('stub') as stub, relay.child('router', stub.port) as one:
        relay.whole_cost(one, 20)
        return [measure(one, streams) for streams in STREAMS]
