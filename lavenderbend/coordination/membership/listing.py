"""The VM list as known to this router, merged from reads and from peers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend.observe import logs
from lavenderbend.protocol import messages_membership as messages
from lavenderbend.state import upstreams

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lavenderbend.coordination.membership import settings as settings_lib

# a VM that was gone is accepted again after this time; its absence is then
# taken as a fault of the list
GONE_RETENTION_SECONDS = 30.0


@attrs.define
class ListEntry:
    """A VM and its state in the list.

    Attributes:
        vm: The VM.
        state: Its `ListState`, which normally only advances.
        since: Router clock at which it entered the state.
        missed_reads: Consecutive reads that did not contain it.
        confirmed: Whether a read by this router has contained it.
        live_since: Router clock since which all reads show it as live
            although its state is leaving; None if it is not so.
    """

    vm: upstreams.Vm
    state: messages.ListState
    since: float
    missed_reads: int = 0
    confirmed: bool = False
    live_since: float | None = None


class Listing:
    """VM list of this router.

    Reads of the list lag by different times on different routers and carry
    no version. VM ids are never reused, so a VM only advances from live to
    leaving to gone. Keeping the most advanced state makes all routers
    converge, in whatever order they receive the changes.

    Attributes:
        entries: By VM id; gone VMs are kept for `GONE_RETENTION_SECONDS`.
        read_at: Router clock of the last accepted read, -inf before it.
        rejected_reads: Number of reads in which too many VMs were missing.
        loss_since: Router clock of the first of the latest such reads, None
            after a plausible one.
        cached_vms: Result of `vms`, None after a change.
        last_read: The last accepted read.
        has_unconfirmed: Whether another read of the same list may change an
            entry; False only once `is_confirmed` has found none.
    """

    def __init__(self, settings: settings_lib.MembershipSettings) -> None:
        self.settings = settings
        self.entries: dict[str, ListEntry] = {}
        self.read_at = -math.inf
        self.rejected_reads = 0
        self.loss_since: float | None = None
        self.cached_vms: tuple[upstreams.Vm, ...] | None = None
        self.last_read: Iterable[upstreams.Vm] | None = None
        self.has_unconfirmed = True

    def vms(self) -> tuple[upstreams.Vm, ...]:
        """Returns the VMs that are not gone."""
        if self.cached_vms is None:
            self.cached_vms = tuple(
                entry.vm
                for entry in self.entries.values()
                if entry.state is not messages.ListState.GONE
            )
        return self.cached_vms

    def state(self, vm_id: str) -> messages.ListState | None:
        """Returns the list state of a VM, None if it has no entry."""
        entry = self.entries.get(vm_id)
        return None if entry is None else entry.state

    def merge_read(
        self, read: Iterable[upstreams.Vm]
    ) -> list[messages.VmChange]:
        """Merges a read of the list; returns the resulting changes."""
        if read is self.last_read and self.is_confirmed():
            # unchanged, and no entry needs a second read as confirmation
            self.read_at = trio.current_time()
            return []
        shown = {vm.id: vm for vm in read}
        if self.is_implausible(shown):
            return []
        self.last_read = read
        self.read_at = trio.current_time()
        changes = []
        for vm in shown.values():
            changes.extend(self.merge_shown(vm))
        for vm_id, entry in list(self.entries.items()):
            if vm_id not in shown:
                changes.extend(self.merge_missing(entry))
        return changes

    def is_confirmed(self) -> bool:
        """Returns whether no entry needs another read as confirmation."""
        if not self.has_unconfirmed:
            return True
        self.has_unconfirmed = any(map(is_unconfirmed, self.entries.values()))
        return not self.has_unconfirmed

    def is_implausible(self, shown: dict[str, upstreams.Vm]) -> bool:
        """Returns whether a read lacks too many VMs to be accepted.

        While the list service restarts, it may answer with an empty or
        truncated list. Accepting that would drop working upstreams. A loss
        that large is accepted once reads have shown it for the grace period
        of unlisted routers.
        """
        known = self.vms()
        lost = sum(1 for vm in known if vm.id not in shown)
        limit = self.settings.max_list_drop_fraction * len(known)
        if lost <= max(limit, 1.0):
            self.loss_since = None
            return False
        now = trio.current_time()
        if self.loss_since is None:
            self.loss_since = now
            logs.change('vm_list_distrusted', lost=lost, known=len(known))
        self.rejected_reads += 1
        return now - self.loss_since <= self.settings.unlisted_grace

    def merge_shown(self, vm: upstreams.Vm) -> list[messages.VmChange]:
        """Merges a VM that a read contains."""
        state = list_state(vm)
        change = to_change(vm, state)
        changed = self.merge(change)
        entry = self.entries[vm.id]
        entry.missed_reads = 0
        entry.confirmed = True
        if self.is_leaving_withdrawn(entry, state):
            entry.vm = vm
            entry.state = state
            entry.since = trio.current_time()
            self.cached_vms = None
            return [change]
        if entry.vm != vm and entry.state is state:
            # only the state has an order; the other fields are taken over
            entry.vm = vm
            self.cached_vms = None
        return [change] if changed else []

    def is_leaving_withdrawn(
        self, entry: ListEntry, state: messages.ListState
    ) -> bool:
        """Returns whether the platform withdrew the leaving of a VM.

        A single read that shows a leaving VM as live may be an older copy
        of the list. Once all reads have shown it as live for longer than
        any copy lags, the leaving was withdrawn. Without this rule the VM
        would get no requests until it is replaced.
        """
        if entry.state is not messages.ListState.LEAVING or (
            state is not messages.ListState.LIVE
        ):
            entry.live_since = None
            return False
        now = trio.current_time()
        if entry.live_since is None:
            entry.live_since = now
        return now - entry.live_since > GONE_RETENTION_SECONDS

    def merge_missing(self, entry: ListEntry) -> list[messages.VmChange]:
        """Merges the absence of a VM from a read."""
        now = trio.current_time()
        if entry.state is messages.ListState.GONE:
            if now - entry.since > GONE_RETENTION_SECONDS:
                del self.entries[entry.vm.id]
            return []
        if not entry.confirmed and now - entry.since < GONE_RETENTION_SECONDS:
            # a peer announced it from a newer copy of the list
            return []
        entry.missed_reads += 1
        self.has_unconfirmed = True
        # a single read without a VM may come from a restarting list service
        if entry.missed_reads < 2:
            return []
        change = to_change(entry.vm, messages.ListState.GONE)
        self.merge(change)
        return [change]

    def merge(self, change: messages.VmChange) -> bool:
        """Merges a change from a read or a peer; returns whether it is new.

        Raises:
            ValueError: The change has unknown enum values.
        """
        state = messages.ListState(change.state)
        self.has_unconfirmed = True
        entry = self.entries.get(change.vm)
        now = trio.current_time()
        if entry is None:
            vm = from_change(change)
            self.entries[change.vm] = ListEntry(vm, state, now)
            self.cached_vms = None
            return True
        if entry.state is messages.ListState.GONE and now - entry.since < (
            GONE_RETENTION_SECONDS
        ):
            return False
        if state <= entry.state is not messages.ListState.GONE:
            return False
        if state is entry.state:
            return False
        entry.vm = from_change(change)
        self.cached_vms = None
        entry.state = state
        entry.since = now
        entry.missed_reads = 0
        return True


def is_unconfirmed(entry: ListEntry) -> bool:
    """Returns whether another read of the same list may change an entry."""
    if entry.state is messages.ListState.GONE:
        # a read contains it again; it is accepted after the retention time
        return entry.missed_reads == 0
    if entry.live_since is not None:
        return True
    return entry.missed_reads > 0 or not entry.confirmed


def list_state(vm: upstreams.Vm) -> messages.ListState:
    """Returns the list state of a VM that a read contains."""
    if vm.state is upstreams.VmState.LEAVING:
        return messages.ListState.LEAVING
    return messages.ListState.LIVE


def to_change(vm: upstreams.Vm, state: messages.ListState) -> messages.VmChange:
    """Returns the message that announces a state of a VM."""
    return messages.VmChange(
        vm=vm.id,
        state=int(state),
        host=vm.host,
        port=vm.port,
        availability_zone=vm.availability_zone,
        region=vm.region,
        service=vm.service,
        kind=vm.kind.value,
    )


def from_change(change: messages.VmChange) -> upstreams.Vm:
    """Returns the VM that a change describes.

    Raises:
        ValueError: The change has an unknown upstream kind.
    """
    state = upstreams.VmState.LIVE
    if change.state != messages.ListState.LIVE:
        state = upstreams.VmState.LEAVING
    return upstreams.Vm(
        id=change.vm,
        host=change.host,
        port=change.port,
        availability_zone=change.availability_zone,
        service=change.service,
        kind=upstreams.UpstreamKind(change.kind),
        region=change.region,
        state=state,
    )
