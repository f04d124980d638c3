"""Redirects chats from one group of a pool to another."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from lavenderbend.coordination.admission import pool_totals

if TYPE_CHECKING:
    from lavenderbend.coordination.admission import loads
    from lavenderbend.protocol import messages_decisions
    from lavenderbend.state import placements

MAX_HOPS = 2


class GroupRedirects:
    """Decides which requests a group redirects, and to which group.

    Attributes:
        redirected: Group that each chat was redirected to, the chat used
            least recently first.
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
        self.redirected: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )

    def others(self) -> dict[int, pool_totals.GroupTotal]:
        """Returns the load totals of the pool's other groups."""
        group = self.loads.group
        return self.loads.pool_totals.others(group.pool, group.index)

    def for_new_chat(
        self, request: messages_decisions.PermitRequest
    ) -> int | None:
        """Returns the group that a chat without a place here belongs to.

        A chat that was redirected before is redirected to the same group. A
        new chat is redirected when this group has more than its share of the
        pool's load.

        Returns:
            Index of the other group, None if the chat stays here.
        """
        if request.hops > 0 or self.places.get(request.chat):
            return None
        others = self.others()
        if not others:
            return None
        if self.redirected.get(request.chat) in others:
            self.redirected.move_to_end(request.chat)
            return self.redirected[request.chat]
        load, engines = self.loads.total()
        pool_load = load + sum(total.load for total in others.values())
        pool_engines = engines + sum(total.engines for total in others.values())
        if (
            load * pool_engines
            <= pool_totals.IMBALANCE_FACTOR * pool_load * engines
        ):
            return None
        return self.redirect(request.chat, others)

    def for_full_group(
        self, request: messages_decisions.PermitRequest
    ) -> int | None:
        """Returns a group with a lower mean load than this one, if any."""
        others = self.others()
        if request.hops >= MAX_HOPS or not others:
            return None
        load, engines = self.loads.total()
        least = min(total.mean for total in others.values())
        if least >= load / max(1, engines):
            return None
        return self.redirect(request.chat, others)

    def redirect(
        self, chat: int, others: dict[int, pool_totals.GroupTotal]
    ) -> int:
        """Redirects a chat to the group with the lowest mean load."""
        index = min(others, key=lambda other: (others[other].mean, other))
        if not chat:
            return index
        self.redirected[chat] = index
        self.redirected.move_to_end(chat)
        if len(self.redirected) > self.capacity:
            self.redirected.popitem(last=False)
        return index
