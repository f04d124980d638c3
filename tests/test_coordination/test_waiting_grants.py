"""Waits of an entry for the grants of owners, against owners of the test."""

from __future__ import annotations

import random

import pytest
import trio

from lavenderbend.coordination.forwarding import loads
from lavenderbend.coordination.forwarding import owned_loads
from lavenderbend.coordination.forwarding import reservations
from lavenderbend.coordination.forwarding.admission import demand
from lavenderbend.coordination.forwarding.admission import grants
from lavenderbend.protocol import messages_forwarding
from lavenderbend.state import hashing
from tests import forwarding_fakes as fakes

HOST = '10.0.0.1'
OWNER = '10.0.0.2'
PROMPT = reservations.PromptSummary(chat=77, tokens=9000, own_tokens=500)
NEED = demand.Demand(9000, 500, chat=77, rank=1)
GRANTED = messages_forwarding.ReservationOutcome.GRANTED
WAITING = messages_forwarding.ReservationOutcome.WAITING
DECLINED = messages_forwarding.ReservationOutcome.DECLINED
ENDED = owned_loads.NoteKind.ENDED
UPSTREAM = fakes.upstream('u1')
SHORT = hashing.short_id(UPSTREAM.instance)


class Owners:
    """Names one owner for all upstreams."""

    def __init__(self):
        self.owner = OWNER
        self.unresponsive = []

    def router_to_ask(self, upstream, zone):
        return self.owner

    def relay_target(self, request):
        return HOST

    def note_owner(self, upstream, host):
        pass

    def note_unresponsive(self, host):
        self.unresponsive.append(host)


class Link:
    """Records messages, and answers reservation requests as a test says.

    Attributes:
        outcomes: Outcomes of the next requests, the last one repeated; None
            leaves a request without a reply.
    """

    def __init__(self):
        self.outcomes = [WAITING]
        self.requests = []
        self.rows = []
        self.client = None

    def send(self, host, message):
        if isinstance(message, messages_forwarding.ReservationNotes):
            self.rows += message.rows
            return
        self.requests.append((host, message))
        outcomes = self.outcomes
        outcome = outcomes.pop(0) if len(outcomes) > 1 else outcomes[0]
        if outcome is not None:
            self.client.on_reply(reply(message.number, outcome))

    def ended(self):
        return [row[1] for row in self.rows if row[0] == ENDED]


def reply(number, outcome, owner=OWNER, load=0):
    return messages_forwarding.ReservationReply(
        number, owner, SHORT, load, 0, [], int(outcome)
    )


@pytest.fixture
async def client(autojump_clock):
    link = Link()
    made = reservations.Reservations(
        HOST, Owners(), link, random.Random(1), lambda short: None
    )
    link.client = made
    return made


async def begin(client, wait_seconds=2.0):
    return await client.reserve(UPSTREAM, PROMPT, 5.0, 8, NEED, wait_seconds)


async def wait(client, reservation, usable=lambda: True, max_load=lambda: 8):
    return await grants.Grants(client).wait(reservation, usable, max_load)


async def push_later(client, number, outcome=GRANTED, seconds=0.05):
    await trio.sleep(seconds)
    client.on_reply(reply(number, outcome))


async def test_request_says_what_it_needs_and_how_long_it_waits(
    client, autojump_clock
):
    # Guards against an owner that queues a request which cannot wait.
    await begin(client, 0.0)
    await begin(client, 1.5)
    first, second = (message for _, message in client.link.requests)
    assert (first.checks_room, first.wait_milliseconds) == (True, 0)
    assert (second.rank, second.wait_milliseconds) == (1, 1500)
    assert first.number != second.number


async def test_pushed_grant_ends_the_wait_at_once(
    client, nursery, autojump_clock
):
    # Guards against a pushed grant that is released as a late reply is.
    reservation = await begin(client)
    nursery.start_soon(push_later, client, reservation.number)
    start = trio.current_time()
    assert await wait(client, reservation) is reservation
    assert trio.current_time() - start == pytest.approx(0.05)
    client.on_reply(reply(reservation.number, GRANTED))
    client.flush()
    assert client.link.ended() == []


async def test_lost_grant_is_fetched_by_the_next_resend(client, autojump_clock):
    # Guards against: the pushed grant is lost.
    client.link.outcomes = [WAITING, WAITING, GRANTED]
    reservation = await begin(client)
    start = trio.current_time()
    assert await wait(client, reservation) is reservation
    assert trio.current_time() - start == pytest.approx(0.2)
    numbers = {message.number for _, message in client.link.requests}
    assert numbers == {reservation.number}


async def test_older_state_after_a_grant_does_not_undo_it(
    client, autojump_clock
):
    # Guards against a reply that was sent before the grant and arrives after.
    reservation = await begin(client)
    client.on_reply(reply(reservation.number, GRANTED))
    client.on_reply(reply(reservation.number, WAITING))
    assert await wait(client, reservation) is reservation


async def test_killed_owner_ends_the_wait_after_two_resends(
    client, autojump_clock
):
    # Guards against: the owner is killed while a request waits there.
    reservation = await begin(client)
    client.link.outcomes = [None]
    start = trio.current_time()
    assert await wait(client, reservation) is None
    assert reservation.wait_end is grants.WaitEnd.SILENT
    assert trio.current_time() - start <= 0.3 + 0.01
    assert client.owners.unresponsive == [OWNER]
    assert client.link.ended()[:1] == [reservation.number]


async def test_paused_owner_that_replies_late_keeps_nothing(
    client, autojump_clock
):
    # Guards against: the owner was paused and grants what the entry gave up.
    reservation = await begin(client)
    client.link.outcomes = [None]
    await wait(client, reservation)
    client.flush()
    client.link.rows.clear()
    client.on_reply(reply(reservation.number, GRANTED))
    client.flush()
    assert client.link.ended() == [reservation.number]


async def test_one_lost_resend_does_not_end_the_wait(
    client, nursery, autojump_clock
):
    # Guards against a wait that a single lost message ends.
    client.link.outcomes = [WAITING, None, WAITING, None, GRANTED]
    assert await wait(client, await begin(client)) is not None


async def test_cancelled_request_leaves_the_queue_at_once(
    client, autojump_clock
):
    # Guards against: the caller leaves, and its request keeps its place.
    reservation = await begin(client)
    with trio.move_on_after(0.15):
        await wait(client, reservation)
    assert reservation.wait_end is grants.WaitEnd.CANCELLED
    assert client.link.ended() == [reservation.number]
    assert not client.waiting


async def test_upstream_that_leaves_ends_the_wait(client, autojump_clock):
    # Guards against: the upstream leaves or is avoided while requests wait.
    reservation = await begin(client)
    gone_at = trio.current_time() + 0.15
    assert (
        await wait(client, reservation, lambda: trio.current_time() < gone_at)
        is None
    )
    assert reservation.wait_end is grants.WaitEnd.UNUSABLE
    assert client.link.ended() == [reservation.number]


async def test_grant_of_an_upstream_that_left_is_released(
    client, autojump_clock
):
    # Guards against a grant that arrives together with the departure.
    reservation = await begin(client)
    client.on_reply(reply(reservation.number, GRANTED))
    assert await wait(client, reservation, lambda: False) is None
    assert client.link.ended() == [reservation.number]


async def test_wait_ends_when_the_time_to_wait_has_passed(
    client, autojump_clock
):
    # Guards against a wait beyond queue_seconds.
    reservation = await begin(client, 0.75)
    start = trio.current_time()
    assert await wait(client, reservation) is None
    assert trio.current_time() - start == pytest.approx(0.75)
    assert reservation.wait_end is grants.WaitEnd.TIMED_OUT


async def test_reply_of_an_older_build_is_a_grant(client, autojump_clock):
    # Guards against: an owner of the previous build states no outcome.
    client.link.outcomes = [GRANTED]
    reservation = await begin(client)
    assert reservation.granted
    assert not client.waiting


async def test_older_build_that_counted_nothing_grants_nothing(
    client, autojump_clock
):
    # Guards against: an owner of the previous build at its max_load counts no
    # request and says so only by the load.
    client.link.send = lambda host, message: client.on_reply(
        reply(message.number, GRANTED, load=8)
    )
    reservation = await begin(client)
    assert not reservation.granted


async def test_declined_request_is_not_released(client, autojump_clock):
    # Guards against notes for what was never counted.
    client.link.outcomes = [DECLINED]
    client.release(await begin(client, 0.0))
    client.flush()
    assert client.link.rows == []


async def test_new_owner_takes_the_wait_over(client, autojump_clock):
    # Guards against: two routers both own an upstream, and the end of the wait
    # goes to the one that has nothing.
    reservation = await begin(client)
    client.on_reply(reply(reservation.number, WAITING, '10.0.0.3'))
    client.link.outcomes = [None]
    await wait(client, reservation)
    assert {host for host, _ in client.link.requests[1:]} == {'10.0.0.3'}


async def test_router_waits_at_itself(client, nursery, autojump_clock):
    # Guards against an entry that owns the upstream and never hears of a grant.
    client.owners.owner = HOST
    nursery.start_soon(client.run)
    await trio.sleep(0.0)
    first = await begin(client, 0.0)
    second = await begin(client)
    assert first.granted
    assert second.outcome == WAITING
    start = trio.current_time()
    client.queue_note(first, owned_loads.NoteKind.BEGUN, 77)
    assert await wait(client, second) is second
    assert trio.current_time() - start <= 0.1


async def test_pace_is_sent_once_to_the_owner(client, autojump_clock):
    # Guards against an older pace whose second copy replaces a newer one.
    client.note_pace(UPSTREAM, None, 250)
    client.note_pace(UPSTREAM, None, 260)
    client.flush()
    client.flush()
    assert client.link.rows == [[owned_loads.NoteKind.PACE, 0, SHORT, 0, 250]]


@pytest.mark.parametrize(
    ('value', 'percent'),
    [
        (b'1,0,6,250', 250),
        (b'1,0,6, 100', 100),
        (b'1,0,6', None),
        (b'1,0,6,9', None),
        (b'1,0,6,10001', None),
        (b'1,0,6,-5', None),
        (b'1,0,6,x', None),
        (b'1,0,6,2.5', None),
    ],
)
def test_malformed_pace_is_ignored(value, percent):
    # Guards against wrong load headers that stop an upstream's grants.
    assert loads.parse_pace(value) == percent


async def test_resends_name_the_load_bound_of_their_time(
    client, autojump_clock
):
    """Guards against requests that wait until a risen load has fallen."""
    reservation = await begin(client)
    bounds = iter((9, 12, 15, 18, 21))
    with trio.move_on_after(0.35):
        await wait(client, reservation, max_load=lambda: next(bounds))
    sent = [request.max_load for _, request in client.link.requests]
    assert sent == [8, 9, 12, 15]


async def test_resends_name_the_time_that_is_left(client, autojump_clock):
    """Guards against a new owner that gives a late request all its time."""
    reservation = await begin(client)
    with trio.move_on_after(0.25):
        await wait(client, reservation)
    first, *_, last = [request for _, request in client.link.requests]
    assert first.lifetime_milliseconds - last.lifetime_milliseconds == 200
    assert first.wait_milliseconds - last.wait_milliseconds == 200
    assert last.target_milliseconds <= first.target_milliseconds


async def test_request_cancelled_before_a_reply_is_released(
    client, autojump_clock
):
    """Guards against a request counted until its deadline, though unused."""
    client.link.outcomes = [None]
    with trio.move_on_after(0.001):
        await begin(client)
    client.flush()
    _, request = client.link.requests[0]
    assert client.link.ended() == [request.number]


async def test_previous_build_over_its_limit_grants_no_resend(
    client, autojump_clock
):
    """Guards against a request that is sent though nobody counts it."""
    reservation = await begin(client)
    full = reply(reservation.number, GRANTED, load=8)
    client.on_reply(full)
    assert await wait(client, reservation) is None
    assert reservation.wait_end is grants.WaitEnd.DECLINED
