from __future__ import annotations

import httpx

from lavenderbend.standin import engine_texts
from tests.integration import callers

CLERK = 'corte-santiago'
HELLO = [{'role': 'user', 'content': 'resume el hilo'}]


async def test_request_is_served_from_end_to_end(small_fleet):
    caller = callers.Caller()

    for router in small_fleet.routers:
        for stream in (True, False):
            call = await caller.chat(router.url, CLERK, HELLO, stream=stream)
            right = engine_texts.answer_text(call.request_id, call.body)

            assert call.told is callers.Told.COMPLETE, call
            assert call.text == right


async def test_second_copy_does_not_run_again(small_fleet):
    # a clerk's browser sends the reply again, through another router,
    # after the first answer came: the citizen must get one letter
    caller = callers.Caller()
    first, second, _ = small_fleet.routers
    body = {'to': 'citizen-1'}

    one = await caller.once(first.url, CLERK, 'key-1', body)
    two = await caller.once(second.url, CLERK, 'key-1', body)

    assert one.told is callers.Told.COMPLETE, one
    assert two.told is callers.Told.COMPLETE, two
    assert len(await small_fleet.runs(small_fleet.services[0])) == 1


async def test_wrong_credential_reaches_nothing(small_fleet):
    async with httpx.AsyncClient() as client:
        answer = await client.post(
            f'{small_fleet.routers[0].url}/replies',
            json={},
            headers={'authorization': 'Bearer wrong', 'idempotency-key': 'k'},
        )

    assert answer.status_code == 401
    assert await small_fleet.runs(small_fleet.services[0]) == []
