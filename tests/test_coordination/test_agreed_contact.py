from __future__ import annotations

import random

import pytest
import trio

from lavenderbend import errors
from lavenderbend.coordination.configuration import (
    follower as configuration_follower,
)
from lavenderbend.protocol import messages_agreed as messages
from lavenderbend.state import settings
from tests.test_coordination import agreed_fakes as fakes

STANDSTILL_SECONDS = 40.0


class SuspendableClock:
    """A clock that goes on while the VM is suspended."""

    def __init__(self):
        self.suspended = 0.0

    def __call__(self):
        return trio.current_time() + self.suspended


@pytest.fixture
def store():
    return fakes.service()


class Routers:
    """Routers, two if not stated, that refuse while they are cut off."""

    def __init__(self, store, nursery, names=('r0', 'r1'), **options):
        self.network = fakes.Network()
        membership = fakes.Membership(names)
        self.followers = {}
        for name in names:
            link = fakes.Link(name, self.network)
            follower = configuration_follower.ConfigurationFollower(
                name,
                store,
                link,
                membership,
                random.Random(name),
                policy=settings.CutOffPolicy.REFUSE,
                **options,
            )
            self.followers[name] = follower
            fakes.start_tasks(nursery, link, follower)

    @property
    def router(self):
        return self.followers['r0']

    async def accept(self):
        await trio.sleep(1.0)
        await self.router.accept(fakes.document('a'), 0, 'ana', '')
        await trio.sleep(1.0)


async def test_router_that_stood_still_refuses_in_its_first_turn(
    store, nursery, autojump_clock
):
    routers = Routers(store, nursery)
    await routers.accept()
    assert routers.router.current().number == 1
    autojump_clock.jump(STANDSTILL_SECONDS)
    with pytest.raises(errors.ConfigurationStale):
        routers.router.current()
    await trio.sleep(3.0)
    assert routers.router.current().number == 1


async def test_router_that_is_cut_off_refuses_at_the_end_of_the_time(
    store, nursery, autojump_clock
):
    routers = Routers(store, nursery)
    await routers.accept()
    routers.network.cut.add(frozenset(('r0', 'r1')))
    store.fault(outage=True)
    await trio.sleep(28.0)
    routers.router.current()
    await trio.sleep(2.01)
    with pytest.raises(errors.ConfigurationStale):
        routers.router.current()
    first = routers.router.stale_seconds
    assert 30.0 <= first <= 32.0
    await trio.sleep(90.0)
    assert routers.router.stale_seconds == pytest.approx(first + 90.0)


async def test_reply_that_waited_for_the_router_does_not_confirm(
    store, nursery, autojump_clock
):
    routers = Routers(store, nursery)
    await routers.accept()
    link = routers.router.link
    request = link.request

    async def request_before_standstill(*arguments):
        reply = await request(*arguments)
        autojump_clock.jump(STANDSTILL_SECONDS)
        return reply

    link.request = request_before_standstill
    await routers.router.compare_with('r1')
    with pytest.raises(errors.ConfigurationStale):
        routers.router.current()


async def test_read_that_waited_for_the_router_does_not_confirm(
    store, nursery, autojump_clock
):
    routers = Routers(store, nursery)
    await routers.accept()
    routers.router.membership.names = ['r0']
    catch_up = routers.router.log.catch_up
    began = trio.Event()

    async def catch_up_before_standstill():
        await catch_up()
        autojump_clock.jump(STANDSTILL_SECONDS)
        began.set()

    routers.router.log.catch_up = catch_up_before_standstill
    with trio.fail_after(60.0):
        await began.wait()
    with pytest.raises(errors.ConfigurationStale):
        routers.router.current()


async def test_notice_that_waited_for_the_router_does_not_confirm(
    store, nursery, autojump_clock
):
    routers = Routers(store, nursery)
    await routers.accept()
    autojump_clock.jump(STANDSTILL_SECONDS)
    digest = routers.router.digest()
    await routers.router.on_revision_notice(
        'r1', messages.RevisionNotice(1, digest)
    )
    with pytest.raises(errors.ConfigurationStale):
        routers.router.current()


async def test_router_of_a_suspended_vm_refuses(store, nursery, autojump_clock):
    clock = SuspendableClock()
    routers = Routers(store, nursery, clock=clock)
    await routers.accept()
    routers.router.current()
    clock.suspended += STANDSTILL_SECONDS
    with pytest.raises(errors.ConfigurationStale):
        routers.router.current()


@pytest.mark.parametrize('names', [['r0'], ['r0', 'r1']])
async def test_router_in_contact_is_never_cut_off(
    store, nursery, autojump_clock, names
):
    routers = Routers(store, nursery, names, cut_off_seconds=1.0)
    await routers.accept()
    for _ in range(600):
        await trio.sleep(0.1)
        routers.router.current()
