"""What an upstream writes of itself to the platform's store."""

from __future__ import annotations

import ipaddress
import re
from typing import Any

from lavenderbend.platform import field_types
from lavenderbend.state import forwarding
from lavenderbend.state import upstreams

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


def upstream(name: str, value: dict[str, Any]) -> forwarding.Upstream:
    """Returns the upstream of an entry.

    Raises:
        ValueError: A field has a value that names no upstream.
        KeyError: A field is missing.
        TypeError: A field is of another type.
    """
    for field, kinds in UPSTREAM_FIELDS.items():
        field_types.check_type(field, value[field], kinds)
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
    field_types.check_type('born', born, int)
    return f'{name}/{born}'
