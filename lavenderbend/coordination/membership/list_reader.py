"""Periodic reads of the VM list, frequent on a few routers only."""

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
# routers that are not readers spend this fraction of a reader's byte rate on
# the VM list (1/8)
FALLBACK_DIVISOR = 8
# interval at which a waiting router checks whether it has become a reader
ROLE_CHECK_SECONDS = 0.5


class ListReader:
    """Reads the VM list and relays its changes to the other routers.

    Frequent reads of a list of thousands of VMs by hundreds of routers would
    take many times the budget for control traffic. Changes are rare, so a
    few readers relay them. The others read at a long interval, in case all
    readers are cut off from the list.

    Attributes:
        fleet: Membership that the list is merged into.
        first_read: Set after the first successful read.
        failing: Whether the last read failed.
        size: Bytes of the list at its last full transfer.
        role_routers: Routers for which `has_reader_role` was computed.
        has_reader_role: Whether this router is a reader among them.
    """

    def __init__(self, fleet: fleet_lib.FleetMembership) -> None:
        self.fleet = fleet
        self.first_read = trio.Event()
        self.failing = False
        self.size = 0
        self.role_routers: tuple[str, ...] = ()
        self.has_reader_role = False

    def is_reader(self) -> bool:
        """Returns whether this router is one of the frequent readers."""
        routers = self.fleet.region_routers()
        if routers != self.role_routers:
            self.role_routers = routers
            order = hashing.rendezvous_order('vm-list', routers)
            readers = order[: self.fleet.settings.list_readers]
            self.has_reader_role = self.fleet.vm.id in readers
        return self.has_reader_role

    async def run(self) -> None:
        """Reads the list periodically until cancelled."""
        while True:
            await self.read_once()
            began = trio.current_time()
            # without jitter all routers would read at the same moments and
            # overload the list
            jitter = self.fleet.rng.uniform(0.75, 1.25)
            while True:
                left = began + self.period() * jitter - trio.current_time()
                if left <= 0:
                    break
                await trio.sleep(min(left, ROLE_CHECK_SECONDS))

    def period(self) -> float:
        """Returns the seconds between reads, longer for a large list.

        A list of thousands of VMs has about a megabyte and some entry
        changes every few seconds. Reads at the base period would take many
        times what a router may spend on control traffic.
        """
        settings = self.fleet.settings
        if not self.first_read.is_set():
            return settings.list_period
        if self.is_reader():
            rate = settings.list_byte_rate
            return max(settings.list_period, self.size / rate)
        rate = settings.list_byte_rate / FALLBACK_DIVISOR
        return max(settings.fallback_list_period, self.size / rate)

    def bytes_received(self) -> int:
        """Returns the bytes received by reads, 0 if the list does not count."""
        return getattr(self.fleet.vm_list, 'bytes_received', 0)

    async def read_once(self) -> None:
        """Reads the list once; a failed read leaves the view unchanged."""
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
        # an unchanged list is answered without a body, so the size is kept
        self.size = self.bytes_received() - before or self.size
        first = not self.first_read.is_set()
        changes = self.fleet.listing.merge_read(vms)
        self.first_read.set()
        # the other routers know already what the first read shows
        self.fleet.processor.apply_list_changes(changes, relay=not first)
