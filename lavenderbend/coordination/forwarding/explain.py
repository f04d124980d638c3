"""Explains the routing of a forwarded request without sending it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend.coordination import explain as explanations
from lavenderbend.coordination.forwarding import choice as choice_module
from lavenderbend.coordination.forwarding import directory as directory_module
from lavenderbend.coordination.forwarding import request_resolver
from lavenderbend.coordination.rules import rules as rules_module

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lavenderbend.state import forwarding

NO_TABLE = 'no configuration was read yet: the caller gets 503'
STALE = 'the configuration was not confirmed lately: the caller gets 503'
NO_CREDENTIAL = 'the customer has no credential: the caller gets 401'
LEAVING = 'leaving'
DRAINED = 'its zone is drained'
OTHER_REGION = 'in a region that is not allowed'


@attrs.frozen
class ExplainRequest:
    """The request to explain.

    Attributes:
        customer: Name of the customer, empty for none.
        method: HTTP method.
        path: Path, with the query if there is one.
        headers: Headers, with names in lower case.
        body_bytes: Size of its body.
    """

    customer: str
    method: str
    path: str
    headers: Mapping[str, str]
    body_bytes: int = 0


class Explainer:
    """Explains what this router would decide for a request now.

    Attributes:
        resolver: Finds the rule and the customer.
        chooser: Chooses the upstream.
    """

    def __init__(
        self,
        resolver: request_resolver.RequestResolver,
        chooser: choice_module.Chooser,
    ) -> None:
        self.resolver = resolver
        self.chooser = chooser

    def explain(self, request: ExplainRequest) -> explanations.Explanation:
        """Returns what would be decided for a request."""
        table = self.resolver.snapshots.table
        if table is None:
            return explanations.Explanation(0, (), verdict=NO_TABLE)
        self.resolver.compile(table)
        steps, rule = self.match(request)
        base = explanations.Explanation(table.version, tuple(steps))
        if rule is None:
            return attrs.evolve(base, verdict=explanations.NO_RULE)
        base = attrs.evolve(base, rule=rule.name, then=rule.then)
        refusal = self.refusal(table, rule, request.customer)
        if refusal:
            return attrs.evolve(base, verdict=refusal)
        return self.explain_upstreams(base, rule.then, request)

    def match(
        self, request: ExplainRequest
    ) -> tuple[list[explanations.RuleStep], forwarding.ForwardRule | None]:
        """Returns the rules that are evaluated, and the one that matches."""
        attributes = rules_module.RequestAttributes(
            customer='',
            method=request.method.upper(),
            path=request.path.partition('?')[0],
            headers=request.headers,
        )
        steps = []
        for compiled in self.resolver.compiled.rules:
            failed = compiled.first_failed_condition(attributes)
            steps.append(explanations.RuleStep(compiled.rule.name, failed))
            if not failed:
                return steps, compiled.rule
        return steps, None

    def refusal(
        self,
        table: forwarding.ForwardingTable,
        rule: forwarding.ForwardRule,
        customer: str,
    ) -> str:
        """Returns why the customer would be refused, empty if it is not."""
        if not table.customers or rule.then.public:
            return ''
        if not self.resolver.snapshots.may_serve_credentials():
            return STALE
        named = [entry for entry in table.customers if entry.name == customer]
        if not any(entry.credentials for entry in named):
            return NO_CREDENTIAL
        return ''

    def explain_upstreams(
        self,
        base: explanations.Explanation,
        then: forwarding.Forward,
        request: ExplainRequest,
    ) -> explanations.Explanation:
        """Returns the explanation with the upstreams of the service."""
        # The request has no id by which its pool is drawn. The pool with the
        # greatest weight is the one that most requests are sent to.
        service = max(then.pools, key=lambda share: share.weight).pool
        prompt = choice_module.RequestPrompt(
            choice_module.parse_parts(
                request.headers.get(self.resolver.headers.prompt_parts)
            )
        )
        regions = request_resolver.allowed_regions(
            then, self.customer(request.customer)
        )
        choice = self.chooser.choose(
            service,
            prompt,
            (),
            request.path,
            directory_module.Selection(regions),
        )
        candidates = self.candidates(service, choice, regions)
        if choice.upstream is None:
            verdict = explanations.NO_UPSTREAM
            if choice.reason:
                verdict = f'{verdict}: {choice.reason}'
            return attrs.evolve(base, candidates=candidates, verdict=verdict)
        return attrs.evolve(
            base,
            allowed_load=choice.allowed,
            candidates=candidates,
            verdict=f'{choice.upstream.instance} {explanations.TAKEN}: '
            f'{choice.reason}',
        )

    def customer(self, name: str) -> forwarding.ForwardCustomer | None:
        """Returns a customer of the version in force, None if there is none."""
        customers = self.resolver.snapshots.table.customers
        return next((entry for entry in customers if entry.name == name), None)

    def candidates(
        self,
        service: str,
        choice: choice_module.Choice,
        regions: frozenset[str] | None,
    ) -> tuple[explanations.CandidateStep, ...]:
        """Returns the verdict on each upstream of a service."""
        current = self.resolver.snapshots.current
        passed_over = {
            entry.upstream: entry.reason for entry in choice.passed_over
        }
        directory = self.chooser.directory
        usable = directory.candidates(service).by_name
        steps = []
        for upstream in current.upstreams.values():
            if upstream.vm.service != service:
                continue
            verdict = passed_over.get(upstream.instance, explanations.LATER)
            if upstream.instance not in usable:
                verdict = LEAVING
            if upstream.vm.availability_zone in directory.drained.zones:
                verdict = DRAINED
            elif not directory.is_in(upstream, regions):
                verdict = OTHER_REGION
            if upstream == choice.upstream:
                verdict = f'{explanations.TAKEN}: {choice.reason}'
            steps.append(self.step(upstream, verdict))
        return tuple(steps)

    def step(
        self, upstream: forwarding.Upstream, verdict: str
    ) -> explanations.CandidateStep:
        """Returns the verdict on one upstream, with its load."""
        loads = self.chooser.loads
        report = loads.reports.get(upstream.instance)
        age = None
        if report is not None:
            age = round(trio.current_time() - report.at, 3)
        return explanations.CandidateStep(
            upstream.instance,
            upstream.vm.availability_zone,
            loads.load(upstream.instance),
            age,
            verdict,
        )
