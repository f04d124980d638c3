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
BACKSTOP_PART = 8  # what the others spend on reads, as a part of a reader's
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
        size: Bytes of the list as it came last.
    """

    def __init__(self, fleet: fleet_lib.FleetMembership) -> None:
        self.fleet = fleet
        self.read = trio.Event()
        self.failing = False
        self.size = 0
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
        while True:
            await self.read_once()
            began = trio.current_time()
            # without this the fleet would read in step and surge the list
            jitter = self.fleet.rng.uniform(0.75, 1.25)
            while True:
                left = began + self.period() * jitter - trio.current_time()
                if left <= 0:
                    break
                await trio.sleep(min(left, TURN))

    def period(self) -> float:
        """Returns the seconds between reads, longer for a list of size.

        A list of thousands of VMs has a megabyte and changes every few
        seconds somewhere: read often, it would take many times what a
        router may spend on control traffic.
        """
        settings = self.fleet.settings
        if not self.read.is_set():
            return settings.list_period
        if self.is_reader():
            rate = settings.list_byte_rate
            return max(settings.list_period, self.size / rate)
        rate = settings.list_byte_rate / BACKSTOP_PART
        return max(settings.list_backstop, self.size / rate)

    def bytes_received(self) -> int:
        """Returns the bytes that reads have taken, where that is counted."""
        return getattr(self.fleet.vm_list, 'bytes_received', 0)

    async def read_once(self) -> None:
        """Reads the list once; a failed read changes nothing."""
        before = self.bytes_received()
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
        # an unchanged list comes without its body, and keeps its size
        self.size = self.bytes_received() - before or self.size
        first = not self.read.is_set()
        changes = self.fleet.listing.merge_read(vms)
        self.read.set()
        # what the first read shows is news to this router alone
        self.fleet.news.list_changed(changes, spread=not first)
