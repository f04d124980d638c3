"""The other routers that a forwarding router knows."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend.observe import logs

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from lavenderbend.protocol import messages_forwarding

# hosts that do not answer are forgotten after this
FORGET_SECONDS = 60.0
# in a fleet of a hundred a router hears each other one every twelve seconds;
# one that fell silent counts on for the parts of the fleet's budget, which
# errs to the safe side
ALIVE_SECONDS = 20.0


@attrs.define
class Member:
    """Another router.

    Attributes:
        host: Its IP number.
        name: Its name, empty until it was heard.
        zone: Its availability zone.
        incarnation: Of its process.
        heard_at: Router clock of its last message, of when its host became
            known if there was none.
        sent_at: Its own clock of that message, None if there was none.
        heard_by: Suspension clock of that message's arrival.
        leaving: Whether it is stopping.
    """

    host: str
    heard_at: float
    name: str = ''
    zone: str = ''
    incarnation: int = 0
    sent_at: float | None = None
    heard_by: float = 0.0
    leaving: bool = False


class Members:
    """Other routers by host.

    Attributes:
        host: This router's own host.
        seeds: Hosts that are asked until they are heard.
        clock: The suspension clock.
    """

    def __init__(
        self, host: str, seeds: Iterable[str], clock: Callable[[], float]
    ) -> None:
        self.host = host
        self.seeds = [seed for seed in seeds if seed != host]
        self.clock = clock
        self.by_host: dict[str, Member] = {}

    def get(self, host: str) -> Member | None:
        """Returns a router, None if it is not known."""
        return self.by_host.get(host)

    def alive(self) -> list[Member]:
        """Returns the routers that were heard lately."""
        oldest = trio.current_time() - ALIVE_SECONDS
        return [
            member
            for member in self.by_host.values()
            if member.name and member.heard_at >= oldest
        ]

    def silent_hosts(self) -> list[str]:
        """Returns the hosts that were not heard lately, seeds among them."""
        heard = {member.host for member in self.alive()}
        hosts = {*self.seeds, *self.by_host}
        return sorted(hosts - heard)

    def forget_old(self) -> None:
        """Forgets hosts that have not answered for long."""
        oldest = trio.current_time() - FORGET_SECONDS
        for host, member in list(self.by_host.items()):
            if member.heard_at < oldest:
                del self.by_host[host]

    def learn(self, host: str) -> None:
        """Notes a host that another router knows."""
        if host != self.host and host not in self.by_host:
            self.by_host[host] = Member(host, trio.current_time())

    def note(self, state: messages_forwarding.RouterState) -> bool:
        """Notes that a router is alive; returns whether it is new."""
        self.learn(state.host)
        member = self.by_host[state.host]
        new = member.incarnation != state.incarnation
        if not new and member.sent_at > state.sent_at:
            return False
        if new or member.leaving != state.leaving:
            logs.change(
                'peer_left' if state.leaving else 'peer_heard',
                peer=state.name,
                host=state.host,
                peers=len(self.alive()),
            )
        member.name = state.name
        member.zone = state.zone
        member.incarnation = state.incarnation
        member.sent_at = state.sent_at
        member.heard_at = trio.current_time()
        member.heard_by = self.clock()
        member.leaving = state.leaving
        return new
