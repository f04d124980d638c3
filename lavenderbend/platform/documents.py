"""What the operator and the upstreams write to the platform's store."""

from __future__ import annotations

import base64
import functools
from typing import Any
from typing import TYPE_CHECKING

import attrs
import orjson

from lavenderbend import errors
from lavenderbend.state import configuration
from lavenderbend.state import forwarding
from lavenderbend.state import upstreams

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

CONFIGURATION_KEY = 'op/config'
UPSTREAM_PREFIX = 'servers/'
IDEMPOTENT = 'idempotent'
STREAMING = 'streaming'
DRAINING = 'draining'
# upstreams take a request without a rank as one of this
DEFAULT_RANK = 5
DEFAULT_TARGET_MILLISECONDS = 1000
DEFAULT_GAP_MILLISECONDS = 250


@attrs.frozen
class Decoded:
    """An item of the store, decoded.

    Attributes:
        revision: Revision of its last change.
        value: The table or the upstream.
    """

    revision: int
    value: forwarding.ForwardingTable | forwarding.Upstream


@attrs.frozen
class Page:
    """A part of the store.

    Attributes:
        revision: The store's revision at the call.
        items: By key; at least one if there are more.
        has_more: Whether keys follow behind the last of these.
    """

    revision: int
    items: dict[str, forwarding.RawItem]
    has_more: bool


def decode_page(value: dict[str, Any]) -> Page:
    """Returns an answer of the store, decoded.

    Raises:
        ValueError: A value is no base64, or more keys follow behind none.
        KeyError: A field is missing.
        TypeError: A field is of another type.
    """
    items = {item['key']: decode_item(item) for item in value['items']}
    if value['hasMore'] and not items:
        raise ValueError('more keys behind an empty page')
    return Page(int(value['storeRevision']), items, value['hasMore'])


def decode_changes(since: int, value: dict[str, Any]) -> forwarding.Changes:
    """Returns the changes in an answer of the store.

    Raises:
        ValueError: A value is no base64.
        KeyError: A field is missing.
        TypeError: A field is of another type.
    """
    entries = tuple(decode_change(one) for one in value['events'])
    return forwarding.Changes(since, entries)


def decode_change(value: dict[str, Any]) -> forwarding.Change:
    """Returns one change; raises as `decode_changes` does."""
    item = None if value.get('deleted') else decode_item(value)
    return forwarding.Change(int(value['rev']), value['key'], item)


def decode_item(value: dict[str, Any]) -> forwarding.RawItem:
    """Returns one item; raises as `decode_changes` does."""
    return forwarding.RawItem(
        int(value['rev']), base64.b64decode(value['value'])
    )


def decode_items(
    raw: forwarding.RawSnapshot, before: Mapping[str, Decoded]
) -> dict[str, Decoded]:
    """Returns the items that matter, decoded if they have changed.

    A configuration of some hundred routes takes milliseconds to decode, and
    upstreams come and go far more often than it changes.

    Raises:
        CodecError: An item cannot be read; its key is named.
    """
    found: dict[str, Decoded] = {}
    for key, item in raw.items.items():
        known = before.get(key)
        if known is not None and known.revision == item.revision:
            found[key] = known
        elif key == CONFIGURATION_KEY:
            value = parsed(key, item.value, decode_table)
            found[key] = Decoded(item.revision, value)
        elif key.startswith(UPSTREAM_PREFIX):
            instance = key[len(UPSTREAM_PREFIX) :]
            decoder = functools.partial(upstream, instance)
            value = parsed(key, item.value, decoder)
            found[key] = Decoded(item.revision, value)
    return found


def snapshot(
    raw: forwarding.RawSnapshot, decoded: Mapping[str, Decoded]
) -> forwarding.Snapshot:
    """Returns the snapshot that decoded items make."""
    table = decoded.get(CONFIGURATION_KEY)
    found = {
        key[len(UPSTREAM_PREFIX) :]: item.value
        for key, item in decoded.items()
        if key.startswith(UPSTREAM_PREFIX)
    }
    return forwarding.Snapshot(
        raw.revision, raw.digest, table and table.value, found, raw
    )


def parsed(key: str, data: bytes, decoder: Callable[[Any], Any]) -> Any:
    """Returns the decoded value of an item.

    Raises:
        CodecError: It cannot be read.
    """
    try:
        return decoder(orjson.loads(data))
    except (orjson.JSONDecodeError, TypeError, AttributeError) as exc:
        raise errors.CodecError(f'{key}: {exc}') from exc
    except (KeyError, ValueError) as exc:
        raise errors.CodecError(f'{key}: field {exc}') from exc


def upstream(instance: str, value: dict[str, Any]) -> forwarding.Upstream:
    """Returns the upstream of an entry."""
    host, _, port = value['address'].rpartition(':')
    leaving = value['state'] == DRAINING
    vm = upstreams.Vm(
        id=instance,
        host=host,
        port=int(port),
        availability_zone=value['zone'],
        service=value['service'],
        kind=upstreams.UpstreamKind.SERVICE,
        state=upstreams.VmState.LEAVING if leaving else upstreams.VmState.LIVE,
    )
    return forwarding.Upstream(instance, vm, int(value.get('slots', 1)))


def decode_table(value: dict[str, Any]) -> forwarding.ForwardingTable:
    """Returns the configuration: the longest prefix becomes the first rule."""
    routes = sorted(value['routes'], key=lambda one: -len(one['pathPrefix']))
    return forwarding.ForwardingTable(
        version=value['version'],
        rules=tuple(rule(one) for one in routes),
        pools=tuple(pool(one) for one in value['services']),
        customers=tuple(customer(one) for one in value.get('tenants') or ()),
        limits=limits(value['limits']),
    )


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
        token_bytes=int((service.get('engine') or {}).get('tokenKvBytes', 0)),
    )


def customer(tenant: dict[str, Any]) -> forwarding.ForwardCustomer:
    """Returns the customer of a tenant."""
    return forwarding.ForwardCustomer(
        name=tenant['name'],
        credentials=tuple(tenant['apiKeys']),
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
