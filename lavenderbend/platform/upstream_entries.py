"""Decoding of the entries of upstreams in the platform's store."""

from __future__ import annotations

import ipaddress
import re
from typing import Any

from lavenderbend.platform import field_types
from lavenderbend.protocol import counts
from lavenderbend.state import forwarding
from lavenderbend.state import upstreams

STATES = {
    'ready': upstreams.VmState.LIVE,
    'draining': upstreams.VmState.LEAVING,
}
# Fields required in an entry; other fields are ignored.
UPSTREAM_FIELDS = {
    'service': str,
    'address': str,
    'zone': str,
    'version': str,
    'slots': int,
    'state': str,
    'coldLeftMs': field_types.NUMBER,
    'seqNo': int,
}
# Ids are sent in a header, which a line ending in the id would terminate. A
# slash separates id and start time in instance ids; an id with a slash could
# equal the instance id of another upstream.
UPSTREAM_ID = re.compile(r'[!-.0-~]{1,200}')
MAX_PORT = 65535
# A connection carries one request at a time, and an address of an upstream has
# no more connections from one of a router. A message between routers holds no
# number over 64 bits, and the slots of an entry go into some.
MAX_SLOTS = 65535
# Keys of the store have no more. Versions go into records of the store, whose
# lines separate them from the rest.
MAX_NAME_CHARACTERS = 200
NAMES = ('service', 'zone', 'version')


def upstream(name: str, value: dict[str, Any]) -> forwarding.Upstream:
    """Returns the upstream of an entry.

    Raises:
        ValueError: The id or the value of a field is invalid.
        KeyError: A field is missing.
        TypeError: A field is of another type.
    """
    field_types.check_fields(value, UPSTREAM_FIELDS)
    if not UPSTREAM_ID.fullmatch(name):
        raise ValueError('the id cannot be used in a header')
    for field in NAMES:
        check_name(field, value[field])
    host, port = read_address(value['address'])
    if not 1 <= value['slots'] <= MAX_SLOTS:
        raise ValueError(f'slots: not from 1 to {MAX_SLOTS}')
    state = STATES.get(value['state'])
    if state is None:
        raise ValueError('state: unknown')
    vm = upstreams.Vm(
        id=name,
        host=host,
        port=port,
        availability_zone=value['zone'],
        service=value['service'],
        kind=upstreams.UpstreamKind.SERVICE,
        state=state,
    )
    return forwarding.Upstream(
        instance_id(name, value),
        vm,
        value['slots'],
        cold_seconds=max(0.0, value['coldLeftMs'] / 1000),
        software=value['version'],
    )


def check_name(field: str, name: str) -> None:
    """Checks the name of a service, of a zone or of a version.

    Raises:
        ValueError: It has a line ending or the like, or is too long.
    """
    if len(name) > MAX_NAME_CHARACTERS:
        raise ValueError(f'{field}: {len(name)} characters')
    if not name.isprintable():
        raise ValueError(f'{field}: a character that is not printable')


def read_address(text: str) -> tuple[str, int]:
    """Returns the host and the port of an address.

    Raises:
        ValueError: It is no address of a process: each request to it would
            fail, and the unspecified address is that of the router itself.
    """
    host, _, port_text = text.rpartition(':')
    ip = ipaddress.IPv4Address(host)
    if ip.is_unspecified or ip.is_multicast or ip.is_reserved:
        raise ValueError(f'address: {host} is none of a process')
    port = counts.parse_count(port_text)
    if port is None or not 1 <= port <= MAX_PORT:
        raise ValueError('address: no valid port')
    return host, port


def instance_id(name: str, value: dict[str, Any]) -> str:
    """Returns an id that differs for each start of an upstream.

    A later start may reuse the upstream's id, but has none of the earlier
    one's cached prompts, running requests or reported load.
    """
    born = value.get('born')
    if born is None:
        return name
    field_types.check_type('born', born, int)
    return f'{name}/{born}'
