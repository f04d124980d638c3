"""What one request needs of an upstream, and what it is entitled to."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from lavenderbend.protocol import messages_forwarding

# Rank of a request that states none.
DEFAULT_RANK = 5
MILLISECONDS = 1000


@attrs.frozen
class Demand:
    """What one request needs of an upstream, and what it is entitled to.

    Attributes:
        tokens: Length of the prompt in tokens, 0 without one.
        own_tokens: Length of the part that no other request has, in tokens.
        output_tokens: Expected length of the output in tokens, 0 if unknown.
        chat: Short id of the chat, 0 for none.
        rank: Priority, 0 is the most urgent.
        customer: Short id of the customer, 0 for none.
        target_at: Router clock by which the first output should come.
        deadline: Router clock after which an answer is of no use.
    """

    tokens: int = 0
    own_tokens: int = 0
    output_tokens: int = 0
    chat: int = 0
    rank: int = DEFAULT_RANK
    customer: int = 0
    target_at: float = -math.inf
    deadline: float = math.inf

    @property
    def shared_tokens(self) -> int:
        """Length of the part that the chat's other requests have, in tokens."""
        return self.tokens - self.own_tokens


def of_request(
    request: messages_forwarding.ReservationRequest, now: float
) -> Demand:
    """Returns the demand in a message.

    Args:
        request: The message; its times count from `now`.
        now: Router clock at which it arrived first.
    """
    return Demand(
        request.tokens,
        request.own_tokens,
        request.output_tokens,
        request.chat,
        request.rank,
        request.customer,
        now + request.target_milliseconds / MILLISECONDS,
        now + request.lifetime_milliseconds / MILLISECONDS,
    )
