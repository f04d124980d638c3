"""The owner's decisions on requests that it may decline or queue."""

from __future__ import annotations

import time

import pytest
import trio

from lavenderbend.coordination.forwarding import loads
from lavenderbend.coordination.forwarding import owned_loads
from lavenderbend.coordination.forwarding.admission import owner_queue
from lavenderbend.coordination.forwarding.admission import room
from lavenderbend.coordination.forwarding.admission import waiting
from lavenderbend.protocol import messages_forwarding
from tests import admission_fakes as fakes

Outcome = messages_forwarding.ReservationOutcome
Shortage = messages_forwarding.Shortage
GRANTED = (Outcome.GRANTED, Shortage.NONE)
ask = fakes.ask


@pytest.fixture
def grants():
    return []


@pytest.fixture
def owned(autojump_clock, grants):
    result = owned_loads.OwnedLoads('10.0.0.1')
    result.on_grant = lambda host, reply: grants.append((host, reply.number))
    return result


def state(reply):
    return reply.outcome, reply.shortage


async def test_request_that_fits_is_counted(owned, autojump_clock):
    assert state(owned.reserve(ask(1))) == GRANTED
    assert owned.load(fakes.UPSTREAM) == 1


async def test_offer_that_does_not_fit_is_declined_and_not_counted(
    owned, autojump_clock
):
    # A declined offer that was counted would hold room until its deadline.
    owned.reserve(ask(1))
    reply = owned.reserve(ask(2, wait=0))
    assert state(reply) == (Outcome.DECLINED, Shortage.READING)
    assert (reply.load, reply.unread_tokens) == (1, 9000)
    assert reply.expected_milliseconds == 225
    assert owned.load(fakes.UPSTREAM) == 1
    assert not owned.queue.queues


async def test_waiting_request_is_not_counted(owned, autojump_clock):
    # Counted waiting requests would keep themselves from being granted.
    owned.reserve(ask(1))
    reply = owned.reserve(ask(2))
    assert state(reply) == (Outcome.WAITING, Shortage.READING)
    assert (reply.load, reply.queued) == (1, 1)
    assert owned.load(fakes.UPSTREAM) == 1


@pytest.mark.parametrize('finish', [fakes.begin, fakes.end])
async def test_note_grants_the_next_request(
    owned, grants, autojump_clock, finish
):
    owned.reserve(ask(1))
    owned.reserve(ask(2))
    finish(owned, 1)
    assert grants == [(fakes.ENTRY, 2)]
    assert not owned.queue.queues


async def test_expired_reading_grants_the_next_request(
    owned, grants, autojump_clock
):
    # The note that the upstream has begun was lost, twice.
    owned.reserve(ask(1))
    for _ in range(15):
        owned.reserve(ask(2))
        await trio.sleep(0.1)
        owned.grant_ready()
    assert grants == [(fakes.ENTRY, 2)]
    assert trio.current_time() == pytest.approx(room.READING_SECONDS)


async def test_expired_reservation_grants_the_next_request(
    owned, grants, autojump_clock
):
    # The router that sent the first request is dead.
    owned.reserve(fakes.ask_plain(1, max_load=1, lifetime_milliseconds=250))
    owned.reserve(fakes.ask_plain(2, max_load=1))
    await trio.sleep(0.3)
    owned.grant_ready()
    assert grants == [(fakes.ENTRY, 2)]


async def test_load_report_grants_the_next_request(autojump_clock, grants):
    # Requests that this owner does not count have ended, and no note says so.
    reports = [loads.LoadReport(3, trio.current_time())]
    owned = owned_loads.OwnedLoads('10.0.0.1', lambda upstream: reports[-1])
    owned.on_grant = lambda host, reply: grants.append(reply.number)
    assert owned.reserve(fakes.ask_plain(1)).outcome == Outcome.WAITING
    await trio.sleep(0.2)
    reports.append(loads.LoadReport(0, trio.current_time()))
    owned.grant_ready()
    assert grants == [1]


async def test_resend_of_a_granted_request_returns_its_grant(
    owned, autojump_clock
):
    # The unsolicited grant was lost; its resend must not be counted again.
    owned.reserve(ask(1))
    owned.reserve(ask(2))
    fakes.begin(owned, 1)
    first = owned.reserve(ask(2))
    await trio.sleep(0.1)
    assert state(first) == GRANTED
    assert owned.reserve(ask(2)) == first
    assert (first.load, first.unread_tokens) == (1, 0)
    assert owned.load(fakes.UPSTREAM) == 2


async def test_unheard_request_is_dropped(owned, grants, autojump_clock):
    # Its entry died; a grant would leave room unused until the deadline.
    owned.reserve(fakes.ask_plain(1, max_load=1))
    owned.reserve(fakes.ask_plain(2, max_load=1))
    await trio.sleep(owner_queue.UNHEARD_SECONDS + 0.01)
    fakes.end(owned, 1)
    assert not grants
    assert not owned.queue.queues


async def test_resent_request_is_not_dropped(owned, grants, autojump_clock):
    owned.reserve(fakes.ask_plain(1, max_load=1))
    for _ in range(10):
        owned.reserve(fakes.ask_plain(2, max_load=1))
        await trio.sleep(0.1)
        owned.grant_ready()
    fakes.end(owned, 1)
    assert grants == [(fakes.ENTRY, 2)]


async def test_end_removes_a_waiting_request(owned, grants, autojump_clock):
    # Its caller has gone; a grant would be sent to nobody.
    owned.reserve(ask(1))
    owned.reserve(ask(2))
    fakes.end(owned, 2)
    fakes.begin(owned, 1)
    assert not grants
    assert not owned.queue.queues


@pytest.mark.parametrize('waits', [True, False])
async def test_resend_after_the_end_is_not_counted(
    owned, autojump_clock, waits
):
    # A resend that was delayed in the network would be counted until its
    # deadline: its entry ignores the second reply to a question.
    if waits:
        owned.reserve(ask(1))
    owned.reserve(ask(2))
    fakes.end(owned, 2)
    assert owned.reserve(ask(2)).outcome == Outcome.DECLINED
    assert owned.load(fakes.UPSTREAM) == (1 if waits else 0)


async def test_resend_of_a_declined_offer_is_declined_again(
    owned, autojump_clock
):
    # Room became free between the two copies; the entry uses the first reply.
    owned.reserve(ask(1))
    assert owned.reserve(ask(2, wait=0)).outcome == Outcome.DECLINED
    fakes.begin(owned, 1)
    assert owned.reserve(ask(2, wait=0)).outcome == Outcome.DECLINED
    assert owned.load(fakes.UPSTREAM) == 1


async def test_deadline_that_passes_while_waiting_declines(
    owned, autojump_clock
):
    # Work for a request that misses its deadline is wasted.
    owned.reserve(fakes.ask_plain(1, max_load=1))
    late = fakes.ask_plain(2, max_load=1, lifetime_milliseconds=300)
    assert owned.reserve(late).outcome == Outcome.WAITING
    await trio.sleep(0.31)
    for _ in range(2):
        reply = owned.reserve(late)
        assert state(reply) == (Outcome.DECLINED, Shortage.TIME)
    fakes.end(owned, 1)
    assert owned.load(fakes.UPSTREAM) == 0


async def test_wait_that_ends_tells_what_was_short(owned, autojump_clock):
    # The entry places such a request by what it knows, and refuses the other.
    owned.reserve(fakes.ask_plain(1, max_load=1))
    owned.reserve(fakes.ask_plain(2, max_load=1, wait=200))
    await trio.sleep(0.21)
    reply = owned.reserve(fakes.ask_plain(2, max_load=1, wait=200))
    assert state(reply) == (Outcome.DECLINED, Shortage.REQUESTS)


@pytest.mark.parametrize('wait', [0, 3000])
async def test_request_that_would_begin_too_late_is_declined(
    owned, autojump_clock, wait
):
    # 225 ms for the prompt ahead and 225 ms for its own exceed its deadline.
    owned.reserve(ask(1))
    reply = owned.reserve(ask(2, wait=wait, lifetime_milliseconds=400))
    assert state(reply) == (Outcome.DECLINED, Shortage.TIME)


async def test_full_queue_declines_the_last_in_order(owned, autojump_clock):
    # One customer with many requests would keep all others out of the queue.
    fields = {'max_load': 1, 'lifetime_milliseconds': 60_000}
    owned.reserve(fakes.ask_plain(1, **fields))
    for number in range(2, 2 + waiting.MAX_WAITING):
        reply = owned.reserve(fakes.ask_plain(number, wait=9000, **fields))
        assert reply.outcome == Outcome.WAITING
    newest = fakes.ask_plain(400, **fields)
    reply = owned.reserve(newest)
    assert state(reply) == (Outcome.DECLINED, Shortage.QUEUE)
    urgent = fakes.ask_plain(401, rank=0, **fields)
    reply = owned.reserve(urgent)
    assert state(reply) == (Outcome.WAITING, Shortage.REQUESTS)
    last = fakes.ask_plain(1 + waiting.MAX_WAITING, wait=9000, **fields)
    reply = owned.reserve(last)
    assert state(reply) == (Outcome.DECLINED, Shortage.QUEUE)
    assert reply.queued == waiting.MAX_WAITING


async def test_chat_that_is_read_makes_its_next_request_wait(
    owned, grants, autojump_clock
):
    # The prompt would be read twice: nothing is cached until it has been read.
    owned.reserve(ask(1, 4000, chat=7))
    reply = owned.reserve(ask(2, 4000, chat=7))
    assert state(reply) == (Outcome.WAITING, Shortage.CHAT)
    assert state(owned.reserve(ask(3, 4000, chat=8))) == GRANTED
    fakes.begin(owned, 1, chat=7)
    assert grants == [(fakes.ENTRY, 2)]


async def test_expected_wait_counts_those_ahead_in_order(owned, autojump_clock):
    # An urgent request does not wait for those behind it.
    owned.reserve(ask(1, 8000))
    owned.reserve(ask(2, 8000, rank=5))
    later = owned.reserve(ask(3, 8000, rank=5, wait=0))
    urgent = owned.reserve(ask(4, 8000, rank=0, wait=0))
    assert later.expected_milliseconds == 400
    assert urgent.expected_milliseconds == 200


async def test_expected_wait_counts_each_chat_once(owned, autojump_clock):
    owned.reserve(ask(1, 8000, chat=7))
    owned.reserve(ask(2, 8000, 400, chat=7))
    owned.reserve(ask(3, 8000, 400, chat=8))
    owned.reserve(ask(4, 8000, 400, chat=8))
    reply = owned.reserve(ask(5, 8000, wait=0))
    assert reply.expected_milliseconds == (8000 + 400 + 8000 + 400) / 40


async def test_stated_pace_scales_the_expected_wait(owned, autojump_clock):
    owned.reserve(ask(1, 8000))
    fakes.note(owned, owned_loads.NoteKind.PACE, 1, value=250)
    reply = owned.reserve(ask(2, 8000, wait=0))
    assert reply.expected_milliseconds == 500


async def test_notes_measure_the_reading_rate(owned, autojump_clock):
    # A slow engine would be sent requests that miss their deadlines there.
    for number in range(1, 31):
        owned.reserve(ask(number, 8000))
        await trio.sleep(0.4)
        fakes.begin(owned, number)
        fakes.end(owned, number)
    owned.reserve(ask(98, 8000))
    reply = owned.reserve(ask(99, 8000, wait=0))
    assert reply.expected_milliseconds == pytest.approx(400, rel=0.02)


async def test_prompt_behind_others_measures_no_rate(owned, autojump_clock):
    # The first is almost done: the engine would seem to have read both within
    # a few milliseconds.
    owned.reserve(ask(1, 8000))
    await trio.sleep(0.19)
    assert state(owned.reserve(ask(2, 2000))) == GRANTED
    await trio.sleep(0.06)
    fakes.begin(owned, 2)
    pace = owned.pace(fakes.UPSTREAM)
    assert pace.reading_rate(trio.current_time()) == 40_000


async def test_wait_for_a_slot_counts_position_and_service_time(
    owned, autojump_clock
):
    owned.reserve(fakes.ask_plain(1))
    await trio.sleep(0.4)
    fakes.end(owned, 1)
    for number in (2, 3):
        assert state(owned.reserve(fakes.ask_plain(number))) == GRANTED
    waits = [
        owned.reserve(fakes.ask_plain(number)).expected_milliseconds
        for number in (4, 5, 6)
    ]
    assert waits == [200, 400, 600]


async def test_request_of_the_previous_build_is_always_counted(
    owned, autojump_clock
):
    # It cannot read a decline, and would send the request in any case.
    owned.reserve(ask(1))
    reply = owned.reserve(ask(2, checks_room=False))
    assert state(reply) == GRANTED
    assert owned.load(fakes.UPSTREAM) == 2


async def test_queue_of_a_gone_upstream_is_dropped(owned, autojump_clock):
    owned.reserve(ask(1))
    owned.reserve(ask(2))
    owned.is_present = lambda upstream: False
    owned.remove_expired()
    assert not owned.queue.queues


async def test_ended_requests_leave_no_state(owned, autojump_clock):
    # Upstreams and requests come and go for as long as a router runs.
    for number in range(1, 30):
        owned.reserve(ask(number))
        owned.reserve(ask(100 + number, wait=0))
    for number in range(1, 30):
        fakes.begin(owned, number)
        fakes.end(owned, number)
    for _ in range(2):
        await trio.sleep(80.0)
        owned.remove_expired()
    assert not owned.upstreams
    assert not owned.paces
    queue = owned.queue
    assert not (queue.queues or queue.declined or queue.checked)


async def test_note_sent_in_reply_to_a_grant_grants_the_next(
    owned, grants, autojump_clock
):
    # This router is the entry and its caller has gone: the grant is ended
    # while the owner is still granting.
    def on_grant(host, reply):
        grants.append(reply.number)
        fakes.end(owned, reply.number)

    owned.on_grant = on_grant
    for number in range(1, 6):
        owned.reserve(ask(number))
    fakes.begin(owned, 1)
    assert grants == [2, 3, 4, 5]


async def test_reservation_takes_little_processor_time(owned, autojump_clock):
    # An owner answers some thousand requests in a second.
    for number in range(20):
        owned.reserve(fakes.ask_plain(number, max_load=40))
    begin = time.process_time()
    for number in range(1000, 3000):
        owned.reserve(ask(number, 500))
        fakes.end(owned, number)
    assert (time.process_time() - begin) / 2000 < 0.0004
