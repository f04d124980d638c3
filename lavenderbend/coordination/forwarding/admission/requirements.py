"""Makes the demand of a request from what is known of it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lavenderbend.coordination.forwarding.admission import demand
from lavenderbend.state import hashing

if TYPE_CHECKING:
    from lavenderbend.coordination.forwarding import reservations
    from lavenderbend.coordination.forwarding import tickets


def of_ticket(
    ticket: tickets.Ticket, prompt: reservations.PromptSummary
) -> demand.Demand:
    """Returns what a request needs and is entitled to."""
    customer = hashing.short_id(ticket.customer) if ticket.customer else 0
    return demand.Demand(
        tokens=prompt.tokens,
        own_tokens=prompt.own_tokens,
        output_tokens=ticket.output_tokens,
        chat=prompt.chat,
        rank=ticket.rank,
        customer=customer,
        target_at=ticket.target_at,
        deadline=ticket.deadline,
    )
