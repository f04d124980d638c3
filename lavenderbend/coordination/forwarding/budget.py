"""How many requests of a service may be sent once more."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend.observe import metrics

if TYPE_CHECKING:
    from collections.abc import Callable

# of what is allowed; the rest covers requests that were counted here and
# that others count in another window
USED_PART = 0.8

DENIED = metrics.counter(
    'lavenderbend_forward_repeats_denied_total',
    'Repeats that the budget did not allow, by service.',
)
REPEATS = metrics.counter(
    'lavenderbend_forward_repeats_total',
    'Requests sent once more, by service.',
)


@attrs.frozen
class RepeatSettings:
    """What the whole fleet may repeat.

    Attributes:
        share: Repeats for each request of a service.
        extra: Repeats beside them, of the whole fleet.
        window_seconds: The time over which both are counted.
    """

    share: float = 0.1
    extra: float = 10.0
    window_seconds: float = 10.0


class Window:
    """Moments within the last seconds."""

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        self.moments: collections.deque[float] = collections.deque()

    def add(self) -> None:
        """Adds this moment."""
        self.moments.append(trio.current_time())

    def count(self) -> int:
        """Returns how many moments are left."""
        oldest = trio.current_time() - self.seconds
        while self.moments and self.moments[0] < oldest:
            self.moments.popleft()
        return len(self.moments)


class RepeatBudget:
    """This router's part of the fleet's repeats.

    Each router repeats a share of its own requests, and its even part of
    the extra. Until it knows by how many the extra is divided it has no part
    of it: together they must not pass what the fleet is allowed, however
    little they hear of each other.

    Attributes:
        settings: What the fleet may repeat.
        parts: Returns by how many the extra is divided, 0 for unknown.
    """

    def __init__(
        self, settings: RepeatSettings, parts: Callable[[], int]
    ) -> None:
        self.settings = settings
        self.parts = parts
        self.requests: dict[str, Window] = {}
        self.repeats: dict[str, Window] = {}

    def window(self, windows: dict[str, Window], service: str) -> Window:
        """Returns the window of a service."""
        if service not in windows:
            windows[service] = Window(self.settings.window_seconds)
        return windows[service]

    def note_request(self, service: str) -> None:
        """Counts a request that goes to a service."""
        window = self.window(self.requests, service)
        window.add()
        window.count()

    def allowed(self, service: str) -> float:
        """Returns how many repeats a window may hold."""
        requests = self.window(self.requests, service).count()
        parts = self.parts()
        extra = self.settings.extra / parts if parts else 0.0
        return USED_PART * (self.settings.share * requests + extra)

    def available(self, service: str) -> bool:
        """Returns whether a repeat could be taken."""
        window = self.window(self.repeats, service)
        return window.count() + 1 <= self.allowed(service)

    def try_take(self, service: str) -> bool:
        """Takes a repeat if the budget allows it."""
        if not self.available(service):
            DENIED.inc({'service': service})
            return False
        self.window(self.repeats, service).add()
        REPEATS.inc({'service': service})
        return True
