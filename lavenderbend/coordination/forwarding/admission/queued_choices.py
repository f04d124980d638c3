"""Choices of upstreams for prompts that may wait for room."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs
import trio

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
        reservations as reservations_module,
    )
    from lavenderbend.coordination.forwarding import (
        reserving_chooser as reserving_chooser_module,
    )
    from lavenderbend.coordination.forwarding import tickets
    from lavenderbend.coordination.forwarding.admission import demand as demands

WaitEnd = grants.WaitEnd

# Times that owners are asked for one choice. Owners and upstreams may fail
# while the request waits.
MAX_ROUNDS = 4
# Owners that are asked in one round to let the request wait.
MAX_WAITS_ASKED = 3
# Further owners that are asked before a request is refused: those of the least
# loaded upstreams, which may have room.
MAX_LEAST_LOADED_ASKED = 3
# A new stream waits for the version drawn for it only if it is expected to
# begin within this time; another version may have room.
DRAWN_WAIT_SECONDS = 0.25


@attrs.define
class QueuedRequest:
    """A request with a prompt, and what is known of its upstreams.

    Attributes:
        ticket: The request.
        prompt: Its prompt, as sent to owners.
        demand: What it needs.
        choice: The choice by what this router knows.
        closed: Cold upstreams that may not be sent the request now.
        selection: Which upstreams of the service it may be sent to.
        drawn: Whether the selection is the version drawn for a new stream, so
            that the other versions are tried next.
        offers: Offers of this round.
        silent: Upstreams whose owners did not reply in this round.
    """

    ticket: tickets.Ticket
    prompt: reservations_module.PromptSummary
    demand: demands.Demand
    choice: choice_module.Choice
    closed: Collection[str]
    selection: directory.Selection
    drawn: bool
    offers: list[offering.Offer] = attrs.field(factory=list)
    silent: list[str] = attrs.field(factory=list)

    @property
    def bound(self) -> int:
        """Requests that an upstream may hold."""
        return self.choice.allowed

    @property
    def longest_wait(self) -> float:
        """Seconds within which a request that waits has to begin."""
        drawn_limit = DRAWN_WAIT_SECONDS if self.drawn else math.inf
        return min(self.ticket.seconds_left, drawn_limit)

    def replace(
        self,
        offer: offering.Offer,
        reservation: reservations_module.Reservation,
    ) -> offering.Offer:
        """Replaces an offer by a later answer of its owner; returns that."""
        load = max(reservation.load, offer.load)
        if reservation.granted:
            load = reservation.load
        new = attrs.evolve(offer, reservation=reservation, load=load)
        self.offers[self.offers.index(offer)] = new
        return new


class QueuedChoices:
    """Chooses upstreams for prompts, which wait where none has room.

    Attributes:
        placing: Asks owners and makes choices.
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
        """Chooses an upstream and reserves it there.

        Args:
            ticket: The request.
            choice: The choice by what this router knows.
            closed: Cold upstreams that may not be sent the request now.
            selection: Which upstreams of the service it may be sent to.

        Raises:
            BeginsTooLate: No upstream could begin it before its deadline.
        """
        prompt = offering.make_prompt(ticket.prompt.parts, ticket.prompt.chat)
        request = QueuedRequest(
            ticket,
            prompt,
            requirements.of_ticket(ticket, prompt),
            choice,
            closed,
            selection,
            selection != ticket.selection,
        )
        for _ in range(MAX_ROUNDS):
            chosen = await self.run_round(request)
            if chosen is not None:
                return chosen
        return self.choose_unreserved(request)

    async def run_round(
        self, request: QueuedRequest
    ) -> choice_module.Choice | None:
        """Asks owners once; returns the choice, None to ask them again.

        Raises:
            BeginsTooLate: No upstream could begin the request in time.
        """
        request.offers, request.silent = await self.placing.ask(
            request.ticket,
            request.prompt,
            request.bound,
            request.closed,
            request.selection,
            request.demand,
        )
        try:
            return await self.settle(request)
        except trio.Cancelled:
            self.placing.release(request.offers, None)
            raise

    async def settle(
        self, request: QueuedRequest
    ) -> choice_module.Choice | None:
        """Takes an offer or waits; returns None to ask owners again.

        Raises:
            BeginsTooLate: No upstream could begin the request in time.
        """
        if self.seems_too_late(request):
            await self.ask_least_loaded(request)
        self.check_in_time(request)
        remaining = self.remaining(request)
        chosen = offering.soonest(
            remaining, request.prompt, request.bound, request.longest_wait
        )
        if chosen is None:
            return self.choose_unreserved(request)
        if chosen.granted:
            return self.take(request, chosen)
        if not self.waits.may_wait(request.ticket):
            return self.take_granted(request)
        others = [
            offer
            for offer in remaining
            if offer is not chosen
            and offering.is_waitable(
                offer, request.prompt, request.longest_wait
            )
        ]
        others.sort(key=lambda offer: offer.expected_seconds(request.prompt))
        return await self.wait_at_one(
            request, [chosen, *others][:MAX_WAITS_ASKED]
        )

    async def wait_at_one(
        self, request: QueuedRequest, waitable: Sequence[offering.Offer]
    ) -> choice_module.Choice | None:
        """Waits at the first upstream whose owner lets the request wait.

        Raises:
            BeginsTooLate: No upstream could begin the request in time.
        """
        for offer in waitable:
            upstream = self.placing.chooser.directory.find(
                offer.reservation.instance
            )
            if upstream is None:
                continue
            result = await self.waits.wait(
                waits_module.WaitRequest(
                    self.placing.reservations,
                    request.ticket,
                    upstream,
                    request.prompt,
                    lambda: self.update_bound(request),
                    request.demand,
                    lambda name=upstream.instance: self.placing.is_usable(
                        request.ticket, name, request.selection
                    ),
                ),
                lambda: self.release_granted(request),
            )
            if result.waited:
                return self.after_wait(request, offer, result)
            if result.reservation is None:
                continue
            new = request.replace(offer, result.reservation)
            if new.granted:
                return self.take_fresh(request, new)
        self.check_in_time(request)
        return self.take_granted(request)

    def after_wait(
        self,
        request: QueuedRequest,
        offer: offering.Offer,
        result: waits_module.WaitResult,
    ) -> choice_module.Choice | None:
        """Returns the choice after a wait, None to ask owners again.

        Raises:
            BeginsTooLate: The deadline is too close.
        """
        new = request.replace(offer, result.reservation)
        if result.end is WaitEnd.GRANTED:
            return self.take_fresh(request, new)
        if result.end is not WaitEnd.TIMED_OUT:
            return None
        left = request.ticket.seconds_left
        if left <= 2 * waits_module.DEADLINE_MARGIN_SECONDS:
            self.refuse(request)
        return self.choose_unreserved(request)

    def update_bound(self, request: QueuedRequest) -> int:
        """Returns how many requests an upstream may hold now."""
        chooser = self.placing.chooser
        service = request.ticket.service
        candidates = chooser.directory.candidates(service, request.selection)
        sample = chooser.bound_sample(service, request.selection, candidates)
        if sample:
            bound = chooser.load_bound(sample)
            request.choice = attrs.evolve(request.choice, allowed=bound)
        return request.bound

    def release_granted(self, request: QueuedRequest) -> None:
        """Releases and drops the granted offers, as the request waits."""
        self.placing.release(request.offers, None)
        request.offers = [one for one in request.offers if not one.granted]

    def take_fresh(
        self, request: QueuedRequest, offer: offering.Offer
    ) -> choice_module.Choice | None:
        """Takes a new grant if the upstream still may have the request."""
        name = offer.reservation.instance
        load = self.placing.chooser.loads.load(name)
        if load < self.update_bound(request) and self.placing.is_usable(
            request.ticket, name, request.selection
        ):
            return self.take(request, offer)
        self.placing.release(request.offers, None)
        return None

    def take_granted(self, request: QueuedRequest) -> choice_module.Choice:
        """Takes the best of the granted offers, if there is any."""
        granted = [offer for offer in self.remaining(request) if offer.granted]
        chosen = offering.soonest(
            granted, request.prompt, request.bound, request.longest_wait
        )
        if chosen is None:
            return self.choose_unreserved(request)
        return self.take(request, chosen)

    def take(
        self, request: QueuedRequest, chosen: offering.Offer
    ) -> choice_module.Choice:
        """Returns the choice of a granted offer and releases the others."""
        self.placing.release(request.offers, chosen)
        return self.placing.take(
            request.ticket,
            request.prompt,
            request.selection,
            request.offers,
            chosen,
            request.bound,
            request.silent,
            offering.is_urgent(chosen, request.prompt),
        )

    def remaining(self, request: QueuedRequest) -> list[offering.Offer]:
        """Returns the offers of upstreams that may still be used."""
        upstreams = self.placing.chooser.directory.candidates(
            request.ticket.service, request.selection
        ).by_name
        return [
            offer
            for offer in request.offers
            if offer.reservation.instance in upstreams
        ]

    def choose_unreserved(self, request: QueuedRequest) -> choice_module.Choice:
        """Chooses by what this router knows, or lets other versions be tried.

        Upstreams that hold as many requests as they may are left out while
        others are usable.
        """
        self.placing.release(request.offers, None)
        if request.drawn:
            return attrs.evolve(request.choice, upstream=None)
        over_bound = [
            offer
            for offer in self.remaining(request)
            if offer.load >= request.bound
        ]
        return self.placing.choose_unreserved(
            request.ticket, over_bound, request.closed, request.selection
        )

    def seems_too_late(self, request: QueuedRequest) -> bool:
        """Returns whether a request cannot begin in time by its offers."""
        if request.drawn or request.silent:
            return False
        if not refusals.may_refuse(request.ticket):
            return False
        return offering.begin_too_late(
            self.remaining(request),
            request.prompt,
            request.ticket.seconds_left,
        )

    def check_in_time(self, request: QueuedRequest) -> None:
        """Refuses a request that no upstream could begin in time.

        Raises:
            BeginsTooLate: None could.
        """
        if not self.seems_too_late(request):
            return
        if not self.least_loaded(request, 0):
            self.refuse(request)

    def refuse(self, request: QueuedRequest) -> None:
        """Refuses a request, unless a refusal would not be true.

        Raises:
            BeginsTooLate: The request was sent to no upstream.
        """
        if request.drawn or not refusals.may_refuse(request.ticket):
            return
        first = min(
            request.offers,
            key=lambda offer: offer.expected_seconds(request.prompt),
        )
        self.placing.release(request.offers, None)
        raise refusals.refusal(
            request.ticket,
            first.reservation,
            offering.shortage_name(first.reservation.shortage),
            first.expected_seconds(request.prompt),
            self.placing.rng,
        )

    async def ask_least_loaded(self, request: QueuedRequest) -> None:
        """Asks the owners of the upstreams that may have room after all."""
        names = self.least_loaded(request, request.bound - 1)
        for name in names[:MAX_LEAST_LOADED_ASKED]:
            upstream = self.placing.chooser.directory.find(name)
            if upstream is None:
                continue
            offer = await self.placing.ask_one(
                request.ticket,
                upstream,
                request.prompt,
                request.bound,
                request.demand,
                request.offers,
            )
            if offer is None:
                request.silent.append(name)
                return
            request.offers.append(offer)
            if not offering.begins_too_late(
                offer, request.prompt, request.ticket.seconds_left
            ):
                return

    def least_loaded(self, request: QueuedRequest, max_load: int) -> list[str]:
        """Returns upstreams that were not asked, the least loaded first.

        In a large service only a sample of the upstreams is examined.

        Args:
            request: The request.
            max_load: Most requests that they hold, as far as this router
                knows.
        """
        chooser = self.placing.chooser
        usable = chooser.usable(
            request.ticket.service,
            request.ticket.prompt,
            request.ticket.tried,
            request.selection,
            request.closed,
        )
        asked = {offer.reservation.instance for offer in request.offers}
        asked.update(request.silent)
        loads = {
            name: chooser.loads.load(name)
            for name in usable.candidates.rendezvous.sample
            if name not in asked and usable.has(name)
        }
        return sorted(
            (name for name, load in loads.items() if load <= max_load),
            key=loads.__getitem__,
        )
