"""One process of the bench: the stub, the bare relay or the router."""

from __future__ import annotations

import cProfile
import functools
import os
import sys

import trio

from bench.relay import bare
from bench.relay import forwarding
from bench.relay import router
from bench.relay import stub
from lavenderbend.transport import upstream_clients

PROFILE_VARIABLE = 'BENCH_PROFILE'


async def run(kind: str, upstream_port: int, service_port: int) -> None:
    """Serves until standard input ends."""
    serve = {
        'stub': stub.serve,
        'bare-httpx': functools.partial(bare.serve, upstream_port, 'httpx'),
        'bare': functools.partial(
            bare.serve, upstream_port, upstream_clients.DEFAULT
        ),
        'router': functools.partial(
            router.serve, upstream_port, service_port, upstream_clients.DEFAULT
        ),
        'forwarding': functools.partial(forwarding.serve, upstream_port, True),
        'forwarding-quiet': functools.partial(
            forwarding.serve, upstream_port, False
        ),
        'router-httpx': functools.partial(router.serve, upstream_port, 'httpx'),
    }[kind]
    async with trio.open_nursery() as nursery:
        port = await nursery.start(serve)
        print(port, flush=True)
        await trio.to_thread.run_sync(sys.stdin.read)
        nursery.cancel_scope.cancel()


def main() -> None:

    kind = sys.argv[1]
    ports = [int(item) for item in sys.argv[2:4]]
    target = os.environ.get(PROFILE_VARIABLE)
    if not target:
        trio.run(run, kind, *ports)
        return
    profile = cProfile.Profile()
    profile.runcall(trio.run, run, kind, *ports)
    profile.dump_stats(f'{target}.{kind}')


main()
