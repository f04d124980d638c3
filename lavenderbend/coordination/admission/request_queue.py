"""Requests that are queued at the owner of a group."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import trio

from lavenderbend import errors
from lavenderbend.coordination import fairness
from lavenderbend.coordination import placement
from lavenderbend.coordination.admission import estimates
from lavenderbend.coordination.admission import locality_wait
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

# Queued requests tried in one dispatch; the next release tries again.
MAX_TRIES_PER_DISPATCH = 64
# requests of a customer examined for one that can take the turn of another
SWAP_LOOKAHEAD = 64
MAX_OVERTAKEN = 64

GRANTS = metrics.counter(
    'lavenderbend_permits_granted_total', 'Permits granted, by reason.'
)
REFUSALS = metrics.counter(
    'lavenderbend_permits_refused_total', 'Permits refused, by error.'
)


class ServeResult(enum.Enum):
    """Result of trying to serve a queued request."""

    DECIDED = 'decided'
    LATER = 'later'
    NO_ROOM = 'no room'


class RequestQueue:
    """Grants permits at once or in the order of the queue.

    Attributes:
        queue: Requests that wait for headroom, by priority and fair share.
        locality_wait: Requests that wait for the upstream that holds their
            context.
        waiting: Both, by entry router and number.
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
        self.estimates = estimates.WaitEstimates(group_loads.rates)
        self.queue: fairness.FairQueue[waiter_.Waiter] = fairness.FairQueue()
        self.locality_wait = locality_wait.LocalityWait(self)
        self.waiting: dict[tuple[str, int], waiter_.Waiter] = {}

    def max_load(self, request: messages_decisions.PermitRequest) -> int:
        """Returns the hard limit of an upstream for a request."""
        over = self.shares.reached(request.customer, self.loads.slots())
        return self.loads.max_load(request.priority, over)

    def place(
        self, request: messages_decisions.PermitRequest
    ) -> placement.Choice:
        """Chooses an upstream; raises as `GroupLoads.place`."""
        places: Sequence[placements.Place] = ()
        if request.chat:
            places = self.places.get(request.chat)
        return self.loads.place(request, places, self.max_load(request))

    def try_grant(self, waiter: waiter_.Waiter) -> bool:
        """Grants a new request a permit if there is headroom.

        Returns:
            Whether the request needs no place in the queue: it was granted a
            permit or is in its locality wait.

        Raises:
            RequestError: It cannot be served at all.
        """
        if len(self.queue) > 0:
            return False
        choice = self.place(waiter.request)
        if choice.upstream is None:
            return False
        if not self.locality_wait.start(waiter, choice):
            self.grant(waiter, choice)
        return True

    def grant(self, waiter: waiter_.Waiter, choice: placement.Choice) -> None:
        """Records a permit."""
        request = waiter.request
        upstream = choice.upstream or ''
        permit = permits.LivePermit(
            waiter.entry,
            request.number,
            upstream,
            trio.current_time(),
            request.customer,
            request.chat if request.suspect else None,
        )
        self.loads.table.add(permit)
        if request.suspect:
            self.loads.note_suspect(upstream, request.chat)
        self.shares.live[request.customer] += 1
        if request.chat:
            instance = self.loads.instance(upstream)
            use = placements.Use(request.prompt_tokens, trio.current_time())
            place = placements.Place(upstream, instance)
            self.places.put(request.chat, place, use)
        waiter.choice = choice
        waiter.done.set()
        GRANTS.inc({'reason': choice.reason})

    def refuse(
        self, waiter: waiter_.Waiter, error: errors.RequestError
    ) -> None:
        """Ends a request with an error."""
        waiter.error = error
        waiter.done.set()
        REFUSALS.inc({'error': type(error).__name__})

    def add(self, waiter: waiter_.Waiter) -> None:
        """Records a waiting request."""
        self.waiting[waiter.entry, waiter.request.number] = waiter
        self.shares.waiting[waiter.request.customer] += 1

    def remove(self, waiter: waiter_.Waiter) -> None:
        """Removes a request that no longer waits."""
        if self.queue.remove(waiter):
            self.estimates.note_left(waiter.request.customer)
        if waiter in self.locality_wait.waiters:
            self.locality_wait.waiters.remove(waiter)
        key = (waiter.entry, waiter.request.number)
        if self.waiting.pop(key, None) is not None:
            self.shares.waiting[waiter.request.customer] -= 1

    def is_waiting(self, waiter: waiter_.Waiter) -> bool:
        """Returns whether a request still waits."""
        return (waiter.entry, waiter.request.number) in self.waiting

    def enqueue(self, waiter: waiter_.Waiter) -> None:
        """Queues a request, or refuses it if it cannot be served in time."""
        request = waiter.request
        if len(self.queue) == 0:
            self.estimates.expect(self.loads.total()[0])
        ahead = self.queue.ahead(request.priority, request.customer)
        ahead_of_customer = self.queue.count_of(
            request.priority, request.customer
        )
        if self.estimates.too_late(ahead, ahead_of_customer, waiter):
            self.refuse(
                waiter,
                self.estimates.pool_full(
                    ahead, ahead_of_customer, request.customer
                ),
            )
            return
        weight = self.loads.directory.weight(request.customer)
        self.queue.push(waiter, request.priority, request.customer, weight)
        self.estimates.note_queued(request.customer)
        self.add(waiter)
        self.dispatch()
        if len(self.queue) <= self.loads.pool().max_waiting:
            return
        # The last request in the queue is refused, not the newest: customers
        # with a surge of requests fill the queue, and a request of a small
        # customer would always find it full.
        last = self.queue.last()
        self.remove(last)
        count = self.queue.count_of(
            last.request.priority, last.request.customer
        )
        error = self.estimates.pool_full(
            len(self.queue), count, last.request.customer
        )
        self.refuse(last, error)

    def update_rates(self) -> None:
        """Updates the rates by which waiting times are estimated."""
        if self.estimates.customer_grants:
            self.estimates.update(self.loads.total()[0])

    def dispatch(self) -> None:
        """Grants the free capacity to waiting requests, in queue order."""
        self.locality_wait.serve()
        blocked: set[tuple[int | None, int, bool]] = set()
        tries = 0
        for waiter in list(self.queue):
            if not self.is_waiting(waiter):
                continue
            request = waiter.request
            kind = (request.model, self.max_load(request), request.suspect)
            if kind in blocked:
                continue
            tries += 1
            if tries > MAX_TRIES_PER_DISPATCH:
                return
            if self.serve(waiter) is ServeResult.NO_ROOM and not request.avoid:
                blocked.add(kind)

    def serve(self, waiter: waiter_.Waiter) -> ServeResult:
        """Grants a queued request a permit if possible."""
        try:
            choice = self.place(waiter.request)
        except errors.RequestError as exc:
            self.remove(waiter)
            self.refuse(waiter, exc)
            return ServeResult.DECIDED
        if choice.upstream is None:
            return ServeResult.NO_ROOM
        if self.waits_for_context(waiter, choice):
            return ServeResult.LATER
        if choice.reason != placement.HELD_CHAT:
            waiter, choice = self.swap_for_context(waiter, choice)
        if self.queue.dequeue(waiter):
            self.estimates.note_left(waiter.request.customer, granted=True)
        self.remove(waiter)
        self.grant(waiter, choice)
        return ServeResult.DECIDED

    def waits_for_context(
        self, waiter: waiter_.Waiter, choice: placement.Choice
    ) -> bool:
        """Returns whether a request leaves this headroom to the next one.

        In a full pool the headroom is rarely at the upstream that holds the
        request's context. Served elsewhere, the context is recomputed, and
        that work keeps the pool full.
        """
        if waiter.request.priority == requests.Priority.INSTANT:
            return False
        # a customer below its fair share did not fill the pool
        over = self.shares.reached(waiter.request.customer, self.loads.slots())
        settings = self.settings
        longest = (
            settings.full_locality_wait if over else settings.locality_wait
        )
        until = waiter.arrived_at + longest
        if trio.current_time() >= until:
            return False
        return self.locality_wait.context_upstream_full(waiter, choice)

    def swap_for_context(
        self, waiter: waiter_.Waiter, choice: placement.Choice
    ) -> tuple[waiter_.Waiter, placement.Choice]:
        """Returns the request that takes a customer's turn, and its upstream.

        The turn goes to the customer's first request whose context is at the
        upstream with headroom. The two requests swap places in the queue, a
        limited number of times. The order between customers is unchanged.
        """
        if waiter.overtaken >= MAX_OVERTAKEN:
            return waiter, choice
        for other in self.queue.next_of_customer(waiter, SWAP_LOOKAHEAD):
            places = self.places.get(other.request.chat)
            if not places or places[0].upstream != choice.upstream:
                continue
            other_choice = self.place(other.request)
            if other_choice.reason == placement.HELD_CHAT:
                self.queue.swap(waiter, other)
                waiter.overtaken += 1
                return other, other_choice
        return waiter, choice

    def expire(self) -> None:
        """Refuses requests that will be late, removes those not polled."""
        now = trio.current_time()
        poll_timeout = self.settings.hold + self.settings.answer_timeout
        counts: dict[tuple[int, int], int] = {}
        for ahead, waiter in enumerate(list(self.queue)):
            request = waiter.request
            key = (request.priority, request.customer)
            count = counts.get(key, 0)
            if waiter.polled_at < now - 2 * poll_timeout:
                self.remove(waiter)
            elif self.estimates.too_late(ahead, count, waiter):
                self.remove(waiter)
                error = self.estimates.pool_full(ahead, count, request.customer)
                self.refuse(waiter, error)
            else:
                counts[key] = count + 1
