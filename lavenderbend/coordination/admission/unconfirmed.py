"""Live permits of an owner that may no longer be in use.

If the answer to a granted request or a release is lost, the permit stays in
the owner's table although no request runs with it. The upstream may still be
running the request, so the permit counts as load of its upstream. In the mean
it does not count, because it would raise the bound of all upstreams.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from lavenderbend.coordination.admission import entry_tracker
    from lavenderbend.coordination.admission import rates
    from lavenderbend.state import permits

    LivePermit = permits.LivePermit

# releases of an entry router that may be late by chance
LATE_RELEASES = 3.0
# When an entry router sends a message, grants made less than this long ago
# may still be in transit to it.
GRANT_TRANSIT_SECONDS = 0.05


class UnconfirmedPermits:
    """Estimates how many permits of each entry router are no longer in use.

    Attributes:
        name: This router, whose own messages are never lost.
        unheld: Number of permits of each entry router above the count that
            it last reported.
    """

    def __init__(
        self,
        name: str,
        table: permits.PermitTable,
        entries: entry_tracker.EntryTracker,
        release_rates: rates.ReleaseRates,
    ) -> None:
        self.name = name
        self.table = table
        self.entries = entries
        self.rates = release_rates
        self.unheld: dict[str, int] = {}

    def note_held(self, entry: str, held: int | None) -> None:
        """Records how many permits an entry router reports to hold.

        Args:
            entry: The entry router.
            held: Its count, None if the message does not give one.
        """
        self.unheld.pop(entry, None)
        if held is None:
            return
        arrived = self.table.count_before(
            entry, trio.current_time() - GRANT_TRANSIT_SECONDS
        )
        if held < arrived:
            self.unheld[entry] = arrived - held

    def count(self) -> int:
        """Returns how many of all live permits may not be in use."""
        now = trio.current_time()
        total = 0.0
        for entry, numbers in self.table.numbers.items():
            total += self.count_of(entry, len(numbers), now)
        return round(total)

    def discard(self, permit: LivePermit) -> None:
        """Removes a permit that is not in use."""
        self.table.discard(permit)
        if self.unheld.get(permit.entry):
            self.unheld[permit.entry] -= 1

    def moved(self, upstream: str, at: float) -> list[LivePermit]:
        """Returns permits of entry routers that use another owner by now.

        A report taken after the move shows their load, which the other owner
        answers for.

        Args:
            upstream: VM id.
            at: Owner clock at which the report was taken.
        """
        moved_at = self.entries.moved_at
        return [
            permit
            for permit in self.table.running_at(upstream, at)
            if moved_at.get(permit.entry, math.inf) < at
        ]

    def unused(self, upstream: str, at: float, load: int) -> list[LivePermit]:
        """Returns permits that the upstream's own report shows as unused.

        The report shows how many they are. They are taken from the entry
        routers that have unconfirmed permits, the oldest permits first.

        Args:
            upstream: VM id.
            at: Owner clock at which the report was taken.
            load: Load in the report.
        """
        running = self.table.running_at(upstream, at)
        excess = len(running) - load
        if excess <= 0:
            return []
        now = trio.current_time()
        left = {
            entry: round(self.count_of(entry, len(numbers), now))
            for entry, numbers in self.table.numbers.items()
        }
        unused = []
        for permit in sorted(running, key=lambda permit: permit.granted_at):
            if left[permit.entry] > 0 and len(unused) < excess:
                left[permit.entry] -= 1
                unused.append(permit)
        return unused

    def count_of(self, entry: str, live: int, now: float) -> float:
        """Returns how many permits of an entry router may not be in use.

        Args:
            entry: The entry router.
            live: Number of its live permits.
            now: Owner clock.
        """
        if entry == self.name:
            return 0.0
        unheld = self.unheld.get(entry, 0)
        return min(live, max(unheld, self.expected_ended(entry, live, now)))

    def expected_ended(self, entry: str, live: int, now: float) -> float:
        """Returns how many permits have probably ended without a release.

        An entry router that uses another owner sends its releases there.
        From any other, releases should have arrived at the mean rate of all
        entry routers.

        Args:
            entry: The entry router.
            live: Number of its live permits.
            now: Owner clock.
        """
        service_seconds = self.rates.service_seconds
        if service_seconds <= 0:
            return 0.0
        moved_at = self.entries.moved_at.get(entry)
        if moved_at is not None:
            return live * (1.0 - math.exp((moved_at - now) / service_seconds))
        last_contact = self.entries.last_contact.get(entry, now)
        return (now - last_contact) * live / service_seconds - LATE_RELEASES
