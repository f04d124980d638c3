"""Admission by an entry alone while no owner can be reached."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from lavenderbend.coordination import placement
from lavenderbend.state import hashing

if TYPE_CHECKING:
    from lavenderbend.coordination import interfaces
    from lavenderbend.state import configuration
    from lavenderbend.state import upstreams

SHARED_PART = 0.5
# what the load may have fallen by since the report
UNSEEN_PART = 0.2


class LocalShare:
    """This entry's share of the headroom that the last reports show.

    Attributes:
        granted: Permits of each upstream that this entry gave itself since
            the report that is named by its time.
        live: Permits of each upstream that this entry gave itself.
    """

    def __init__(self, name: str, membership: interfaces.Membership) -> None:
        self.name = name
        self.membership = membership
        self.granted: dict[str, tuple[float, int]] = {}
        self.live: collections.Counter[str] = collections.Counter()

    def share(self, upstream: str, headroom: int) -> int:
        """Returns this entry's whole part of the headroom of an upstream.

        All live entries may be admitting alone: rounding each part up would
        put as many requests above the bound as there are entries. The rest
        goes to those that come first in the upstream's rendezvous order.
        Half of the headroom is left to an owner that may still be alive.
        """
        routers = self.membership.region_routers()
        part = max(0, headroom) * SHARED_PART
        each, rest = divmod(int(part), max(1, len(routers)))
        order = hashing.rendezvous_order(f'{upstream}/{headroom}', routers)
        extra = self.name in order[:rest]
        return each + extra

    def load(self, upstream: str) -> int:
        """Returns the load in the last report, or what is live here."""
        report = self.membership.report(upstream)
        if report is None:
            return self.live[upstream] * len(self.membership.region_routers())
        return report.load

    def used(self, upstream: str) -> int:
        """Returns how many permits were taken since the last report."""
        at = self.membership.report_at(upstream)
        since, count = self.granted.get(upstream, (at, 0))
        return count if since == at else 0

    def choose(
        self,
        pool: configuration.Pool,
        vms: list[upstreams.Vm],
        chat: int,
        avoid: tuple[str, ...],
    ) -> str | None:
        """Returns an upstream within this entry's share, None if none."""
        if not vms:
            return None
        loads = {vm.id: self.load(vm.id) for vm in vms}
        load = sum(loads.values())
        allowed = placement.allowed_load(
            pool, load, len(vms), UNSEEN_PART * load
        )
        order = hashing.rendezvous_order(chat.to_bytes(8, 'big'), loads)
        for upstream in order:
            if upstream in avoid:
                continue
            share = self.share(upstream, allowed - loads[upstream])
            if self.used(upstream) < share:
                self.take(upstream)
                return upstream
        return None

    def take(self, upstream: str) -> None:
        """Counts a permit."""
        at = self.membership.report_at(upstream)
        self.granted[upstream] = (at, self.used(upstream) + 1)
        self.live[upstream] += 1

    def release(self, upstream: str) -> None:
        """Gives a permit back."""
        self.live[upstream] -= 1
