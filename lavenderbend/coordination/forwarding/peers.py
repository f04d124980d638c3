"""Routers that tell each other how fresh they are and what they have sent."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend import errors
from lavenderbend.observe import logs
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
    from lavenderbend.state import forwarding

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
FORGET_SECONDS = 60.0
# in a fleet of a hundred a router hears each other one every twelve seconds;
# one that fell silent counts on for the parts of the fleet's budget, which
# errs to the safe side
ALIVE_SECONDS = 20.0
# a datagram may be lost; a notice is sent only once, so in two copies
CRASH_COPIES = 2
# while upstreams come and go ten times a second, each change would be fetched
# by each router; this part of a version's time takes several at once
FETCH_GAP_PART = 0.1
MAX_MEMBERS_TOLD = 12
MAX_LOAD = 255

DATAGRAMS = metrics.counter(
    'lavenderbend_forward_peer_messages_total',
    'Messages to and from other routers, by direction.',
)
PEERS = metrics.gauge(
    'lavenderbend_forward_peers', 'Other routers heard lately.'
)


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


class Peers:
    """Exchanges messages with other routers.

    A message says how old its sender's proof of freshness is. That alone
    proves nothing: the message may have waited while the receiver was
    suspended. Each message also echoes the clock of the last message that
    its sender had from the receiver; what the sender knew when it made the
    message is then at most as old as that echo, by the receiver's own clock.

    Attributes:
        name: This router.
        host: Its IP number.
        zone: Its availability zone.
        members: Other routers by host.
        seeds: Hosts that are asked until somebody is known.
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
        self.seeds = [seed for seed in seeds if seed != host]
        self.followed = followed
        self.loads = loads
        self.health = health
        self.link = link
        self.rng = rng
        self.incarnation = rng.getrandbits(48)
        self.members: dict[str, Member] = {}
        self.leaving = False
        self.fetching: trio.Event | None = None
        self.pending: tuple[str, float] | None = None
        self.order: tuple[int, list[str]] = (0, [])
        followed.peer_count = self.fleet_size
        followed.on_proof.append(self.tell_proof)
        link.receiver = self.on_message
        self.crashes: crashes_module.Crashes | None = None
        self.on_suspected: Callable[[str], None] = lambda instance: None

    def fleet_size(self) -> int:
        """Returns how many routers were alive lately, this one included."""
        return 1 + len(self.alive())

    def alive(self) -> list[Member]:
        """Returns the members that were heard lately."""
        oldest = trio.current_time() - ALIVE_SECONDS
        return [
            member
            for member in self.members.values()
            if member.name and member.heard_at >= oldest
        ]

    async def run(self) -> None:
        """Sends messages at their times, and fetches what peers have."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.fetch_wanted)
            tick = 0
            while True:
                self.tick(tick)
                tick += 1
                await trio.sleep(NEAR_SECONDS * self.rng.uniform(0.9, 1.1))

    def tick(self, tick: int) -> None:
        """Sends what is due at a tick."""
        alive = self.alive()
        near = [member for member in alive if member.zone == self.zone]
        self.tell(self.some(near, NEAR_FAN_OUT))
        if tick % FAR_TICKS:
            return
        far = [member for member in alive if member.zone != self.zone]
        self.tell(self.some(far, FAR_FAN_OUT))
        if tick % round(KNOCK_SECONDS / NEAR_SECONDS / FAR_TICKS + 1) == 0:
            self.knock(alive)
        PEERS.set({}, len(alive))

    def knock(self, alive: list[Member]) -> None:
        """Asks hosts that are not known to be alive."""
        now = trio.current_time()
        for host, member in list(self.members.items()):
            if now - member.heard_at > FORGET_SECONDS:
                del self.members[host]
        heard = {member.host for member in alive}
        hosts = [*self.seeds, *self.members]
        silent = sorted({host for host in hosts if host not in heard})
        for host in self.some(silent, KNOCK_FAN_OUT):
            self.send(host)

    def some(self, found: list, count: int) -> list:
        """Returns at most so many, chosen at random."""
        if len(found) <= count:
            return found
        return self.rng.sample(found, count)

    def tell(self, members: Iterable[Member]) -> None:
        """Sends this router's state to members."""
        for member in members:
            self.send(member.host)

    def tell_proof(self) -> None:
        """Tells others that the store was read just now."""
        self.tell(self.some(self.alive(), PROOF_FAN_OUT))

    def leave(self) -> None:
        """Tells others that this router stops."""
        self.leaving = True
        self.tell(self.some(self.alive(), PROOF_FAN_OUT))

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
            loads=self.own_loads(),
            # a host that is new to this router has yet to learn of others
            members=[] if known and self.rng.random() < 0.9 else self.told(),
            suspects=self.health.suspects(),
        )

    def told(self) -> list[str]:
        """Returns hosts that other routers are told of."""
        hosts = [member.host for member in self.alive()]
        return self.some(hosts, MAX_MEMBERS_TOLD)

    def instances(self, snapshot: forwarding.Snapshot) -> list[str]:
        """Returns the instances of a snapshot in their order."""
        if self.order[0] != snapshot.digest:
            self.order = (snapshot.digest, sorted(snapshot.upstreams))
        return self.order[1]

    def own_loads(self) -> bytes:
        """Returns this router's requests on each upstream."""
        current = self.followed.current
        if current is None:
            return b''
        own = self.loads.own
        return bytes(
            min(own.get(instance, 0), MAX_LOAD)
            for instance in self.instances(current)
        )

    def on_message(self, message: peer.Message) -> None:
        """Takes in a message of another router."""
        if isinstance(message, messages_forwarding.RouterState):
            self.on_state(message)
        elif isinstance(message, messages_forwarding.CrashNotice):
            self.crashes.on_notice(message)

    def tell_crash(self, notice: messages_forwarding.CrashNotice) -> None:
        """Tells all routers of a request that upstreams died of."""
        for member in self.alive():
            for _ in range(CRASH_COPIES):
                self.link.send(member.host, notice)

    def on_state(self, state: messages_forwarding.RouterState) -> None:
        """Takes in what another router tells of itself."""
        if state.name == self.name:
            return
        DATAGRAMS.inc({'direction': 'in'})
        new = self.note_member(state)
        for host in state.members:
            self.learn(host)
        self.note_loads(state)
        for instance in state.suspects:
            self.on_suspected(instance)
        self.note_freshness(state)
        if new:
            self.send(state.host)
            for notice in self.crashes.notices():
                self.link.send(state.host, notice)

    def note_member(self, state: messages_forwarding.RouterState) -> bool:
        """Notes that a router is alive; returns whether it is new."""
        member = self.members.get(state.host)
        now = trio.current_time()
        if member is None:
            member = Member(state.host, now)
            self.members[state.host] = member
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
        member.heard_at = now
        member.heard_by = self.followed.clock()
        member.leaving = state.leaving
        return new

    def learn(self, host: str) -> None:
        """Notes a host that another router knows."""
        if host != self.host and host not in self.members:
            self.members[host] = Member(host, trio.current_time())

    def note_loads(self, state: messages_forwarding.RouterState) -> None:
        """Notes what another router has on the upstreams."""
        current = self.followed.current
        if current is None or state.digest != current.digest:
            return
        counts = {
            instance: count
            for instance, count in zip(
                self.instances(current), state.loads, strict=False
            )
            if count
        }
        self.loads.note_peer(state.name, counts)

    def note_freshness(self, state: messages_forwarding.RouterState) -> None:
        """Takes over a proof of freshness, or the snapshot that it is of."""
        if state.proof_age is None:
            return
        current = self.followed.current
        proved_at = self.proved_at(state)
        if current is None or state.digest != current.digest:
            newer = current is None or state.revision > current.revision
            if newer:
                self.pending = (state.host, proved_at)
                if self.fetching is not None:
                    self.fetching.set()
            return
        gained = proved_at - self.followed.proved_at
        if gained <= 0:
            return
        if state.revision > current.revision:
            self.followed.current = attrs.evolve(
                current, revision=state.revision
            )
        self.followed.prove(proved_at)
        if gained > PASS_ON_SECONDS and self.fleet_size() > PROOF_FAN_OUT:
            self.tell(self.some(self.alive(), PASS_ON_FAN_OUT))

    def proved_at(self, state: messages_forwarding.RouterState) -> float:
        """Returns the moment, by this router's clock, of a peer's proof.

        The peer made its message after it heard the message that it echoes,
        `echo_held` seconds after; its proof was `proof_age` old then. Taking
        the echoed message's way as instant errs to the old side.
        """
        if state.echo_at is None:
            return float('-inf')
        if state.echo_incarnation != self.incarnation:
            # the echo is of this VM's clock before it lost power
            return float('-inf')
        proved_at = state.echo_at + state.echo_held - state.proof_age
        return min(proved_at, self.followed.clock())

    async def fetch_wanted(self) -> None:
        """Fetches newer snapshots from the routers that told of them."""
        while True:
            self.fetching = trio.Event()
            if self.pending is None:
                await self.fetching.wait()
            host, proved_at = self.pending
            self.pending = None
            await self.fetch(host, proved_at)
            await trio.sleep(
                FETCH_GAP_PART * self.followed.settings.apply_seconds
            )

    async def fetch(self, host: str, proved_at: float) -> None:
        """Fetches a snapshot; the store is read if this fails."""
        try:
            current = self.followed.current
            known = None if current is None else current.raw
            raw = await self.link.fetch(host, known)
            snapshot = self.followed.source.decode(raw)
        except (errors.PeerError, errors.CodecError) as exc:
            logs.change('peer_snapshot_failed', host=host, cause=str(exc))
            return
        self.followed.accept(snapshot, proved_at)
