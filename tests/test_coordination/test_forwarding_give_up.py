"""Upstreams whose bytes arrive just as their attempt is ended as silent."""

from __future__ import annotations

import pytest
import trio

from lavenderbend import errors
from lavenderbend.coordination.forwarding import silence
from tests import forwarding_fakes as fakes

EVENTS = 6
SCHEDULES = 16
RULE = fakes.rule(streaming=True, resumable=True, attempts=2)


def event(number):
    return b'id: %d\ndata: x%d\n\n' % (number, number)


class PausingExchange(fakes.Exchange):
    """Delivers events like a socket: once read they are gone from it.

    The first upstream sends some events, pauses for whole periods of the
    router's silence check, and continues. The pause ends in the same pass of
    the event loop in which the router checks for silence.
    """

    async def send(self, request):
        self.exchanges.sent.append((self.instance, request))
        last = dict(request.headers).get(b'last-event-id', b'0')
        first = int(last) + 1
        self.queue, self.events = trio.open_memory_channel(EVENTS + 1)
        pause = self.exchanges.pause if len(self.exchanges.sent) == 1 else 0
        self.exchanges.nursery.start_soon(self.stream, first, pause)
        return fakes.reply().head

    async def stream(self, first, pause):
        half = first + 1
        for number in range(first, EVENTS + 1):
            if number == half:
                for _ in range(pause):
                    await trio.sleep(silence.CHECK_SECONDS)
            self.queue.send_nowait(event(number))
        self.queue.send_nowait(None)

    async def read(self):
        return await self.events.receive()


class PausingExchanges(fakes.Exchanges):
    nursery = None
    pause = 0

    async def open(self, upstream, repeatable):
        return PausingExchange(self, upstream.instance, fakes.reply())


async def send_request(schedule, pause):
    """Returns the caller's response and the number of attempts."""
    trio._core._run._r.seed(schedule)
    exchanges = PausingExchanges()
    exchanges.pause = pause
    upstreams = [fakes.upstream('e1'), fakes.upstream('e2')]
    content = fakes.snapshot(1, fakes.table(1, (RULE,)), *upstreams)
    router = fakes.Router(content, exchanges)
    answer = fakes.Answer()
    async with trio.open_nursery() as nursery:
        exchanges.nursery = nursery
        nursery.start_soon(router.silence.run)
        try:
            await router.forwarder.forward(fakes.request(), answer)
        except errors.RequestError:
            pass
        nursery.cancel_scope.cancel()
    return answer, len(exchanges.sent)


@pytest.mark.parametrize('pause', [4, 5, 6])
async def test_event_arriving_as_the_attempt_is_ended_is_not_lost(
    pause, autojump_clock
):
    # Guards against a complete response that lacks an event. An engine paused
    # for half a second and was judged silent in the event loop pass in which
    # its next event was read: the event was counted, its write was cancelled,
    # and the next engine resumed after it. The order of tasks within a pass is
    # random; each order must be correct.
    whole = b''.join(event(number) for number in range(1, EVENTS + 1))
    send_counts = set()
    incomplete = {}
    for schedule in range(SCHEDULES):
        answer, sent = await send_request(schedule, pause)
        send_counts.add(sent)
        if answer.body != whole or not answer.finished:
            incomplete[schedule] = (answer.body, answer.finished)
    assert incomplete == {}
    # A pause of four checks is below the limit, longer ones are above it.
    assert (2 in send_counts) == (pause > 4)
