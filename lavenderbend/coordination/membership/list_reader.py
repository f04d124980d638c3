"""Reads of the VM list: a few routers read often, the others seldom."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from lavenderbend.observe import logs
from lavenderbend.observe import metrics
from lavenderbend.state import hashing

if TYPE_CHECKING:
    from lavenderbend.coordination.membership import fleet as fleet_lib

READS = metrics.counter(
    'lavenderbend_vm_list_reads_total', 'Reads of the VM list, by result.'
)
TURN = 0.5  # seconds between looks at whether this router is a reader


class ListReader:
    """Reads the VM list and tells the other routers what changed.

    The list of thousands of VMs, read by hundreds of routers every few
    seconds, would take many times the budget of control traffic. Changes
    are rare, so a few readers pass them on, and the others read seldom,
    in case all readers are cut off from the list.

    Attributes:
        fleet: The membership.
        read: Set after the first good read.
        failing: Whether the last read failed.
    """

    def __init__(self, fleet: fleet_lib.FleetMembership) -> None:
        self.fleet = fleet
        self.read = trio.Event()
        self.failing = False
        self.chosen_for: tuple[str, ...] = ()
        self.chosen = False

    def is_reader(self) -> bool:
        """Returns whether this router reads often."""
        routers = self.fleet.region_routers()
        if routers != self.chosen_for:
            self.chosen_for = routers
            order = hashing.rendezvous_order('vm-list', routers)
            readers = order[: self.fleet.settings.list_readers]
            self.chosen = self.fleet.vm.id in readers
        return self.chosen

    async def run(self) -> None:
        """Reads until cancelled."""
        settings = self.fleet.settings
        while True:
            await self.read_once()
            began = trio.current_time()
            # without this the fleet would read in step and surge the list
            jitter = self.fleet.rng.uniform(0.75, 1.25)
            while True:
                often = self.is_reader() or not self.read.is_set()
                period = settings.list_period
                if not often:
                    period = settings.list_backstop
                left = began + period * jitter - trio.current_time()
                if left <= 0:
                    break
                await trio.sleep(min(left, TURN))

    async def read_once(self) -> None:
        """Reads the list once; a failed read changes nothing."""
        try:
            vms = await self.fleet.vm_list.fetch()
        except OSError as exc:
            READS.inc({'result': 'failed'})
            if not self.failing:
                logs.change('vm_list_failing', error=str(exc))
            self.failing = True
            return
        READS.inc({'result': 'done'})
        if self.failing:
            logs.change('vm_list_back')
        self.failing = False
        first = not self.read.is_set()
        changes = self.fleet.listing.merge_read(vms)
        self.read.set()
        # what the first read shows is news to this router alone
        self.fleet.news.list_changed(changes, spread=not first)
