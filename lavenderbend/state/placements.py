"""Where the contexts of chats were last, in a bounded table."""

from __future__ import annotations

import collections
import itertools

import attrs

PLACES = 2
DEFAULT_CAPACITY = 50_000


@attrs.frozen
class Place:
    """An engine that ran a chat's last or last but one turn.

    Attributes:
        upstream: VM id.
        instance: Short id of the instance of its process then.
    """

    upstream: str
    instance: int


@attrs.frozen
class Use:
    """The last turn of a chat.

    Attributes:
        tokens: Its prompt tokens.
        at: Owner clock.
    """

    tokens: int
    at: float


class Placements:
    """Chat to its last places, the latest first; the oldest chat goes.

    Attributes:
        capacity: Most chats that are kept.
        chats: The places, the chat that was used last at the end.
        unsent: Chats whose latest place the standby does not know.
        fresh: Chats placed here since this router became the owner.
        uses: Size and time of the last turn of chats placed here.
    """

    def __init__(self, capacity: int = DEFAULT_CAPACITY) -> None:
        self.capacity = capacity
        self.chats: collections.OrderedDict[int, tuple[Place, ...]] = (
            collections.OrderedDict()
        )
        self.unsent: dict[int, None] = {}
        self.fresh: set[int] = set()
        self.uses: dict[int, Use] = {}

    def get(self, chat: int) -> tuple[Place, ...]:
        """Returns the places of a chat, the latest first."""
        return self.chats.get(chat, ())

    def put(self, chat: int, place: Place, use: Use | None = None) -> None:
        """Notes the latest place of a chat."""
        self.fresh.add(chat)
        if use is not None:
            self.uses[chat] = use
        known = self.chats.get(chat, ())
        if not known or known[0] != place:
            self.unsent[chat] = None
        self.keep(chat, place, known)

    def keep(self, chat: int, place: Place, known: tuple[Place, ...]) -> None:
        """Puts a place before the known ones and the chat at the end."""
        others = [other for other in known if other.upstream != place.upstream]
        self.chats[chat] = (place, *others[: PLACES - 1])
        self.chats.move_to_end(chat)
        if len(self.chats) > self.capacity:
            gone, _ = self.chats.popitem(last=False)
            self.unsent.pop(gone, None)
            self.fresh.discard(gone)
            self.uses.pop(gone, None)

    def learn(self, chat: int, place: Place) -> None:
        """Notes a place from another owner, unless this one has newer."""
        if chat not in self.fresh:
            self.keep(chat, place, self.chats.get(chat, ()))

    def resend(self) -> None:
        """Marks all chats as unknown to the standby, the latest first."""
        self.unsent = dict.fromkeys(reversed(self.chats))

    def next_unsent(self, count: int) -> list[tuple[int, Place]]:
        """Returns up to so many chats that the standby lacks."""
        chats = itertools.islice(self.unsent, count)
        return [(chat, self.chats[chat][0]) for chat in chats]

    def note_sent(self, rows: list[tuple[int, Place]]) -> None:
        """Notes what the standby has; a chat that moved since is lacking."""
        for chat, place in rows:
            if self.chats.get(chat, (None,))[0] == place:
                self.unsent.pop(chat, None)

    def __len__(self) -> int:
        return len(self.chats)

    def at(self, place: Place) -> dict[int, Use]:
        """Returns the chats whose context is at a place, with their uses."""
        return {
            chat: self.uses[chat]
            for chat, places in self.chats.items()
            if places[0] == place and chat in self.uses
        }
