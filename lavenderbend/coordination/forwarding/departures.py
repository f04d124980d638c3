"""Upstreams that leave, by the store or by their own answers, told to all."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from lavenderbend.coordination.forwarding import facts as facts_module
from lavenderbend.observe import logs
from lavenderbend.state import upstreams

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lavenderbend.coordination.forwarding import directory as directories
    from lavenderbend.coordination.forwarding import snapshots
    from lavenderbend.state import forwarding

LEFT = 'left'
LEAVING = 'leaving'
# by then each router has a snapshot that shows it, or is cut off from all
MOST_SECONDS = 30.0
MAX_REVISION_DIGITS = 20
LIVE = upstreams.VmState.LIVE


@facts_module.FACT_KINDS.register(LEFT)
class SeenToLeave(facts_module.FactKind):
    """An upstream that leaves; the source is the revision that shows it."""

    max_seconds = MOST_SECONDS
    sent_to_starting = False


@facts_module.FACT_KINDS.register(LEAVING)
class SaidToLeave(facts_module.FactKind):
    """An upstream whose answers say that it leaves."""

    max_seconds = MOST_SECONDS


class Departures:
    """Tells other routers which upstreams leave, and heeds what they tell.

    What an upstream says in the store comes with the configuration, in one
    snapshot. Over a narrow link a snapshot of many routes takes longer than
    an upstream that leaves goes on; what is told here fits a datagram.

    Attributes:
        followed: The snapshots of this router.
        directory: Learns what others tell.
        facts: What is told.
        before: Upstreams of the latest snapshot.
    """

    def __init__(
        self,
        followed: snapshots.Snapshots,
        directory: directories.Directory,
        facts: facts_module.Facts,
    ) -> None:
        self.followed = followed
        self.directory = directory
        self.facts = facts
        self.before: Mapping[str, forwarding.Upstream] = {}
        followed.on_change.append(self.compare)

    def compare(self, snapshot: forwarding.Snapshot) -> None:
        """Tells which upstreams a new snapshot shows to leave."""
        for instance, upstream in self.before.items():
            if upstream.vm.state is not LIVE:
                continue
            later = snapshot.upstreams.get(instance)
            if later is None and instance not in self.followed.retained:
                self.tell(upstream, snapshot.revision)
            elif later is not None and later.vm.state is not LIVE:
                self.tell(upstream, later.revision)
        self.before = snapshot.upstreams

    def tell(self, upstream: forwarding.Upstream, revision: int) -> None:
        """Tells that an upstream leaves, unless another router has."""
        told = self.facts.current(LEFT, upstream.instance)
        if any(revision_of(fact) > upstream.revision for fact in told):
            return
        self.facts.add(LEFT, upstream.instance, str(revision), MOST_SECONDS)

    def note_word(self, instance: str) -> None:
        """Notes that an upstream says in an answer that it leaves."""
        if instance in self.directory.leaving.said:
            return
        # one source for all routers that hear it: they tell the same fact
        self.facts.add(LEAVING, instance, LEAVING, MOST_SECONDS)

    def learn_word(self, fact: facts_module.Fact) -> None:
        """Sends nothing more to an upstream that says it leaves."""
        if not self.directory.note_leaving_announced(fact.subject):
            return
        logs.change(
            'upstream_leaving',
            upstream=fact.subject,
            told_after=round(trio.current_time() - fact.found_at, 3),
            age=round(self.followed.age, 3),
        )

    def learn(self, fact: facts_module.Fact) -> None:
        """Sends nothing more to an upstream that another router saw leave."""
        revision = revision_of(fact)
        if not self.directory.note_leaving_in_store(fact.subject, revision):
            return
        current = self.followed.current
        logs.change(
            'upstream_left',
            upstream=fact.subject,
            revision=revision,
            known_revision=0 if current is None else current.revision,
            age=round(self.followed.age, 3),
        )


def revision_of(fact: facts_module.Fact) -> int:
    """Returns the revision that shows a departure, -1 if none is named."""
    text = fact.source
    if len(text) > MAX_REVISION_DIGITS or not text.isdecimal():
        return -1
    return int(text)
