"""Rates at which the permits of a group are released and granted."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from lavenderbend.state import permits

SMOOTHING_FACTOR = 0.2
PERIOD_SECONDS = 1.0
# weight of one more permit in the smoothed time that permits are held
SERVICE_SMOOTHING_FACTOR = 0.02
# A rate of fewer events may be off by a multiple: with ten, one of 200 rates
# is less than half of the true one, if they are independent of one another.
MIN_EVENTS = 10.0


class ReleaseRates:
    """Smoothed release rate and service time of permits.

    Attributes:
        rate: Permits released per second; 0 before the first.
        service_seconds: Seconds that a permit is held, smoothed.
        mean_service_seconds: The same, in which the first permits have the
            weight of a mean.
        released: Permits released in the current period.
        released_ever: Permits released.
        updated_at: Owner clock of the last update.
    """

    def __init__(self) -> None:
        self.rate = 0.0
        self.service_seconds = 0.0
        self.mean_service_seconds = 0.0
        self.released = 0
        self.released_ever = 0
        self.updated_at = trio.current_time()

    def note_release(self, permit: permits.LivePermit) -> None:
        """Counts a released permit."""
        self.released += 1
        self.released_ever += 1
        held_seconds = trio.current_time() - permit.granted_at
        if self.service_seconds == 0.0:
            self.service_seconds = held_seconds
        self.service_seconds += SERVICE_SMOOTHING_FACTOR * (
            held_seconds - self.service_seconds
        )
        weight = max(SERVICE_SMOOTHING_FACTOR, 1.0 / self.released_ever)
        self.mean_service_seconds += weight * (
            held_seconds - self.mean_service_seconds
        )

    def update(self) -> None:
        """Updates the rate, at most once per period."""
        now = trio.current_time()
        elapsed = now - self.updated_at
        if elapsed < PERIOD_SECONDS:
            return
        self.rate = smooth(self.rate, self.released / elapsed)
        self.released = 0
        self.updated_at = now

    def expected_rate(self, load: int) -> float:
        """Returns the release rate at a load, 0 if too few were released.

        Args:
            load: Requests that run.
        """
        if self.released_ever < MIN_EVENTS or self.mean_service_seconds <= 0:
            return 0.0
        return load / self.mean_service_seconds


class GrantRate:
    """Rate at which queued requests are granted permits.

    Only the time in which requests wait counts: while none does, the number of
    permits that are granted or released shows how much is asked for, and not
    how much could be served. Once there is room, what was seen before fades.

    Attributes:
        grants: Grants to queued requests; earlier ones weigh less.
        seconds: Seconds in which requests waited, weighed alike.
        waiting: How many requests wait.
        updated_at: Owner clock of the last update.
    """

    def __init__(self) -> None:
        self.grants = 0.0
        self.seconds = 0.0
        self.waiting = 0
        self.updated_at = trio.current_time()

    def note_queued(self) -> None:
        """Counts a request that now waits."""
        self.update()
        self.waiting += 1

    def note_left(self, granted: bool) -> None:
        """Counts a request that no longer waits."""
        self.update()
        self.waiting -= 1
        self.grants += granted

    def update(self, full: bool = True) -> None:
        """Adds the time since the last update, and lets earlier time fade.

        Args:
            full: Whether there is no room: if no request waits because all were
                refused, the rate is still what it was.
        """
        now = trio.current_time()
        elapsed = now - self.updated_at
        self.updated_at = now
        kept = (1.0 - SMOOTHING_FACTOR) ** (elapsed / PERIOD_SECONDS)
        if self.waiting:
            self.seconds += elapsed
            # the rate of upstreams that stand still must fall: their few
            # grants stay, and the time without one grows
            if self.grants * kept < MIN_EVENTS:
                return
        elif full:
            return
        self.grants *= kept
        self.seconds *= kept

    def per_second(self, expected: float = 0.0) -> float:
        """Returns the rate, 0 if unknown.

        Fewer than `MIN_EVENTS` grants do not show that the rate is lower than
        expected until as many would have followed, and then only that it is no
        higher than by as many. Once twice as many would have followed,
        upstreams may stand still: one more grant is counted on.

        Args:
            expected: Rate expected without any grant, 0 if unknown.
        """
        if self.grants >= MIN_EVENTS:
            return self.grants / self.seconds
        if expected > 0 and self.seconds * expected > 2 * MIN_EVENTS:
            return (self.grants + 1) / self.seconds
        seconds = self.seconds
        if expected > 0:
            seconds = max(seconds, MIN_EVENTS / expected)
        return MIN_EVENTS / seconds if seconds > 0 else 0.0


def smooth(before: float, current: float) -> float:
    """Returns the exponentially smoothed value; the first one unchanged."""
    if before == 0.0:
        return current
    return before + SMOOTHING_FACTOR * (current - before)
