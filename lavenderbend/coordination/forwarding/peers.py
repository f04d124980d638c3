"""Routers that tell each other how fresh they are and what they have sent."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from lavenderbend.coordination.forwarding import members as members_module
from lavenderbend.coordination.forwarding import shared_freshness
from lavenderbend.coordination.forwarding import shared_loads
from lavenderbend.observe import metrics
from lavenderbend.protocol import messages_forwarding

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    import random

    from lavenderbend.coordination.forwarding import crashes as crashes_module
    from lavenderbend.coordination.forwarding import health as health_module
    from lavenderbend.coordination.forwarding import interfaces
    from lavenderbend.coordination.forwarding import loads as loads_module
    from lavenderbend.coordination.forwarding import snapshots
    from lavenderbend.protocol import peer

# loads change within a tenth of a second or two; bytes between zones are dear
NEAR_SECONDS = 0.15
FAR_TICKS = 4
# a router sends to so many others at once, however large the fleet
NEAR_FAN_OUT = 2
FAR_FAN_OUT = 3
PROOF_FAN_OUT = 8
# in fleets too large for one router to tell all, those told tell others
PASS_ON_FAN_OUT = 3
PASS_ON_SECONDS = 0.3
# hosts that do not answer are asked this often, and forgotten after that
KNOCK_SECONDS = 1.0
KNOCK_FAN_OUT = 8
# a datagram may be lost; a notice is sent only once, so in two copies
CRASH_COPIES = 2
MAX_MEMBERS_TOLD = 12
# of the messages to routers that are known; members change seldom
MEMBERS_TOLD_SHARE = 0.1

DATAGRAMS = metrics.counter(
    'lavenderbend_forward_peer_messages_total',
    'Messages to and from other routers, by direction.',
)
PEERS = metrics.gauge(
    'lavenderbend_forward_peers', 'Other routers heard lately.'
)


class Peers:
    """Exchanges messages with other routers.

    Messages may be lost: each says all that there is to say. How often a
    router sends does not grow with the fleet; what it sends to few of many
    is told on by them.

    Attributes:
        name: This router.
        host: Its IP number.
        zone: Its availability zone.
        members: Other routers.
        freshness: Takes over what they know of the store.
        loads: Takes over what they have on the upstreams.
        link: Carries messages to other routers.
        on_suspected: Called with one that another router found dead.
    """

    def __init__(
        self,
        name: str,
        host: str,
        zone: str,
        seeds: Iterable[str],
        followed: snapshots.Snapshots,
        loads: loads_module.Loads,
        health: health_module.Health,
        link: interfaces.DatagramLink,
        rng: random.Random,
    ) -> None:
        self.name = name
        self.host = host
        self.zone = zone
        self.followed = followed
        self.loads = shared_loads.SharedLoads(followed, loads)
        self.health = health
        self.link = link
        self.rng = rng
        self.incarnation = rng.getrandbits(48)
        self.members = members_module.Members(host, seeds, followed.clock)
        self.freshness = shared_freshness.SharedFreshness(
            self.incarnation, followed, link
        )
        self.leaving = False
        followed.peer_count = self.fleet_size
        followed.on_proof.append(self.tell_proof)
        link.receiver = self.on_message
        self.crashes: crashes_module.Crashes | None = None
        self.on_suspected: Callable[[str], None] = lambda instance: None

    def fleet_size(self) -> int:
        """Returns how many routers were alive lately, this one included."""
        return 1 + len(self.members.alive())

    async def run(self) -> None:
        """Sends messages at their times, and fetches what peers have."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.freshness.run)
            tick = 0
            while True:
                self.tick(tick)
                tick += 1
                await trio.sleep(NEAR_SECONDS * self.rng.uniform(0.9, 1.1))

    def tick(self, tick: int) -> None:
        """Sends what is due at a tick."""
        alive = self.members.alive()
        near = [member for member in alive if member.zone == self.zone]
        self.tell(self.some(near, NEAR_FAN_OUT))
        if tick % FAR_TICKS:
            return
        far = [member for member in alive if member.zone != self.zone]
        self.tell(self.some(far, FAR_FAN_OUT))
        if tick % round(KNOCK_SECONDS / NEAR_SECONDS / FAR_TICKS + 1) == 0:
            self.knock()
        PEERS.set({}, len(alive))

    def knock(self) -> None:
        """Asks hosts that are not known to be alive."""
        self.members.forget_old()
        for host in self.some(self.members.silent_hosts(), KNOCK_FAN_OUT):
            self.send(host)

    def some(self, found: list, count: int) -> list:
        """Returns at most so many, chosen at random."""
        if len(found) <= count:
            return found
        return self.rng.sample(found, count)

    def tell(self, members: Iterable[members_module.Member]) -> None:
        """Sends this router's state to members."""
        for member in members:
            self.send(member.host)

    def tell_proof(self) -> None:
        """Tells others that the store was read just now."""
        self.tell(self.some(self.members.alive(), PROOF_FAN_OUT))

    def leave(self) -> None:
        """Tells others that this router stops."""
        self.leaving = True
        self.tell(self.some(self.members.alive(), PROOF_FAN_OUT))

    def send(self, host: str) -> None:
        """Sends this router's state to a host."""
        DATAGRAMS.inc({'direction': 'out'})
        self.link.send(host, self.state_for(host))

    def state_for(self, host: str) -> messages_forwarding.RouterState:
        """Returns this router's state as it is told to a host."""
        now = self.followed.clock()
        member = self.members.get(host)
        current = self.followed.current
        known = member is not None and member.sent_at is not None
        return messages_forwarding.RouterState(
            name=self.name,
            incarnation=self.incarnation,
            host=self.host,
            zone=self.zone,
            leaving=self.leaving,
            sent_at=now,
            echo_incarnation=member.incarnation if known else 0,
            echo_at=member.sent_at if known else None,
            echo_held=now - member.heard_by if known else 0.0,
            proof_age=None if current is None else self.followed.age,
            revision=0 if current is None else current.revision,
            digest=0 if current is None else current.digest,
            loads=self.loads.told(),
            # a host that is new to this router has yet to learn of others
            members=[] if known and not self.tells_members() else self.told(),
            suspects=self.health.suspects(),
        )

    def tells_members(self) -> bool:
        """Returns whether a router that is known is told of others."""
        return self.rng.random() < MEMBERS_TOLD_SHARE

    def told(self) -> list[str]:
        """Returns hosts that other routers are told of."""
        hosts = [member.host for member in self.members.alive()]
        return self.some(hosts, MAX_MEMBERS_TOLD)

    def on_message(self, message: peer.Message) -> None:
        """Takes in a message of another router."""
        if isinstance(message, messages_forwarding.RouterState):
            self.on_state(message)
        elif isinstance(message, messages_forwarding.CrashNotice):
            self.crashes.on_notice(message)

    def tell_crash(self, notice: messages_forwarding.CrashNotice) -> None:
        """Tells all routers of a request that upstreams died of."""
        for member in self.members.alive():
            for _ in range(CRASH_COPIES):
                self.link.send(member.host, notice)

    def on_state(self, state: messages_forwarding.RouterState) -> None:
        """Takes in what another router tells of itself."""
        if state.name == self.name:
            return
        DATAGRAMS.inc({'direction': 'in'})
        new = self.members.note(state)
        for host in state.members:
            self.members.learn(host)
        self.loads.note(state)
        for instance in state.suspects:
            self.on_suspected(instance)
        gained = self.freshness.note(state)
        if gained > PASS_ON_SECONDS and self.fleet_size() > PROOF_FAN_OUT:
            self.tell(self.some(self.members.alive(), PASS_ON_FAN_OUT))
        if new:
            self.send(state.host)
            for notice in self.crashes.notices():
                self.link.send(state.host, notice)
