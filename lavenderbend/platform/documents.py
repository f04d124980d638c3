"""What the operator and the upstreams write to the platform's store."""

from __future__ import annotations

import base64
import ipaddress
import re
from typing import Any
from typing import TYPE_CHECKING

import attrs
import orjson

from lavenderbend import errors
from lavenderbend.observe import logs
from lavenderbend.observe import metrics
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
STATES = {
    'ready': upstreams.VmState.LIVE,
    'draining': upstreams.VmState.LEAVING,
}
# what an entry of an upstream holds, beside what this program does not read
UPSTREAM_FIELDS = {
    'service': str,
    'address': str,
    'zone': str,
    'version': str,
    'slots': int,
    'state': str,
    'coldLeftMs': (int, float),
    'seqNo': int,
}
# an id goes into a header, which a line end in it would end; a slash parts it
# from its start, and an id with one could pass for another upstream's start
UPSTREAM_ID = re.compile(r'[!-.0-~]{1,200}')
MAX_PORT = 65535
# upstreams take a request without a rank as one of this
DEFAULT_RANK = 5
DEFAULT_TARGET_MILLISECONDS = 1000
DEFAULT_GAP_MILLISECONDS = 250

UNREADABLE = metrics.counter(
    'lavenderbend_platform_unreadable_entries_total',
    'Changes of entries that name no upstream to use.',
)


@attrs.frozen
class Decoded:
    """An item of the store, decoded.

    Attributes:
        revision: Revision of its last change.
        value: The table or the upstream, None if it names none.
    """

    revision: int
    value: forwarding.ForwardingTable | forwarding.Upstream | None


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
    """Returns one item; raises as `decode_changes` does.

    A value that is no base64 counts as empty, which no reader of values
    takes for sound: it must not cost the other items of its page.
    """
    try:
        content = base64.b64decode(value['value'])
    except (ValueError, TypeError):
        content = b''
    return forwarding.RawItem(int(value['rev']), content)


def decode_items(
    raw: forwarding.RawSnapshot, before: Mapping[str, Decoded]
) -> dict[str, Decoded]:
    """Returns the items that matter, decoded if they have changed.

    A configuration of some hundred routes takes milliseconds to decode, and
    upstreams come and go far more often than it changes.

    Raises:
        CodecError: The configuration cannot be read.
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
            found[key] = Decoded(item.revision, usable_upstream(key, item))
    return found


def usable_upstream(
    key: str, item: forwarding.RawItem
) -> forwarding.Upstream | None:
    """Returns the upstream of an entry, None if it names none to use.

    Any program may write entries. One that cannot be read must not stop the
    others from being followed: all routers would keep an old configuration.
    """
    name = key[len(UPSTREAM_PREFIX) :]
    try:
        return parsed(key, item.value, lambda value: upstream(name, value))
    except errors.CodecError as exc:
        UNREADABLE.inc({})
        logs.change('entry_unreadable', revision=item.revision, cause=str(exc))
        return None


def snapshot(
    raw: forwarding.RawSnapshot, decoded: Mapping[str, Decoded]
) -> forwarding.Snapshot:
    """Returns the snapshot that decoded items make."""
    table = decoded.get(CONFIGURATION_KEY)
    found = {
        item.value.instance: item.value
        for key, item in decoded.items()
        if key.startswith(UPSTREAM_PREFIX) and item.value is not None
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


def upstream(name: str, value: dict[str, Any]) -> forwarding.Upstream:
    """Returns the upstream of an entry.

    Raises:
        ValueError: A field has a value that names no upstream.
        KeyError: A field is missing.
        TypeError: A field is of another type.
    """
    for field, kinds in UPSTREAM_FIELDS.items():
        check_type(field, value[field], kinds)
    if not UPSTREAM_ID.fullmatch(name):
        raise ValueError('the id cannot go into a header')
    host, _, port = value['address'].rpartition(':')
    ipaddress.IPv4Address(host)
    if not port.isascii() or not port.isdigit() or int(port) > MAX_PORT:
        raise ValueError('address: no port')
    if value['slots'] < 1:
        raise ValueError('slots: none')
    state = STATES.get(value['state'])
    if state is None:
        raise ValueError('state: unknown')
    vm = upstreams.Vm(
        id=name,
        host=host,
        port=int(port),
        availability_zone=value['zone'],
        service=value['service'],
        kind=upstreams.UpstreamKind.SERVICE,
        state=state,
    )
    return forwarding.Upstream(start_of(name, value), vm, value['slots'])


def start_of(name: str, value: dict[str, Any]) -> str:
    """Returns what tells a start of an upstream from its other starts.

    An id may be taken again by a later start, which holds nothing of what
    the earlier one had cached, run or reported.
    """
    born = value.get('born')
    if born is None:
        return name
    check_type('born', born, int)
    return f'{name}/{born}'


def check_type(
    field: str, value: object, kinds: type | tuple[type, ...]
) -> None:
    """Checks the type of a field; true and false are no numbers.

    Raises:
        TypeError: It is of another type.
    """
    if isinstance(value, bool) or not isinstance(value, kinds):
        raise TypeError(f'{field}: {type(value).__name__}')


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
    )


def customer(tenant: dict[str, Any]) -> forwarding.ForwardCustomer:
    """Returns the customer of a tenant.

    Raises:
        KeyError: A field is missing.
        TypeError: The credentials are no list of texts.
    """
    credentials = tenant['apiKeys']
    check_type('apiKeys', credentials, list)
    for credential in credentials:
        check_type('apiKeys', credential, str)
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
