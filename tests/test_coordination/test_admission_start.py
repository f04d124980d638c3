from __future__ import annotations

import random

import trio

from lavenderbend import errors
from lavenderbend.coordination import admission
from tests import fakes


class LateConfiguration(fakes.FixedConfiguration):
    """A configuration that arrives only after `arrived` is set."""

    def __init__(self, document):
        super().__init__(document)
        self.arrived = trio.Event()

    def current(self):
        if not self.arrived.is_set():
            raise errors.NoConfiguration('none yet')
        return super().current()

    async def wait_beyond(self, number):
        await self.arrived.wait()
        return await super().wait_beyond(number)


async def test_router_without_configuration_survives_messages_of_peers(
    nursery, autojump_clock
):
    # A router VM is replaced. The others already regard the new process as the
    # owner and send it permits and load totals before it has received a
    # configuration, and its view changes: the process ended, and callers that
    # the load balancer sent to it were refused.
    fleet = fakes.Fleet(nursery, routers=3, engines=3)
    late = LateConfiguration(fleet.configurations.revision.document)
    name = 'router-new'
    names = [*fleet.names, name]
    view = fakes.View(names, fleet.vms, fleet.board)
    link = fleet.network.link(name)
    entry = admission.OwnerAdmission(name, link, view, late, random.Random(1))
    nursery.start_soon(entry.run)
    for other in fleet.views.values():
        other.set_routers(names)

    for number in range(20):
        peer = fleet.admissions[fleet.names[number % 3]]
        with trio.move_on_after(0.5):
            await peer.acquire(fleet.permit_request(number))
        view.wake()
    await trio.sleep(10)
    late.arrived.set()
    await trio.sleep(5)

    permit = await entry.acquire(fleet.permit_request(99))
    assert permit.upstream in fleet.vms
