"""An owner's share of the bound while another router may act as the owner."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lavenderbend.coordination import placement
    from lavenderbend.coordination.admission import entry_tracker
    from lavenderbend.state import permits

ROUNDING_TOLERANCE = 1e-9
# After this time another owner has reports that show this owner's load.
REPORTED_SECONDS = 3.0


class OwnerShare:
    """Limits an owner's permits to its share of the bound.

    Two routers that both act as the owner see each other's grants only in
    load reports, one report interval late. Each would fill the same headroom
    and engines would be far above the bound. The shares of all owners add up
    to the bound, and rounding up adds at most one request for each further
    owner.

    A share of the headroom in the last report would not do: an owner would
    grant anew what its own requests gave back since then, although another
    owner may have counted that as headroom by a later report.

    Attributes:
        table: Live permits of this owner, joined with reports.
        entries: Entry routers that use this owner.
    """

    def __init__(
        self, table: permits.PermitTable, entries: entry_tracker.EntryTracker
    ) -> None:
        self.table = table
        self.entries = entries

    def limit_headroom(
        self, candidates: Sequence[placement.Candidate], allowed: int
    ) -> None:
        """Sets the headroom of candidates while there may be another owner.

        A new owner adds one request at a time to an upstream until it has a
        report taken after it became the owner.

        Args:
            candidates: Upstreams that serve the model.
            allowed: Highest load that the bound allows now.
        """
        own = sum(self.own(candidate.upstream) for candidate in candidates)
        load = sum(candidate.load for candidate in candidates)
        share = self.entries.share()
        if share >= 1.0 and load == own:
            return
        share = max(share, self.share_by_load(candidates))
        share = min(share, (own + 1) / (load + 1))
        limit = math.ceil(share * allowed - ROUNDING_TOLERANCE)
        for candidate in candidates:
            upstream = candidate.upstream
            if upstream not in self.table.reports:
                continue
            candidate.headroom = limit - self.own(upstream)
            if self.predates_ownership(upstream):
                growth = self.table.growth(upstream)
                candidate.headroom = min(candidate.headroom, 1 - growth)

    def share_by_load(self, candidates: Sequence[placement.Candidate]) -> float:
        """Returns the fraction of the bound that reports leave to this owner.

        A lost router may be the owner of others, so it counts as one that does
        not use this owner. But it may also be dead, and the share that it
        leaves unused would delay requests. So after `REPORTED_SECONDS` it does
        not count to the extent that the load in the reports is this owner's.
        """
        reports = self.table.reports
        seen = [
            reports[candidate.upstream]
            for candidate in candidates
            if candidate.upstream in reports
        ]
        own = sum(report.own for report in seen)
        load = sum(report.load for report in seen)
        return self.entries.share(REPORTED_SECONDS) * own / (load + 1)

    def own(self, upstream: str) -> int:
        """Returns how many live permits of an upstream are this owner's.

        An entry router that moved has listed its permits to its new owner.
        """
        return sum(
            permit.entry not in self.entries.moved_at
            for permit in self.table.live[upstream].values()
        )

    def predates_ownership(self, upstream: str) -> bool:
        """Returns whether a report is from before this router was owner."""
        seen = self.table.reports.get(upstream)
        return seen is not None and seen.at < self.entries.active_since
