"""Questions to the owners of upstreams."""

from __future__ import annotations

import pytest
import trio

from lavenderbend.coordination.forwarding import owner_calls
from lavenderbend.protocol import messages_forwarding

HOST = '10.0.0.2'


class Link:
    """Answers each question after a time.

    Attributes:
        seconds: Seconds until a reply.
        sent: Numbers of the questions sent.
    """

    def __init__(self, nursery):
        self.nursery = nursery
        self.seconds = 0.0
        self.sent = []
        self.calls = owner_calls.OwnerCalls(self)

    def send(self, host, request):
        self.sent.append(request.number)
        self.nursery.start_soon(self.reply, request)

    async def reply(self, request):
        await trio.sleep(self.seconds)
        self.calls.take(
            messages_forwarding.ReservationReply(
                request.number, HOST, request.upstream, 0, 0, []
            )
        )


@pytest.fixture
def link(nursery):
    return Link(nursery)


async def ask(link, count, zone='sala-b'):
    """Asks some questions, and returns how often each was sent."""
    times = []
    for _ in range(count):
        number = len(link.sent)
        request = messages_forwarding.ReservationRequest(
            number, '10.0.0.1', 7, zone, 0, 0, 0, 1000
        )
        await link.calls.call(HOST, request)
        times.append(link.sent.count(number))
    return times


async def test_question_over_a_slow_link_is_sent_once(link, autojump_clock):
    """Guards against twice the messages where links take 5 ms each way."""
    link.seconds = 0.0105
    assert await ask(link, 3) == [2, 1, 1]


async def test_question_whose_reply_is_lost_is_sent_again(link, autojump_clock):
    """Guards against requests that wait for a lost reply."""
    link.seconds = 0.002
    await ask(link, 5)
    link.seconds = 10.0
    begun = trio.current_time()
    assert await ask(link, 1) == [2]
    waited = trio.current_time() - begun
    assert waited == pytest.approx(owner_calls.REPLY_TIMEOUT_SECONDS)


async def test_slow_replies_of_one_zone_delay_no_other(link, autojump_clock):
    """Guards against long waits for a dead owner in a near zone."""
    link.seconds = 0.0105
    await ask(link, 5)
    near = owner_calls.RETRANSMIT_SECONDS
    assert link.calls.retransmit_seconds('sala-a') == near
    assert link.calls.retransmit_seconds('sala-b') > near


async def test_wait_for_a_reply_is_bounded(link, autojump_clock):
    """Guards against requests held by routers that are overloaded."""
    for _ in range(100):
        link.calls.note_reply_seconds('sala-b', 5.0)
    longest = owner_calls.MAX_RETRANSMIT_SECONDS
    assert link.calls.retransmit_seconds('sala-b') == longest
