"""Availability zones whose upstreams get no requests until further notice."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from lavenderbend.observe import logs
from lavenderbend.observe import metrics

if TYPE_CHECKING:
    from lavenderbend.state import forwarding

ZONES = metrics.gauge(
    'lavenderbend_forward_drained_zones',
    'Availability zones whose upstreams get no requests.',
)


class DrainedZones:
    """The zones that operators drain.

    The snapshot of the store says which zones are drained. Where a snapshot
    arrives late, the facts of other routers name the revision that shows it;
    any snapshot of that revision or later overrides them, so that a zone that
    was taken back stays so.

    Attributes:
        zones: Drained zones, with the router clock at which this router
            learned of it.
        reported: Revisions at which other routers saw a zone drained that the
            snapshot does not show.
    """

    def __init__(self) -> None:
        self.zones: dict[str, float] = {}
        self.reported: dict[str, int] = {}

    def apply_snapshot(self, snapshot: forwarding.Snapshot) -> None:
        """Takes over the drained zones of a snapshot."""
        self.reported = {
            zone: revision
            for zone, revision in self.reported.items()
            if revision > snapshot.revision
        }
        self.update({*snapshot.drained_zones, *self.reported}, snapshot)

    def note(self, zone: str, revision: int) -> bool:
        """Records that a later revision shows a zone as drained.

        Returns:
            Whether the zone was not known to be drained.
        """
        self.reported[zone] = max(revision, self.reported.get(zone, 0))
        if zone in self.zones:
            return False
        self.zones[zone] = trio.current_time()
        ZONES.set({}, len(self.zones))
        logs.change('zone_drained', zone=zone, revision=revision, by='peer')
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
