"""Finds upstreams that fell silent while requests wait for them."""

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
# events of all streams of an engine follow each other within some tens of
# milliseconds; none from any of them for so long is no slow engine's
DARK_SECONDS = 0.45
# this router itself stood still for longer than a check takes
LATE_SECONDS = 0.3

# why a wait was given up
NO_BYTE = 'no byte in time'
ALL_SILENT = 'silent to all its streams'
SUSPECTED = 'taken for dead or out of reach'


@attrs.define(eq=False)
class Waiting:
    """A request that waits for the next bytes of its upstream.

    Attributes:
        instance: The upstream.
        limit: Seconds after which it is not waited for any longer.
        may_repeat: Returns whether another upstream may go on, now.
        scope: Cancelled to end the wait for what comes next.
        since: Router clock of the last bytes, of the sending, or of the
            moment from which bytes are waited for again.
        flowing: Whether a stream has begun, so that bytes are due.
        reading: Whether the upstream is waited for, and not the caller.
        given_up: Why it was not waited for any longer, empty if it was.
    """

    instance: str
    limit: float
    may_repeat: Callable[[], bool]
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    since: float = attrs.field(factory=trio.current_time)
    flowing: bool = False
    reading: bool = True
    given_up: str = ''

    async def read(self, operation: Callable[[], Awaitable[T]]) -> T:
        """Returns what one operation on the upstream returns.

        Only this can be given up. A write to the caller that were cancelled
        would leave the answer half written: what has been read and counted
        would be missing, and the next upstream's bytes would follow the gap.

        Raises:
            UpstreamStalled: It was given up; nothing that was read is lost.
        """
        self.since = trio.current_time()
        self.scope = trio.CancelScope()
        self.reading = True
        with self.scope:
            result = await operation()
            self.since = trio.current_time()
            self.reading = False
            return result
        raise errors.UpstreamStalled(self.given_up)

    def give_up(self, reason: str) -> None:
        """Ends the wait for the upstream."""
        self.given_up = reason
        self.scope.cancel()


class SilenceWatch:
    """Ends waits for upstreams that will not answer.

    An upstream whose VM lost power or whose path is cut closes nothing: each
    request would wait out its own limit, and new ones would follow. One that
    streams to several requests and is silent to all of them is taken for
    dark at once; other routers are told by way of `health`.

    Attributes:
        waits: The requests that wait.
        heard: Router clock of the last bytes of each upstream.
    """

    def __init__(self, health: health_module.Health) -> None:
        self.health = health
        self.waits: set[Waiting] = set()
        self.heard: dict[str, float] = {}

    def begin(
        self,
        upstream: forwarding.Upstream,
        limit: float,
        may_repeat: Callable[[], bool],
    ) -> Waiting:
        """Begins a wait; `end` must follow."""
        waiting = Waiting(upstream.instance, limit, may_repeat)
        self.waits.add(waiting)
        return waiting

    def note_bytes(self, waiting: Waiting) -> None:
        """Notes that bytes have come."""
        waiting.since = trio.current_time()
        self.heard[waiting.instance] = waiting.since

    def end(self, waiting: Waiting) -> None:
        """Ends a wait."""
        self.waits.discard(waiting)

    async def run(self) -> None:
        """Looks at all waits again and again."""
        last = trio.current_time()
        while True:
            await trio.sleep(CHECK_SECONDS)
            now = trio.current_time()
            if now - last > LATE_SECONDS:
                # what looks silent may lie unread in this router's sockets
                self.start_anew(now)
            self.check(now)
            last = now

    def start_anew(self, now: float) -> None:
        """Counts all waits from now on."""
        for waiting in self.waits:
            waiting.since = now

    def check(self, now: float) -> None:
        """Ends the waits that are of no use any more."""
        dark = self.dark(now)
        for instance in dark:
            self.health.note_silent(instance)
        for waiting in list(self.waits):
            if not waiting.reading:
                continue
            reason = self.reason(waiting, now - waiting.since, dark)
            if reason and waiting.may_repeat():
                waiting.give_up(reason)

    def reason(self, waiting: Waiting, silent: float, dark: set[str]) -> str:
        """Returns why a wait is of no use any more, empty if it is."""
        if silent > waiting.limit:
            return NO_BYTE
        if silent <= DARK_SECONDS:
            return ''
        if waiting.instance in dark:
            return ALL_SILENT
        if self.health.is_suspected(waiting.instance):
            return SUSPECTED
        return ''

    def dark(self, now: float) -> set[str]:
        """Returns the upstreams that stream to requests and are silent."""
        flowing = {
            one.instance for one in self.waits if one.flowing and one.reading
        }
        return {
            instance
            for instance in flowing
            if now - self.latest(instance) > DARK_SECONDS
        }

    def latest(self, instance: str) -> float:
        """Returns when an upstream was heard, or its waits began anew."""
        since = [
            one.since
            for one in self.waits
            if one.instance == instance and one.flowing
        ]
        return max(since, default=self.heard.get(instance, 0.0))

    def heard_within(self, instance: str, seconds: float) -> bool:
        """Returns whether bytes of an upstream came so lately."""
        at = self.heard.get(instance, float('-inf'))
        return trio.current_time() - at <= seconds
