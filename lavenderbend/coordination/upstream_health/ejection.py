"""Outlier ejection and damping of upstreams that flap."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs
import trio

if TYPE_CHECKING:
    from collections.abc import Iterable


@attrs.frozen
class EjectionSettings:
    """When upstreams are held back, and for how long.

    Attributes:
        failures: Failures in a row that eject an upstream.
        window: Seconds in which failures are weighed against successes.
        error_share: Share of failures in the window that ejects.
        min_requests: Requests in the window below which no share counts.
        base_hold: Seconds of the first ejection; each further one that
            follows soon doubles it.
        max_hold: Longest hold, in seconds.
        half_life: Seconds in which half of the memory of earlier
            ejections and returns fades.
        flaps: Returns, after fading, from which an upstream is damped.
        reuse: Returns, after fading, below which it is used again.
        max_share: Largest share of a service that is held back.
    """

    failures: int = 5
    window: float = 10.0
    error_share: float = 0.5
    min_requests: int = 10
    base_hold: float = 2.0
    max_hold: float = 300.0
    half_life: float = 60.0
    flaps: float = 2.0
    reuse: float = 0.75
    max_share: float = 0.34


@attrs.define
class Fading:
    """A count that halves with each half-life.

    Attributes:
        half_life: Seconds.
        count: Value at `at`.
        at: Router clock of the last change.
    """

    half_life: float
    count: float = 0.0
    at: float = 0.0

    def value(self) -> float:
        """Returns the count as it has faded by now."""
        elapsed = trio.current_time() - self.at
        return self.count * 0.5 ** (elapsed / self.half_life)

    def add(self, amount: float = 1.0, limit: float = math.inf) -> None:
        """Adds to the count, up to a limit."""
        self.count = min(self.value() + amount, limit)
        self.at = trio.current_time()


@attrs.define
class Health:
    """What attempts have shown of one upstream.

    Attributes:
        in_row: Failures since the last success.
        failures: Failures, fading.
        successes: Successes, fading.
        ejections: Ejections, fading.
        returns: Returns after an absence, fading.
        ejected_until: Router clock at which the ejection ends.
        damped: Whether it is held back for flapping.
    """

    failures: Fading
    successes: Fading
    ejections: Fading
    returns: Fading
    in_row: int = 0
    ejected_until: float = -math.inf
    damped: bool = False


class Ejector:
    """Holds back upstreams that fail or flap.

    Attributes:
        settings: The limits.
        states: By upstream id; forgotten by `forget`.
        suspects: Those that may be held back; looked at often, so few.
    """

    def __init__(self, settings: EjectionSettings | None = None) -> None:
        self.settings = settings or EjectionSettings()
        self.states: dict[str, Health] = {}
        self.suspects: set[str] = set()

    def state(self, upstream: str) -> Health:
        """Returns the state of an upstream."""
        if upstream not in self.states:
            window = self.settings.window
            half_life = self.settings.half_life
            self.states[upstream] = Health(
                failures=Fading(window),
                successes=Fading(window),
                ejections=Fading(half_life),
                returns=Fading(half_life),
            )
        return self.states[upstream]

    def forget(self, known: Iterable[str]) -> None:
        """Drops the states of upstreams that are not known any more."""
        keep = set(known)
        for upstream in list(self.states):
            if upstream not in keep:
                del self.states[upstream]
                self.suspects.discard(upstream)

    def note_success(self, upstream: str) -> None:
        """Notes an attempt that the upstream answered."""
        state = self.state(upstream)
        state.in_row = 0
        state.successes.add()

    def note_failure(self, upstream: str) -> bool:
        """Notes an attempt that failed; returns whether that ejects."""
        state = self.state(upstream)
        state.in_row += 1
        state.failures.add()
        if trio.current_time() < state.ejected_until:
            return False
        if not self.is_outlier(state):
            return False
        self.eject(state)
        self.suspects.add(upstream)
        return True

    def is_outlier(self, state: Health) -> bool:
        """Returns whether the failures of an upstream are too many."""
        if state.in_row >= self.settings.failures:
            return True
        failures = state.failures.value()
        total = failures + state.successes.value()
        if total < self.settings.min_requests:
            return False
        return failures / total >= self.settings.error_share

    def eject(self, state: Health) -> None:
        """Begins a hold that is longer the more of them came lately."""
        doubling = state.ejections.value()
        hold = self.settings.base_hold * 2.0 ** min(doubling, 32.0)
        hold = min(hold, self.settings.max_hold)
        state.ejected_until = trio.current_time() + hold
        state.ejections.add()
        # judged anew after the hold, not by what led to it
        state.in_row = 0
        state.failures = Fading(self.settings.window)
        state.successes = Fading(self.settings.window)

    def note_return(self, upstream: str) -> None:
        """Notes that an upstream is back after it was away.

        An upstream that comes and goes moves chats to and fro and loses
        their prompt caches each time. Its returns add up and fade; from
        `flaps` on it gets nothing until they have faded below `reuse`, so
        a single restart costs nothing and a flapping one settles.
        """
        state = self.state(upstream)
        state.returns.add(limit=4.0 * self.settings.flaps)
        if state.returns.value() >= self.settings.flaps:
            state.damped = True
            self.suspects.add(upstream)

    def why(self, upstream: str) -> str | None:
        """Returns why an upstream had better be held back, if it had."""
        if upstream not in self.suspects:
            return None
        state = self.states[upstream]
        left = state.ejected_until - trio.current_time()
        if left > 0:
            return f'ejected for failures, {left:.1f} s left'
        if state.damped and state.returns.value() < self.settings.reuse:
            state.damped = False
        if state.damped:
            return f'flapping, {state.returns.value():.2f} returns'
        self.suspects.discard(upstream)
        return None

    def held(self, members: Iterable[str]) -> frozenset[str]:
        """Returns which of a service's upstreams are held back.

        A fault of the network or a bad release makes many upstreams fail
        at once. Were all of them ejected, the rest would be overloaded and
        fail next. So no more than the share is held: those that have been
        worst.
        """
        members = list(members)
        limit = math.floor(self.settings.max_share * len(members))
        suspects = self.suspects.intersection(members)
        held = [name for name in suspects if self.why(name) is not None]
        if len(held) <= limit:
            return frozenset(held)
        held.sort(key=lambda name: (-self.badness(name), name))
        return frozenset(held[:limit])

    def badness(self, upstream: str) -> float:
        """Returns how much an upstream has failed and flapped lately."""
        state = self.state(upstream)
        return state.ejections.value() + state.returns.value()
