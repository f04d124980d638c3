from __future__ import annotations

import httpx
import pytest
import trio

from tests.integration import checkers
from tests.integration import documents
from tests.integration import fleet

SEVEN = fleet.Plan(documents.document(), routers=7, engines=1, services=1)
SECRET = documents.SECRETS[documents.CUSTOMERS[0]]


async def read_marker(client: httpx.AsyncClient, router: fleet.Router) -> str:
    """Returns the marker of the revision that callers of a router meet."""
    answer = await client.get(
        f'{router.url}/marker', headers={'authorization': f'Bearer {SECRET}'}
    )
    return answer.json().get('detail', '')


async def wait_marker(subject: fleet.Fleet, marker: str) -> None:
    """Waits until callers of every router meet a marker."""
    async with httpx.AsyncClient() as client:
        with trio.fail_after(20):
            for router in subject.routers:
                while True:
                    if await read_marker(client, router) == marker:
                        break
                    await trio.sleep(0.02)


async def test_accepted_change_is_in_force_on_every_router(tmp_path):
    async with fleet.running(SEVEN, tmp_path) as subject:
        answer = await subject.accept(documents.document('second'), seen=1)

        assert answer.status_code == 200, answer.text
        assert answer.json()['in_force']
        await wait_marker(subject, 'second')


async def test_change_spreads_while_the_service_is_down(tmp_path):
    # the key-value service goes down just after an operator's change was
    # accepted, when one router alone has heard of it: callers of every
    # other router must meet it all the same, from peer to peer
    async with fleet.running(SEVEN, tmp_path) as subject:
        first, *others = subject.routers
        for router in others:
            router.key_value_proxy.faults.refuse = True
            await router.key_value_proxy.reset()

        answer = await subject.accept(documents.document('second'), seen=1)
        first.key_value_proxy.faults.refuse = True
        await first.key_value_proxy.reset()

        assert answer.json()['number'] == 2
        await wait_marker(subject, 'second')


async def test_restarted_router_gets_the_newest_from_a_peer(tmp_path):
    # a router VM is replaced while the service is down: the new router
    # must not serve by nothing or by an older revision
    async with fleet.running(SEVEN, tmp_path) as subject:
        await subject.accept(documents.document('second'), seen=1)
        for router in subject.routers:
            router.key_value_proxy.faults.refuse = True
            await router.key_value_proxy.reset()
        last = subject.routers[-1]
        await last.process.kill()
        await last.process.start()
        await last.wait_ready()

        async with httpx.AsyncClient() as client:
            assert await read_marker(client, last) == 'second'


@pytest.mark.parametrize('seed', [1])
async def test_racing_operators_never_take_a_revision_back(tmp_path, seed):
    # operators press 'apply' at the same time through different routers,
    # each on the revision it saw: one wins each round, the others are told
    # of the conflict, and no caller ever meets an older revision again
    numbers: dict[str, int] = {'first': 1}
    seen: list[tuple[str, int]] = []
    outcomes: list[int] = []

    async def operate(subject: fleet.Fleet, name: int, base: int) -> None:
        marker = f'round {base} operator {name}'
        answer = await subject.accept(
            documents.document(marker), base, subject.routers[name]
        )
        outcomes.append(answer.status_code)
        if answer.status_code == 200:
            numbers[marker] = answer.json()['number']

    async def watch(subject: fleet.Fleet, router: fleet.Router) -> None:
        async with httpx.AsyncClient() as client:
            while True:
                marker = await read_marker(client, router)
                seen.append((router.id, marker))
                await trio.sleep(0.01)

    async with fleet.running(SEVEN, tmp_path) as subject:
        async with trio.open_nursery() as watching:
            for router in subject.routers:
                watching.start_soon(watch, subject, router)
            for base in range(1, 11):
                async with trio.open_nursery() as nursery:
                    for name in range(4):
                        nursery.start_soon(operate, subject, name, base)
            watching.cancel_scope.cancel()

    assert outcomes.count(200) == 10
    assert outcomes.count(409) == 30
    assert sorted(numbers.values()) == list(range(1, 12))
    by_number = [(router, numbers[marker]) for router, marker in seen]
    assert checkers.never_back(by_number) == []
