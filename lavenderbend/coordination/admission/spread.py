"""Chats that go from one group of a pool to another."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from lavenderbend.coordination.admission import sums

if TYPE_CHECKING:
    from lavenderbend.coordination.admission import loads
    from lavenderbend.protocol import messages_decisions
    from lavenderbend.state import placements

MAX_HOPS = 2


class Spread:
    """Where a group sends requests on, and what it sent there before.

    Attributes:
        moved: Group of each chat that was sent on, the oldest first.
    """

    def __init__(
        self,
        group_loads: loads.GroupLoads,
        places: placements.Placements,
        capacity: int,
    ) -> None:
        self.loads = group_loads
        self.places = places
        self.capacity = capacity
        self.moved: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )

    def others(self) -> dict[int, sums.GroupSum]:
        """Returns the sums of the pool's other groups."""
        group = self.loads.group
        return self.loads.sums.others(group.pool, group.index)

    def settled(self, ask: messages_decisions.PermitRequest) -> int | None:
        """Returns the group that a chat was sent on to, or should be.

        A chat that is nowhere yet is sent on when this group has more than
        its part of the pool's load.
        """
        if ask.hops > 0 or self.places.get(ask.chat):
            return None
        others = self.others()
        if not others:
            return None
        if self.moved.get(ask.chat) in others:
            self.moved.move_to_end(ask.chat)
            return self.moved[ask.chat]
        load, engines = self.loads.total()
        all_load = load + sum(item.load for item in others.values())
        all_engines = engines + sum(item.engines for item in others.values())
        if load * all_engines <= sums.UNEVEN * all_load * engines:
            return None
        return self.send_on(ask.chat, others)

    def elsewhere(self, ask: messages_decisions.PermitRequest) -> int | None:
        """Returns a group with more room than this full one, if any."""
        others = self.others()
        if ask.hops >= MAX_HOPS or not others:
            return None
        load, engines = self.loads.total()
        least = min(item.mean for item in others.values())
        if least >= load / max(1, engines):
            return None
        return self.send_on(ask.chat, others)

    def send_on(self, chat: int, others: dict[int, sums.GroupSum]) -> int:
        """Returns the group with the least mean load and notes it."""
        index = min(others, key=lambda one: (others[one].mean, one))
        if not chat:
            return index
        self.moved[chat] = index
        self.moved.move_to_end(chat)
        if len(self.moved) > self.capacity:
            self.moved.popitem(last=False)
        return index
