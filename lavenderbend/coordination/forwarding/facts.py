"""Facts that every router of the fleet needs, spread by gossip."""

from __future__ import annotations

import collections
import re
from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend import registry
from lavenderbend.observe import metrics

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Iterator

# How often one router sends a fact. If each router that has a fact sends it to
# eight others drawn at random, a router misses it with a probability of 1 in
# 3,000 at any fleet size. It receives a missed fact later, among the old facts
# that each message carries.
TRANSMISSIONS_PER_FACT = 8
MAX_NEW_PER_MESSAGE = 6
# Old facts in each message bring routers up to date after a network partition.
MAX_OLD_PER_MESSAGE = 1
# Latest facts that a router gets when it starts.
MAX_SENT_TO_STARTING = 6
# A fact received again counts as the same one although it seems younger by up
# to this much: ages do not include the transit times of messages.
SAME_FACT_SECONDS = 0.5
MAX_FACTS = 2000
MILLISECONDS_PER_SECOND = 1000

FACTS = metrics.gauge(
    'lavenderbend_forward_facts', 'Facts that are told to all routers.'
)
UNFIT = metrics.counter(
    'lavenderbend_forward_unfit_facts_total',
    'Facts of messages that no router of this build tells.',
)
# The subject of a fact on a request or on a part of a prompt.
HASH_SUBJECT = re.compile('[0-9a-f]{16}')


class FactKind:
    """Base of the kinds of facts.

    Attributes:
        max_seconds: Upper bound of a fact's validity, whatever the fact says.
        cleared_by: Kind of the facts that end all earlier facts of this kind
            on the same subject, empty if there is none.
        sent_to_starting: Whether a router that starts gets these facts at once.
            False for what its first snapshot shows anyway, which would take
            the place of other facts.
        starting_first: Whether a router that starts gets these facts before
            later ones of other kinds.
        subject_form: Form of the subjects, None for any text.
    """

    max_seconds = 0.0
    cleared_by = ''
    sent_to_starting = True
    starting_first = False
    subject_form: re.Pattern[str] | None = None


FACT_KINDS: registry.Registry[type[FactKind]] = registry.Registry(
    'kind of fact'
)


@attrs.frozen
class Fact:
    """An observation of one router.

    Attributes:
        kind: Name of its kind.
        subject: What it is about.
        source: Distinguishes it from other facts on the subject.
        found_at: Router clock of the observation.
        valid_seconds: Time from then on for which it is valid.
    """

    kind: str
    subject: str
    source: str
    found_at: float
    valid_seconds: float

    @property
    def expires_at(self) -> float:
        """Router clock at which it expires."""
        return self.found_at + self.valid_seconds


@attrs.define
class FactEntry:
    """A fact and how often it was sent.

    Attributes:
        fact: The fact.
        transmissions: How often this router sent it.
    """

    fact: Fact
    transmissions: int = 0


class Facts:
    """The facts that are valid now.

    Merging is idempotent and does not depend on the order: of the same fact
    the latest observation stays, and a fact that clears others ends those
    observed before it, whichever arrives first. Messages may be lost,
    duplicated or late.

    Attributes:
        origin: Distinguishes this router's facts from those of others.
        on_new_fact: Called with each fact that is new to this router.
        entries: Facts by kind and subject, then by source.
        unsent: Facts that were not sent `TRANSMISSIONS_PER_FACT` times yet.
        old_queue: Old facts in the order in which they are sent again.
        new_fact: Set when there is a fact that was not sent yet.
    """

    def __init__(
        self, origin: str, on_new_fact: Callable[[Fact], None]
    ) -> None:
        self.origin = origin
        self.on_new_fact = on_new_fact
        self.entries: dict[tuple[str, str], dict[str, FactEntry]] = {}
        self.unsent: list[FactEntry] = []
        self.old_queue: collections.deque[FactEntry] = collections.deque()
        self.new_fact = trio.Event()

    def add(self, kind: str, subject: str, source: str, seconds: float) -> None:
        """Adds an observation that this router has just made."""
        now = trio.current_time()
        self.merge(Fact(kind, subject, source, now, seconds))

    def merge_rows(
        self, rows: Iterable[list[str | int]], waited: float = 0.0
    ) -> None:
        """Merges the facts of another router's message.

        Args:
            rows: The facts, with their ages when the message was sent.
            waited: Seconds for which the message waited to be read. Without
                them a fact would seem to be later than one that cleared it.
        """
        now = trio.current_time()
        for kind, subject, source, age, seconds in rows:
            if kind not in FACT_KINDS.entries:
                # A router of a later version has kinds that this one lacks.
                continue
            form = FACT_KINDS.get(kind).subject_form
            if form is not None and not form.fullmatch(subject):
                UNFIT.inc({})
                continue
            found_at = now - waited - age / MILLISECONDS_PER_SECOND
            valid_seconds = seconds / MILLISECONDS_PER_SECOND
            self.merge(Fact(kind, subject, source, found_at, valid_seconds))

    def merge(self, fact: Fact) -> None:
        """Adds a fact unless it is already present, expired or cleared."""
        kind = FACT_KINDS.get(fact.kind)
        if fact.valid_seconds > kind.max_seconds:
            fact = attrs.evolve(fact, valid_seconds=kind.max_seconds)
        if fact.expires_at <= trio.current_time() or self.is_cleared(
            fact, kind
        ):
            return
        by_source = self.entries.setdefault((fact.kind, fact.subject), {})
        present = by_source.get(fact.source)
        if (
            present is not None
            and fact.found_at <= present.fact.found_at + SAME_FACT_SECONDS
        ):
            return
        self.clear_earlier(fact)
        by_source[fact.source] = entry = FactEntry(fact)
        self.unsent.append(entry)
        self.new_fact.set()
        self.on_new_fact(fact)

    def is_cleared(self, fact: Fact, kind: type[FactKind]) -> bool:
        """Returns whether a later fact has ended this one."""
        clearing = self.entries.get((kind.cleared_by, fact.subject), {})
        return any(
            entry.fact.found_at >= fact.found_at for entry in clearing.values()
        )

    def clear_earlier(self, fact: Fact) -> None:
        """Removes the earlier facts that this one clears."""
        for name, kind in FACT_KINDS.entries.items():
            if kind.cleared_by != fact.kind:
                continue
            by_source = self.entries.get((name, fact.subject), {})
            for source, entry in list(by_source.items()):
                if entry.fact.found_at <= fact.found_at:
                    del by_source[source]

    def current(self, kind: str, subject: str) -> list[Fact]:
        """Returns the facts of a kind on a subject that are valid now."""
        now = trio.current_time()
        by_source = self.entries.get((kind, subject), {})
        return [
            entry.fact
            for entry in by_source.values()
            if entry.fact.expires_at > now
        ]

    def may_have(self, kind: str) -> bool:
        """Returns whether there may be a fact of a kind."""
        return any(name == kind for name, _ in self.entries)

    def all_entries(self) -> Iterator[FactEntry]:
        """Yields all facts, expired ones included."""
        for by_source in self.entries.values():
            yield from by_source.values()

    def is_current(self, entry: FactEntry) -> bool:
        """Returns whether a fact was not cleared, replaced or expired.

        The lists of facts to send may contain such a fact.
        """
        fact = entry.fact
        by_source = self.entries.get((fact.kind, fact.subject), {})
        if by_source.get(fact.source) is not entry:
            return False
        return fact.expires_at > trio.current_time()

    def remove_expired(self) -> None:
        """Removes expired facts, and the oldest above `MAX_FACTS`."""
        valid = [
            entry for entry in self.all_entries() if self.is_current(entry)
        ]
        valid.sort(key=lambda entry: entry.fact.found_at, reverse=True)
        self.entries = {}
        for entry in valid[:MAX_FACTS]:
            fact = entry.fact
            by_source = self.entries.setdefault((fact.kind, fact.subject), {})
            by_source[fact.source] = entry
        FACTS.set({}, min(len(valid), MAX_FACTS))

    def rows_to_send(self) -> list[list[str | int]]:
        """Returns the facts of the next message and counts them as sent."""
        entries = [*self.next_new(), *self.next_old()]
        for entry in entries:
            entry.transmissions += 1
        return [fact_row(entry.fact) for entry in entries]

    def rows_for_starting(self) -> list[list[str | int]]:
        """Returns the facts for a router that has just started."""
        valid = [
            entry.fact
            for entry in self.all_entries()
            if self.is_current(entry)
            and FACT_KINDS.get(entry.fact.kind).sent_to_starting
        ]
        valid.sort(
            key=lambda fact: (
                not FACT_KINDS.get(fact.kind).starting_first,
                -fact.found_at,
            )
        )
        return [fact_row(fact) for fact in valid[:MAX_SENT_TO_STARTING]]

    def next_new(self) -> list[FactEntry]:
        """Returns the facts that were sent least often."""
        if not self.unsent:
            return []
        if self.new_fact.is_set():
            # Replaced only once it is set: a task that waits for an unset
            # event would miss the next fact.
            self.new_fact = trio.Event()
        self.unsent = [
            entry
            for entry in self.unsent
            if entry.transmissions < TRANSMISSIONS_PER_FACT
            and self.is_current(entry)
        ]
        self.unsent.sort(key=lambda entry: entry.transmissions)
        return self.unsent[:MAX_NEW_PER_MESSAGE]

    def next_old(self) -> list[FactEntry]:
        """Returns the next old facts in turn."""
        if not self.old_queue:
            self.old_queue.extend(self.all_entries())
        chosen: list[FactEntry] = []
        while self.old_queue and len(chosen) < MAX_OLD_PER_MESSAGE:
            entry = self.old_queue.popleft()
            if (
                entry.transmissions >= TRANSMISSIONS_PER_FACT
                and self.is_current(entry)
            ):
                chosen.append(entry)
        return chosen


def fact_row(fact: Fact) -> list[str | int]:
    """Returns a fact as a row of a message, with times in milliseconds."""
    age = round((trio.current_time() - fact.found_at) * MILLISECONDS_PER_SECOND)
    valid_milliseconds = round(fact.valid_seconds * MILLISECONDS_PER_SECOND)
    return [fact.kind, fact.subject, fact.source, age, valid_milliseconds]
