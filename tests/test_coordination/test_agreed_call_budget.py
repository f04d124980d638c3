from __future__ import annotations

import pytest
import trio

from lavenderbend import errors
from lavenderbend.coordination import call_budget
from tests.test_coordination import agreed_fakes as fakes


async def test_background_calls_do_not_delay_claims(autojump_clock):
    """A compaction calls as fast as it can during a steady rate of claims."""
    store = fakes.service()
    budget = call_budget.CallBudget(writes_per_second=50.0)
    claims = call_budget.BudgetedStore(
        store, budget, call_budget.CallPriority.CLAIMS
    )
    background = call_budget.BudgetedStore(
        store, budget, call_budget.CallPriority.BACKGROUND
    )
    counts = {'claims': 0, 'background': 0}

    async def compact(number):
        while True:
            try:
                await background.delete(f'b{number}')
                counts['background'] += 1
            except errors.KeyValueUnavailable:
                await trio.sleep(0.01)

    async with trio.open_nursery() as nursery:
        for number in range(20):
            nursery.start_soon(compact, number)
        slowest = 0.0
        for number in range(400):
            began = trio.current_time()
            await claims.create(f'c{number}', b'')
            counts['claims'] += 1
            slowest = max(slowest, trio.current_time() - began)
            await trio.sleep(1 / 40)
        nursery.cancel_scope.cancel()
    assert counts['claims'] == 400
    assert slowest < 0.03
    assert counts['background'] > 0


async def test_calls_stay_within_the_rate(autojump_clock):
    store = fakes.service()
    budget = call_budget.CallBudget(reads_per_second=100.0)
    reader = call_budget.BudgetedStore(
        store, budget, call_budget.CallPriority.CLAIMS
    )

    async def read_repeatedly():
        while True:
            try:
                await reader.read('a')
            except errors.KeyValueUnavailable:
                await trio.sleep(0.01)

    with trio.move_on_after(10):
        async with trio.open_nursery() as nursery:
            for _ in range(30):
                nursery.start_soon(read_repeatedly)
    assert 950 <= store.calls['read'] <= 1060


async def test_call_over_the_budget_is_not_made(autojump_clock):
    store = fakes.service()
    budget = call_budget.CallBudget(writes_per_second=0.5, max_wait_seconds=0.5)
    writer = call_budget.BudgetedStore(
        store, budget, call_budget.CallPriority.CLAIMS
    )
    for number in range(3):
        await writer.create(f'k{number}', b'')
    with pytest.raises(errors.KeyValueUnavailable, match='budget'):
        await writer.create('k3', b'')
    assert store.calls['create'] == 3
