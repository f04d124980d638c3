"""Detects upstreams that stop sending bytes while requests wait for them."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

import attrs
import trio

from lavenderbend import errors
from lavenderbend.observe import metrics

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Collection

    from lavenderbend.coordination.forwarding import health as health_module
    from lavenderbend.state import forwarding

T = TypeVar('T')

PROBES = metrics.counter(
    'lavenderbend_forward_silence_probes_total',
    'Connections to upstreams that sent no bytes, by whether they accepted.',
)

CHECK_SECONDS = 0.1
# Events of all streams of an engine that processes no prompts follow each other
# within some tens of milliseconds.
SILENT_SECONDS = 0.45
# An engine that processes one long prompt after the other sends an event only
# every second or so, but still accepts connections. It is probed early, so that
# one that is dead is known to be within SILENT_SECONDS.
PROBE_AFTER_SECONDS = 0.3
PROBE_TIMEOUT_SECONDS = 0.15
# An upstream that is silent for this long is suspected even if it accepts
# connections: the kernel accepts those of a process that hangs.
MAX_BUSY_SECONDS = 1.5
# Time between two checks from which on this router itself was suspended or
# overloaded.
MAX_CHECK_GAP_SECONDS = 0.3
NEVER = float('-inf')

# Reasons for which a wait is abandoned.
NO_BYTE = 'no byte in time'
ALL_SILENT = 'silent to all its streams'
SUSPECTED = 'taken for dead or out of reach'


@attrs.define(eq=False)
class UpstreamWait:
    """A request that waits for the next bytes of its upstream.

    Attributes:
        upstream: The upstream.
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

    upstream: forwarding.Upstream
    limit: float
    may_retry: Callable[[], bool]
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    since: float = attrs.field(factory=trio.current_time)
    streaming: bool = False
    reading: bool = True
    abandon_reason: str = ''

    @property
    def instance(self) -> str:
        """Instance of the upstream."""
        return self.upstream.instance

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


@attrs.frozen
class Probe:
    """A connection to a silent upstream.

    Attributes:
        at: Router clock of its end.
        accepted: Whether the upstream accepted it.
    """

    at: float
    accepted: bool


NOT_PROBED = Probe(NEVER, False)


class SilenceDetector:
    """Abandons waits for upstreams that are not expected to answer.

    An upstream whose VM lost power or whose network path is cut closes no
    connection: each request would wait until its own limit, and new ones
    would follow. One that streams to requests and sends nothing to any of
    them is considered dead at once, unless it accepts a connection; `health`
    notifies the other routers.

    Attributes:
        health: Records which upstreams are silent.
        accepts: Returns whether an upstream accepts a connection, None if
            upstreams are not probed.
        waits: The requests that wait.
        last_bytes_at: Router clock of the last bytes of each upstream.
        probing: Upstreams that are being probed.
        probed: The latest probe of each upstream.
    """

    def __init__(
        self,
        health: health_module.Health,
        accepts: Callable[[forwarding.Upstream], Awaitable[bool]] | None = None,
    ) -> None:
        self.health = health
        self.accepts = accepts
        self.waits: set[UpstreamWait] = set()
        self.last_bytes_at: dict[str, float] = {}
        self.probing: set[str] = set()
        self.probed: dict[str, Probe] = {}

    def begin(
        self,
        upstream: forwarding.Upstream,
        limit: float,
        may_retry: Callable[[], bool],
    ) -> UpstreamWait:
        """Begins a wait; the caller must end it with `end`."""
        wait = UpstreamWait(upstream, limit, may_retry)
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
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(CHECK_SECONDS)
                now = trio.current_time()
                if now - last > MAX_CHECK_GAP_SECONDS:
                    # Bytes of upstreams that look silent may be unread in
                    # this router's sockets.
                    self.restart_waits(now)
                for upstream in self.to_probe(now):
                    self.probing.add(upstream.instance)
                    nursery.start_soon(self.probe, upstream)
                self.check(now)
                last = now

    def to_probe(self, now: float) -> list[forwarding.Upstream]:
        """Returns the upstreams that have become silent and may be busy."""
        if self.accepts is None:
            return []
        quiet = self.quiet_upstreams(now, PROBE_AFTER_SECONDS)
        return [
            upstream
            for instance, upstream in quiet.items()
            if instance not in self.probing
            and now - self.last_probe(instance).at > SILENT_SECONDS
        ]

    async def probe(self, upstream: forwarding.Upstream) -> None:
        """Finds out whether a silent upstream accepts a connection."""
        accepted = False
        try:
            with trio.move_on_after(PROBE_TIMEOUT_SECONDS):
                accepted = await self.accepts(upstream)
        finally:
            self.probing.discard(upstream.instance)
        PROBES.inc({'accepted': 'yes' if accepted else 'no'})
        self.probed[upstream.instance] = Probe(trio.current_time(), accepted)

    def last_probe(self, instance: str) -> Probe:
        """Returns the latest probe of an upstream."""
        return self.probed.get(instance, NOT_PROBED)

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
        return {
            instance
            for instance in self.quiet_upstreams(now, SILENT_SECONDS)
            if not self.is_busy(instance, now)
        }

    def quiet_upstreams(
        self, now: float, seconds: float
    ) -> dict[str, forwarding.Upstream]:
        """Returns the upstreams that sent no stream bytes for some time."""
        streaming = {
            wait.instance: wait.upstream
            for wait in self.waits
            if wait.streaming and wait.reading
        }
        return {
            instance: upstream
            for instance, upstream in streaming.items()
            if now - self.last_activity(instance) > seconds
        }

    def is_busy(self, instance: str, now: float) -> bool:
        """Returns whether a silent upstream may be processing prompts."""
        silent_since = self.last_activity(instance)
        if now - silent_since > MAX_BUSY_SECONDS:
            return False
        probe = self.last_probe(instance)
        if probe.at < silent_since:
            return instance in self.probing
        return probe.accepted

    def accepted_lately(self, instance: str, now: float) -> bool:
        """Returns whether an upstream has just accepted a probe."""
        probe = self.last_probe(instance)
        return probe.accepted and now - probe.at <= SILENT_SECONDS

    def retain(self, instances: Collection[str]) -> None:
        """Drops what is known of all upstreams but the given ones."""
        for known in (self.last_bytes_at, self.probed):
            for instance in known.keys() - set(instances):
                del known[instance]

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
