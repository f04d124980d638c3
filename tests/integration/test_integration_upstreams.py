from __future__ import annotations

import random

import trio

from tests.integration import callers
from tests.integration import checkers
from tests.integration import documents
from tests.integration import evidence
from tests.integration import fleet
from tests.integration import permits
from tests.integration import proxy
from tests.integration import traffic

NINE = fleet.Plan(documents.document(), routers=4, engines=9, services=1)
FIVE = fleet.Plan(documents.document(), routers=4, engines=5, services=2)
LEAVING_SECONDS = 2.0
CLERK = documents.CUSTOMERS[0]


async def test_leaving_engine_gets_nothing_new(tmp_path):
    # an engine's VM is taken away while the VM list cannot be read: the
    # engine itself says that it is leaving, and within two seconds no
    # router sends it anything new, though nobody told most of them. This
    # engine would still run what it gets: one that refuses hides the fault
    rng = random.Random(3)
    async with fleet.running(FIVE, tmp_path) as subject:
        load = traffic.Traffic(subject, rng, traffic.Mix(chats=12, once=0))
        for router in subject.routers:
            router.vm_list_proxy.faults.refuse = True
            await router.vm_list_proxy.reset()
        leaving = subject.engines[0]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load.run)
            await trio.sleep(1.5)
            await subject.set_fault(leaving, kind='drain', refuse=False)
            since = trio.current_time() + LEAVING_SECONDS
            await trio.sleep(LEAVING_SECONDS + 2)
            load.stop()
        runs = await subject.runs()

    assert checkers.nothing_new(runs, leaving.id, since) == []
    assert checkers.nothing_cut(load.caller.calls) == []
    assert load.refused_twice == []
    later = [run for run in runs if run.started > since]
    assert later


async def test_killed_engine_breaks_no_answer(tmp_path):
    # an engine process dies while it streams answers: each caller gets the
    # whole right answer from another engine, or an error inside the stream
    rng = random.Random(4)
    async with fleet.running(FIVE, tmp_path) as subject:
        load = traffic.Traffic(subject, rng, traffic.Mix(chats=12, once=2))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load.run)
            await trio.sleep(1.5)
            for engine in subject.engines[:2]:
                await engine.process.kill()
                await trio.sleep(1.0)
            load.stop()

    calls = load.caller.calls
    assert checkers.whole_answers(calls) == []
    assert checkers.nothing_cut(calls) == []
    whole = [c for c in calls if c.told is callers.Told.COMPLETE]
    assert len(whole) > 0.95 * len(calls)


async def test_poison_request_crashes_two_engines_at_most(tmp_path):
    # one prompt crashes each engine that runs it, and its caller sends it
    # again and again through every router: after two crashes it is refused
    # everywhere, and nobody else is
    rng = random.Random(5)
    async with fleet.running(NINE, tmp_path) as subject:
        load = traffic.Traffic(subject, rng, traffic.Mix(chats=8, once=0))
        poison = [{'role': 'user', 'content': 'poison'}]
        bad = callers.Caller()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load.run)
            await trio.sleep(1)
            for number in range(20):
                router = subject.routers[number % len(subject.routers)]
                await bad.chat(router.url, CLERK, poison)
                await trio.sleep(0.1)
            load.stop()
        crashes = await subject.crashes()

    assert 0 < crashes <= 2
    assert bad.calls[-1].status == 422
    innocent = load.caller.calls
    assert [c for c in innocent if c.status == 422] == []
    assert checkers.whole_answers(innocent) == []


async def test_bound_holds_while_routers_disagree(tmp_path):
    # messages to one router are lost in one direction for some seconds, so
    # that routers disagree on who owns the engines: no engine is swamped
    rng = random.Random(6)
    async with fleet.running(FIVE, tmp_path) as subject:
        load = traffic.Traffic(subject, rng, traffic.Mix(chats=24, once=0))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load.run)
            await trio.sleep(1.5)
            for router in subject.routers:
                router.peer_proxy.faults.cut = rng.choice(
                    [proxy.Cut.TO_TARGET, proxy.Cut.FROM_TARGET]
                )
                await trio.sleep(3)
                router.peer_proxy.heal()
            load.stop()
        runs = await subject.runs()
        held = await permits.read(subject)

    engines = [engine.id for engine in subject.engines]
    logs = [router.process.log for router in subject.routers]
    # two requests of slack: one for the disagreement, one for messages and
    # clocks of real processes; the decision bench measures the exact bound
    found = checkers.bounded_load(runs, engines, 1.5, 2, slack=2)
    # no run is without a permit, so the permits are the load or more
    found += checkers.bounded_load(held, engines, 1.5, 2, slack=2)
    found += checkers.unpermitted(runs, held, engines)
    assert found == [], evidence.around(found, engines, runs, held, logs)
    assert checkers.whole_answers(load.caller.calls) == []
