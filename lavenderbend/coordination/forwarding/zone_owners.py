"""Owners of upstreams among the routers of one availability zone."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lavenderbend.state import hashing

if TYPE_CHECKING:
    from lavenderbend.coordination.forwarding import zone_members

MAX_CACHED_OWNERS = 10_000


class ZoneOwners:
    """Draws the owners of upstreams, weighted by the capacity of routers.

    Owners are cached, as one is looked up several times per request and the
    cost of drawing it grows with the routers of the zone.

    Attributes:
        members: Routers of this router's zone.
        membership: Routers for which the cached owners are valid.
        cached: Owners by short ids of upstreams.
    """

    def __init__(self, members: zone_members.ZoneMembers) -> None:
        self.members = members
        self.membership: zone_members.Membership | None = None
        self.cached: dict[int, str] = {}

    def owner(self, upstream: int) -> str:
        """Returns the owner of an upstream.

        Args:
            upstream: Its short id.
        """
        membership = self.members.membership()
        if membership is not self.membership:
            self.membership = membership
            self.cached.clear()
        owner = self.cached.get(upstream)
        if owner is not None:
            return owner
        if len(self.cached) >= MAX_CACHED_OWNERS:
            self.cached.clear()
        owner = hashing.weighted_rendezvous(f'{upstream:08x}', membership.hosts)
        self.cached[upstream] = owner
        return owner
