"""Detects that the configuration of a router may be out of date."""

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


class ContactMonitor:
    """Detects that this router is cut off from the service and all peers.

    Attributes:
        chain: Revisions known to this router.
        cut_off_seconds: Time without contact after which this router counts
            as cut off.
        last_contact: Clock when the service or a peer last replied.
        stale_since: Clock of the last contact while cut off, else None.
    """

    def __init__(
        self, chain: configuration_chain.Chain, cut_off_seconds: float
    ) -> None:
        self.chain = chain
        self.cut_off_seconds = cut_off_seconds
        self.last_contact = 0.0
        self.stale_since: float | None = None

    def note_contact(self) -> None:
        """Records that the service or a peer has replied."""
        self.last_contact = trio.current_time()
        if self.stale_since is not None:
            self.stale_since = None
            STALE.set({}, 0)
            logs.change('configuration_confirmed', number=self.chain.number)

    def check_stale(self) -> None:
        """Marks the configuration stale if the last contact is too old."""
        silent_seconds = trio.current_time() - self.last_contact
        if silent_seconds < self.cut_off_seconds:
            return
        STALE.set({}, silent_seconds)
        if self.stale_since is None:
            self.stale_since = self.last_contact
            logs.change('configuration_stale', number=self.chain.number)
