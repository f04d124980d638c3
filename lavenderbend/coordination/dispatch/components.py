"""Components and settings of the request path."""

from __future__ import annotations

import collections
from typing import Protocol
from typing import TYPE_CHECKING

import attrs

from lavenderbend.coordination import retries
from lavenderbend.coordination.dispatch import pacing
from lavenderbend.protocol import http_limits

if TYPE_CHECKING:
    from collections.abc import MutableMapping
    import random

    from lavenderbend.coordination import interfaces
    from lavenderbend.state import configuration
    from lavenderbend.state import decisions
    from lavenderbend.state import requests


class Rules(Protocol):
    """Finds the rule of a request."""

    def match(
        self, revision: configuration.Revision, request: requests.Request
    ) -> configuration.Rule | None:
        """Returns the first rule that matches, None if there is none."""


class CustomerLimits(Protocol):
    """Limits the requests of each customer."""

    def check(self, customer: str) -> None:
        """Counts a request, or raises `CustomerOverLimit`."""


class Quarantine(Protocol):
    """Tracks requests that crash the upstreams that run them."""

    def check(self, fingerprint: int) -> None:
        """Raises `RequestQuarantined` for a quarantined request."""

    def suspect(self, fingerprint: int) -> bool:
        """Returns whether an upstream crashed while it ran the request."""

    def may_retry(self, fingerprint: int) -> bool:
        """Returns whether a further attempt may be made."""

    def survived(self, fingerprint: int) -> None:
        """Records that an upstream completed the request."""

    async def crashed(
        self,
        fingerprint: int,
        upstream: str,
        instance: str,
        in_progress: int,
        ran: float,
    ) -> None:
        """Records that an upstream crashed while it ran the request."""

    async def wait_notices(self, fingerprint: int) -> None:
        """Waits for other routers' notices, which `may_retry` needs."""


@attrs.frozen
class DispatchSettings:
    """Times and sizes of the request path.

    Attributes:
        answers: Limits on the answers of upstreams.
        held_bytes: An answer whose Content-Length is at most this is
            buffered until it is complete, so that it can be retried without
            the caller noticing.
        retries: Backoff and budgets of retries.
        crash_check_seconds: Timeout for checking whether an upstream that
            lost a request has crashed.
        retry_after_seconds: Retry-After sent to callers whose request was
            not run.
        pacing: Pacing of streams in favour of short calls.
        answer_ids_contain_request_id: Whether engines include the request's
            id in the `id` of a chat answer. An answer without it then
            belongs to another request.
        require_idempotency_key: Whether a non-idempotent request without an
            Idempotency-Key is refused.
    """

    answers: http_limits.AnswerLimits = attrs.field(
        factory=http_limits.AnswerLimits
    )
    held_bytes: int = 64 * http_limits.KIB
    retries: retries.RetrySettings = attrs.field(factory=retries.RetrySettings)
    crash_check_seconds: float = 0.5
    retry_after_seconds: float = 1.0
    pacing: pacing.PacingSettings = attrs.field(factory=pacing.PacingSettings)
    answer_ids_contain_request_id: bool = True
    require_idempotency_key: bool = True


@attrs.frozen
class Components:
    """Components of the request path.

    Attributes:
        admission: Grants permits.
        upstream_client: Sends requests.
        membership: Gets the results of upstreams by `note_result` and
            `note_draining`.
        quarantine: Tracks requests that crash upstreams, or None.
        retry_budgets: Budgets by pool, or None for no budget.
        decisions: Store of decision records.
        rng: Random source of the backoff's jitter.
        settings: Times and sizes.
        pacer: Sets the pause between two pieces of a stream.
        open_attempts: Number of attempts in progress, by upstream.
    """

    admission: interfaces.Admission
    upstream_client: interfaces.UpstreamClient
    membership: interfaces.Membership
    quarantine: Quarantine | None
    retry_budgets: MutableMapping[str, retries.RetryBudget] | None
    decisions: decisions.DecisionStore
    rng: random.Random
    settings: DispatchSettings
    pacer: pacing.RelayPacer
    open_attempts: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )

    def in_progress(self, upstream: str) -> int:
        """Returns this router's number of attempts at an upstream."""
        return self.open_attempts[upstream]

    def budget(self, pool: str) -> retries.RetryBudget | None:
        """Returns the retry budget of a pool, None if there is no limit."""
        if self.retry_budgets is None:
            return None
        budget = self.retry_budgets.get(pool)
        if budget is None:
            budget = retries.RetryBudget(self.settings.retries)
            self.retry_budgets[pool] = budget
        return budget

    def expected_answer_id(self, request_id: str) -> str:
        """Returns text that the id of a chat answer must contain."""
        return request_id if self.settings.answer_ids_contain_request_id else ''
