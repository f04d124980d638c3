"""Where the contexts of chats were last, in a bounded table."""

from __future__ import annotations

import collections

import attrs

PLACES = 2
DEFAULT_CAPACITY = 50_000


@attrs.frozen
class Place:
    """An engine that ran a chat's last or last but one turn.

    Attributes:
        upstream: VM id.
        instance: Instance of its process then.
        tokens: Prompt tokens of that turn.
    """

    upstream: str
    instance: str
    tokens: int


class Placements:
    """Chat to its last places, the latest first; the oldest chat goes."""

    def __init__(self, capacity: int = DEFAULT_CAPACITY) -> None:
        self.capacity = capacity
        self.chats: collections.OrderedDict[int, tuple[Place, ...]] = (
            collections.OrderedDict()
        )

    def get(self, chat: int) -> tuple[Place, ...]:
        """Returns the places of a chat, the latest first."""
        return self.chats.get(chat, ())

    def put(self, chat: int, place: Place) -> None:
        """Notes the latest place of a chat."""
        others = [
            other
            for other in self.chats.get(chat, ())
            if other.upstream != place.upstream
        ]
        self.chats[chat] = (place, *others[: PLACES - 1])
        self.chats.move_to_end(chat)
        if len(self.chats) > self.capacity:
            self.chats.popitem(last=False)

    def __len__(self) -> int:
        return len(self.chats)
