"""Which upstream of a service a request is sent to."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from lavenderbend.state import decisions
from lavenderbend.state import hashing

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable
    from collections.abc import Sequence

    from lavenderbend.coordination.forwarding import directory
    from lavenderbend.coordination.forwarding import health as health_module
    from lavenderbend.coordination.forwarding import loads as loads_module
    from lavenderbend.state import forwarding

# what other routers send before their next message is not seen: the bound
# here stays under the one that must hold by a part of what is above the mean
BOUND_PART = 0.8
# requests that any upstream may hold whatever the mean
ALWAYS_ALLOWED = 3

# of its slots; a service answers slower as it fills, and a request between
# zones takes under two milliseconds more
BUSY_PART = 0.5

PROMPT_CACHED = 'prompt cached'
LEAST_LOADED = 'least loaded'
OVER_BOUND = 'all over bound'
AVOIDED = 'all avoided'
# why an upstream is passed over
OVER_ITS_BOUND = 'over bound'
HAD_IT = 'had the request'
FAILED_LATELY = 'failed lately'


@attrs.frozen
class PromptPart:
    """A part of a prompt that other requests may share.

    Attributes:
        id: The same for the same text.
        tokens: Its length.
    """

    id: str
    tokens: int


def parse_parts(text: str | None) -> tuple[PromptPart, ...]:
    """Returns the parts of `ID:TOKENS,ID:TOKENS`, none if it is no such."""
    if not text:
        return ()
    parts = []
    for item in text.split(','):
        name, _, tokens = item.strip().partition(':')
        if not name or not tokens.isdigit():
            return ()
        parts.append(PromptPart(name, int(tokens)))
    return tuple(parts)


def placing_key(parts: Sequence[PromptPart]) -> str:
    """Returns what requests with the same cached prompt have in common.

    The last of three parts and more is the request's own text; the chat is
    the one before it, with all that comes earlier.
    """
    if len(parts) < 3:
        return parts[-1].id
    return parts[-2].id


@attrs.frozen
class Need:
    """What a request asks of its upstream.

    Attributes:
        parts: Parts of its prompt, empty if it has none.
    """

    parts: tuple[PromptPart, ...] = ()

    @property
    def chat(self) -> str:
        """What requests of the chat share, empty without a prompt."""
        return placing_key(self.parts) if self.parts else ''


@attrs.frozen
class Choice:
    """What was decided.

    Attributes:
        upstream: The upstream, None if the service has none.
        reason: Why this one.
        load: Requests that it holds, as far as known.
        allowed: The bound on that.
        passed_over: Upstreams that were not taken, and why.
    """

    upstream: forwarding.Upstream | None
    reason: str = ''
    load: int = 0
    allowed: int = 0
    passed_over: tuple[decisions.PassedOver, ...] = ()


def passed_over(
    found: Iterable[forwarding.Upstream], reason: str
) -> tuple[decisions.PassedOver, ...]:
    """Returns upstreams that are not taken for one reason."""
    return tuple(decisions.PassedOver(one.instance, reason) for one in found)


class Chooser:
    """Chooses upstreams.

    Attributes:
        availability_zone: This router's zone.
        load_factor: No upstream is loaded above this multiple of the mean.
    """

    def __init__(
        self,
        availability_zone: str,
        found: directory.Directory,
        health: health_module.Health,
        loads: loads_module.Loads,
        load_factor: float,
    ) -> None:
        self.availability_zone = availability_zone
        self.directory = found
        self.health = health
        self.loads = loads
        self.load_factor = load_factor

    def choose(
        self,
        service: str,
        need: Need,
        used: Collection[str],
        tie_break: str,
    ) -> Choice:
        """Returns where a request goes.

        Args:
            service: The service.
            need: What it asks of its upstream.
            used: Instances that have had it already.
            tie_break: Decides between equal upstreams.
        """
        found = self.directory.of(service)
        if not found:
            return Choice(None)
        bound = self.allowed(found)
        unused = [one for one in found if one.instance not in used]
        well, avoided = self.health.split(unused or found)
        choice = self.choose_among(need, well, avoided, tie_break, bound)
        passed = choice.passed_over
        if well and avoided:
            passed += passed_over(avoided, FAILED_LATELY)
        if used and unused:
            had = [one for one in found if one.instance in used]
            passed += passed_over(had, HAD_IT)
        if passed is choice.passed_over:
            return choice
        return attrs.evolve(choice, passed_over=passed)

    def choose_among(
        self,
        need: Need,
        well: Sequence[forwarding.Upstream],
        avoided: Sequence[forwarding.Upstream],
        tie_break: str,
        bound: int,
    ) -> Choice:
        """Returns the choice among upstreams that are well, if any is."""
        if not well:
            return self.least_loaded(avoided, tie_break, bound, AVOIDED)
        if need.parts:
            return self.by_prompt(well, need.chat, bound)
        return self.least_loaded(well, tie_break, bound, LEAST_LOADED)

    def allowed(self, found: Sequence[forwarding.Upstream]) -> int:
        """Returns the bound on requests at one upstream."""
        total = self.loads.total({one.instance for one in found}) + 1
        mean = total / len(found)
        factor = 1.0 + BOUND_PART * (self.load_factor - 1.0)
        return max(ALWAYS_ALLOWED, math.ceil(mean * factor) + 1)

    def by_prompt(
        self,
        found: Sequence[forwarding.Upstream],
        key: str,
        bound: int,
    ) -> Choice:
        """Returns the first upstream of the key's order that has room.

        The order is the same in all zones. Read and cached in each of four
        zones, half of all prompt tokens were parts read again; with one
        place for each chat it is 6 in 100, while the bytes between zones
        that this saved earned nothing on any of three customers.
        """
        by_name = {one.instance: one for one in found}
        ordered = [by_name[n] for n in hashing.rendezvous_order(key, by_name)]
        for place, upstream in enumerate(ordered):
            load = self.loads.load(upstream.instance)
            if load < bound:
                full = passed_over(ordered[:place], OVER_ITS_BOUND)
                return Choice(upstream, PROMPT_CACHED, load, bound, full)
        return self.least_loaded(found, key, bound, OVER_BOUND)

    def far(self, upstream: forwarding.Upstream) -> bool:
        """Returns whether the upstream stands in another zone."""
        return upstream.vm.availability_zone != self.availability_zone

    def least_loaded(
        self,
        found: Sequence[forwarding.Upstream],
        tie_break: str,
        bound: int,
        reason: str,
    ) -> Choice:
        """Returns the least loaded; the own zone first while it has slots."""

        def rank(one: forwarding.Upstream) -> tuple[bool, float, int]:
            load = self.loads.load(one.instance)
            busy = load / max(1, one.slots)
            far = self.far(one) and busy < 1.0
            return (
                busy >= BUSY_PART,
                far,
                busy,
                hashing.hash64(tie_break, one.instance),
            )

        upstream = min(found, key=rank)
        return Choice(
            upstream, reason, self.loads.load(upstream.instance), bound
        )
