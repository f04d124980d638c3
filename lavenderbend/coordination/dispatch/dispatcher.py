"""The path of a request through a router."""

from __future__ import annotations

import functools
from typing import Any
from typing import TYPE_CHECKING

import attrs
from opentelemetry import trace
import trio

from lavenderbend import errors
from lavenderbend.coordination.dispatch import answers
from lavenderbend.coordination.dispatch import at_most_once
from lavenderbend.coordination.dispatch import components as component_types
from lavenderbend.coordination.dispatch import exchange as exchange_module
from lavenderbend.coordination.dispatch import pacing
from lavenderbend.coordination.dispatch import records
from lavenderbend.coordination.dispatch import rule_limits
from lavenderbend.observe import spans
from lavenderbend.protocol import openai
from lavenderbend.state import claims as claims_state
from lavenderbend.state import hashing

if TYPE_CHECKING:
    from collections.abc import MutableMapping
    import random

    from lavenderbend.coordination import interfaces
    from lavenderbend.coordination import retries
    from lavenderbend.state import configuration
    from lavenderbend.state import decisions
    from lavenderbend.state import requests

CONTENT_LENGTH = 'content-length'
OK = 200


class Dispatcher:
    """Processes requests: rules, limits, permits, attempts, answer.

    Attributes:
        name: Id of this router.
        configurations: The accepted configuration.
        rules: Finds the rule of a request.
        claims: The claims log. If None, non-idempotent requests are refused.
        limits: Limits of the customers, or None.
        components: Components of the request path.
        rule_limits: Limits that rules set.
        in_progress: Number of requests that have not ended.
    """

    def __init__(
        self,
        name: str,
        configurations: interfaces.Configurations,
        rules: component_types.Rules,
        admission: interfaces.Admission,
        upstream_client: interfaces.UpstreamClient,
        membership: interfaces.Membership,
        claims: Any | None,
        quarantine: Any | None,
        limits: component_types.CustomerLimits | None,
        decisions: decisions.DecisionStore,
        retry_budgets: MutableMapping[str, retries.RetryBudget] | None,
        rng: random.Random,
        settings: component_types.DispatchSettings | None = None,
    ) -> None:
        self.name = name
        self.configurations = configurations
        self.rules = rules
        self.claims = claims
        self.limits = limits
        settings = settings or component_types.DispatchSettings()
        self.components = component_types.Components(
            admission=admission,
            upstream_client=upstream_client,
            membership=membership,
            quarantine=quarantine,
            retry_budgets=retry_budgets,
            decisions=decisions,
            rng=rng,
            settings=settings,
            pacer=pacing.RelayPacer(rng, settings.pacing),
        )
        self.rule_limits = rule_limits.RuleLimits(membership)
        self.in_progress = 0

    async def dispatch(self, request: requests.Request) -> answers.Answer:
        """Returns the answer to a request once its first piece is received.

        Raises:
            RequestError: There is no answer; the error tells the caller
                whether the request may have run.
        """
        chat = chat_hash(request)
        decision = records.begin(request, chat)
        hop = spans.Hop('dispatch', request.headers, trace.SpanKind.INTERNAL)
        hop.set_attribute('request.id', request.id)
        finish = functools.partial(self.finish, request, decision, hop)
        self.components.decisions.add(decision)
        self.in_progress += 1
        try:
            return await self.route(request, decision, chat, hop, finish)
        except trio.Cancelled:
            finish(errors.CallerGone('the caller disconnected'))
            raise
        except BaseException as exc:
            finish(exc)
            raise

    async def route(
        self,
        request: requests.Request,
        decision: decisions.Decision,
        chat: int,
        hop: spans.Hop,
        finish: Any,
    ) -> answers.Answer:
        """Finds the rule of a request and runs the request by it."""
        revision = self.configurations.current()
        rule = self.find_rule(revision, request, decision)
        if self.limits is not None:
            self.limits.check(request.customer)
        self.rule_limits.check(rule, request.customer)
        sent = apply_rule(rule, request)
        fingerprint = self.check_quarantine(sent)
        exchange = exchange_module.Exchange(
            self.components, sent, rule, decision, fingerprint, chat, hop
        )
        if not rule.then.idempotent:
            return await self.run_once(exchange, finish)
        self.note_request(decision.pool)
        first = await exchange.begin()
        start = exchange.attempt.answer.start
        length = exchange.buffered_length(first)
        headers = answer_headers(start, self.name, length)
        return answers.Answer(
            start.status, headers, decision.id, first, exchange, finish
        )

    def find_rule(
        self,
        revision: configuration.Revision,
        request: requests.Request,
        decision: decisions.Decision,
    ) -> configuration.Rule:
        """Returns the first rule that matches; raises if it rejects."""
        rule = self.rules.match(revision, request)
        if rule is None:
            decision.revision = revision.number
            raise errors.NoRuleMatched('no rule matches the request')
        records.note_rule(decision, revision, rule)
        if rule.then.reject is not None:
            raise errors.RejectedByRule(rule.then.reject)
        return rule

    def check_quarantine(self, request: requests.Request) -> int:
        """Returns a request's fingerprint; raises if it is quarantined."""
        quarantine = self.components.quarantine
        if quarantine is None:
            return 0
        fingerprint = request_fingerprint(request)
        quarantine.check(fingerprint)
        return fingerprint

    def note_request(self, pool: str) -> None:
        """Counts a request in the retry budget of its pool."""
        budget = self.components.budget(pool)
        if budget is not None:
            budget.note_request()

    async def run_once(
        self, exchange: exchange_module.Exchange, finish: Any
    ) -> answers.Answer:
        """Runs a request that may run at most once."""
        key = at_most_once.check_key(exchange.request)
        if self.claims is None:
            raise errors.ClaimUnavailable(
                'no claims log',
                exchange.components.settings.retry_after_seconds,
            )
        # if the caller disconnects during the claim, the claim may or may not
        # be committed; continuing to an outcome answers the next copy of the
        # request in both cases
        with trio.CancelScope(shield=True):
            claim = await self.claims.claim(
                exchange.request.customer,
                key,
                at_most_once.digest(exchange.request),
                exchange.deadline,
            )
            if isinstance(claim, claims_state.Recorded):
                return replay_answer(exchange, claim, finish)
            body = await self.run_claimed(exchange, claim.token)
        start = exchange.attempt.answer.start
        headers = answer_headers(start, self.name, len(body))
        return answers.Answer(
            start.status, headers, exchange.decision.id, body, None, finish
        )

    async def run_claimed(
        self, exchange: exchange_module.Exchange, token: Any
    ) -> bytes:
        """Runs a claimed request and records its outcome.

        Shielded from cancellation by the calling method: a claim without an
        outcome would leave every further copy of the request unanswered.
        """
        outcome, status = errors.Outcome.UNKNOWN, None
        try:
            body = await at_most_once.run_to_end(exchange)
            outcome = errors.Outcome.COMPLETE
            status = exchange.attempt.answer.start.status
        except errors.RequestError as exc:
            outcome, status = exc.outcome, exc.status
            raise
        finally:
            await at_most_once.record_outcome(
                self.claims, token, outcome, status
            )
        return body

    def finish(
        self,
        request: requests.Request,
        decision: decisions.Decision,
        hop: spans.Hop,
        error: BaseException | None,
    ) -> None:
        """Records the end of a request."""
        self.in_progress -= 1
        records.end(decision, request.arrived, error)
        hop.end(decision.error)


def chat_hash(request: requests.Request) -> int:
    """Returns the hash of customer and chat key, 0 for no chat."""
    if request.chat_key is None:
        return 0
    return hashing.hash64(request.customer, request.chat_key)


def request_fingerprint(request: requests.Request) -> int:
    """Returns the hash that identifies a request for the quarantine.

    A caller may send a request that crashes upstreams again with other
    whitespace, or streamed instead of not: of a chat request only the fields
    that the engine works on are hashed.
    """
    body = request.body
    if request.model is not None:
        body = openai.canonical_input(body)
    return hashing.hash64(request.customer, request.path, body)


def apply_rule(
    rule: configuration.Rule, request: requests.Request
) -> requests.Request:
    """Returns the request with the model and adapter set by the rule."""
    then = rule.then
    if request.model is None or (then.model is None and then.adapter is None):
        return request
    return attrs.evolve(
        request,
        body=openai.rewrite(request.body, then.model, then.adapter),
        model=then.model or request.model,
        adapter=then.adapter or request.adapter,
    )


def answer_headers(
    start: interfaces.AnswerStart, router: str, length: int | None
) -> dict[str, str]:
    """Returns the headers sent to the caller."""
    headers = dict(start.headers)
    # the upstream's length is dropped: a further attempt may change the
    # number of relayed bytes
    headers.pop(CONTENT_LENGTH, None)
    if length is not None:
        headers[CONTENT_LENGTH] = str(length)
    headers['x-router'] = router
    return headers


def replay_answer(
    exchange: exchange_module.Exchange,
    recorded: claims_state.Recorded,
    finish: Any,
) -> answers.Answer:
    """Returns the answer to a further copy of a request that ran.

    Raises:
        RequestError: The first copy failed or its outcome is unknown.
    """
    at_most_once.replays.inc({})
    at_most_once.check_recorded(recorded)
    status = recorded.status or OK
    body = at_most_once.replay_body(recorded.outcome, status)
    headers = {
        'content-type': 'application/json',
        CONTENT_LENGTH: str(len(body)),
        at_most_once.REPLAYED: '1',
    }
    return answers.Answer(
        status, headers, exchange.decision.id, body, None, finish
    )
