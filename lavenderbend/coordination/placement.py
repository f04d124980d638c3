"""Which upstream of a group a request goes to."""

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
TESTED = 'runs another suspect request'

# reasons that hold for the moment only
MAY_PASS = (OVER_BOUND, FULL, OTHER_OWNER)
ROUNDING = 1e-9
LARGE_MEAN = 16.0
# the mean may fall after a request was admitted; a tenth is kept for that
KEPT_PART = 0.9

# positions go over the wire: append only
REASONS = (
    HELD_CHAT,
    LEAST_LOADED,
    OVER_BOUND,
    FULL,
    OTHER_OWNER,
    AVOIDED,
    NO_ADAPTER,
    OWN_SHARE,
    TESTED,
)
REASON_NUMBERS = {reason: number for number, reason in enumerate(REASONS)}


def reason_text(number: int) -> str:
    """Returns a reason by its number; a newer router may know more."""
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
        room: Permits that may be added by what other owners may be doing,
            None if there is no other owner.
        adapter: Whether it has the adapter loaded, if one is asked for.
        avoided: Whether an earlier attempt used it.
        tested: Whether it runs a suspect request, if this one is suspect.
    """

    upstream: str
    instance: str
    load: int
    room: int | None = None
    adapter: bool = True
    avoided: bool = False
    tested: bool = False


@attrs.frozen
class Choice:
    """What was decided.

    Attributes:
        upstream: VM id, None if every candidate was passed over.
        reason: Why this upstream.
        passed_over: Pairs of VM id and reason, those tried before it.
    """

    upstream: str | None
    reason: str = ''
    passed_over: tuple[tuple[str, str], ...] = ()


def allowed_load(
    pool: configuration.Pool, load: int, count: int, unseen: float = 0.0
) -> int:
    """Returns the highest load that the bound allows on one upstream.

    The mean counts the new request. Some upstream is always at or below the
    mean, so the next whole number above it must be allowed. While one
    request is a large part of the mean the bound is rounded up: rounded
    down, returning chats would find no room at their place. Above that the
    load also stays under c times the mean while the mean falls.

    Args:
        pool: Bound, floor and hard limit.
        load: Load of all upstreams together, the new request not counted.
        count: How many upstreams.
        unseen: Requests that may have ended already, their releases being
            on the way: counted in, they would raise the bound.
    """
    mean = (load + 1) / count
    sure = max(0.0, load + 1 - unseen) / count
    if mean < LARGE_MEAN:
        bound = math.ceil(pool.bound * sure - ROUNDING)
    else:
        inner = 1 + KEPT_PART * (pool.bound - 1)
        bound = math.floor(inner * sure + ROUNDING)
    allowed = max(pool.floor, math.ceil(mean - ROUNDING), bound)
    return min(allowed, pool.max_load)


def order(
    candidates: Sequence[Candidate],
    places: Sequence[placements.Place],
    tie_break: int,
) -> list[tuple[Candidate, str]]:
    """Returns the candidates in the order of trying, with the reasons.

    Where the chat's context was last comes first, the others by their load:
    new chats fill what is empty, and those that return find room at their
    place.

    Args:
        candidates: The upstreams.
        places: Where the chat's context was, the latest first.
        tie_break: Decides between equal loads.
    """
    by_name = {candidate.upstream: candidate for candidate in candidates}
    tried: list[tuple[Candidate, str]] = []
    for place in places:
        held = by_name.get(place.upstream)
        if held is None or held.instance != place.instance:
            continue
        del by_name[place.upstream]
        tried.append((held, HELD_CHAT))
    ranked = least_loaded(by_name.values(), tie_break)
    return [*tried, *((one, LEAST_LOADED) for one in ranked)]


def least_loaded(
    candidates: Iterable[Candidate], tie_break: int
) -> list[Candidate]:
    """Returns the candidates by rising load."""
    key = tie_break.to_bytes(8, 'big')

    def rank(candidate: Candidate) -> tuple[bool, int, int]:
        lot = hashing.hash64(key, candidate.upstream)
        return not candidate.adapter, candidate.load, lot

    return sorted(candidates, key=rank)


def choose(
    tried: Sequence[tuple[Candidate, str]], allowed: int, max_load: int
) -> Choice:
    """Returns the first candidate that is not passed over.

    Args:
        tried: Candidates in the order of trying.
        allowed: Highest load that the bound allows.
        max_load: Hard limit of an upstream.
    """
    passed_over: list[tuple[str, str]] = []
    for candidate, reason in tried:
        refused = refusal(candidate, allowed, max_load)
        if not refused:
            return Choice(candidate.upstream, reason, tuple(passed_over))
        passed_over.append((candidate.upstream, refused))
    return Choice(None, passed_over=tuple(passed_over))


def refusal(candidate: Candidate, allowed: int, max_load: int) -> str:
    """Returns why the candidate cannot take a request, empty if it can."""
    if candidate.avoided:
        return AVOIDED
    if candidate.tested:
        return TESTED
    if candidate.load >= max_load:
        return FULL
    if candidate.load >= allowed:
        return OVER_BOUND
    if candidate.room is not None and candidate.room <= 0:
        return OTHER_OWNER
    return ''
