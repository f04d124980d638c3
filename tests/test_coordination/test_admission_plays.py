"""Plays of a load at one upstream, with the owner's queue and without."""

from __future__ import annotations

import statistics

import pytest
import trio

from lavenderbend.coordination.forwarding import owned_loads
from tests import admission_fakes as fakes

# 1.5 times six slots, each of which serves ten requests in a second.
MAX_LOAD = 9


@pytest.fixture
def play(nursery, autojump_clock):
    owned = owned_loads.OwnedLoads('10.0.0.1')
    return fakes.Play(owned, nursery)


async def cold_start(play, **fields):
    """Sends 40 cold prompts of 15 chats within 0.2 s."""
    for number in range(40):
        play.send(fakes.ask, chat=1 + number % 15, wait=6000, **fields)
        await trio.sleep(0.005)
    await trio.sleep(12.0)


async def test_cold_prompts_are_read_once(play, autojump_clock):
    # All requests of a chat that arrive before its first one has been read
    # read the whole prompt again, and streams pause for seconds.
    await cold_start(play)
    assert play.read_tokens == 15 * 9000 + 25 * 500
    assert play.share_begun(0.8) >= 0.2


async def test_cold_prompts_without_waiting_are_read_again(
    play, autojump_clock
):
    # What the queue is for: the same load as the owner counts it without.
    await cold_start(play, checks_room=False)
    assert play.read_tokens == 40 * 9000
    assert play.share_begun(0.8) <= 0.1


async def send_plain(play, seconds, rates):
    """Sends requests without prompts at steady rates.

    Args:
        play: The play.
        seconds: For how long.
        rates: Requests in a second by customer and rank.
    """
    credit = dict.fromkeys(rates, 0.0)
    for _ in range(round(seconds / 0.01)):
        for (customer, rank), rate in rates.items():
            credit[customer, rank] += rate * 0.01
            while credit[customer, rank] >= 1.0 - 1e-9:
                credit[customer, rank] -= 1.0
                play.send(
                    fakes.ask_plain,
                    max_load=MAX_LOAD,
                    customer=customer,
                    rank=rank,
                    wait=2000,
                    lifetime_milliseconds=4000,
                    target_milliseconds=1500,
                )
        await trio.sleep(0.01)
    await trio.sleep(5.0)


def outcome(play, **fields):
    """Returns the share granted and the median and longest wait."""
    chosen = [
        sent
        for sent in play.sent.values()
        if all(getattr(sent.message, k) == v for k, v in fields.items())
    ]
    waits = [sent.waited for sent in chosen if sent.granted_at is not None]
    share = len(waits) / len(chosen)
    return share, statistics.median(waits), max(waits)


async def test_customer_with_a_surge_does_not_delay_the_others(
    play, autojump_clock
):
    # One of six customers sends six times its usual load, so that all ask for
    # half as much again as is served. In the order of arrival each would get
    # two thirds of what it asks for, after the longest wait.
    rates = dict.fromkeys([(customer, 5) for customer in range(2, 7)], 12.0)
    rates[1, 5] = 6 * 12.0
    await send_plain(play, 10.0, rates)
    results = {n: outcome(play, customer=n) for n in range(1, 7)}
    assert play.most_running <= MAX_LOAD
    for customer in range(2, 7):
        share, median, _ = results[customer]
        assert share >= 0.95
        assert median <= 0.3
    assert results[1][0] >= 0.15


async def test_urgent_requests_go_first(play, autojump_clock):
    # All ranks together exceed what the upstream serves, the urgent do not.
    rates = {(1, 0): 60.0, (2, 5): 20.0, (3, 9): 30.0}
    await send_plain(play, 10.0, rates)
    results = {rank: outcome(play, rank=rank) for rank in (0, 5, 9)}
    assert play.most_running <= MAX_LOAD
    assert results[0][0] == 1.0
    assert results[0][1] <= 0.2
    assert results[0][1] < results[9][1]


async def test_least_urgent_requests_do_not_starve(play, autojump_clock):
    # Urgent requests alone exceed what the upstream serves.
    rates = {(1, 0): 100.0, (2, 5): 10.0, (3, 9): 10.0}
    await send_plain(play, 10.0, rates)
    assert outcome(play, rank=9)[0] >= 0.3
