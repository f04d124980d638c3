"""Selection of upstreams for prompts, with reservations at their owners.

In a fleet of many routers this handles the load of many prompts that no
upstream has cached yet, as at the beginning of a day, in a burst or after
engines died. If prompts are placed by hashing alone, they queue at some
upstreams while others have nothing to process.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend.coordination.forwarding import choice as choice_module
from lavenderbend.coordination.forwarding import directory
from lavenderbend.coordination.forwarding import (
    reservations as reservations_module,
)
from lavenderbend.coordination.forwarding.admission import crowded_choices
from lavenderbend.coordination.forwarding.admission import (
    offers as offers_module,
)
from lavenderbend.coordination.forwarding.admission import queued_choices
from lavenderbend.coordination.forwarding.admission import waits
from lavenderbend.state import decisions

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from lavenderbend.coordination.forwarding import tickets
    from lavenderbend.coordination.forwarding.admission import crowding
    from lavenderbend.coordination.forwarding.admission import demand as demands
    from lavenderbend.coordination.forwarding.warm_up import cold_starts
    from lavenderbend.state import forwarding

# Up to this many routers learn of each other's requests soon enough without
# asking owners.
SMALL_FLEET_ROUTERS = 12
# Owners that do not reply, after which no other is asked: each may delay the
# request by `owner_calls.REPLY_TIMEOUT_SECONDS` or more.
MAX_SILENT_OWNERS = 2

# Owners of cold upstreams that are asked for a permit before all cold upstreams
# are passed over.
MAX_PERMITS_ASKED = 2
# A request waits this long for a permit if no warm upstream accepts it: several
# come free within that time.
MAX_PERMIT_WAIT_SECONDS = 0.3
PERMIT_RETRY_SECONDS = 0.03

LESS_UNREAD = offers_module.LESS_UNREAD
MORE_UNREAD = offers_module.MORE_UNREAD


class ReservingChooser:
    """Chooses upstreams, in large fleets by the answers of their owners.

    Attributes:
        chooser: Chooses by what this router knows.
        reservations: Reserves at owners.
        instances: Instances of upstreams by short id.
        fleet_size: Returns the number of routers.
        cold_starts: Limits the requests to cold upstreams, None for no limit.
        crowding: Knows which upstreams are crowded, None if none may be.
        rng: Spreads the retries of callers that are refused.
        waits: Has requests wait for room.
        queued: Chooses for prompts that may wait.
        crowded: Chooses for requests without a prompt at crowded upstreams.
    """

    def __init__(
        self,
        chooser: choice_module.Chooser,
        reservations: reservations_module.Reservations,
        instances: Mapping[int, str],
        fleet_size: Callable[[], int],
    ) -> None:
        self.chooser = chooser
        self.reservations = reservations
        self.instances = instances
        self.fleet_size = fleet_size
        self.cold_starts: cold_starts.ColdStarts | None = None
        self.crowding: crowding.Crowding | None = None
        self.rng = random.Random()  # noqa: S311 - jitter only
        self.waits = waits.Waits()
        self.queued = queued_choices.QueuedChoices(self, self.waits)
        self.crowded = crowded_choices.CrowdedChoices(self, self.waits)

    def queues(self) -> bool:
        """Returns whether requests may wait for room at owners."""
        return (
            self.waits.queue_seconds > 0.0
            and self.fleet_size() > SMALL_FLEET_ROUTERS
        )

    def note_pace(
        self,
        upstream: forwarding.Upstream,
        reservation: reservations_module.Reservation | None,
        percent: int,
    ) -> None:
        """Notifies the owner of an upstream how long work takes there.

        Args:
            upstream: The upstream.
            reservation: The reservation of a request there, None without one.
            percent: The time, in percent of the usual time.
        """
        if self.queues():
            self.reservations.note_pace(upstream, reservation, percent)

    async def choose(self, ticket: tickets.Ticket) -> choice_module.Choice:
        """Chooses the next upstream of a request and reserves it there.

        A cold upstream is chosen only with its owner's permit. Where no other
        upstream accepts requests, the request waits briefly for one, as it
        does for room at an upstream with a rejection limit.
        """
        ticket.permitted_until = None
        refused_at = trio.current_time() + MAX_PERMIT_WAIT_SECONDS
        closed: set[str] = set()
        while True:
            choice = await self.choose_open(ticket, closed)
            if choice.upstream is None:
                waits = closed or choice.full
                if not waits or trio.current_time() >= refused_at:
                    return choice
                await trio.sleep(PERMIT_RETRY_SECONDS)
                closed.clear()
                continue
            if await self.may_start_or_release(ticket, choice.upstream):
                return choice
            if ticket.reservation is not None:
                ticket.reservation.note_ended()
            closed.add(choice.upstream.instance)
            if self.cold_starts and len(closed) >= MAX_PERMITS_ASKED:
                closed |= self.cold_starts.coldness.cold()

    async def may_start_or_release(
        self, ticket: tickets.Ticket, upstream: forwarding.Upstream
    ) -> bool:
        """Returns `may_start`; releases the reservation if cancelled."""
        try:
            return await self.may_start(ticket, upstream)
        except trio.Cancelled:
            if ticket.reservation is not None:
                ticket.reservation.note_ended()
            raise

    async def may_start(
        self, ticket: tickets.Ticket, upstream: forwarding.Upstream
    ) -> bool:
        """Returns whether an upstream may be sent the request now."""
        if not await self.has_slot(ticket, upstream):
            return False
        if self.cold_starts is None:
            return True
        if not self.cold_starts.coldness.is_cold(upstream.instance):
            return True
        ticket.permitted_until = await self.cold_starts.permit(upstream)
        return ticket.permitted_until is not None

    async def has_slot(
        self, ticket: tickets.Ticket, upstream: forwarding.Upstream
    ) -> bool:
        """Returns whether an upstream has a free slot, if it needs one."""
        limits = self.chooser.rejection_limits
        slots = 0 if limits is None else limits.slots_to_ask(upstream)
        if not slots:
            return True
        if ticket.reservation is not None:
            load = ticket.reservation.reservation.load
        else:
            load = await self.reserve_slot(ticket, upstream, slots)
        if load is None:
            return limits.seems_free(upstream)
        if load >= slots:
            limits.note_refused(upstream.instance)
        return load < slots

    async def reserve_slot(
        self, ticket: tickets.Ticket, upstream: forwarding.Upstream, slots: int
    ) -> int | None:
        """Has a request without a prompt counted by an upstream's owner.

        Returns:
            The load of the upstream without it, None if the owner does not
            reply.
        """
        reservation = await self.reservations.reserve(
            upstream, reservations_module.NO_PROMPT, ticket.seconds_left, slots
        )
        if reservation is None:
            return None
        if reservation.load < slots:
            ticket.reservation = reservations_module.ActiveReservation(
                self.reservations,
                reservation,
                reservation,
                reservations_module.NO_PROMPT.chat,
                (),
            )
        return reservation.load

    async def choose_open(
        self, ticket: tickets.Ticket, closed: Collection[str]
    ) -> choice_module.Choice:
        """Chooses an upstream that is not closed and reserves it there.

        A new stream begins at the version drawn for it, if that has room.

        Args:
            ticket: The request.
            closed: Cold upstreams that may not be sent the request now.
        """
        drawn = ticket.drawn_software_id
        if drawn is None or ticket.software_id is not None:
            return await self.choose_among(ticket, closed, ticket.selection)
        selection = directory.Selection(ticket.regions, drawn)
        choice = await self.choose_among(ticket, closed, selection)
        if has_room(choice, ticket.tried):
            return choice
        if ticket.reservation is not None:
            ticket.reservation.note_ended()
        return await self.choose_among(ticket, closed, ticket.selection)

    async def choose_among(
        self,
        ticket: tickets.Ticket,
        closed: Collection[str],
        selection: directory.Selection,
    ) -> choice_module.Choice:
        """Chooses an upstream of a selection and reserves it there.

        Args:
            ticket: The request.
            closed: Cold upstreams that may not be sent the request now.
            selection: Which upstreams of the service it may be sent to.
        """
        choice = self.chooser.choose(
            ticket.service,
            ticket.prompt,
            ticket.tried,
            ticket.id,
            selection,
            closed,
        )
        ticket.reservation = None
        if choice.upstream is None:
            return choice
        if not ticket.prompt.parts:
            if not self.needs_grant(choice.upstream):
                return choice
            return await self.crowded.choose(ticket, choice, closed, selection)
        if self.fleet_size() <= SMALL_FLEET_ROUTERS:
            return choice
        if self.queues():
            return await self.queued.choose(ticket, choice, closed, selection)
        return await self.choose_offer(ticket, choice, closed, selection)

    def needs_grant(self, upstream: forwarding.Upstream) -> bool:
        """Returns whether an upstream gets requests only if they are granted.

        One with a rejection limit has stricter rules of its own.
        """
        if self.crowding is None or not self.queues():
            return False
        if not self.crowding.is_crowded(upstream.instance):
            return False
        return not self.has_rejection_limit(upstream)

    def has_rejection_limit(self, upstream: forwarding.Upstream) -> bool:
        """Returns whether an upstream has a rejection limit."""
        limits = self.chooser.rejection_limits
        return limits is not None and (
            limits.current(upstream.instance) is not None
        )

    def is_usable(
        self,
        ticket: tickets.Ticket,
        instance: str,
        selection: directory.Selection,
    ) -> bool:
        """Returns whether a request may still be sent to an upstream."""
        candidates = self.chooser.directory.candidates(
            ticket.service, selection
        )
        health = self.chooser.health
        return (
            instance in candidates.by_name
            and not health.is_paused(instance)
            and not health.is_avoided(instance)
        )

    async def choose_offer(
        self,
        ticket: tickets.Ticket,
        choice: choice_module.Choice,
        closed: Collection[str],
        selection: directory.Selection,
    ) -> choice_module.Choice:
        """Chooses the best offer of owners, none of which makes it wait.

        Args:
            ticket: The request.
            choice: The choice by what this router knows.
            closed: Cold upstreams that may not be sent the request now.
            selection: Which upstreams of the service it may be sent to.
        """
        prompt = offers_module.make_prompt(
            ticket.prompt.parts, ticket.prompt.chat
        )
        offers, silent = await self.ask(
            ticket, prompt, choice.allowed, closed, selection
        )
        # Upstreams may have come or gone while owners were asked.
        upstreams = self.chooser.directory.candidates(
            ticket.service, selection
        ).by_name
        remaining = [
            offer for offer in offers if offer.reservation.instance in upstreams
        ]
        chosen = offers_module.best(remaining, prompt, choice.allowed)
        self.release(offers, chosen)
        if chosen is None:
            return self.choose_unreserved(ticket, remaining, closed, selection)
        return self.take(
            ticket, prompt, selection, offers, chosen, choice.allowed, silent
        )

    def take(
        self,
        ticket: tickets.Ticket,
        prompt: reservations_module.PromptSummary,
        selection: directory.Selection,
        offers: Sequence[offers_module.Offer],
        chosen: offers_module.Offer,
        bound: int,
        silent: Sequence[str],
        urgent: bool = False,
    ) -> choice_module.Choice:
        """Returns the choice of an offer, which the request uses from now on.

        Args:
            ticket: The request.
            prompt: Its prompt.
            selection: Which upstreams of the service it may be sent to.
            offers: All offers, in the order in which owners were asked.
            chosen: The offer that is used; its upstream is a candidate.
            bound: Requests that an upstream may hold.
            silent: Upstreams whose owners did not reply.
            urgent: Whether the owner is notified at once.
        """
        upstreams = self.chooser.directory.candidates(
            ticket.service, selection
        ).by_name
        preferred = offers[0].reservation
        ticket.reservation = reservations_module.ActiveReservation(
            self.reservations,
            chosen.reservation,
            preferred,
            prompt.chat,
            self.names(preferred.holders),
            urgent,
        )
        upstream = upstreams[chosen.reservation.instance]
        return offers_module.make_choice(
            upstream, offers, chosen, bound, silent
        )

    def choose_unreserved(
        self,
        ticket: tickets.Ticket,
        over_bound: Sequence[offers_module.Offer],
        closed: Collection[str],
        selection: directory.Selection,
    ) -> choice_module.Choice:
        """Chooses by what this router knows, without a reservation.

        Args:
            ticket: The request.
            over_bound: Offers over the bound. Their upstreams are left out
                while others are usable.
            closed: Cold upstreams that may not be sent the request now.
            selection: Which upstreams of the service it may be sent to.
        """
        refused = {offer.reservation.instance for offer in over_bound}
        usable = self.chooser.usable(
            ticket.service,
            ticket.prompt,
            ticket.tried,
            selection,
            closed,
        )
        if usable.next(refused) is None:
            refused = set()
        choice = self.chooser.choose(
            ticket.service,
            ticket.prompt,
            {*ticket.tried, *refused},
            ticket.id,
            selection,
            closed,
        )
        passed_over = tuple(
            decisions.PassedOver(one.upstream, choice_module.OVER_BOUND)
            if one.upstream in refused
            else one
            for one in choice.passed_over
        )
        return attrs.evolve(choice, passed_over=passed_over)

    async def ask(
        self,
        ticket: tickets.Ticket,
        prompt: reservations_module.PromptSummary,
        bound: int,
        closed: Collection[str],
        selection: directory.Selection,
        demand: demands.Demand | None = None,
    ) -> tuple[list[offers_module.Offer], list[str]]:
        """Reserves at owners in turn, until an offer is good enough.

        Args:
            ticket: The request.
            prompt: Its prompt.
            bound: Requests that an upstream may hold.
            closed: Cold upstreams that may not be sent the request now.
            selection: Which upstreams of the service it may be sent to.
            demand: What the request needs, None if owners may not decline it.

        Returns:
            The offers, and the upstreams whose owners did not reply.
        """
        usable = self.chooser.usable(
            ticket.service,
            ticket.prompt,
            ticket.tried,
            selection,
            closed,
        )
        offers: list[offers_module.Offer] = []
        silent: list[str] = []
        try:
            while (
                offers_module.needs_another_offer(offers, prompt, bound)
                and len(silent) < MAX_SILENT_OWNERS
            ):
                upstream = self.next_to_ask(usable, offers, bound, silent)
                if upstream is None:
                    break
                offer = await self.ask_one(
                    ticket, upstream, prompt, bound, demand, offers
                )
                if offer is None:
                    silent.append(upstream.instance)
                    continue
                offers.append(offer)
        except trio.Cancelled:
            self.release(offers, None)
            raise
        return offers, silent

    async def ask_one(
        self,
        ticket: tickets.Ticket,
        upstream: forwarding.Upstream,
        prompt: reservations_module.PromptSummary,
        bound: int,
        demand: demands.Demand | None,
        earlier: Sequence[offers_module.Offer],
    ) -> offers_module.Offer | None:
        """Returns the offer of an upstream's owner, None if it is silent.

        Args:
            ticket: The request.
            upstream: The upstream.
            prompt: The prompt of the request.
            bound: Requests that the upstream may hold.
            demand: What the request needs, None if owners may not decline it.
            earlier: Offers by other owners.
        """
        if demand is not None and self.has_rejection_limit(upstream):
            demand = None
        reservation = await self.reservations.reserve(
            upstream,
            prompt,
            ticket.seconds_left,
            0 if demand is None else bound,
            demand,
        )
        if reservation is None:
            return None
        local_load = self.chooser.loads.load(upstream.instance)
        return offers_module.make_offer(reservation, local_load, earlier)

    def next_to_ask(
        self,
        usable: choice_module.UsableUpstreams,
        offers: Sequence[offers_module.Offer],
        bound: int,
        silent: Collection[str],
    ) -> forwarding.Upstream | None:
        """Returns the upstream whose owner is asked next, None if none is.

        The chat's preferred upstream comes first, then those that hold the
        chat, then the next one in the chat's order that is not over the bound
        as far as this router knows.
        """
        asked = {offer.reservation.instance for offer in offers}
        asked.update(silent)
        holders = offers[0].reservation.holders if offers else ()
        for name in self.names(holders):
            if name not in asked and usable.has(name):
                return usable.candidates.by_name[name]
        while (upstream := usable.next(asked)) is not None:
            local_load = self.chooser.loads.load(upstream.instance)
            if not asked or local_load < bound:
                return upstream
            asked.add(upstream.instance)
        return None

    def names(self, short_ids: Iterable[int]) -> list[str]:
        """Returns the instances of short ids, without unknown ones."""
        names = (self.instances.get(short) for short in short_ids)
        return [name for name in names if name is not None]

    def release(
        self,
        offers: Sequence[offers_module.Offer],
        chosen: offers_module.Offer | None,
    ) -> None:
        """Releases the reservations of all offers but the chosen one."""
        for offer in offers:
            if offer is not chosen:
                self.reservations.release(offer.reservation)


def has_room(choice: choice_module.Choice, tried: Collection[str]) -> bool:
    """Returns whether a choice is as good as one of another version."""
    if choice.upstream is None or choice.upstream.instance in tried:
        return False
    if choice.reason == choice_module.ALL_AVOIDED:
        return False
    return choice.load < choice.allowed
