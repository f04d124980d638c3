"""Limits on the rejections by upstreams that crash if there are too many."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend.coordination.forwarding import facts as facts_module
from lavenderbend.observe import logs
from lavenderbend.observe import metrics
from lavenderbend.protocol import counts

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    import random

    from lavenderbend.coordination.forwarding import loads as loads_module
    from lavenderbend.state import forwarding

LIMITED = 'rejection limit'
FULL = 'full'
# The limit that an upstream states in its answers holds for this long after the
# latest of them.
LIMIT_SECONDS = 5.0
# All routers are told again at this interval.
REPEAT_SECONDS = 2.0
# Share of the rejections that an upstream stands that the routers together may
# cause. The rest covers routers that count fewer routers than there are.
USED_SHARE = 0.5
# For this long an upstream that has rejected a request is sent none.
FULL_SECONDS = 0.5
# An owner that granted no slot is asked again after a time that grows with the
# routers, so that all together ask it at one rate.
ASK_SECONDS_PER_ROUTER = 0.004
MIN_ASK_SECONDS = 0.01
MAX_ASK_SECONDS = 0.2
# Part of the slots of an upstream that is used while its owner is silent.
SILENT_OWNER_SLOTS = 0.5
# The slots that are used double at this interval after a rejection.
RECOVERY_SECONDS = 2.0
# For this long after a rejection the owner is asked by all routers.
CALM_SECONDS = 10.0
MAX_LIMIT_DIGITS = 9

REJECTIONS = metrics.counter(
    'lavenderbend_forward_limited_rejections_total',
    'Requests of this router rejected by upstreams with a rejection limit.',
)


@facts_module.FACT_KINDS.register(LIMITED)
class LimitFact(facts_module.FactKind):
    """An upstream with a rejection limit; the source is the limit."""

    max_seconds = LIMIT_SECONDS


@facts_module.FACT_KINDS.register(FULL)
class FullFact(facts_module.FactKind):
    """A limited upstream that rejected a request; the source is the router."""

    max_seconds = FULL_SECONDS
    sent_to_starting = False


@attrs.define
class LimitedUpstream:
    """What is known of an upstream with a rejection limit.

    Attributes:
        limit: Rejections in a second that it stands.
        until: Router clock until which the limit holds.
        told_at: Router clock at which the others were last told.
        full_until: Router clock until which it is sent no requests.
        ask_after: Router clock before which its owner is not asked again.
        rejected_at: Router clock of the latest known rejection.
        used_slots: Part of its slots that was used after that.
    """

    limit: int
    until: float
    told_at: float = float('-inf')
    full_until: float = float('-inf')
    ask_after: float = float('-inf')
    rejected_at: float = float('-inf')
    used_slots: float = 1.0

    def usable_slots(self) -> float:
        """Returns the part of its slots that is used now."""
        doublings = (trio.current_time() - self.rejected_at) / RECOVERY_SECONDS
        return min(1.0, self.used_slots * 2.0 ** min(doublings, 10.0))

    def note_rejected(self) -> None:
        """Sends it nothing for a while, and uses fewer of its slots then."""
        now = trio.current_time()
        if now < self.full_until:
            return
        self.used_slots = 0.5 * self.usable_slots()
        self.rejected_at = now
        self.full_until = now + FULL_SECONDS


class RejectionLimits:
    """Limits the rejections that all routers together cause at upstreams.

    A request without an answer may yet be rejected. If the share of each router
    in the limit is one request or more, each has at most its share waiting, so
    that the sum keeps the limit whatever the others do. If it is less, as in
    large fleets, and for a while after a rejection, each request is counted by
    the owner of the upstream first, and is not sent while the slots are in use.
    A rejection, of any router, stops all requests for a moment and halves the
    slots that are used then.

    Attributes:
        loads: Requests at upstreams.
        facts: Facts exchanged with other routers.
        fleet_size: Returns the number of routers to share the limit with, 0 if
            it is not known.
        rng: Draws when an owner is asked again.
        unanswered: Requests of this router without an answer, by instance.
        records: The upstreams with a limit, by instance.
        last_end: Router clock from which on no upstream has a limit.
    """

    def __init__(
        self,
        loads: loads_module.Loads,
        facts: facts_module.Facts,
        fleet_size: Callable[[], int],
        rng: random.Random,
    ) -> None:
        self.loads = loads
        self.facts = facts
        self.fleet_size = fleet_size
        self.rng = rng
        self.unanswered: collections.Counter[str] = collections.Counter()
        self.records: dict[str, LimitedUpstream] = {}
        self.last_end = float('-inf')

    def begin(self, instance: str) -> None:
        """Counts a request that is about to be sent to an upstream."""
        self.unanswered[instance] += 1

    def end(self, instance: str) -> None:
        """Removes a request that has an answer or has failed."""
        self.unanswered[instance] -= 1
        if not self.unanswered[instance]:
            del self.unanswered[instance]

    def note_answer(self, instance: str, value: bytes | None) -> None:
        """Records what an answer of an upstream says.

        Args:
            instance: The upstream.
            value: The limit that it names, None if it names none.
        """
        if value is None:
            if self.records.pop(instance, None) is not None:
                logs.change('upstream_rejection_limit_ended', upstream=instance)
            return
        limit = parse_limit(value)
        if limit is None:
            return
        record = self.note_limit(instance, limit, LIMIT_SECONDS)
        now = trio.current_time()
        if now - record.told_at >= REPEAT_SECONDS:
            record.told_at = now
            self.facts.add(LIMITED, instance, str(limit), LIMIT_SECONDS)

    def note_limit(
        self, instance: str, limit: int, seconds: float
    ) -> LimitedUpstream:
        """Records that an upstream has a limit for some time."""
        until = trio.current_time() + seconds
        record = self.records.get(instance)
        if record is None:
            record = self.records[instance] = LimitedUpstream(limit, until)
            logs.change(
                'upstream_rejection_limit', upstream=instance, limit=limit
            )
        record.limit = limit
        record.until = max(record.until, until)
        self.last_end = max(self.last_end, until)
        return record

    def apply_limit(self, fact: facts_module.Fact) -> None:
        """Applies the limit of an upstream that another router heard."""
        limit = parse_limit(fact.source.encode())
        seconds = fact.expires_at - trio.current_time()
        if limit is not None and seconds > 0.0:
            self.note_limit(fact.subject, limit, seconds)

    def note_rejected(self, instance: str) -> None:
        """Records that an upstream rejected a request."""
        record = self.current(instance)
        if record is None:
            return
        REJECTIONS.inc({})
        record.note_rejected()
        self.facts.add(FULL, instance, self.facts.origin, FULL_SECONDS)
        logs.change(
            'upstream_full',
            upstream=instance,
            limit=record.limit,
            unanswered=self.unanswered[instance],
            known=self.loads.load(instance),
            used_slots=round(record.used_slots, 3),
        )

    def apply_full(self, fact: facts_module.Fact) -> None:
        """Applies that an upstream rejected a request of another router."""
        record = self.current(fact.subject)
        if record is not None and fact.source != self.facts.origin:
            record.note_rejected()

    def note_refused(self, instance: str) -> None:
        """Records that the owner of an upstream granted no slot there."""
        record = self.current(instance)
        if record is None:
            return
        seconds = ASK_SECONDS_PER_ROUTER * self.fleet_size()
        seconds = min(max(seconds, MIN_ASK_SECONDS), MAX_ASK_SECONDS)
        seconds *= self.rng.uniform(0.5, 1.5)
        record.ask_after = trio.current_time() + seconds

    def current(self, instance: str) -> LimitedUpstream | None:
        """Returns the record of an upstream, None if it has no limit."""
        record = self.records.get(instance)
        if record is None or record.until <= trio.current_time():
            return None
        return record

    def share(self, record: LimitedUpstream) -> int:
        """Returns how many requests of this router may wait for answers.

        0 if that is less than one, so that the owner is asked.
        """
        routers = self.fleet_size()
        return int(USED_SHARE * record.limit / routers) if routers > 0 else 0

    def slots_to_ask(self, upstream: forwarding.Upstream) -> int:
        """Returns how many slots may be used by the owner's count.

        0 if the owner need not be asked.
        """
        record = self.current(upstream.instance)
        if record is None:
            return 0
        calm = trio.current_time() - record.rejected_at > CALM_SECONDS
        if calm and self.share(record) > 0:
            return 0
        return max(1, int(record.usable_slots() * upstream.slots))

    def is_full(self, instance: str) -> bool:
        """Returns whether an upstream rejected a request a moment ago."""
        record = self.current(instance)
        return record is not None and record.full_until > trio.current_time()

    def has_room(self, upstream: forwarding.Upstream) -> bool:
        """Returns whether an upstream may be sent a request, or asked about."""
        record = self.current(upstream.instance)
        if record is None:
            return True
        if max(record.full_until, record.ask_after) > trio.current_time():
            return False
        share = self.share(record)
        if share and self.unanswered[upstream.instance] >= share:
            return False
        if self.slots_to_ask(upstream):
            return True
        return self.loads.load(upstream.instance) < max(1, upstream.slots)

    def seems_free(self, upstream: forwarding.Upstream) -> bool:
        """Returns whether an upstream whose owner is silent may be sent one.

        All routers may be without its owner at once, so that each sends one
        request at a time, and none to an upstream that is known to be busy.
        """
        if self.unanswered[upstream.instance]:
            return False
        known = self.loads.load(upstream.instance)
        return known < max(1.0, SILENT_OWNER_SLOTS * upstream.slots)

    def full(self, upstreams: Collection[forwarding.Upstream]) -> set[str]:
        """Returns the upstreams that may be sent no request now."""
        if trio.current_time() >= self.last_end:
            # The usual case: none has a limit.
            return set()
        return {one.instance for one in upstreams if not self.has_room(one)}

    def retain(self, instances: Collection[str]) -> None:
        """Drops the records of all upstreams but the given ones."""
        now = trio.current_time()
        self.records = {
            name: record
            for name, record in self.records.items()
            if name in instances and record.until > now
        }


def parse_limit(value: bytes) -> int | None:
    """Returns the rejections in a second of a header, None if it names none."""
    return counts.parse_count(value.strip(), MAX_LIMIT_DIGITS)
