"""Which upstreams are crowded: they rejected a request a short time ago."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from lavenderbend.coordination.forwarding import facts as facts_module
from lavenderbend.observe import logs
from lavenderbend.observe import metrics

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection

CROWDED = 'crowded'
CROWDED_SECONDS = 10.0
# The other routers are told of further rejections at this interval.
REPEAT_SECONDS = 2.0
# Multiple of its slots that a crowded upstream may hold by its owner's count.
# The rest of its own queue is left to routers that hear no owner.
MAX_LOAD_PER_SLOT = 1.5
# All routers state the same fact, so that many rejections are one fact.
SOURCE = ''

CROWDED_UPSTREAMS = metrics.counter(
    'lavenderbend_forward_crowded_upstreams_total',
    'Upstreams that became crowded, as this router knows.',
)


@facts_module.FACT_KINDS.register(CROWDED)
class CrowdedFact(facts_module.FactKind):
    """An upstream that rejected a request without a prompt."""

    max_seconds = CROWDED_SECONDS


class Crowding:
    """Tracks the crowded upstreams.

    Attributes:
        facts: Facts exchanged with other routers.
        is_active: Returns whether requests may wait at owners at all.
        until: Router clock until which each upstream is crowded.
        told_at: Router clock at which the others were last told of each.
        last_end: Router clock from which on no upstream is crowded.
    """

    def __init__(
        self, facts: facts_module.Facts, is_active: Callable[[], bool]
    ) -> None:
        self.facts = facts
        self.is_active = is_active
        self.until: dict[str, float] = {}
        self.told_at: dict[str, float] = {}
        self.last_end = float('-inf')

    def is_crowded(self, instance: str) -> bool:
        """Returns whether an upstream rejected a request a short time ago."""
        now = trio.current_time()
        # The usual case is that none is.
        return now < self.last_end and self.until.get(instance, now) > now

    def note_rejected(self, instance: str) -> None:
        """Records that an upstream rejected a request without a prompt."""
        if not self.is_active():
            return
        now = trio.current_time()
        self.extend(instance, now + CROWDED_SECONDS)
        if now - self.told_at.get(instance, float('-inf')) >= REPEAT_SECONDS:
            self.told_at[instance] = now
            self.facts.add(CROWDED, instance, SOURCE, CROWDED_SECONDS)

    def apply_fact(self, fact: facts_module.Fact) -> None:
        """Applies that an upstream rejected a request of another router."""
        self.extend(fact.subject, fact.expires_at)

    def extend(self, instance: str, until: float) -> None:
        """Records until when an upstream is crowded at least."""
        if not self.is_crowded(instance) and until > trio.current_time():
            CROWDED_UPSTREAMS.inc({})
            logs.change('upstream_crowded', upstream=instance)
        self.until[instance] = max(self.until.get(instance, until), until)
        self.last_end = max(self.last_end, until)

    def retain(self, instances: Collection[str]) -> None:
        """Drops the records of all upstreams but the given ones."""
        now = trio.current_time()
        self.until = {
            name: until
            for name, until in self.until.items()
            if name in instances and until > now
        }
        self.told_at = {
            name: at for name, at in self.told_at.items() if name in self.until
        }


def max_load(slots: int) -> int:
    """Returns how many requests a crowded upstream may hold."""
    return max(1, int(MAX_LOAD_PER_SLOT * slots))
