"""Which requests a router that stops still accepts."""

from __future__ import annotations

import math

import attrs
import trio

from lavenderbend import errors

# another router accepts the request at once
RETRY_AFTER_SECONDS = 0.05


@attrs.define
class StopTimes:
    """The times of a graceful stop, in the router clock.

    Attributes:
        accepts_until: Until then all requests are accepted, as the load
            balancer still sends callers here.
        ends_at: The requests that are left are ended then.
    """

    accepts_until: float = math.inf
    ends_at: float = math.inf

    def begin(self, accept_seconds: float, stop_seconds: float) -> None:
        """Begins a stop now.

        Args:
            accept_seconds: Time for which all requests are accepted.
            stop_seconds: Time after which those that are left are ended.
        """
        now = trio.current_time()
        self.accepts_until = now + accept_seconds
        self.ends_at = now + stop_seconds

    def check(self, deadline: float) -> None:
        """Rejects a request that the end of the stop could cut off.

        One whose deadline is before that end is accepted however late it is.

        Args:
            deadline: Router clock at which the request ends at the latest.

        Raises:
            RouterStopping: It did not run.
        """
        if trio.current_time() < self.accepts_until:
            return
        if deadline <= self.ends_at:
            return
        raise errors.RouterStopping(
            'the router stops before the deadline of the request',
            RETRY_AFTER_SECONDS,
        )
