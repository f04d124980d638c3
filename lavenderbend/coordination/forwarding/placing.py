"""Where a request with a prompt goes, in a fleet of many routers.

Answers the load of many prompts that no upstream holds yet: the beginning of
a day, a burst, engines that died. Placed by hashing alone prompts queue at
some upstreams while others have nothing to read.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend.coordination.forwarding import choice as choice_module
from lavenderbend.coordination.forwarding import owned_loads
from lavenderbend.coordination.forwarding import (
    reservations as reservations_module,
)
from lavenderbend.state import decisions
from lavenderbend.state import hashing

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from lavenderbend.coordination.forwarding import tickets
    from lavenderbend.state import forwarding

# a few routers know of each other's requests soon enough
SMALL_FLEET = 12
# tokens that an upstream has yet to read, and that leave a long prompt behind
# them in its time: each move of a chat is a copy, and takes memory from others
FEW_UNREAD = 5000
# upstreams that have room and are asked about at most, each for two
# milliseconds
MAX_OPEN = 3
# full ones go on to the next: routers that all have requests of one chat know
# too late of each other's, and would overload whom they know to be free
MAX_ASKED = 10

HOLDS_CHAT = 'holds the chat'
LESS_UNREAD = 'less to read'
MORE_UNREAD = 'more to read'


@attrs.frozen
class Offer:
    """An upstream that a request may go to, as its owner knows it.

    Attributes:
        reservation: What the owner said.
        load: Requests that the upstream holds: what the owner counts, or more
            if more was reported. An owner that has just become one counts
            from nothing, and would let requests pass the bound.
        holds: Whether the upstream holds the chat.
        held: Whether any upstream does.
    """

    reservation: reservations_module.Reservation
    load: int
    holds: bool
    held: bool

    def unread(self, prompt: reservations_module.Prompt) -> int:
        """Returns the tokens that are read before the request begins."""
        own = owned_loads.unread_tokens(
            prompt.tokens, prompt.own_tokens, self.holds, self.held
        )
        return self.reservation.unread + own


def is_good(offer: Offer, bound: int) -> bool:
    """Returns whether no other upstream needs to be asked about."""
    if offer.load >= bound:
        return False
    if offer.held and not offer.holds:
        return False
    return offer.reservation.unread <= FEW_UNREAD


def wants_another(offers: Sequence[Offer], bound: int) -> bool:
    """Returns whether one more upstream is asked about."""
    if not offers:
        return True
    if is_good(offers[-1], bound) or len(offers) >= MAX_ASKED:
        return False
    return sum(one.load < bound for one in offers) < MAX_OPEN


def best(
    offers: Sequence[Offer], prompt: reservations_module.Prompt, bound: int
) -> Offer | None:
    """Returns the offer that a request takes, None if all are full.

    A later one must save what a caller would notice: each move of a chat is
    a copy, or leaves its prompt at two upstreams.
    """
    open_offers = [one for one in offers if one.load < bound]
    if not open_offers:
        return None
    chosen = open_offers[0]
    for offer in open_offers[1:]:
        if offer.unread(prompt) + FEW_UNREAD < chosen.unread(prompt):
            chosen = offer
    return chosen


class Placing:
    """Chooses upstreams, and asks their owners where that pays.

    Attributes:
        chooser: Chooses by what this router knows.
        reservations: Asks owners.
        instances: Upstreams by short id.
        fleet_size: Returns how many routers there are.
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

    async def choose(self, ticket: tickets.Ticket) -> choice_module.Choice:
        """Returns where a request goes next, and has it counted there."""
        choice = self.chooser.choose(
            ticket.service, ticket.prompt, ticket.tried, ticket.id
        )
        ticket.reservation = None
        if choice.upstream is None or not ticket.prompt.parts:
            return choice
        if self.fleet_size() <= SMALL_FLEET:
            return choice
        prompt = prompt_of(ticket.prompt.parts, ticket.prompt.chat)
        offers = await self.ask(ticket, prompt, choice.allowed)
        # upstreams may have come or gone while owners were asked
        found = self.chooser.directory.candidates(ticket.service).by_name
        left = [one for one in offers if one.reservation.instance in found]
        chosen = best(left, prompt, choice.allowed)
        self.release(offers, chosen)
        if chosen is None:
            return self.chooser.choose(
                ticket.service, ticket.prompt, ticket.tried, ticket.id
            )
        ticket.reservation = reservations_module.Taken(
            self.reservations,
            chosen.reservation,
            offers[0].reservation,
            prompt.chat,
            self.names(offers[0].reservation.holders),
        )
        upstream = found[chosen.reservation.instance]
        return made(upstream, offers, chosen, choice.allowed)

    async def ask(
        self,
        ticket: tickets.Ticket,
        prompt: reservations_module.Prompt,
        bound: int,
    ) -> list[Offer]:
        """Returns what owners say, until one upstream is good enough."""
        usable = self.chooser.usable(
            ticket.service, ticket.prompt, ticket.tried
        )
        offers: list[Offer] = []
        try:
            while wants_another(offers, bound):
                upstream = self.next_to_ask(usable, offers, bound)
                if upstream is None:
                    break
                found = await self.reservations.ask(
                    upstream, prompt, ticket.seconds_left
                )
                if found is None:
                    break
                known = self.chooser.loads.load(upstream.instance)
                offers.append(offer_of(found, known, offers))
        except trio.Cancelled:
            self.release(offers, None)
            raise
        return offers

    def next_to_ask(
        self,
        usable: choice_module.Usable,
        offers: Sequence[Offer],
        bound: int,
    ) -> forwarding.Upstream | None:
        """Returns the upstream that is asked about next, None for no other.

        The chat's place comes first, then who holds the chat, then the next
        in its order that is not known to be full.
        """
        asked = {one.reservation.instance for one in offers}
        holders = offers[0].reservation.holders if offers else ()
        for name in self.names(holders):
            if name not in asked and usable.has(name):
                return usable.found.by_name[name]
        while (upstream := usable.next(asked)) is not None:
            known = self.chooser.loads.load(upstream.instance)
            if not offers or known < bound:
                return upstream
            asked.add(upstream.instance)
        return None

    def names(self, shorts: Iterable[int]) -> list[str]:
        """Returns the upstreams of short ids, of those that are known."""
        found = (self.instances.get(short) for short in shorts)
        return [name for name in found if name is not None]

    def release(self, offers: Sequence[Offer], chosen: Offer | None) -> None:
        """Gives back what was counted and is not used."""
        for offer in offers:
            if offer is not chosen:
                self.reservations.note(
                    offer.reservation, owned_loads.NoteKind.ENDED, 0
                )


def made(
    upstream: forwarding.Upstream,
    offers: Sequence[Offer],
    chosen: Offer,
    bound: int,
) -> choice_module.Choice:
    """Returns the choice of an offer, and why not the others."""
    reason = choice_module.PROMPT_CACHED
    if chosen is not offers[0]:
        reason = HOLDS_CHAT if chosen.holds else LESS_UNREAD
    passed = tuple(
        decisions.PassedOver(one.reservation.instance, why_not(one, bound))
        for one in offers
        if one is not chosen
    )
    return choice_module.Choice(upstream, reason, chosen.load, bound, passed)


def prompt_of(
    parts: Sequence[choice_module.PromptPart], chat: str
) -> reservations_module.Prompt:
    """Returns what an owner is told of a prompt."""
    tokens = sum(part.tokens for part in parts)
    own = parts[-1].tokens if len(parts) > 1 else 0
    return reservations_module.Prompt(hashing.short_id(chat), tokens, own)


def offer_of(
    found: reservations_module.Reservation,
    known_load: int,
    earlier: Sequence[Offer],
) -> Offer:
    """Returns what an owner said as an offer.

    The owner of the chat's place, asked first, knows who holds the chat.

    Args:
        found: What the owner said.
        known_load: Requests there, as far as this router knows.
        earlier: What other owners said.
    """
    holders = {*found.holders}
    for one in earlier:
        holders.update(one.reservation.holders)
    load = max(found.load, known_load)
    return Offer(found, load, found.upstream in holders, bool(holders))


def why_not(offer: Offer, bound: int) -> str:
    """Returns why an offer was passed over."""
    if offer.load >= bound:
        return choice_module.OVER_ITS_BOUND
    return MORE_UNREAD
