"""Which upstreams may be cold."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from lavenderbend.coordination.forwarding import facts as facts_module
from lavenderbend.observe import logs
from lavenderbend.observe import metrics

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping

    from lavenderbend.state import forwarding

COLD = 'cold'
MAX_COLD_SECONDS = 60.0
# An upstream whose entry comes back within this time has not started: each
# start has another id.
KNOWN_SECONDS = 300.0
# Where more than this fraction of a pool does not answer, the path of this
# router is cut rather than that they all started again under the same ids.
MAX_SILENT_FRACTION = 0.5
# Why an upstream may be cold.
STARTED = 'started'
TAKEN_BACK = 'its zone was taken back'
IN_STORE = 'its entry'
SILENT = 'it did not answer'
BY_PEER = 'by a peer'

COLD_UPSTREAMS = metrics.counter(
    'lavenderbend_forward_cold_upstreams_total',
    'Upstreams that were found to be possibly cold, by cause.',
)


@facts_module.FACT_KINDS.register(COLD)
class ColdFact(facts_module.FactKind):
    """An upstream that turned cold although it had been warm."""

    max_seconds = MAX_COLD_SECONDS


class Coldness:
    """Tracks the upstreams that may be cold.

    A cold upstream tolerates few requests a second. An upstream counts as cold
    for the warm-up time of its pool since the last sign that it may have become
    cold: it started, its zone was taken back, or it did not answer and may have
    started again meanwhile. Its entry in the store may name a longer time.

    Attributes:
        facts: Facts exchanged with other routers.
        pools: Pools whose upstreams have a warm-up rate, by name.
        upstreams: Upstreams of these pools by instance.
        seen_at: Router clock at which each upstream was last listed.
        until: Router clock until which each upstream may be cold.
        silent_until: The same for those that did not answer.
        drained_zones: Drained zones of the latest snapshot.
        last_end: Router clock from which on no upstream is cold.
        era: Era of the latest snapshot.
        came_back: Whether it is the first one of its era.
    """

    def __init__(self, facts: facts_module.Facts) -> None:
        self.facts = facts
        self.pools: dict[str, forwarding.ForwardPool] = {}
        self.upstreams: dict[str, forwarding.Upstream] | None = None
        self.seen_at: dict[str, float] = {}
        self.until: dict[str, float] = {}
        self.silent_until: dict[str, float] = {}
        self.drained_zones: Collection[str] = ()
        self.last_end = 0.0
        self.era = 0
        self.came_back = False

    def is_cold(self, instance: str) -> bool:
        """Returns whether an upstream may be cold."""
        now = trio.current_time()
        # The usual case is that none is.
        return now < self.last_end and self.until.get(instance, 0.0) > now

    def cold(self) -> set[str]:
        """Returns the upstreams that may be cold."""
        now = trio.current_time()
        if now >= self.last_end:
            return set()
        return {name for name, until in self.until.items() if until > now}

    def pool(self, instance: str) -> forwarding.ForwardPool | None:
        """Returns an upstream's pool, None if it has no warm-up rate."""
        upstream = (self.upstreams or {}).get(instance)
        return None if upstream is None else self.pools.get(upstream.vm.service)

    def apply_snapshot(self, snapshot: forwarding.Snapshot) -> None:
        """Finds the upstreams that a new snapshot shows to be cold."""
        pools = () if snapshot.table is None else snapshot.table.pools
        self.pools = {
            pool.name: pool for pool in pools if pool.warm_up_rate > 0.0
        }
        before = self.upstreams
        self.came_back = snapshot.era != self.era
        self.era = snapshot.era
        self.upstreams = {
            instance: upstream
            for instance, upstream in snapshot.upstreams.items()
            if upstream.vm.service in self.pools
        }
        taken_back = set(self.drained_zones) - snapshot.drained_zones.keys()
        self.drained_zones = snapshot.drained_zones.keys()
        for instance, upstream in self.upstreams.items():
            self.apply_upstream(instance, upstream, before, taken_back)
        self.remove_expired()

    def remove_expired(self) -> None:
        """Removes upstreams that are warm or gone."""
        now = trio.current_time()
        self.until = {
            name: until for name, until in self.until.items() if until > now
        }
        self.silent_until = {
            name: until
            for name, until in self.silent_until.items()
            if until > now
        }
        self.seen_at.update(dict.fromkeys(self.upstreams, now))
        oldest = now - KNOWN_SECONDS
        self.seen_at = {
            name: at for name, at in self.seen_at.items() if at > oldest
        }

    def apply_upstream(
        self,
        instance: str,
        upstream: forwarding.Upstream,
        before: Mapping[str, forwarding.Upstream] | None,
        taken_back: Collection[str],
    ) -> None:
        """Records whether a snapshot shows an upstream to be cold.

        Args:
            instance: The upstream.
            upstream: Its entry.
            before: Upstreams of the previous snapshot, None without one.
            taken_back: Zones that are not drained any more.
        """
        pool = self.pools[upstream.vm.service]
        known = (before or {}).get(instance)
        if before is not None and instance not in self.seen_at:
            seconds = max(pool.warm_up_seconds, upstream.cold_seconds)
            self.note(instance, seconds, STARTED)
        elif upstream.vm.availability_zone in taken_back:
            seconds = max(pool.warm_up_seconds, upstream.cold_seconds)
            self.note(instance, seconds, TAKEN_BACK)
        elif upstream.cold_seconds > 0.0 and self.is_news(upstream, known):
            self.note(instance, upstream.cold_seconds, IN_STORE)
            if known is not None and known.cold_seconds == 0.0:
                self.facts.add(COLD, instance, COLD, upstream.cold_seconds)

    def is_news(
        self, upstream: forwarding.Upstream, known: forwarding.Upstream | None
    ) -> bool:
        """Returns whether an entry says more than what is known.

        What a store shows that came back from a copy may be older.
        """
        if known is None:
            return True
        return not self.came_back and known != upstream

    def note_silent(self, instance: str, seconds: float) -> None:
        """Records that an upstream did not answer.

        It may have started again when it answers next.

        Args:
            instance: The upstream.
            seconds: Time for which it is avoided.
        """
        pool = self.pool(instance)
        if pool is None:
            return
        seconds += pool.warm_up_seconds
        now = trio.current_time()
        self.silent_until[instance] = now + seconds
        silent = sum(
            until > now and self.pool(name) is pool
            for name, until in self.silent_until.items()
        )
        members = sum(
            upstream.vm.service == pool.name
            for upstream in self.upstreams.values()
        )
        if silent <= MAX_SILENT_FRACTION * members:
            self.note(instance, seconds, SILENT)

    def apply_fact(self, fact: facts_module.Fact) -> None:
        """Records that another router found an upstream cold."""
        if self.pool(fact.subject) is not None:
            seconds = fact.expires_at - trio.current_time()
            self.note(fact.subject, seconds, BY_PEER)

    def note(self, instance: str, seconds: float, cause: str) -> None:
        """Records that an upstream may be cold for some seconds."""
        now = trio.current_time()
        until = now + min(seconds, MAX_COLD_SECONDS)
        was_cold = self.until.get(instance, 0.0) > now
        if until <= max(now, self.until.get(instance, 0.0)):
            return
        self.until[instance] = until
        self.last_end = max(self.last_end, until)
        if was_cold:
            return
        COLD_UPSTREAMS.inc({'cause': cause})
        logs.change(
            'upstream_cold',
            upstream=instance,
            cause=cause,
            seconds=round(until - now, 3),
        )
