"""Records in the store of the availability zones that have routers."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import trio

from lavenderbend import errors
from lavenderbend.coordination.forwarding import store_writers
from lavenderbend.coordination.forwarding.warm_up import rate_shares
from lavenderbend.observe import logs
from lavenderbend.observe import metrics
from lavenderbend.state import forwarding

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lavenderbend.coordination.forwarding import fleet_count
    from lavenderbend.coordination.forwarding import interfaces
    from lavenderbend.coordination.forwarding import (
        snapshots as snapshots_module,
    )
    from lavenderbend.coordination.forwarding.warm_up import coldness as colds

# A snapshot without a record shows that there is none for this long after it
# was proved to be the newest.
ABSENCE_SECONDS = 4.0
CONFIRM_MARGIN_SECONDS = 0.8
# A record that has been there for this long is confirmed: no second contains
# requests of a router that took it for absent and of one that knows of this.
CONFIRM_SECONDS = (
    ABSENCE_SECONDS + rate_shares.WINDOW_SECONDS + CONFIRM_MARGIN_SECONDS
)
# Routers that start discover each other meanwhile, and agree on who writes.
ANNOUNCE_SECONDS = 1.5
CHECK_SECONDS = 0.5

WRITES = metrics.counter(
    'lavenderbend_forward_zone_record_writes_total',
    'Records of zones with routers that this router wrote, by outcome.',
)


class Presence(enum.Enum):
    """What is known of the routers of an availability zone."""

    CONFIRMED = 'every router knows that it has routers'
    UNCERTAIN = 'it may have routers of which others do not know'
    ABSENT = 'no router of it was recorded'


class ZoneRecords:
    """Knows which availability zones have routers, across restarts.

    A router that was restarted while it hears nothing of a zone cannot tell by
    itself whether that zone ever had routers. The store can, and a router reads
    it before it serves: routers record each zone of which they hear. A record
    is first announced. It is confirmed when no router can act any more on a
    snapshot from before it. Records are never removed by routers: nobody could
    tell a zone that lost its routers for good from one that is cut off.

    Attributes:
        snapshots: The contents of the store.
        store: Takes the records.
        fleet: The zones of which this router hears, its own included.
        coldness: Knows whether any pool has a warm-up rate; without one
            nothing is recorded.
        records: Records of the latest snapshot.
        pending: Suspension clock since which a record is known to be missing
            (revision 0) or not confirmed, by zone and revision.
        lost: Zones whose record the store has lost, and that are recorded
            again.
        era: Era of the latest snapshot.
    """

    def __init__(
        self,
        snapshots: snapshots_module.Snapshots,
        store: interfaces.ZoneRecordStore,
        fleet: fleet_count.FleetCount,
        coldness: colds.Coldness,
    ) -> None:
        self.snapshots = snapshots
        self.store = store
        self.fleet = fleet
        self.coldness = coldness
        self.records: Mapping[str, forwarding.ZoneRecord] = {}
        self.pending: dict[tuple[str, int], float] = {}
        self.lost: set[str] = set()
        self.era = 0
        snapshots.on_change.append(self.apply_snapshot)

    def presence(self, zone: str) -> Presence:
        """Returns what is known of the routers of a zone."""
        record = self.records.get(zone)
        if record is not None:
            return (
                Presence.CONFIRMED if record.confirmed else Presence.UNCERTAIN
            )
        absent = self.is_fresh() and zone not in self.lost
        return Presence.ABSENT if absent else Presence.UNCERTAIN

    def is_fresh(self) -> bool:
        """Returns whether the snapshot shows what is missing in the store."""
        return self.snapshots.age < ABSENCE_SECONDS

    def apply_snapshot(self, snapshot: forwarding.Snapshot) -> None:
        """Takes over the records of a snapshot, and logs what changed."""
        before, self.records = self.records, snapshot.zone_records
        if snapshot.era != self.era:
            self.lost |= before.keys()
            self.pending = {}
        self.era = snapshot.era
        self.lost -= self.records.keys()
        for zone in sorted(before.keys() | self.records.keys()):
            record = self.records.get(zone)
            if record != before.get(zone):
                logs.change(
                    'zone_record_changed',
                    zone=zone,
                    presence=self.presence(zone).name.lower(),
                    revision=snapshot.revision,
                )
        self.update_pending()

    def update_pending(self) -> None:
        """Updates which records are missing or not confirmed, since when."""
        now = self.snapshots.clock()
        revisions = dict.fromkeys([*self.fleet.recent(), *sorted(self.lost)], 0)
        revisions.update(
            {zone: record.revision for zone, record in self.records.items()}
        )
        self.pending = {
            (zone, revision): self.pending.get((zone, revision), now)
            for zone, revision in revisions.items()
            if not self.is_confirmed(zone)
        }

    def is_confirmed(self, zone: str) -> bool:
        """Returns whether a zone has a confirmed record."""
        record = self.records.get(zone)
        return record is not None and record.confirmed

    async def run(self) -> None:
        """Writes the records that are due."""
        while True:
            await trio.sleep(CHECK_SECONDS)
            self.update_pending()
            for zone, revision in self.due():
                # the revision names another content once the era has changed
                if (zone, revision) in self.due():
                    await self.write(zone, revision)

    def due(self) -> list[tuple[str, int]]:
        """Returns zones whose record is to be written, with its revision."""
        if not self.pending or not self.coldness.pools or not self.is_fresh():
            return []
        now = self.snapshots.clock()
        wait = store_writers.wait_seconds(self.snapshots)
        return [
            (zone, revision)
            for (zone, revision), since in self.pending.items()
            if now - since - wait
            >= (CONFIRM_SECONDS if revision else ANNOUNCE_SECONDS)
        ]

    async def write(self, zone: str, revision: int) -> None:
        """Announces a zone that has no record, or confirms its record."""
        # A record that could not be written is due again later.
        self.pending[zone, revision] = self.snapshots.clock()
        confirmed = revision != 0
        try:
            written = await self.store.write_zone_record(
                zone, forwarding.StorePosition(self.era, revision), confirmed
            )
        except errors.KeyValueError as exc:
            WRITES.inc({'outcome': 'failed'})
            logs.change(
                'zone_record_failed',
                zone=zone,
                confirmed=confirmed,
                cause=str(exc),
            )
            return
        WRITES.inc({'outcome': 'written' if written else 'changed meanwhile'})
