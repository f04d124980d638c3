"""Checks of a configuration or of settings beyond the types of fields."""

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
# forwarding reads routes and upstreams from the store, and only the store
# of this adapter holds them
FORWARDING_ADAPTER = 'platform'
METHODS = ('DELETE', 'GET', 'HEAD', 'OPTIONS', 'PATCH', 'POST', 'PUT')


@attrs.frozen
class Problem:
    """A fault of a document whose fields have valid types.

    Attributes:
        path: Keys and list positions, from the top of the document.
        fault: What is wrong.
        allowed: The values that are allowed there.
    """

    path: tuple[str | int, ...]
    fault: str
    allowed: str


def configuration_problems(
    document: configuration.Configuration,
) -> list[Problem]:
    """Returns all problems of a configuration."""
    return [
        *name_problems('rules', document.rules),
        *name_problems('pools', document.pools),
        *name_problems('customers', document.customers),
        *rule_problems(document),
        *customer_problems(document),
        *order_problems(document),
    ]


def name_problems(
    key: str, entries: Iterable[configuration.Rule]
) -> Iterator[Problem]:
    """Yields the problems of empty and duplicate names in a list."""
    seen = set()
    for index, entry in enumerate(entries):
        path = (key, index, 'name')
        if not entry.name:
            yield Problem(path, 'empty', 'a name')
        if entry.name in seen:
            yield Problem(path, f'duplicate {entry.name!r}', 'a unique name')
        seen.add(entry.name)


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
    """Yields the problems of a rule's action."""
    if (then.pool is None) == (then.reject is None):
        yield Problem(
            path, 'both or neither of pool and reject', 'exactly one of them'
        )
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
            key_path = (*path, 'method', index)
            yield Problem(key_path, f'method {method!r}', ' | '.join(METHODS))
    for index, text in enumerate(when.path):
        if not text.startswith(('/', '*')):
            key_path = (*path, 'path', index)
            yield Problem(
                key_path, f'path {text!r}', 'a path that begins with /'
            )
    for name in when.header:
        if name != name.lower() or not name:
            key_path = (*path, 'header', name)
            yield Problem(
                key_path, 'invalid header name', 'a name in lower case'
            )


def customer_problems(
    document: configuration.Configuration,
) -> Iterator[Problem]:
    """Yields the problems of credentials.

    A credential must be a salted hash and belong to one customer only.
    """
    owners: dict[str, str] = {}
    for index, customer in enumerate(document.customers):
        for position, credential in enumerate(customer.credentials):
            path = ('customers', index, 'credentials', position)
            if not CREDENTIAL.fullmatch(credential):
                yield Problem(path, 'not a salted hash', CREDENTIAL_FORM)
            owner = owners.setdefault(credential, customer.name)
            if owner != customer.name:
                yield Problem(path, f'also used by {owner!r}', 'one customer')


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
            key_path = (*path, 'model')
            yield Problem(
                key_path,
                f'duplicate {order.model!r}',
                'one order for each model',
            )
        seen.add((order.pool, order.model))


def settings_problems(
    router_settings: settings.RouterSettings,
) -> list[Problem]:
    """Returns all problems of a router's settings."""
    problems = [*address_problems(router_settings)]
    if not router_settings.id:
        problems.append(
            Problem(('id',), 'empty', 'a name that is never reused')
        )
    if not router_settings.key_value.endpoints:
        path = ('key_value', 'endpoints')
        problems.append(Problem(path, 'empty', 'at least one URL'))
    for index, url in enumerate(router_settings.key_value.endpoints):
        path = ('key_value', 'endpoints', index)
        problems.extend(url_problems(path, url))
    if router_settings.vm_list.adapter is settings.VmListKind.HTTP:
        problems.extend(
            url_problems(('vm_list', 'url'), router_settings.vm_list.url)
        )
    if router_settings.tracing.otlp_endpoint is not None:
        path = ('tracing', 'otlp_endpoint')
        problems.extend(
            url_problems(path, router_settings.tracing.otlp_endpoint)
        )
    if router_settings.forwarding is not None:
        problems.extend(forwarding_problems(router_settings))
    credential = router_settings.operators.credential
    if credential and not CREDENTIAL.fullmatch(credential):
        path = ('operators', 'credential')
        problems.append(Problem(path, 'not a salted hash', CREDENTIAL_FORM))
    return problems


def forwarding_problems(
    router_settings: settings.RouterSettings,
) -> Iterator[Problem]:
    """Yields the problems of the settings for forwarding."""
    if router_settings.key_value.adapter != FORWARDING_ADAPTER:
        yield Problem(
            ('key_value', 'adapter'),
            f'{router_settings.key_value.adapter!r} with forwarding',
            FORWARDING_ADAPTER,
        )
    listen = router_settings.forwarding.listen
    for name in ('callers', 'readiness', 'peers'):
        path = ('forwarding', 'listen', name)
        yield from host_port_problems(path, getattr(listen, name))
    for index, text in enumerate(router_settings.forwarding.peers):
        yield from host_port_problems(('forwarding', 'peers', index), text)


def host_port_problems(
    path: tuple[str | int, ...], text: str
) -> Iterator[Problem]:
    """Yields a problem if the text is not an IP address with a port."""
    host, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(host)
        in_range = 0 < int(port) <= settings.MAX_PORT
    except ValueError:
        in_range = False
    if not in_range:
        yield Problem(path, f'address {text!r}', 'IP:PORT')


def url_problems(path: tuple[str | int, ...], url: str) -> Iterator[Problem]:
    """Yields a problem if the address is not an HTTP URL."""
    if not re.fullmatch(r'https?://[^\s/]+(/\S*)?', url):
        yield Problem(path, f'address {url!r}', 'http://... or https://...')


def address_problems(
    router_settings: settings.RouterSettings,
) -> Iterator[Problem]:
    """Yields the problems of the addresses of the listeners."""
    used: dict[tuple[str, int], str] = {}
    for name in ('callers', 'operators', 'peers'):
        listener = getattr(router_settings, name)
        try:
            ipaddress.ip_address(listener.host)
        except ValueError:
            path = (name, 'host')
            yield Problem(path, f'host {listener.host!r}', 'an IP address')
            continue
        owner = used.setdefault((listener.host, listener.port), name)
        if listener.port and owner != name:
            yield Problem(
                (name, 'port'), f'also used by {owner}', 'an unused port'
            )
    yield from plain_peer_problems(router_settings.peers)


def plain_peer_problems(peers: settings.PeerSettings) -> Iterator[Problem]:
    """Yields a problem if other machines can reach plain peer connections.

    Anyone who can reach a plain peer port can release permits and send
    forged configuration, so the settings must allow it explicitly.
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
