"""Whether this router itself can open connections to upstreams."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend.observe import logs
from lavenderbend.observe import metrics

if TYPE_CHECKING:
    from collections.abc import Callable

# One upstream that cannot be connected to is more likely down itself.
MIN_FAILED_UPSTREAMS = 2

FAILED_CONNECTS = metrics.counter(
    'lavenderbend_forward_connects_failed_total',
    'Connections to upstreams that could not be opened, by cause.',
)
UNREACHED = metrics.gauge(
    'lavenderbend_forward_upstreams_unreached',
    'Upstreams that could not be connected to since the last connection.',
)


@attrs.frozen
class ConnectFailure:
    """A connection that could not be opened.

    Attributes:
        at: Router clock.
        cause: Why it could not.
    """

    at: float
    cause: str


class Reachability:
    """Records which upstreams this router connects to, and which it cannot.

    A router whose own network path is cut fails to connect to one upstream
    after the other, and nothing else shows it: the other routers, the store
    and the callers still reach it.

    Attributes:
        failures: The latest failure by instance since the last connection
            that was opened to any upstream.
        connected_at: Router clock of that connection, None if there was none.
        fleet_size: Returns how many routers are known, for log lines.
        store_age: Returns the age of the store's content, for log lines.
    """

    def __init__(self) -> None:
        self.failures: dict[str, ConnectFailure] = {}
        self.connected_at: float | None = None
        self.fleet_size: Callable[[], int] = lambda: 1
        self.store_age: Callable[[], float] = lambda: 0.0

    @property
    def lost(self) -> bool:
        """Whether this router seems to be cut off from all upstreams."""
        return len(self.failures) >= MIN_FAILED_UPSTREAMS

    def note_connected(self) -> None:
        """Records that a connection to an upstream was opened."""
        if self.lost:
            logs.change(
                'upstreams_regained',
                failed=len(self.failures),
                seconds=round(trio.current_time() - self.first_failure(), 3),
            )
        self.failures.clear()
        self.connected_at = trio.current_time()
        UNREACHED.set({}, 0)

    def note_failed(self, instance: str, cause: str) -> None:
        """Records that no connection to an upstream could be opened."""
        before = self.lost
        self.failures[instance] = ConnectFailure(trio.current_time(), cause)
        FAILED_CONNECTS.inc({'cause': cause})
        UNREACHED.set({}, len(self.failures))
        if self.lost and not before:
            self.log_lost()

    def log_lost(self) -> None:
        """Logs what tells a cut path of this router from dead upstreams."""
        causes = collections.Counter(
            failure.cause for failure in self.failures.values()
        )
        connected_before = None
        if self.connected_at is not None:
            connected_before = round(
                self.first_failure() - self.connected_at, 3
            )
        logs.change(
            'upstreams_lost',
            upstreams=sorted(self.failures),
            causes=dict(causes),
            connected_before=connected_before,
            routers=self.fleet_size(),
            store_age=round(self.store_age(), 3),
        )

    def first_failure(self) -> float:
        """Returns the router clock of the first of the failures."""
        return min(failure.at for failure in self.failures.values())
