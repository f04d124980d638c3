"""Updates that ride on probes, each a bounded number of times."""

from __future__ import annotations

import math
from typing import Any
from typing import TYPE_CHECKING

import attrs

from lavenderbend.protocol import peer

if TYPE_CHECKING:
    from collections.abc import Hashable

# urgent updates have reached nearly all already; this is for the few
# routers that chance has left out
RETRANSMIT_FACTOR = 1


@attrs.define(eq=False)
class Queued:
    """An update and how often it was sent.

    Attributes:
        wire: The update by `peer.to_wire`.
        size: Its bytes.
        sent: How often it was sent.
    """

    wire: list[Any]
    size: int
    sent: int = 0


class UpdateQueue:
    """The newest update on each subject, the least sent first.

    Attributes:
        items: By subject.
    """

    def __init__(self) -> None:
        self.items: dict[Hashable, Queued] = {}

    def put(self, subject: Hashable, update: peer.Message) -> None:
        """Queues an update in place of an older one on the subject."""
        self.items.pop(subject, None)
        size = len(peer.encode(update))
        self.items[subject] = Queued(peer.to_wire(update), size)

    def take(self, limit: int, routers: int) -> list[list[Any]]:
        """Returns updates of up to `limit` bytes and counts them as sent.

        Each goes out a few times the logarithm of the fleet's size, which
        is what it takes to reach all of it by chance.
        """
        most = RETRANSMIT_FACTOR * math.ceil(math.log2(routers + 2))
        taken: list[list[Any]] = []
        total = 0
        order = sorted(self.items.items(), key=lambda pair: pair[1].sent)
        for subject, item in order:
            if total + item.size > limit and taken:
                break
            total += item.size
            taken.append(item.wire)
            item.sent += 1
            if item.sent >= most:
                del self.items[subject]
        return taken
