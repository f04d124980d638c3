"""Checks of what must always hold, from callers' and upstreams' records."""

from __future__ import annotations

import bisect
import collections
import math
from typing import TYPE_CHECKING

import attrs

from lavenderbend.standin import engine_texts
from tests.integration import callers

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

Told = callers.Told
CLOCK_ERROR = 0.05  # seconds between the clocks of two processes


@attrs.frozen
class Run:
    """One run as its upstream recorded it, on the test's clock.

    Attributes:
        upstream: VM id.
        request_id: Id that the router gave.
        key: Idempotency-Key, empty for none.
        started: When it started.
        ended: When it ended, infinite if it did not.
    """

    upstream: str
    request_id: str
    key: str
    started: float
    ended: float = math.inf


@attrs.frozen
class Violation:
    """Something that must never happen, and did.

    Attributes:
        rule: Name of the checker.
        what: The facts.
        at: When it happened, on the test's clock; 0 if that is not known.
    """

    rule: str
    what: str
    at: float = 0.0


def whole_answers(calls: Iterable[callers.Call]) -> list[Violation]:
    """Each answer that counts as whole is the right one, to the letter."""
    found = []
    for call in calls:
        if call.kind != 'chat' or call.told is not Told.COMPLETE:
            continue
        if call.text != engine_texts.answer_text(call.request_id, call.body):
            found.append(Violation('whole-answers', f'{call}'))
    return found


def not_run(
    calls: Sequence[callers.Call], runs: Sequence[Run]
) -> list[Violation]:
    """What was told 'not run' had not run when that was told."""
    by_id = {run.request_id: run for run in runs}
    by_key = {run.key: run for run in runs if run.key}
    found = []
    for call in calls:
        if call.told is not Told.NOT_RUN:
            continue
        run = by_id.get(call.request_id)
        if run is not None:
            found.append(Violation('not-run', f'{call}: {run}'))
        run = by_key.get(call.key)
        if run is not None and run.started < call.ended - CLOCK_ERROR:
            found.append(Violation('not-run', f'{call}: {run}'))
    return found


def at_most_once(runs: Iterable[Run]) -> list[Violation]:
    """No Idempotency-Key ran twice, on whatever upstreams."""
    by_key = collections.defaultdict(list)
    for run in runs:
        if run.key:
            by_key[run.key].append(run)
    return [
        Violation('at-most-once', f'{items}')
        for items in by_key.values()
        if len(items) > 1
    ]


def once_told_truly(
    calls: Iterable[callers.Call], runs: Iterable[Run]
) -> list[Violation]:
    """What was told 'complete' has run."""
    keys = {run.key for run in runs}
    return [
        Violation('told-complete', f'{call}')
        for call in calls
        if call.kind == 'once'
        and call.told is Told.COMPLETE
        and call.key not in keys
    ]


def nothing_cut(calls: Iterable[callers.Call]) -> list[Violation]:
    """No answer ended before its end without a typed error."""
    return [
        Violation('nothing-cut', f'{call}')
        for call in calls
        if call.told is Told.BROKEN
    ]


def nothing_new(
    runs: Iterable[Run], upstream: str, since: float
) -> list[Violation]:
    """An upstream that leaves got nothing new from a moment on."""
    return [
        Violation('nothing-new', f'{run}')
        for run in runs
        if run.upstream == upstream and run.started > since
    ]


def loads_at_starts(
    runs: Sequence[Run], engines: Sequence[str]
) -> list[tuple[Run, collections.Counter]]:
    """Returns each start with the load of every engine just after it."""
    events = [(run.ended, 0, run) for run in runs if run.ended < math.inf]
    events += [(run.started, 1, run) for run in runs]
    events.sort(key=lambda event: event[:2])
    loads = collections.Counter(dict.fromkeys(engines, 0))
    found = []
    for _, starts, run in events:
        if run.upstream not in loads:
            continue
        loads[run.upstream] += 1 if starts else -1
        if starts:
            found.append((run, loads.copy()))
    return found


def bounded_load(
    runs: Sequence[Run],
    engines: Sequence[str],
    bound: float,
    floor: int,
    slack: int = 1,
) -> list[Violation]:
    """No engine starts work above the bound, but for messages on the way.

    Requests that were admitted together start within some milliseconds, on
    engines whose clocks are known to within `CLOCK_ERROR`: in which order is
    not known. The mean is the highest that it may have been at the start.
    """
    found = []
    starts = loads_at_starts(runs, engines)
    moments = [run.started for run, _ in starts]
    for run, loads in starts:
        first = bisect.bisect_left(moments, run.started - CLOCK_ERROR)
        last = bisect.bisect_right(moments, run.started + CLOCK_ERROR)
        running = max(sum(near.values()) for _, near in starts[first:last])
        mean = running / len(engines)
        limit = max(floor, math.ceil(bound * mean)) + slack
        if loads[run.upstream] > limit:
            found.append(
                Violation(
                    'bounded-load',
                    f'{run}: {dict(loads)} > {limit}',
                    run.started,
                )
            )
    return found


def unpermitted(
    runs: Iterable[Run], permits: Iterable[Run], engines: Sequence[str]
) -> list[Violation]:
    """Each run of an engine lies within a permit for it.

    So the load of an engine is at most the permits for it, whose number
    `bounded_load` bounds.
    """
    held = collections.defaultdict(list)
    for permit in permits:
        held[permit.request_id, permit.upstream].append(permit)
    return [
        Violation('unpermitted', f'{run}', run.started)
        for run in runs
        if run.upstream in engines
        and not any(
            permit.started <= run.started + CLOCK_ERROR
            and run.ended <= permit.ended + CLOCK_ERROR
            for permit in held[run.request_id, run.upstream]
        )
    ]


def never_back(seen: Iterable[tuple[str, int]]) -> list[Violation]:
    """The revision that callers see of a router never goes back."""
    newest: dict[str, int] = {}
    found = []
    for router, number in seen:
        if number < newest.get(router, 0):
            found.append(
                Violation(
                    'never-back',
                    f'{router}: {number} after {newest[router]}',
                )
            )
        newest[router] = max(number, newest.get(router, 0))
    return found
