"""Decoding of the operator's configuration in the platform's store."""

from __future__ import annotations

from typing import Any

from lavenderbend.platform import field_types
from lavenderbend.state import configuration
from lavenderbend.state import forwarding

IDEMPOTENT = 'idempotent'
STREAMING = 'streaming'
# Upstreams treat a request without a rank as one of this rank.
DEFAULT_RANK = 5
DEFAULT_TARGET_MILLISECONDS = 1000
DEFAULT_GAP_MILLISECONDS = 250
DEFAULT_MAX_CONNECTIONS = 100
# Fields of each part; others are ignored.
DOCUMENT_FIELDS = {
    'version': int,
    'routes': list,
    'services': list,
    'limits': dict,
}
OPTIONAL_DOCUMENT_FIELDS = {'tenants': list}
ROUTE_FIELDS = {
    'name': str,
    'host': str,
    'pathPrefix': str,
    'kind': str,
    'timeoutMs': field_types.NUMBER,
}
OPTIONAL_ROUTE_FIELDS = {
    'service': str,
    'trafficSplit': list,
    'targetLatencyMs': field_types.NUMBER,
    'targetGapMs': field_types.NUMBER,
    'maxAttempts': int,
    'priority': int,
}
SHARE_FIELDS = {'service': str, 'weight': field_types.NUMBER}
SERVICE_FIELDS = {'name': str}
OPTIONAL_SERVICE_FIELDS = {
    'maxConns': int,
    'coldS': field_types.NUMBER,
    'warmupPerS': field_types.NUMBER,
}
TENANT_FIELDS = {'name': str, 'apiKeys': list}
OPTIONAL_TENANT_FIELDS = {'priority': int}
LIMIT_FIELDS = {
    'maxHeaderBytes': int,
    'maxBodyBytes': int,
    'headerTimeoutMs': field_types.NUMBER,
    'idleTimeoutMs': field_types.NUMBER,
}


class TableDecoder:
    """Decodes successive versions of the configuration.

    Most routes of a version are the same as in the previous one. Their rules
    are reused, since decoding hundreds of routes would block the router, and
    all streams through it, meanwhile.

    Attributes:
        decoded_routes: Routes of the latest version with their rules, by name.
    """

    def __init__(self) -> None:
        self.decoded_routes: dict[
            str, tuple[dict[str, Any], forwarding.ForwardRule]
        ]
        self.decoded_routes = {}

    def decode(self, value: dict[str, Any]) -> forwarding.ForwardingTable:
        """Returns a version's table; longer path prefixes come first.

        Raises:
            KeyError: A field is missing.
            TypeError: A field is of another type. It would be found by the
                requests, or end the router, once the version is in force.
            RecursionError: A route is nested too deeply to be compared.
        """
        field_types.check_fields(
            value, DOCUMENT_FIELDS, OPTIONAL_DOCUMENT_FIELDS
        )
        for route in value['routes']:
            field_types.check_fields(route, ROUTE_FIELDS, OPTIONAL_ROUTE_FIELDS)
        routes = sorted(
            value['routes'], key=lambda route: -len(route['pathPrefix'])
        )
        rules = [(route, self.rule(route)) for route in routes]
        table = forwarding.ForwardingTable(
            version=value['version'],
            rules=tuple(rule for _, rule in rules),
            pools=tuple(pool(service) for service in value['services']),
            customers=tuple(
                customer(tenant) for tenant in value.get('tenants') or ()
            ),
            limits=limits(value['limits']),
        )
        self.decoded_routes = {
            rule.name: (route, rule) for route, rule in rules
        }
        return table

    def rule(self, route: dict[str, Any]) -> forwarding.ForwardRule:
        """Returns the rule of a route, the same object if it is unchanged."""
        previous = self.decoded_routes.get(route['name'])
        if previous is not None and previous[0] == route:
            return previous[1]
        return rule(route)


def rule(route: dict[str, Any]) -> forwarding.ForwardRule:
    """Returns the rule of a route."""
    when = configuration.When(
        path=(route['pathPrefix'] + '*',),
        header={'host': route['host'].lower()},
    )
    return forwarding.ForwardRule(route['name'], when, forward(route))


def forward(route: dict[str, Any]) -> forwarding.Forward:
    """Returns the forwarding settings of a route."""
    target = route.get('targetLatencyMs') or DEFAULT_TARGET_MILLISECONDS
    gap = route.get('targetGapMs') or DEFAULT_GAP_MILLISECONDS
    rank = route.get('priority')
    return forwarding.Forward(
        pools=shares(route),
        timeout=route['timeoutMs'] / 1000,
        attempts=route.get('maxAttempts') or 1,
        # Only the kind determines which requests may be retried.
        idempotent=route['kind'] == IDEMPOTENT,
        streaming=route['kind'] == STREAMING,
        resumable=bool(route.get('resumable')),
        public=bool(route.get('public')),
        target=target / 1000,
        max_gap=gap / 1000,
        rank=DEFAULT_RANK if rank is None else rank,
        regions=regions(route),
    )


def regions(value: dict[str, Any]) -> frozenset[str] | None:
    """Returns the regions that a route or tenant is confined to, None for all.

    Raises:
        TypeError: They are not a list of strings. Requests must not leave
            their regions because the names could not be read.
    """
    names = value.get('allowedRegions') or []
    field_types.check_type('allowedRegions', names, list)
    for name in names:
        field_types.check_type('allowedRegions', name, str)
    return frozenset(names) or None


def shares(route: dict[str, Any]) -> tuple[forwarding.PoolShare, ...]:
    """Returns the pools of a route's services with their weights."""
    split = route.get('trafficSplit')
    if not split:
        field_types.check_type('service', route['service'], str)
        return (forwarding.PoolShare(route['service'], 1.0),)
    for part in split:
        field_types.check_fields(part, SHARE_FIELDS)
    return tuple(
        forwarding.PoolShare(part['service'], float(part['weight']))
        for part in split
    )


def pool(service: dict[str, Any]) -> forwarding.ForwardPool:
    """Returns the pool of a service."""
    field_types.check_fields(service, SERVICE_FIELDS, OPTIONAL_SERVICE_FIELDS)
    connections = service.get('maxConns')
    return forwarding.ForwardPool(
        name=service['name'],
        max_connections=(
            DEFAULT_MAX_CONNECTIONS if connections is None else connections
        ),
        warm_up_seconds=service.get('coldS') or 0.0,
        warm_up_rate=service.get('warmupPerS') or 0.0,
    )


def customer(tenant: dict[str, Any]) -> forwarding.ForwardCustomer:
    """Returns the customer of a tenant.

    Raises:
        KeyError: A field is missing.
        TypeError: The credentials are not a list of strings.
    """
    field_types.check_fields(tenant, TENANT_FIELDS, OPTIONAL_TENANT_FIELDS)
    credentials = tenant['apiKeys']
    for credential in credentials:
        field_types.check_type('apiKeys', credential, str)
    return forwarding.ForwardCustomer(
        name=tenant['name'],
        credentials=tuple(credentials),
        rank=tenant.get('priority'),
        regions=regions(tenant),
    )


def limits(value: dict[str, Any]) -> forwarding.CallerLimits:
    """Returns the limits on callers' connections and requests."""
    field_types.check_fields(value, LIMIT_FIELDS)
    return forwarding.CallerLimits(
        header_bytes=value['maxHeaderBytes'],
        body_bytes=value['maxBodyBytes'],
        header_seconds=value['headerTimeoutMs'] / 1000,
        idle_seconds=value['idleTimeoutMs'] / 1000,
    )
