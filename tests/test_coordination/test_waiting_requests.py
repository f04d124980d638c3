"""Order of the requests that wait for one upstream."""

from __future__ import annotations

import pytest

from lavenderbend.coordination.forwarding.admission import demand as demands
from lavenderbend.coordination.forwarding.admission import waiting as waitings
from tests import admission_fakes as fakes


@pytest.fixture
def queue():
    return waitings.WaitingRequests()


def add(queue, number, rank=5, customer=0, in_time=True):
    needed = demands.Demand(rank=rank, customer=customer)
    message = fakes.ask(number)
    one = waitings.WaitingRequest(message, needed, 0.0, 9.0, 0.0, in_time)
    queue.add(one)
    return one


def numbers(requests):
    return [one.message.number for one in requests]


def take_all(queue):
    taken = []
    while queue:
        one = queue.due() or next(iter(queue))
        queue.take(one)
        taken.append(one.message.number)
    return taken


def test_rank_precedes_target_and_arrival(queue):
    add(queue, 1, rank=5, in_time=False)
    add(queue, 2, rank=5)
    add(queue, 3, rank=0, in_time=False)
    add(queue, 4, rank=0)
    assert numbers(queue) == [4, 3, 2, 1]


def test_request_that_misses_its_target_lets_others_go(queue):
    # Both would miss their targets if it stayed first.
    first = add(queue, 1)
    add(queue, 2)
    queue.note_late(first)
    assert numbers(queue) == [2, 1]


def test_customers_take_turns(queue):
    # One customer sends six times as much as the other.
    for number in range(1, 7):
        add(queue, number, customer=1)
    add(queue, 7, customer=2)
    assert numbers(queue)[:2] == [1, 7]


def test_withdrawn_requests_are_not_charged(queue):
    # A customer whose requests were dropped would be served after all others.
    for number in range(1, 7):
        add(queue, number, customer=1)
    add(queue, 7, customer=2)
    add(queue, 8, customer=2)
    add(queue, 9, customer=2)
    for one in list(queue):
        if one.message.number in (1, 2, 3, 4, 6):
            queue.remove(one)
    add(queue, 10, customer=1)
    assert numbers(queue) == [5, 7, 8, 10, 9]


def test_every_fourth_grant_goes_to_the_longest_waiting(queue):
    # Urgent requests alone can fill an upstream for as long as they arrive.
    add(queue, 1, rank=9)
    add(queue, 2, rank=9)
    for number in range(3, 11):
        add(queue, number, rank=0)
    assert take_all(queue) == [3, 4, 5, 1, 6, 7, 8, 2, 9, 10]


def test_turn_that_does_not_fit_is_kept(queue):
    # Otherwise a request that rarely fits would lose each of its turns.
    longest = add(queue, 1, rank=9)
    for number in range(2, 9):
        add(queue, number, rank=0)
    for _ in range(5):
        queue.take(next(iter(queue)))
    assert queue.due() is longest


def test_removed_requests_leave_no_state(queue):
    requests = [add(queue, number, customer=number % 3) for number in range(9)]
    for one in requests:
        queue.remove(one)
        queue.remove(one)
    assert not queue
    assert not queue.queue.items
    assert not queue.queue.finish
