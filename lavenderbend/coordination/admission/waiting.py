"""Requests that wait at the owner of a group."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import trio

from lavenderbend import errors
from lavenderbend.coordination import fairness
from lavenderbend.coordination import placement
from lavenderbend.coordination.admission import estimates
from lavenderbend.coordination.admission import patience
from lavenderbend.observe import metrics
from lavenderbend.state import permits
from lavenderbend.state import placements
from lavenderbend.state import requests

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lavenderbend.coordination.admission import loads
    from lavenderbend.coordination.admission import settings as settings_
    from lavenderbend.coordination.admission import shares
    from lavenderbend.coordination.admission import waiter as waiter_
    from lavenderbend.protocol import messages_decisions

# tries of one round over those that wait; the next release goes on
TRIES = 64
LOOK_AHEAD = 64
MAX_PASSED = 64

GRANTS = metrics.counter(
    'lavenderbend_permits_granted_total', 'Permits granted, by reason.'
)
REFUSALS = metrics.counter(
    'lavenderbend_permits_refused_total', 'Permits refused, by error.'
)


class Served(enum.Enum):
    """What became of a try to serve a waiting request."""

    DECIDED = 'decided'
    LATER = 'later'
    NO_ROOM = 'no room'


class WaitingRoom:
    """Grants permits at once or in the order of the queue.

    Attributes:
        queue: Those that wait for room, by priority and fair share.
        patience: Those that wait a moment for room at their place.
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
        self.estimates = estimates.Estimates(group_loads.rates)
        self.queue: fairness.FairQueue[waiter_.Waiter] = fairness.FairQueue()
        self.patience = patience.Patience(self)
        self.waiting: dict[tuple[str, int], waiter_.Waiter] = {}

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

    def try_now(self, waiter: waiter_.Waiter) -> bool:
        """Grants a new request if there is room; whether that is decided.

        Raises:
            RequestError: It cannot be served at all.
        """
        if len(self.queue) > 0:
            return False
        choice = self.place(waiter.ask)
        if choice.upstream is None:
            return False
        if not self.patience.take(waiter, choice):
            self.grant(waiter, choice)
        return True

    def grant(self, waiter: waiter_.Waiter, choice: placement.Choice) -> None:
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

    def refuse(
        self, waiter: waiter_.Waiter, error: errors.RequestError
    ) -> None:
        """Ends a request with an error, at once."""
        waiter.error = error
        waiter.done.set()
        REFUSALS.inc({'error': type(error).__name__})

    def add(self, waiter: waiter_.Waiter) -> None:
        """Notes a request that waits."""
        self.waiting[waiter.entry, waiter.ask.number] = waiter
        self.shares.waiting[waiter.ask.customer] += 1

    def forget(self, waiter: waiter_.Waiter) -> None:
        """Takes a request out that waits no more."""
        self.queue.remove(waiter)
        if waiter in self.patience.waiters:
            self.patience.waiters.remove(waiter)
        key = (waiter.entry, waiter.ask.number)
        if self.waiting.pop(key, None) is not None:
            self.shares.waiting[waiter.ask.customer] -= 1

    def waits(self, waiter: waiter_.Waiter) -> bool:
        """Returns whether a request still waits."""
        return (waiter.entry, waiter.ask.number) in self.waiting

    def enqueue(self, waiter: waiter_.Waiter) -> None:
        """Queues a request, or refuses it if it cannot be served in time."""
        ask = waiter.ask
        ahead = self.queue.ahead(ask.priority, ask.customer)
        mine = self.queue.count_of(ask.priority, ask.customer)
        if self.estimates.too_late(ahead, mine, waiter):
            self.refuse(
                waiter, self.estimates.pool_full(ahead, mine, ask.customer)
            )
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
        error = self.estimates.pool_full(
            len(self.queue), count, last.ask.customer
        )
        self.refuse(last, error)

    def dispatch(self) -> None:
        """Grants to those that wait, in their order, what is free now."""
        self.patience.serve()
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
            if self.serve(waiter) is Served.NO_ROOM and not ask.avoid:
                blocked.add(kind)

    def serve(self, waiter: waiter_.Waiter) -> Served:
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

    def waits_for_place(
        self, waiter: waiter_.Waiter, choice: placement.Choice
    ) -> bool:
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
        return self.patience.held_but_full(waiter, choice)

    def swap_for_held(
        self, waiter: waiter_.Waiter, choice: placement.Choice
    ) -> tuple[waiter_.Waiter, placement.Choice]:
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
            elif self.estimates.too_late(ahead, count, waiter):
                self.forget(waiter)
                error = self.estimates.pool_full(ahead, count, ask.customer)
                self.refuse(waiter, error)
            else:
                mine[key] = count + 1
