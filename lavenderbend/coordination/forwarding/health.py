"""What answers show of upstreams that their own reports do not."""

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

# failures fade by half in this time
HALF_LIFE_SECONDS = 3.0
# an upstream that fails four in ten of its requests passes this within three
FAILURES_TO_AVOID = 1.6
FAILED_SHARE_TO_AVOID = 0.3
FIRST_AVOID_SECONDS = 1.0
MAX_AVOID_SECONDS = 4.0
# a full upstream has room again after a request or two
FULL_SECONDS = 0.15
# an upstream that asks for more by mistake must not be lost until it restarts
MAX_UNWANTED_SECONDS = 300.0
# a cause that this router has not seen itself
FOUND_BY_OTHERS = 'found by others'

AVOIDED = metrics.counter(
    'lavenderbend_forward_avoided_total',
    'Times an upstream was avoided for what its answers showed, by cause.',
)


@attrs.define
class Record:
    """What answers of one upstream showed lately.

    Attributes:
        failures: Failures, fading.
        successes: Successes, fading.
        at: Router clock of both.
        avoid_until: Router clock until which others are preferred for what
            its answers showed.
        suspect_until: Router clock until which it is taken for dead or out
            of reach.
        full_until: Router clock until which it is taken for full.
        unwanted_until: Router clock until which it wants nothing from this
            router, by its own word.
        rounds: How often it was avoided without a success between.
    """

    failures: float = 0.0
    successes: float = 0.0
    at: float = 0.0
    avoid_until: float = 0.0
    suspect_until: float = 0.0
    full_until: float = 0.0
    unwanted_until: float = 0.0
    rounds: int = 0

    @property
    def held_until(self) -> float:
        """Router clock until which others are preferred, for any cause."""
        return max(self.avoid_until, self.full_until)

    def fade(self) -> None:
        """Lets what was seen count less the longer ago it was."""
        now = trio.current_time()
        factor = 0.5 ** ((now - self.at) / HALF_LIFE_SECONDS)
        self.failures *= factor
        self.successes *= factor
        self.at = now


class Health:
    """Avoids upstreams that fail requests while they say they are well.

    Attributes:
        records: By instance.
        quiet_from: Router clock from which on nobody is avoided.
        unwanted_to: Router clock from which on all want requests.
        on_suspect: Called when an upstream is found dead or out of reach,
            with the seconds for which it is avoided.
    """

    def __init__(self) -> None:
        self.records: dict[str, Record] = {}
        self.quiet_from = 0.0
        self.unwanted_to = 0.0
        self.on_suspect: Callable[[str, float], None] = ignore

    def record(self, instance: str) -> Record:
        """Returns the record of an upstream."""
        found = self.records.get(instance)
        if found is None:
            found = Record(at=trio.current_time())
            self.records[instance] = found
        return found

    def note_success(self, instance: str) -> None:
        """Notes a good answer."""
        record = self.record(instance)
        record.fade()
        record.successes += 1.0
        record.rounds = 0
        record.suspect_until = 0.0

    def note_failure(self, instance: str, others: Iterable[str] = ()) -> None:
        """Notes an answer that failed or broke off.

        Where all upstreams of a service fail alike, avoiding one after the
        other helps no request and loses the cached prompts of each.

        Args:
            instance: The upstream.
            others: All upstreams of its service.
        """
        record = self.record(instance)
        record.fade()
        record.failures += 1.0
        if record.failures < FAILURES_TO_AVOID:
            return
        usual = self.failed_share(one for one in others if one != instance)
        if self.failed_share([instance]) - usual >= FAILED_SHARE_TO_AVOID:
            self.avoid(instance, record, 'failures')

    def failed_share(self, instances: Iterable[str]) -> float:
        """Returns the share of failures in what upstreams answered lately."""
        failures = 0.0
        seen = 0.0
        for instance in instances:
            record = self.records.get(instance)
            if record is None:
                continue
            record.fade()
            failures += record.failures
            seen += record.failures + record.successes
        # a single answer of others says little of what is usual
        return failures / seen if seen >= 1.0 else 0.0

    def note_unreachable(self, instance: str) -> None:
        """Notes that no connection was to be had."""
        self.suspect(instance, 'unreachable')

    def note_silent(self, instance: str) -> None:
        """Notes that nothing came from it though bytes were due."""
        self.suspect(instance, 'silent')

    def note_suspected(self, instance: str, seconds: float) -> None:
        """Notes that other routers take it for dead or out of reach."""
        record = self.record(instance)
        now = trio.current_time()
        known = record.suspect_until > now
        record.suspect_until = max(record.suspect_until, now + seconds)
        self.hold_back(record, record.suspect_until)
        if not known:
            self.note_avoided(instance, record, FOUND_BY_OTHERS)

    def hold_back(self, record: Record, until: float) -> None:
        """Prefers others to an upstream until a moment, at least."""
        record.avoid_until = max(record.avoid_until, until)
        self.quiet_from = max(self.quiet_from, until)

    def suspect(self, instance: str, cause: str) -> None:
        """Takes an upstream for dead or out of reach."""
        record = self.record(instance)
        known = record.suspect_until > trio.current_time()
        self.avoid(instance, record, cause)
        record.suspect_until = record.avoid_until
        if not known:
            seconds = record.suspect_until - trio.current_time()
            self.on_suspect(instance, seconds)

    def is_suspected(self, instance: str) -> bool:
        """Returns whether it is taken for dead or out of reach."""
        record = self.records.get(instance)
        if record is None:
            return False
        return record.suspect_until > trio.current_time()

    def note_full(self, instance: str) -> None:
        """Notes a refusal for want of room."""
        record = self.record(instance)
        # apart from what it is avoided for: one that is found dead meanwhile
        # is avoided for its whole time
        record.full_until = trio.current_time() + FULL_SECONDS
        self.quiet_from = max(self.quiet_from, record.full_until)
        AVOIDED.inc({'cause': 'full'})

    def note_unwanted(self, instance: str, seconds: float) -> None:
        """Notes that an upstream wants no request for a time."""
        record = self.record(instance)
        seconds = min(seconds, MAX_UNWANTED_SECONDS)
        until = trio.current_time() + seconds
        if until <= record.unwanted_until:
            return
        record.unwanted_until = until
        self.unwanted_to = max(self.unwanted_to, until)
        AVOIDED.inc({'cause': 'asked'})
        logs.change(
            'upstream_unwanted', upstream=instance, seconds=round(seconds, 2)
        )

    def wants_none(self, instance: str) -> bool:
        """Returns whether an upstream wants no request now."""
        now = trio.current_time()
        if now >= self.unwanted_to:
            return False
        record = self.records.get(instance)
        return record is not None and record.unwanted_until > now

    def wanting_none(self) -> dict[str, float]:
        """Returns the upstreams that want no request, and until when."""
        now = trio.current_time()
        if now >= self.unwanted_to:
            return {}
        return {
            instance: record.unwanted_until
            for instance, record in self.records.items()
            if record.unwanted_until > now
        }

    def avoid(self, instance: str, record: Record, cause: str) -> None:
        """Avoids an upstream, the longer the more often it was."""
        now = trio.current_time()
        if record.avoid_until > now:
            return
        seconds = FIRST_AVOID_SECONDS * 2.0 ** min(record.rounds, 4)
        self.hold_back(record, now + min(seconds, MAX_AVOID_SECONDS))
        record.rounds += 1
        self.note_avoided(instance, record, cause)

    def note_avoided(self, instance: str, record: Record, cause: str) -> None:
        """Counts and writes that an upstream is avoided from now on."""
        AVOIDED.inc({'cause': cause})
        logs.change(
            'upstream_avoided',
            upstream=instance,
            cause=cause,
            failures=round(record.failures, 2),
            successes=round(record.successes, 2),
            seconds=round(record.avoid_until - trio.current_time(), 2),
        )

    def held_back(self) -> set[str]:
        """Returns the upstreams to which others are preferred now."""
        now = trio.current_time()
        if now >= self.quiet_from:
            # most of the time; thousands of records need no look each
            return set()
        return {
            instance
            for instance, record in self.records.items()
            if record.held_until > now
        }

    def standing(self, instance: str) -> str:
        """Returns whether an upstream is avoided, in words."""
        record = self.records.get(instance)
        now = trio.current_time()
        if record is not None and record.unwanted_until > now:
            return f'wants nothing for {record.unwanted_until - now:.1f} s'
        if record is None or record.held_until <= now:
            return 'candidate'
        cause = 'failed' if record.avoid_until > now else 'full'
        if record.suspect_until > now:
            cause = 'out of reach'
        return f'avoided for {record.held_until - now:.1f} s: {cause}'

    def retain(self, instances: Collection[str]) -> None:
        """Forgets upstreams that are no more."""
        for name in [one for one in self.records if one not in instances]:
            del self.records[name]


def ignore(instance: str, seconds: float) -> None:
    """Tells nobody."""
