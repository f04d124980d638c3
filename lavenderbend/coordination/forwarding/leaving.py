"""Upstreams known to be leaving although this router's snapshot lacks it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend.state import forwarding
from lavenderbend.state import upstreams

if TYPE_CHECKING:
    from collections.abc import Collection

LIVE = upstreams.VmState.LIVE
# How long an announcement is kept after the upstream was last seen: an expired
# entry of the store may return, and not show that the upstream leaves.
ANNOUNCED_SECONDS = 60.0
# How long a departure is kept: by then a store that came back from a copy shows
# again what upstreams wrote.
DEPARTED_SECONDS = 60.0


@attrs.frozen
class Departure:
    """That an upstream was seen to leave, or to be gone.

    Attributes:
        position: Position of the store that shows it.
        noted_at: Router clock at which this router learned of it, or at which
            the store last came back from a copy.
    """

    position: forwarding.StorePosition
    noted_at: float


class LeavingUpstreams:
    """Upstreams that leave, by snapshots of any router or by responses.

    Attributes:
        era: Era of this router's snapshot.
        departures: Upstreams that the store showed to leave. An entry written
            later in the same era overrides it; one of a later era may be from
            a copy that was made before.
        announced: By upstream whose responses announced that it leaves, the
            router clock at which it was last known to exist. No store entry
            overrides it: one written before may reach the store later.
    """

    def __init__(self) -> None:
        self.era = 0
        self.departures: dict[str, Departure] = {}
        self.announced: dict[str, float] = {}

    def is_staying(self, upstream: forwarding.Upstream) -> bool:
        """Returns whether the upstream is not known to be leaving."""
        if upstream.vm.state is not LIVE or upstream.instance in self.announced:
            return False
        departure = self.departures.get(upstream.instance)
        if departure is None:
            return True
        listed = forwarding.StorePosition(self.era, upstream.revision)
        return (
            departure.position.era == self.era and departure.position < listed
        )

    def note_left(
        self, instance: str, position: forwarding.StorePosition
    ) -> None:
        """Records that the store shows that an upstream leaves."""
        known = self.departures.get(instance)
        if known is None or known.position < position:
            self.departures[instance] = Departure(position, trio.current_time())

    def note_announced(self, instance: str) -> None:
        """Records that a response announced that its upstream leaves."""
        self.announced[instance] = trio.current_time()

    def forget(
        self, snapshot: forwarding.Snapshot, lapsed: Collection[str]
    ) -> None:
        """Removes old departures and announcements.

        Args:
            snapshot: The snapshot.
            lapsed: Upstreams that it lacks and that may still exist.
        """
        now = trio.current_time()
        self.forget_departures(snapshot, now)
        self.announced = {
            instance: at
            for instance, at in self.announced.items()
            if at > now - ANNOUNCED_SECONDS
        }
        for instance in self.announced:
            if instance in snapshot.upstreams or instance in lapsed:
                self.announced[instance] = now

    def forget_departures(
        self, snapshot: forwarding.Snapshot, now: float
    ) -> None:
        """Removes old departures; a return of the store makes them young."""
        if snapshot.era != self.era:
            self.era = snapshot.era
            self.departures = {
                instance: attrs.evolve(departure, noted_at=now)
                for instance, departure in self.departures.items()
            }
        self.departures = {
            instance: departure
            for instance, departure in self.departures.items()
            if departure.noted_at > now - DEPARTED_SECONDS
        }

    def shown_as_ready(
        self, snapshot: forwarding.Snapshot
    ) -> dict[str, forwarding.StorePosition]:
        """Returns departures of earlier eras that a snapshot does not show."""
        return {
            instance: departure.position
            for instance, departure in self.departures.items()
            if departure.position.era != snapshot.era
            and instance in snapshot.upstreams
            and snapshot.upstreams[instance].vm.state is LIVE
        }
