"""Selection of the upstream of a service that a request is sent to."""

from __future__ import annotations

from collections.abc import Set  # noqa: TC003 - attrs reads it
import math
from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend.coordination.forwarding import directory
from lavenderbend.protocol import counts
from lavenderbend.state import decisions
from lavenderbend.state import hashing

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Sequence

    from lavenderbend.coordination.forwarding import health as health_module
    from lavenderbend.coordination.forwarding import loads as loads_module
    from lavenderbend.coordination.forwarding import (
        rejection_limits as rejection_limits_module,
    )
    from lavenderbend.state import forwarding

# Share of the load factor's excess over 1.0 that this router uses. It does not
# see what other routers send before their next message, so its own bound has
# to stay below the one that the fleet must keep.
LOCAL_BOUND_FRACTION = 0.8
# Requests allowed beyond the multiple of the mean. At a mean of one or two,
# one more request has no noticeable effect, while a chat that has to move gets
# its prompt processed again.
EXTRA_REQUESTS = 2
# Lower limit of the bound on requests at one upstream, whatever the mean.
MIN_BOUND_REQUESTS = 3

# Share of its slots from which an upstream counts as busy. Services answer more
# slowly as they fill, and a request between zones takes less than 2 ms longer.
BUSY_FRACTION = 0.5

PROMPT_CACHED = 'prompt cached'
LEAST_LOADED = 'least loaded'
ALL_OVER_BOUND = 'all over bound'
ALL_AVOIDED = 'all avoided'
ALL_PAUSED = 'none wants requests'
ALL_CLOSED = 'those that want requests are warming up'
ALL_FULL = 'those that want requests are full'
ALL_DRAINED = 'all are in drained zones'
NONE_IN_REGIONS = 'none is in the allowed regions: '
NONE_OF_VERSION = 'none runs the software version that began the stream'
# Reasons why an upstream is passed over.
OVER_BOUND = 'over bound'
ALREADY_TRIED = 'had the request'
RECENT_FAILURES = 'failed lately'
PAUSED = 'wants none'
WARMING_UP = 'warming up'
NO_ROOM = 'full'
# Parts of a prompt, from the first on, that other requests may share.
MAX_SHARED_PARTS = 16
MAX_TOKEN_DIGITS = 9
# After this time an upstream with a rejection limit may have room again.
ROOM_SECONDS = 0.3


@attrs.frozen
class PromptPart:
    """A part of a prompt that other requests may share.

    Attributes:
        id: Identifies the text: equal texts have equal ids.
        tokens: Its length.
    """

    id: str
    tokens: int


def parse_parts(text: str | None) -> tuple[PromptPart, ...]:
    """Parses `ID:TOKENS,ID:TOKENS`; returns no parts if it is malformed."""
    if not text:
        return ()
    parts = []
    for field in text.split(','):
        name, _, tokens = field.strip().partition(':')
        size = counts.parse_count(tokens, MAX_TOKEN_DIGITS)
        if not name or size is None:
            return ()
        parts.append(PromptPart(name, size))
    return tuple(parts)


def affinity_key(parts: Sequence[PromptPart]) -> str:
    """Returns the key that requests with the same cached prompt share.

    With three parts or more, the last one is the text of the request itself;
    the part before it identifies the chat, including all earlier parts.
    """
    if len(parts) < 3:
        return parts[-1].id
    return parts[-2].id


@attrs.frozen
class RequestPrompt:
    """The prompt of a request, as far as it affects the choice of upstream.

    Attributes:
        parts: Parts of the prompt, empty if the request has none.
    """

    parts: tuple[PromptPart, ...] = ()

    @property
    def chat(self) -> str:
        """Affinity key of the request's chat, empty without a prompt."""
        return affinity_key(self.parts) if self.parts else ''

    @property
    def shared_ids(self) -> list[str]:
        """Ids of the first parts, without the one of this request alone."""
        return [part.id for part in self.parts[:-1][:MAX_SHARED_PARTS]]


@attrs.frozen
class Choice:
    """The upstream chosen for a request, and why.

    Attributes:
        upstream: The upstream, None if there is none to send to.
        reason: Why this one was chosen, or why there is none.
        load: Requests at the upstream, as far as this router knows.
        allowed: The bound on that number.
        passed_over: Upstreams that were not chosen, and why.
        retry_after_seconds: Seconds until the first paused upstream accepts
            requests again, 0 if pauses are not why there is no upstream.
        full: Whether there is none because upstreams with a rejection limit
            are full.
    """

    upstream: forwarding.Upstream | None
    reason: str = ''
    load: int = 0
    allowed: int = 0
    passed_over: tuple[decisions.PassedOver, ...] = ()
    retry_after_seconds: float = 0.0
    full: bool = False


@attrs.frozen
class Exclusions:
    """Upstreams that a request is not sent to while there are others.

    Attributes:
        used: Instances that the request was already sent to.
        avoided: Instances that failed recently.
        bound: Requests that each of the other upstreams may hold.
        paused: Instances that asked for no requests. The request is not sent
            there even if there are no others.
        warming_up: Instances that are cold and may not be sent this request
            now, even if there are no others.
        full: Instances with a rejection limit that may be sent no request now,
            even if there are no others.
    """

    used: Set[str]
    avoided: Set[str]
    bound: int
    paused: Set[str] = frozenset()
    warming_up: Set[str] = frozenset()
    full: Set[str] = frozenset()

    @property
    def names(self) -> set[str]:
        """All excluded instances."""
        return {*self.used, *self.avoided, *self.closed}

    @property
    def closed(self) -> Set[str]:
        """The instances that are not used even if there are no others."""
        if not self.warming_up and not self.full:
            return self.paused
        return {*self.paused, *self.warming_up, *self.full}

    def reason(self, name: str) -> str:
        """Returns why an upstream is excluded, empty if it is not."""
        if name in self.paused:
            return PAUSED
        if name in self.warming_up:
            return WARMING_UP
        if name in self.full:
            return NO_ROOM
        if name in self.used:
            return ALREADY_TRIED
        return RECENT_FAILURES if name in self.avoided else ''


class UsableUpstreams:
    """Upstreams that a request may be sent to, in its chat's preference order.

    Attributes:
        candidates: The upstreams of the service.
        exclusions: Those of them that the request is not sent to.
        remaining: Instances in preference order that were not examined yet.
        order: The usable instances found so far, in preference order.
    """

    def __init__(
        self,
        candidates: directory.Candidates,
        exclusions: Exclusions,
        chat: str,
    ) -> None:
        self.candidates = candidates
        self.exclusions = exclusions
        self.remaining = candidates.rendezvous.order(chat)
        self.order: list[str] = []

    def has(self, name: str) -> bool:
        """Returns whether an upstream is usable."""
        return name in self.candidates.by_name and not self.exclusions.reason(
            name
        )

    def next(self, skipped: Collection[str]) -> forwarding.Upstream | None:
        """Returns the most preferred upstream that is not skipped, if any."""
        for name in self.order:
            if name not in skipped:
                return self.candidates.by_name[name]
        for name in self.remaining:
            if self.exclusions.reason(name):
                continue
            self.order.append(name)
            if name not in skipped:
                return self.candidates.by_name[name]
        return None


class Chooser:
    """Chooses upstreams by what this router knows.

    Attributes:
        availability_zone: This router's zone.
        load_factor: No upstream is loaded above this multiple of the mean.
        rejection_limits: Limits the rejections at upstreams that crash of too
            many, None for no limit.
    """

    def __init__(
        self,
        availability_zone: str,
        upstreams: directory.Directory,
        health: health_module.Health,
        loads: loads_module.Loads,
        load_factor: float,
    ) -> None:
        self.availability_zone = availability_zone
        self.directory = upstreams
        self.health = health
        self.loads = loads
        self.load_factor = load_factor
        self.rejection_limits: (
            rejection_limits_module.RejectionLimits | None
        ) = None

    def choose(
        self,
        service: str,
        prompt: RequestPrompt,
        used: Collection[str],
        tie_break: str,
        selection: directory.Selection = directory.EVERY_UPSTREAM,
        warming_up: Collection[str] = (),
    ) -> Choice:
        """Chooses the upstream that a request is sent to.

        Args:
            service: The service.
            prompt: The request's prompt.
            used: Instances that the request was already sent to.
            tie_break: Decides between equally ranked upstreams.
            selection: Which upstreams of the service it may be sent to.
            warming_up: Cold instances that may not be sent the request now.
        """
        candidates = self.directory.candidates(service, selection)
        if not candidates.by_name:
            return Choice(None, self.cause_of_none(service, selection))
        instances = candidates.by_name.keys()
        exclusions = self.exclusions(
            candidates,
            self.bound_sample(service, selection, candidates),
            used,
            warming_up,
        )
        if len(exclusions.closed) == len(instances):
            return self.all_closed(instances, exclusions)
        if len(exclusions.names) == len(instances):
            names = instances - exclusions.used - exclusions.closed
            return self.least_loaded(
                candidates, names, tie_break, exclusions, ALL_AVOIDED
            )
        if prompt.parts:
            return self.by_prompt(candidates, prompt.chat, exclusions)
        names = instances - exclusions.names
        return self.least_loaded(
            candidates, names, tie_break, exclusions, LEAST_LOADED
        )

    def cause_of_none(
        self, service: str, selection: directory.Selection
    ) -> str:
        """Returns why a service has no upstream, empty if none is known."""
        in_regions = directory.Selection(selection.regions)
        if self.directory.candidates(service, in_regions).by_name:
            return NONE_OF_VERSION
        if self.directory.candidates(service).by_name:
            return NONE_IN_REGIONS + ', '.join(sorted(selection.regions))
        if self.directory.has_drained(service):
            return ALL_DRAINED
        return ''

    def usable(
        self,
        service: str,
        prompt: RequestPrompt,
        used: Collection[str],
        selection: directory.Selection = directory.EVERY_UPSTREAM,
        warming_up: Collection[str] = (),
    ) -> UsableUpstreams:
        """Returns the upstreams that a request may be sent to."""
        candidates = self.directory.candidates(service, selection)
        exclusions = self.exclusions(
            candidates,
            self.bound_sample(service, selection, candidates),
            used,
            warming_up,
        )
        return UsableUpstreams(candidates, exclusions, prompt.chat)

    def bound_sample(
        self,
        service: str,
        selection: directory.Selection,
        candidates: directory.Candidates,
    ) -> Collection[str]:
        """Returns the upstreams that the mean load is taken from.

        They are of all versions: one with few upstreams must not raise the
        bound.
        """
        if selection.software_id is not None:
            candidates = self.directory.candidates(
                service, directory.Selection(selection.regions)
            )
        return candidates.rendezvous.sample

    def exclusions(
        self,
        candidates: directory.Candidates,
        sample: Collection[str],
        used: Collection[str],
        warming_up: Collection[str] = (),
    ) -> Exclusions:
        """Returns the upstreams that a request is not sent to.

        Args:
            candidates: The upstreams that it may be sent to.
            sample: Upstreams that the mean load is taken from.
            used: Instances that the request was already sent to.
            warming_up: Cold instances that may not be sent the request now.
        """
        instances = candidates.by_name.keys()
        paused = instances & self.health.paused().keys()
        warming = instances & set(warming_up) if warming_up else frozenset()
        tried = instances & set(used)
        full: Set[str] = frozenset()
        if self.rejection_limits is not None:
            full = self.rejection_limits.full(candidates.by_name.values())
        closed = paused | warming | full
        if len(tried | closed) == len(instances):
            # The request was sent to every upstream that accepts requests:
            # one of them gets it again.
            tried = frozenset()
        avoided = instances & self.health.deprioritized()
        bound = self.load_bound(sample)
        return Exclusions(tried, avoided, bound, paused, warming, full)

    def any_accepts(
        self,
        service: str,
        selection: directory.Selection = directory.EVERY_UPSTREAM,
    ) -> bool:
        """Returns whether any upstream of a service accepts requests now."""
        instances = self.directory.candidates(service, selection).by_name.keys()
        return bool(instances - self.health.paused().keys())

    def all_closed(
        self, instances: Collection[str], exclusions: Exclusions
    ) -> Choice:
        """Returns the choice if no upstream may be sent a request now."""
        passed_over = [
            decisions.PassedOver(name, exclusions.reason(name))
            for name in instances
        ]
        if exclusions.warming_up - exclusions.paused:
            return Choice(None, ALL_CLOSED, passed_over=tuple(passed_over))
        if exclusions.full - exclusions.paused:
            return Choice(
                None,
                ALL_FULL,
                passed_over=tuple(passed_over),
                retry_after_seconds=ROOM_SECONDS,
                full=True,
            )
        paused_until = self.health.paused()
        soonest = min(paused_until[name] for name in instances)
        return Choice(
            None,
            ALL_PAUSED,
            passed_over=tuple(passed_over),
            retry_after_seconds=soonest - trio.current_time(),
        )

    def load_bound(self, sample: Collection[str]) -> int:
        """Returns the bound on requests at one upstream.

        Args:
            sample: Upstreams of the service that the mean load is taken from;
                all of them if they are few.
        """
        total = self.loads.total(sample) + 1
        mean = total / len(sample)
        factor = 1.0 + LOCAL_BOUND_FRACTION * (self.load_factor - 1.0)
        bound = math.ceil(mean * factor) + EXTRA_REQUESTS
        return max(MIN_BOUND_REQUESTS, bound)

    def by_prompt(
        self, candidates: directory.Candidates, key: str, exclusions: Exclusions
    ) -> Choice:
        """Returns the key's most preferred upstream below the load bound.

        The preference order is the same in all zones. With a separate
        preferred upstream in each of four zones, half of all prompt tokens
        were processed repeatedly; with one preferred upstream for each chat
        it is 6 in 100. The traffic between zones that separate upstreams
        saved brought no gain for any of three customers.
        """
        passed_over: list[decisions.PassedOver] = []
        for name in candidates.rendezvous.order(key):
            reason = exclusions.reason(name)
            load = self.loads.load(name)
            if not reason and load < exclusions.bound:
                upstream = candidates.by_name[name]
                return Choice(
                    upstream,
                    PROMPT_CACHED,
                    load,
                    exclusions.bound,
                    tuple(passed_over),
                )
            reason = reason or OVER_BOUND
            passed_over.append(decisions.PassedOver(name, reason))
        names = candidates.by_name.keys() - exclusions.names
        return self.least_loaded(
            candidates, names, key, exclusions, ALL_OVER_BOUND
        )

    def in_other_zone(self, upstream: forwarding.Upstream) -> bool:
        """Returns whether an upstream is in another zone than this router."""
        return upstream.vm.availability_zone != self.availability_zone

    def load_rank(
        self, candidate: forwarding.Upstream
    ) -> tuple[bool, bool, float]:
        """Returns the rank of an upstream by load; the least comes first.

        Expired loads must have been removed.
        """
        load = self.loads.unexpired_load(candidate.instance)
        utilization = load / max(1, candidate.slots)
        remote = utilization < 1.0 and self.in_other_zone(candidate)
        return utilization >= BUSY_FRACTION, remote, utilization

    def least_loaded(
        self,
        candidates: directory.Candidates,
        names: Collection[str],
        tie_break: str,
        exclusions: Exclusions,
        reason: str,
    ) -> Choice:
        """Returns the least loaded upstream.

        Upstreams that are not busy come first, and among upstreams with free
        slots those of this router's zone. Equally ranked ones are ordered by
        hash.
        """
        self.loads.remove_expired()
        equal: list[forwarding.Upstream] = []
        least = None
        for name in names:
            candidate = candidates.by_name[name]
            rank = self.load_rank(candidate)
            if least is None or rank < least:
                least = rank
                equal.clear()
            if rank == least:
                equal.append(candidate)
        upstream = min(
            equal, key=lambda one: hashing.hash64(tie_break, one.instance)
        )
        passed_over = [
            decisions.PassedOver(name, exclusions.reason(name))
            for name in sorted(exclusions.names.difference(names))
        ]
        load = self.loads.load(upstream.instance)
        return Choice(
            upstream, reason, load, exclusions.bound, tuple(passed_over)
        )
