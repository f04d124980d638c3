"""Live permits of an owner that may load no upstream.

A grant whose answer was lost, and one whose release was lost, stand in the
owner's table though nothing runs with them. An upstream may well carry them,
so they count as its load; but in the mean they would raise the bound of all.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from lavenderbend.coordination.admission import entries
    from lavenderbend.coordination.admission import rates
    from lavenderbend.state import permits

    LivePermit = permits.LivePermit

# releases of an entry that may be late by chance
LATE_RELEASES = 3.0
# an entry that speaks has not yet got the grants that are on their way
ON_THE_WAY_SECONDS = 0.05


class UnsurePermits:
    """Counts the permits that may load nothing, by what entries say.

    Attributes:
        name: This router, whose own messages are never lost.
        unheld: Permits of each entry beyond what it last said it holds.
    """

    def __init__(
        self,
        name: str,
        table: permits.PermitTable,
        askers: entries.Entries,
        permit_rates: rates.Rates,
    ) -> None:
        self.name = name
        self.table = table
        self.entries = askers
        self.rates = permit_rates
        self.unheld: dict[str, int] = {}

    def note_held(self, entry: str, held: int | None) -> None:
        """Notes how many permits an entry says it holds.

        Args:
            entry: The entry.
            held: Its count, None if it does not say.
        """
        self.unheld.pop(entry, None)
        if held is None:
            return
        arrived = self.table.count_before(
            entry, trio.current_time() - ON_THE_WAY_SECONDS
        )
        if held < arrived:
            self.unheld[entry] = arrived - held

    def count(self) -> int:
        """Returns how many of all live permits may load nothing."""
        now = trio.current_time()
        total = 0.0
        for entry, numbers in self.table.numbers.items():
            total += self.count_of(entry, len(numbers), now)
        return round(total)

    def discard(self, permit: LivePermit) -> None:
        """Drops a permit that loads nothing."""
        self.table.discard(permit)
        if self.unheld.get(permit.entry):
            self.unheld[permit.entry] -= 1

    def vanished(self, upstream: str, at: float, load: int) -> list[LivePermit]:
        """Returns permits that load nothing by the upstream's own report.

        It shows how many of them, and the entries' silence shows which.

        Args:
            upstream: VM id.
            at: Owner clock at which the report was taken.
            load: Load that it gives.
        """
        known = self.table.running_at(upstream, at)
        excess = len(known) - load
        if excess <= 0:
            return []
        now = trio.current_time()
        left = {
            entry: round(self.count_of(entry, len(numbers), now))
            for entry, numbers in self.table.numbers.items()
        }
        found = []
        for permit in sorted(known, key=lambda one: one.granted_at):
            if left[permit.entry] > 0 and len(found) < excess:
                left[permit.entry] -= 1
                found.append(permit)
        return found

    def count_of(self, entry: str, live: int, now: float) -> float:
        """Returns how many of an entry's permits may load nothing.

        Args:
            entry: The entry.
            live: Its permits.
            now: Owner clock.
        """
        if entry == self.name:
            return 0.0
        unheld = self.unheld.get(entry, 0)
        return min(live, max(unheld, self.ended(entry, live, now)))

    def ended(self, entry: str, live: int, now: float) -> float:
        """Returns how many permits may have ended unheard, by chance.

        An entry that asks another owner tells that one of their ends. From
        any other, releases should have come as fast as from all.

        Args:
            entry: The entry.
            live: Its permits.
            now: Owner clock.
        """
        service = self.rates.service
        if service <= 0:
            return 0.0
        moved = self.entries.moved.get(entry)
        if moved is not None:
            return live * (1.0 - math.exp((moved - now) / service))
        heard = self.entries.heard.get(entry, now)
        return (now - heard) * live / service - LATE_RELEASES
