"""Which requests a forwarding router accepts while it stops."""

from __future__ import annotations

import pytest
import trio
import trio.testing

from lavenderbend import errors
from lavenderbend.daemon import forwarding
from lavenderbend.state import forwarding_settings
from lavenderbend.state import settings as settings_module
from tests import forwarding_fakes as fakes

BALANCER_SECONDS = 2.6
STOP_SECONDS = 8.0
# time limits of callers, in milliseconds
LONG = 15000
SHORT = 1000
LISTEN = forwarding_settings.ForwardListen(
    '127.0.0.1:1', '127.0.0.1:2', '127.0.0.1:3'
)


class StoppingRouter:
    """A router, without its sockets, whose upstream answers after some time.

    Attributes:
        daemon: The router.
        upstream: What its upstream is sent.
    """

    def __init__(self, answer_seconds=0.5):
        settings = settings_module.RouterSettings(
            'router-1',
            'sala-a',
            settings_module.KeyValueSettings(['http://127.0.0.1:4']),
            stop=settings_module.StopSettings(BALANCER_SECONDS, STOP_SECONDS),
            forwarding=forwarding_settings.ForwardingSettings(
                LISTEN, headers=fakes.HEADERS
            ),
        )
        self.daemon = forwarding.ForwardingDaemon(settings)
        self.upstream = fakes.Exchanges(e1=[fakes.reply(delay=answer_seconds)])
        self.daemon.forwarder.attempts.exchanges = self.upstream
        rules = (fakes.rule(timeout=15.0),)
        content = fakes.snapshot(1, fakes.table(1, rules), fakes.upstream('e1'))
        self.daemon.snapshots.accept(content, self.daemon.clock())

    async def call(self, milliseconds, arrived=0.0):
        """Returns the answer to a request, and its error.

        Args:
            milliseconds: The time limit that its caller sets.
            arrived: Seconds for which its body took to arrive.
        """
        answer = fakes.Answer()
        request = fakes.request(x_deadline_ms=str(milliseconds))
        await trio.sleep(arrived)
        try:
            await self.daemon.forwarder.forward(request, answer)
        except errors.RequestError as exc:
            return answer, exc
        return answer, None

    async def end_after(self, milliseconds):
        """Returns a request's answer and error, and when it ended."""
        began = trio.current_time()
        answer, error = await self.call(milliseconds)
        return answer, error, trio.current_time() - began


@pytest.fixture
async def router(nursery):
    router = StoppingRouter()
    nursery.start_soon(router.daemon.shut_down)
    await trio.testing.wait_all_tasks_blocked()
    return router


async def test_stop_accepts_no_request_that_its_end_may_cut(
    router, autojump_clock
):
    """Guards against requests read late in a stop that its end cuts off."""
    await trio.sleep(BALANCER_SECONDS + 1.0)
    answer, error = await router.call(LONG)
    assert isinstance(error, errors.RouterStopping)
    assert error.outcome is errors.Outcome.NOT_RUN
    assert not answer.started
    assert not router.upstream.sent


async def test_stop_accepts_a_request_that_ends_before_it(
    router, autojump_clock
):
    """Guards against a stop that refuses what it has the time for."""
    await trio.sleep(STOP_SECONDS - 2.0)
    answer, error = await router.call(SHORT)
    assert (error, answer.body) == (None, b'done')


async def test_stop_accepts_all_while_the_balancer_still_sends(
    router, autojump_clock
):
    """Guards against a stop that refuses callers who have no other router."""
    await trio.sleep(BALANCER_SECONDS - 0.1)
    answer, error = await router.call(LONG)
    assert (error, answer.body) == (None, b'done')


async def test_stop_judges_a_request_when_all_of_it_has_come(
    router, autojump_clock
):
    """Guards against a body that arrives so late that its request is cut."""
    await trio.sleep(BALANCER_SECONDS - 0.1)
    answer, error = await router.call(LONG, arrived=4.5)
    assert isinstance(error, errors.RouterStopping)
    assert not router.upstream.sent


@pytest.fixture
async def hanging():
    return StoppingRouter(answer_seconds=60.0)


async def test_request_that_the_end_of_a_stop_meets_gets_an_error(
    hanging, nursery, autojump_clock
):
    """Guards against callers whose connection closes without an answer."""
    nursery.start_soon(hanging.daemon.shut_down)
    await trio.testing.wait_all_tasks_blocked()
    answer, error, seconds = await hanging.end_after(LONG)
    assert isinstance(error, errors.OutcomeUnknown)
    assert not answer.started
    assert seconds == pytest.approx(
        STOP_SECONDS - forwarding.STOP_MARGIN_SECONDS
    )
    assert hanging.daemon.forwarder.stop.cut == 1


async def test_request_from_before_a_stop_gets_an_error_at_its_end(
    hanging, nursery, autojump_clock
):
    """Guards against an end that only requests from after the signal see."""
    nursery.start_soon(stop_later, hanging, 1.0)
    _, error, seconds = await hanging.end_after(LONG)
    assert isinstance(error, errors.OutcomeUnknown)
    assert seconds == pytest.approx(
        1.0 + STOP_SECONDS - forwarding.STOP_MARGIN_SECONDS
    )


async def test_request_not_sent_when_a_stop_ends_has_not_run(
    hanging, nursery, autojump_clock
):
    """Guards against an unknown outcome of what no upstream was sent."""

    async def wait(ticket):
        await trio.sleep_forever()

    hanging.daemon.forwarder.reserving_chooser.choose = wait
    nursery.start_soon(hanging.daemon.shut_down)
    await trio.testing.wait_all_tasks_blocked()
    _, error, _ = await hanging.end_after(LONG)
    assert isinstance(error, errors.RouterStopping)
    assert error.outcome is errors.Outcome.NOT_RUN
    assert not hanging.upstream.sent


async def stop_later(router, seconds):
    await trio.sleep(seconds)
    await router.daemon.shut_down()
