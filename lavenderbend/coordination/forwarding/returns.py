"""How often the chats of a rule come back while their prompts are cached."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs
import trio

if TYPE_CHECKING:
    from collections.abc import Callable

    from lavenderbend.coordination.forwarding import choice

# prompts are hardly cached any longer than this: upstreams come and go, and
# other prompts need the memory
CACHED_SECONDS = 30.0
# until enough requests were seen a chat is taken to come back so often in a
# zone; between what was seen of three customers, 1.7 to 3.7
USUAL_RETURNS = 2.5
# requests of a rule that weigh as much as that guess
USUAL_WEIGHT = 10.0
# what the first moments show, extrapolated, would be nearly all chance
MIN_SECONDS = 5.0


@attrs.define
class Window:
    """Requests of one rule within a time.

    Attributes:
        began: Router clock of its begin.
        chats: Requests of each chat.
        requests: All of them.
        pairs: Pairs of requests of the same chat.
    """

    began: float = attrs.field(factory=trio.current_time)
    chats: collections.Counter[str] = attrs.field(factory=collections.Counter)
    requests: int = 0
    pairs: int = 0

    @property
    def seconds(self) -> float:
        """Seconds since its begin."""
        return trio.current_time() - self.began

    def note(self, chat: str) -> None:
        """Counts a request of a chat."""
        self.pairs += self.chats[chat]
        self.chats[chat] += 1
        self.requests += 1


class ChatReturns:
    """Estimates how often a chat comes back to the routers of one zone.

    A router sees few of a chat's requests, but from how many of its own
    requests share a chat follows over how many chats they are spread.

    Attributes:
        windows: The current and the last window of each rule.
        zone_routers: Returns how many routers share the zone's callers.
    """

    def __init__(self, zone_routers: Callable[[], int]) -> None:
        self.zone_routers = zone_routers
        self.windows: dict[str, list[Window]] = {}

    def note(self, need: choice.Need) -> None:
        """Counts a request, once for all its attempts."""
        if not need.parts:
            return
        windows = self.windows.setdefault(need.kind, [Window()])
        if windows[-1].seconds >= CACHED_SECONDS:
            windows.append(Window())
            del windows[:-2]
        windows[-1].note(need.chat)

    def expected(self, kind: str) -> float:
        """Returns how often a chat of a rule comes back to the zone."""
        routers = self.zone_routers()
        requests = USUAL_WEIGHT
        returns = USUAL_WEIGHT * USUAL_RETURNS / routers
        for window in self.windows.get(kind, ()):
            seconds = min(max(window.seconds, MIN_SECONDS), CACHED_SECONDS)
            requests += window.requests
            # each request of a pair is the other's return
            returns += 2 * window.pairs * CACHED_SECONDS / seconds
        return routers * returns / requests
