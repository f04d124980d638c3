from __future__ import annotations

import random

import trio

from tests.integration import callers
from tests.integration import checkers
from tests.integration import documents
from tests.integration import fleet
from tests.integration import proxy
from tests.integration import traffic

SEVEN = fleet.Plan(documents.document(), routers=7, engines=1, services=3)
ONLY_ONCE = traffic.Mix(chats=0, once=8, resend=0.6)
ENOUGH_RUNS = 50
MAX_CALLS = 1000


async def run_under(subject, seed, fault) -> traffic.Traffic:
    load = traffic.Traffic(subject, random.Random(seed), ONLY_ONCE)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(load.run)
        await trio.sleep(1)
        await fault()
        await trio.sleep(1)
        # a busy machine makes few calls in the seconds of the fault
        while True:
            if enough(load.caller.calls):
                break
            await trio.sleep(0.1)
        load.stop()
    return load


def enough(calls: list[callers.Call]) -> bool:
    """Returns whether enough requests ran, or too many calls were made."""
    ran = {call.key for call in calls if call.told is callers.Told.COMPLETE}
    return len(ran) > ENOUGH_RUNS or len(calls) >= MAX_CALLS


def assert_once(load: traffic.Traffic, runs: list[checkers.Run]) -> None:
    calls = load.caller.calls
    assert checkers.at_most_once(runs) == []
    assert checkers.not_run(calls, runs) == []
    assert checkers.once_told_truly(calls, runs) == []
    assert len(runs) > ENOUGH_RUNS


async def test_paused_routers_run_nothing_twice(tmp_path):
    # each router in turn stands still for longer than it takes the others
    # to give it up, then goes on believing that it owns its claims: a
    # reply to a citizen that was sent meanwhile is not sent again
    async with fleet.running(SEVEN, tmp_path) as subject:

        async def pause_all() -> None:
            for router in subject.routers[:4]:
                router.process.pause()
                await trio.sleep(3.5)
                router.process.resume()
                await trio.sleep(0.5)

        load = await run_under(subject, 21, pause_all)
        runs = await subject.runs(*subject.services)

    assert_once(load, runs)


async def test_lost_answers_and_outages_run_nothing_twice(tmp_path):
    # the key-value service loses answers to writes that took effect, then
    # is down, while callers send their replies again through other routers
    async with fleet.running(SEVEN, tmp_path) as subject:

        async def trouble() -> None:
            for router in subject.routers:
                router.key_value_proxy.faults.lose_answers = True
            await trio.sleep(3)
            for router in subject.routers:
                router.key_value_proxy.faults = proxy.Faults(refuse=True)
                await router.key_value_proxy.reset()
            await trio.sleep(3)
            for router in subject.routers:
                router.key_value_proxy.heal()
            await trio.sleep(3)

        load = await run_under(subject, 22, trouble)
        runs = await subject.runs(*subject.services)

    assert_once(load, runs)


async def test_killed_routers_run_nothing_twice(tmp_path):
    # router VMs are lost one after another with requests in their hands,
    # and the answers of one service are lost as well
    async with fleet.running(SEVEN, tmp_path) as subject:

        async def kill_all() -> None:
            subject.services[0].proxy.faults.lose_answers = True
            for router in subject.routers:
                await router.process.kill()
                await trio.sleep(0.5)
                await router.process.start()
                await router.wait_ready()
            subject.services[0].proxy.heal()

        load = await run_under(subject, 23, kill_all)
        runs = await subject.runs(*subject.services)

    assert_once(load, runs)
