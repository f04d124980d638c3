"""What must hold between the parts of a configuration or of settings."""

from __future__ import annotations

import ipaddress
import re
from typing import TYPE_CHECKING

import attrs

from lavenderbend.state import settings

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from lavenderbend.state import configuration

CREDENTIAL = re.compile(r'[0-9a-f]{8,64}\$[0-9a-f]{64}')
CREDENTIAL_FORM = 'salt$sha256(salt + credential), both in lower-case hex'
# the only adapter whose store holds routes and upstreams to forward by
FORWARDING_ADAPTER = 'platform'
METHODS = ('DELETE', 'GET', 'HEAD', 'OPTIONS', 'PATCH', 'POST', 'PUT')


@attrs.frozen
class Problem:
    """A fault of a document whose types are right.

    Attributes:
        path: Keys and list positions from the top.
        fault: What is wrong.
        allowed: What may stand there.
    """

    path: tuple[str | int, ...]
    fault: str
    allowed: str


def problems(document: configuration.Configuration) -> list[Problem]:
    """Returns what makes a configuration unacceptable, all of it."""
    return [
        *unique('rules', document.rules),
        *unique('pools', document.pools),
        *unique('customers', document.customers),
        *rule_problems(document),
        *customer_problems(document),
        *order_problems(document),
    ]


def unique(key: str, items: Iterable[configuration.Rule]) -> Iterator[Problem]:
    """Yields the names that are empty or stand twice."""
    seen = set()
    for index, item in enumerate(items):
        path = (key, index, 'name')
        if not item.name:
            yield Problem(path, 'empty', 'a name')
        if item.name in seen:
            yield Problem(path, f'{item.name!r} again', 'a name used once')
        seen.add(item.name)


def rule_problems(document: configuration.Configuration) -> Iterator[Problem]:
    """Yields the problems of the rules."""
    pools = [pool.name for pool in document.pools]
    customers = [customer.name for customer in document.customers]
    for index, rule in enumerate(document.rules):
        path = ('rules', index)
        yield from then_problems(rule.then, pools, (*path, 'then'))
        yield from when_problems(rule.when, customers, (*path, 'when'))


def then_problems(
    then: configuration.Then, pools: list[str], path: tuple[str | int, ...]
) -> Iterator[Problem]:
    """Yields the problems of where a rule sends requests."""
    if (then.pool is None) == (then.reject is None):
        yield Problem(path, 'pool and reject', 'one of the two')
    if then.pool is not None and then.pool not in pools:
        allowed = ' | '.join(pools) or 'a pool of this document'
        yield Problem((*path, 'pool'), f'no pool {then.pool!r}', allowed)
    if then.reject == '':
        yield Problem((*path, 'reject'), 'empty', 'a reason for the caller')


def when_problems(
    when: configuration.When, customers: list[str], path: tuple[str | int, ...]
) -> Iterator[Problem]:
    """Yields the problems of a rule's conditions."""
    for index, name in enumerate(when.customer):
        if not name.endswith('*') and name not in customers:
            yield Problem(
                (*path, 'customer', index),
                f'no customer {name!r}',
                'a customer of this document, or a prefix with *',
            )
    for index, method in enumerate(when.method):
        if method not in METHODS:
            place = (*path, 'method', index)
            yield Problem(place, f'method {method!r}', ' | '.join(METHODS))
    for index, text in enumerate(when.path):
        if not text.startswith(('/', '*')):
            place = (*path, 'path', index)
            yield Problem(place, f'path {text!r}', 'a path that begins with /')
    for name in when.header:
        if name != name.lower() or not name:
            place = (*path, 'header', name)
            yield Problem(place, 'header name', 'a name in lower case')


def customer_problems(
    document: configuration.Configuration,
) -> Iterator[Problem]:
    """Yields credentials that are no salted hash."""
    owners: dict[str, str] = {}
    for index, customer in enumerate(document.customers):
        for position, credential in enumerate(customer.credentials):
            path = ('customers', index, 'credentials', position)
            if not CREDENTIAL.fullmatch(credential):
                yield Problem(path, 'no salted hash', CREDENTIAL_FORM)
            owner = owners.setdefault(credential, customer.name)
            if owner != customer.name:
                yield Problem(path, f'also of {owner!r}', 'one customer')


def order_problems(document: configuration.Configuration) -> Iterator[Problem]:
    """Yields the problems of the desired state of engines."""
    pools = {pool.name for pool in document.pools}
    seen = set()
    for index, order in enumerate(document.orders):
        path = ('orders', index)
        if order.pool not in pools:
            allowed = ' | '.join(sorted(pools)) or 'a pool of this document'
            yield Problem((*path, 'pool'), f'no pool {order.pool!r}', allowed)
        if (order.pool, order.model) in seen:
            place = (*path, 'model')
            yield Problem(place, f'{order.model!r} again', 'one order each')
        seen.add((order.pool, order.model))


def settings_problems(item: settings.RouterSettings) -> list[Problem]:
    """Returns what makes settings unusable, all of it."""
    found = [*address_problems(item)]
    if not item.id:
        found.append(Problem(('id',), 'empty', 'a name unique for ever'))
    if not item.key_value.endpoints:
        path = ('key_value', 'endpoints')
        found.append(Problem(path, 'empty', 'at least one URL'))
    for index, url in enumerate(item.key_value.endpoints):
        path = ('key_value', 'endpoints', index)
        found.extend(url_problems(path, url))
    if item.vm_list.adapter is settings.VmListKind.HTTP:
        found.extend(url_problems(('vm_list', 'url'), item.vm_list.url))
    if item.tracing.otlp_endpoint is not None:
        path = ('tracing', 'otlp_endpoint')
        found.extend(url_problems(path, item.tracing.otlp_endpoint))
    if item.forwarding is not None:
        found.extend(forwarding_problems(item))
    credential = item.operators.credential
    if credential and not CREDENTIAL.fullmatch(credential):
        path = ('operators', 'credential')
        found.append(Problem(path, 'no salted hash', CREDENTIAL_FORM))
    return found


def forwarding_problems(item: settings.RouterSettings) -> Iterator[Problem]:
    """Yields the problems of a router that forwards any HTTP request."""
    if item.key_value.adapter != FORWARDING_ADAPTER:
        yield Problem(
            ('key_value', 'adapter'),
            f'{item.key_value.adapter!r} with forwarding',
            FORWARDING_ADAPTER,
        )
    listen = item.forwarding.listen
    for name in ('callers', 'readiness', 'peers'):
        path = ('forwarding', 'listen', name)
        yield from host_port_problems(path, getattr(listen, name))
    for index, text in enumerate(item.forwarding.peers):
        yield from host_port_problems(('forwarding', 'peers', index), text)


def host_port_problems(
    path: tuple[str | int, ...], text: str
) -> Iterator[Problem]:
    """Yields the problem of a text that is no IP number with a port."""
    host, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(host)
        in_range = 0 < int(port) <= settings.MAX_PORT
    except ValueError:
        in_range = False
    if not in_range:
        yield Problem(path, f'address {text!r}', 'IP:PORT')


def url_problems(path: tuple[str | int, ...], url: str) -> Iterator[Problem]:
    """Yields the problem of an address that is no HTTP URL."""
    if not re.fullmatch(r'https?://[^\s/]+(/\S*)?', url):
        yield Problem(path, f'address {url!r}', 'http://... or https://...')


def address_problems(item: settings.RouterSettings) -> Iterator[Problem]:
    """Yields the problems of the addresses to bind."""
    used: dict[tuple[str, int], str] = {}
    for name in ('callers', 'operators', 'peers'):
        part = getattr(item, name)
        try:
            ipaddress.ip_address(part.host)
        except ValueError:
            path = (name, 'host')
            yield Problem(path, f'host {part.host!r}', 'an IP number')
            continue
        owner = used.setdefault((part.host, part.port), name)
        if part.port and owner != name:
            yield Problem((name, 'port'), f'also of {owner}', 'a free port')
    yield from plain_peer_problems(item.peers)


def plain_peer_problems(peers: settings.PeerSettings) -> Iterator[Problem]:
    """Yields the problem of plain peer links that others could reach.

    Whoever reaches a plain peer port can release permits and pass off
    configuration; so it is refused unless the settings allow it by name.
    """
    if peers.tls is not None or peers.allow_plain_beyond_loopback:
        return
    try:
        loopback = ipaddress.ip_address(peers.host).is_loopback
    except ValueError:
        return
    if not loopback:
        yield Problem(
            ('peers', 'host'),
            f'plain connections on {peers.host}',
            'loopback, or peers.tls, or allow_plain_beyond_loopback: true',
        )
