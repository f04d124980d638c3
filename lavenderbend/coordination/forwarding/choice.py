"""Which upstream of a service a request is sent to."""

from __future__ import annotations

from collections.abc import Set  # noqa: TC003 - attrs reads it
import math
from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend.state import decisions
from lavenderbend.state import hashing

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Sequence

    from lavenderbend.coordination.forwarding import directory
    from lavenderbend.coordination.forwarding import health as health_module
    from lavenderbend.coordination.forwarding import loads as loads_module
    from lavenderbend.state import forwarding

# what other routers send before their next message is not seen: the bound
# here stays under the one that must hold by a part of what is above the mean
BOUND_PART = 0.8
# beside the multiple of the mean: one more request is felt by nobody where the
# mean is one or two, and a chat that has to move is read anew
ALWAYS_MORE = 2
# requests that any upstream may hold whatever the mean
ALWAYS_ALLOWED = 3

# of its slots; a service answers slower as it fills, and a request between
# zones takes under two milliseconds more
BUSY_PART = 0.5

PROMPT_CACHED = 'prompt cached'
LEAST_LOADED = 'least loaded'
OVER_BOUND = 'all over bound'
AVOIDED = 'all avoided'
UNWANTED = 'none wants requests'
# why an upstream is passed over
OVER_ITS_BOUND = 'over bound'
HAD_IT = 'had the request'
FAILED_LATELY = 'failed lately'
WANTS_NONE = 'wants none'


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
        wanted_in: Seconds until one of those that want no request does, 0 if
            that is not why there is none.
    """

    upstream: forwarding.Upstream | None
    reason: str = ''
    load: int = 0
    allowed: int = 0
    passed_over: tuple[decisions.PassedOver, ...] = ()
    wanted_in: float = 0.0


@attrs.frozen
class Apart:
    """Upstreams that a request does not go to while there are others.

    Attributes:
        used: Instances that have had it.
        avoided: Instances that failed lately.
        bound: Requests that the others may hold.
        unwanting: Instances that want no request; it does not go there if
            there are no others either.
    """

    used: Set[str]
    avoided: Set[str]
    bound: int
    unwanting: Set[str] = frozenset()

    @property
    def names(self) -> set[str]:
        """All of them."""
        return {*self.used, *self.avoided, *self.unwanting}

    def reason(self, name: str) -> str:
        """Returns why an upstream is passed over, empty if it is not."""
        if name in self.unwanting:
            return WANTS_NONE
        if name in self.used:
            return HAD_IT
        return FAILED_LATELY if name in self.avoided else ''


class Usable:
    """Upstreams that a request may go to, in the order of its chat.

    Attributes:
        found: Those of the service.
        apart: Those that it does not go to.
        order: The others; as far as it was asked for.
    """

    def __init__(
        self, found: directory.Candidates, apart: Apart, chat: str
    ) -> None:
        self.found = found
        self.apart = apart
        self.rest = found.places.order(chat)
        self.order: list[str] = []

    def has(self, name: str) -> bool:
        """Returns whether an upstream is one of them."""
        return name in self.found.by_name and not self.apart.reason(name)

    def next(self, passed: Collection[str]) -> forwarding.Upstream | None:
        """Returns the first one that is not passed by, None if none is."""
        for name in self.order:
            if name not in passed:
                return self.found.by_name[name]
        for name in self.rest:
            if self.apart.reason(name):
                continue
            self.order.append(name)
            if name not in passed:
                return self.found.by_name[name]
        return None


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
        found = self.directory.candidates(service)
        if not found.by_name:
            return Choice(None)
        known = found.by_name.keys()
        apart = self.apart(found, used)
        if len(apart.unwanting) == len(known):
            return self.none_wanted(known)
        if len(apart.names) == len(known):
            names = known - apart.used - apart.unwanting
            return self.least_loaded(found, names, tie_break, apart, AVOIDED)
        if need.parts:
            return self.by_prompt(found, need.chat, apart)
        names = known - apart.names
        return self.least_loaded(found, names, tie_break, apart, LEAST_LOADED)

    def usable(self, service: str, need: Need, used: Collection[str]) -> Usable:
        """Returns the upstreams that a request may go to."""
        found = self.directory.candidates(service)
        return Usable(found, self.apart(found, used), need.chat)

    def apart(
        self, found: directory.Candidates, used: Collection[str]
    ) -> Apart:
        """Returns the upstreams that a request does not go to."""
        known = found.by_name.keys()
        unwanting = known & self.health.paused().keys()
        had = known & set(used)
        if len(had | unwanting) == len(known):
            # all have had it: one of them has it again
            had = frozenset()
        avoided = known & self.health.deprioritized()
        bound = self.allowed(found.places.sample)
        return Apart(had, avoided, bound, unwanting)

    def any_wants(self, service: str) -> bool:
        """Returns whether an upstream of a service takes requests now."""
        known = self.directory.candidates(service).by_name.keys()
        return bool(known - self.health.paused().keys())

    def none_wanted(self, known: Collection[str]) -> Choice:
        """Returns that none of some upstreams wants a request now."""
        wanting = self.health.paused()
        soonest = min(wanting[name] for name in known)
        passed = [decisions.PassedOver(name, WANTS_NONE) for name in known]
        return Choice(
            None,
            UNWANTED,
            passed_over=tuple(passed),
            wanted_in=soonest - trio.current_time(),
        )

    def allowed(self, sample: Collection[str]) -> int:
        """Returns the bound on requests at one upstream.

        Args:
            sample: Upstreams of the service, all if they are not many.
        """
        total = self.loads.total(sample) + 1
        mean = total / len(sample)
        factor = 1.0 + BOUND_PART * (self.load_factor - 1.0)
        bound = math.ceil(mean * factor) + ALWAYS_MORE
        return max(ALWAYS_ALLOWED, bound)

    def by_prompt(
        self, found: directory.Candidates, key: str, apart: Apart
    ) -> Choice:
        """Returns the first upstream of the key's order that has room.

        The order is the same in all zones. Read and cached in each of four
        zones, half of all prompt tokens were parts read again; with one
        place for each chat it is 6 in 100, while the bytes between zones
        that this saved earned nothing on any of three customers.
        """
        passed: list[decisions.PassedOver] = []
        for name in found.places.order(key):
            reason = apart.reason(name)
            load = self.loads.load(name)
            if not reason and load < apart.bound:
                upstream = found.by_name[name]
                return Choice(
                    upstream, PROMPT_CACHED, load, apart.bound, tuple(passed)
                )
            reason = reason or OVER_ITS_BOUND
            passed.append(decisions.PassedOver(name, reason))
        names = found.by_name.keys() - apart.names
        return self.least_loaded(found, names, key, apart, OVER_BOUND)

    def far(self, upstream: forwarding.Upstream) -> bool:
        """Returns whether the upstream stands in another zone."""
        return upstream.vm.availability_zone != self.availability_zone

    def least_loaded(
        self,
        found: directory.Candidates,
        names: Collection[str],
        tie_break: str,
        apart: Apart,
        reason: str,
    ) -> Choice:
        """Returns the least loaded; the own zone first while it has slots."""

        def rank(one: forwarding.Upstream) -> tuple[bool, bool, float, int]:
            load = self.loads.load(one.instance)
            busy = load / max(1, one.slots)
            far = self.far(one) and busy < 1.0
            return (
                busy >= BUSY_PART,
                far,
                busy,
                hashing.hash64(tie_break, one.instance),
            )

        upstream = min((found.by_name[name] for name in names), key=rank)
        passed = [
            decisions.PassedOver(name, apart.reason(name))
            for name in sorted(apart.names.difference(names))
        ]
        load = self.loads.load(upstream.instance)
        return Choice(upstream, reason, load, apart.bound, tuple(passed))
