"""Memory that callers who do not read can pin in a router.

Usage: python -m bench.relay.slow [CALLERS]
"""

from __future__ import annotations

import json
import sys

import trio

from bench.relay import __main__ as relay_bench
from bench.relay import client
from bench.relay import stub

CALLERS = 200
CHUNKS = 200_000
WATCHED_SECONDS = 6.0
SAMPLES = 4
KIB = 1024
# goal for an open stream; one that is not read may hold a piece on its way
BOUND_KIB = 256.0


async def hold_unread(
    port: int,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Asks for a long answer and never reads it."""
    stream = await trio.open_tcp_stream(stub.HOST, port)
    async with stream:
        await stream.send_all(client.request(CHUNKS, 0.0))
        task_status.started()
        await trio.sleep_forever()


async def watch(relay: relay_bench.Child, callers: int) -> list[float]:
    """Returns the KiB for each caller, sample by sample."""
    before = relay.memory()
    found = []
    async with trio.open_nursery() as nursery:
        for _ in range(callers):
            await nursery.start(hold_unread, relay.port)
        for _ in range(SAMPLES):
            await trio.sleep(WATCHED_SECONDS / SAMPLES)
            grown = relay.memory() - before
            found.append(round(grown / callers / KIB, 1))
        nursery.cancel_scope.cancel()
    return found


def main() -> int:
    callers = int(sys.argv[1]) if len(sys.argv) > 1 else CALLERS
    with (
        relay_bench.child('stub') as engine,
        relay_bench.child('router', engine.port, engine.port) as relay,
    ):
        relay_bench.whole_cost(relay, 20)
        found = trio.run(watch, relay, callers)
    print(json.dumps({'callers': callers, 'kib_each': found}))
    return 0 if max(found) <= BOUND_KIB else 1


if __name__ == '__main__':
    sys.exit(main())
