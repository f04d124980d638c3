"""What an owner does with the contexts on an upstream that leaves."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from lavenderbend.coordination import cache_transfer
from lavenderbend.state import placements

if TYPE_CHECKING:
    from lavenderbend.coordination.admission import loads


class Leaving:
    """Moves contexts off upstreams that leave a group.

    Attributes:
        present: Place of each upstream that was in the group.
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
        self.present: dict[str, placements.Place] = {}

    def gone(self) -> list[placements.Place]:
        """Returns the upstreams that have left since the last look."""
        now: dict[str, placements.Place] = {}
        for vm in self.loads.upstreams():
            place = placements.Place(vm.id, self.loads.instance(vm.id))
            now[vm.id] = place
        gone = [
            place for name, place in self.present.items() if name not in now
        ]
        self.present = now
        return gone

    async def look(self) -> None:
        """Moves what pays off the upstreams that have left."""
        for place in self.gone():
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
            for chat, use in self.places.at(place).items()
        ]
        targets = {name: self.loads.table.load(name) for name in self.present}
        moves = cache_transfer.plan(contexts, targets, self.settings)
        async for move in cache_transfer.carry_out(
            client, place.upstream, moves, self.settings.seconds
        ):
            chat = move.context.chat
            held = self.places.get(chat)
            if held and held[0] != place:
                # the chat has had a turn elsewhere meanwhile
                continue
            instance = self.loads.instance(move.target)
            use = placements.Use(move.context.tokens, now)
            self.places.put(chat, placements.Place(move.target, instance), use)
