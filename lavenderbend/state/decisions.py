"""Records of what was decided for a request and why."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterator

DEFAULT_CAPACITY = 5000


@attrs.frozen
class PassedOver:
    """A candidate that was not taken.

    Attributes:
        upstream: VM id.
        reason: Short fixed text, such as `over bound` or `ejected`.
    """

    upstream: str
    reason: str


@attrs.define
class Attempt:
    """One try at an upstream.

    Attributes:
        upstream: VM id.
        owner: Router id that gave the permit; the entry itself if degraded.
        permit: Id of the permit.
        reason: Why this upstream, such as `held chat` or `first choice`.
        passed_over: Candidates that were not taken.
        waited: Seconds spent waiting for the permit.
        started: Router clock when the request was sent.
        first_byte: Seconds from `started` to the answer's first byte.
        finished: Seconds from `started` to the end.
        result: `complete`, or the name of the error type.
        copied_from: Upstream from which cached prompt parts were to be
            copied, and why it may have them; empty for none.
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


@attrs.define
class Decision:
    """Everything decided for one request.

    Attributes:
        id: Id of the decision; the request's id.
        customer: The customer.
        method: HTTP method.
        path: HTTP path.
        model: Model named by the caller.
        chat: Hash of customer and chat key, in hex.
        revision: Configuration revision the rules came from.
        rule: Name of the first rule that matched.
        pool: Pool it was sent to.
        priority: Name of the priority.
        attempts: In order.
        outcome: Outcome value told to the caller.
        error: Name of the error type told to the caller, if any.
        detail: Text of that error.
        at: Seconds since the epoch at arrival.
        duration: Seconds from arrival to the end.
        idempotency_key: The caller's key, if any.
        adapter: Adapter named by the caller.
        availability_zone: Zone of the entry router.
        headers: Headers that rules may look at, by `rules.recorded_headers`.
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
    """The latest decisions, bounded in number."""

    def __init__(self, capacity: int = DEFAULT_CAPACITY) -> None:
        self.capacity = capacity
        self.entries: collections.OrderedDict[str, Decision] = (
            collections.OrderedDict()
        )

    def add(self, decision: Decision) -> None:
        """Keeps the decision, forgetting the oldest when full."""
        self.entries[decision.id] = decision
        while len(self.entries) > self.capacity:
            self.entries.popitem(last=False)

    def get(self, decision_id: str) -> Decision | None:
        """Returns the decision, or None if forgotten or never known."""
        return self.entries.get(decision_id)

    def __iter__(self) -> Iterator[Decision]:
        return reversed(self.entries.values())
