"""Detects upstreams that stop sending bytes while requests wait for them."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

import attrs
import trio

from lavenderbend import errors

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from lavenderbend.coordination.forwarding import health as health_module
    from lavenderbend.state import forwarding

T = TypeVar('T')

CHECK_SECONDS = 0.1
# Events of all streams of an engine follow each other within some tens of
# milliseconds; even a slow engine sends one of any stream within this time.
SILENT_SECONDS = 0.45
# Time between two checks from which on this router itself was suspended or
# overloaded.
MAX_CHECK_GAP_SECONDS = 0.3

# Reasons for which a wait is abandoned.
NO_BYTE = 'no byte in time'
ALL_SILENT = 'silent to all its streams'
SUSPECTED = 'taken for dead or out of reach'


@attrs.define(eq=False)
class UpstreamWait:
    """A request that waits for the next bytes of its upstream.

    Attributes:
        instance: The upstream.
        limit: Seconds without bytes after which the wait is abandoned.
        may_retry: Returns whether another upstream may continue the request
            now.
        scope: Cancelled to abandon the current read.
        since: Router clock of the last bytes, of the sending of the request,
            or of the start of the current read.
        streaming: Whether a stream has begun, so that bytes are due.
        reading: Whether the upstream is being read, rather than the caller
            written to.
        abandon_reason: Why the wait was abandoned, empty if it was not.
    """

    instance: str
    limit: float
    may_retry: Callable[[], bool]
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    since: float = attrs.field(factory=trio.current_time)
    streaming: bool = False
    reading: bool = True
    abandon_reason: str = ''

    async def read(self, operation: Callable[[], Awaitable[T]]) -> T:
        """Returns what one operation on the upstream returns.

        Only this operation can be abandoned. Cancelling a write to the caller
        would leave the answer half written: what has been read and counted
        would be missing, and the next upstream's bytes would follow the gap.

        Raises:
            UpstreamStalled: The wait was abandoned; no bytes that were read
                are lost.
        """
        self.since = trio.current_time()
        self.scope = trio.CancelScope()
        self.reading = True
        with self.scope:
            result = await operation()
            self.since = trio.current_time()
            self.reading = False
            return result
        raise errors.UpstreamStalled(self.abandon_reason)

    def abandon(self, reason: str) -> None:
        """Cancels the current read of the upstream."""
        self.abandon_reason = reason
        self.scope.cancel()


class SilenceDetector:
    """Abandons waits for upstreams that are not expected to answer.

    An upstream whose VM lost power or whose network path is cut closes no
    connection: each request would wait until its own limit, and new ones
    would follow. One that streams to requests and sends nothing to any of
    them is considered dead at once; `health` notifies the other routers.

    Attributes:
        health: Records which upstreams are silent.
        waits: The requests that wait.
        last_bytes_at: Router clock of the last bytes of each upstream.
    """

    def __init__(self, health: health_module.Health) -> None:
        self.health = health
        self.waits: set[UpstreamWait] = set()
        self.last_bytes_at: dict[str, float] = {}

    def begin(
        self,
        upstream: forwarding.Upstream,
        limit: float,
        may_retry: Callable[[], bool],
    ) -> UpstreamWait:
        """Begins a wait; the caller must end it with `end`."""
        wait = UpstreamWait(upstream.instance, limit, may_retry)
        self.waits.add(wait)
        return wait

    def note_bytes(self, wait: UpstreamWait) -> None:
        """Records that the upstream sent bytes."""
        wait.since = trio.current_time()
        self.last_bytes_at[wait.instance] = wait.since

    def end(self, wait: UpstreamWait) -> None:
        """Ends a wait."""
        self.waits.discard(wait)

    async def run(self) -> None:
        """Checks all waits periodically."""
        last = trio.current_time()
        while True:
            await trio.sleep(CHECK_SECONDS)
            now = trio.current_time()
            if now - last > MAX_CHECK_GAP_SECONDS:
                # Bytes of upstreams that look silent may be unread in this
                # router's sockets.
                self.restart_waits(now)
            self.check(now)
            last = now

    def restart_waits(self, now: float) -> None:
        """Counts the time of all waits from now on."""
        for wait in self.waits:
            wait.since = now

    def check(self, now: float) -> None:
        """Suspects silent upstreams and abandons waits for them."""
        silent = self.silent_upstreams(now)
        for instance in silent:
            self.health.note_silent(instance)
        for wait in list(self.waits):
            if not wait.reading:
                continue
            reason = self.reason(wait, now - wait.since, silent)
            if reason and wait.may_retry():
                wait.abandon(reason)

    def reason(
        self, wait: UpstreamWait, seconds: float, silent: set[str]
    ) -> str:
        """Returns why a wait is to be abandoned, empty if it is not.

        Args:
            wait: The wait.
            seconds: Time for which it has had no bytes.
            silent: Upstreams that are silent to all their streams.
        """
        if seconds > wait.limit:
            return NO_BYTE
        if seconds <= SILENT_SECONDS:
            return ''
        if wait.instance in silent:
            return ALL_SILENT
        if self.health.is_suspected(wait.instance):
            return SUSPECTED
        return ''

    def silent_upstreams(self, now: float) -> set[str]:
        """Returns the upstreams that are silent to all their streams."""
        streaming = {
            wait.instance
            for wait in self.waits
            if wait.streaming and wait.reading
        }
        return {
            instance
            for instance in streaming
            if now - self.last_activity(instance) > SILENT_SECONDS
        }

    def last_activity(self, instance: str) -> float:
        """Returns the router clock of the latest bytes or restart of a wait."""
        since = [
            wait.since
            for wait in self.waits
            if wait.instance == instance and wait.streaming
        ]
        return max(since, default=self.last_bytes_at.get(instance, 0.0))

    def others_heard(self, instance: str, seconds: float) -> bool:
        """Returns whether others than an upstream sent bytes lately."""
        since = trio.current_time() - seconds
        return any(
            at >= since
            for other, at in self.last_bytes_at.items()
            if other != instance
        )

    def received_within(self, instance: str, seconds: float) -> bool:
        """Returns whether an upstream sent bytes within the last seconds."""
        at = self.last_bytes_at.get(instance, float('-inf'))
        return trio.current_time() - at <= seconds
