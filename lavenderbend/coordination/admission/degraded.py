"""Degraded mode: an entry router admits requests without an owner."""

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

# part of the headroom that the entry routers use; the rest is left to an
# owner that may still be alive
SHARED_FRACTION = 0.5
# part of the reported load that may have ended since the report
ENDED_FRACTION = 0.2


class LocalShare:
    """This entry router's share of the headroom in the last load reports.

    Attributes:
        granted: Time at which counting began and number of permits that
            this entry router has granted itself since then, by upstream.
        live: Permits that this entry router granted itself and that are
            still in use, by upstream.
        owner_lost_at: Router clock at which an owner was last lost.
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
        self.owner_lost_at = 0.0

    def share(self, upstream: str, headroom: int) -> int:
        """Returns how much of an upstream's headroom this router may use.

        Every live router may be in degraded mode at the same time. If each
        rounded its share up, the load could exceed the bound by as many
        requests as there are routers, so the remainder of the division goes
        to the routers that come first in the upstream's rendezvous order.
        Half of the headroom is left to an owner that may still be alive.

        A report from before the owner was lost does not include the owner's
        last grants: until a later report arrives, the whole fleet together
        sends one request to each upstream.
        """
        routers = self.routers.names()
        part = max(0, headroom) * SHARED_FRACTION
        if self.is_stale(upstream):
            part = min(1.0, headroom)
        each, remainder = divmod(math.ceil(part), max(1, len(routers)))
        order = hashing.rendezvous_order(f'{upstream}/{headroom}', routers)
        if self.is_stale(upstream):
            order = hashing.rendezvous_order(upstream, routers)
        extra = self.name in order[: max(0, remainder)]
        return each + extra

    def is_stale(self, upstream: str) -> bool:
        """Returns whether the last report predates the loss of the owner."""
        if self.membership.report(upstream) is None:
            return False
        return self.membership.report_at(upstream) < self.owner_lost_at

    def counting_since(self, upstream: str) -> float:
        """Returns the time from which granted permits are counted."""
        return max(self.membership.report_at(upstream), self.owner_lost_at)

    def load(self, upstream: str) -> int:
        """Returns the reported load of an upstream.

        Without a report, the load is estimated as if every live router had
        as many live permits as this one.
        """
        report = self.membership.report(upstream)
        if report is None:
            return self.live[upstream] * len(self.routers.names())
        return report.load

    def granted_count(self, upstream: str) -> int:
        """Returns how many permits were granted since the last report."""
        if self.membership.report(upstream) is None:
            return 0
        since, count = self.granted.get(upstream, (-1.0, 0))
        return count if since == self.counting_since(upstream) else 0

    def choose(
        self,
        pool: configuration.Pool,
        vms: list[upstreams.Vm],
        chat: int,
        avoid: tuple[str, ...],
        unreported: int = 0,
    ) -> str | None:
        """Grants a permit on an upstream within this router's share.

        Args:
            pool: The pool.
            vms: Upstreams that serve the model.
            chat: Hash of the chat.
            avoid: Upstreams that the request was sent to before.
            unreported: How many further upstreams may serve the model.

        Returns:
            The VM id, or None if no upstream has headroom for this router.
        """
        if not vms:
            return None
        loads = {vm.id: self.load(vm.id) for vm in vms}
        load = sum(loads.values())
        allowed = placement.allowed_load(
            pool, load, len(vms) + unreported, ENDED_FRACTION * load
        )
        # When an owner dies, the requests that arrived at it end as well: the
        # mean falls, engines close to the bound then exceed it, and earlier
        # reports do not show this. Only a load well below the mean is certain
        # to leave headroom.
        stale_limit = math.ceil((1 - ENDED_FRACTION) * load / len(vms))
        order = hashing.rendezvous_order(chat.to_bytes(8, 'big'), loads)
        order.sort(key=lambda upstream: loads[upstream])
        for upstream in order:
            if upstream in avoid:
                continue
            limit = stale_limit if self.is_stale(upstream) else allowed
            share = self.share(upstream, limit - loads[upstream])
            if self.granted_count(upstream) < share:
                self.grant(upstream)
                return upstream
        return None

    def grant(self, upstream: str) -> None:
        """Counts a permit as granted."""
        count = self.granted_count(upstream) + 1
        self.granted[upstream] = (self.counting_since(upstream), count)
        self.live[upstream] += 1

    def release(self, upstream: str) -> None:
        """Releases a permit."""
        self.live[upstream] -= 1
