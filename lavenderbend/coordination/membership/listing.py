"""The VM list as this router has it, merged from reads and from peers."""

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

# a VM that was gone may be listed again after this many seconds: its
# absence was a fault of the list
GONE_HOLD = 30.0


@attrs.define
class Line:
    """One VM and how far it has come in the list.

    Attributes:
        vm: The VM.
        state: Its `ListState`, which only moves forward.
        since: Router clock at which it came into the state.
        missed: Reads in a row that did not show it.
        confirmed: Whether the list itself has shown it to this router.
        live_since: Router clock since which all reads show it live though
            it was leaving.
    """

    vm: upstreams.Vm
    state: messages.ListState
    since: float
    missed: int = 0
    confirmed: bool = False
    live_since: float | None = None


class Listing:
    """What the VM list says, as far as this router knows.

    Reads of the list are late by different times on different routers, and
    carry no version. But ids are unique for ever, so a VM only moves from
    live to leaving to gone, and taking the furthest state makes all
    routers agree in whatever order they hear of it.

    Attributes:
        lines: By VM id, the gone ones for `GONE_HOLD` seconds.
        read_at: Router clock of the last good read, -inf before one.
        distrusted: Reads that lost too many VMs at once.
    """

    def __init__(self, settings: settings_lib.MembershipSettings) -> None:
        self.settings = settings
        self.lines: dict[str, Line] = {}
        self.read_at = -math.inf
        self.distrusted = 0
        self.loss_since: float | None = None
        self.kept: tuple[upstreams.Vm, ...] | None = None
        self.last_read: Iterable[upstreams.Vm] | None = None
        self.unsettled = True

    def vms(self) -> tuple[upstreams.Vm, ...]:
        """Returns the VMs that are not gone, with their states."""
        if self.kept is None:
            self.kept = tuple(
                line.vm
                for line in self.lines.values()
                if line.state is not messages.ListState.GONE
            )
        return self.kept

    def state(self, vm_id: str) -> messages.ListState | None:
        """Returns the state of a VM, None if it was never listed."""
        line = self.lines.get(vm_id)
        return None if line is None else line.state

    def merge_read(
        self, read: Iterable[upstreams.Vm]
    ) -> list[messages.VmChange]:
        """Takes a read of the list; returns what it changed."""
        if read is self.last_read and self.is_settled():
            # unchanged, and nothing waits for a second read to confirm it
            self.read_at = trio.current_time()
            return []
        shown = {vm.id: vm for vm in read}
        if self.is_distrusted(shown):
            return []
        self.last_read = read
        self.read_at = trio.current_time()
        changes = []
        for vm in shown.values():
            changes.extend(self.merge_shown(vm))
        for vm_id, line in list(self.lines.items()):
            if vm_id not in shown:
                changes.extend(self.merge_missing(line))
        return changes

    def is_settled(self) -> bool:
        """Returns whether the last read has confirmed every line."""
        if not self.unsettled:
            return True
        self.unsettled = any(map(is_open, self.lines.values()))
        return not self.unsettled

    def is_distrusted(self, shown: dict[str, upstreams.Vm]) -> bool:
        """Returns whether a read lost too many VMs to be believed.

        The list has been seen empty or cut short while it restarts. Were
        that believed, the router would drop working upstreams. A loss that
        large is believed only once reads have said so for long.
        """
        known = self.vms()
        lost = sum(1 for vm in known if vm.id not in shown)
        limit = self.settings.list_drop_share * len(known)
        if lost <= max(limit, 1.0):
            self.loss_since = None
            return False
        now = trio.current_time()
        if self.loss_since is None:
            self.loss_since = now
            logs.change('vm_list_distrusted', lost=lost, known=len(known))
        self.distrusted += 1
        return now - self.loss_since <= self.settings.unlisted_hold

    def merge_shown(self, vm: upstreams.Vm) -> list[messages.VmChange]:
        """Takes one VM that the list shows."""
        state = list_state(vm)
        change = to_change(vm, state)
        changed = self.merge(change)
        line = self.lines[vm.id]
        line.missed = 0
        line.confirmed = True
        if self.is_called_off(line, state):
            line.vm = vm
            line.state = state
            line.since = trio.current_time()
            self.kept = None
            return [change]
        if line.vm != vm and line.state is state:
            # only the state moves; other fields of a VM are taken as shown
            line.vm = vm
            self.kept = None
        return [change] if changed else []

    def is_called_off(self, line: Line, state: messages.ListState) -> bool:
        """Returns whether a VM that was leaving stays after all.

        One read that shows it live is an older copy of the list. When all
        reads have for longer than any copy lags, it has been called off;
        without this the VM would get nothing until it is replaced.
        """
        if line.state is not messages.ListState.LEAVING or (
            state is not messages.ListState.LIVE
        ):
            line.live_since = None
            return False
        now = trio.current_time()
        if line.live_since is None:
            line.live_since = now
        return now - line.live_since > GONE_HOLD

    def merge_missing(self, line: Line) -> list[messages.VmChange]:
        """Takes one VM that the list does not show."""
        now = trio.current_time()
        if line.state is messages.ListState.GONE:
            if now - line.since > GONE_HOLD:
                del self.lines[line.vm.id]
            return []
        if not line.confirmed and now - line.since < GONE_HOLD:
            # a peer has read a newer list than this one; it is not missing
            return []
        line.missed += 1
        self.unsettled = True
        # one read without a VM may be a read during the list's own restart
        if line.missed < 2:
            return []
        change = to_change(line.vm, messages.ListState.GONE)
        self.merge(change)
        return [change]

    def merge(self, change: messages.VmChange) -> bool:
        """Takes a change from a read or a peer; returns whether it is new.

        Raises:
            ValueError: The change has values that are none of ours.
        """
        state = messages.ListState(change.state)
        self.unsettled = True
        line = self.lines.get(change.vm)
        now = trio.current_time()
        if line is None:
            vm = from_change(change)
            self.lines[change.vm] = Line(vm, state, now)
            self.kept = None
            return True
        if line.state is messages.ListState.GONE and now - line.since < (
            GONE_HOLD
        ):
            return False
        if state <= line.state is not messages.ListState.GONE:
            return False
        if state is line.state:
            return False
        line.vm = from_change(change)
        self.kept = None
        line.state = state
        line.since = now
        line.missed = 0
        return True


def is_open(line: Line) -> bool:
    """Returns whether another read of the same list may change a line."""
    if line.state is messages.ListState.GONE:
        # the list shows it again, and it is held back for a while
        return line.missed == 0
    if line.live_since is not None:
        return True
    return line.missed > 0 or not line.confirmed


def list_state(vm: upstreams.Vm) -> messages.ListState:
    """Returns the state of a VM that the list shows."""
    if vm.state is upstreams.VmState.LEAVING:
        return messages.ListState.LEAVING
    return messages.ListState.LIVE


def to_change(vm: upstreams.Vm, state: messages.ListState) -> messages.VmChange:
    """Returns the message of a VM's change."""
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
    """Returns the VM of a change.

    Raises:
        ValueError: The change has values that are none of ours.
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
