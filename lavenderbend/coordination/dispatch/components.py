"""What a dispatcher is put together from."""

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
    """Knows requests that crash the upstreams that run them."""

    def check(self, fingerprint: int) -> None:
        """Raises `RequestQuarantined` for a quarantined request."""

    def suspect(self, fingerprint: int) -> bool:
        """Returns whether an upstream died while it ran the request."""

    def may_retry(self, fingerprint: int) -> bool:
        """Returns whether a further attempt may be made."""

    def survived(self, fingerprint: int) -> None:
        """Notes that an upstream ran the request to its end."""

    async def crashed(
        self,
        fingerprint: int,
        upstream: str,
        instance: str,
        in_progress: int,
        ran: float,
    ) -> None:
        """Notes that an upstream died while it ran the request."""

    async def wait_notices(self, fingerprint: int) -> None:
        """Waits until `may_retry` knows what other routers had there."""


@attrs.frozen
class DispatchSettings:
    """Times and sizes of the request path.

    Attributes:
        answers: Limits on the answers of upstreams.
        held_bytes: An answer that states at most this length is held until
            it is whole, so that it can be tried again unseen.
        retries: Pauses and budgets of further attempts.
        crash_check_seconds: Time for finding out whether an upstream that
            lost a request has crashed.
        retry_after_seconds: Told to callers whose request was not run.
        pacing: When and how far streams give way to short calls.
        answers_named_by_request: Whether engines take the request's id over
            into the `id` of a chat answer; an answer without it is then
            somebody else's.
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
    """The collaborators of the request path.

    Attributes:
        admission: Gives permits.
        upstream_client: Sends requests.
        membership: Is told how upstreams do; has `note_result` and
            `note_draining`.
        quarantine: Knows requests that crash upstreams, or None.
        retry_budgets: Budgets by pool, or None for no budget.
        decisions: Where decisions are kept.
        rng: Jitter of the pauses between attempts.
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
        """Returns how many attempts this router has at an upstream."""
        return self.open_attempts[upstream]

    def budget(self, pool: str) -> retries.RetryBudget | None:
        """Returns the retry budget of a pool, None if there is no bound."""
        if self.retry_budgets is None:
            return None
        budget = self.retry_budgets.get(pool)
        if budget is None:
            budget = retries.RetryBudget(self.settings.retries)
            self.retry_budgets[pool] = budget
        return budget

    def expected_answer_id(self, request_id: str) -> str:
        """Returns what the id of a chat answer must hold."""
        return request_id if self.settings.answer_ids_contain_request_id else ''
