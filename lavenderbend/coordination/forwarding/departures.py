"""Shares with all routers which upstreams leave."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from lavenderbend.coordination.forwarding import facts as facts_module
from lavenderbend.observe import logs
from lavenderbend.state import upstreams

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lavenderbend.coordination.forwarding import directory as directories
    from lavenderbend.coordination.forwarding import (
        snapshots as snapshots_module,
    )
    from lavenderbend.state import forwarding

LEFT = 'left'
LEAVING = 'leaving'
DRAINED = 'zone drained'
# After this time each router has a snapshot that shows the departure, unless it
# is cut off from the store and from all routers.
FACT_SECONDS = 30.0
MAX_REVISION_DIGITS = 20
LIVE = upstreams.VmState.LIVE


@facts_module.FACT_KINDS.register(LEFT)
class LeftFact(facts_module.FactKind):
    """An upstream that leaves; the source is the store revision showing it."""

    max_seconds = FACT_SECONDS
    sent_to_starting = False


@facts_module.FACT_KINDS.register(LEAVING)
class LeavingFact(facts_module.FactKind):
    """An upstream whose responses announce that it leaves."""

    max_seconds = FACT_SECONDS


@facts_module.FACT_KINDS.register(DRAINED)
class DrainedFact(facts_module.FactKind):
    """A drained zone; the source is the store revision since which it is."""

    max_seconds = FACT_SECONDS
    sent_to_starting = False


class Departures:
    """Shares which upstreams leave, and applies what other routers share.

    The store's entry of an upstream comes with the configuration, in one
    snapshot. Over a slow link a snapshot with many routes can take longer
    than a leaving upstream keeps running. The facts sent here fit into a
    datagram.

    Attributes:
        snapshots: The snapshots of this router.
        directory: The upstreams to which departures are applied.
        facts: Facts exchanged with other routers.
        previous: Upstreams of the latest snapshot.
        drained_before: Drained zones of the latest snapshot.
    """

    def __init__(
        self,
        snapshots: snapshots_module.Snapshots,
        directory: directories.Directory,
        facts: facts_module.Facts,
    ) -> None:
        self.snapshots = snapshots
        self.directory = directory
        self.facts = facts
        self.previous: Mapping[str, forwarding.Upstream] = {}
        self.drained_before: Mapping[str, int] = {}
        snapshots.on_change.append(self.share_departures)
        snapshots.on_change.append(self.share_drained)

    def share_departures(self, snapshot: forwarding.Snapshot) -> None:
        """Shares the upstreams that leave according to a new snapshot."""
        for instance, upstream in self.previous.items():
            if upstream.vm.state is not LIVE:
                continue
            later = snapshot.upstreams.get(instance)
            if later is None and instance not in self.snapshots.retained:
                self.note_departure(upstream, snapshot.revision, 'removed')
            elif later is not None and later.vm.state is not LIVE:
                self.note_departure(upstream, later.revision, 'leaving')
        self.previous = snapshot.upstreams

    def note_departure(
        self, upstream: forwarding.Upstream, revision: int, entry: str
    ) -> None:
        """Logs and shares that an upstream leaves.

        Args:
            upstream: Its entry before.
            revision: Revision that shows it.
            entry: What became of its entry.
        """
        logs.change(
            'upstream_departed',
            upstream=upstream.instance,
            entry=entry,
            revision=revision,
            age=round(self.snapshots.age, 3),
        )
        self.share_departure(upstream, revision)

    def share_departure(
        self, upstream: forwarding.Upstream, revision: int
    ) -> None:
        """Shares that an upstream leaves, unless another router has."""
        shared = self.facts.current(LEFT, upstream.instance)
        if any(revision_of(fact) > upstream.revision for fact in shared):
            return
        self.facts.add(LEFT, upstream.instance, str(revision), FACT_SECONDS)

    def note_announcement(self, instance: str) -> None:
        """Shares that a response announced that its upstream leaves."""
        if instance in self.directory.leaving.announced:
            return
        # All routers use the same source, so that they share one fact.
        self.facts.add(LEAVING, instance, LEAVING, FACT_SECONDS)

    def apply_announcement(self, fact: facts_module.Fact) -> None:
        """Stops sending to an upstream that announced that it leaves."""
        if not self.directory.note_leaving_announced(fact.subject):
            return
        logs.change(
            'upstream_leaving',
            upstream=fact.subject,
            told_after=round(trio.current_time() - fact.found_at, 3),
            age=round(self.snapshots.age, 3),
        )

    def apply_departure(self, fact: facts_module.Fact) -> None:
        """Stops sending to an upstream that another router saw leave."""
        revision = revision_of(fact)
        if not self.directory.note_leaving_in_store(fact.subject, revision):
            return
        current = self.snapshots.current
        logs.change(
            'upstream_left',
            upstream=fact.subject,
            revision=revision,
            known_revision=0 if current is None else current.revision,
            age=round(self.snapshots.age, 3),
        )

    def share_drained(self, snapshot: forwarding.Snapshot) -> None:
        """Shares the zones that are drained according to a new snapshot."""
        for zone, revision in snapshot.drained_zones.items():
            if self.drained_before.get(zone) == revision:
                continue
            shared = self.facts.current(DRAINED, zone)
            if not any(revision_of(fact) == revision for fact in shared):
                self.facts.add(DRAINED, zone, str(revision), FACT_SECONDS)
        self.drained_before = snapshot.drained_zones

    def apply_drained(self, fact: facts_module.Fact) -> None:
        """Stops sending to a zone that another router saw drained."""
        self.directory.note_drained(fact.subject, revision_of(fact))


def revision_of(fact: facts_module.Fact) -> int:
    """Returns the revision that shows a fact, -1 if it names none."""
    text = fact.source
    if len(text) > MAX_REVISION_DIGITS or not text.isdecimal():
        return -1
    return int(text)
