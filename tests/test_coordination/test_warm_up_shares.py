"""Shares of the rate of requests to cold upstreams."""

from __future__ import annotations

import pytest

from lavenderbend.coordination.forwarding.warm_up import rate_shares
from lavenderbend.protocol import messages_forwarding

FIRST = rate_shares.Borrower('10.0.0.1', 1)
RESTARTED = rate_shares.Borrower('10.0.0.1', 2)
SECOND = rate_shares.Borrower('10.0.0.2', 1)
UPSTREAM = 7


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def lender(clock):
    lender = rate_shares.Lender(clock, lambda: 3)
    clock.now += rate_shares.SEPARATION_SECONDS
    return lender


@pytest.fixture
def shares(clock):
    return rate_shares.BorrowedShares(clock)


def reply(host, asked_at, routers=3):
    return messages_forwarding.RateShareReply(
        host, 1, asked_at, routers, [UPSTREAM]
    )


def test_router_that_was_restarted_lends_nothing_at_first(clock):
    # Guards against a share that it lent to another owner before.
    lender = rate_shares.Lender(clock, lambda: 3)
    clock.now += rate_shares.SEPARATION_SECONDS - 0.1
    assert lender.lend(FIRST, [UPSTREAM]) == []
    clock.now += 0.2
    assert lender.lend(FIRST, [UPSTREAM]) == [UPSTREAM]


def test_router_that_does_not_know_its_zone_lends_nothing(clock):
    lender = rate_shares.Lender(clock, lambda: 0)
    clock.now += 100.0
    assert lender.lend(FIRST, [UPSTREAM]) == []


def test_share_is_lent_to_one_owner_at_a_time(lender, clock):
    assert lender.lend(FIRST, [UPSTREAM]) == [UPSTREAM]
    assert lender.lend(SECOND, [UPSTREAM, 8]) == [8]
    clock.now += rate_shares.SEPARATION_SECONDS - 0.1
    assert lender.lend(SECOND, [UPSTREAM]) == []
    clock.now += 0.2
    assert lender.lend(SECOND, [UPSTREAM]) == [UPSTREAM]


def test_owner_that_was_restarted_is_another_owner(lender):
    # Guards against an owner that forgot what it permitted a moment ago.
    lender.lend(FIRST, [UPSTREAM])
    assert lender.lend(RESTARTED, [UPSTREAM]) == []


def test_loans_that_hinder_nobody_are_removed(lender, clock):
    lender.lend(FIRST, [UPSTREAM])
    clock.now += rate_shares.SEPARATION_SECONDS + 0.1
    lender.remove_expired()
    assert not lender.loans


def test_owner_permits_as_much_as_it_was_lent(shares, clock):
    assert not shares.try_permit('a', 1, 20.0)
    shares.add(reply('10.0.0.1', clock.now))
    permitted = [shares.try_permit('a', n, 20.0) for n in range(30)]
    assert sum(permitted) == 6
    for number in (2, 3):
        shares.add(reply(f'10.0.0.{number}', clock.now))
    permitted = [shares.try_permit('b', n, 20.0) for n in range(30)]
    assert sum(permitted) == 14


def test_question_that_arrives_twice_is_permitted_once(shares, clock):
    shares.add(reply('10.0.0.1', clock.now, routers=1))
    assert all(shares.try_permit('a', 1, 1.0) for _ in range(3))
    assert not shares.try_permit('a', 2, 1.0)


def test_lenders_that_count_too_few_routers_give_no_more(shares, clock):
    # Guards against routers that have just started and know few others.
    shares.add(reply('10.0.0.1', clock.now, routers=28))
    shares.add(reply('10.0.0.2', clock.now, routers=1))
    assert shares.fraction() == pytest.approx(2 / 28)


def test_shares_end(shares, clock):
    shares.add(reply('10.0.0.1', clock.now, routers=1))
    clock.now += rate_shares.LOAN_SECONDS + 0.1
    assert not shares.try_permit('a', 1, 20.0)


def test_late_reply_does_not_shorten_a_loan(shares, clock):
    shares.add(reply('10.0.0.1', clock.now, routers=1))
    shares.add(reply('10.0.0.1', clock.now - 0.9, routers=1))
    clock.now += 0.5
    assert shares.fraction() == 1.0


def test_permits_return_after_the_window(shares, clock):
    for _ in range(3):
        shares.add(reply('10.0.0.1', clock.now, routers=1))
        assert shares.try_permit('a', clock.now, 1.0)
        assert not shares.try_permit('b', clock.now, 1.0)
        assert shares.wait_seconds() == pytest.approx(
            rate_shares.WINDOW_SECONDS
        )
        clock.now += rate_shares.WINDOW_SECONDS
