from __future__ import annotations

import random

import pytest
import trio

from lavenderbend.coordination import retries


async def test_budget_is_a_share_of_the_traffic(autojump_clock):
    # Every request of a pool fails. Without a budget each would be tried
    # three times, and the failing pool would get three times its load.
    budget = retries.RetryBudget(
        retries.RetrySettings(share=0.1, minimum=0.0, burst=10.0)
    )
    taken = 0
    for _ in range(10_000):
        budget.note_request()
        taken += budget.try_take()
        taken += budget.try_take()

    assert 1000 <= taken <= 1011
    assert budget.granted == taken
    assert budget.denied == 20_000 - taken


async def test_idle_pool_keeps_a_small_rate(autojump_clock):
    budget = retries.RetryBudget(retries.RetrySettings(minimum=0.2))
    while budget.try_take():
        pass

    await trio.sleep(10.5)

    assert budget.try_take()
    assert budget.try_take()
    assert not budget.try_take()


async def test_budget_does_not_accumulate_beyond_its_burst(autojump_clock):
    budget = retries.RetryBudget(retries.RetrySettings(burst=3.0))
    await trio.sleep(3600)
    for _ in range(1000):
        budget.note_request()

    assert [budget.try_take() for _ in range(4)] == [True, True, True, False]


async def test_backoff_has_full_jitter_within_its_bound(autojump_clock):
    rng = random.Random(1)
    settings = retries.RetrySettings(base_delay=0.1, max_delay=1.0)
    for attempt, bound in ((1, 0.1), (2, 0.2), (4, 0.8), (9, 1.0), (99, 1.0)):
        delays = [
            retries.backoff(attempt, rng, float('inf'), settings)
            for _ in range(500)
        ]
        assert max(delays) <= bound
        assert max(delays) > 0.9 * bound
        assert min(delays) < 0.1 * bound


async def test_no_attempt_starts_past_the_deadline(autojump_clock):
    rng = random.Random(1)
    now = trio.current_time()

    assert retries.backoff(1, rng, now) is None
    assert retries.backoff(1, rng, now - 1) is None
    assert retries.backoff(1, rng, now + 60) is not None


@pytest.mark.parametrize(
    ('text', 'count'),
    [
        ('0', 0),
        ('', 0),
        ('2', 2),
        ('-1', 0),
        ('x', 0),
        ('\u0662', 0),
        ('9' * 5000, 1000),
    ],
)
def test_attempts_of_earlier_hops_are_read(text, count):
    assert retries.earlier_attempts({retries.ATTEMPT_HEADER: text}) == count


def test_retry_of_an_earlier_hop_is_not_retried():
    # A request that arrives through another router is already a second
    # attempt. If it were retried at each hop, attempts would multiply.
    assert retries.may_retry({})
    assert not retries.may_retry({retries.ATTEMPT_HEADER: '1'})
