"""Admission by an entry alone while no owner can be reached."""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

from lavenderbend.coordination import placement
from lavenderbend.state import hashing

if TYPE_CHECKING:
    from lavenderbend.coordination import interfaces
    from lavenderbend.coordination.admission import live_routers
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
        lost_at: Router clock at which an owner was lost last.
    """

    def __init__(
        self,
        name: str,
        membership: interfaces.Membership,
        routers: live_routers.LiveRouters,
    ) -> None:
        self.name = name
        self.membership = membership
        self.routers = routers
        self.granted: dict[str, tuple[float, int]] = {}
        self.live: collections.Counter[str] = collections.Counter()
        self.lost_at = 0.0

    def share(self, upstream: str, headroom: int) -> int:
        """Returns this entry's whole part of the headroom of an upstream.

        All live entries may be admitting alone: rounding each part up would
        put as many requests above the bound as there are entries. The rest
        goes to those that come first in the upstream's rendezvous order.
        Half of the headroom is left to an owner that may still be alive.

        A report from before the owner was lost does not show what the owner
        granted last: until a later one comes, a single request of the whole
        fleet is sent to each upstream.
        """
        routers = self.routers.names()
        part = max(0, headroom) * SHARED_PART
        if self.stale(upstream):
            part = min(1.0, headroom)
        each, rest = divmod(math.ceil(part), max(1, len(routers)))
        order = hashing.rendezvous_order(f'{upstream}/{headroom}', routers)
        if self.stale(upstream):
            order = hashing.rendezvous_order(upstream, routers)
        extra = self.name in order[: max(0, rest)]
        return each + extra

    def stale(self, upstream: str) -> bool:
        """Returns whether the last report is from before the loss."""
        if self.membership.report(upstream) is None:
            return False
        return self.membership.report_at(upstream) < self.lost_at

    def since(self, upstream: str) -> float:
        """Returns when the counting of permits began anew."""
        return max(self.membership.report_at(upstream), self.lost_at)

    def load(self, upstream: str) -> int:
        """Returns the load in the last report, or what is live here."""
        report = self.membership.report(upstream)
        if report is None:
            return self.live[upstream] * len(self.routers.names())
        return report.load

    def used(self, upstream: str) -> int:
        """Returns how many permits were taken since the last report."""
        if self.membership.report(upstream) is None:
            return 0
        since, count = self.granted.get(upstream, (-1.0, 0))
        return count if since == self.since(upstream) else 0

    def choose(
        self,
        pool: configuration.Pool,
        vms: list[upstreams.Vm],
        chat: int,
        avoid: tuple[str, ...],
        unknown: int = 0,
    ) -> str | None:
        """Returns an upstream within this entry's share, None if none.

        Args:
            pool: The pool.
            vms: Upstreams that serve the model.
            chat: Hash of the chat.
            avoid: Upstreams that the request was sent to before.
            unknown: How many further upstreams may serve the model.
        """
        if not vms:
            return None
        loads = {vm.id: self.load(vm.id) for vm in vms}
        load = sum(loads.values())
        allowed = placement.allowed_load(
            pool, load, len(vms) + unknown, UNSEEN_PART * load
        )
        # when an owner dies, so do the requests that entered at it: the mean
        # falls, engines near the bound are above it, and reports from before
        # do not show it. Only what is well below the mean is sure to have room
        low = math.ceil((1 - UNSEEN_PART) * load / len(vms))
        order = hashing.rendezvous_order(chat.to_bytes(8, 'big'), loads)
        order.sort(key=lambda upstream: loads[upstream])
        for upstream in order:
            if upstream in avoid:
                continue
            limit = low if self.stale(upstream) else allowed
            share = self.share(upstream, limit - loads[upstream])
            if self.used(upstream) < share:
                self.take(upstream)
                return upstream
        return None

    def take(self, upstream: str) -> None:
        """Counts a permit."""
        count = self.used(upstream) + 1
        self.granted[upstream] = (self.since(upstream), count)
        self.live[upstream] += 1

    def release(self, upstream: str) -> None:
        """Gives a permit back."""
        self.live[upstream] -= 1
