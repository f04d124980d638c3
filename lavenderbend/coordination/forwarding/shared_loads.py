"""Exchange of upstream loads between routers."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import trio

from lavenderbend.protocol import packed_rows
from lavenderbend.state import hashing

if TYPE_CHECKING:
    from collections.abc import Iterator

    from lavenderbend.coordination.forwarding import loads as loads_module
    from lavenderbend.coordination.forwarding import (
        snapshots as snapshots_module,
    )
    from lavenderbend.protocol import messages_forwarding

# Rows in one message: a load report takes 6 bytes, a request count 5.
MAX_SAME_ZONE_REPORTS = 32
MAX_OTHER_ZONE_REPORTS = 48
MAX_REQUESTS = 20
# An older report is of little use by the time it arrives.
MAX_SHARED_REPORT_AGE_SECONDS = 1.5


class SharedLoads:
    """Sends the loads that this router knows and merges those of others.

    An upstream reports its load with each answer. Each router has few
    answers, but all together have many: as reports are passed on, the latest
    one of each upstream reaches all routers within a second.

    Attributes:
        snapshots: The snapshots of this router.
        loads: Requests at upstreams.
        short_ids: Short ids of the upstreams in force, by instance.
        instances: Instances by short id.
    """

    def __init__(
        self, snapshots: snapshots_module.Snapshots, loads: loads_module.Loads
    ) -> None:
        self.snapshots = snapshots
        self.loads = loads
        self.short_ids: dict[str, int] = {}
        self.instances: dict[int, str] = {}
        snapshots.on_change.append(self.update_upstreams)

    def update_upstreams(self, snapshot: object) -> None:
        """Follows the upstreams of a new snapshot."""
        upstreams = self.snapshots.current.upstreams
        removed = [
            instance for instance in self.short_ids if instance not in upstreams
        ]
        for instance in removed:
            self.instances.pop(self.short_ids.pop(instance), None)
        for instance in upstreams:
            if instance not in self.short_ids:
                self.short_ids[instance] = short = hashing.short_id(instance)
                self.instances[short] = instance

    def last_report(self, short: int) -> loads_module.LoadReport | None:
        """Returns the last report of an upstream, None if there is none."""
        instance = self.instances.get(short)
        return None if instance is None else self.loads.last_report(instance)

    def packed_reports(self, other_zone: bool) -> bytes:
        """Returns the latest load reports, packed.

        Args:
            other_zone: Whether they go to another zone, to which messages are
                less frequent.
        """
        limit = MAX_OTHER_ZONE_REPORTS if other_zone else MAX_SAME_ZONE_REPORTS
        return packed_rows.pack_reports(
            itertools.islice(self.latest_reports(), limit)
        )

    def latest_reports(self) -> Iterator[tuple[int, int, float]]:
        """Yields short ids, loads and ages of reports, the latest first."""
        now = trio.current_time()
        for instance, report in reversed(self.loads.reports.items()):
            age = now - report.at
            if (
                age <= MAX_SHARED_REPORT_AGE_SECONDS
                and instance in self.short_ids
            ):
                yield self.short_ids[instance], report.load, age

    def packed_requests(self) -> bytes:
        """Returns the counts of this router's own requests, packed."""
        rows = (
            (self.short_ids[instance], count)
            for instance, count in self.loads.own.items()
            if instance in self.short_ids
        )
        return packed_rows.pack_counts(itertools.islice(rows, MAX_REQUESTS))

    def merge(self, state: messages_forwarding.RouterState) -> None:
        """Takes over the loads in another router's message."""
        for short, load, age in packed_rows.unpack_reports(state.reports):
            instance = self.instances.get(short)
            if instance is not None:
                self.loads.note_peer_report(instance, load, age)
        counts = {
            self.instances[short]: count
            for short, count in packed_rows.unpack_counts(state.requests)
            if short in self.instances
        }
        self.loads.note_peer(state.name, counts)
