"""Offers of the owners of upstreams, and which one a request uses."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lavenderbend.coordination.forwarding import choice as choice_module
from lavenderbend.coordination.forwarding import owned_loads
from lavenderbend.coordination.forwarding import (
    reservations as reservations_module,
)
from lavenderbend.coordination.forwarding.admission import pace
from lavenderbend.protocol import messages_forwarding
from lavenderbend.state import decisions
from lavenderbend.state import hashing

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lavenderbend.state import forwarding

Shortage = messages_forwarding.Shortage

# Unprocessed tokens at an upstream that delay a long prompt by less than its
# own processing time. A chat that moves costs more than that: its prompt is
# copied, and the copy displaces other prompts from memory.
LOW_UNREAD_TOKENS = 5000
CLEARLY_SOONER_SECONDS = LOW_UNREAD_TOKENS / pace.USUAL_TOKENS_PER_SECOND
# Upstreams below the load bound whose owners are asked at most, at two
# milliseconds each.
MAX_OPEN_OFFERS = 3
# Upstreams whose owners are asked at most, including those over the bound.
# After a full upstream the next one is asked about: routers that all have
# requests of one chat learn of each other's requests too late, and would
# overload the upstream that each of them believes to be free.
MAX_OFFERS = 10
# A prompt of more tokens to process delays others noticeably, so that the
# owner is told at once when it has been processed.
LONG_UNREAD_TOKENS = 2000

HOLDS_CHAT = 'holds the chat'
LESS_UNREAD = 'less to read'
MORE_UNREAD = 'more to read'
NO_REPLY = 'its owner did not reply'
NO_ROOM = 'no room: '


@attrs.frozen
class Offer:
    """An upstream that a request may be sent to, by its owner's answer.

    Attributes:
        reservation: The owner's answer.
        load: Requests that the upstream holds: as the owner counts them, or
            as this router knows if that is more. The owner may lack a report
            that has reached this router.
        holds: Whether the upstream has the chat cached.
        held: Whether any upstream has.
    """

    reservation: reservations_module.Reservation
    load: int
    holds: bool
    held: bool

    @property
    def granted(self) -> bool:
        """Whether the owner counts the request."""
        return self.reservation.granted

    @property
    def has_chat(self) -> bool:
        """Whether the upstream has the chat cached or is processing it."""
        return self.holds or self.reservation.shortage == Shortage.CHAT

    def own_unread(self, prompt: reservations_module.PromptSummary) -> int:
        """Returns the tokens of the request's prompt to process there."""
        if self.reservation.shortage == Shortage.CHAT:
            # It waits until the rest has been processed.
            return prompt.own_tokens
        return owned_loads.unread_tokens(
            prompt.tokens, prompt.own_tokens, self.holds, self.held
        )

    def unread(self, prompt: reservations_module.PromptSummary) -> int:
        """Returns the tokens to process before the request's first output."""
        return self.reservation.unread + self.own_unread(prompt)

    def expected_seconds(
        self, prompt: reservations_module.PromptSummary
    ) -> float:
        """Returns the expected time until the request's first output.

        An owner of the previous build states no time until the upstream begins
        with the request; it follows from the tokens to process before then.
        """
        begins = self.reservation.expected_seconds
        if begins <= 0.0:
            begins = self.reservation.unread / pace.USUAL_TOKENS_PER_SECOND
        own = self.own_unread(prompt)
        return begins + own / pace.USUAL_TOKENS_PER_SECOND


def is_good(
    offer: Offer, prompt: reservations_module.PromptSummary, bound: int
) -> bool:
    """Returns whether no other upstream needs to be asked about."""
    if offer.granted and offer.load >= bound:
        return False
    if not offer.granted:
        return offer.has_chat and is_soonest_possible(offer, prompt)
    if offer.held and not offer.holds:
        return False
    if offer.reservation.expected_seconds > 0.0:
        return is_soonest_possible(offer, prompt)
    return offer.reservation.unread <= LOW_UNREAD_TOKENS


def is_soonest_possible(
    offer: Offer, prompt: reservations_module.PromptSummary
) -> bool:
    """Returns whether an idle upstream would not begin clearly sooner."""
    elsewhere = owned_loads.unread_tokens(
        prompt.tokens, prompt.own_tokens, False, offer.held
    )
    idle_seconds = elsewhere / pace.USUAL_TOKENS_PER_SECOND
    expected = offer.expected_seconds(prompt)
    return expected <= idle_seconds + CLEARLY_SOONER_SECONDS


def needs_another_offer(
    offers: Sequence[Offer],
    prompt: reservations_module.PromptSummary,
    bound: int,
) -> bool:
    """Returns whether the owner of one more upstream is asked."""
    if not offers:
        return True
    if is_good(offers[-1], prompt, bound) or len(offers) >= MAX_OFFERS:
        return False
    return sum(offer.load < bound for offer in offers) < MAX_OPEN_OFFERS


def best(
    offers: Sequence[Offer],
    prompt: reservations_module.PromptSummary,
    bound: int,
) -> Offer | None:
    """Returns the offer that a request uses, None if all are over the bound.

    A later offer must save a delay that a caller would notice: each move of a
    chat costs a copy of its prompt, or leaves the prompt cached at two
    upstreams.
    """
    open_offers = [offer for offer in offers if offer.load < bound]
    if not open_offers:
        return None
    chosen = open_offers[0]
    for offer in open_offers[1:]:
        if offer.unread(prompt) + LOW_UNREAD_TOKENS < chosen.unread(prompt):
            chosen = offer
    return chosen


def is_waitable(
    offer: Offer, prompt: reservations_module.PromptSummary, longest: float
) -> bool:
    """Returns whether a request may wait at the upstream of an offer.

    Args:
        offer: The offer.
        prompt: The prompt of the request.
        longest: Seconds within which the request has to begin.
    """
    if offer.granted:
        return False
    if offer.reservation.shortage in (Shortage.QUEUE, Shortage.TIME):
        return False
    return offer.expected_seconds(prompt) < longest


def soonest(
    offers: Sequence[Offer],
    prompt: reservations_module.PromptSummary,
    bound: int,
    longest: float,
) -> Offer | None:
    """Returns the offer that a request uses or waits at, None for none.

    The upstream that has the chat comes first, then one that was granted;
    another one must begin clearly sooner.

    Args:
        offers: The offers, in the order in which owners were asked.
        prompt: The prompt of the request.
        bound: Requests that an upstream may hold.
        longest: Seconds within which a request that waits has to begin.
    """
    usable = [
        offer
        for offer in offers
        if (offer.granted and offer.load < bound)
        or is_waitable(offer, prompt, longest)
    ]
    if not usable:
        return None
    chosen = min(
        usable, key=lambda offer: (not offer.has_chat, not offer.granted)
    )
    for offer in usable:
        gain = chosen.expected_seconds(prompt) - offer.expected_seconds(prompt)
        if gain > CLEARLY_SOONER_SECONDS:
            chosen = offer
    return chosen


def begin_too_late(
    offers: Sequence[Offer],
    prompt: reservations_module.PromptSummary,
    seconds_left: float,
) -> bool:
    """Returns whether no offer lets a request begin before its deadline."""
    return bool(offers) and all(
        begins_too_late(offer, prompt, seconds_left) for offer in offers
    )


def begins_too_late(
    offer: Offer, prompt: reservations_module.PromptSummary, seconds_left: float
) -> bool:
    """Returns whether a request would begin after its deadline."""
    shortage = offer.reservation.shortage
    if offer.granted or shortage == Shortage.NONE:
        return False
    if shortage == Shortage.TIME:
        return True
    return offer.expected_seconds(prompt) >= seconds_left


def is_urgent(offer: Offer, prompt: reservations_module.PromptSummary) -> bool:
    """Returns whether the owner is told at once of a request's progress."""
    if offer.reservation.queued > 0:
        return True
    return offer.own_unread(prompt) > LONG_UNREAD_TOKENS


def make_prompt(
    parts: Sequence[choice_module.PromptPart], chat: str
) -> reservations_module.PromptSummary:
    """Returns the description of a prompt that is sent to owners."""
    tokens = sum(part.tokens for part in parts)
    own = parts[-1].tokens if len(parts) > 1 else 0
    return reservations_module.PromptSummary(
        hashing.short_id(chat), tokens, own
    )


def make_offer(
    reservation: reservations_module.Reservation,
    local_load: int,
    earlier: Sequence[Offer],
) -> Offer:
    """Returns an owner's answer as an offer.

    The owner of the chat's preferred upstream, which is asked first, knows
    which upstreams hold the chat.

    Args:
        reservation: The owner's answer.
        local_load: Requests at the upstream, as far as this router knows.
        earlier: Offers by other owners.
    """
    holders = {*reservation.holders}
    for offer in earlier:
        holders.update(offer.reservation.holders)
    load = max(reservation.load, local_load)
    return Offer(
        reservation, load, reservation.upstream in holders, bool(holders)
    )


def make_choice(
    upstream: forwarding.Upstream,
    offers: Sequence[Offer],
    chosen: Offer,
    bound: int,
    silent: Sequence[str],
) -> choice_module.Choice:
    """Returns the choice of an offer, with why the others were passed over."""
    reason = choice_module.PROMPT_CACHED
    if chosen is not offers[0]:
        reason = HOLDS_CHAT if chosen.holds else LESS_UNREAD
    passed_over = [
        decisions.PassedOver(
            offer.reservation.instance, pass_over_reason(offer, bound)
        )
        for offer in offers
        if offer is not chosen
    ]
    passed_over += [decisions.PassedOver(name, NO_REPLY) for name in silent]
    return choice_module.Choice(
        upstream, reason, chosen.load, bound, tuple(passed_over)
    )


def pass_over_reason(offer: Offer, bound: int) -> str:
    """Returns why an offer was passed over."""
    if offer.load >= bound:
        return choice_module.OVER_BOUND
    return MORE_UNREAD if offer.granted else passed_over(offer).reason


def passed_over(offer: Offer) -> decisions.PassedOver:
    """Returns the record of a declined offer."""
    return decisions.PassedOver(
        offer.reservation.instance,
        NO_ROOM + shortage_name(offer.reservation.shortage),
    )


def shortage_name(shortage: int) -> str:
    """Returns the name of a shortage, or its number if it is unknown."""
    try:
        return Shortage(shortage).name.lower()
    except ValueError:
        # of a later build
        return str(shortage)
