"""Updates piggybacked on probes, each a limited number of times."""

from __future__ import annotations

import math
from typing import Any
from typing import TYPE_CHECKING

import attrs

from lavenderbend.protocol import peer

if TYPE_CHECKING:
    from collections.abc import Hashable

# gossip has already reached nearly all routers; piggybacking is for the few
# that the random choice missed, so a small factor is enough
RETRANSMIT_FACTOR = 1


@attrs.define(eq=False)
class QueuedUpdate:
    """An update and the number of its transmissions.

    Attributes:
        wire: The update encoded by `peer.to_wire`.
        size: Size in bytes.
        sent: Number of transmissions.
    """

    wire: list[Any]
    size: int
    sent: int = 0


class PiggybackQueue:
    """Newest update on each subject; those sent least often go first.

    Attributes:
        queued: Updates by subject.
    """

    def __init__(self) -> None:
        self.queued: dict[Hashable, QueuedUpdate] = {}

    def put(self, subject: Hashable, update: peer.Message) -> None:
        """Queues an update, replacing an older one on the subject."""
        self.queued.pop(subject, None)
        size = len(peer.encode(update))
        self.queued[subject] = QueuedUpdate(peer.to_wire(update), size)

    def next_batch(self, limit: int, routers: int) -> list[list[Any]]:
        """Returns updates of up to `limit` bytes and counts them as sent.

        Each update is sent a multiple of the logarithm of the fleet's size,
        the number of transmissions by which random gossip reaches all
        routers. A first update above the limit is returned all the same.
        """
        max_transmissions = RETRANSMIT_FACTOR * math.ceil(
            math.log2(routers + 2)
        )
        batch: list[list[Any]] = []
        total = 0
        order = sorted(self.queued.items(), key=lambda pair: pair[1].sent)
        for subject, queued in order:
            if total + queued.size > limit and batch:
                break
            total += queued.size
            batch.append(queued.wire)
            queued.sent += 1
            if queued.sent >= max_transmissions:
                del self.queued[subject]
        return batch
