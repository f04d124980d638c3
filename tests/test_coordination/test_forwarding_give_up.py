"""Upstreams whose bytes come in the moment in which they are given up."""

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
    """Delivers events as a socket does: once read they are out of it.

    The first upstream sends some events, pauses for whole periods of the
    router's check, and goes on. The pause ends in the very turn of the event
    loop in which the router looks whether it is silent.
    """

    async def send(self, request):
        self.owner.sent.append((self.instance, request))
        last = dict(request.headers).get(b'last-event-id', b'0')
        first = int(last) + 1
        self.queue, self.events = trio.open_memory_channel(EVENTS + 1)
        pause = self.owner.pause if len(self.owner.sent) == 1 else 0
        self.owner.nursery.start_soon(self.stream, first, pause)
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

    async def open(self, one, repeatable):
        return PausingExchange(self, one.instance, fakes.reply())


async def ask(schedule, pause):
    """Returns a caller's answer, and to how many upstreams it was sent."""
    trio._core._run._r.seed(schedule)
    exchanges = PausingExchanges()
    exchanges.pause = pause
    found = [fakes.upstream('e1'), fakes.upstream('e2')]
    content = fakes.snapshot(1, fakes.table(1, (RULE,)), *found)
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
async def test_pause_that_ends_as_the_router_gives_up_loses_no_event(
    pause, autojump_clock
):
    # A caller got its draft as a complete answer with an event missing. Its
    # engine paused for half a second; the router took it for silent in the
    # turn in which its next event came. The event was read and counted, the
    # cancellation hit its write, and the next engine was asked to go on
    # behind it. In which order one turn runs its tasks is drawn at random:
    # each draw must end well.
    whole = b''.join(event(number) for number in range(1, EVENTS + 1))
    sends = set()
    wrong = {}
    for schedule in range(SCHEDULES):
        answer, sent = await ask(schedule, pause)
        sends.add(sent)
        if answer.body != whole or not answer.finished:
            wrong[schedule] = (answer.body, answer.finished)
    assert wrong == {}
    # the pause of four checks is under the limit, those of more are not
    assert (2 in sends) == (pause > 4)
