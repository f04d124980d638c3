"""Which requests with a prompt are placed, wait or are refused."""

from __future__ import annotations

import random

import pytest
import trio

from lavenderbend import errors
from lavenderbend.coordination.forwarding import request_resolver
from lavenderbend.coordination.forwarding.admission import refusals
from tests import waiting_entry as fakes

Shortage = fakes.Shortage
Stated = fakes.Stated
LATE = Stated(Shortage.TIME, 9.0)
FULL_QUEUE = Stated(Shortage.QUEUE, 1.0)
READING = Stated(Shortage.READING, 0.6, queues=True)


def state_all(entry, stated):
    entry.owner.stated = dict.fromkeys(entry.names, stated)


async def test_request_that_begins_too_late_is_refused(autojump_clock):
    # Guards against work for requests that miss their deadline.
    entry = fakes.Entry(count=3)
    state_all(entry, LATE)
    entry.router.loads.own.update(entry.names)
    with pytest.raises(errors.BeginsTooLate) as caught:
        await entry.chooser.choose(fakes.ticket(seconds=2.0))
    error = caught.value
    assert (error.status, error.outcome) == (503, errors.Outcome.NOT_RUN)
    assert 1 / 3 - 0.01 <= error.retry_after <= 2 / 3
    assert entry.owner.all_released()


@pytest.mark.parametrize('sent', ['sent_to', 'may_have_run'])
async def test_request_that_was_sent_is_not_refused(autojump_clock, sent):
    # Guards against: a caller is told that a non-idempotent request did not
    # run although an upstream has had it.
    entry = fakes.Entry(count=3)
    state_all(entry, LATE)
    subject = fakes.ticket()
    setattr(subject, sent, ['u0'] if sent == 'sent_to' else True)
    chosen = await entry.chooser.choose(subject)
    assert chosen.upstream is not None


async def test_nothing_is_refused_while_an_upstream_has_room(autojump_clock):
    # Guards against refusals by the few upstreams that are asked first.
    entry = fakes.Entry(count=20)
    state_all(entry, LATE)
    entry.router.loads.own.update(entry.names)
    free = entry.order()[-1]
    del entry.owner.stated[free]
    entry.router.loads.own[free] = 0
    chosen = await entry.chooser.choose(fakes.ticket())
    assert chosen.upstream.instance == free
    assert len(entry.owner.asked) <= 6


async def test_nothing_is_refused_while_an_owner_is_silent(autojump_clock):
    # Guards against a refusal while nobody knows of an upstream.
    entry = fakes.Entry(count=3)
    state_all(entry, LATE)
    entry.owner.silent.add(entry.order()[1])
    assert (await entry.chooser.choose(fakes.ticket())).upstream is not None


async def test_request_is_placed_if_all_queues_are_full(autojump_clock):
    # Guards against refusals of requests that may yet begin in time.
    entry = fakes.Entry(count=3)
    state_all(entry, FULL_QUEUE)
    subject = fakes.ticket()
    chosen = await entry.chooser.choose(subject)
    assert chosen.upstream is not None
    assert subject.reservation is None


async def test_request_is_placed_when_it_has_waited(autojump_clock):
    # Guards against waits beyond queue_seconds.
    entry = fakes.Entry(count=3, queue_seconds=1.0)
    state_all(entry, READING)
    subject = fakes.ticket()
    start = trio.current_time()
    chosen = await entry.chooser.choose(subject)
    assert trio.current_time() - start == pytest.approx(1.0, abs=0.01)
    assert chosen.upstream is not None
    assert subject.waited_seconds == pytest.approx(1.0)


async def test_wait_until_the_deadline_is_refused_before_it(autojump_clock):
    # Guards against a request that is cut off without a Retry-After.
    entry = fakes.Entry(count=3)
    state_all(entry, READING)
    start = trio.current_time()
    with pytest.raises(errors.BeginsTooLate):
        await entry.chooser.choose(fakes.ticket(seconds=1.0))
    assert trio.current_time() - start < 1.0


async def test_chat_waits_where_its_prompt_is_processed(
    autojump_clock, nursery
):
    # Guards against a prompt that is read again at another upstream.
    entry = fakes.Entry()
    home = entry.order()[0]
    entry.owner.stated[home] = Stated(Shortage.CHAT, 0.2, queues=True)
    nursery.start_soon(entry.push_later, home, 0.15)
    subject = fakes.ticket()
    chosen = await entry.chooser.choose(subject)
    assert chosen.upstream.instance == home
    assert subject.waited_seconds == pytest.approx(0.15)
    kept = subject.reservation.reservation.number
    assert entry.owner.all_released({kept})


async def test_granted_offer_is_taken_if_none_begins_clearly_sooner(
    autojump_clock,
):
    # Guards against waits while another upstream is free.
    entry = fakes.Entry()
    home, second, *_ = entry.order()
    entry.owner.stated[home] = READING
    subject = fakes.ticket()
    chosen = await entry.chooser.choose(subject)
    assert chosen.upstream.instance == second
    assert subject.waited_seconds == 0.0
    assert chosen.passed_over[0].reason == 'no room: reading'


async def test_request_waits_where_it_begins_first(autojump_clock, nursery):
    # Guards against a wait at a slow upstream beside a fast one.
    entry = fakes.Entry(count=3)
    state_all(entry, Stated(Shortage.READING, 2.0, queues=True))
    fast = entry.order()[2]
    entry.owner.stated[fast] = READING
    nursery.start_soon(entry.push_later, fast, 0.3)
    chosen = await entry.chooser.choose(fakes.ticket())
    assert chosen.upstream.instance == fast


async def test_upstream_that_leaves_while_waiting_is_not_chosen(
    autojump_clock, nursery
):
    # Guards against: the upstream leaves while a request waits for it.
    entry = fakes.Entry(count=3)
    state_all(entry, Stated(Shortage.READING, 2.0, queues=True))
    first = entry.order()[0]
    entry.owner.stated[first] = READING

    async def leave():
        await trio.sleep(0.25)
        entry.router.directory.replaced.add(first)
        entry.owner.stated = {}

    nursery.start_soon(leave)
    subject = fakes.ticket()
    chosen = await entry.chooser.choose(subject)
    assert chosen.upstream.instance != first
    assert subject.reservation.reservation.instance != first


async def test_cancelled_request_releases_everything(autojump_clock):
    # Guards against: the entry's request is cancelled while it waits.
    entry = fakes.Entry(count=3)
    state_all(entry, READING)
    with trio.move_on_after(0.15):
        await entry.chooser.choose(fakes.ticket())
    waited = entry.owner.asked[-1][1].number
    assert waited in entry.owner.ended
    assert not entry.client.waiting


async def test_grant_over_the_load_bound_is_not_used(autojump_clock, nursery):
    # Guards against a grant that exceeds the bound by what the entry knows.
    entry = fakes.Entry(count=2)
    state_all(entry, READING)
    home, second = entry.order()

    async def grant():
        await trio.sleep(0.05)
        entry.router.loads.note_report(home, b'30,0,6')
        entry.owner.stated[second] = Stated()
        entry.push_grant(home)

    nursery.start_soon(grant)
    chosen = await entry.chooser.choose(fakes.ticket())
    assert chosen.upstream.instance == second


@pytest.mark.parametrize(
    ('fleet', 'queue_seconds', 'asked'), [(20, 0.0, 1), (12, 4.0, 0)]
)
async def test_nothing_changes_without_waiting(
    autojump_clock, fleet, queue_seconds, asked
):
    # Guards against new behavior where the page allows none.
    entry = fakes.Entry(fleet=fleet, queue_seconds=queue_seconds)
    await entry.chooser.choose(fakes.ticket())
    requests = [request for _, request in entry.owner.asked]
    assert len(requests) == asked
    assert not any(one.checks_room or one.max_load for one in requests)


async def test_offers_name_the_load_bound(autojump_clock):
    # Guards against grants above the bound that the entry keeps.
    entry = fakes.Entry()
    chosen = await entry.chooser.choose(fakes.ticket())
    _, request = entry.owner.asked[0]
    assert request.max_load == chosen.allowed
    assert request.checks_room
    assert request.wait_milliseconds == 0


@pytest.mark.parametrize(
    ('expected', 'left', 'longest'),
    [(9.0, 1.5, 0.5), (9.0, 30.0, 1.0), (0.2, 3.0, 0.2)],
)
def test_retry_after_is_short_and_spread(expected, left, longest):
    # Guards against callers that come again together or after their deadline.
    rng = random.Random(1)
    seconds = [
        refusals.retry_after_seconds(expected, left, rng) for _ in range(200)
    ]
    assert longest / 2 <= min(seconds) < 0.6 * longest
    assert 0.9 * longest < max(seconds) <= longest


@pytest.mark.parametrize(
    ('most', 'hint', 'tokens'),
    [(400, 0, 400), (400, 100, 100), (400, 900, 400), (0, 90, 90), (0, 0, 0)],
)
def test_output_is_expected_from_what_the_caller_states(most, hint, tokens):
    # Guards against memory that is reserved for output that cannot come.
    assert request_resolver.expected_output(most, hint) == tokens


@pytest.mark.parametrize('text', ['', 'x', '-5', '1' * 10, '4.5', '²'])
def test_malformed_token_header_states_nothing(text):
    # Guards against a request that fails for a malformed header.
    assert request_resolver.parse_tokens(text) == 0
