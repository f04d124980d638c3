"""The loads of a group's upstreams and who of them may take a request."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from lavenderbend import errors
from lavenderbend.coordination import placement
from lavenderbend.coordination.admission import rates
from lavenderbend.coordination.admission import serving
from lavenderbend.coordination.admission import sums
from lavenderbend.coordination.admission import unsure
from lavenderbend.protocol import messages_decisions
from lavenderbend.state import permits
from lavenderbend.state import requests

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lavenderbend.coordination import interfaces
    from lavenderbend.coordination.admission import entries
    from lavenderbend.coordination.admission import groups
    from lavenderbend.coordination.admission import settings as settings_
    from lavenderbend.state import configuration
    from lavenderbend.state import placements
    from lavenderbend.state import upstreams

# releases on their way count as load that may have ended
MIN_UNSEEN = 1.0
# what load from elsewhere may have fallen by since the report, at least
FOREIGN_DRIFT = 0.25
ROUNDING = 1e-9


class GroupLoads:
    """Permits and reports of a group's upstreams.

    Attributes:
        table: Live permits joined with reports.
        rates: How fast permits come back.
        unsure: Which of them may load nothing.
        tested: Until when no other suspect is sent to an upstream.
        tested_chats: Until when a suspect's chat is not sent again.
    """

    def __init__(
        self,
        name: str,
        group: groups.GroupId,
        directory: groups.Directory,
        membership: interfaces.Membership,
        settings: settings_.AdmissionSettings,
        askers: entries.Entries,
        pool_sums: sums.PoolSums,
    ) -> None:
        self.group = group
        self.directory = directory
        self.membership = membership
        self.settings = settings
        self.entries = askers
        self.sums = pool_sums
        self.table = permits.PermitTable()
        self.rates = rates.Rates()
        self.unsure = unsure.UnsurePermits(name, self.table, askers, self.rates)
        self.tested: dict[str, float] = {}
        self.tested_chats: dict[int, float] = {}

    def pool(self) -> configuration.Pool:
        """Returns the pool.

        Raises:
            NoConfiguration: It is not in this router's configuration yet.
        """
        pool = self.directory.pool(self.group.pool)
        if pool is None:
            raise errors.NoConfiguration('the owner does not know the pool', 1)
        return pool

    def upstreams(self) -> list[upstreams.Vm]:
        """Returns the upstreams of the group, their reports joined."""
        vms = self.directory.upstreams(self.pool(), self.group.index)
        for vm in vms:
            report = self.membership.report(vm.id)
            if report is None:
                continue
            at = self.membership.report_at(vm.id)
            seen = self.table.seen.get(vm.id)
            if seen is None or seen.at != at:
                self.table.join(vm.id, at, report.load)
        return vms

    def drop_vanished(self) -> list[permits.LivePermit]:
        """Drops permits that load nothing by what upstreams report.

        Their releases were lost, or were never meant to come here: counted
        for ever, they would keep upstreams full.
        """
        dropped = []
        for vm in self.upstreams():
            seen = self.table.seen.get(vm.id)
            if seen is None:
                continue
            found = self.unsure.vanished(vm.id, seen.at, seen.reported)
            for permit in found:
                self.unsure.discard(permit)
            if found:
                self.table.join(vm.id, seen.at, seen.reported)
            dropped += found
        return dropped

    def load(self, upstream: str, share: float) -> int:
        """Returns the load of an upstream as far as it is known.

        Once all entries have listed their permits to a new owner, what an
        earlier report shows above them has ended: requests that ended before
        the lists came. Counted until the next report, it would hide which
        engines are empty after a time without an owner.

        Args:
            upstream: VM id.
            share: Share of the live entries that ask this owner.
        """
        seen = self.table.seen.get(upstream)
        old = seen is None or seen.at < self.entries.changed_at
        if share >= 1.0 and old:
            return self.table.own(upstream)
        return self.table.load(upstream)

    def names(self) -> dict[int, str]:
        """Returns VM ids by short id, of all upstreams of the group."""
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
        self, ask: messages_decisions.PermitRequest
    ) -> list[placement.Candidate]:
        """Returns the upstreams that serve a request's model.

        Raises:
            NoUpstream: There is none that it has not been sent to.
        """
        vms = serving.serving(self.membership, self.upstreams(), ask.model)
        short_id = messages_decisions.short_id
        share = self.entries.share()
        candidates = [
            placement.Candidate(
                upstream=vm.id,
                instance=self.instance(vm.id),
                load=self.load(vm.id, share),
                adapter=self.has_adapter(vm.id, ask.adapter),
                avoided=bool(ask.avoid) and short_id(vm.id) in ask.avoid,
                tested=ask.suspect and self.tests_suspect(vm.id, ask.chat),
            )
            for vm in vms
        ]
        if all(candidate.avoided for candidate in candidates):
            raise errors.NoUpstream('no upstream of the pool serves this', 1)
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

    def tests_suspect(self, upstream: str, chat: int) -> bool:
        """Returns whether a suspect must not be sent to an upstream now.

        When an upstream dies, all that it ran are suspects. Two of them on
        one further upstream that dies could not be told apart, and an
        innocent request would be quarantined with the other. And the same
        request, sent twice at a time, would kill two more.
        """
        now = trio.current_time()
        busy = self.tested.get(upstream, 0.0) > now
        return busy or self.tested_chats.get(chat, 0.0) > now

    def note_suspect(self, upstream: str, chat: int) -> None:
        """Notes that a suspect was sent to an upstream."""
        now = trio.current_time()
        self.tested[upstream] = now + self.settings.probation
        self.tested_chats[chat] = now + self.settings.probation
        for table in (self.tested, self.tested_chats):
            for key in [key for key, until in table.items() if until <= now]:
                del table[key]

    def clear_suspect(self, upstream: str, chat: int) -> None:
        """Notes that a suspect was not sent there after all."""
        self.tested.pop(upstream, None)
        self.tested_chats.pop(chat, None)

    def limit_rooms(
        self, candidates: list[placement.Candidate], allowed: int
    ) -> None:
        """Limits what may be added while another owner may be at work.

        Two routers that both take themselves for the owner see each other's
        grants only in reports, one lag late; each would fill the same
        headroom and engines would stand far above the bound. So each adds,
        between two reports, only its share of the headroom of the last one:
        by the share of the entries that ask it, and of the load that came
        through it. A new owner adds one at a time until it has a report
        taken after it took over. The shares add up to the headroom, and
        rounding up adds at most one for each further owner.
        """
        share = self.entries.share()
        own = sum(self.table.own(one.upstream) for one in candidates)
        load = sum(one.load for one in candidates)
        if share >= 1.0 and load == own:
            return
        share = min(share, (own + 1) / (load + 1))
        for candidate in candidates:
            seen = self.table.seen.get(candidate.upstream)
            if seen is None:
                continue
            room = math.ceil(share * (allowed - seen.load) - ROUNDING)
            if self.is_before_owner(candidate.upstream):
                room = min(1, room)
            candidate.room = room - self.table.growth(candidate.upstream)

    def place(
        self,
        ask: messages_decisions.PermitRequest,
        places: Sequence[placements.Place],
        max_load: int,
    ) -> placement.Choice:
        """Chooses an upstream for a request, if one may take it now.

        Args:
            ask: The request.
            places: Where its chat's context was.
            max_load: Hard limit of an upstream for it.

        Raises:
            NoUpstream: No upstream of the group serves it.
        """
        candidates = self.candidates(ask)
        unknown = serving.unknown(self.membership, self.upstreams(), ask.model)
        allowed = self.allowed(candidates, unknown)
        self.limit_rooms(candidates, allowed)
        tried = placement.order(candidates, places, ask.number)
        return placement.choose(tried, allowed, max_load)

    def allowed(
        self, candidates: list[placement.Candidate], unknown: int = 0
    ) -> int:
        """Returns the highest load that the bound allows now.

        Args:
            candidates: Who serves the model.
            unknown: How many further upstreams may serve it.
        """
        load = sum(candidate.load for candidate in candidates)
        for one in candidates:
            if one.avoided:
                # it may just have died, and what other owners sent there
                # with it: the report does not show that yet
                load -= one.load - self.table.own(one.upstream)
        others = self.sums.others(self.group.pool, self.group.index)
        elsewhere = sum(item.load for item in others.values())
        engines = sum(item.engines for item in others.values())
        unseen = MIN_UNSEEN + self.rates.rate * self.settings.flight
        unseen += sums.DRIFT * elsewhere
        load -= self.unsure.count()
        ended = self.ended_elsewhere(candidates)
        if any(self.is_before_owner(one.upstream) for one in candidates):
            # what the owner before granted and took back is not known: by the
            # mean of such reports one more request would go to each upstream
            load -= round(ended)
        else:
            unseen += ended
        return placement.allowed_load(
            self.pool(),
            load + elsewhere,
            len(candidates) + unknown + engines,
            unseen,
        )

    def is_before_owner(self, upstream: str) -> bool:
        """Returns whether a report is older than this router as the owner."""
        seen = self.table.seen.get(upstream)
        return seen is not None and seen.at < self.entries.active_since

    def ended_elsewhere(self, candidates: list[placement.Candidate]) -> float:
        """Returns how much load of other owners may have ended by now.

        Args:
            candidates: Who serves the model.
        """
        return sum(
            self.ended_part(one.upstream)
            * (one.load - self.table.own(one.upstream))
            for one in candidates
            if not one.avoided
        )

    def ended_part(self, upstream: str) -> float:
        """Returns the part of a report's requests that may have ended."""
        seen = self.table.seen.get(upstream)
        service = self.rates.service
        if seen is None:
            return FOREIGN_DRIFT
        if service <= 0:
            # an owner that has just become one knows of no end yet
            return 1.0
        age = trio.current_time() - seen.at
        return max(FOREIGN_DRIFT, 1.0 - math.exp(-age / service))

    def max_load(self, priority: int, over: bool) -> int:
        """Returns the hard limit of an upstream for some requests.

        Instant requests must not wait for others to finish, and customers
        below their fair share not for those that surge: a part of every
        upstream is kept for each.

        Args:
            priority: Priority of the request.
            over: Whether its customer has its fair share already.
        """
        pool = self.pool()
        if priority == requests.Priority.INSTANT:
            return pool.max_load
        reserve = int(pool.max_load * self.settings.instant_reserve)
        if over:
            reserve += int(pool.max_load * self.settings.fair_reserve)
        return pool.max_load - reserve

    def slots(self) -> int:
        """Returns what the upstreams run of customers over their share."""
        vms = self.directory.upstreams(self.pool(), self.group.index)
        return len(vms) * self.max_load(requests.Priority.NORMAL, True)
