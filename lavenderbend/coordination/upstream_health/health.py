"""Signs of upstreams that leave or are not reached, each for a time."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend.protocol import messages_membership as messages

if TYPE_CHECKING:
    from collections.abc import Iterable

Kind = messages.FactKind

ENDING = frozenset({Kind.RETURNED, Kind.DRAIN_ENDED})

# a fact is forgotten this many seconds after it has ended; until then its
# number tells a late copy from news
FORGET_AFTER = 60.0


@attrs.frozen
class Fact:
    """A sign that holds until a time.

    Attributes:
        until: Router clock at which it ends.
        sequence: Number given by its observer.
        instance: Instance of the upstream that it is about, empty if any.
    """

    until: float
    sequence: int
    instance: str


class UpstreamFacts:
    """What routers have seen of upstreams.

    Every fact ends by itself unless its observer renews it, so a fact whose
    observer is lost, or was wrong, does no lasting harm.

    Attributes:
        name: Id of this router and of its process, as an observer.
        observers: Routers needed where others could not check.
        facts: By upstream, kind and observer.
        instances: The instance of each upstream that was heard of last.
    """

    def __init__(self, name: str, observers: int) -> None:
        self.name = name
        self.observers = observers
        self.facts: dict[str, dict[tuple[Kind, str], Fact]] = {}
        self.instances: dict[str, str] = {}
        self.sequence = 0

    def observe(
        self, upstream: str, kind: Kind, seconds: float, instance: str = ''
    ) -> messages.UpstreamFact:
        """Notes a fact seen by this router; returns it for the others."""
        self.sequence += 1
        fact = messages.UpstreamFact(
            upstream=upstream,
            kind=int(kind),
            observer=self.name,
            sequence=self.sequence,
            seconds=seconds,
            instance=instance,
        )
        self.merge(fact)
        return fact

    def merge(self, fact: messages.UpstreamFact) -> bool:
        """Takes a fact; returns whether it is news.

        Raises:
            ValueError: The fact has values that are none of ours.
        """
        kind = Kind(fact.kind)
        known = self.facts.setdefault(fact.upstream, {})
        old = known.get((kind, fact.observer))
        if old is not None and old.sequence >= fact.sequence:
            return False
        until = trio.current_time() + fact.seconds
        known[kind, fact.observer] = Fact(until, fact.sequence, fact.instance)
        if kind in ENDING:
            self.end_facts(fact.upstream, kind, fact.instance)
        return True

    def end_facts(self, upstream: str, kind: Kind, instance: str) -> None:
        """Ends the facts that an answer of an instance contradicts."""
        now = trio.current_time()
        self.instances[upstream] = instance
        known = self.facts.get(upstream, {})
        for key, fact in known.items():
            if fact.until > now and is_ended(key[0], fact, kind, instance):
                known[key] = attrs.evolve(fact, until=now)

    def is_contradicted(self, upstream: str, instance: str) -> bool:
        """Returns whether an answer of an instance ends a fact held now."""
        now = trio.current_time()
        return any(
            fact.until > now and is_ended(kind, fact, Kind.RETURNED, instance)
            for (kind, _), fact in self.facts.get(upstream, {}).items()
        )

    def held(self, upstream: str, kind: Kind) -> list[str]:
        """Returns the observers whose facts of a kind hold now."""
        now = trio.current_time()
        return [
            observer
            for (of_kind, observer), fact in self.facts.get(
                upstream, {}
            ).items()
            if of_kind is kind and fact.until > now
        ]

    def why(self, upstream: str) -> str | None:
        """Returns why an upstream must get nothing new, None if it may."""
        if upstream not in self.facts:
            return None
        draining = self.held(upstream, Kind.DRAINING)
        if draining:
            return f'draining, says {router_of(draining[0])}'
        unreached = self.held(upstream, Kind.UNREACHABLE)
        if unreached:
            return (
                f'not reached by {router_of(unreached[0])} and those it asked'
            )
        refused = self.held(upstream, Kind.REFUSED)
        # one router may itself be cut off; its word alone holds nothing back
        if len(refused) >= self.observers or self.name in refused:
            names = sorted({router_of(observer) for observer in refused})
            return f'refuses connections of {", ".join(names)}'
        return None

    def next_end(self) -> float | None:
        """Returns when the next fact that holds will end."""
        now = trio.current_time()
        ends = [
            fact.until
            for known in self.facts.values()
            for fact in known.values()
            if fact.until > now
        ]
        return min(ends, default=None)

    def forget(self, known: Iterable[str]) -> None:
        """Drops facts that ended long ago and those of unknown VMs."""
        keep = set(known)
        limit = trio.current_time() - FORGET_AFTER
        for upstream in list(self.facts):
            facts = self.facts[upstream]
            for key in list(facts):
                if facts[key].until < limit:
                    del facts[key]
            if not facts and upstream not in keep:
                del self.facts[upstream]
                self.instances.pop(upstream, None)


def is_ended(kind: Kind, fact: Fact, by: Kind, instance: str) -> bool:
    """Returns whether a fact is ended by an answer of an instance.

    Load reports are late: one that does not say draining may be older than
    an answer that did. So a report alone ends the draining of earlier
    instances only; `DRAIN_ENDED` comes from a router that has seen the
    reports of one instance say it, and then say it no more.
    """
    if kind in {Kind.UNREACHABLE, Kind.REFUSED}:
        return True
    if kind is not Kind.DRAINING:
        return False
    if by is Kind.DRAIN_ENDED:
        return fact.instance in {'', instance}
    return fact.instance not in {'', instance}


def router_of(observer: str) -> str:
    """Returns the router of an observer, without the mark of its process."""
    return observer.split('#')[0]
