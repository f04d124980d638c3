"""Which router relays a connection to an upstream for another."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from lavenderbend.protocol import messages_forwarding

if TYPE_CHECKING:
    from collections.abc import Iterator
    import random

    from lavenderbend.coordination.forwarding import directory as directories
    from lavenderbend.coordination.forwarding import health as health_module
    from lavenderbend.coordination.forwarding import members as members_module
    from lavenderbend.coordination.forwarding import (
        reachability as reachability_module,
    )
    from lavenderbend.state import forwarding

Outcome = messages_forwarding.RelayOutcome

# A router that could not relay is asked after the others for this long.
FAILED_SECONDS = 2.0


class Relays:
    """Chooses routers that may relay, and decides what this one relays.

    Attributes:
        members: The other routers.
        directory: Known upstreams.
        health: Which upstreams asked for a pause.
        reachability: Whether this router reaches upstreams itself.
        rng: Draws routers.
        stopping: Whether this router relays no further connections.
        preferred: The router that relayed the last connection, empty if none.
        failed: Router clock until which a router is asked last, by host.
    """

    def __init__(
        self,
        members: members_module.Members,
        directory: directories.Directory,
        health: health_module.Health,
        reachability: reachability_module.Reachability,
        rng: random.Random,
    ) -> None:
        self.members = members
        self.directory = directory
        self.health = health
        self.reachability = reachability
        self.rng = rng
        self.stopping = False
        self.preferred = ''
        self.failed: dict[str, float] = {}

    def admit(
        self, instance: str
    ) -> tuple[Outcome, forwarding.Upstream | None]:
        """Returns the upstream that another router asks for, if it is relayed.

        The requesting router decides whether its request may be sent; this one
        refuses besides what it would not send itself.
        """
        if self.stopping or self.reachability.lost:
            return Outcome.UNABLE, None
        current = self.directory.followed.current
        upstream = None
        if current is not None:
            upstream = current.upstreams.get(instance)
        if upstream is None:
            return Outcome.UNABLE, None
        if not self.directory.may_be_sent(upstream):
            return Outcome.WITHDRAWN, None
        if self.health.is_paused(instance):
            return Outcome.WITHDRAWN, None
        return Outcome.CONNECTED, upstream

    def choose(self, count: int) -> list[str]:
        """Returns routers to ask, in order.

        The one that relayed last comes first: it is known to reach upstreams.
        The others alternate between this zone, to which traffic is cheap, and
        other zones, as a whole zone may be cut off.
        """
        now = trio.current_time()
        self.failed = {
            host: until for host, until in self.failed.items() if until > now
        }
        near = self.shuffled(self.members.same_zone.alive())
        far = self.shuffled(self.other_zone_hosts())
        hosts = [*alternate(near, far)]
        if self.preferred in hosts:
            hosts.remove(self.preferred)
            hosts.insert(0, self.preferred)
        hosts.sort(key=self.is_doubtful)
        return hosts[:count]

    def shuffled(self, hosts: list[str]) -> list[str]:
        """Returns hosts in random order."""
        return self.rng.sample(hosts, len(hosts))

    def other_zone_hosts(self) -> list[str]:
        """Returns some routers of other zones that were alive recently."""
        hosts = [
            self.members.choose_in_zone(self.rng, zone)
            for zone in sorted(self.members.other_zones)
        ]
        return [host for host in hosts if host is not None]

    def is_doubtful(self, host: str) -> bool:
        """Returns whether a router may not be able to relay."""
        if host in self.failed:
            return True
        member = self.members.get(host)
        return member is not None and (member.leaving or member.upstreams_lost)

    def note_connected(self, host: str) -> None:
        """Records that a router relays a connection."""
        self.preferred = host
        self.failed.pop(host, None)

    def note_failed(self, host: str) -> None:
        """Records that a router could not relay a connection."""
        self.failed[host] = trio.current_time() + FAILED_SECONDS
        if self.preferred == host:
            self.preferred = ''


def alternate(first: list[str], second: list[str]) -> Iterator[str]:
    """Yields the items of two lists in turn."""
    for index in range(max(len(first), len(second))):
        yield from first[index : index + 1]
        yield from second[index : index + 1]
