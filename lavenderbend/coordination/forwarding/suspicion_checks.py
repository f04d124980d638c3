"""Whether an upstream that is suspected is down, or only this router's path."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from lavenderbend.coordination.forwarding import silence as silence_module
from lavenderbend.observe import logs
from lavenderbend.observe import metrics

if TYPE_CHECKING:
    from collections.abc import Callable

    from lavenderbend.coordination.forwarding import directory as directories
    from lavenderbend.coordination.forwarding import upstream_paths
    from lavenderbend.state import forwarding

MAX_PENDING = 1000

WITHHELD = metrics.counter(
    'lavenderbend_forward_suspicions_withheld_total',
    'Suspicions not told to others, as the own path may be cut.',
)


class SuspicionChecks:
    """Tells other routers of a suspected upstream only if it seems to be down.

    A router whose own paths are cut suspects every upstream. Told to the
    others, its suspicions would turn them away from upstreams that work.

    Attributes:
        paths: The paths to upstreams.
        directory: Known upstreams.
        silence: When upstreams last sent bytes.
        announce: Called with an upstream that seems to be down, and the
            seconds for which it is avoided.
        pending: Passes suspicions in doubt to `run`, None before it runs.
    """

    def __init__(
        self,
        paths: upstream_paths.UpstreamPaths,
        directory: directories.Directory,
        silence: silence_module.SilenceDetector,
        announce: Callable[[str, float], None],
    ) -> None:
        self.paths = paths
        self.directory = directory
        self.silence = silence
        self.announce = announce
        self.pending: trio.MemorySendChannel | None = None

    def suspect(self, instance: str, seconds: float) -> None:
        """Announces a suspicion, at once unless the own path is in doubt."""
        if self.paths.found_unreached(instance) or not self.in_doubt(instance):
            self.announce(instance, seconds)
            return
        upstream = self.find(instance)
        if self.pending is None or upstream is None:
            return
        try:
            until = trio.current_time() + seconds
            self.pending.send_nowait((upstream, until))
        except trio.WouldBlock:
            logs.change('suspicion_not_examined', upstream=instance)

    def in_doubt(self, instance: str) -> bool:
        """Returns whether the own path, not the upstream, may be at fault.

        Bytes of another upstream show that some paths work.
        """
        if self.paths.reachability.lost or self.paths.any_cut():
            return True
        return not self.silence.others_heard(
            instance, silence_module.SILENT_SECONDS
        )

    def find(self, instance: str) -> forwarding.Upstream | None:
        """Returns an upstream by its instance, None if it is gone."""
        current = self.directory.followed.current
        return None if current is None else current.upstreams.get(instance)

    async def run(self) -> None:
        """Examines suspicions in doubt until cancelled."""
        self.pending, received = trio.open_memory_channel(MAX_PENDING)
        async with trio.open_nursery() as nursery:
            async for upstream, until in received:
                nursery.start_soon(self.examine, upstream, until)

    async def examine(
        self, upstream: forwarding.Upstream, until: float
    ) -> None:
        """Announces a suspicion if another router does not reach it either."""
        reached = await self.paths.reached_by_others(upstream)
        instance = upstream.instance
        left = until - trio.current_time()
        if not reached and self.paths.found_unreached(instance) and left > 0:
            self.announce(instance, left)
            return
        WITHHELD.inc({})
        logs.change(
            'suspicion_withheld', upstream=instance, reached_by_others=reached
        )
