"""One group of upstreams as its owner sees it."""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend import errors
from lavenderbend.coordination import fairness
from lavenderbend.coordination import placement
from lavenderbend.coordination.admission import serving
from lavenderbend.coordination.admission import sums
from lavenderbend.observe import metrics
from lavenderbend.protocol import messages_decisions
from lavenderbend.state import permits
from lavenderbend.state import placements
from lavenderbend.state import requests

if TYPE_CHECKING:
    from lavenderbend.coordination import interfaces
    from lavenderbend.coordination.admission import groups
    from lavenderbend.coordination.admission import settings as settings_
    from lavenderbend.state import configuration
    from lavenderbend.state import upstreams

# a grant may still be on its way to the entry when the entry lists its
# permits: such a permit must not be taken for a leaked one
GRANT_IN_FLIGHT_SECONDS = 3.0
RATE_WEIGHT = 0.2
MIN_UNSEEN = 1.0
MAX_HOPS = 2
# what load from elsewhere may have fallen by since the report
FOREIGN_DRIFT = 0.25
# for each second; about 800 bytes, while a table is copied for the first time
COPIED_CHATS = 120
MIN_PATIENCE_SECONDS = 0.01
SAME_TIME_SECONDS = 0.001
MIN_RETRY_AFTER_SECONDS = 1.0

GRANTS = metrics.counter(
    'lavenderbend_permits_granted_total', 'Permits granted, by reason.'
)
REFUSALS = metrics.counter(
    'lavenderbend_permits_refused_total', 'Permits refused, by error.'
)


@attrs.define(eq=False)
class Waiter:
    """A permit request that is not decided yet.

    Attributes:
        entry: Router that asks.
        ask: What it asks for.
        deadline: Owner clock.
        polled: Owner clock of the entry's last sign about it.
        done: Set when `choice` or `error` is.
        choice: The permit.
        error: Why there is none.
        elsewhere: Group of the pool to ask instead, if any.
        patient_until: Owner clock until which it waits for room where its
            context is, though other upstreams have room.
    """

    entry: str
    ask: messages_decisions.PermitRequest
    deadline: float
    polled: float
    done: trio.Event = attrs.field(factory=trio.Event)
    choice: placement.Choice | None = None
    error: errors.RequestError | None = None
    elsewhere: int | None = None
    patient_until: float = 0.0


class OwnedGroup:
    """Permits, places and waiting requests of one group.

    Attributes:
        group: Which group.
        heard: Owner clock of the last sign of each entry that takes this
            router for the owner.
        active_since: When the first of them was heard.
        rate: Permits given back a second, smoothed; 0 before the first.
    """

    def __init__(
        self,
        group: groups.GroupId,
        directory: groups.Directory,
        membership: interfaces.Membership,
        settings: settings_.AdmissionSettings,
        pool_sums: sums.PoolSums,
    ) -> None:
        self.sums = pool_sums
        self.moved: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        self.group = group
        self.directory = directory
        self.membership = membership
        self.settings = settings
        self.table = permits.PermitTable()
        self.places = placements.Placements(settings.chats)
        self.queue: fairness.FairQueue[Waiter] = fairness.FairQueue()
        self.patient: list[Waiter] = []
        self.patience_changed = trio.Event()
        self.waiting: dict[tuple[str, int], Waiter] = {}
        self.heard: dict[str, float] = {}
        self.active_since = 0.0
        self.mismatches: dict[str, int] = {}
        self.standby = ''
        self.rate = 0.0
        self.released = 0
        self.rated_at = trio.current_time()

    def hear(self, entry: str) -> None:
        """Notes a sign that an entry takes this router for the owner."""
        now = trio.current_time()
        if not self.heard:
            self.active_since = now
            self.places.fresh.clear()
        self.heard[entry] = now

    def unhear(self, entry: str) -> None:
        """Notes that an entry now asks another router."""
        self.heard.pop(entry, None)

    def share(self) -> float:
        """Returns the share of live entries that ask this owner."""
        now = trio.current_time()
        live = self.membership.region_routers()
        oldest = now - self.settings.heard
        asking = sum(self.heard.get(name, -1.0) >= oldest for name in live)
        return asking / max(1, len(live))

    def pool(self) -> configuration.Pool:
        """Returns the pool.

        Raises:
            NoConfiguration: It is not in this router's configuration yet.
        """
        pool = self.directory.pool(self.group.pool)
        if pool is None:
            raise errors.NoConfiguration('the owner does not know the pool', 1)
        return pool

    def join_reports(self, vms: list[upstreams.Vm]) -> None:
        """Joins the reports that have come since the last look."""
        for vm in vms:
            report = self.membership.report(vm.id)
            if report is None:
                continue
            at = self.membership.report_at(vm.id)
            seen = self.table.seen.get(vm.id)
            if seen is None or seen.at != at:
                self.table.join(vm.id, at, report.load)

    def serving(
        self, pool: configuration.Pool, model: int | None
    ) -> list[upstreams.Vm]:
        """Returns the upstreams of the group that serve a model."""
        vms = self.directory.upstreams(pool, self.group.index)
        self.join_reports(vms)
        return serving.serving(self.membership, vms, model)

    def candidates(
        self,
        vms: list[upstreams.Vm],
        ask: messages_decisions.PermitRequest,
    ) -> list[placement.Candidate]:
        """Returns the candidates for a request."""
        short_id = messages_decisions.short_id
        candidates = []
        for vm in vms:
            report = self.membership.report(vm.id)
            adapter = ask.adapter is None or (
                report is not None
                and any(
                    short_id(name) == ask.adapter for name in report.adapters
                )
            )
            candidate = placement.Candidate(
                upstream=vm.id,
                instance=self.instance(vm.id),
                load=self.table.load(vm.id),
                adapter=adapter,
                avoided=bool(ask.avoid) and short_id(vm.id) in ask.avoid,
                tested=ask.suspect and self.tests_suspect(vm.id),
            )
            candidates.append(candidate)
        return candidates

    def tests_suspect(self, upstream: str) -> bool:
        """Returns whether a suspect was sent there a short while ago.

        When an upstream dies, all that it ran are suspects. Two of them on
        one further upstream that dies could not be told apart, and an
        innocent request would be quarantined with the other.
        """
        since = trio.current_time() - self.settings.probation
        return any(
            permit.suspect and permit.granted_at > since
            for permit in self.table.live[upstream].values()
        )

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
        share = self.share()
        own = sum(self.table.own(one.upstream) for one in candidates)
        load = sum(one.load for one in candidates)
        if share >= 1.0 and load == own:
            return
        share = min(share, (own + 1) / (load + 1))
        for candidate in candidates:
            seen = self.table.seen.get(candidate.upstream)
            if seen is None:
                continue
            room = math.ceil(share * (allowed - seen.load) - 1e-9)
            if seen.at < self.active_since:
                room = min(1, room)
            candidate.room = room - self.table.growth(candidate.upstream)

    def place(self, ask: messages_decisions.PermitRequest) -> placement.Choice:
        """Chooses an upstream for a request, if one may take it now.

        Raises:
            NoUpstream: No upstream of the group serves it.
        """
        pool = self.pool()
        vms = self.serving(pool, ask.model)
        candidates = self.candidates(vms, ask)
        if all(candidate.avoided for candidate in candidates):
            raise errors.NoUpstream('no upstream of the pool serves this', 1)
        allowed = self.allowed(pool, candidates)
        self.limit_rooms(candidates, allowed)
        places = self.places.get(ask.chat) if ask.chat else ()
        tried = placement.order(candidates, places, ask.number)
        return placement.choose(tried, allowed, self.max_load(pool, ask))

    def allowed(
        self,
        pool: configuration.Pool,
        candidates: list[placement.Candidate],
    ) -> int:
        """Returns the highest load that the bound allows now."""
        load = sum(candidate.load for candidate in candidates)
        own = sum(self.table.own(one.upstream) for one in candidates)
        others = self.sums.others(self.group.pool, self.group.index)
        elsewhere = sum(item.load for item in others.values())
        engines = sum(item.engines for item in others.values())
        unseen = MIN_UNSEEN + self.rate * self.settings.flight
        unseen += sums.DRIFT * elsewhere + FOREIGN_DRIFT * (load - own)
        return placement.allowed_load(
            pool, load + elsewhere, len(candidates) + engines, unseen
        )

    def max_load(
        self,
        pool: configuration.Pool,
        ask: messages_decisions.PermitRequest,
    ) -> int:
        """Returns the hard limit for a request of its priority.

        Instant requests must not wait for others to finish: a part of every
        upstream is kept for them.
        """
        if ask.priority == requests.Priority.INSTANT:
            return pool.max_load
        reserve = int(pool.max_load * self.settings.instant_reserve)
        return pool.max_load - reserve

    def grant(self, waiter: Waiter, choice: placement.Choice) -> None:
        """Records a permit."""
        ask = waiter.ask
        now = trio.current_time()
        upstream = choice.upstream or ''
        self.table.add(
            permits.LivePermit(
                waiter.entry, ask.number, upstream, now, ask.suspect
            )
        )
        if ask.chat:
            place = placements.Place(upstream, self.instance(upstream))
            self.places.put(ask.chat, place)
        waiter.choice = choice
        waiter.done.set()
        GRANTS.inc({'reason': choice.reason})

    def instance(self, upstream: str) -> int:
        """Returns the short id of an upstream's instance, 0 if unknown."""
        report = self.membership.report(upstream)
        if report is None:
            return 0
        return messages_decisions.short_id(report.instance)

    def refuse(self, waiter: Waiter, error: errors.RequestError) -> None:
        """Ends a waiting request with an error, at once."""
        waiter.error = error
        waiter.done.set()
        REFUSALS.inc({'error': type(error).__name__})

    def submit(self, waiter: Waiter) -> None:
        """Grants, refuses, queues or sends on a new request."""
        waiter.elsewhere = self.settled(waiter.ask)
        if waiter.elsewhere is not None:
            waiter.done.set()
            return
        try:
            choice = None if self.blocked(waiter) else self.place(waiter.ask)
        except errors.RequestError as exc:
            self.refuse(waiter, exc)
            return
        if choice is not None and choice.upstream is not None:
            if not self.be_patient(waiter, choice):
                self.grant(waiter, choice)
            return
        other = self.elsewhere(waiter.ask, choice)
        if other is not None:
            waiter.elsewhere = other
            waiter.done.set()
            return
        self.enqueue(waiter)

    def be_patient(self, waiter: Waiter, choice: placement.Choice) -> bool:
        """Lets a request wait a moment for room where its context is.

        It waits only if that may be shorter than computing the context
        anew: another place would cost the time and the other's cache too.
        """
        ask = waiter.ask
        if choice.reason == placement.HELD_CHAT or not choice.passed_over:
            return False
        held = {place.upstream for place in self.places.get(ask.chat)}
        if not any(
            upstream in held and reason == placement.OVER_BOUND
            for upstream, reason in choice.passed_over
        ):
            return False
        settings = self.settings
        seconds = min(settings.patience, ask.prompt_tokens / settings.recompute)
        now = trio.current_time()
        seconds = min(seconds, (waiter.deadline - now) / 2)
        if seconds < MIN_PATIENCE_SECONDS:
            return False
        waiter.patient_until = now + seconds
        self.patient.append(waiter)
        self.waiting[waiter.entry, ask.number] = waiter
        self.patience_changed.set()
        return True

    def serve_patient(self) -> None:
        """Grants to those that wait for their place what is free now."""
        now = trio.current_time()
        for waiter in list(self.patient):
            try:
                choice = self.place(waiter.ask)
            except errors.RequestError as exc:
                self.forget(waiter)
                self.refuse(waiter, exc)
                continue
            held = choice.reason == placement.HELD_CHAT
            if not held and now < waiter.patient_until - SAME_TIME_SECONDS:
                continue
            self.forget(waiter)
            if choice.upstream is None:
                self.enqueue(waiter)
            else:
                self.grant(waiter, choice)

    async def run_patience(self) -> None:
        """Ends each patient wait in time."""
        while True:
            if not self.patient:
                self.patience_changed = trio.Event()
                await self.patience_changed.wait()
                continue
            await trio.sleep_until(self.patient[0].patient_until)
            self.serve_patient()

    def elsewhere(
        self,
        ask: messages_decisions.PermitRequest,
        choice: placement.Choice | None,
    ) -> int | None:
        """Returns the group that should be asked instead, if any."""
        if ask.hops >= MAX_HOPS:
            return None
        emptiest = self.sums.emptiest(self.group.pool, self.group.index)
        if emptiest is None:
            return None
        index, other = emptiest
        load, engines = self.total()
        if other.mean >= load / max(1, engines):
            return None
        if choice is not None and choice.upstream is None:
            self.remember_move(ask.chat, index)
            return index
        return None

    def settled(self, ask: messages_decisions.PermitRequest) -> int | None:
        """Returns the group that a chat was sent on to, or should be.

        A chat that is nowhere yet is sent on when this group has more than
        its part of the pool's load.
        """
        if ask.hops > 0 or self.places.get(ask.chat):
            return None
        if ask.chat in self.moved:
            self.moved.move_to_end(ask.chat)
            return self.moved[ask.chat]
        others = self.sums.others(self.group.pool, self.group.index)
        if not others:
            return None
        load, engines = self.total()
        all_load = load + sum(item.load for item in others.values())
        all_engines = engines + sum(item.engines for item in others.values())
        if load * all_engines <= sums.UNEVEN * all_load * engines:
            return None
        index = min(others, key=lambda one: (others[one].mean, one))
        self.remember_move(ask.chat, index)
        return index

    def remember_move(self, chat: int, index: int) -> None:
        """Notes that a chat was sent on to another group."""
        if not chat:
            return
        self.moved[chat] = index
        self.moved.move_to_end(chat)
        if len(self.moved) > self.settings.chats:
            self.moved.popitem(last=False)

    def blocked(self, waiter: Waiter) -> bool:
        """Returns whether others wait that go before a new request."""
        ask = waiter.ask
        return self.queue.ahead(ask.priority, ask.customer) > 0

    def enqueue(self, waiter: Waiter) -> None:
        """Queues a request, or refuses it if it cannot be served in time."""
        ask = waiter.ask
        pool = self.pool()
        ahead = self.queue.ahead(ask.priority, ask.customer)
        if self.too_late(ahead, waiter):
            self.refuse(waiter, self.pool_full(ahead))
            return
        weight = self.directory.weight(ask.customer)
        self.queue.push(waiter, ask.priority, ask.customer, weight)
        self.waiting[waiter.entry, ask.number] = waiter
        if len(self.queue) <= pool.max_waiting:
            return
        # the last one goes, not the newest: customers that surge fill the
        # queue, and a small customer's request would find it full
        last = self.queue.items[-1][3]
        self.forget(last)
        self.refuse(last, self.pool_full(len(self.queue)))

    def too_late(self, ahead: int, waiter: Waiter) -> bool:
        """Returns whether a request would reach its deadline in the queue."""
        left = waiter.deadline - trio.current_time()
        if left <= 0:
            return True
        return self.rate > 0 and (ahead + 1) / self.rate > left

    def pool_full(self, ahead: int) -> errors.PoolFull:
        """Returns the error for a request with that many before it."""
        seconds = (ahead + 1) / self.rate if self.rate > 0 else 0.0
        retry_after = max(MIN_RETRY_AFTER_SECONDS, round(seconds, 1))
        return errors.PoolFull(
            f'{len(self.queue)} requests wait for the pool', retry_after
        )

    def forget(self, waiter: Waiter) -> None:
        """Takes a request out of the queue."""
        self.queue.remove(waiter)
        if waiter in self.patient:
            self.patient.remove(waiter)
        self.waiting.pop((waiter.entry, waiter.ask.number), None)

    def release(self, entry: str, number: int) -> None:
        """Takes a permit back, or a waiting request out."""
        waiter = self.waiting.get((entry, number))
        if waiter is not None:
            self.forget(waiter)
        permit = self.table.remove(entry, number, trio.current_time())
        if permit is not None:
            self.released += 1

    def dispatch(self) -> None:
        """Grants to those that wait, in their order, what is free now."""
        self.serve_patient()
        blocked: set[tuple[int | None, bool]] = set()
        for waiter in list(self.queue):
            ask = waiter.ask
            key = (ask.model, ask.priority == requests.Priority.INSTANT)
            if key in blocked:
                continue
            if not self.serve(waiter) and not ask.avoid:
                blocked.add(key)

    def serve(self, waiter: Waiter) -> bool:
        """Grants to a waiting request if possible; whether it left."""
        try:
            choice = self.place(waiter.ask)
        except errors.RequestError as exc:
            self.forget(waiter)
            self.refuse(waiter, exc)
            return True
        if choice.upstream is None:
            return False
        self.queue.take(waiter)
        self.forget(waiter)
        self.grant(waiter, choice)
        return True

    def expire(self) -> None:
        """Refuses what cannot be served in time, forgets who went away."""
        now = trio.current_time()
        patience = self.settings.hold + self.settings.ask_timeout
        for ahead, waiter in enumerate(list(self.queue)):
            if waiter.polled < now - 2 * patience:
                self.forget(waiter)
            elif self.too_late(ahead, waiter):
                self.forget(waiter)
                self.refuse(waiter, self.pool_full(ahead))

    def measure_rate(self) -> None:
        """Updates the rate at which permits come back."""
        now = trio.current_time()
        elapsed = now - self.rated_at
        if elapsed < 1.0:
            return
        rate = self.released / elapsed
        if self.rate > 0:
            rate = RATE_WEIGHT * rate + (1 - RATE_WEIGHT) * self.rate
        self.rate = rate
        self.released = 0
        self.rated_at = now

    def register(
        self, entry: str, item: messages_decisions.PermitRegister
    ) -> None:
        """Takes over the live permits that an entry lists."""
        self.hear(entry)
        now = trio.current_time()
        known = set(item.numbers)
        for number in list(self.table.numbers.get(entry, ())):
            permit = self.table.get(entry, number)
            if number in known or permit is None:
                continue
            if permit.granted_at < now - GRANT_IN_FLIGHT_SECONDS:
                self.table.remove(entry, number, now)
        names = self.names()
        rows = zip(item.numbers, item.upstreams, item.ages, strict=False)
        for number, upstream, age in rows:
            name = names.get(upstream)
            if name is None:
                continue
            at = now - age / 10
            self.table.add(permits.LivePermit(entry, number, name, at))
        # the permits were live when the last reports were taken: joined
        # anew, they no longer count as load that came from elsewhere
        self.table.seen.clear()

    def names(self) -> dict[int, str]:
        """Returns VM ids by short id, of all upstreams of the group."""
        pool = self.pool()
        vms = self.directory.upstreams(pool, self.group.index)
        return {messages_decisions.short_id(vm.id): vm.id for vm in vms}

    def check_digest(self, entry: str, count: int, digest: int) -> bool:
        """Returns whether an entry should list its permits.

        A release may be lost with its connection; the permit would stand in
        the table for ever and its engine would look loaded. One difference
        may be a grant on its way, a second in a row is a loss.
        """
        self.hear(entry)
        if self.table.digest(entry) == (count, digest):
            self.mismatches.pop(entry, None)
            return False
        self.mismatches[entry] = self.mismatches.get(entry, 0) + 1
        return self.mismatches[entry] >= 2

    def drop_entry(self, entry: str) -> None:
        """Frees all permits of an entry that is gone."""
        now = trio.current_time()
        self.released += self.table.drop_entry(entry, now)
        self.heard.pop(entry, None)
        self.mismatches.pop(entry, None)
        for waiter in list(self.queue):
            if waiter.entry == entry:
                self.forget(waiter)

    def copy_places(self, standby: str) -> messages_decisions.PlacesCopy | None:
        """Returns the next places to copy to the standby, if any."""
        if standby != self.standby:
            self.standby = standby
            self.places.resend()
        rows = self.places.take_unsent(COPIED_CHATS)
        if not rows or not standby:
            return None
        places = list(dict.fromkeys(place for _, place in rows))
        positions = {place: index for index, place in enumerate(places)}
        short_id = messages_decisions.short_id
        return messages_decisions.PlacesCopy(
            self.group.pool,
            self.group.index,
            [short_id(place.upstream) for place in places],
            [place.instance for place in places],
            [chat for chat, _ in rows],
            [positions[place] for _, place in rows],
        )

    def learn_places(self, item: messages_decisions.PlacesCopy) -> None:
        """Notes places that another owner copied here."""
        names = self.names()
        for chat, index in zip(item.chats, item.indices, strict=False):
            upstream = names.get(item.upstreams[index])
            if upstream is not None:
                place = placements.Place(upstream, item.instances[index])
                self.places.learn(chat, place)

    def total(self) -> tuple[int, int]:
        """Returns the load of the group and its number of upstreams."""
        pool = self.pool()
        vms = self.directory.upstreams(pool, self.group.index)
        return sum(self.table.load(vm.id) for vm in vms), len(vms)
