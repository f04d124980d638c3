"""Outlier ejection and flap damping of upstreams."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs
import trio

if TYPE_CHECKING:
    from collections.abc import Iterable


@attrs.frozen
class EjectionSettings:
    """Limits of ejection and flap damping.

    Attributes:
        consecutive_failures: Consecutive failures that eject an upstream.
        window_seconds: Half-life of the counts of failures and successes
            from which the failure fraction is computed.
        failure_fraction: Fraction of failed requests that ejects.
        min_requests: Decayed number of requests below which the fraction is
            not evaluated.
        base_ejection_seconds: Duration of a first ejection; each recent
            ejection doubles it.
        max_ejection_seconds: Maximum duration of an ejection.
        half_life_seconds: Half-life of the counts of earlier ejections and
            returns.
        damping_threshold: Decayed number of returns from which an upstream
            is damped.
        reuse_threshold: Decayed number of returns below which a damped
            upstream is used again.
        max_excluded_fraction: Maximum fraction of the upstreams of a service
            that is ejected or damped.
    """

    consecutive_failures: int = 5
    window_seconds: float = 10.0
    failure_fraction: float = 0.5
    min_requests: int = 10
    base_ejection_seconds: float = 2.0
    max_ejection_seconds: float = 300.0
    half_life_seconds: float = 60.0
    damping_threshold: float = 2.0
    reuse_threshold: float = 0.75
    max_excluded_fraction: float = 0.34


@attrs.define
class DecayingCount:
    """A count with exponential decay.

    Attributes:
        half_life_seconds: Time in which the count halves.
        count: Value at `changed_at`.
        changed_at: Router clock of the last change.
    """

    half_life_seconds: float
    count: float = 0.0
    changed_at: float = 0.0

    def value(self) -> float:
        """Returns the decayed count."""
        elapsed = trio.current_time() - self.changed_at
        return self.count * 0.5 ** (elapsed / self.half_life_seconds)

    def add(self, amount: float = 1.0, limit: float = math.inf) -> None:
        """Adds to the decayed count, up to a limit."""
        self.count = min(self.value() + amount, limit)
        self.changed_at = trio.current_time()


@attrs.define
class UpstreamHealth:
    """Results of attempts at one upstream.

    Attributes:
        failures: Decayed count of failures.
        successes: Decayed count of successes.
        ejections: Decayed count of ejections.
        returns: Decayed count of returns after an absence.
        consecutive_failures: Failures since the last success.
        ejected_until: Router clock at which the ejection ends.
        damped: Whether it is excluded for flapping.
    """

    failures: DecayingCount
    successes: DecayingCount
    ejections: DecayingCount
    returns: DecayingCount
    consecutive_failures: int = 0
    ejected_until: float = -math.inf
    damped: bool = False


class Ejector:
    """Excludes upstreams that fail or flap.

    Attributes:
        settings: Limits of ejection and flap damping.
        states: By upstream id; removed by `remove_unlisted`.
        excludable: Upstreams that were ejected or damped when last checked;
            a small set, because it is checked often.
    """

    def __init__(self, settings: EjectionSettings | None = None) -> None:
        self.settings = settings or EjectionSettings()
        self.states: dict[str, UpstreamHealth] = {}
        self.excludable: set[str] = set()

    def state(self, upstream: str) -> UpstreamHealth:
        """Returns the state of an upstream."""
        if upstream not in self.states:
            window = self.settings.window_seconds
            half_life = self.settings.half_life_seconds
            self.states[upstream] = UpstreamHealth(
                failures=DecayingCount(window),
                successes=DecayingCount(window),
                ejections=DecayingCount(half_life),
                returns=DecayingCount(half_life),
            )
        return self.states[upstream]

    def remove_unlisted(self, listed: Iterable[str]) -> None:
        """Removes the states of upstreams that are no longer listed."""
        keep = set(listed)
        for upstream in list(self.states):
            if upstream not in keep:
                del self.states[upstream]
                self.excludable.discard(upstream)

    def note_success(self, upstream: str) -> None:
        """Records an attempt that the upstream answered."""
        state = self.state(upstream)
        state.consecutive_failures = 0
        state.successes.add()

    def note_failure(self, upstream: str) -> bool:
        """Records a failed attempt; returns whether it causes an ejection."""
        state = self.state(upstream)
        state.consecutive_failures += 1
        state.failures.add()
        if trio.current_time() < state.ejected_until:
            return False
        if not self.is_outlier(state):
            return False
        self.eject(state)
        self.excludable.add(upstream)
        return True

    def is_outlier(self, state: UpstreamHealth) -> bool:
        """Returns whether the failures of an upstream justify an ejection."""
        if state.consecutive_failures >= self.settings.consecutive_failures:
            return True
        failures = state.failures.value()
        total = failures + state.successes.value()
        if total < self.settings.min_requests:
            return False
        return failures / total >= self.settings.failure_fraction

    def eject(self, state: UpstreamHealth) -> None:
        """Ejects an upstream, for longer the more recent ejections it had."""
        doublings = state.ejections.value()
        seconds = self.settings.base_ejection_seconds * 2.0 ** min(
            doublings, 32.0
        )
        seconds = min(seconds, self.settings.max_ejection_seconds)
        state.ejected_until = trio.current_time() + seconds
        state.ejections.add()
        # results that led to the ejection must not cause the next one
        state.consecutive_failures = 0
        state.failures = DecayingCount(self.settings.window_seconds)
        state.successes = DecayingCount(self.settings.window_seconds)

    def note_return(self, upstream: str) -> None:
        """Records that an upstream is back after an absence.

        Each time an upstream leaves and returns, chats move between
        upstreams and their prompt caches are lost. The decayed count of
        returns damps an upstream at `damping_threshold`: it gets no requests
        until the count is below `reuse_threshold`. A single restart stays
        below the threshold.
        """
        state = self.state(upstream)
        state.returns.add(limit=4.0 * self.settings.damping_threshold)
        if state.returns.value() >= self.settings.damping_threshold:
            state.damped = True
            self.excludable.add(upstream)

    def reason(self, upstream: str) -> str | None:
        """Returns why an upstream is ejected or damped, None if it is not."""
        if upstream not in self.excludable:
            return None
        state = self.states[upstream]
        remaining = state.ejected_until - trio.current_time()
        if remaining > 0:
            return f'ejected for failures, {remaining:.1f} s left'
        if (
            state.damped
            and state.returns.value() < self.settings.reuse_threshold
        ):
            state.damped = False
        if state.damped:
            return f'flapping, {state.returns.value():.2f} returns'
        self.excludable.discard(upstream)
        return None

    def excluded(self, members: Iterable[str]) -> frozenset[str]:
        """Returns which upstreams of a service are excluded.

        A network fault or a bad release makes many upstreams fail at once.
        If all of them were excluded, the rest would be overloaded and fail
        next. So at most `max_excluded_fraction` of the members is excluded,
        those with the highest penalty.
        """
        members = list(members)
        limit = math.floor(self.settings.max_excluded_fraction * len(members))
        excludable = self.excludable.intersection(members)
        excluded = [
            name for name in excludable if self.reason(name) is not None
        ]
        if len(excluded) <= limit:
            return frozenset(excluded)
        excluded.sort(key=lambda name: (-self.penalty(name), name))
        return frozenset(excluded[:limit])

    def penalty(self, upstream: str) -> float:
        """Returns the decayed number of ejections and returns."""
        state = self.state(upstream)
        return state.ejections.value() + state.returns.value()
