"""The other routers that a forwarding router has learned of."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend.coordination.forwarding import zone_members
from lavenderbend.protocol import packed_rows

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    import random

    from lavenderbend.protocol import messages_forwarding

# Hosts that do not answer for this long are removed.
EXPIRY_SECONDS = 60.0
# Only a few routers of other zones get messages, and each of them only
# occasionally, so their silence is allowed to last longer.
OTHER_ZONE_ALIVE_SECONDS = 20.0
# Enough that some are still alive when half of a fleet dies.
MAX_HOSTS_PER_OTHER_ZONE = 16
# A host seen this recently is taken to be alive.
OTHER_ZONE_RECENT_SECONDS = 3.0
# Receivers in another zone are drawn from this many most recently seen hosts.
OTHER_ZONE_CANDIDATES = 8
# Hosts of one zone in a message to another router.
MAX_HOSTS_PER_ZONE_ROW = 3
MAX_ZONE_ROWS = 4
MAX_SENT_AGE_SECONDS = 7.0
# The clocks of two VMs move apart by less than this in a second.
MAX_CLOCK_DRIFT = 0.001


@attrs.define
class Member:
    """Another router, as of its last message.

    Attributes:
        host: Its IP address.
        name: Its name.
        zone: Its availability zone.
        incarnation: Of its process.
        received_at: Router clock at which the message arrived.
        sent_at: Suspension clock of the sender when it sent the message.
        received_at_suspension_clock: Suspension clock of this router at which
            the message arrived.
        leaving: Whether it is stopping.
        least_delay: Least time from `sent_at` to the arrival of a message, by
            the clocks of both, which may differ by any amount.
        upstreams_lost: Whether it seems to be cut off from all upstreams.
    """

    host: str
    name: str
    zone: str
    incarnation: int
    received_at: float
    sent_at: float
    received_at_suspension_clock: float
    leaving: bool
    least_delay: float
    upstreams_lost: bool = False


class Members:
    """Other routers: all of this router's zone, some of the other zones.

    Attributes:
        host: This router's own host.
        zone: Its availability zone.
        seeds: Configured hosts, probed until a message from them arrives.
        clock: The suspension clock.
        same_zone: The routers of this router's zone.
        other_zones: Router clock at which some routers of the other zones were
            last seen alive, by zone and host.
        by_host: Routers of which a message has arrived.
    """

    def __init__(
        self,
        host: str,
        zone: str,
        seeds: Iterable[str],
        clock: Callable[[], float],
        capacity: int = zone_members.DEFAULT_CAPACITY,
    ) -> None:
        self.host = host
        self.zone = zone
        self.seeds = [seed for seed in seeds if seed != host]
        self.clock = clock
        self.same_zone = zone_members.ZoneMembers(host, capacity)
        self.other_zones: dict[str, dict[str, float]] = {}
        self.by_host: dict[str, Member] = {}

    def get(self, host: str) -> Member | None:
        """Returns a router, None if no message of it has arrived."""
        return self.by_host.get(host)

    def is_alive(self, member: Member) -> bool:
        """Returns whether a router was seen alive recently."""
        now = trio.current_time()
        if member.zone == self.zone:
            seen_at = self.same_zone.last_seen.get(
                member.host, member.received_at
            )
            return now - seen_at < zone_members.ALIVE_SECONDS
        return now - member.received_at < OTHER_ZONE_ALIVE_SECONDS

    def note(self, state: messages_forwarding.RouterState) -> bool:
        """Records the sender of a message as alive.

        Returns:
            Whether the sender, or its incarnation, is new.
        """
        member = self.by_host.get(state.host)
        new = member is None or member.incarnation != state.incarnation
        if not new and member.sent_at > state.sent_at:
            return False
        least_delay = self.delay(state)
        if not new:
            least_delay = min(least_delay, self.least_delay(member))
        self.by_host[state.host] = Member(
            state.host,
            state.name,
            state.zone,
            state.incarnation,
            trio.current_time(),
            state.sent_at,
            self.clock(),
            state.leaving,
            least_delay,
            state.upstreams_lost,
        )
        self.note_sender(state)
        return new

    def delay(self, state: messages_forwarding.RouterState) -> float:
        """Returns the time from sending to arrival, by different clocks."""
        return trio.current_time() - state.sent_at

    def least_delay(self, member: Member) -> float:
        """Returns the least delay of a router's messages, with clock drift."""
        seconds = trio.current_time() - member.received_at
        return member.least_delay + MAX_CLOCK_DRIFT * seconds

    def waited(self, state: messages_forwarding.RouterState) -> float:
        """Returns for how long a message waited to be read, in seconds.

        That is how much longer it took than the fastest one of its sender:
        while this router stood still, messages waited in its socket.
        """
        member = self.get(state.host)
        if member is None or member.incarnation != state.incarnation:
            return 0.0
        return max(0.0, self.delay(state) - self.least_delay(member))

    def note_sender(self, state: messages_forwarding.RouterState) -> None:
        """Records the host of a message's sender, by its zone."""
        if state.zone == self.zone:
            if state.leaving:
                self.same_zone.remove(state.host)
            else:
                self.same_zone.note(state.host)
                self.same_zone.note_capacity(state.host, state.capacity)
        elif not state.leaving:
            self.note_host(state.zone, state.host, 0.0)

    def note_host(self, zone: str, host: str, age: float) -> None:
        """Records that a host was alive `age` seconds ago."""
        now = trio.current_time()
        self.note_seen(zone, host, now - age, now)

    def note_seen(
        self, zone: str, host: str, seen_at: float, now: float
    ) -> None:
        """Records when a host was alive; times are of the router clock."""
        if host == self.host:
            return
        if zone == self.zone:
            self.same_zone.note_seen(host, seen_at, now)
            return
        hosts = self.other_zones.setdefault(zone, {})
        hosts[host] = max(seen_at, hosts.get(host, seen_at))
        if len(hosts) > MAX_HOSTS_PER_OTHER_ZONE:
            del hosts[min(hosts, key=hosts.__getitem__)]

    def merge_hosts(self, rows: Iterable[list[str | bytes]]) -> None:
        """Merges the hosts of another router's message."""
        now = trio.current_time()
        for zone, packed in rows:
            for host, age in packed_rows.unpack_hosts(packed):
                self.note_seen(zone, host, now - age, now)

    def draws_zones(self) -> bool:
        """Returns whether messages name only some of the other zones."""
        return len(self.other_zones) > MAX_ZONE_ROWS

    def rows_to_send(
        self, rng: random.Random, zone: str, new: bool
    ) -> list[list[str | bytes]]:
        """Returns the hosts of other zones for a message to a router.

        The hosts of this router's zone are sent with the times at which
        they were last seen, in another field of the message.

        Args:
            rng: Draws zones if there are many.
            zone: Zone of the receiver.
            new: Whether the receiver has yet to discover the routers of its
                zone.
        """
        others = sorted(self.other_zones.keys() - {zone})
        if len(others) > MAX_ZONE_ROWS:
            others = rng.sample(others, MAX_ZONE_ROWS)
        rows: list[list[str | bytes]] = [
            [name, self.packed_hosts(name, MAX_HOSTS_PER_ZONE_ROW)]
            for name in others
        ]
        if new and zone in self.other_zones:
            rows.append(
                [zone, self.packed_hosts(zone, MAX_HOSTS_PER_OTHER_ZONE)]
            )
        return rows

    def packed_hosts(self, zone: str, count: int) -> bytes:
        """Returns routers of another zone that were seen recently, packed.

        Leaves out those that were seen longer ago than a packed age can
        express: routers would send each other a dead router for ever.
        """
        now = trio.current_time()
        hosts = self.other_zones[zone]
        ages = {
            host: now - hosts[host] for host in self.by_recency(hosts)[:count]
        }
        return packed_rows.pack_hosts(
            (host, age)
            for host, age in ages.items()
            if age < MAX_SENT_AGE_SECONDS
        )

    def by_recency(self, hosts: dict[str, float]) -> list[str]:
        """Returns the hosts of a zone, the most recently seen first."""
        return sorted(hosts, key=hosts.__getitem__, reverse=True)

    def choose_in_zone(self, rng: random.Random, zone: str) -> str | None:
        """Returns a receiver in another zone, None if no host is known."""
        hosts = self.other_zones.get(zone)
        if not hosts:
            return None
        first, second = rng.choices(
            self.by_recency(hosts)[:OTHER_ZONE_CANDIDATES], k=2
        )
        if trio.current_time() - hosts[first] < OTHER_ZONE_RECENT_SECONDS:
            return first
        # The more recently seen of two: when many routers die at once,
        # messages soon go to those that are alive.
        return max(first, second, key=hosts.__getitem__)

    def choose_several(
        self, rng: random.Random, zone: str, count: int
    ) -> list[str]:
        """Returns receivers in another zone, those seen recently first."""
        hosts = self.other_zones.get(zone, {})
        candidates = self.by_recency(hosts)[:OTHER_ZONE_CANDIDATES]
        oldest = trio.current_time() - OTHER_ZONE_RECENT_SECONDS
        recent = [host for host in candidates if hosts[host] >= oldest]
        if len(recent) < count:
            return candidates[:count]
        return rng.sample(recent, count)

    def silent_hosts(self) -> list[str]:
        """Returns hosts that were not seen recently, seeds included."""
        oldest = trio.current_time() - OTHER_ZONE_ALIVE_SECONDS
        silent = {*self.seeds, *self.same_zone.silent()}
        for hosts in self.other_zones.values():
            silent.update(
                host for host, seen_at in hosts.items() if seen_at < oldest
            )
        alive = [
            member.host
            for member in self.by_host.values()
            if self.is_alive(member)
        ]
        return sorted(silent.difference(alive, self.same_zone.alive()))

    def remove_expired(self) -> None:
        """Removes hosts that have not answered for `EXPIRY_SECONDS`."""
        oldest = trio.current_time() - EXPIRY_SECONDS
        self.same_zone.remove_expired(EXPIRY_SECONDS)
        for hosts in self.other_zones.values():
            for host in [
                name for name, seen_at in hosts.items() if seen_at < oldest
            ]:
                del hosts[host]
        for host, member in list(self.by_host.items()):
            if member.received_at < oldest:
                del self.by_host[host]
