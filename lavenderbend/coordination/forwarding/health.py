"""Health of upstreams, judged by their answers to this router's requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend.observe import logs
from lavenderbend.observe import metrics

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Iterable

# Half-life of the failure and success counts.
HALF_LIFE_SECONDS = 3.0
# Decayed number of failures from which an upstream may be avoided. One that
# fails four in ten of its requests, at two a second, passes it within three
# seconds.
MIN_FAILURES_TO_AVOID = 1.6
# An upstream is avoided if its failure fraction exceeds that of the service's
# other upstreams by at least this.
MIN_EXCESS_FRACTION = 0.3
FIRST_AVOID_SECONDS = 1.0
MAX_AVOID_SECONDS = 4.0
# A full upstream has a free slot again after a request or two.
FULL_SECONDS = 0.15
# Limits a Retry-After that is too long by mistake: the upstream would get no
# requests until it restarts.
MAX_PAUSE_SECONDS = 300.0
# The cause logged when other routers, not this one, reported the upstream.
REPORTED_BY_PEERS = 'found by others'

AVOIDED = metrics.counter(
    'lavenderbend_forward_avoided_total',
    'Times an upstream was avoided for what its answers showed, by cause.',
)


@attrs.define
class HealthRecord:
    """Recent results of requests to one upstream.

    Attributes:
        failures: Failures, decayed exponentially.
        successes: Successes, decayed exponentially.
        updated_at: Router clock of the last decay of both.
        avoid_until: Router clock until which other upstreams are preferred
            because of failures.
        suspect_until: Router clock until which it is considered dead or
            unreachable.
        full_until: Router clock until which it is considered full.
        paused_until: Router clock until which the upstream asked this router
            to send it no requests.
        consecutive_avoidances: How often it was avoided since its last
            success.
    """

    failures: float = 0.0
    successes: float = 0.0
    updated_at: float = 0.0
    avoid_until: float = 0.0
    suspect_until: float = 0.0
    full_until: float = 0.0
    paused_until: float = 0.0
    consecutive_avoidances: int = 0

    @property
    def deprioritized_until(self) -> float:
        """Router clock until which others are preferred, for any cause."""
        return max(self.avoid_until, self.full_until)

    def decay(self) -> None:
        """Applies exponential decay to both counts."""
        now = trio.current_time()
        factor = 0.5 ** ((now - self.updated_at) / HALF_LIFE_SECONDS)
        self.failures *= factor
        self.successes *= factor
        self.updated_at = now


class Health:
    """Avoids upstreams that fail requests although they report to be healthy.

    Attributes:
        records: Health records by instance.
        last_avoidance_end: Router clock from which on no upstream is
            deprioritized.
        last_pause_end: Router clock from which on no upstream is
            paused.
        on_suspect: Called with an upstream that this router found dead or
            unreachable, and the seconds for which it is avoided.
    """

    def __init__(self) -> None:
        self.records: dict[str, HealthRecord] = {}
        self.last_avoidance_end = 0.0
        self.last_pause_end = 0.0
        self.on_suspect: Callable[[str, float], None] = ignore

    def record(self, instance: str) -> HealthRecord:
        """Returns the record of an upstream, created if there is none."""
        record = self.records.get(instance)
        if record is None:
            record = HealthRecord(updated_at=trio.current_time())
            self.records[instance] = record
        return record

    def note_success(self, instance: str) -> None:
        """Counts a successful answer and clears a suspicion."""
        record = self.record(instance)
        record.decay()
        record.successes += 1.0
        record.consecutive_avoidances = 0
        record.suspect_until = 0.0

    def note_failure(self, instance: str, others: Iterable[str] = ()) -> None:
        """Counts an answer that failed or was cut off.

        Where all upstreams of a service fail alike, avoiding one after the
        other helps no request and loses the prompt cache of each.

        Args:
            instance: The upstream.
            others: All upstreams of its service.
        """
        record = self.record(instance)
        record.decay()
        record.failures += 1.0
        if record.failures < MIN_FAILURES_TO_AVOID:
            return
        usual = self.failure_fraction(
            other for other in others if other != instance
        )
        if self.failure_fraction([instance]) - usual >= MIN_EXCESS_FRACTION:
            self.avoid(instance, record, 'failures')

    def failure_fraction(self, instances: Iterable[str]) -> float:
        """Returns the fraction of failures in recent answers of upstreams."""
        failures = 0.0
        answers = 0.0
        for instance in instances:
            record = self.records.get(instance)
            if record is None:
                continue
            record.decay()
            failures += record.failures
            answers += record.failures + record.successes
        # Less than one answer is too few to tell the usual failure fraction.
        return failures / answers if answers >= 1.0 else 0.0

    def note_unreachable(self, instance: str) -> None:
        """Suspects an upstream that accepted no connection."""
        self.suspect(instance, 'unreachable')

    def note_silent(self, instance: str) -> None:
        """Suspects an upstream that sent no bytes although some were due."""
        self.suspect(instance, 'silent')

    def note_suspected(self, instance: str, seconds: float) -> None:
        """Suspects an upstream that other routers found dead or unreachable."""
        record = self.record(instance)
        now = trio.current_time()
        already_suspected = record.suspect_until > now
        record.suspect_until = max(record.suspect_until, now + seconds)
        self.extend_avoidance(record, record.suspect_until)
        if not already_suspected:
            self.report_avoided(instance, record, REPORTED_BY_PEERS)

    def extend_avoidance(self, record: HealthRecord, until: float) -> None:
        """Avoids an upstream at least until the given router clock."""
        record.avoid_until = max(record.avoid_until, until)
        self.last_avoidance_end = max(self.last_avoidance_end, until)

    def suspect(self, instance: str, cause: str) -> None:
        """Considers an upstream dead or unreachable and reports it."""
        record = self.record(instance)
        already_suspected = record.suspect_until > trio.current_time()
        self.avoid(instance, record, cause)
        record.suspect_until = record.avoid_until
        if not already_suspected:
            seconds = record.suspect_until - trio.current_time()
            self.on_suspect(instance, seconds)

    def is_suspected(self, instance: str) -> bool:
        """Returns whether an upstream is considered dead or unreachable."""
        record = self.records.get(instance)
        if record is None:
            return False
        return record.suspect_until > trio.current_time()

    def is_avoided(self, instance: str) -> bool:
        """Returns whether an upstream is avoided as dead or failing."""
        record = self.records.get(instance)
        return record is not None and record.avoid_until > trio.current_time()

    def note_full(self, instance: str) -> None:
        """Records that an upstream refused a request because it is full."""
        record = self.record(instance)
        # Kept apart from avoid_until: an upstream that is found dead while it
        # is full is still avoided for the whole time of a dead one.
        record.full_until = trio.current_time() + FULL_SECONDS
        self.last_avoidance_end = max(
            self.last_avoidance_end, record.full_until
        )
        AVOIDED.inc({'cause': 'full'})

    def note_paused(self, instance: str, seconds: float) -> None:
        """Records that an upstream asked to be sent no requests for a time."""
        record = self.record(instance)
        seconds = min(seconds, MAX_PAUSE_SECONDS)
        until = trio.current_time() + seconds
        if until <= record.paused_until:
            return
        record.paused_until = until
        self.last_pause_end = max(self.last_pause_end, until)
        AVOIDED.inc({'cause': 'asked'})
        logs.change(
            'upstream_unwanted', upstream=instance, seconds=round(seconds, 2)
        )

    def is_paused(self, instance: str) -> bool:
        """Returns whether an upstream asked to be sent no requests now."""
        now = trio.current_time()
        if now >= self.last_pause_end:
            return False
        record = self.records.get(instance)
        return record is not None and record.paused_until > now

    def paused(self) -> dict[str, float]:
        """Returns the paused upstreams and the router clock of each end."""
        now = trio.current_time()
        if now >= self.last_pause_end:
            return {}
        return {
            instance: record.paused_until
            for instance, record in self.records.items()
            if record.paused_until > now
        }

    def avoid(self, instance: str, record: HealthRecord, cause: str) -> None:
        """Avoids an upstream, with exponential backoff, if it is not yet."""
        now = trio.current_time()
        if record.avoid_until > now:
            return
        seconds = FIRST_AVOID_SECONDS * 2.0 ** min(
            record.consecutive_avoidances, 4
        )
        self.extend_avoidance(record, now + min(seconds, MAX_AVOID_SECONDS))
        record.consecutive_avoidances += 1
        self.report_avoided(instance, record, cause)

    def report_avoided(
        self, instance: str, record: HealthRecord, cause: str
    ) -> None:
        """Counts and logs that an upstream is avoided from now on."""
        AVOIDED.inc({'cause': cause})
        logs.change(
            'upstream_avoided',
            upstream=instance,
            cause=cause,
            failures=round(record.failures, 2),
            successes=round(record.successes, 2),
            seconds=round(record.avoid_until - trio.current_time(), 2),
        )

    def deprioritized(self) -> set[str]:
        """Returns the upstreams to which others are preferred now."""
        now = trio.current_time()
        if now >= self.last_avoidance_end:
            # The usual case: no scan of thousands of records.
            return set()
        return {
            instance
            for instance, record in self.records.items()
            if record.deprioritized_until > now
        }

    def describe(self, instance: str) -> str:
        """Returns for operators whether and why an upstream is avoided."""
        record = self.records.get(instance)
        now = trio.current_time()
        if record is not None and record.paused_until > now:
            return f'paused for {record.paused_until - now:.1f} s'
        if record is None or record.deprioritized_until <= now:
            return 'candidate'
        cause = 'failed' if record.avoid_until > now else 'full'
        if record.suspect_until > now:
            cause = 'out of reach'
        return f'avoided for {record.deprioritized_until - now:.1f} s: {cause}'

    def retain(self, instances: Collection[str]) -> None:
        """Drops the records of all upstreams but the given ones."""
        for name in [name for name in self.records if name not in instances]:
            del self.records[name]


def ignore(instance: str, seconds: float) -> None:
    """Does nothing; the default of `Health.on_suspect`."""
