"""Requests without a prompt at upstreams that reject some."""

from __future__ import annotations

import random

import pytest
import trio

from lavenderbend import errors
from lavenderbend.coordination.forwarding import facts
from lavenderbend.coordination.forwarding import rejection_limits
from lavenderbend.coordination.forwarding.admission import crowding
from tests import forwarding_fakes
from tests import waiting_entry as fakes

Shortage = fakes.Shortage
Stated = fakes.Stated
FULL = Stated(Shortage.REQUESTS, 0.2, queues=True)


def plain():
    return fakes.ticket(chat='')


def crowd(entry, *names):
    for name in names or entry.names:
        entry.crowding.note_rejected(name)


async def test_request_goes_to_the_process_with_a_free_slot(autojump_clock):
    # Guards against a request refused to its caller while a slot is free.
    entry = fakes.Entry(count=3)
    crowd(entry)
    entry.owner.stated = dict.fromkeys(entry.names, FULL)
    entry.owner.stated['u1'] = Stated(load=5)
    subject = plain()
    chosen = await entry.chooser.choose(subject)
    assert chosen.upstream.instance == 'u1'
    assert (chosen.load, chosen.allowed) == (5, 9)
    number = subject.reservation.reservation.number
    assert entry.owner.all_released({number})
    subject.reservation.note_ended()
    assert entry.owner.all_released()


async def test_owner_is_asked_for_more_than_the_slots(autojump_clock):
    # Guards against crowded upstreams that run dry between two requests.
    entry = fakes.Entry(count=3)
    crowd(entry)
    await entry.chooser.choose(plain())
    _, request = entry.owner.asked[0]
    assert request.max_load == 1.5 * fakes.SLOTS
    assert request.checks_room


async def test_request_waits_where_it_begins_first(autojump_clock, nursery):
    # Guards against a rejection while all slots are used for a moment.
    entry = fakes.Entry(count=3)
    crowd(entry)
    entry.owner.stated = dict.fromkeys(
        entry.names, Stated(Shortage.REQUESTS, 0.5, queues=True)
    )
    entry.owner.stated['u2'] = FULL
    nursery.start_soon(entry.push_later, 'u2', 0.17)
    subject = plain()
    chosen = await entry.chooser.choose(subject)
    assert chosen.upstream.instance == 'u2'
    assert subject.waited_seconds == pytest.approx(0.17)


async def test_request_is_sent_as_known_if_the_owner_is_silent(autojump_clock):
    # Guards against: the owner is killed, and its upstream gets nothing.
    entry = fakes.Entry(count=1)
    crowd(entry)
    entry.owner.silent.update(entry.names)
    subject = plain()
    assert (await entry.chooser.choose(subject)).upstream is not None
    assert subject.reservation is None


async def test_request_that_cannot_be_answered_in_time_is_refused(
    autojump_clock,
):
    # Guards against callers held until their deadline, without a second try.
    entry = fakes.Entry(count=2)
    crowd(entry)
    entry.owner.stated = dict.fromkeys(entry.names, FULL)
    subject = plain()
    begun = trio.current_time()
    with pytest.raises(errors.BeginsTooLate) as caught:
        await entry.chooser.choose(subject)
    assert trio.current_time() - begun == pytest.approx(0.25, abs=0.05)
    assert 0.0 < caught.value.retry_after <= subject.seconds_left / 3
    assert entry.owner.all_released()


async def test_request_that_has_waited_is_not_refused_if_others_may_have_room(
    autojump_clock,
):
    # Guards against a refusal while an upstream was not even asked.
    entry = fakes.Entry(count=5, queue_seconds=0.2)
    crowd(entry)
    entry.owner.stated = dict.fromkeys(entry.names, FULL)
    subject = plain()
    assert (await entry.chooser.choose(subject)).upstream is not None
    assert subject.waited_seconds == pytest.approx(0.2)


async def test_request_that_begins_too_late_is_refused(autojump_clock):
    # Guards against work for requests that miss their deadline.
    entry = fakes.Entry(count=3)
    crowd(entry)
    entry.owner.stated = dict.fromkeys(entry.names, Stated(Shortage.TIME, 9.0))
    with pytest.raises(errors.BeginsTooLate) as caught:
        await entry.chooser.choose(plain())
    assert 0.5 <= caught.value.retry_after <= 1.0


async def test_request_that_was_sent_is_not_refused(autojump_clock):
    # Guards against "not run" for a non-idempotent request that may have run.
    entry = fakes.Entry(count=3)
    crowd(entry)
    entry.owner.stated = dict.fromkeys(entry.names, Stated(Shortage.TIME, 9.0))
    subject = plain()
    subject.may_have_run = True
    assert (await entry.chooser.choose(subject)).upstream is not None


async def test_upstream_that_is_not_crowded_needs_no_grant(autojump_clock):
    # Guards against questions that cost time where nothing is short.
    entry = fakes.Entry(count=3)
    crowd(entry, 'u0', 'u1')
    entry.owner.stated = dict.fromkeys(entry.names, FULL)
    chosen = await entry.chooser.choose(plain())
    assert chosen.upstream.instance == 'u2'
    assert 'u2' not in entry.owner.instances()


@pytest.mark.parametrize(('fleet', 'queue'), [(20, 0.0), (12, 4.0)])
async def test_no_upstream_is_crowded_without_waiting(
    autojump_clock, fleet, queue
):
    # Guards against new behavior where the page allows none.
    entry = fakes.Entry(fleet=fleet, queue_seconds=queue)
    crowd(entry)
    await entry.chooser.choose(plain())
    assert not entry.owner.asked
    assert not entry.facts.entries


async def test_upstream_with_a_rejection_limit_keeps_its_own_rules(
    autojump_clock,
):
    # Guards against an upstream that crashes as it gets more than its slots.
    entry = fakes.Entry(count=1)
    crowd(entry)
    limits = rejection_limits.RejectionLimits(
        entry.router.loads, entry.facts, lambda: 20, random.Random(1)
    )
    limits.note_limit('u0', 5, 5.0)
    entry.router.chooser.rejection_limits = limits
    await entry.chooser.choose(plain())
    requests = [request for _, request in entry.owner.asked]
    assert [one.max_load for one in requests] == [fakes.SLOTS]
    assert not requests[0].checks_room


async def test_all_routers_learn_once_of_many_rejections(autojump_clock):
    # Guards against one fact for each rejection in the messages of a fleet.
    entry = fakes.Entry()
    other = crowding.Crowding(
        facts.Facts('10.0.0.2', lambda fact: None), lambda: True
    )
    other.facts.on_new_fact = other.apply_fact
    for _ in range(20):
        entry.crowding.note_rejected('u0')
        await trio.sleep(0.1)
    rows = entry.facts.rows_to_send()
    assert len(rows) == 1
    other.facts.merge_rows(rows)
    assert other.is_crowded('u0')
    await trio.sleep(crowding.CROWDED_SECONDS + 0.1)
    assert not other.is_crowded('u0')


@pytest.mark.parametrize(
    ('headers', 'crowded'), [({}, True), ({'x-leaving': '1'}, False)]
)
async def test_rejection_makes_an_upstream_crowded(
    autojump_clock, headers, crowded
):
    # Guards against an upstream that leaves and is taken for a crowded one.
    entry = fakes.Entry(count=1)
    entry.router.forwarder.attempts.crowding = entry.crowding
    entry.router.exchanges.steps['u0'] = [
        forwarding_fakes.reply(
            503, (b'',), **{'x-signature': '', 'x-not-run': '1', **headers}
        )
    ]
    await entry.router.send_request()
    assert entry.crowding.is_crowded('u0') == crowded


async def test_pace_of_an_answer_is_passed_on(autojump_clock):
    # Guards against owners that take a slow upstream for a fast one.
    entry = fakes.Entry(count=1)
    paces = []
    entry.router.forwarder.attempts.on_pace = lambda *args: paces.append(args)
    entry.router.exchanges.steps['u0'] = [
        forwarding_fakes.reply(**{'x-load': '1,0,6,250'})
    ]
    await entry.router.send_request()
    assert [args[2] for args in paces] == [250]
