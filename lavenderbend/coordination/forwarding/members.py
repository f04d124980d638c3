"""The other routers that a forwarding router knows."""

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

# hosts that do not answer are forgotten after this
FORGET_SECONDS = 60.0
# few routers of other zones are spoken to, each of them now and then
FAR_ALIVE_SECONDS = 20.0
# known of each other zone: enough that some live when half of a fleet dies
MAX_FAR = 16
# one that was heard so lately is alive, as far as can be known
FAR_FRESH_SECONDS = 3.0
# of these, the latest heard are spoken to
FAR_CHOICE = 8
# hosts of one zone that another router is told of
MAX_HOSTS_TOLD = 3
MAX_ZONES_TOLD = 4
TOLD_SECONDS = 7.0


@attrs.define
class Member:
    """Another router, as its last message said.

    Attributes:
        host: Its IP number.
        name: Its name.
        zone: Its availability zone.
        incarnation: Of its process.
        heard_at: Router clock of that message.
        sent_at: Its own clock of that message.
        heard_by: Suspension clock of that message's arrival.
        leaving: Whether it is stopping.
    """

    host: str
    name: str
    zone: str
    incarnation: int
    heard_at: float
    sent_at: float
    heard_by: float
    leaving: bool


class Members:
    """Other routers: all of the own zone, some of the other zones.

    Attributes:
        host: This router's own host.
        zone: Its availability zone.
        seeds: Hosts that are asked until they are heard.
        clock: The suspension clock.
        near: The routers of the own zone.
        far: Router clock at which some of the others were alive, by zone
            and host.
        by_host: Those that this router had a message of.
    """

    def __init__(
        self,
        host: str,
        zone: str,
        seeds: Iterable[str],
        clock: Callable[[], float],
    ) -> None:
        self.host = host
        self.zone = zone
        self.seeds = [seed for seed in seeds if seed != host]
        self.clock = clock
        self.near = zone_members.ZoneMembers(host)
        self.far: dict[str, dict[str, float]] = {}
        self.by_host: dict[str, Member] = {}

    def get(self, host: str) -> Member | None:
        """Returns a router that was heard, None if it was not."""
        return self.by_host.get(host)

    def is_alive(self, member: Member) -> bool:
        """Returns whether a router gave a sign of life lately."""
        now = trio.current_time()
        if member.zone == self.zone:
            at = self.near.heard.get(member.host, member.heard_at)
            return now - at < zone_members.HEARD_SECONDS
        return now - member.heard_at < FAR_ALIVE_SECONDS

    def note(self, state: messages_forwarding.RouterState) -> bool:
        """Notes that a router is alive; returns whether it is new."""
        known = self.by_host.get(state.host)
        new = known is None or known.incarnation != state.incarnation
        if not new and known.sent_at > state.sent_at:
            return False
        self.by_host[state.host] = Member(
            state.host,
            state.name,
            state.zone,
            state.incarnation,
            trio.current_time(),
            state.sent_at,
            self.clock(),
            state.leaving,
        )
        self.note_alive(state)
        return new

    def note_alive(self, state: messages_forwarding.RouterState) -> None:
        """Notes where a router that was heard can be found."""
        if state.zone == self.zone:
            if state.leaving:
                self.near.drop(state.host)
            else:
                self.near.note(state.host)
        elif not state.leaving:
            self.learn(state.zone, state.host, 0.0)

    def learn(self, zone: str, host: str, age: float) -> None:
        """Notes a host that was alive so many seconds ago."""
        if host == self.host:
            return
        if zone == self.zone:
            self.near.note(host, age)
            return
        at = trio.current_time() - age
        known = self.far.setdefault(zone, {})
        known[host] = max(at, known.get(host, at))
        if len(known) > MAX_FAR:
            del known[min(known, key=known.__getitem__)]

    def learn_all(self, rows: Iterable[list[str | bytes]]) -> None:
        """Notes hosts that another router told of."""
        for zone, packed in rows:
            for host, age in packed_rows.unpack_heard(packed):
                self.learn(zone, host, age)

    def told(
        self, rng: random.Random, zone: str, new: bool
    ) -> list[list[str | bytes]]:
        """Returns hosts that a router is told of.

        Those of this router's own zone are told of with their signs of life.

        Args:
            rng: Draws zones if there are many.
            zone: Its zone.
            new: Whether it has yet to find its neighbours.
        """
        others = sorted(self.far.keys() - {zone})
        if len(others) > MAX_ZONES_TOLD:
            others = rng.sample(others, MAX_ZONES_TOLD)
        rows: list[list[str | bytes]] = [
            [name, self.packed_far(name, MAX_HOSTS_TOLD)] for name in others
        ]
        if new and zone in self.far:
            rows.append([zone, self.packed_far(zone, MAX_FAR)])
        return rows

    def packed_far(self, zone: str, count: int) -> bytes:
        """Returns routers of another zone that were alive just now.

        Not those that were alive longer ago than a packed age can say: a
        router that died would be told of for ever.
        """
        now = trio.current_time()
        known = self.far[zone]
        ages = {host: now - known[host] for host in self.latest(known)[:count]}
        return packed_rows.pack_heard(
            (host, age) for host, age in ages.items() if age < TOLD_SECONDS
        )

    def latest(self, known: dict[str, float]) -> list[str]:
        """Returns hosts of a zone, the latest heard first."""
        return sorted(known, key=known.__getitem__, reverse=True)

    def choose_far(self, rng: random.Random, zone: str) -> str | None:
        """Returns a router of another zone to speak to, None if none is."""
        known = self.far.get(zone)
        if not known:
            return None
        one, other = rng.choices(self.latest(known)[:FAR_CHOICE], k=2)
        if trio.current_time() - known[one] < FAR_FRESH_SECONDS:
            return one
        # when many die at once, messages soon go to those that live
        return max(one, other, key=known.__getitem__)

    def silent_hosts(self) -> list[str]:
        """Returns hosts that were not heard lately, seeds among them."""
        oldest = trio.current_time() - FAR_ALIVE_SECONDS
        silent = {*self.seeds, *self.near.silent()}
        for known in self.far.values():
            silent.update(host for host, at in known.items() if at < oldest)
        alive = [
            member.host
            for member in self.by_host.values()
            if self.is_alive(member)
        ]
        return sorted(silent.difference(alive, self.near.alive()))

    def forget_old(self) -> None:
        """Forgets hosts that have not answered for long."""
        oldest = trio.current_time() - FORGET_SECONDS
        self.near.forget(FORGET_SECONDS)
        for known in self.far.values():
            for host in [one for one, at in known.items() if at < oldest]:
                del known[host]
        for host, member in list(self.by_host.items()):
            if member.heard_at < oldest:
                del self.by_host[host]
