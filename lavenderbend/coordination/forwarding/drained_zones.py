"""Availability zones whose upstreams get no requests until further notice."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from lavenderbend.observe import logs
from lavenderbend.observe import metrics

if TYPE_CHECKING:
    from lavenderbend.state import forwarding

# After this time the store shows again what operators had written.
WRITTEN_AGAIN_SECONDS = 10.0

ZONES = metrics.gauge(
    'lavenderbend_forward_drained_zones',
    'Availability zones whose upstreams get no requests.',
)


class DrainedZones:
    """The zones that operators drain.

    The snapshot of the store says which zones are drained. Where a snapshot
    arrives late, the facts of other routers name the position that shows it;
    any snapshot of that position or later overrides them, so that a zone that
    was taken back stays so. A store that has come back from a copy may lack
    what drained a zone until operators have written it again.

    Attributes:
        zones: Drained zones, with the router clock at which this router
            learned of it.
        reported: Positions at which other routers saw a zone drained that the
            snapshot does not show.
        lost: Zones that were drained before the store came back and have not
            been since, and the router clock until which they stay so.
        era: Era of the latest snapshot.
    """

    def __init__(self) -> None:
        self.zones: dict[str, float] = {}
        self.reported: dict[str, forwarding.StorePosition] = {}
        self.lost: dict[str, float] = {}
        self.era = 0

    def apply_snapshot(self, snapshot: forwarding.Snapshot) -> None:
        """Takes over the drained zones of a snapshot."""
        now = trio.current_time()
        if snapshot.era != self.era:
            self.era = snapshot.era
            self.lost = dict.fromkeys(self.zones, now + WRITTEN_AGAIN_SECONDS)
        self.lost = {
            zone: until
            for zone, until in self.lost.items()
            if until > now and zone not in snapshot.drained_zones
        }
        self.reported = {
            zone: position
            for zone, position in self.reported.items()
            if position > snapshot.position
        }
        self.update(
            {*snapshot.drained_zones, *self.reported, *self.lost}, snapshot
        )

    def note(self, zone: str, position: forwarding.StorePosition) -> bool:
        """Records that a later position shows a zone as drained.

        Returns:
            Whether the zone was not known to be drained.
        """
        self.reported[zone] = max(position, self.reported.get(zone, position))
        if zone in self.zones:
            return False
        self.zones[zone] = trio.current_time()
        ZONES.set({}, len(self.zones))
        logs.change(
            'zone_drained', zone=zone, revision=position.revision, by='peer'
        )
        return True

    def update(self, zones: set[str], snapshot: forwarding.Snapshot) -> None:
        """Replaces the drained zones, and logs which ones changed."""
        now = trio.current_time()
        for zone in sorted(zones - self.zones.keys()):
            logs.change(
                'zone_drained',
                zone=zone,
                revision=snapshot.revision,
                by='snapshot',
            )
        for zone in sorted(self.zones.keys() - zones):
            logs.change(
                'zone_taken_back',
                zone=zone,
                revision=snapshot.revision,
                drained_seconds=round(now - self.zones[zone], 3),
            )
        self.zones = {zone: self.zones.get(zone, now) for zone in sorted(zones)}
        ZONES.set({}, len(self.zones))
