"""The operators' views of the status and the metrics of one router."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import quart
import trio

import lavenderbend
from lavenderbend import errors
from lavenderbend.observe import metrics
from lavenderbend.state import upstreams
from lavenderbend.transport import operator_routes
from lavenderbend.transport import operator_rules

if TYPE_CHECKING:
    from collections.abc import Iterator

    from lavenderbend.coordination import membership as membership_module
    from lavenderbend.state import configuration
    from lavenderbend.transport import operators


def status_json(app: operators.OperatorApp) -> dict[str, Any]:
    """Returns the status of this router and what it knows of the fleet."""
    revision = current_revision(app)
    document = revision.document if revision else None
    return {
        'router': app.name,
        'region': app.settings.region,
        'availability_zone': app.settings.availability_zone,
        'version': lavenderbend.__version__,
        'revision': operator_rules.revision_json(revision)
        if revision
        else None,
        'cut_off_seconds': cut_off_seconds(app),
        'when_cut_off': app.settings.configuration.when_cut_off.value,
        'routers': list(routers(app)),
        'pools': list(pools(app, document)) if document else [],
        'rules': list(rule_hits(app, document)) if document else [],
        'unmatched': app.rules.unmatched,
        'decisions': len(app.decisions.entries),
    }


def current_revision(
    app: operators.OperatorApp,
) -> configuration.Revision | None:
    """Returns the newest revision known here, None before the first.

    Read from the chain, so that a router that is cut off and refuses requests
    still shows its revision.
    """
    try:
        return app.configurations.chain.current()
    except errors.NoConfiguration:
        return None


def cut_off_seconds(app: operators.OperatorApp) -> float | None:
    """Returns for how many seconds the revision is unconfirmed, or None."""
    return app.configurations.stale_seconds


def routers(app: operators.OperatorApp) -> Iterator[dict[str, Any]]:
    """Yields each known router with its state and revision."""
    reported = app.configurations.in_force()
    for vm in app.membership.all_vms():
        if vm.kind is not upstreams.UpstreamKind.ROUTER:
            continue
        yield {
            'id': vm.id,
            'this': vm.id == app.name,
            'availability_zone': vm.availability_zone,
            'state': app.membership.router_state(vm.id),
            'revision': reported.get(vm.id),
        }


def pools(
    app: operators.OperatorApp, document: configuration.Configuration
) -> Iterator[dict[str, Any]]:
    """Yields each pool with its upstreams and their load."""
    vms = app.membership.all_vms()
    for pool in document.pools:
        candidate_ids = {vm.id for vm in app.membership.upstreams(pool.service)}
        members = [
            upstream_json(app.membership, vm, vm.id in candidate_ids)
            for vm in vms
            if vm.service == pool.service
        ]
        loads = [
            member['load']
            for member in members
            if member['takes_new_work'] and member['load'] is not None
        ]
        mean = sum(loads) / len(loads) if loads else None
        yield {
            'name': pool.name,
            'service': pool.service,
            'kind': pool.kind.value,
            'bound': pool.bound,
            'max_load': pool.max_load,
            'mean_load': mean,
            'skew': max(loads) / mean if mean else None,
            'upstreams': members,
        }


def upstream_json(
    membership: membership_module.FleetMembership,
    vm: upstreams.Vm,
    takes_new_work: bool,
) -> dict[str, Any]:
    """Returns an upstream and its last load report as JSON."""
    report = membership.report(vm.id)
    row = {
        'id': vm.id,
        'address': f'{vm.host}:{vm.port}',
        'availability_zone': vm.availability_zone,
        'takes_new_work': takes_new_work,
        'standing': membership.explain(vm.id),
        'load': None,
        'report_age': None,
        'models': [],
        'adapters': [],
    }
    if report is None:
        return row
    age = trio.current_time() - membership.report_at(vm.id)
    return {
        **row,
        'load': report.load,
        'report_age': round(age, 3),
        'models': list(report.models),
        'adapters': list(report.adapters),
    }


def rule_hits(
    app: operators.OperatorApp, document: configuration.Configuration
) -> Iterator[dict[str, Any]]:
    """Yields the rules in order, each with its number of first matches."""
    for rule in document.rules:
        yield {
            'name': rule.name,
            'pool': rule.then.pool,
            'reject': rule.then.reject,
            'priority': rule.then.priority.name.lower(),
            'idempotent': rule.then.idempotent,
            'hits': app.rules.hits.get(rule.name, 0),
        }


@operator_routes.route('GET', '/v1/status')
async def status(app: operators.OperatorApp) -> quart.Response:
    """Routers, upstreams with their load, rules with hit counts."""
    return operator_routes.as_json(status_json(app))


@operator_routes.route('GET', '/metrics')
async def exposition(app: operators.OperatorApp) -> quart.Response:
    """All metrics in the Prometheus text format."""
    return quart.Response(
        metrics.render(), content_type='text/plain; version=0.0.4'
    )
