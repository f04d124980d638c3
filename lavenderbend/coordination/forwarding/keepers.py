"""Which routers remember what was told under a key."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lavenderbend.state import hashing

if TYPE_CHECKING:
    import random

    from lavenderbend.coordination.forwarding import (
        fleet_count as fleet_count_module,
    )
    from lavenderbend.coordination.forwarding import members as members_module

# Zones whose routers are told. One may be lost.
ZONES_TOLD = 2
# A zone may have come or gone since: one more is asked.
ZONES_ASKED = 3
# Routers of a zone that are told.
ROUTERS_TOLD = 2
# Routers may have come or gone since: one more is asked.
ROUTERS_ASKED = 3
# Routers of another zone that pass a message on to its keepers. One of them may
# have died a moment ago.
FIRST_HOPS = 2


class Keepers:
    """Finds the routers that remember something, by its key alone.

    Any router may need it, and the one that found it out may be dead.
    Rendezvous hashing of the key gives the zones, and in each the routers:
    those of a zone know each other, so that a message to another zone goes
    through any of its routers.

    Attributes:
        host: This router.
        zone: Its availability zone.
        members: Other routers.
        fleet_count: Knows which zones have routers.
        rng: Draws routers of other zones.
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
        self.fleet_count = fleet_count
        self.rng = rng

    def zones(self, key: int, count: int) -> list[str]:
        """Returns the zones of the keepers of a key, by preference."""
        zones = {self.zone, *self.fleet_count.recent()}
        return hashing.rendezvous_order(f'{key:016x}', zones)[:count]

    def in_zone(self, key: int, count: int) -> list[str]:
        """Returns the keepers in this zone without this router."""
        hosts = {self.host, *self.members.same_zone.alive()}
        order = hashing.rendezvous_order(f'{key:016x}', hosts)
        return [host for host in order[:count] if host != self.host]

    def is_asked(self, key: int) -> bool:
        """Returns whether this router is one of those that vouch for a zone."""
        others = self.in_zone(key, ROUTERS_TOLD)
        return len(others) < ROUTERS_TOLD

    def expected_replies(self, key: int) -> dict[str, int]:
        """Returns the number of other routers that vouch, by zone.

        A router of any zone may have begun a stream, and may reach no other
        zone.
        """
        expected = {
            zone: min(ROUTERS_TOLD, count.routers)
            for zone, count in self.fleet_count.recent().items()
        }
        expected[self.zone] = len(self.in_zone(key, ROUTERS_TOLD))
        return expected

    def to_tell(self, key: int) -> list[str]:
        """Returns the routers that are told."""
        zones = self.zones(key, ZONES_TOLD)
        return self.receivers(key, zones, ROUTERS_TOLD)

    def to_ask(self, key: int) -> list[str]:
        """Returns the routers that are asked what they were told."""
        zones = self.zones(key, ZONES_ASKED)
        return self.receivers(key, zones, ROUTERS_ASKED)

    def to_ask_all(self, key: int) -> list[str]:
        """Returns the routers that are asked to vouch, of all zones."""
        zones = sorted({self.zone, *self.fleet_count.recent()})
        return self.receivers(key, zones, ROUTERS_ASKED)

    def receivers(self, key: int, zones: list[str], count: int) -> list[str]:
        """Returns the keepers in this zone, and first hops to other zones."""
        hosts: list[str] = []
        for zone in zones:
            if zone == self.zone:
                hosts += self.in_zone(key, count)
            else:
                hosts += self.members.choose_several(self.rng, zone, FIRST_HOPS)
        return hosts
