"""The read-only operators' interface of a forwarding router."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import attrs
import quart

import lavenderbend
from lavenderbend.coordination.forwarding import explain as explain_module
from lavenderbend.observe import metrics
from lavenderbend.state import upstreams as upstreams_module
from lavenderbend.transport import operator_decisions
from lavenderbend.transport import operator_interface
from lavenderbend.transport import operator_routes

if TYPE_CHECKING:
    from collections.abc import Iterator

    from lavenderbend.coordination.forwarding import choice as choice_module
    from lavenderbend.coordination.forwarding import peers as peers_module
    from lavenderbend.coordination.forwarding import request_resolver
    from lavenderbend.state import decisions as decisions_module
    from lavenderbend.state import forwarding
    from lavenderbend.state import settings as settings_module

ROUTES = operator_routes.FORWARDING_ROUTES
WHEN_CUT_OFF = 'requests with a credential are refused'
RULES_IN_STORE = (
    "this router forwards by the configuration in the platform's store: "
    'change it there; `status` and `explain` show what is in force'
)


class ForwardingOperators(operator_interface.OperatorInterface):
    """The operators' interface of one forwarding router.

    Attributes:
        resolver: Rules and customers in force.
        chooser: Chooses upstreams.
        peers: Other routers.
        decisions: The latest decisions.
        explainer: Explains how a request would be routed.
    """

    def __init__(
        self,
        settings: settings_module.RouterSettings,
        resolver: request_resolver.RequestResolver,
        chooser: choice_module.Chooser,
        peers: peers_module.Peers,
        decisions: decisions_module.DecisionStore,
    ) -> None:
        self.resolver = resolver
        self.chooser = chooser
        self.peers = peers
        self.decisions = decisions
        self.explainer = explain_module.Explainer(resolver, chooser)
        super().__init__(settings.id, settings, ROUTES)


@operator_routes.route('GET', '/v1/status', ROUTES)
async def status(app: ForwardingOperators) -> quart.Response:
    """Routers, upstreams with their load, rules with hit counts."""
    return operator_routes.as_json(status_json(app))


@operator_routes.route('GET', '/metrics', ROUTES)
async def exposition(app: ForwardingOperators) -> quart.Response:
    """All metrics in the Prometheus text format."""
    return quart.Response(
        metrics.render(), content_type='text/plain; version=0.0.4'
    )


@operator_routes.route('POST', '/v1/explain', ROUTES)
async def explained(app: ForwardingOperators) -> quart.Response:
    """How a request would be routed; nothing is sent."""
    body = await quart.request.get_data()
    question = operator_decisions.read_question(body)
    headers = {name.lower(): text for name, text in question.headers.items()}
    explanation = app.explainer.explain(
        explain_module.ExplainRequest(
            question.customer, question.method, question.path, headers
        )
    )
    return operator_routes.as_json(attrs.asdict(explanation, recurse=True))


@operator_routes.route('GET', '/v1/rules', ROUTES)
@operator_routes.route('GET', '/v1/rules/history', ROUTES)
@operator_routes.route('POST', '/v1/rules/apply', ROUTES)
@operator_routes.route('POST', '/v1/rules/diff', ROUTES)
async def refuse_rules_call(app: ForwardingOperators) -> quart.Response:
    """Refused: the rules of a forwarding router are changed in the store."""
    return operator_routes.problem(409, 'rules-elsewhere', RULES_IN_STORE)


def status_json(app: ForwardingOperators) -> dict[str, Any]:
    """Returns the status of this router and what it knows of the fleet."""
    snapshots = app.resolver.snapshots
    table = snapshots.table
    stale = not snapshots.may_serve_credentials()
    return {
        'router': app.name,
        'availability_zone': app.settings.availability_zone,
        'version': lavenderbend.__version__,
        'revision': None if table is None else {'number': table.version},
        'cut_off_seconds': snapshots.age if stale else None,
        'when_cut_off': WHEN_CUT_OFF,
        'fleet': fleet(app),
        'routers': list(routers(app)),
        'pools': [] if table is None else list(pools(app, table)),
        'rules': [] if table is None else list(rule_hits(app, table)),
        'unmatched': app.resolver.unmatched,
        'decisions': len(app.decisions.entries),
    }


def fleet(app: ForwardingOperators) -> dict[str, Any]:
    """Returns the number of routers that this one counts, by zone."""
    counts = app.peers.fleet.recent()
    return {
        'routers': app.peers.fleet_size(),
        'zones': {zone: count.routers for zone, count in counts.items()},
        'budget_parts': app.peers.budget_divisor(),
    }


def routers(app: ForwardingOperators) -> Iterator[dict[str, Any]]:
    """Yields the known routers and their state.

    These are the routers of the same availability zone, and those routers of
    other zones that recently sent or were sent a message.
    """
    members = app.peers.members
    for member in members.by_host.values():
        state = 'alive' if members.is_alive(member) else 'silent'
        state = 'leaving' if member.leaving else state
        yield router_json(member.name, member.zone, state)
    same_zone = set(members.same_zone.alive())
    silent_hosts = {*members.silent_hosts()}
    for host in sorted((same_zone | silent_hosts) - members.by_host.keys()):
        zone = members.zone if host in same_zone else ''
        yield router_json(
            host, zone, 'alive' if host in same_zone else 'silent'
        )


def router_json(name: str, zone: str, state: str) -> dict[str, Any]:
    """Returns the status of one router as JSON."""
    return {
        'id': name,
        'availability_zone': zone,
        'state': state,
        # routers exchange the revision of the store, not the version
        'revision': None,
    }


def pools(
    app: ForwardingOperators, table: forwarding.ForwardingTable
) -> Iterator[dict[str, Any]]:
    """Yields each pool with its upstreams and their load."""
    upstreams = app.resolver.snapshots.current.upstreams.values()
    for pool in table.pools:
        members = [
            upstream_json(app, upstream)
            for upstream in upstreams
            if upstream.vm.service == pool.name
        ]
        loads = [
            member['load'] for member in members if member['takes_new_work']
        ]
        mean = sum(loads) / len(loads) if loads else None
        yield {
            'name': pool.name,
            'mean_load': mean,
            'skew': max(loads) / mean if mean else None,
            'upstreams': members,
        }


def upstream_json(
    app: ForwardingOperators, upstream: forwarding.Upstream
) -> dict[str, Any]:
    """Returns an upstream and its load as JSON."""
    step = app.explainer.step(upstream, '')
    standing = app.chooser.health.describe(upstream.instance)
    live = upstream.vm.state is upstreams_module.VmState.LIVE
    return {
        'id': upstream.instance,
        'address': f'{upstream.vm.host}:{upstream.vm.port}',
        'availability_zone': upstream.vm.availability_zone,
        'takes_new_work': live,
        'standing': standing if live else explain_module.LEAVING,
        'load': step.load,
        'report_age': step.report_age,
    }


def rule_hits(
    app: ForwardingOperators, table: forwarding.ForwardingTable
) -> Iterator[dict[str, Any]]:
    """Yields the rules in order, each with its number of first matches."""
    for rule in table.rules:
        shares = [f'{share.pool} {share.weight:g}' for share in rule.then.pools]
        yield {
            'name': rule.name,
            'pool': ', '.join(shares),
            'priority': str(rule.then.rank),
            'idempotent': rule.then.idempotent,
            'hits': app.resolver.hits[rule.name],
        }
