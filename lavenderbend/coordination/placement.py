"""Chooses the upstream of a group that a request is sent to."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from lavenderbend.state import hashing

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from lavenderbend.state import configuration
    from lavenderbend.state import placements

HELD_CHAT = 'held chat'
LEAST_LOADED = 'least loaded'
OVER_BOUND = 'over bound'
FULL = 'at max load'
OTHER_OWNER = 'headroom shared with another owner'
AVOIDED = 'used by an earlier attempt'
NO_ADAPTER = 'adapter not loaded'
OWN_SHARE = 'own share of the last report'
RUNS_SUSPECT = 'runs another suspect request'

# reasons that may cease to apply when other requests end
TEMPORARY_REASONS = (OVER_BOUND, FULL, OTHER_OWNER)
ROUNDING_TOLERANCE = 1e-9
# mean load from which on the bound is rounded down
LARGE_MEAN_LOAD = 16.0
# The mean may fall after a request was admitted: a tenth of the margin above
# the mean is reserved for that.
USABLE_MARGIN_FRACTION = 0.9

# The positions are part of the peer protocol: only append.
REASONS = (
    HELD_CHAT,
    LEAST_LOADED,
    OVER_BOUND,
    FULL,
    OTHER_OWNER,
    AVOIDED,
    NO_ADAPTER,
    OWN_SHARE,
    RUNS_SUSPECT,
)
REASON_NUMBERS = {reason: number for number, reason in enumerate(REASONS)}


def reason_text(number: int) -> str:
    """Returns the text of a reason by its number.

    A router of a newer version may send a number that is not in `REASONS`.
    """
    if 0 <= number < len(REASONS):
        return REASONS[number]
    return f'reason {number}'


@attrs.define
class Candidate:
    """An upstream that could take the request.

    Attributes:
        upstream: VM id.
        instance: Instance of its process, empty if unknown.
        load: Its load now, as far as known.
        headroom: Permits that may be added while another owner may be
            active, None if there is no other owner.
        adapter: Whether it has the adapter loaded, if the request needs one.
        avoided: Whether an earlier attempt used it.
        runs_suspect: Whether it runs a suspect request, if this one is
            suspect.
    """

    upstream: str
    instance: str
    load: int
    headroom: int | None = None
    adapter: bool = True
    avoided: bool = False
    runs_suspect: bool = False


@attrs.frozen
class Choice:
    """The chosen upstream and why.

    Attributes:
        upstream: VM id, None if every candidate was passed over.
        reason: Why this upstream was chosen.
        passed_over: Pairs of VM id and reason, for those tried before it.
    """

    upstream: str | None
    reason: str = ''
    passed_over: tuple[tuple[str, str], ...] = ()


def allowed_load(
    pool: configuration.Pool, load: int, count: int, possibly_ended: float = 0.0
) -> int:
    """Returns the highest load that the bound allows on one upstream.

    The mean includes the new request. Some upstream is always at or below
    the mean, so the next integer above it must be allowed. While one request
    is a large part of the mean the bound is rounded up: rounded down, it
    would leave no headroom for returning chats at the upstream that holds
    their context. From a mean of `LARGE_MEAN_LOAD` on it is rounded down and
    has a margin, so that the load stays below `pool.bound` times the mean
    even while the mean falls.

    Args:
        pool: Gives bound, floor and hard limit.
        load: Load of all upstreams together, without the new request.
        count: Number of upstreams.
        possibly_ended: Requests that may have ended although their releases
            have not arrived: if counted, they would raise the bound.
    """
    mean = (load + 1) / count
    certain_mean = max(0.0, load + 1 - possibly_ended) / count
    if mean < LARGE_MEAN_LOAD:
        bound = math.ceil(pool.bound * certain_mean - ROUNDING_TOLERANCE)
    else:
        factor = 1 + USABLE_MARGIN_FRACTION * (pool.bound - 1)
        bound = math.floor(factor * certain_mean + ROUNDING_TOLERANCE)
    allowed = max(pool.floor, math.ceil(mean - ROUNDING_TOLERANCE), bound)
    return min(allowed, pool.max_load)


def order(
    candidates: Sequence[Candidate],
    places: Sequence[placements.Place],
    tie_break: int,
) -> list[tuple[Candidate, str]]:
    """Returns the candidates in the order to try them, with the reasons.

    The upstreams that hold the chat's context come first, the others follow
    by rising load. So new chats go to idle upstreams, and returning ones find
    headroom at the upstream that holds their context.

    Args:
        candidates: The upstreams.
        places: Where the chat's context was, the latest first.
        tie_break: Determines the order between equal loads.
    """
    by_name = {candidate.upstream: candidate for candidate in candidates}
    ordered: list[tuple[Candidate, str]] = []
    for place in places:
        holder = by_name.get(place.upstream)
        if holder is None or holder.instance != place.instance:
            continue
        del by_name[place.upstream]
        ordered.append((holder, HELD_CHAT))
    ranked = least_loaded(by_name.values(), tie_break)
    return [*ordered, *((candidate, LEAST_LOADED) for candidate in ranked)]


def least_loaded(
    candidates: Iterable[Candidate], tie_break: int
) -> list[Candidate]:
    """Returns the candidates by rising load.

    Those with the adapter come first. Equal loads are ordered by a hash.
    """
    key = tie_break.to_bytes(8, 'big')

    def rank(candidate: Candidate) -> tuple[bool, int, int]:
        tie_hash = hashing.hash64(key, candidate.upstream)
        return not candidate.adapter, candidate.load, tie_hash

    return sorted(candidates, key=rank)


def choose(
    ordered: Sequence[tuple[Candidate, str]], allowed: int, max_load: int
) -> Choice:
    """Returns the first candidate that is not passed over.

    Args:
        ordered: Candidates in the order to try them, with the reasons.
        allowed: Highest load that the bound allows.
        max_load: Hard limit of an upstream.
    """
    passed_over: list[tuple[str, str]] = []
    for candidate, reason in ordered:
        refused = refusal_reason(candidate, allowed, max_load)
        if not refused:
            return Choice(candidate.upstream, reason, tuple(passed_over))
        passed_over.append((candidate.upstream, refused))
    return Choice(None, passed_over=tuple(passed_over))


def refusal_reason(candidate: Candidate, allowed: int, max_load: int) -> str:
    """Returns why the candidate cannot take a request, empty if it can."""
    if candidate.avoided:
        return AVOIDED
    if candidate.runs_suspect:
        return RUNS_SUSPECT
    if candidate.load >= max_load:
        return FULL
    if candidate.load >= allowed:
        return OVER_BOUND
    if candidate.headroom is not None and candidate.headroom <= 0:
        return OTHER_OWNER
    return ''
