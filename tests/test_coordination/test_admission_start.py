from __future__ import annotations

import random

import trio

from lavenderbend import errors
from lavenderbend.coordination import admission
from tests import fakes


class LateConfiguration(fakes.FixedConfiguration):
    """A configuration that has not been heard of yet."""

    def __init__(self, document):
        super().__init__(document)
        self.known = trio.Event()

    def current(self):
        if not self.known.is_set():
            raise errors.NoConfiguration('none yet')
        return super().current()

    async def wait_beyond(self, number):
        await self.known.wait()
        return await super().wait_beyond(number)


async def test_router_without_configuration_outlives_its_peers_messages(
    nursery, autojump_clock
):
    # a router VM is replaced; the others already take the new process for
    # the owner and send it permits, sums and changes of the view before it
    # has heard of any configuration: the process ended, and callers that
    # the balancer sent to it were refused
    fleet = fakes.Fleet(nursery, routers=3, engines=3)
    late = LateConfiguration(fleet.configurations.revision.document)
    name = 'router-new'
    names = [*fleet.names, name]
    view = fakes.View(names, fleet.vms, fleet.board)
    link = fleet.network.link(name)
    one = admission.OwnerAdmission(name, link, view, late, random.Random(1))
    nursery.start_soon(one.run)
    for other in fleet.views.values():
        other.set_routers(names)

    for number in range(20):
        entry = fleet.admissions[fleet.names[number % 3]]
        with trio.move_on_after(0.5):
            await entry.acquire(fleet.ask(number))
        view.wake()
    await trio.sleep(10)
    late.known.set()
    await trio.sleep(5)

    permit = await one.acquire(fleet.ask(99))
    assert permit.upstream in fleet.vms
