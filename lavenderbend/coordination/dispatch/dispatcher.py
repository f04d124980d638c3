"""The path of each request through a router."""

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
    """Takes requests through rules, permits and attempts to an answer.

    Attributes:
        name: Id of this router.
        configurations: The accepted configuration.
        rules: Finds the rule of a request.
        claims: The claims log, or None: then non-idempotent requests are
            refused.
        limits: Limits of the customers, or None.
        parts: The collaborators of the attempts.
        rule_limits: Limits that rules set.
        in_progress: Requests that have not ended.
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
        """Returns the answer to a request, its first piece already here.

        Raises:
            RequestError: There is none; it says what the caller may
                conclude.
        """
        chat = chat_hash(request)
        decision = records.begin(request, chat)
        hop = spans.Hop('dispatch', request.headers, trace.SpanKind.INTERNAL)
        hop.note('request.id', request.id)
        finish = functools.partial(self.finish, request, decision, hop)
        self.components.decisions.add(decision)
        self.in_progress += 1
        try:
            return await self.route(request, decision, chat, hop, finish)
        except trio.Cancelled:
            finish(errors.CallerGone('the caller went away'))
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
        """Finds the rule and runs the request as it says."""
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
        """Returns the first rule that matches, if it does not reject."""
        rule = self.rules.match(revision, request)
        if rule is None:
            decision.revision = revision.number
            raise errors.NoRuleMatched('no rule matches the request')
        records.note_rule(decision, revision, rule)
        if rule.then.reject is not None:
            raise errors.RejectedByRule(rule.then.reject)
        return rule

    def check_quarantine(self, request: requests.Request) -> int:
        """Returns the fingerprint of a request that may be sent."""
        quarantine = self.components.quarantine
        if quarantine is None:
            return 0
        fingerprint = request_fingerprint(request)
        quarantine.check(fingerprint)
        return fingerprint

    def note_request(self, pool: str) -> None:
        """Counts the traffic that the retry budget is a share of."""
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
        # a caller that goes away during the claim leaves it committed or not;
        # going on to the outcome answers its next copy in either case
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

        Shielded by its caller: without its outcome, the claim would leave
        every further copy of the request unanswered.
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
        """Notes the end of a request."""
        self.in_progress -= 1
        records.end(decision, request.arrived, error)
        hop.end(decision.error)


def chat_hash(request: requests.Request) -> int:
    """Returns the hash of customer and chat key, 0 for no chat."""
    if request.chat_key is None:
        return 0
    return hashing.hash64(request.customer, request.chat_key)


def request_fingerprint(request: requests.Request) -> int:
    """Returns the hash by which a request is known that crashes upstreams.

    A caller sends it again with other spaces, or streamed in place of whole:
    of a chat request only what the engine works on counts.
    """
    body = request.body
    if request.model is not None:
        body = openai.work_of(body)
    return hashing.hash64(request.customer, request.path, body)


def apply_rule(
    rule: configuration.Rule, request: requests.Request
) -> requests.Request:
    """Returns the request with the model and adapter that the rule gives."""
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
    """Returns the headers that go to the caller."""
    headers = dict(start.headers)
    # the length is that of the bytes passed on, which a further attempt
    # may make another one
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
    """Returns the answer to a further copy of a request that has run.

    Raises:
        RequestError: The first copy did not end well.
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
