"""Detects that the configuration of a router may be out of date."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lavenderbend.observe import logs
from lavenderbend.observe import metrics

if TYPE_CHECKING:
    from collections.abc import Callable

    from lavenderbend.coordination.configuration import (
        chain as configuration_chain,
    )

# Questions are sent this often within the time after which a router without
# replies counts as cut off: one may be lost.
QUESTIONS_PER_CUT_OFF = 3

STALE = metrics.gauge(
    'lavenderbend_configuration_stale_seconds',
    'Time for which neither the service nor a peer has confirmed it.',
)


class ContactMonitor:
    """Detects that this router is cut off from the service and all peers.

    A contact counts from when its question was sent: the reply may have waited
    while the router stood still. A message that answers no question proves
    nothing, as it may have waited too.

    Attributes:
        chain: Revisions known to this router.
        cut_off_seconds: Time without contact after which this router counts
            as cut off.
        clock: The suspension clock.
        last_contact: Clock at which the latest question was sent to which the
            service or a peer has replied.
        reported: Whether the router was last reported as cut off.
    """

    def __init__(
        self,
        chain: configuration_chain.Chain,
        cut_off_seconds: float,
        clock: Callable[[], float],
    ) -> None:
        self.chain = chain
        self.cut_off_seconds = cut_off_seconds
        self.clock = clock
        self.last_contact = clock()
        self.reported = False

    @property
    def stale_seconds(self) -> float | None:
        """Seconds since the last contact while cut off, else None.

        Judged when it is read: a periodic check would come too late for what
        a router decides right after it stood still.
        """
        silent_seconds = self.clock() - self.last_contact
        if silent_seconds < self.cut_off_seconds:
            return None
        return silent_seconds

    @property
    def interval_seconds(self) -> float:
        """Longest time between two questions to the service or to peers."""
        return self.cut_off_seconds / QUESTIONS_PER_CUT_OFF

    def note_contact(self, asked_at: float) -> None:
        """Records that the service or a peer has replied.

        Args:
            asked_at: Clock at which the question was sent.
        """
        self.last_contact = max(self.last_contact, asked_at)
        if self.reported and self.stale_seconds is None:
            self.reported = False
            STALE.set({}, 0)
            logs.change('configuration_confirmed', number=self.chain.number)

    def report_stale(self) -> None:
        """Reports that the router is cut off, if it is."""
        stale_seconds = self.stale_seconds
        if stale_seconds is None:
            return
        STALE.set({}, stale_seconds)
        if not self.reported:
            self.reported = True
            logs.change('configuration_stale', number=self.chain.number)
