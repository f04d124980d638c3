"""Records in the store of prompt parts that crash upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from lavenderbend import errors
from lavenderbend.coordination.forwarding import store_writers
from lavenderbend.observe import logs
from lavenderbend.observe import metrics

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lavenderbend.coordination.forwarding import interfaces
    from lavenderbend.coordination.forwarding import (
        snapshots as snapshots_module,
    )
    from lavenderbend.coordination.forwarding.crashing_parts import (
        crashing_parts,
    )
    from lavenderbend.coordination.forwarding.crashing_parts import quarantines
    from lavenderbend.state import forwarding

# The store removes a record after this time, the longest of its leases.
RECORD_SECONDS = 600.0
# What was written shows in the snapshot within this time; until then it is not
# written again.
SHOWN_SECONDS = 2.0
CHECK_SECONDS = 0.5
# Routers write no more records than this; they know further parts from each
# other.
MAX_RECORDS = 64

NEVER = float('-inf')

WRITES = metrics.counter(
    'lavenderbend_forward_part_record_writes_total',
    'Records of crashing prompt parts written or removed here, by outcome.',
)


class PartRecords:
    """Keeps quarantined parts in the store, across restarts.

    A router that starts when all others do would learn of a part only by
    further crashes. It reads the store before it serves.

    Attributes:
        snapshots: The contents of the store.
        store: Takes the records.
        parts: Knows which parts are quarantined.
        records: Records of the latest snapshot, by part.
        void: Revisions of records of parts that were answered since, by part.
        written_at: Router clock of the last write, by part.
        era: Era of the latest snapshot.
    """

    def __init__(
        self,
        snapshots: snapshots_module.Snapshots,
        store: interfaces.PartRecordStore,
        parts: crashing_parts.CrashingParts,
    ) -> None:
        self.snapshots = snapshots
        self.store = store
        self.parts = parts
        self.records: Mapping[int, forwarding.PartRecord] = {}
        self.void: dict[int, int] = {}
        self.written_at: dict[int, float] = {}
        self.era = 0
        snapshots.on_change.append(self.apply_snapshot)
        parts.on_cleared = self.note_cleared

    def apply_snapshot(self, snapshot: forwarding.Snapshot) -> None:
        """Takes over the records of a snapshot."""
        before, self.records = self.records, snapshot.part_records
        if snapshot.era != self.era:
            # What is missing was lost, and is written again.
            before = {}
            self.void.clear()
        self.era = snapshot.era
        for part, record in self.records.items():
            if self.parts.was_answered(part):
                self.void[part] = record.revision
            if record.revision != self.void.get(part):
                self.parts.note_recorded(part, record.strike)
        for part in before.keys() - self.records.keys():
            self.void.pop(part, None)
            self.parts.note_unrecorded(part)

    def note_cleared(self, part: int) -> None:
        """Has the record of a part removed that was answered since."""
        record = self.records.get(part)
        if record is not None:
            self.void[part] = record.revision

    async def run(self) -> None:
        """Writes and removes the records that are due."""
        while True:
            await trio.sleep(CHECK_SECONDS)
            # a snapshot that arrives during a write may change what is due
            for part, quarantine in self.due():
                if (part, quarantine) in self.due():
                    await self.write(part, quarantine.strike)
            for part in self.due_removals():
                if self.may_remove(part):
                    await self.remove(part)

    def due(self) -> list[tuple[int, quarantines.Quarantine]]:
        """Returns the parts whose record is to be written."""
        now = trio.current_time()
        wait = store_writers.wait_seconds(self.snapshots)
        due = [
            (part, quarantine)
            for part, quarantine in self.parts.quarantines.items()
            if self.lacks_record(part, quarantine)
            and self.may_write(part)
            and now - quarantine.in_force_at >= wait
        ]
        replacing = [entry for entry in due if entry[0] in self.records]
        new = [entry for entry in due if entry[0] not in self.records]
        written = [part for part in self.written_at if not self.may_write(part)]
        room = MAX_RECORDS - len({*self.records, *written})
        return replacing + new[: max(room, 0)]

    def lacks_record(
        self, part: int, quarantine: quarantines.Quarantine
    ) -> bool:
        """Returns whether the store does not name a part, or its strike."""
        record = self.records.get(part)
        return record is None or record.strike < quarantine.strike

    def due_removals(self) -> list[int]:
        """Returns the parts whose record is to be removed."""
        return [part for part in self.void if self.may_remove(part)]

    def may_remove(self, part: int) -> bool:
        """Returns whether the record of a part is void and can be removed."""
        record = self.records.get(part)
        if record is None or record.revision != self.void.get(part):
            return False
        return part not in self.parts.quarantines and self.may_write(part)

    def may_write(self, part: int) -> bool:
        """Returns whether an earlier write of a record would show by now."""
        written_at = self.written_at.get(part, NEVER)
        return trio.current_time() - written_at >= SHOWN_SECONDS

    async def write(self, part: int, strike: int) -> None:
        """Records that a part is quarantined."""
        record = self.records.get(part)
        revision = 0 if record is None else record.revision
        self.written_at[part] = trio.current_time()
        try:
            written = await self.store.write_part_record(
                part, revision, strike, RECORD_SECONDS
            )
        except errors.KeyValueError as exc:
            note_failed(part, exc)
            return
        WRITES.inc({'outcome': 'written' if written else 'changed meanwhile'})

    async def remove(self, part: int) -> None:
        """Removes the record of a part that was answered since."""
        self.written_at[part] = trio.current_time()
        try:
            removed = await self.store.remove_part_record(part, self.void[part])
        except errors.KeyValueError as exc:
            note_failed(part, exc)
            return
        WRITES.inc({'outcome': 'removed' if removed else 'changed meanwhile'})

    def remove_expired(self) -> None:
        """Forgets the writes of parts that are quarantined no more."""
        kept = self.parts.quarantines.keys() | self.records.keys()
        self.written_at = {
            part: at for part, at in self.written_at.items() if part in kept
        }


def note_failed(part: int, cause: errors.KeyValueError) -> None:
    """Counts and logs a record that could not be written or removed."""
    WRITES.inc({'outcome': 'failed'})
    logs.change('part_record_failed', part=f'{part:016x}', cause=str(cause))
