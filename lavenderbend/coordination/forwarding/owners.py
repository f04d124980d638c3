"""Which router owns an upstream, and how it is reached."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from lavenderbend.state import hashing

if TYPE_CHECKING:
    import random

    from lavenderbend.coordination.forwarding import fleet_count
    from lavenderbend.coordination.forwarding import members as members_module

# an owner that did not answer is passed by for so long
SILENT_SECONDS = 1.0
MAX_KNOWN = 10_000


class Owners:
    """Finds the owners of upstreams.

    An upstream is owned by a router of its own availability zone, the first
    in the order of rendezvous hashing: the routers of a zone know each other.
    A router of another zone knows only some; it asks any of them, which
    passes the question on to the owner, and asks the owner from then on.

    Attributes:
        host: This router.
        zone: Its availability zone.
        members: Other routers.
        count: The zones there are.
        known: Owners that have answered, by short ids of upstreams.
        silent_until: Router clock until which an owner is passed by.
    """

    def __init__(
        self,
        host: str,
        zone: str,
        members: members_module.Members,
        count: fleet_count.FleetCount,
        rng: random.Random,
    ) -> None:
        self.host = host
        self.zone = zone
        self.members = members
        self.count = count
        self.rng = rng
        self.known: dict[int, str] = {}
        self.silent_until: dict[str, float] = {}

    def own_of_zone(self, upstream: int) -> str:
        """Returns the owner of an upstream of this router's zone."""
        hosts = {self.host, *self.members.same_zone.alive()}
        return hashing.rendezvous(f'{upstream:08x}', hosts)

    def owning_zone(self, upstream: int, zone: str) -> str:
        """Returns the zone whose routers own an upstream.

        Args:
            upstream: Its short id.
            zone: Its availability zone, which may have no routers.
        """
        zones = {self.zone, *self.count.recent()}
        if zone in zones:
            return zone
        return hashing.rendezvous(f'{upstream:08x}', zones)

    def find(self, upstream: int, zone: str) -> str | None:
        """Returns whom to ask of an upstream, None if nobody is known."""
        owning = self.owning_zone(upstream, zone)
        if owning == self.zone:
            host = self.own_of_zone(upstream)
        else:
            host = self.known.get(upstream)
            if host is None or self.is_silent(host):
                host = self.members.choose_in_zone(self.rng, owning)
        if host is None or self.is_silent(host):
            return None
        return host

    def is_silent(self, host: str) -> bool:
        """Returns whether a router did not answer just now."""
        return self.silent_until.get(host, 0.0) > trio.current_time()

    def note_answer(self, upstream: int, host: str) -> None:
        """Notes who answered for an upstream."""
        if len(self.known) >= MAX_KNOWN:
            self.known.clear()
        self.known[upstream] = host

    def note_silent(self, host: str) -> None:
        """Notes that a router did not answer in time.

        It may have died, and others know who owns its upstreams now.
        """
        self.silent_until[host] = trio.current_time() + SILENT_SECONDS
        for upstream, owner in list(self.known.items()):
            if owner == host:
                del self.known[upstream]

    def tidy(self) -> None:
        """Forgets who was silent."""
        now = trio.current_time()
        for host, until in list(self.silent_until.items()):
            if until <= now:
                del self.silent_until[host]
