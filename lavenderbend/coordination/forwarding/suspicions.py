"""Upstreams that other routers found dead or unreachable."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from lavenderbend.coordination.forwarding import facts as facts_module

if TYPE_CHECKING:
    from collections.abc import Callable

SUSPECTED = 'suspected'
MAX_SUSPICION_SECONDS = 5.0
# A router whose own network path is cut finds all upstreams dead. In a larger
# fleet, which sends each upstream many requests a second, a second router
# soon finds a dead one too, so that two reports are required there.
SMALL_FLEET_ROUTERS = 8
SMALL_FLEET_REPORTS = 1
LARGE_FLEET_REPORTS = 2


@facts_module.FACT_KINDS.register(SUSPECTED)
class Suspected(facts_module.FactKind):
    """An upstream that one router found dead; the source is that router."""

    max_seconds = MAX_SUSPICION_SECONDS


class Suspicions:
    """Exchanges suspicions of dead upstreams with the other routers.

    Attributes:
        facts: Gossiped facts, the suspicions among them.
        fleet_size: Returns how many routers there are.
        on_confirmed: Called with an upstream that enough routers suspect, and
            the seconds for which it is considered dead.
    """

    def __init__(
        self, facts: facts_module.Facts, fleet_size: Callable[[], int]
    ) -> None:
        self.facts = facts
        self.fleet_size = fleet_size
        self.on_confirmed: Callable[[str, float], None] = ignore

    def announce(self, instance: str, seconds: float) -> None:
        """Notifies the other routers of an upstream that this one suspects."""
        self.facts.add(SUSPECTED, instance, self.facts.origin, seconds)

    def apply_suspicion(self, fact: facts_module.Fact) -> None:
        """Confirms a suspicion if enough routers reported the upstream."""
        if fact.source == self.facts.origin:
            return
        reports = self.facts.current(SUSPECTED, fact.subject)
        small = self.fleet_size() <= SMALL_FLEET_ROUTERS
        if len(reports) < (
            SMALL_FLEET_REPORTS if small else LARGE_FLEET_REPORTS
        ):
            return
        until = max(report.expires_at for report in reports)
        self.on_confirmed(fact.subject, until - trio.current_time())


def ignore(instance: str, seconds: float) -> None:
    """Does nothing; the default of `Suspicions.on_confirmed`."""
