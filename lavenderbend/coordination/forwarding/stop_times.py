"""Which requests a router that stops still accepts, and when it ends them."""

from __future__ import annotations

import contextlib
import math
from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend import errors

if TYPE_CHECKING:
    from collections.abc import Iterator

# another router accepts the request at once
RETRY_AFTER_SECONDS = 0.05


@attrs.define
class StopTimes:
    """The times of a graceful stop, in the router clock.

    Attributes:
        accepts_until: Until then all requests are accepted, as the load
            balancer still sends callers here.
        ends_at: The requests that are left are ended then.
        scopes: The cancel scopes of the requests in progress.
        cut: Number of requests that were ended by the end of the stop.
    """

    accepts_until: float = math.inf
    ends_at: float = math.inf
    scopes: set[trio.CancelScope] = attrs.field(factory=set)
    cut: int = 0

    def begin(self, accept_seconds: float, stop_seconds: float) -> None:
        """Begins a stop now.

        Args:
            accept_seconds: Time for which all requests are accepted.
            stop_seconds: Time after which those that are left are ended.
        """
        now = trio.current_time()
        self.accepts_until = now + accept_seconds
        self.ends_at = now + stop_seconds
        for scope in self.scopes:
            scope.deadline = min(scope.deadline, self.ends_at)

    @contextlib.contextmanager
    def limit(self, deadline: float) -> Iterator[trio.CancelScope]:
        """Runs a request until its deadline, or until the stop ends.

        Ended by the cancellation of all tasks of the router instead, it would
        have no time left for an error.
        """
        with trio.CancelScope(deadline=min(deadline, self.ends_at)) as scope:
            self.scopes.add(scope)
            try:
                yield scope
            finally:
                self.scopes.discard(scope)

    def end_request(self, may_have_run: bool) -> errors.RequestError:
        """Returns the error of a request that the end of the stop ended."""
        self.cut += 1
        if may_have_run:
            return errors.OutcomeUnknown('no answer before the router stopped')
        return errors.RouterStopping(
            'not sent before the router stopped', RETRY_AFTER_SECONDS
        )

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
