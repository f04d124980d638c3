"""Moves chat contexts off upstreams that leave a group."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from lavenderbend.coordination import cache_transfer
from lavenderbend.state import placements

if TYPE_CHECKING:
    from lavenderbend.coordination.admission import loads


class ContextMover:
    """Moves contexts off upstreams that leave a group.

    Attributes:
        members: Place of each upstream that was in the group at the last
            check.
    """

    def __init__(
        self,
        group_loads: loads.GroupLoads,
        places: placements.Placements,
        client: cache_transfer.CacheClient | None,
        settings: cache_transfer.TransferSettings,
    ) -> None:
        self.loads = group_loads
        self.places = places
        self.client = client
        self.settings = settings
        self.members: dict[str, placements.Place] = {}

    def departed(self) -> list[placements.Place]:
        """Returns the upstreams that left the group since the last check."""
        members: dict[str, placements.Place] = {}
        for vm in self.loads.upstreams():
            place = placements.Place(vm.id, self.loads.instance(vm.id))
            members[vm.id] = place
        departed = [
            place for name, place in self.members.items() if name not in members
        ]
        self.members = members
        return departed

    async def move_departed(self) -> None:
        """Moves contexts off the departed upstreams where that saves time."""
        for place in self.departed():
            if self.client is None or not self.loads.pool().exports_cache:
                continue
            await self.move(place, self.client)

    async def move(
        self, place: placements.Place, client: cache_transfer.CacheClient
    ) -> None:
        """Moves the contexts of one upstream."""
        now = trio.current_time()
        contexts = [
            cache_transfer.Context(chat, use.tokens, now - use.at)
            for chat, use in self.places.chats_at(place).items()
        ]
        targets = {name: self.loads.table.load(name) for name in self.members}
        moves = cache_transfer.plan_moves(contexts, targets, self.settings)
        async for move in cache_transfer.execute_moves(
            client, place.upstream, moves, self.settings.seconds
        ):
            chat = move.context.chat
            chat_places = self.places.get(chat)
            if chat_places and chat_places[0] != place:
                # the chat has had a turn on another upstream meanwhile
                continue
            instance = self.loads.instance(move.target)
            use = placements.Use(move.context.tokens, now)
            self.places.put(chat, placements.Place(move.target, instance), use)
