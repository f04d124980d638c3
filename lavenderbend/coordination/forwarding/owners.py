"""Finds the router that owns an upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from lavenderbend.coordination.forwarding import zone_owners
from lavenderbend.state import hashing

if TYPE_CHECKING:
    import random

    from lavenderbend.coordination.forwarding import (
        fleet_count as fleet_count_module,
    )
    from lavenderbend.coordination.forwarding import members as members_module
    from lavenderbend.protocol import messages_forwarding

# Time for which an owner that did not reply is not asked again.
UNRESPONSIVE_SECONDS = 1.0
MAX_KNOWN_OWNERS = 10_000


class Owners:
    """Finds the owners of upstreams.

    An upstream is owned by a router of its own availability zone, the first
    in weighted rendezvous hashing order: the routers of a zone know each other
    and, from their own messages, each other's processors. Routers that have
    heard different ones may disagree for a while; as a question is forwarded
    only once, the router that is taken for the owner then replies. A
    router of another zone knows only some of them; it sends its request to
    any, which forwards it to the owner, and to the owner from then on.

    Attributes:
        host: This router.
        zone: Its availability zone.
        members: Other routers.
        zone_owners: Finds owners in this router's zone.
        fleet_count: Knows which zones there are.
        rng: Chooses routers of other zones.
        known_owners: Owners that have replied, by short ids of upstreams.
        unresponsive_until: Router clock until which a router is not asked.
    """

    def __init__(
        self,
        host: str,
        zone: str,
        members: members_module.Members,
        fleet_count: fleet_count_module.FleetCount,
        rng: random.Random,
    ) -> None:
        self.host = host
        self.zone = zone
        self.members = members
        self.zone_owners = zone_owners.ZoneOwners(members.same_zone)
        self.fleet_count = fleet_count
        self.rng = rng
        self.known_owners: dict[int, str] = {}
        self.unresponsive_until: dict[str, float] = {}

    def owner_in_zone(self, upstream: int) -> str:
        """Returns the owner of an upstream of this router's zone."""
        return self.zone_owners.owner(upstream)

    def owning_zone(self, upstream: int, zone: str) -> str:
        """Returns the zone whose routers own an upstream.

        Args:
            upstream: Its short id.
            zone: Its availability zone, which may have no routers.
        """
        zones = {self.zone, *self.fleet_count.recent()}
        if zone in zones:
            return zone
        return hashing.rendezvous(f'{upstream:08x}', zones)

    def router_to_ask(self, upstream: int, zone: str) -> str | None:
        """Returns the router to ask about an upstream, None if there is none.

        Args:
            upstream: Its short id.
            zone: Its availability zone.
        """
        owning = self.owning_zone(upstream, zone)
        if owning == self.zone:
            host = self.owner_in_zone(upstream)
        else:
            host = self.known_owners.get(upstream)
            if host is None or self.is_unresponsive(host):
                host = self.members.choose_in_zone(self.rng, owning)
        if host is None or self.is_unresponsive(host):
            return None
        return host

    def relay_target(self, request: messages_forwarding.OwnerRequest) -> str:
        """Returns the router that replies to a question, this one included."""
        zone = self.owning_zone(request.upstream, request.zone)
        if request.forwarded or zone != self.zone:
            return self.host
        return self.owner_in_zone(request.upstream)

    def is_unresponsive(self, host: str) -> bool:
        """Returns whether a router recently failed to reply in time."""
        return self.unresponsive_until.get(host, 0.0) > trio.current_time()

    def note_owner(self, upstream: int, host: str) -> None:
        """Records which router replied as the owner of an upstream."""
        if len(self.known_owners) >= MAX_KNOWN_OWNERS:
            self.known_owners.clear()
        self.known_owners[upstream] = host

    def note_unresponsive(self, host: str) -> None:
        """Records that a router did not reply in time.

        It may have died; the other routers of its zone know the new owners of
        its upstreams.
        """
        self.unresponsive_until[host] = (
            trio.current_time() + UNRESPONSIVE_SECONDS
        )
        for upstream, owner in list(self.known_owners.items()):
            if owner == host:
                del self.known_owners[upstream]

    def remove_expired(self) -> None:
        """Removes routers that may be asked again."""
        now = trio.current_time()
        for host, until in list(self.unresponsive_until.items()):
            if until <= now:
                del self.unresponsive_until[host]
