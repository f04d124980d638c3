"""Bounded table of the engines that hold the contexts of chats."""

from __future__ import annotations

import collections
import itertools

import attrs

PLACES_PER_CHAT = 2
DEFAULT_CAPACITY = 50_000


@attrs.frozen
class Place:
    """An engine that ran one of the last two turns of a chat.

    Attributes:
        upstream: VM id.
        instance: Short id of the process instance that ran the turn.
    """

    upstream: str
    instance: int


@attrs.frozen
class Use:
    """The last turn of a chat.

    Attributes:
        tokens: Number of its prompt tokens.
        at: Time of the turn, by the owner's clock.
    """

    tokens: int
    at: float


class Placements:
    """The last places of each chat, the latest first.

    When the table is full, the least recently used chat is evicted.

    Attributes:
        capacity: Maximum number of chats.
        chats: Places by chat, the most recently used chat last.
        unsent: Chats whose latest place was not sent to the standby.
        placed_here: Chats placed by this router since it became the owner.
        uses: Size and time of the last turn of chats placed by this router.
    """

    def __init__(self, capacity: int = DEFAULT_CAPACITY) -> None:
        self.capacity = capacity
        self.chats: collections.OrderedDict[int, tuple[Place, ...]] = (
            collections.OrderedDict()
        )
        self.unsent: dict[int, None] = {}
        self.placed_here: set[int] = set()
        self.uses: dict[int, Use] = {}

    def get(self, chat: int) -> tuple[Place, ...]:
        """Returns the places of a chat, the latest first."""
        return self.chats.get(chat, ())

    def put(self, chat: int, place: Place, use: Use | None = None) -> None:
        """Records the latest place of a chat, chosen by this router."""
        self.placed_here.add(chat)
        if use is not None:
            self.uses[chat] = use
        places = self.chats.get(chat, ())
        if not places or places[0] != place:
            self.unsent[chat] = None
        self.store(chat, place, places)

    def store(
        self, chat: int, place: Place, previous: tuple[Place, ...]
    ) -> None:
        """Stores a place ahead of the previous places of a chat.

        The chat becomes the most recently used one.
        """
        others = [
            other for other in previous if other.upstream != place.upstream
        ]
        self.chats[chat] = (place, *others[: PLACES_PER_CHAT - 1])
        self.chats.move_to_end(chat)
        if len(self.chats) > self.capacity:
            evicted, _ = self.chats.popitem(last=False)
            self.unsent.pop(evicted, None)
            self.placed_here.discard(evicted)
            self.uses.pop(evicted, None)

    def merge(self, chat: int, place: Place) -> None:
        """Stores a place received from another owner.

        It is ignored if this router has placed the chat itself since it
        became the owner.
        """
        if chat not in self.placed_here:
            self.store(chat, place, self.chats.get(chat, ()))

    def resend(self) -> None:
        """Marks all chats as unsent, the most recently used first."""
        self.unsent = dict.fromkeys(reversed(self.chats))

    def next_unsent(self, count: int) -> list[tuple[int, Place]]:
        """Returns up to `count` unsent chats with their latest places."""
        chats = itertools.islice(self.unsent, count)
        return [(chat, self.chats[chat][0]) for chat in chats]

    def note_sent(self, rows: list[tuple[int, Place]]) -> None:
        """Marks places as sent to the standby.

        A chat whose latest place has changed since stays unsent.
        """
        for chat, place in rows:
            if self.chats.get(chat, (None,))[0] == place:
                self.unsent.pop(chat, None)

    def __len__(self) -> int:
        return len(self.chats)

    def chats_at(self, place: Place) -> dict[int, Use]:
        """Returns the last turns of the chats whose latest place is given."""
        return {
            chat: self.uses[chat]
            for chat, places in self.chats.items()
            if places[0] == place and chat in self.uses
        }
