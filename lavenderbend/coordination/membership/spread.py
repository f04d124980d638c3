"""Urgent updates, passed on by each router once, to a few others."""

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


class Spreader:
    """Sends urgent updates to routers chosen by chance.

    A router that hears an update for the first time passes it on once, to
    `fanout` others. That reaches a fleet of hundreds within a few hops; the
    few that chance leaves out hear of it by the probes.

    Attributes:
        waiting: Updates that gather for the next notice.
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
        self.waiting: list[list[Any]] = []
        self.filled = trio.Event()
        self.sent = 0

    def put(self, update: peer.Message) -> None:
        """Queues an update."""
        self.waiting.append(peer.to_wire(update))
        self.filled.set()

    async def run(self) -> None:
        """Sends what gathers."""
        while True:
            await self.filled.wait()
            await trio.sleep(self.settings.spread_delay)
            self.flush()

    def flush(self, everybody: bool = False) -> None:
        """Sends what waits now."""
        updates = self.waiting
        self.waiting = []
        self.filled = trio.Event()
        if not updates:
            return
        targets = self.routers()
        if not everybody and len(targets) > self.settings.fanout:
            targets = self.rng.sample(targets, self.settings.fanout)
        for batch in batches(updates):
            for target in targets:
                self.link.notify(target, messages.Updates(batch))
                self.sent += len(batch)


def batches(updates: list[list[Any]]) -> list[list[list[Any]]]:
    """Returns the updates in notices of bounded size."""
    parts: list[list[list[Any]]] = [[]]
    size = 0
    for update in updates:
        # a line of the VM list, the largest, is well under 512 bytes
        size += 512
        if size > MAX_NOTICE_BYTES:
            parts.append([])
            size = 512
        parts[-1].append(update)
    return parts
