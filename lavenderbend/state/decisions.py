"""Records of the routing decisions for requests and their reasons."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterator

DEFAULT_CAPACITY = 5000


@attrs.frozen
class PassedOver:
    """A candidate that was not chosen.

    Attributes:
        upstream: VM id.
        reason: Short fixed text, such as `over bound` or `ejected`.
    """

    upstream: str
    reason: str


@attrs.define
class Attempt:
    """An attempt to run a request on an upstream.

    Attributes:
        upstream: VM id.
        owner: Id of the router that granted the permit; the entry router
            itself if degraded.
        permit: Id of the permit.
        reason: Why this upstream was chosen, such as `held chat`.
        passed_over: Candidates that were not chosen.
        waited: Seconds spent waiting for the permit.
        started: Router clock (trio seconds) when the request was sent.
        first_byte: Seconds from `started` to the answer's first byte.
        finished: Seconds from `started` to the end of the attempt.
        result: `complete`, or the name of the error type.
        copied_from: Upstream from which cached prompt parts were to be
            copied, with the reason to expect them there; empty for none.
        relay: Router through which the upstream was reached, empty for none.
        software: Version of the upstream's software, empty if none is known.
    """

    upstream: str
    owner: str = ''
    permit: str = ''
    reason: str = ''
    passed_over: tuple[PassedOver, ...] = ()
    waited: float = 0.0
    started: float = 0.0
    first_byte: float | None = None
    finished: float | None = None
    result: str = ''
    copied_from: str = ''
    relay: str = ''
    software: str = ''


@attrs.define
class Decision:
    """All decisions made for a request.

    Attributes:
        id: Id of the decision; the request's id.
        customer: Name of the customer.
        method: HTTP method.
        path: HTTP path.
        model: Model named by the caller.
        chat: Hash of customer and chat key, in hex.
        revision: Number of the configuration revision of the rules.
        rule: Name of the first rule that matched.
        pool: Pool that the request was sent to.
        priority: Name of the priority.
        attempts: Attempts in order.
        outcome: Outcome value sent to the caller.
        error: Name of the error type sent to the caller, if any.
        detail: Message of that error.
        at: Time of arrival, in seconds since the epoch.
        duration: Seconds from arrival to the end of the request.
        idempotency_key: The caller's key, if any.
        adapter: Adapter named by the caller.
        availability_zone: Zone of the entry router.
        headers: Headers that rules can match, as selected by
            `rules.recorded_headers`.
    """

    id: str
    customer: str = ''
    method: str = ''
    path: str = ''
    model: str = ''
    chat: str = ''
    revision: int = 0
    rule: str = ''
    pool: str = ''
    priority: str = ''
    attempts: list[Attempt] = attrs.field(factory=list)
    outcome: str = ''
    error: str = ''
    detail: str = ''
    at: float = 0.0
    duration: float = 0.0
    idempotency_key: str = ''
    adapter: str = ''
    availability_zone: str = ''
    headers: dict[str, str] = attrs.field(factory=dict)


class DecisionStore:
    """In-memory store of the latest decisions, bounded in number."""

    def __init__(self, capacity: int = DEFAULT_CAPACITY) -> None:
        self.capacity = capacity
        self.entries: collections.OrderedDict[str, Decision] = (
            collections.OrderedDict()
        )

    def add(self, decision: Decision) -> None:
        """Stores a decision; evicts the oldest if the store is full."""
        self.entries[decision.id] = decision
        while len(self.entries) > self.capacity:
            self.entries.popitem(last=False)

    def get(self, decision_id: str) -> Decision | None:
        """Returns a decision, or None if it is unknown or was evicted."""
        return self.entries.get(decision_id)

    def __iter__(self) -> Iterator[Decision]:
        return reversed(self.entries.values())
