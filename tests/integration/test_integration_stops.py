from __future__ import annotations

import random

import trio

from tests.integration import checkers
from tests.integration import documents
from tests.integration import fleet
from tests.integration import traffic

SEVEN = fleet.Plan(documents.document(), routers=7, engines=5, services=3)


async def test_rolling_restart_cuts_off_nothing(tmp_path):
    # an operator restarts all seven routers, one after the other, while
    # callers stream answers: no clerk may see an answer cut off, and a
    # request that meets a stopping router must be served by another one
    rng = random.Random(7)
    async with fleet.running(SEVEN, tmp_path) as subject:
        load = traffic.Traffic(subject, rng, traffic.Mix(chats=12))
        codes = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load.run)
            await trio.sleep(1)
            for router in subject.routers:
                codes.append(await router.process.stop())
                await router.process.start()
                await router.wait_ready()
            load.stop()
        runs = await subject.runs()

    assert codes == [0] * 7
    assert checkers.nothing_cut(load.caller.calls) == []
    assert load.refused_twice == []
    assert checkers.whole_answers(load.caller.calls) == []
    assert checkers.at_most_once(runs) == []
    assert checkers.not_run(load.caller.calls, runs) == []


async def test_long_stream_outlives_a_stop(small_fleet):
    # a router is told to stop while a clerk's long summary streams: the
    # stop waits for the stream, and the clerk gets it whole
    load = traffic.Traffic(small_fleet, random.Random(1))
    first = small_fleet.routers[0]
    messages = [{'role': 'user', 'content': 'a very long thread'}]
    codes = []

    async def stop() -> None:
        await trio.sleep(0.4)
        codes.append(await first.process.stop())

    async with trio.open_nursery() as nursery:
        nursery.start_soon(stop)
        call = await load.caller.chat(
            first.url, documents.CUSTOMERS[0], messages, max_tokens=500
        )

    assert codes == [0]
    assert checkers.nothing_cut([call]) == []
    assert checkers.whole_answers([call]) == []
    assert call.text
