"""Upstreams that other routers found dead or out of reach."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from lavenderbend.coordination.forwarding import facts as facts_module

if TYPE_CHECKING:
    from collections.abc import Callable

SUSPECTED = 'suspected'
MOST_SECONDS = 5.0
# a router whose own way is cut finds all upstreams dead: in a fleet that sends
# each upstream many requests a second, a second router soon finds it too
FEW_ROUTERS = 8
FINDERS_OF_FEW = 1
FINDERS_OF_MANY = 2


@facts_module.FACT_KINDS.register(SUSPECTED)
class Suspected(facts_module.FactKind):
    """An upstream that one router found dead; the source is that router."""

    max_seconds = MOST_SECONDS


class Suspicions:
    """Tells other routers of dead upstreams, and believes what they tell.

    Attributes:
        facts: What is told.
        fleet_size: Returns how many routers there are.
        believed: Called with an upstream and the seconds for which it is
            taken for dead.
    """

    def __init__(
        self, facts: facts_module.Facts, fleet_size: Callable[[], int]
    ) -> None:
        self.facts = facts
        self.fleet_size = fleet_size
        self.believed: Callable[[str, float], None] = ignore

    def tell(self, instance: str, seconds: float) -> None:
        """Tells of an upstream that this router found dead."""
        self.facts.add(SUSPECTED, instance, self.facts.origin, seconds)

    def learn(self, fact: facts_module.Fact) -> None:
        """Believes that an upstream is dead if enough routers found so."""
        if fact.source == self.facts.origin:
            return
        found = self.facts.current(SUSPECTED, fact.subject)
        few = self.fleet_size() <= FEW_ROUTERS
        if len(found) < (FINDERS_OF_FEW if few else FINDERS_OF_MANY):
            return
        until = max(one.expires_at for one in found)
        self.believed(fact.subject, until - trio.current_time())


def ignore(instance: str, seconds: float) -> None:
    """Believes nothing."""
