"""What one upstream holds, and whether another request fits."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from lavenderbend.protocol import messages_forwarding

if TYPE_CHECKING:
    from collections.abc import Iterator

    from lavenderbend.coordination.forwarding.admission import demand as demands

# Cold prompts that an upstream may be processing together. At some 40 tokens
# per millisecond this pauses its streams for 0.25 s; callers accept 0.5 s.
MAX_READING_TOKENS = 10_000
# A prompt with at most this many tokens to process is done in a few engine
# steps and delays no stream noticeably.
LIGHT_TOKENS = 1000
# Time after which a prompt counts as processed if no note said so.
READING_SECONDS = 1.5

Shortage = messages_forwarding.Shortage
# Router and number of a reservation.
Key = tuple[str, int]


@attrs.define
class CountedRequest:
    """A request that its owner counts at an upstream.

    Attributes:
        unread: Prompt tokens that the upstream has yet to process.
        until: Router clock at which the reservation expires.
        granted_at: Router clock at which it was counted.
        reading_until: Router clock from which its prompt counts as processed.
        measured_tokens: Tokens by whose processing the reading rate is
            measured, 0 if the upstream was processing other prompts when it
            was counted: how much of those is left is not known.
        begun: Whether the upstream has begun to answer.
        chat: Short id of its chat, 0 for none.
        shared_tokens: Length of the part that other requests of the chat have.
        kept_tokens: Rest of the prompt and the expected output, in tokens.
        reply: The owner's reply to it, None if it was counted unchecked.
    """

    unread: int
    until: float
    granted_at: float = -math.inf
    reading_until: float = math.inf
    measured_tokens: int = 0
    begun: bool = False
    chat: int = 0
    shared_tokens: int = 0
    kept_tokens: int = 0
    reply: messages_forwarding.ReservationReply | None = None


@attrs.define
class Occupancy:
    """What an upstream holds at one time.

    Attributes:
        load: Requests.
        reading: Tokens of the cold prompts that it is processing.
        unread: Tokens of all prompts that it has yet to process.
        chats_reading: Chats of these cold prompts.
        shared_tokens: Length of the shared part of each chat.
        kept_tokens: Tokens of the unshared parts and expected outputs.
    """

    load: int
    reading: int = 0
    unread: int = 0
    chats_reading: set[int] = attrs.field(factory=set)
    shared_tokens: dict[int, int] = attrs.field(factory=dict)
    kept_tokens: int = 0

    def add(self, counted: CountedRequest, now: float) -> None:
        """Adds a request, without its part of the load."""
        self.kept_tokens += counted.kept_tokens
        if counted.shared_tokens:
            known = self.shared_tokens.get(counted.chat, 0)
            self.shared_tokens[counted.chat] = max(known, counted.shared_tokens)
        if counted.unread <= 0 or now >= counted.reading_until:
            return
        self.unread += counted.unread
        if counted.unread > LIGHT_TOKENS:
            self.reading += counted.unread
            self.chats_reading.add(counted.chat)

    def memory_with(self, need: demands.Demand) -> int:
        """Returns the tokens in memory if a request is added."""
        known = self.shared_tokens.get(need.chat, 0)
        added = max(0, need.shared_tokens - known)
        kept = self.kept_tokens + need.own_tokens + need.output_tokens
        return sum(self.shared_tokens.values()) + added + kept


@attrs.define
class Room:
    """The requests that an owner counts at one upstream.

    Attributes:
        counted: The requests by router and number.
        memory_tokens: Tokens that fit into its memory, None if unknown.
    """

    counted: dict[Key, CountedRequest] = attrs.field(factory=dict)
    memory_tokens: int | None = None

    def __len__(self) -> int:
        return len(self.counted)

    def __iter__(self) -> Iterator[CountedRequest]:
        """Yields the counted requests."""
        yield from self.counted.values()

    def unread(self) -> int:
        """Returns the unprocessed tokens of all requests, however old."""
        return sum(counted.unread for counted in self.counted.values())

    def occupancy(self, load: int, now: float) -> Occupancy:
        """Returns what the upstream holds now.

        Args:
            load: Its requests, including those known from reports only.
            now: Router clock.
        """
        occupancy = Occupancy(load)
        for counted in self.counted.values():
            occupancy.add(counted, now)
        return occupancy

    def shortage(
        self,
        occupancy: Occupancy,
        need: demands.Demand,
        unread: int,
        max_load: int,
    ) -> Shortage:
        """Returns why a request does not fit, `NONE` if it does.

        Args:
            occupancy: What the upstream holds.
            need: The request.
            unread: Tokens of its prompt that the upstream would process.
            max_load: Requests from which on it is not sent, 0 for no limit.
        """
        if 0 < max_load <= occupancy.load:
            return Shortage.REQUESTS
        if self.lacks_memory(occupancy, need):
            return Shortage.MEMORY
        if unread <= LIGHT_TOKENS:
            return Shortage.NONE
        if is_read_there(occupancy, need, unread):
            return Shortage.CHAT
        if occupancy.reading and (
            occupancy.reading + unread > MAX_READING_TOKENS
        ):
            return Shortage.READING
        return Shortage.NONE

    def lacks_memory(self, occupancy: Occupancy, need: demands.Demand) -> bool:
        """Returns whether a request exceeds the memory beside the others."""
        if self.memory_tokens is None or not self.counted:
            return False
        return occupancy.memory_with(need) > self.memory_tokens


def is_read_there(
    occupancy: Occupancy, need: demands.Demand, unread: int
) -> bool:
    """Returns whether waiting for a prompt of the chat saves processing it."""
    if not need.chat or need.chat not in occupancy.chats_reading:
        return False
    return unread - need.own_tokens > LIGHT_TOKENS


def count(
    need: demands.Demand, unread: int, until: float, now: float
) -> CountedRequest:
    """Returns a request as it is counted from now on."""
    return CountedRequest(
        unread,
        until,
        now,
        now + READING_SECONDS,
        chat=need.chat,
        shared_tokens=need.shared_tokens if need.chat else 0,
        kept_tokens=need.output_tokens
        + (need.own_tokens if need.chat else need.tokens),
    )
