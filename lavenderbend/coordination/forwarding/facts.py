"""Single facts that all routers must know, told from one to the next."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend import registry
from lavenderbend.observe import metrics

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Iterator

# of one fact by one router. Told by each that knows it to eight others drawn
# at random, a router misses it with a chance of one in 3,000 at any size; what
# is missed follows by the old facts in each message
TELLINGS = 8
# in one message
MAX_FRESH = 6
# after a cut, so many in each message bring the others up to date
MAX_OLD = 1
# a router that starts is told of the latest
MAX_TOLD_TO_NEW = 6
# a fact that comes again a little younger is the same one: ages leave out the
# ways of the messages that told them
SAME_SECONDS = 0.5
MAX_FACTS = 2000
MILLISECONDS = 1000

KNOWN = metrics.gauge(
    'lavenderbend_forward_facts', 'Facts that are told to all routers.'
)


class Kind:
    """Base of the kinds of facts.

    Attributes:
        most_seconds: No fact of the kind holds longer, whatever it says.
        cleared_by: Kind of the facts that end all earlier ones on the same
            subject, empty if there is none.
        for_new: Whether a router that starts is told at once; not what its
            first snapshot shows anyway, which would take the place of others.
    """

    most_seconds = 0.0
    cleared_by = ''
    for_new = True


KINDS: registry.Registry[type[Kind]] = registry.Registry('kind of fact')


@attrs.frozen
class Fact:
    """Something that one router found out.

    Attributes:
        kind: Name of its kind.
        subject: What it is about.
        source: What tells it from other facts on the subject.
        at: Router clock at which it was found out.
        seconds: How long it holds from then on.
    """

    kind: str
    subject: str
    source: str
    at: float
    seconds: float

    @property
    def until(self) -> float:
        """Router clock at which it ends."""
        return self.at + self.seconds


@attrs.define
class Telling:
    """A fact and how often it was told.

    Attributes:
        fact: The fact.
        count: How often this router told it.
    """

    fact: Fact
    count: int = 0


class Facts:
    """Facts that hold now.

    Taking one in is idempotent, and the order does not matter: of the same
    fact the latest finding stays, and one that clears others ends those that
    were found before it, whichever comes first. Messages may be lost, come
    twice, or come late.

    Attributes:
        origin: What names this router's findings apart from others'.
        learned: Called with each fact that is new here.
        known: Facts by kind and subject, then by source.
        spreading: Those that were not told often enough yet.
        fresh: Set when there is something that was not told yet.
    """

    def __init__(self, origin: str, learned: Callable[[Fact], None]) -> None:
        self.origin = origin
        self.learned = learned
        self.known: dict[tuple[str, str], dict[str, Telling]] = {}
        self.spreading: list[Telling] = []
        self.old: collections.deque[Telling] = collections.deque()
        self.fresh = trio.Event()

    def add(self, kind: str, subject: str, source: str, seconds: float) -> None:
        """Adds what this router found out just now."""
        now = trio.current_time()
        self.take(Fact(kind, subject, source, now, seconds))

    def take_all(self, rows: Iterable[list[str | int]]) -> None:
        """Takes in what another router tells."""
        now = trio.current_time()
        for kind, subject, source, age, seconds in rows:
            if kind not in KINDS.entries:
                # a router of a later version knows kinds that this one does
                # not
                continue
            at = now - age / MILLISECONDS
            held = seconds / MILLISECONDS
            self.take(Fact(kind, subject, source, at, held))

    def take(self, fact: Fact) -> None:
        """Takes in a fact, unless it is known, over or cleared."""
        kind = KINDS.get(fact.kind)
        if fact.seconds > kind.most_seconds:
            fact = attrs.evolve(fact, seconds=kind.most_seconds)
        if fact.until <= trio.current_time() or self.is_cleared(fact, kind):
            return
        found = self.known.setdefault((fact.kind, fact.subject), {})
        known = found.get(fact.source)
        if known is not None and fact.at <= known.fact.at + SAME_SECONDS:
            return
        self.clear_earlier(fact)
        found[fact.source] = telling = Telling(fact)
        self.spreading.append(telling)
        self.fresh.set()
        self.learned(fact)

    def is_cleared(self, fact: Fact, kind: type[Kind]) -> bool:
        """Returns whether a later fact has ended this one."""
        clearing = self.known.get((kind.cleared_by, fact.subject), {})
        return any(one.fact.at >= fact.at for one in clearing.values())

    def clear_earlier(self, fact: Fact) -> None:
        """Ends the facts that one clears."""
        for name, kind in KINDS.entries.items():
            if kind.cleared_by != fact.kind:
                continue
            found = self.known.get((name, fact.subject), {})
            for source, one in list(found.items()):
                if one.fact.at <= fact.at:
                    del found[source]

    def of(self, kind: str, subject: str) -> list[Fact]:
        """Returns the facts of a kind on a subject that hold now."""
        now = trio.current_time()
        found = self.known.get((kind, subject), {})
        return [one.fact for one in found.values() if one.fact.until > now]

    def has(self, kind: str) -> bool:
        """Returns whether there may be a fact of a kind."""
        return any(name == kind for name, _ in self.known)

    def all(self) -> Iterator[Telling]:
        """Yields all facts."""
        for found in self.known.values():
            yield from found.values()

    def holds(self, telling: Telling) -> bool:
        """Returns whether a fact was neither cleared nor replaced, nor ended.

        Lists of what is to be told may have one that was.
        """
        fact = telling.fact
        found = self.known.get((fact.kind, fact.subject), {})
        if found.get(fact.source) is not telling:
            return False
        return fact.until > trio.current_time()

    def tidy(self) -> None:
        """Forgets what is over, and the oldest if it is too much."""
        kept = [one for one in self.all() if self.holds(one)]
        kept.sort(key=lambda one: one.fact.at, reverse=True)
        self.known = {}
        for telling in kept[:MAX_FACTS]:
            fact = telling.fact
            found = self.known.setdefault((fact.kind, fact.subject), {})
            found[fact.source] = telling
        KNOWN.set({}, min(len(kept), MAX_FACTS))

    def told(self) -> list[list[str | int]]:
        """Returns what the next message tells, and counts it as told."""
        tellings = [*self.next_fresh(), *self.next_old()]
        for telling in tellings:
            telling.count += 1
        return [row(telling.fact) for telling in tellings]

    def told_to_new(self) -> list[list[str | int]]:
        """Returns what a router that starts is told."""
        held = [
            one.fact
            for one in self.all()
            if self.holds(one) and KINDS.get(one.fact.kind).for_new
        ]
        held.sort(key=lambda fact: fact.at, reverse=True)
        return [row(fact) for fact in held[:MAX_TOLD_TO_NEW]]

    def next_fresh(self) -> list[Telling]:
        """Returns the facts that were told least."""
        if not self.spreading:
            return []
        if self.fresh.is_set():
            # not while it is waited for: the waiter would miss what comes
            self.fresh = trio.Event()
        self.spreading = [
            one
            for one in self.spreading
            if one.count < TELLINGS and self.holds(one)
        ]
        self.spreading.sort(key=lambda one: one.count)
        return self.spreading[:MAX_FRESH]

    def next_old(self) -> list[Telling]:
        """Returns the old facts whose turn it is."""
        if not self.old:
            self.old.extend(self.all())
        found: list[Telling] = []
        while self.old and len(found) < MAX_OLD:
            telling = self.old.popleft()
            if telling.count >= TELLINGS and self.holds(telling):
                found.append(telling)
        return found


def row(fact: Fact) -> list[str | int]:
    """Returns a fact as a message holds it."""
    age = round((trio.current_time() - fact.at) * MILLISECONDS)
    seconds = round(fact.seconds * MILLISECONDS)
    return [fact.kind, fact.subject, fact.source, age, seconds]
