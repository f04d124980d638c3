"""Shares with all routers which upstreams leave."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

import trio

from lavenderbend.coordination.forwarding import facts as facts_module
from lavenderbend.observe import logs
from lavenderbend.state import forwarding
from lavenderbend.state import upstreams

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lavenderbend.coordination.forwarding import directory as directories
    from lavenderbend.coordination.forwarding import (
        snapshots as snapshots_module,
    )

LEFT = 'left'
LEFT_BEFORE = 'left before the store came back'
LEAVING = 'leaving'
DRAINED = 'zone drained'
# After this time each router has a snapshot that shows the departure, unless it
# is cut off from the store and from all routers.
FACT_SECONDS = 30.0
# Era and revision in the source of a fact; the first era is left out.
POSITION = re.compile(r'(?:([0-9]{1,9})\.)?([0-9]{1,20})')
UNKNOWN_POSITION = forwarding.StorePosition(-1, 0)
LIVE = upstreams.VmState.LIVE


@facts_module.FACT_KINDS.register(LEFT)
class LeftFact(facts_module.FactKind):
    """An upstream that leaves; the source is the store position showing it."""

    max_seconds = FACT_SECONDS
    sent_to_starting = False


@facts_module.FACT_KINDS.register(LEFT_BEFORE)
class LeftBeforeFact(facts_module.FactKind):
    """An upstream that left, which a store that came back does not show."""

    max_seconds = FACT_SECONDS


@facts_module.FACT_KINDS.register(LEAVING)
class LeavingFact(facts_module.FactKind):
    """An upstream whose responses announce that it leaves."""

    max_seconds = FACT_SECONDS


@facts_module.FACT_KINDS.register(DRAINED)
class DrainedFact(facts_module.FactKind):
    """A drained zone; the source is the store position since which it is."""

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
        era: Era of the latest snapshot.
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
        self.era = 0
        snapshots.on_change.append(self.share_departures)
        snapshots.on_change.append(self.share_drained)

    def share_departures(self, snapshot: forwarding.Snapshot) -> None:
        """Shares the upstreams that leave according to a new snapshot."""
        for instance, upstream in self.previous.items():
            if upstream.vm.state is not LIVE:
                continue
            later = snapshot.upstreams.get(instance)
            if later is None and instance not in self.snapshots.retained:
                self.note_departure(upstream, snapshot.position, 'removed')
            elif later is not None and later.vm.state is not LIVE:
                position = forwarding.StorePosition(
                    snapshot.era, later.revision
                )
                self.note_departure(upstream, position, 'leaving')
        self.previous = snapshot.upstreams
        if self.era != snapshot.era:
            self.share_earlier_departures(snapshot)
        self.era = snapshot.era

    def note_departure(
        self,
        upstream: forwarding.Upstream,
        position: forwarding.StorePosition,
        entry: str,
    ) -> None:
        """Records and shares that an upstream leaves.

        Args:
            upstream: Its entry before.
            position: Position of the store that shows it.
            entry: What became of its entry.
        """
        logs.change(
            'upstream_departed',
            upstream=upstream.instance,
            entry=entry,
            era=position.era,
            revision=position.revision,
            age=round(self.snapshots.age, 3),
        )
        self.directory.leaving.note_left(upstream.instance, position)
        listed = forwarding.StorePosition(self.era, upstream.revision)
        shared = self.facts.current(LEFT, upstream.instance)
        if not any(position_of(fact) > listed for fact in shared):
            self.add_fact(LEFT, upstream.instance, position)

    def share_earlier_departures(self, snapshot: forwarding.Snapshot) -> None:
        """Shares who left, where the store has come back without showing it."""
        earlier = self.directory.leaving.shown_as_ready(snapshot)
        for instance, position in earlier.items():
            logs.change(
                'upstream_shown_again',
                upstream=instance,
                left_era=position.era,
                left_revision=position.revision,
                era=snapshot.era,
                revision=snapshot.upstreams[instance].revision,
            )
            if not self.facts.current(LEFT_BEFORE, instance):
                self.add_fact(LEFT_BEFORE, instance, position)

    def add_fact(
        self, kind: str, subject: str, position: forwarding.StorePosition
    ) -> None:
        """Shares what a position of the store shows."""
        self.facts.add(kind, subject, position_text(position), FACT_SECONDS)

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
        position = position_of(fact)
        if position == UNKNOWN_POSITION:
            return
        if not self.directory.note_leaving_in_store(fact.subject, position):
            return
        current = self.snapshots.current
        logs.change(
            'upstream_left',
            upstream=fact.subject,
            era=position.era,
            revision=position.revision,
            known_revision=0 if current is None else current.revision,
            age=round(self.snapshots.age, 3),
        )

    def share_drained(self, snapshot: forwarding.Snapshot) -> None:
        """Shares the zones that are drained according to a new snapshot."""
        for zone, revision in snapshot.drained_zones.items():
            if self.drained_before.get(zone) == revision:
                continue
            position = forwarding.StorePosition(snapshot.era, revision)
            shared = self.facts.current(DRAINED, zone)
            if not any(position_of(fact) == position for fact in shared):
                self.add_fact(DRAINED, zone, position)
        self.drained_before = snapshot.drained_zones

    def apply_drained(self, fact: facts_module.Fact) -> None:
        """Stops sending to a zone that another router saw drained."""
        self.directory.note_drained(fact.subject, position_of(fact))


def position_text(position: forwarding.StorePosition) -> str:
    """Returns a position as the source of a fact."""
    if not position.era:
        return str(position.revision)
    return f'{position.era}.{position.revision}'


def position_of(fact: facts_module.Fact) -> forwarding.StorePosition:
    """Returns the position that shows a fact, an early one if it names none."""
    match = POSITION.fullmatch(fact.source)
    if match is None:
        return UNKNOWN_POSITION
    era, revision = match.groups(default='0')
    return forwarding.StorePosition(int(era), int(revision))
