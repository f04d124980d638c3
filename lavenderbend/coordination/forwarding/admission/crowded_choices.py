"""Choices of crowded upstreams for requests without a prompt."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend.coordination.forwarding import (
    reservations as reservations_module,
)
from lavenderbend.coordination.forwarding.admission import crowding
from lavenderbend.coordination.forwarding.admission import grants
from lavenderbend.coordination.forwarding.admission import offers as offering
from lavenderbend.coordination.forwarding.admission import refusals
from lavenderbend.coordination.forwarding.admission import requirements
from lavenderbend.coordination.forwarding.admission import waits as waits_module

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Sequence

    from lavenderbend.coordination.forwarding import choice as choice_module
    from lavenderbend.coordination.forwarding import directory
    from lavenderbend.coordination.forwarding import (
        reserving_chooser as reserving_chooser_module,
    )
    from lavenderbend.coordination.forwarding import tickets
    from lavenderbend.coordination.forwarding.admission import demand as demands
    from lavenderbend.state import forwarding

WaitEnd = grants.WaitEnd

# Part of the time until its target for which a request waits at most. The rest
# is for its run, and for those before it in the upstream's own queue.
WAIT_TARGET_FRACTION = 0.5
# Owners of the least loaded upstreams that are asked for an offer.
MAX_OWNERS_ASKED = 3
# Times that owners are asked for one choice.
MAX_ROUNDS = 4


@attrs.frozen
class CrowdedOffer:
    """A crowded upstream whose owner declined a request for now.

    Attributes:
        choice: The choice of the upstream.
        offer: The owner's answer.
    """

    choice: choice_module.Choice
    offer: offering.Offer


@attrs.define
class CrowdedRequest:
    """A request without a prompt whose best upstream is crowded.

    Attributes:
        ticket: The request.
        demand: What it needs.
        closed: Cold upstreams that may not be sent the request now.
        selection: Which upstreams of the service it may be sent to.
        declined: Offers of this round that were declined.
    """

    ticket: tickets.Ticket
    demand: demands.Demand
    closed: Collection[str]
    selection: directory.Selection
    declined: list[CrowdedOffer] = attrs.field(factory=list)

    @property
    def offers(self) -> list[offering.Offer]:
        """The owners' answers."""
        return [one.offer for one in self.declined]

    @property
    def longest_wait(self) -> float:
        """Seconds for which it may wait and still be answered in time."""
        left = self.demand.target_at - trio.current_time()
        return max(0.0, WAIT_TARGET_FRACTION * left)


class CrowdedChoices:
    """Sends crowded upstreams only the requests that their owners grant.

    Attributes:
        placing: Makes choices and knows which upstreams are crowded.
        waits: Has requests wait.
    """

    def __init__(
        self,
        placing: reserving_chooser_module.ReservingChooser,
        waits: waits_module.Waits,
    ) -> None:
        self.placing = placing
        self.waits = waits

    async def choose(
        self,
        ticket: tickets.Ticket,
        choice: choice_module.Choice,
        closed: Collection[str],
        selection: directory.Selection,
    ) -> choice_module.Choice:
        """Chooses an upstream that has room, or waits for room.

        Args:
            ticket: The request.
            choice: The choice of a crowded upstream.
            closed: Cold upstreams that may not be sent the request now.
            selection: Which upstreams of the service it may be sent to.

        Raises:
            BeginsTooLate: None could begin it before its deadline.
        """
        request = CrowdedRequest(
            ticket,
            requirements.of_ticket(ticket, reservations_module.NO_PROMPT),
            closed,
            selection,
        )
        for _ in range(MAX_ROUNDS):
            chosen = await self.ask(request, choice)
            if chosen is None:
                chosen = await self.wait(request)
            if chosen is not None:
                return chosen
            choice = self.next_choice(request, ())
            if choice.upstream is None:
                break
        return choice

    async def ask(
        self, request: CrowdedRequest, choice: choice_module.Choice
    ) -> choice_module.Choice | None:
        """Returns the first upstream that is granted or needs no grant.

        Returns:
            The choice, None if the owners decline the request for now.
        """
        request.declined = []
        asked: set[str] = set()
        while choice.upstream is not None and len(asked) < MAX_OWNERS_ASKED:
            upstream = choice.upstream
            if upstream.instance in asked:
                break
            if not self.placing.needs_grant(upstream):
                return choice
            asked.add(upstream.instance)
            reservation = await self.placing.reservations.reserve(
                upstream,
                reservations_module.NO_PROMPT,
                request.ticket.seconds_left,
                crowding.max_load(upstream.slots),
                request.demand,
            )
            if not self.is_usable(request, upstream):
                if reservation is not None:
                    self.placing.reservations.release(reservation)
                return None
            if reservation is None:
                return choice
            if reservation.granted:
                return self.take(request, choice, reservation)
            offer = offering.Offer(reservation, reservation.load, False, False)
            request.declined.append(CrowdedOffer(choice, offer))
            choice = self.next_choice(request, asked)
        return None

    def next_choice(
        self, request: CrowdedRequest, asked: Collection[str]
    ) -> choice_module.Choice:
        """Returns the best upstream by load, those asked left out."""
        ticket = request.ticket
        return self.placing.chooser.choose(
            ticket.service,
            ticket.prompt,
            {*ticket.tried, *asked},
            ticket.id,
            request.selection,
            request.closed,
        )

    async def wait(
        self, request: CrowdedRequest
    ) -> choice_module.Choice | None:
        """Waits where the request is expected to begin first.

        Returns:
            The choice, None to ask the owners again.

        Raises:
            BeginsTooLate: No upstream could begin the request in time.
        """
        self.check_in_time(request)
        if not self.may_wait(request):
            return self.give_up(request)
        left = request.ticket.seconds_left
        no_prompt = reservations_module.NO_PROMPT
        waitable = [
            one
            for one in request.declined
            if offering.is_waitable(one.offer, no_prompt, left)
        ]
        waitable.sort(key=lambda one: one.offer.expected_seconds(no_prompt))
        for one in waitable:
            result = await self.waits.wait(
                self.wait_request(request, one.choice.upstream), do_nothing
            )
            if not self.is_usable(request, one.choice.upstream):
                if result.reservation is not None:
                    self.placing.reservations.release(result.reservation)
                return None
            if result.end is WaitEnd.GRANTED:
                return self.take(request, one.choice, result.reservation)
            if result.end is WaitEnd.SILENT and not result.waited:
                return one.choice
            if result.waited:
                return self.after_wait(request, result)
            self.replace(request, one, result.reservation)
        return self.give_up(request)

    def may_wait(self, request: CrowdedRequest) -> bool:
        """Returns whether a request may wait for some time.

        A caller that is refused has most of its time left for another try,
        and the slots go to requests that can still be answered in time.
        """
        if request.longest_wait < waits_module.MIN_WAIT_SECONDS:
            return False
        return self.waits.may_wait(request.ticket)

    def is_usable(
        self, request: CrowdedRequest, upstream: forwarding.Upstream
    ) -> bool:
        """Returns whether an upstream may still have the request."""
        return self.placing.is_usable(
            request.ticket, upstream.instance, request.selection
        )

    def wait_request(
        self, request: CrowdedRequest, upstream: forwarding.Upstream
    ) -> waits_module.WaitRequest:
        """Returns the request for room at an upstream."""
        return waits_module.WaitRequest(
            self.placing.reservations,
            request.ticket,
            upstream,
            reservations_module.NO_PROMPT,
            lambda: crowding.max_load(upstream.slots),
            request.demand,
            lambda: self.is_usable(request, upstream),
            request.longest_wait,
        )

    def replace(
        self,
        request: CrowdedRequest,
        previous: CrowdedOffer,
        reservation: reservations_module.Reservation,
    ) -> None:
        """Replaces an offer by a later answer of its owner."""
        offer = offering.Offer(reservation, reservation.load, False, False)
        index = request.declined.index(previous)
        request.declined[index] = CrowdedOffer(previous.choice, offer)

    def after_wait(
        self, request: CrowdedRequest, result: waits_module.WaitResult
    ) -> choice_module.Choice | None:
        """Returns the choice after a wait without a grant, None to ask again.

        Raises:
            BeginsTooLate: No upstream has room.
        """
        if result.end is not WaitEnd.TIMED_OUT:
            return None
        return self.give_up(request)

    def give_up(self, request: CrowdedRequest) -> choice_module.Choice:
        """Refuses a request, or chooses by what this router knows.

        Raises:
            BeginsTooLate: The owners of all upstreams declined the request.
        """
        if self.all_declined(request):
            self.refuse(request)
        return self.choose_unreserved(request)

    def all_declined(self, request: CrowdedRequest) -> bool:
        """Returns whether no upstream is left that may have room."""
        declined = {offer.reservation.instance for offer in request.offers}
        usable = self.placing.chooser.usable(
            request.ticket.service,
            request.ticket.prompt,
            {*request.ticket.tried, *declined},
            request.selection,
            request.closed,
        )
        return usable.next(declined) is None

    def choose_unreserved(
        self, request: CrowdedRequest
    ) -> choice_module.Choice:
        """Chooses by what this router knows."""
        return self.next_choice(request, ())

    def check_in_time(self, request: CrowdedRequest) -> None:
        """Refuses a request that no upstream could begin in time.

        Raises:
            BeginsTooLate: None could.
        """
        too_late = offering.begin_too_late(
            request.offers,
            reservations_module.NO_PROMPT,
            request.ticket.seconds_left,
        )
        if too_late and self.all_declined(request):
            self.refuse(request)

    def refuse(self, request: CrowdedRequest) -> None:
        """Refuses a request, unless a refusal would not be true.

        Raises:
            BeginsTooLate: The request was sent to no upstream.
        """
        ticket = request.ticket
        if request.selection != ticket.selection:
            # Another version may have room.
            return
        if not refusals.may_refuse(ticket):
            return
        no_prompt = reservations_module.NO_PROMPT
        first = min(
            request.offers, key=lambda offer: offer.expected_seconds(no_prompt)
        )
        raise refusals.refusal(
            ticket,
            first.reservation,
            offering.shortage_name(first.reservation.shortage),
            first.expected_seconds(no_prompt),
            self.placing.rng,
        )

    def take(
        self,
        request: CrowdedRequest,
        choice: choice_module.Choice,
        reservation: reservations_module.Reservation,
    ) -> choice_module.Choice:
        """Returns the choice of an upstream whose owner counts the request."""
        request.ticket.reservation = reservations_module.ActiveReservation(
            self.placing.reservations,
            reservation,
            reservation,
            reservations_module.NO_PROMPT.chat,
            (),
        )
        declined: Sequence[CrowdedOffer] = request.declined
        passed_over = tuple(
            offering.passed_over(one.offer)
            for one in declined
            if one.choice is not choice
        )
        return attrs.evolve(
            choice,
            load=reservation.load,
            allowed=crowding.max_load(choice.upstream.slots),
            passed_over=(*choice.passed_over, *passed_over),
        )


def do_nothing() -> None:
    """Does nothing: no other offer is held while a request waits."""
