"""Freshness and snapshots that forwarding routers have from each other."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend import errors
from lavenderbend.observe import logs

if TYPE_CHECKING:
    from collections.abc import Callable

    from lavenderbend.coordination.forwarding import interfaces
    from lavenderbend.coordination.forwarding import snapshots
    from lavenderbend.protocol import messages_forwarding
    from lavenderbend.state import forwarding

# while upstreams come and go ten times a second, each change would be fetched
# by each router; this part of a version's time takes several at once
FETCH_GAP_PART = 0.1
# one router of a zone fetches from another zone and tells its neighbours; the
# others give it this time, for each router of the zone
FAR_WAIT_SECONDS_EACH = 0.01
MAX_FAR_WAIT_SECONDS = 0.3
NEVER = float('-inf')


@attrs.frozen
class Offer:
    """A newer snapshot that another router has.

    Attributes:
        host: That router.
        near: Whether it is in this router's zone.
        revision: Revision at which it told of it.
        digest: Digest of that snapshot.
        proved_at: Moment at which it was the newest, by this router's clock.
    """

    host: str
    near: bool
    revision: int
    digest: int
    proved_at: float

    @property
    def rank(self) -> tuple[int, bool]:
        """What makes one offer better than another."""
        return self.revision, self.near

    def proof_of(self, snapshot: forwarding.Snapshot) -> float:
        """Returns the moment at which a fetched snapshot was the newest.

        What is fetched may be older than what was told of: that router may
        have started anew between. Its proof is none of an older one.
        """
        same = snapshot.digest == self.digest
        if same or snapshot.revision >= self.revision:
            return self.proved_at
        return NEVER


class SharedFreshness:
    """Takes over what other routers know of the store.

    A message says how old its sender's proof of freshness is. That alone
    proves nothing: the message may have waited while the receiver was
    suspended. Each message also echoes the clock of the last message that
    its sender had from the receiver; what the sender knew when it made the
    message is then at most as old as that echo, by the receiver's own clock.

    Attributes:
        incarnation: Of this router's process.
        followed: What this router knows of the store.
        link: Fetches snapshots.
        zone: This router's availability zone.
        zone_size: Returns how many routers it has.
        fetched: Called when a snapshot has come from another router.
        offer: The latest newer snapshot that was told of.
        offered: Set when there is one.
        near_offered: Set when a neighbour has it.
    """

    def __init__(
        self,
        incarnation: int,
        followed: snapshots.Snapshots,
        link: interfaces.DatagramLink,
        zone: str = '',
    ) -> None:
        self.incarnation = incarnation
        self.followed = followed
        self.link = link
        self.zone = zone
        self.zone_size: Callable[[], int] = lambda: 1
        self.fetched: Callable[[], None] = lambda: None
        self.offer: Offer | None = None
        self.offered = trio.Event()
        self.near_offered = trio.Event()

    def note(self, state: messages_forwarding.RouterState) -> float:
        """Takes over a proof, or notes the snapshot that it is of.

        Returns:
            Seconds by which this router is fresher than before.
        """
        if state.proof_age is None:
            return 0.0
        current = self.followed.current
        proved_at = self.proved_at(state)
        self.followed.note_answered(proved_at)
        if current is None or state.digest != current.digest:
            if current is None or state.revision > current.revision:
                self.note_offer(state, proved_at)
            return 0.0
        gained = proved_at - self.followed.proved_at
        if gained <= 0:
            return 0.0
        if state.revision > current.revision:
            self.followed.current = attrs.evolve(
                current, revision=state.revision
            )
        self.followed.prove(proved_at)
        return gained

    def note_offer(
        self, state: messages_forwarding.RouterState, proved_at: float
    ) -> None:
        """Notes a newer snapshot, unless a better one is to be fetched."""
        offer = Offer(
            state.host,
            state.zone == self.zone,
            state.revision,
            state.digest,
            proved_at,
        )
        if self.offered.is_set() and self.offer.rank > offer.rank:
            return
        self.offer = offer
        self.offered.set()
        if offer.near:
            self.near_offered.set()

    def proved_at(self, state: messages_forwarding.RouterState) -> float:
        """Returns the moment, by this router's clock, of a peer's proof.

        The peer made its message after it heard the message that it echoes,
        `echo_held` seconds after; its proof was `proof_age` old then. Taking
        the echoed message's way as instant errs to the old side.
        """
        if state.echo_at is None:
            return NEVER
        if state.echo_incarnation != self.incarnation:
            # the echo is of this VM's clock before it lost power
            return NEVER
        proved_at = state.echo_at + state.echo_held - state.proof_age
        return min(proved_at, self.followed.clock())

    async def run(self) -> None:
        """Fetches newer snapshots from the routers that told of them."""
        while True:
            await self.offered.wait()
            await self.wait_near()
            offer = self.offer
            self.offered = trio.Event()
            self.near_offered = trio.Event()
            await self.fetch(offer)
            await trio.sleep(
                FETCH_GAP_PART * self.followed.settings.apply_seconds
            )

    async def wait_near(self) -> None:
        """Waits a moment for a neighbour that has the snapshot.

        A configuration that each router of a zone fetched from another zone
        would pass between zones as often as there are routers.
        """
        if self.offer.near:
            return
        most = FAR_WAIT_SECONDS_EACH * (self.zone_size() - 1)
        most = min(most, MAX_FAR_WAIT_SECONDS)
        with trio.move_on_after(most * self.followed.rng.random()):
            await self.near_offered.wait()

    async def fetch(self, offer: Offer) -> None:
        """Fetches a snapshot; the store is read if this fails."""
        current = self.followed.current
        known = None if current is None else current.raw
        try:
            raw = await self.fetch_raw(offer.host, known)
            snapshot = self.followed.source.decode(raw)
        except (errors.PeerError, errors.CodecError) as exc:
            logs.change('peer_snapshot_failed', host=offer.host, cause=str(exc))
            return
        self.followed.accept(snapshot, offer.proof_of(snapshot))
        self.fetched()

    async def fetch_raw(
        self, host: str, known: forwarding.RawSnapshot | None
    ) -> forwarding.RawSnapshot:
        """Returns another router's snapshot, whole if changes do not fit.

        Raises:
            PeerError: It did not answer.
            CodecError: It has no whole snapshot either.
        """
        try:
            return await self.link.fetch(host, known)
        except errors.CodecError as exc:
            if known is None:
                raise
            logs.change('peer_changes_unfit', host=host, cause=str(exc))
        return await self.link.fetch(host, None)
