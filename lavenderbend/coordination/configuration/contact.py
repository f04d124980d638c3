"""When the configuration here was last confirmed."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from lavenderbend.observe import logs
from lavenderbend.observe import metrics

if TYPE_CHECKING:
    from lavenderbend.coordination.configuration import (
        chain as configuration_chain,
    )

STALE = metrics.gauge(
    'lavenderbend_configuration_stale_seconds',
    'Time for which neither the service nor a peer has confirmed it.',
)


class Contact:
    """Tells whether this router is cut off from the service and all peers.

    Attributes:
        chain: Revisions known here.
        cut_off_seconds: Silence after which this router counts as cut off.
        at: When the service or a peer last answered.
        stale_since: Clock of the last contact while cut off, else None.
    """

    def __init__(
        self, chain: configuration_chain.Chain, cut_off_seconds: float
    ) -> None:
        self.chain = chain
        self.cut_off_seconds = cut_off_seconds
        self.at = 0.0
        self.stale_since: float | None = None

    def note(self) -> None:
        """Notes that the service or a peer has answered."""
        self.at = trio.current_time()
        if self.stale_since is not None:
            self.stale_since = None
            STALE.set({}, 0)
            logs.change('configuration_confirmed', number=self.chain.number)

    def check(self) -> None:
        """Notes that nobody has answered for too long."""
        silent = trio.current_time() - self.at
        if silent < self.cut_off_seconds:
            return
        STALE.set({}, silent)
        if self.stale_since is None:
            self.stale_since = self.at
            logs.change('configuration_stale', number=self.chain.number)
