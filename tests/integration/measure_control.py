"""Measures control traffic of real processes, counted by the proxies."""

from __future__ import annotations

import json
import pathlib
import random
import sys
import tempfile

import trio

from tests.integration import documents
from tests.integration import fleet
from tests.integration import traffic

PLAN = fleet.Plan(documents.document(), routers=7, engines=5, services=3)
WARM_UP_SECONDS = 8.0
SECONDS = 20.0


def counts(subject: fleet.Fleet) -> dict[str, int]:
    """Returns bytes so far by what they were for.

    Bytes between routers count for two of them.
    """
    routers = subject.routers
    upstreams = subject.engines + subject.services
    return {
        'peers': 2 * sum(item.peer_proxy.bytes_passed for item in routers),
        'key-value': sum(item.key_value_proxy.bytes_passed for item in routers),
        'vm-list': sum(item.vm_list_proxy.bytes_passed for item in routers),
        'upstreams': sum(item.proxy.bytes_passed for item in upstreams),
    }


async def over(subject: fleet.Fleet) -> dict[str, int]:
    """Returns bytes a second a router over some time."""
    before = counts(subject)
    began = trio.current_time()
    await trio.sleep(SECONDS)
    took = trio.current_time() - began
    after = counts(subject)
    routers = len(subject.routers)
    return {
        name: round((after[name] - before[name]) / took / routers)
        for name in after
    }


async def measure(folder: pathlib.Path) -> dict[str, object]:
    """Returns the bytes of an idle and of a working fleet."""
    async with fleet.running(PLAN, folder) as subject:
        await trio.sleep(WARM_UP_SECONDS)
        idle = await over(subject)
        mix = traffic.Mix(chats=20, once=0)
        load = traffic.Traffic(subject, random.Random(1), mix)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load.run)
            await trio.sleep(2)
            calls = len(load.caller.calls)
            working = await over(subject)
            calls = len(load.caller.calls) - calls
            load.stop()
    # of a working fleet, upstream bytes are the requests themselves
    del working['upstreams']
    rate = calls / SECONDS / len(subject.routers)
    return {
        'idle, bytes a second a router': idle,
        'working, bytes a second a router': working,
        'requests a second a router': round(rate, 1),
    }


def main() -> None:
    """Prints the figures."""
    with tempfile.TemporaryDirectory() as folder:
        json.dump(trio.run(measure, pathlib.Path(folder)), sys.stdout, indent=2)
    print()


if __name__ == '__main__':
    main()
