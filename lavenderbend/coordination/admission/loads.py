"""Loads of a group's upstreams, and which of them may take a request."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from lavenderbend import errors
from lavenderbend.coordination import placement
from lavenderbend.coordination.admission import owner_share
from lavenderbend.coordination.admission import pool_totals as pool_totals_
from lavenderbend.coordination.admission import rates
from lavenderbend.coordination.admission import serving
from lavenderbend.coordination.admission import unconfirmed
from lavenderbend.protocol import messages_decisions
from lavenderbend.state import permits
from lavenderbend.state import requests

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lavenderbend.coordination import interfaces
    from lavenderbend.coordination.admission import entry_tracker
    from lavenderbend.coordination.admission import groups
    from lavenderbend.coordination.admission import settings as settings_
    from lavenderbend.state import configuration
    from lavenderbend.state import placements
    from lavenderbend.state import upstreams

# Requests whose releases are in transit: they count as load that may have
# ended, at least this many.
MIN_POSSIBLY_ENDED = 1.0
# least part of the load from other owners that may have ended since the
# report
MIN_FOREIGN_ENDED_FRACTION = 0.25


class GroupLoads:
    """Live permits and load reports of a group's upstreams.

    Attributes:
        table: Live permits joined with reports.
        rates: How fast permits are released.
        unconfirmed: Which live permits may no longer be in use.
        owner_share: Limits permits while another owner may be active.
        suspect_until: Owner clock until which no other suspect request is
            sent to an upstream, by VM id.
        suspect_chat_until: Owner clock until which a suspect request is not
            sent again, by chat.
    """

    def __init__(
        self,
        name: str,
        group: groups.GroupId,
        directory: groups.Directory,
        membership: interfaces.Membership,
        settings: settings_.AdmissionSettings,
        entries: entry_tracker.EntryTracker,
        pool_totals: pool_totals_.PoolTotals,
    ) -> None:
        self.group = group
        self.directory = directory
        self.membership = membership
        self.settings = settings
        self.entries = entries
        self.pool_totals = pool_totals
        self.table = permits.PermitTable()
        self.rates = rates.ReleaseRates()
        self.unconfirmed = unconfirmed.UnconfirmedPermits(
            name, self.table, entries, self.rates
        )
        self.owner_share = owner_share.OwnerShare(self.table, entries)
        self.suspect_until: dict[str, float] = {}
        self.suspect_chat_until: dict[int, float] = {}

    def pool(self) -> configuration.Pool:
        """Returns the pool.

        Raises:
            NoConfiguration: It is not in this router's configuration yet.
        """
        pool = self.directory.pool(self.group.pool)
        if pool is None:
            raise errors.NoConfiguration(
                "the pool is not in the owner's configuration", 1
            )
        return pool

    def upstreams(self) -> list[upstreams.Vm]:
        """Returns the group's upstreams, after joining their new reports."""
        vms = self.directory.upstreams(self.pool(), self.group.index)
        for vm in vms:
            report = self.membership.report(vm.id)
            if report is None:
                continue
            at = self.membership.report_at(vm.id)
            seen = self.table.reports.get(vm.id)
            if seen is None or seen.at != at:
                self.table.join(vm.id, at, report.load)
        return vms

    def drop_obsolete_permits(self) -> list[permits.LivePermit]:
        """Drops permits that are not in use, or no longer this owner's.

        Their releases were lost, or were sent to another owner. Counted for
        ever, such permits would keep upstreams full and use up this owner's
        share of the bound.

        Returns:
            The dropped permits.
        """
        dropped = []
        for vm in self.upstreams():
            seen = self.table.reports.get(vm.id)
            if seen is None:
                continue
            moved = self.unconfirmed.moved(vm.id, seen.at)
            for permit in moved:
                self.unconfirmed.discard(permit)
            unused = self.unconfirmed.unused(vm.id, seen.at, seen.reported)
            for permit in unused:
                self.unconfirmed.discard(permit)
            if moved or unused:
                self.table.join(vm.id, seen.at, seen.reported)
            dropped += moved + unused
        return dropped

    def load(self, upstream: str, share: float) -> int:
        """Returns the load of an upstream as far as it is known.

        When all entry routers have listed their permits to a new owner, any
        load above them in an earlier report is of requests that ended before
        the lists arrived. Counted until the next report, it would hide which
        engines are idle after a period without an owner.

        Args:
            upstream: VM id.
            share: Fraction of the live routers that use this owner.
        """
        seen = self.table.reports.get(upstream)
        outdated = seen is None or seen.at < self.entries.last_joined_at
        if share >= 1.0 and outdated:
            return self.table.own(upstream)
        return self.table.load(upstream)

    def names(self) -> dict[int, str]:
        """Returns the VM ids of the group's upstreams by short id."""
        vms = self.directory.upstreams(self.pool(), self.group.index)
        return {messages_decisions.short_id(vm.id): vm.id for vm in vms}

    def total(self) -> tuple[int, int]:
        """Returns the load of the group and its number of upstreams."""
        vms = self.directory.upstreams(self.pool(), self.group.index)
        share = self.entries.share()
        return sum(self.load(vm.id, share) for vm in vms), len(vms)

    def instance(self, upstream: str) -> int:
        """Returns the short id of an upstream's instance, 0 if unknown."""
        report = self.membership.report(upstream)
        if report is None:
            return 0
        return messages_decisions.short_id(report.instance)

    def candidates(
        self, request: messages_decisions.PermitRequest
    ) -> list[placement.Candidate]:
        """Returns the upstreams that serve a request's model.

        Raises:
            NoUpstream: There is none that the request has not been sent to.
        """
        vms = serving.serving(self.membership, self.upstreams(), request.model)
        short_id = messages_decisions.short_id
        share = self.entries.share()
        candidates = [
            placement.Candidate(
                upstream=vm.id,
                instance=self.instance(vm.id),
                load=self.load(vm.id, share),
                adapter=self.has_adapter(vm.id, request.adapter),
                avoided=(
                    bool(request.avoid) and short_id(vm.id) in request.avoid
                ),
                runs_suspect=(
                    request.suspect
                    and self.suspect_blocked(vm.id, request.chat)
                ),
            )
            for vm in vms
        ]
        if all(candidate.avoided for candidate in candidates):
            raise errors.NoUpstream(
                'no upstream of the pool can serve this request', 1
            )
        return candidates

    def has_adapter(self, upstream: str, adapter: int | None) -> bool:
        """Returns whether an upstream has an adapter loaded."""
        if adapter is None:
            return True
        report = self.membership.report(upstream)
        if report is None:
            return False
        short_id = messages_decisions.short_id
        return any(short_id(name) == adapter for name in report.adapters)

    def suspect_blocked(self, upstream: str, chat: int) -> bool:
        """Returns whether a suspect must not be sent to an upstream now.

        When an upstream dies, all requests that it ran become suspects. If
        two of them ran on one further upstream that dies, the cause could
        not be identified, and a harmless request would be quarantined with
        the other. The same suspect, sent twice at a time, would kill two more
        upstreams.
        """
        now = trio.current_time()
        upstream_blocked = self.suspect_until.get(upstream, 0.0) > now
        return upstream_blocked or self.suspect_chat_until.get(chat, 0.0) > now

    def note_suspect(self, upstream: str, chat: int) -> None:
        """Records that a suspect was sent to an upstream."""
        now = trio.current_time()
        self.suspect_until[upstream] = now + self.settings.suspect_interval
        self.suspect_chat_until[chat] = now + self.settings.suspect_interval
        for table in (self.suspect_until, self.suspect_chat_until):
            for key in [key for key, until in table.items() if until <= now]:
                del table[key]

    def clear_suspect(self, upstream: str, chat: int) -> None:
        """Records that a suspect was granted a permit but never sent."""
        self.suspect_until.pop(upstream, None)
        self.suspect_chat_until.pop(chat, None)

    def place(
        self,
        request: messages_decisions.PermitRequest,
        places: Sequence[placements.Place],
        max_load: int,
    ) -> placement.Choice:
        """Chooses an upstream for a request, if one may take it now.

        Args:
            request: The request.
            places: Where its chat's context was.
            max_load: Hard limit of an upstream for it.

        Raises:
            NoUpstream: No upstream of the group serves it.
        """
        candidates = self.candidates(request)
        unreported = serving.unreported_count(
            self.membership, self.upstreams(), request.model
        )
        allowed = self.allowed(candidates, unreported)
        self.owner_share.limit_headroom(candidates, allowed)
        ordered = placement.order(candidates, places, request.number)
        return placement.choose(ordered, allowed, max_load)

    def allowed(
        self, candidates: list[placement.Candidate], unreported: int = 0
    ) -> int:
        """Returns the highest load that the bound allows now.

        Args:
            candidates: Upstreams that serve the model.
            unreported: How many further upstreams may serve it.
        """
        load = sum(candidate.load for candidate in candidates)
        for candidate in candidates:
            if candidate.avoided:
                # It may just have died, and with it the requests that other
                # owners sent there: the report does not show that yet.
                load -= candidate.load - self.table.own(candidate.upstream)
        other_groups = self.pool_totals.others(
            self.group.pool, self.group.index
        )
        other_load = sum(total.load for total in other_groups.values())
        engines = sum(total.engines for total in other_groups.values())
        possibly_ended = (
            MIN_POSSIBLY_ENDED + self.rates.rate * self.settings.release_delay
        )
        possibly_ended += pool_totals_.ENDED_FRACTION * other_load
        load -= self.unconfirmed.count()
        foreign_ended = self.foreign_load_ended(candidates)
        if any(
            self.owner_share.predates_ownership(candidate.upstream)
            for candidate in candidates
        ):
            # The previous owner's grants and releases since the report are
            # not known: by the mean of such reports each upstream would get
            # one request too many.
            load -= round(foreign_ended)
        else:
            possibly_ended += foreign_ended
        return placement.allowed_load(
            self.pool(),
            load + other_load,
            len(candidates) + unreported + engines,
            possibly_ended,
        )

    def foreign_load_ended(
        self, candidates: list[placement.Candidate]
    ) -> float:
        """Returns how much load from other owners may have ended by now.

        Args:
            candidates: Upstreams that serve the model.
        """
        return sum(
            self.ended_fraction(candidate.upstream)
            * (candidate.load - self.table.own(candidate.upstream))
            for candidate in candidates
            if not candidate.avoided
        )

    def ended_fraction(self, upstream: str) -> float:
        """Returns the fraction of a report's requests that may have ended."""
        seen = self.table.reports.get(upstream)
        service_seconds = self.rates.service_seconds
        if seen is None:
            return MIN_FOREIGN_ENDED_FRACTION
        if service_seconds <= 0:
            # a new owner has not received any release yet
            return 1.0
        age = trio.current_time() - seen.at
        return max(
            MIN_FOREIGN_ENDED_FRACTION, 1.0 - math.exp(-age / service_seconds)
        )

    def max_load(self, priority: int, over: bool) -> int:
        """Returns the hard limit of an upstream for some requests.

        Instant requests must not wait for others to finish, nor customers
        below their fair share for those above theirs: part of every
        upstream's capacity is reserved for each.

        Args:
            priority: Priority of the request.
            over: Whether its customer has reached its fair share.
        """
        pool = self.pool()
        if priority == requests.Priority.INSTANT:
            return pool.max_load
        reserve = int(pool.max_load * self.settings.instant_reserve)
        if over:
            reserve += int(pool.max_load * self.settings.fair_reserve)
        return pool.max_load - reserve

    def slots(self) -> int:
        """Returns the requests that may run of customers over their share."""
        vms = self.directory.upstreams(self.pool(), self.group.index)
        return len(vms) * self.max_load(requests.Priority.NORMAL, True)
