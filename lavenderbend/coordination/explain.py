"""Explains what would be decided for a request, without sending it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend.coordination import placement
from lavenderbend.coordination.rules import rules
from lavenderbend.state import hashing
from lavenderbend.state import upstreams

if TYPE_CHECKING:
    from lavenderbend.coordination import membership as membership_module
    from lavenderbend.state import configuration
    from lavenderbend.state import forwarding
    from lavenderbend.state import requests

NO_RULE = 'no rule matches: the caller gets 404'
REJECTED = 'rejected by the rule: the caller gets 403'
NO_POOL = 'the pool of the rule is not in this revision'
NO_UPSTREAM = 'no upstream of the pool may take new work: the caller gets 503'
ALL_PASSED_OVER = 'every upstream is at its limit: the request would wait'
TAKEN = 'would be taken'
LATER = 'after the one that would be taken'
WRONG_MODEL = 'does not serve the model'
NO_REPORT = 'no load report yet'


@attrs.frozen
class RuleStep:
    """One rule that was tried.

    Attributes:
        rule: Name of the rule.
        failed: First condition that does not hold, empty if the rule matches.
    """

    rule: str
    failed: str


@attrs.frozen
class CandidateStep:
    """One upstream of the pool.

    Candidates are listed in the order in which they would be tried.

    Attributes:
        upstream: VM id.
        availability_zone: Its availability zone.
        load: Load in its latest report, None without one.
        report_age: Seconds since that report was taken, None without one.
        verdict: Whether it would be chosen, or why not.
    """

    upstream: str
    availability_zone: str
    load: int | None
    report_age: float | None
    verdict: str


@attrs.frozen
class Explanation:
    """What would be decided for a request.

    The loads are from the latest reports that this router has. The owner of
    a group also counts its permits and knows which upstream holds a chat's
    context, so it may choose another candidate.

    Attributes:
        revision: Number of the configuration.
        steps: The rules that were tried, in order.
        rule: Name of the rule that matches, empty if none does.
        then: Action of that rule, None without one.
        allowed_load: Highest load that the bound now allows on one upstream.
        candidates: Upstreams of the pool.
        verdict: The result in one line.
    """

    revision: int
    steps: tuple[RuleStep, ...]
    rule: str = ''
    then: configuration.Then | forwarding.Forward | None = None
    allowed_load: int | None = None
    candidates: tuple[CandidateStep, ...] = ()
    verdict: str = ''


def explain(
    revision: configuration.Revision,
    rule_set: rules.RuleSet,
    membership: membership_module.FleetMembership,
    request: requests.Request,
) -> Explanation:
    """Explains what would be decided for a request now."""
    attributes = rules.attributes_of_request(request)
    steps = []
    matched = None
    for compiled in rule_set.compiled_rules(revision).rules:
        failed_condition = compiled.first_failed_condition(attributes)
        steps.append(RuleStep(compiled.rule.name, failed_condition))
        if not failed_condition:
            matched = compiled.rule
            break
    base = Explanation(revision.number, tuple(steps))
    if matched is None:
        return attrs.evolve(base, verdict=NO_RULE)
    base = attrs.evolve(base, rule=matched.name, then=matched.then)
    if matched.then.reject is not None:
        return attrs.evolve(base, verdict=REJECTED)
    pool = revision.document.pool(matched.then.pool or '')
    if pool is None:
        return attrs.evolve(base, verdict=NO_POOL)
    return explain_pool(base, pool, membership, request)


def explain_pool(
    base: Explanation,
    pool: configuration.Pool,
    membership: membership_module.FleetMembership,
    request: requests.Request,
) -> Explanation:
    """Adds the upstreams of the pool and the result to an explanation."""
    model = request.model
    if base.then is not None and base.then.model is not None:
        model = base.then.model
    eligible = []
    ineligible = []
    for vm in membership.upstreams(pool.service):
        if may_serve(pool, membership.report(vm.id), model):
            eligible.append(vm)
        else:
            ineligible.append(candidate_step(vm, membership, WRONG_MODEL))
    ineligible += excluded_candidates(pool, membership)
    if not eligible:
        return attrs.evolve(
            base, candidates=tuple(ineligible), verdict=NO_UPSTREAM
        )
    allowed, steps, choice = try_candidates(pool, eligible, membership, request)
    verdict = ALL_PASSED_OVER
    if choice.upstream is not None:
        verdict = f'{choice.upstream} {TAKEN}: {choice.reason}'
    return attrs.evolve(
        base,
        allowed_load=allowed,
        candidates=(*steps, *ineligible),
        verdict=verdict,
    )


def excluded_candidates(
    pool: configuration.Pool, membership: membership_module.FleetMembership
) -> list[CandidateStep]:
    """Returns the upstreams that get no new requests now, and why."""
    accepting = {vm.id for vm in membership.upstreams(pool.service)}
    return [
        candidate_step(vm, membership, membership.explain(vm.id))
        for vm in membership.all_vms()
        if vm.service == pool.service and vm.id not in accepting
    ]


def try_candidates(
    pool: configuration.Pool,
    eligible: list[upstreams.Vm],
    membership: membership_module.FleetMembership,
    request: requests.Request,
) -> tuple[int, tuple[CandidateStep, ...], placement.Choice]:
    """Returns the allowed load, the candidates' steps and the choice."""
    options = [
        placement.Candidate(
            vm.id,
            reported_instance(membership, vm.id),
            reported_load(membership, vm.id),
        )
        for vm in eligible
    ]
    total = sum(option.load for option in options)
    allowed = placement.allowed_load(pool, total, len(eligible))
    tie_break = hashing.hash64(request.id)
    tried = placement.order(options, (), tie_break)
    choice = placement.choose(tried, allowed, pool.max_load)
    by_id = {vm.id: vm for vm in eligible}
    steps = tuple(
        candidate_step(
            by_id[candidate.upstream],
            membership,
            candidate_verdict(
                candidate, reason, choice, allowed, pool.max_load
            ),
        )
        for candidate, reason in tried
    )
    return allowed, steps, choice


def candidate_verdict(
    candidate: placement.Candidate,
    reason: str,
    choice: placement.Choice,
    allowed: int,
    max_load: int,
) -> str:
    """Returns whether a candidate would be chosen, or why not."""
    if candidate.upstream == choice.upstream:
        return f'{TAKEN}: {reason}'
    return placement.refusal_reason(candidate, allowed, max_load) or LATER


def may_serve(
    pool: configuration.Pool,
    report: upstreams.LoadReport | None,
    model: str | None,
) -> bool:
    """Returns whether an upstream may serve a request for the model.

    An engine without a load report may serve any model.
    """
    if pool.kind is not upstreams.UpstreamKind.ENGINE or not model:
        return True
    return report is None or not report.models or model in report.models


def reported_load(
    membership: membership_module.FleetMembership, upstream: str
) -> int:
    """Returns the load in the latest report, 0 without one."""
    report = membership.report(upstream)
    return report.load if report else 0


def reported_instance(
    membership: membership_module.FleetMembership, upstream: str
) -> str:
    """Returns the instance in the latest report, empty without one."""
    report = membership.report(upstream)
    return report.instance if report else ''


def candidate_step(
    vm: upstreams.Vm,
    membership: membership_module.FleetMembership,
    verdict: str,
) -> CandidateStep:
    """Returns the step of one upstream with a verdict."""
    report = membership.report(vm.id)
    if report is None:
        return CandidateStep(vm.id, vm.availability_zone, None, None, verdict)
    age = trio.current_time() - membership.report_at(vm.id)
    return CandidateStep(
        vm.id, vm.availability_zone, report.load, round(age, 3), verdict
    )
