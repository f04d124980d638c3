"""Gossip of updates: each router relays an update once to a few others."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import trio

from lavenderbend.protocol import messages_membership as messages
from lavenderbend.protocol import peer

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from lavenderbend.coordination import interfaces
    from lavenderbend.coordination.membership import settings as settings_lib

MAX_NOTICE_BYTES = 64 * 1024


class Gossiper:
    """Sends updates to randomly chosen routers.

    A router that receives an update for the first time relays it once, to
    `fanout` others. That reaches a fleet of hundreds within a few hops. The
    few routers that the random choice misses get it piggybacked on probes.

    Attributes:
        link: Link to the other routers.
        rng: Source of the random choice.
        settings: Fanout and delay.
        routers: Returns the ids of the responsive routers.
        pending: Updates for the next notice.
        has_pending: Set while there are pending updates.
        sent: Updates sent, counted for each receiver.
    """

    def __init__(
        self,
        link: interfaces.PeerLink,
        rng: random.Random,
        settings: settings_lib.MembershipSettings,
        routers: Callable[[], list[str]],
    ) -> None:
        self.link = link
        self.rng = rng
        self.settings = settings
        self.routers = routers
        self.pending: list[list[Any]] = []
        self.has_pending = trio.Event()
        self.sent = 0

    def put(self, update: peer.Message) -> None:
        """Queues an update."""
        self.pending.append(peer.to_wire(update))
        self.has_pending.set()

    async def run(self) -> None:
        """Sends updates, batched for `gossip_delay`, until cancelled."""
        while True:
            await self.has_pending.wait()
            await trio.sleep(self.settings.gossip_delay)
            self.flush()

    def flush(self, to_all: bool = False) -> None:
        """Sends the pending updates now.

        Args:
            to_all: Whether all responsive routers get them.
        """
        updates = self.pending
        self.pending = []
        self.has_pending = trio.Event()
        if not updates:
            return
        targets = self.routers()
        if not to_all and len(targets) > self.settings.fanout:
            targets = self.rng.sample(targets, self.settings.fanout)
        for batch in split_batches(updates):
            for target in targets:
                self.link.notify(target, messages.Updates(batch))
                self.sent += len(batch)


def split_batches(updates: list[list[Any]]) -> list[list[list[Any]]]:
    """Splits updates into batches of at most `MAX_NOTICE_BYTES`."""
    chunks: list[list[list[Any]]] = [[]]
    size = 0
    for update in updates:
        # the largest update, a change of the VM list, is well under 512 bytes
        size += 512
        if size > MAX_NOTICE_BYTES:
            chunks.append([])
            size = 512
        chunks[-1].append(update)
    return chunks
