"""When prompt parts were last answered completely."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Iterable

# At 150 bytes each. Above this the parts are forgotten that were answered
# longest ago.
MAX_PARTS = 4096


class Successes:
    """The latest success of each part at this router.

    Attributes:
        latest: Router clock of the latest complete answer, by part.
    """

    def __init__(self) -> None:
        self.latest: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )

    def note(self, parts: Iterable[int]) -> None:
        """Records a complete answer to a request with some parts."""
        now = trio.current_time()
        for part in parts:
            self.latest[part] = now
            self.latest.move_to_end(part)
        while len(self.latest) > MAX_PARTS:
            self.latest.popitem(last=False)

    def since(self, part: int, at: float) -> float | None:
        """Returns the latest success of a part, None if not after a time."""
        latest = self.latest.get(part)
        if latest is None or latest <= at:
            return None
        return latest
