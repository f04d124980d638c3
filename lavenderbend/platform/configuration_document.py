"""The operator's configuration, as it lies in the platform's store."""

from __future__ import annotations

from typing import Any

from lavenderbend.platform import field_types
from lavenderbend.state import configuration
from lavenderbend.state import forwarding

IDEMPOTENT = 'idempotent'
STREAMING = 'streaming'
# upstreams take a request without a rank as one of this
DEFAULT_RANK = 5
DEFAULT_TARGET_MILLISECONDS = 1000
DEFAULT_GAP_MILLISECONDS = 250


class TableDecoder:
    """Decodes one version of the configuration after the other.

    Most routes of a version are those of the one before: decoding hundreds
    anew would stop a router, and all streams through it, for as long.

    Attributes:
        known: Routes of the latest version and their rules, by name.
    """

    def __init__(self) -> None:
        self.known: dict[str, tuple[dict[str, Any], forwarding.ForwardRule]]
        self.known = {}

    def decode(self, value: dict[str, Any]) -> forwarding.ForwardingTable:
        """Returns a version: the longest prefix becomes the first rule."""
        routes = sorted(
            value['routes'], key=lambda one: -len(one['pathPrefix'])
        )
        rules = [(route, self.rule(route)) for route in routes]
        table = forwarding.ForwardingTable(
            version=value['version'],
            rules=tuple(found for _, found in rules),
            pools=tuple(pool(one) for one in value['services']),
            customers=tuple(
                customer(one) for one in value.get('tenants') or ()
            ),
            limits=limits(value['limits']),
        )
        self.known = {found.name: (route, found) for route, found in rules}
        return table

    def rule(self, route: dict[str, Any]) -> forwarding.ForwardRule:
        """Returns the rule of a route, the same object if it is the same."""
        known = self.known.get(route['name'])
        if known is not None and known[0] == route:
            return known[1]
        return rule(route)


def rule(route: dict[str, Any]) -> forwarding.ForwardRule:
    """Returns the rule of a route."""
    when = configuration.When(
        path=(route['pathPrefix'] + '*',),
        header={'host': route['host'].lower()},
    )
    return forwarding.ForwardRule(route['name'], when, forward(route))


def forward(route: dict[str, Any]) -> forwarding.Forward:
    """Returns how a route forwards."""
    target = route.get('targetLatencyMs') or DEFAULT_TARGET_MILLISECONDS
    gap = route.get('targetGapMs') or DEFAULT_GAP_MILLISECONDS
    return forwarding.Forward(
        pools=shares(route),
        timeout=route['timeoutMs'] / 1000,
        attempts=route.get('maxAttempts') or 1,
        # the kind alone says what may be repeated
        idempotent=route['kind'] == IDEMPOTENT,
        streaming=route['kind'] == STREAMING,
        resumable=bool(route.get('resumable')),
        public=bool(route.get('public')),
        target=target / 1000,
        max_gap=gap / 1000,
        rank=route.get('priority', DEFAULT_RANK),
    )


def shares(route: dict[str, Any]) -> tuple[forwarding.PoolShare, ...]:
    """Returns the services of a route with their weights."""
    split = route.get('trafficSplit')
    if not split:
        return (forwarding.PoolShare(route['service'], 1.0),)
    return tuple(
        forwarding.PoolShare(part['service'], float(part['weight']))
        for part in split
    )


def pool(service: dict[str, Any]) -> forwarding.ForwardPool:
    """Returns the pool of a service."""
    return forwarding.ForwardPool(
        name=service['name'],
        max_connections=service.get('maxConns', 100),
    )


def customer(tenant: dict[str, Any]) -> forwarding.ForwardCustomer:
    """Returns the customer of a tenant.

    Raises:
        KeyError: A field is missing.
        TypeError: The credentials are no list of texts.
    """
    credentials = tenant['apiKeys']
    field_types.check_type('apiKeys', credentials, list)
    for credential in credentials:
        field_types.check_type('apiKeys', credential, str)
    return forwarding.ForwardCustomer(
        name=tenant['name'],
        credentials=tuple(credentials),
        rank=tenant.get('priority'),
    )


def limits(value: dict[str, Any]) -> forwarding.CallerLimits:
    """Returns the limits of callers."""
    return forwarding.CallerLimits(
        header_bytes=value['maxHeaderBytes'],
        body_bytes=value['maxBodyBytes'],
        header_seconds=value['headerTimeoutMs'] / 1000,
        idle_seconds=value['idleTimeoutMs'] / 1000,
    )
