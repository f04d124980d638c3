"""Requests that wait at the owner of a group."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend import errors
from lavenderbend.coordination import fairness
from lavenderbend.coordination import placement
from lavenderbend.observe import metrics
from lavenderbend.state import permits
from lavenderbend.state import placements
from lavenderbend.state import requests

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lavenderbend.coordination.admission import loads
    from lavenderbend.coordination.admission import settings as settings_
    from lavenderbend.coordination.admission import shares
    from lavenderbend.protocol import messages_decisions

MIN_RETRY_AFTER_SECONDS = 1.0
MIN_PATIENCE_SECONDS = 0.01
SAME_TIME_SECONDS = 0.001
# tries of one round over those that wait; the next release goes on
TRIES = 64
LOOK_AHEAD = 64
MAX_PASSED = 64
# requests that come later may go before one that waits already
ESTIMATE_MARGIN = 1.25
SERVICE_PART = 0.25

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
        since: Owner clock at which it came.
        polled: Owner clock of the entry's last sign about it.
        done: Set when `choice`, `error` or `elsewhere` is.
        choice: The permit.
        error: Why there is none.
        elsewhere: Group of the pool to ask instead.
        nobody: Whether no upstream of the group serves it.
        passed: Times that others of its customer went before it.
        patient_until: Owner clock until which it waits for room where its
            context is, though other upstreams have room.
    """

    entry: str
    ask: messages_decisions.PermitRequest
    deadline: float
    since: float
    polled: float
    done: trio.Event = attrs.field(factory=trio.Event)
    choice: placement.Choice | None = None
    error: errors.RequestError | None = None
    elsewhere: int | None = None
    nobody: bool = False
    passed: int = 0
    patient_until: float = 0.0


class WaitingRoom:
    """Grants permits at once or in the order of the queue.

    Attributes:
        queue: Those that wait for room, by priority and fair share.
        patient: Those that wait a moment for room at their place.
        waiting: Both, by entry and number.
    """

    def __init__(
        self,
        group_loads: loads.GroupLoads,
        places: placements.Placements,
        fair_shares: shares.FairShares,
        settings: settings_.AdmissionSettings,
    ) -> None:
        self.loads = group_loads
        self.places = places
        self.shares = fair_shares
        self.settings = settings
        self.queue: fairness.FairQueue[Waiter] = fairness.FairQueue()
        self.patient: list[Waiter] = []
        self.patience_changed = trio.Event()
        self.waiting: dict[tuple[str, int], Waiter] = {}

    def max_load(self, ask: messages_decisions.PermitRequest) -> int:
        """Returns the hard limit of an upstream for a request."""
        over = self.shares.over(ask.customer, self.loads.slots())
        return self.loads.max_load(ask.priority, over)

    def place(self, ask: messages_decisions.PermitRequest) -> placement.Choice:
        """Chooses an upstream; raises as `GroupLoads.place`."""
        places: Sequence[placements.Place] = ()
        if ask.chat:
            places = self.places.get(ask.chat)
        return self.loads.place(ask, places, self.max_load(ask))

    def try_now(self, waiter: Waiter) -> bool:
        """Grants a new request if there is room; whether that is decided.

        Raises:
            RequestError: It cannot be served at all.
        """
        if len(self.queue) > 0:
            return False
        choice = self.place(waiter.ask)
        if choice.upstream is None:
            return False
        if not self.be_patient(waiter, choice):
            self.grant(waiter, choice)
        return True

    def grant(self, waiter: Waiter, choice: placement.Choice) -> None:
        """Records a permit."""
        ask = waiter.ask
        upstream = choice.upstream or ''
        permit = permits.LivePermit(
            waiter.entry,
            ask.number,
            upstream,
            trio.current_time(),
            ask.customer,
            ask.chat if ask.suspect else None,
        )
        self.loads.table.add(permit)
        if ask.suspect:
            self.loads.note_suspect(upstream, ask.chat)
        self.shares.live[ask.customer] += 1
        if ask.chat:
            instance = self.loads.instance(upstream)
            use = placements.Use(ask.prompt_tokens, trio.current_time())
            place = placements.Place(upstream, instance)
            self.places.put(ask.chat, place, use)
        waiter.choice = choice
        waiter.done.set()
        GRANTS.inc({'reason': choice.reason})

    def refuse(self, waiter: Waiter, error: errors.RequestError) -> None:
        """Ends a request with an error, at once."""
        waiter.error = error
        waiter.done.set()
        REFUSALS.inc({'error': type(error).__name__})

    def add(self, waiter: Waiter) -> None:
        """Notes a request that waits."""
        self.waiting[waiter.entry, waiter.ask.number] = waiter
        self.shares.waiting[waiter.ask.customer] += 1

    def forget(self, waiter: Waiter) -> None:
        """Takes a request out that waits no more."""
        self.queue.remove(waiter)
        if waiter in self.patient:
            self.patient.remove(waiter)
        key = (waiter.entry, waiter.ask.number)
        if self.waiting.pop(key, None) is not None:
            self.shares.waiting[waiter.ask.customer] -= 1

    def waits(self, waiter: Waiter) -> bool:
        """Returns whether a request still waits."""
        return (waiter.entry, waiter.ask.number) in self.waiting

    # waiting for room where the context is

    def held_but_full(self, waiter: Waiter, choice: placement.Choice) -> bool:
        """Returns whether its context is at an upstream without room."""
        if choice.reason == placement.HELD_CHAT or not waiter.ask.chat:
            return False
        held = {place.upstream for place in self.places.get(waiter.ask.chat)}
        return any(
            upstream in held and reason in placement.MAY_PASS
            for upstream, reason in choice.passed_over
        )

    def be_patient(self, waiter: Waiter, choice: placement.Choice) -> bool:
        """Lets a request wait a moment for room where its context is.

        It waits only if that may be shorter than computing the context
        anew: another place would cost the time and the other's cache too.
        """
        if not self.held_but_full(waiter, choice):
            return False
        settings = self.settings
        cost = waiter.ask.prompt_tokens / settings.recompute
        left = waiter.deadline - waiter.since
        seconds = min(settings.patience, cost, left / 2)
        if seconds < MIN_PATIENCE_SECONDS:
            return False
        waiter.patient_until = waiter.since + seconds
        self.patient.append(waiter)
        self.add(waiter)
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
            await trio.sleep_until(
                min(waiter.patient_until for waiter in self.patient)
            )
            self.serve_patient()

    # waiting for any room

    def enqueue(self, waiter: Waiter) -> None:
        """Queues a request, or refuses it if it cannot be served in time."""
        ask = waiter.ask
        ahead = self.queue.ahead(ask.priority, ask.customer)
        mine = self.queue.count_of(ask.priority, ask.customer)
        if self.too_late(ahead, mine, waiter):
            self.refuse(waiter, self.pool_full(ahead, mine, ask.customer))
            return
        weight = self.loads.directory.weight(ask.customer)
        self.queue.push(waiter, ask.priority, ask.customer, weight)
        self.add(waiter)
        self.dispatch()
        if len(self.queue) <= self.loads.pool().max_waiting:
            return
        # the last one goes, not the newest: customers that surge fill the
        # queue, and a small customer's request would find it full
        last = self.queue.last()
        self.forget(last)
        count = self.queue.count_of(last.ask.priority, last.ask.customer)
        error = self.pool_full(len(self.queue), count, last.ask.customer)
        self.refuse(last, error)

    def estimate(self, ahead: int, mine: int, customer: int) -> float:
        """Returns the seconds that a request will wait, 0 if unknown.

        Args:
            ahead: Requests before it.
            mine: Those of them that are its customer's.
            customer: Its customer.
        """
        rates = self.loads.rates
        seconds = 0.0
        if rates.rate > 0:
            seconds = (ahead + 1) / rates.rate
        own_rate = rates.customers.get(customer, 0.0)
        if own_rate > 0 and mine > 0:
            seconds = max(seconds, (mine + 1) / own_rate)
        return seconds * ESTIMATE_MARGIN

    def too_late(self, ahead: int, mine: int, waiter: Waiter) -> bool:
        """Returns whether a request would not be served in time.

        One that is granted just before its deadline would run for nobody:
        some of the time that requests take is kept for it to run.
        """
        left = waiter.deadline - trio.current_time()
        if left <= 0:
            return True
        whole = waiter.deadline - waiter.since
        service = min(self.loads.rates.service, SERVICE_PART * whole)
        seconds = self.estimate(ahead, mine, waiter.ask.customer)
        return seconds > 0 and seconds + service > left

    def pool_full(
        self, ahead: int, mine: int, customer: int
    ) -> errors.PoolFull:
        """Returns the error for a request with so many before it."""
        seconds = self.estimate(ahead, mine, customer)
        retry_after = max(MIN_RETRY_AFTER_SECONDS, round(seconds, 1))
        return errors.PoolFull(
            f'{len(self.queue)} requests wait for the pool', retry_after
        )

    def dispatch(self) -> None:
        """Grants to those that wait, in their order, what is free now."""
        self.serve_patient()
        blocked: set[tuple[int | None, int, bool]] = set()
        tries = 0
        for waiter in list(self.queue):
            if not self.waits(waiter):
                continue
            ask = waiter.ask
            kind = (ask.model, self.max_load(ask), ask.suspect)
            if kind in blocked:
                continue
            tries += 1
            if tries > TRIES:
                return
            if self.serve(waiter) == Served.NO_ROOM and not ask.avoid:
                blocked.add(kind)

    def serve(self, waiter: Waiter) -> str:
        """Grants to a waiting request if possible."""
        try:
            choice = self.place(waiter.ask)
        except errors.RequestError as exc:
            self.forget(waiter)
            self.refuse(waiter, exc)
            return Served.DECIDED
        if choice.upstream is None:
            return Served.NO_ROOM
        if self.waits_for_place(waiter, choice):
            return Served.LATER
        if choice.reason != placement.HELD_CHAT:
            waiter, choice = self.swap_for_held(waiter, choice)
        self.queue.take(waiter)
        self.forget(waiter)
        self.grant(waiter, choice)
        return Served.DECIDED

    def waits_for_place(self, waiter: Waiter, choice: placement.Choice) -> bool:
        """Returns whether a request lets this room go to the next.

        In a full pool the room is hardly ever where its context is; served
        there, its context is computed anew and the pool stays full by that.
        """
        if waiter.ask.priority == requests.Priority.INSTANT:
            return False
        # who is below its fair share has not filled the pool
        over = self.shares.over(waiter.ask.customer, self.loads.slots())
        settings = self.settings
        patience = settings.full_patience if over else settings.patience
        until = waiter.since + patience
        if trio.current_time() >= until:
            return False
        return self.held_but_full(waiter, choice)

    def swap_for_held(
        self, waiter: Waiter, choice: placement.Choice
    ) -> tuple[Waiter, placement.Choice]:
        """Returns who takes the turn of a customer, and where.

        The turn goes to the first of the customer's requests whose context
        is where the room is; the other takes that one's place, a limited
        number of times. The order between customers stays as it is.
        """
        if waiter.passed >= MAX_PASSED:
            return waiter, choice
        for other in self.queue.others_of(waiter, LOOK_AHEAD):
            places = self.places.get(other.ask.chat)
            if not places or places[0].upstream != choice.upstream:
                continue
            found = self.place(other.ask)
            if found.reason == placement.HELD_CHAT:
                self.queue.swap(waiter, other)
                waiter.passed += 1
                return other, found
        return waiter, choice

    def expire(self) -> None:
        """Refuses what cannot be served in time, forgets who went away."""
        now = trio.current_time()
        patience = self.settings.hold + self.settings.ask_timeout
        mine: dict[tuple[int, int], int] = {}
        for ahead, waiter in enumerate(list(self.queue)):
            ask = waiter.ask
            key = (ask.priority, ask.customer)
            count = mine.get(key, 0)
            if waiter.polled < now - 2 * patience:
                self.forget(waiter)
            elif self.too_late(ahead, count, waiter):
                self.forget(waiter)
                error = self.pool_full(ahead, count, ask.customer)
                self.refuse(waiter, error)
            else:
                mine[key] = count + 1


class Served:
    """What became of a try to serve a waiting request."""

    DECIDED = 'decided'
    LATER = 'later'
    NO_ROOM = 'no room'
