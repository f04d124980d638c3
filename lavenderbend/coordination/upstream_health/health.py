"""Facts about draining and unreachable upstreams, each with a lifetime."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend.protocol import messages_membership as messages

if TYPE_CHECKING:
    from collections.abc import Iterable

Kind = messages.FactKind

ENDING_KINDS = frozenset({Kind.RETURNED, Kind.DRAIN_ENDED})

# an expired fact is kept for this time, so that its sequence number identifies
# late copies
RETENTION_SECONDS = 60.0


@attrs.frozen
class Fact:
    """An observation of an upstream, in force until it expires.

    Attributes:
        until: Router clock at which it expires.
        sequence: Sequence number assigned by its observer.
        instance: Instance of the upstream it concerns, empty for any.
    """

    until: float
    sequence: int
    instance: str


class UpstreamFacts:
    """Facts that routers have observed of upstreams.

    A fact expires unless its observer renews it, so a fact whose observer is
    lost or was wrong has no lasting effect.

    Attributes:
        name: Id of this router and of its process, as an observer.
        observers: Number of observers that must report a refusal, which
            other routers cannot check.
        facts: By upstream, kind and observer.
        instances: Latest known instance of each upstream.
        sequence: Sequence number of the last fact of this router.
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
        """Records a fact observed by this router; returns its message."""
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
        """Merges a fact; returns whether it is new.

        Raises:
            ValueError: The fact has an unknown kind.
        """
        kind = Kind(fact.kind)
        facts = self.facts.setdefault(fact.upstream, {})
        previous = facts.get((kind, fact.observer))
        if previous is not None and previous.sequence >= fact.sequence:
            return False
        until = trio.current_time() + fact.seconds
        facts[kind, fact.observer] = Fact(until, fact.sequence, fact.instance)
        if kind in ENDING_KINDS:
            self.end_facts(fact.upstream, kind, fact.instance)
        return True

    def end_facts(self, upstream: str, kind: Kind, instance: str) -> None:
        """Ends the facts that an answer of an instance contradicts."""
        now = trio.current_time()
        self.instances[upstream] = instance
        facts = self.facts.get(upstream, {})
        for key, fact in facts.items():
            if fact.until > now and is_ended(key[0], fact, kind, instance):
                facts[key] = attrs.evolve(fact, until=now)

    def is_contradicted(self, upstream: str, instance: str) -> bool:
        """Returns whether an answer of an instance ends a fact in force."""
        now = trio.current_time()
        return any(
            fact.until > now and is_ended(kind, fact, Kind.RETURNED, instance)
            for (kind, _), fact in self.facts.get(upstream, {}).items()
        )

    def active_observers(self, upstream: str, kind: Kind) -> list[str]:
        """Returns the observers that have a fact of a kind in force."""
        now = trio.current_time()
        return [
            observer
            for (fact_kind, observer), fact in self.facts.get(
                upstream, {}
            ).items()
            if fact_kind is kind and fact.until > now
        ]

    def reason(self, upstream: str) -> str | None:
        """Returns why facts exclude an upstream, None if they do not."""
        if upstream not in self.facts:
            return None
        draining = self.active_observers(upstream, Kind.DRAINING)
        if draining:
            return f'draining, reported by {router_of(draining[0])}'
        unreached = self.active_observers(upstream, Kind.UNREACHABLE)
        if unreached:
            return f'unreachable from {router_of(unreached[0])} and its helpers'
        refused = self.active_observers(upstream, Kind.REFUSED)
        # a single observer may itself be cut off, so its fact alone excludes
        # the upstream on that router only
        if len(refused) >= self.observers or self.name in refused:
            names = sorted({router_of(observer) for observer in refused})
            return f'refuses connections from {", ".join(names)}'
        return None

    def next_expiry(self) -> float | None:
        """Returns the router clock at which the next fact expires."""
        now = trio.current_time()
        expiries = [
            fact.until
            for facts in self.facts.values()
            for fact in facts.values()
            if fact.until > now
        ]
        return min(expiries, default=None)

    def remove_expired(self, listed: Iterable[str]) -> None:
        """Removes facts that expired long ago, and state of unlisted VMs."""
        keep = set(listed)
        limit = trio.current_time() - RETENTION_SECONDS
        for upstream in list(self.facts):
            facts = self.facts[upstream]
            for key in list(facts):
                if facts[key].until < limit:
                    del facts[key]
            if not facts and upstream not in keep:
                del self.facts[upstream]
                self.instances.pop(upstream, None)


def is_ended(kind: Kind, fact: Fact, ending_kind: Kind, instance: str) -> bool:
    """Returns whether a fact is ended by an answer of an instance.

    Load reports lag, so one without the draining flag may be older than an
    answer that announced draining. `RETURNED` therefore ends only the
    draining of earlier instances. `DRAIN_ENDED` is sent by a router that saw
    reports of the same instance first with the flag, and then without it.

    Args:
        kind: Kind of the fact.
        fact: The fact.
        ending_kind: Kind of the answer, one of `ENDING_KINDS`.
        instance: Instance that answered.
    """
    if kind in {Kind.UNREACHABLE, Kind.REFUSED}:
        return True
    if kind is not Kind.DRAINING:
        return False
    if ending_kind is Kind.DRAIN_ENDED:
        return fact.instance in {'', instance}
    return fact.instance not in {'', instance}


def router_of(observer: str) -> str:
    """Returns the router id of an observer, without its process suffix."""
    return observer.split('#')[0]
