"""Which upstreams hold the prompt parts that many chats begin with."""

from __future__ import annotations

import collections
import itertools
from typing import TYPE_CHECKING

import trio

from lavenderbend.protocol import packed_rows
from lavenderbend.state import hashing

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from lavenderbend.coordination.forwarding import choice

# an upstream that nobody saw read a part for so long may have dropped it
HOLD_SECONDS = 7.0
# told on only if it is so much younger than what was known
NEWS_SECONDS = 3.0
# upstreams that are known to hold one part: one may die, and one alone would
# hand the part out to all others, one after the other
MAX_HOLDERS = 3
# with more parts than these, no few of them begin many chats
MAX_PARTS = 200
# in one message: 9 bytes each
MAX_TOLD = 10
# parts of a prompt: what many chats begin with, the chat, the request's own
SHARED_FROM = 3


def first_part(parts: Sequence[choice.PromptPart]) -> int | None:
    """Returns the short id of what other chats may begin with too."""
    if len(parts) < SHARED_FROM:
        return None
    return hashing.short_id(parts[0].id)


class SharedPrompts:
    """Holders of first parts, as routers tell each other of them.

    A chat that is new to its upstream would have its first part read there
    anew, though other upstreams hold it; a copy takes a quarter of the time.
    Which upstreams do so cannot be worked out from the order of places: each
    router sees few requests, so that they tell each other.

    Attributes:
        holders: By short ids of a part and an upstream, the router clock at
            which it was seen to read or hold the part.
        untold: Pairs of short ids, those to be told next first.
    """

    def __init__(self) -> None:
        self.holders: dict[int, dict[int, float]] = {}
        self.untold: collections.deque[tuple[int, int]] = collections.deque()

    def note(self, parts: Sequence[choice.PromptPart], instance: str) -> None:
        """Notes that an upstream has read a prompt."""
        part = first_part(parts)
        if part is not None:
            self.add(part, hashing.short_id(instance), 0.0)

    def add(self, part: int, holder: int, age: float) -> None:
        """Adds a holder that was seen so many seconds ago."""
        now = trio.current_time()
        found = self.holders.get(part)
        if found is None:
            if len(self.holders) >= MAX_PARTS:
                return
            found = self.holders[part] = {}
        known = found.get(holder)
        if known is None and len(found) >= MAX_HOLDERS:
            return
        if known is not None and now - age <= known + NEWS_SECONDS:
            return
        found[holder] = now - age
        if known is None:
            self.untold.appendleft((part, holder))

    def take(self, rows: bytes) -> None:
        """Takes in what another router tells."""
        for part, holder, age in packed_rows.unpack_holders(rows):
            if age < HOLD_SECONDS:
                self.add(part, holder, age)

    def told(self) -> bytes:
        """Returns what the next message tells, packed."""
        now = trio.current_time()
        turn = list(itertools.islice(self.untold, MAX_TOLD))
        self.untold.rotate(-len(turn))
        return packed_rows.pack_holders(
            (part, holder, now - self.holders[part][holder])
            for part, holder in turn
        )

    def find(
        self,
        parts: Sequence[choice.PromptPart],
        usable: Callable[[int], bool],
    ) -> int | None:
        """Returns an upstream that holds the first part, None if none is.

        Args:
            parts: The prompt.
            usable: Returns whether an upstream, by its short id, can be
                copied from.
        """
        part = first_part(parts)
        if part is None:
            return None
        found = [one for one in self.holders.get(part, {}) if usable(one)]
        if not found:
            return None
        # each of them hands it out to some
        return found[hashing.short_id(parts[-1].id) % len(found)]

    def tidy(self) -> None:
        """Forgets holders that were not seen lately."""
        oldest = trio.current_time() - HOLD_SECONDS
        for part, found in list(self.holders.items()):
            for holder in [one for one, at in found.items() if at < oldest]:
                del found[holder]
            if not found:
                del self.holders[part]
        self.untold = collections.deque(
            (part, holder)
            for part, holder in self.untold
            if holder in self.holders.get(part, {})
        )
