"""A process that keeps streams going until its input ends."""

from __future__ import annotations

import sys

import trio

from bench.relay import client

CHUNKS = 500


async def run(port: int, streams: int, pace: float) -> None:
    """Keeps streams going."""
    async with trio.open_nursery() as nursery:
        for _ in range(streams):
            nursery.start_soon(repeat, port, pace)
        await trio.to_thread.run_sync(sys.stdin.read)
        nursery.cancel_scope.cancel()


async def repeat(port: int, pace: float) -> None:
    """Keeps one stream going."""
    data = client.request(CHUNKS, pace)
    while True:
        await client.repeat(port, data, 1, True)


if __name__ == '__main__':
    trio.run(run, int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3]))
