"""Proofs of freshness and snapshots shared between routers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend import errors
from lavenderbend.observe import logs
from lavenderbend.state import forwarding

if TYPE_CHECKING:
    from collections.abc import Callable

    from lavenderbend.coordination.forwarding import interfaces
    from lavenderbend.coordination.forwarding import (
        snapshots as snapshots_module,
    )
    from lavenderbend.protocol import messages_forwarding

# Minimum interval between fetches as a fraction of `apply_seconds`. While
# upstreams come and go ten times a second, every router would otherwise fetch
# every change; within the interval several changes are fetched at once.
FETCH_INTERVAL_FRACTION = 0.1
# One router of a zone fetches from another zone and offers the snapshot to the
# others, which wait for that up to this time for each router of the zone.
WAIT_SECONDS_PER_ROUTER = 0.01
MAX_WAIT_SECONDS = 0.3
NEVER = float('-inf')


@attrs.frozen
class SnapshotOffer:
    """A newer snapshot that another router has.

    Attributes:
        host: That router.
        same_zone: Whether it is in this router's zone.
        position: Position of the snapshot when it was offered.
        identity: Identity of the snapshot.
        proved_at: Time, by this router's suspension clock, at which the
            snapshot is known to have been the newest.
    """

    host: str
    same_zone: bool
    position: forwarding.StorePosition
    identity: tuple[int, int, int]
    proved_at: float

    @property
    def version(self) -> int:
        """Version of the snapshot's configuration."""
        return self.identity[-1]

    @property
    def rank(self) -> tuple[int, forwarding.StorePosition, bool]:
        """Sort key; the higher of two offers is preferred."""
        return self.version, self.position, self.same_zone

    def proof_of(self, snapshot: forwarding.Snapshot) -> float:
        """Returns the time at which a fetched snapshot was the newest.

        The fetched snapshot may be older than the offered one, if that router
        was restarted in between. The offer's proof does not hold for an older
        snapshot.
        """
        same = snapshot.identity == self.identity
        if same or snapshot.position >= self.position:
            return self.proved_at
        return NEVER


class SharedFreshness:
    """Takes over proofs of freshness and snapshots of other routers.

    A message contains the age of its sender's proof of freshness. That alone
    proves nothing: the message may have been queued while the receiver was
    suspended. Each message also echoes the clock of the last message that its
    sender received from the receiver. By the receiver's own clock, the sender's
    state in the message is then at most as old as that echo.

    Attributes:
        incarnation: Of this router's process.
        snapshots: This router's copy of the store.
        link: Fetches snapshots.
        zone: This router's availability zone.
        zone_size: Returns the number of live routers of the zone.
        on_fetched: Called when a snapshot was fetched from another router.
        offer: The best offer of a newer snapshot.
        has_offer: Set when there is an offer to fetch.
        has_same_zone_offer: Set when a router of the same zone has made one.
    """

    def __init__(
        self,
        incarnation: int,
        snapshots: snapshots_module.Snapshots,
        link: interfaces.DatagramLink,
        zone: str = '',
    ) -> None:
        self.incarnation = incarnation
        self.snapshots = snapshots
        self.link = link
        self.zone = zone
        self.zone_size: Callable[[], int] = lambda: 1
        self.on_fetched: Callable[[], None] = lambda: None
        self.offer: SnapshotOffer | None = None
        self.has_offer = trio.Event()
        self.has_same_zone_offer = trio.Event()

    def note(self, state: messages_forwarding.RouterState) -> float:
        """Takes over a proof, or records the offer of a newer snapshot.

        Returns:
            Seconds by which this router's proof became newer.
        """
        if state.proof_age is None:
            return 0.0
        current = self.snapshots.current
        proved_at = self.proved_at(state)
        self.snapshots.note_answered(proved_at)
        if current is None or identity_of(state) != current.identity:
            if current is None or self.is_later(state, proved_at):
                self.note_offer(state, proved_at)
            return 0.0
        gained = proved_at - self.snapshots.proved_at
        if gained <= 0:
            return 0.0
        if state.revision > current.revision:
            self.snapshots.raise_revision(state.revision)
        self.snapshots.prove(proved_at)
        return gained

    def is_later(
        self, state: messages_forwarding.RouterState, proved_at: float
    ) -> bool:
        """Returns whether a peer's snapshot is later than this router's.

        A later version of the configuration is, wherever the rest was read.
        Where the store names no era, routers find out by themselves that it
        came back, and may not have counted alike: only what was proved later
        is sure to be later.
        """
        current = self.snapshots.current
        if state.version > current.version:
            return True
        if state.era > current.era:
            return proved_at > self.snapshots.proved_at
        return position_of(state) > current.position

    def note_offer(
        self, state: messages_forwarding.RouterState, proved_at: float
    ) -> None:
        """Records an offer, unless a better one waits to be fetched."""
        offer = SnapshotOffer(
            state.host,
            state.zone == self.zone,
            position_of(state),
            identity_of(state),
            proved_at,
        )
        if self.has_offer.is_set() and self.offer.rank > offer.rank:
            return
        self.offer = offer
        self.has_offer.set()
        if offer.same_zone:
            self.has_same_zone_offer.set()

    def proved_at(self, state: messages_forwarding.RouterState) -> float:
        """Returns the time of a peer's proof, by this router's clock.

        The peer sent its message `echo_delay` seconds after it received the
        message that it echoes; its proof was `proof_age` seconds old then. The
        transit time of the echoed message counts as zero, so the result is
        never too late.
        """
        if state.echo_at is None:
            return NEVER
        if state.echo_incarnation != self.incarnation:
            # The echoed clock value is from an earlier start of this VM: its
            # clock began anew after a power loss.
            return NEVER
        proved_at = state.echo_at + state.echo_delay - state.proof_age
        return min(proved_at, self.snapshots.clock())

    async def run(self) -> None:
        """Fetches newer snapshots from the routers that offered them."""
        while True:
            await self.has_offer.wait()
            await self.wait_for_same_zone()
            offer = self.offer
            self.has_offer = trio.Event()
            self.has_same_zone_offer = trio.Event()
            await self.fetch(offer)
            self.snapshots.first_contact.set()
            await trio.sleep(
                FETCH_INTERVAL_FRACTION * self.snapshots.settings.apply_seconds
            )

    async def wait_for_same_zone(self) -> None:
        """Waits briefly for an offer from a router of the same zone.

        Without this every router of a zone would fetch a configuration from
        another zone, and it would be transferred between zones as often as
        there are routers.
        """
        if self.offer.same_zone:
            return
        max_seconds = WAIT_SECONDS_PER_ROUTER * (self.zone_size() - 1)
        max_seconds = min(max_seconds, MAX_WAIT_SECONDS)
        with trio.move_on_after(max_seconds * self.snapshots.rng.random()):
            await self.has_same_zone_offer.wait()

    async def fetch(self, offer: SnapshotOffer) -> None:
        """Fetches a snapshot; if this fails, a later store read provides it."""
        current = self.snapshots.current
        known = None if current is None else current.raw
        try:
            raw = await self.fetch_raw(offer.host, known)
            snapshot = self.snapshots.source.decode(raw)
        except (errors.PeerError, errors.CodecError) as exc:
            logs.change('peer_snapshot_failed', host=offer.host, cause=str(exc))
            return
        self.snapshots.accept(snapshot, offer.proof_of(snapshot))
        self.on_fetched()

    async def fetch_raw(
        self, host: str, known: forwarding.RawSnapshot | None
    ) -> forwarding.RawSnapshot:
        """Returns a router's snapshot, whole if changes cannot be merged.

        Raises:
            PeerError: It did not answer.
            CodecError: Its whole snapshot could not be read either.
        """
        try:
            return await self.link.fetch(host, known)
        except errors.CodecError as exc:
            if known is None:
                raise
            logs.change('peer_changes_unfit', host=host, cause=str(exc))
        return await self.link.fetch(host, None)


def position_of(
    state: messages_forwarding.RouterState,
) -> forwarding.StorePosition:
    """Returns the position of the sender's snapshot."""
    return forwarding.StorePosition(state.era, state.revision)


def identity_of(
    state: messages_forwarding.RouterState,
) -> tuple[int, int, int]:
    """Returns the identity of the sender's snapshot."""
    return state.era, state.digest, state.version
