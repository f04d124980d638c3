"""What would happen to a request, without sending anything."""

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
    """One rule that was looked at.

    Attributes:
        rule: Its name.
        failed: First condition that does not hold, empty if it matched.
    """

    rule: str
    failed: str


@attrs.frozen
class CandidateStep:
    """One upstream of the pool, in the order of trying.

    Attributes:
        upstream: VM id.
        availability_zone: Its zone.
        load: Load in its last report, None without one.
        report_age: Seconds since that report was taken, None without one.
        verdict: Whether it would be taken, or why not.
    """

    upstream: str
    availability_zone: str
    load: int | None
    report_age: float | None
    verdict: str


@attrs.frozen
class Explanation:
    """Everything that would be decided for a request.

    The loads are those of this router's last reports; a group's owner,
    which also counts its permits and knows where a chat's context is, may
    take another candidate.

    Attributes:
        revision: Number of the configuration.
        steps: The rules that were looked at, in order.
        rule: Name of the rule that matches, empty if none.
        then: What the rule says, None without a rule.
        allowed_load: Highest load the bound allows on one upstream now.
        candidates: Upstreams of the pool.
        verdict: The end of it, in one line.
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
    """Returns what would be decided for a request now."""
    facts = rules.facts_of(request)
    steps = []
    matched = None
    for compiled in rule_set.rules(revision).rules:
        failed = compiled.failed(facts)
        steps.append(RuleStep(compiled.rule.name, failed))
        if not failed:
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
    """Returns the explanation with the upstreams of the pool."""
    model = request.model
    if base.then is not None and base.then.model is not None:
        model = base.then.model
    able = []
    unable = []
    for vm in membership.upstreams(pool.service):
        if serves(pool, membership.report(vm.id), model):
            able.append(vm)
        else:
            unable.append(step(vm, membership, WRONG_MODEL))
    unable += held_back(pool, membership)
    if not able:
        return attrs.evolve(base, candidates=tuple(unable), verdict=NO_UPSTREAM)
    allowed, steps, choice = try_candidates(pool, able, membership, request)
    verdict = ALL_PASSED_OVER
    if choice.upstream is not None:
        verdict = f'{choice.upstream} {TAKEN}: {choice.reason}'
    return attrs.evolve(
        base,
        allowed_load=allowed,
        candidates=(*steps, *unable),
        verdict=verdict,
    )


def held_back(
    pool: configuration.Pool, membership: membership_module.FleetMembership
) -> list[CandidateStep]:
    """Returns the upstreams that get no new work now, and why."""
    taking = {vm.id for vm in membership.upstreams(pool.service)}
    return [
        step(vm, membership, membership.explain(vm.id))
        for vm in membership.all_vms()
        if vm.service == pool.service and vm.id not in taking
    ]


def try_candidates(
    pool: configuration.Pool,
    able: list[upstreams.Vm],
    membership: membership_module.FleetMembership,
    request: requests.Request,
) -> tuple[int, tuple[CandidateStep, ...], placement.Choice]:
    """Returns the allowed load, the candidates and the choice."""
    options = [
        placement.Candidate(
            vm.id, instance_of(membership, vm.id), load_of(membership, vm.id)
        )
        for vm in able
    ]
    total = sum(option.load for option in options)
    allowed = placement.allowed_load(pool, total, len(able))
    tie_break = hashing.hash64(request.id)
    tried = placement.order(options, (), tie_break)
    choice = placement.choose(tried, allowed, pool.max_load)
    by_id = {vm.id: vm for vm in able}
    steps = tuple(
        step(
            by_id[candidate.upstream],
            membership,
            verdict_on(candidate, reason, choice, allowed, pool.max_load),
        )
        for candidate, reason in tried
    )
    return allowed, steps, choice


def verdict_on(
    candidate: placement.Candidate,
    reason: str,
    choice: placement.Choice,
    allowed: int,
    max_load: int,
) -> str:
    """Returns what would become of one candidate."""
    if candidate.upstream == choice.upstream:
        return f'{TAKEN}: {reason}'
    return placement.refusal_reason(candidate, allowed, max_load) or LATER


def serves(
    pool: configuration.Pool,
    report: upstreams.LoadReport | None,
    model: str | None,
) -> bool:
    """Returns whether an upstream can take a request for the model."""
    if pool.kind is not upstreams.UpstreamKind.ENGINE or not model:
        return True
    return report is None or not report.models or model in report.models


def load_of(
    membership: membership_module.FleetMembership, upstream: str
) -> int:
    """Returns the load in the last report, 0 without one."""
    report = membership.report(upstream)
    return report.load if report else 0


def instance_of(
    membership: membership_module.FleetMembership, upstream: str
) -> str:
    """Returns the instance in the last report, empty without one."""
    report = membership.report(upstream)
    return report.instance if report else ''


def step(
    vm: upstreams.Vm,
    membership: membership_module.FleetMembership,
    verdict: str,
) -> CandidateStep:
    """Returns the line of one upstream."""
    report = membership.report(vm.id)
    if report is None:
        return CandidateStep(vm.id, vm.availability_zone, None, None, verdict)
    age = trio.current_time() - membership.report_at(vm.id)
    return CandidateStep(
        vm.id, vm.availability_zone, report.load, round(age, 3), verdict
    )
