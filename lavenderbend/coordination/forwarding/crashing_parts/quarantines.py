"""How long a prompt part that crashed upstreams is refused."""

from __future__ import annotations

import attrs
import trio

from lavenderbend.state import hashing

FIRST_STRIKE = 1
# The first trial comes this long after a part was quarantined, the next ones
# after a multiple of the time before: each may crash an upstream.
FIRST_HOLD_SECONDS = 30.0
# At a router where the part was answered before the crashes, and may have been
# at them by chance: with all upstreams down, nothing could be answered since.
ANSWERED_HOLD_SECONDS = 3.0
# Where all requests that it was at crashes with had another quarantined part
# too, a request without that one may try it after this time.
EXPLAINED_HOLD_SECONDS = 1.0
EXPLAINED_SPREAD_SECONDS = 3.0
HOLD_MULTIPLE = 6.0
MAX_HOLD_SECONDS = 300.0
MAX_EXPONENT = 8
# Routers begin their trials spread over this part of the time before, and no
# less than these seconds: the outcome of the first reaches the others before
# they begin theirs.
SPREAD_FRACTION = 1.0
MIN_SPREAD_SECONDS = 10.0
# Other requests wait this long for the outcome of a trial.
TRIAL_SECONDS = 5.0
# A part of which no request came for this long is forgotten.
KEEP_SECONDS = 900.0


@attrs.define
class Quarantine:
    """A part that is refused, but for trials.

    Attributes:
        strike: How often it was found to crash upstreams without a success in
            between.
        since: Router clock of the first crash, minus infinity if it is not
            known; a success after it clears the part.
        in_force_at: Router clock from which on it is refused.
        opens_at: Router clock from which on one request may try it.
        explained_by: A part that all requests had with which this one was at
            crashes, None if there was none.
        explained_at: Router clock from which on one request without that part
            may try it.
        forgotten_at: Router clock from which on it is forgotten.
        recorded: Whether this router knows it from the store alone, and was
            sent no request with it since.
    """

    strike: int
    since: float
    in_force_at: float
    opens_at: float
    explained_by: int | None
    explained_at: float
    forgotten_at: float
    recorded: bool = False

    @property
    def in_force(self) -> bool:
        """Whether requests with the part are refused, but for trials."""
        return trio.current_time() >= self.in_force_at

    def admits_trial(self, explained: bool) -> bool:
        """Returns whether a request may try the part now.

        Args:
            explained: Whether `explained_by` is quarantined, and the request
                does not have it.
        """
        now = trio.current_time()
        return now >= self.opens_at or (explained and now >= self.explained_at)

    def note_refused(self) -> None:
        """Records that a request was refused: the part is not forgotten yet."""
        self.forgotten_at = trio.current_time() + KEEP_SECONDS
        self.recorded = False

    def begin_trial(self) -> None:
        """Records that a request tries the part."""
        self.opens_at = trio.current_time() + TRIAL_SECONDS
        self.explained_at = self.opens_at


def make(
    part: int,
    router: str,
    strike: int,
    since: float,
    grace: float = 0.0,
    answered_before: bool = False,
    explained_by: int | None = None,
    recorded: bool = False,
) -> Quarantine:
    """Returns a quarantine that begins now.

    Args:
        part: Key of the part.
        router: The router, by which its trials are spread.
        strike: How often it was found to crash upstreams.
        since: Router clock of the first crash.
        grace: Seconds in which a success elsewhere may still clear it.
        answered_before: Whether the part was answered here before.
        explained_by: A part that all requests had with which it was at
            crashes.
        recorded: Whether it is known from the store alone.
    """
    now = trio.current_time()
    draw = hashing.hash64(f'{part:016x}', router) / hashing.MAX_HASH
    first = ANSWERED_HOLD_SECONDS if answered_before else FIRST_HOLD_SECONDS
    hold = hold_seconds(strike, first)
    hold += draw * max(MIN_SPREAD_SECONDS, SPREAD_FRACTION * hold)
    explained = EXPLAINED_HOLD_SECONDS + draw * EXPLAINED_SPREAD_SECONDS
    return Quarantine(
        strike,
        since,
        now + grace,
        now + hold,
        explained_by,
        now + grace + explained,
        now + KEEP_SECONDS,
        recorded,
    )


def hold_seconds(strike: int, first: float) -> float:
    """Returns the time without trials after a strike.

    Args:
        strike: Number of the strike.
        first: The time after the first strike.
    """
    multiple = HOLD_MULTIPLE ** min(strike - FIRST_STRIKE, MAX_EXPONENT)
    return min(first * multiple, MAX_HOLD_SECONDS)
