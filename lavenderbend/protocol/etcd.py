"""Bodies of the published etcd v3 HTTP/JSON gateway, as far as used."""

from __future__ import annotations

import base64
from typing import Any

import attrs

from lavenderbend import errors
from lavenderbend.state import key_values

RANGE = '/v3/kv/range'
TXN = '/v3/kv/txn'
DELETE_RANGE = '/v3/kv/deleterange'
LEASE_GRANT = '/v3/lease/grant'
LEASE_KEEPALIVE = '/v3/lease/keepalive'
LEASE_REVOKE = '/v3/kv/lease/revoke'
WATCH = '/v3/watch'

# gRPC status codes in error bodies
CODE_NOT_FOUND = 5
CODE_RESOURCE_EXHAUSTED = 8
CODE_OUT_OF_RANGE = 11
CODE_UNAVAILABLE = 14


@attrs.frozen
class Compare:
    """A condition of a transaction.

    Attributes:
        key: The key.
        target: `CREATE` or `MOD`.
        result: `EQUAL` or `GREATER`.
        revision: The revision to compare with.
    """

    key: str
    target: str
    result: str
    revision: int


def to_base64(value: str | bytes) -> str:
    """Returns bytes or text in base64."""
    data = value.encode() if isinstance(value, str) else value
    return base64.b64encode(data).decode()


def from_base64(value: str) -> bytes:
    """Returns the bytes of a base64 text.

    Raises:
        CodecError: The text is not base64.
    """
    try:
        return base64.b64decode(value, validate=True)
    except ValueError as exc:
        raise errors.CodecError(f'not base64: {exc}') from exc


def number(value: Any) -> int:
    """Returns a 64-bit number, which JSON carries as text; absent is 0.

    Raises:
        CodecError: It is no number.
    """
    try:
        return int(value or 0)
    except (TypeError, ValueError) as exc:
        raise errors.CodecError(f'not a number: {value!r}') from exc


def revision_of(body: dict[str, Any]) -> int:
    """Returns the store revision in the header of an answer."""
    return number(body.get('header', {}).get('revision'))


def item_from_wire(body: dict[str, Any]) -> key_values.KeyValue:
    """Returns a key from its JSON form."""
    return key_values.KeyValue(
        key=from_base64(body.get('key', '')).decode(),
        value=from_base64(body.get('value', '')),
        create_revision=number(body.get('create_revision')),
        mod_revision=number(body.get('mod_revision')),
        lease=number(body.get('lease')),
    )


def item_to_wire(item: Any) -> dict[str, Any]:
    """Returns the JSON form of a key."""
    return {
        'key': to_base64(item.key),
        'value': to_base64(item.value),
        'create_revision': str(item.create_revision),
        'mod_revision': str(item.mod_revision),
        'lease': str(item.lease),
    }


def key_range(key: str, end: str | None) -> dict[str, Any]:
    """Returns the members that name one key or a range."""
    body: dict[str, Any] = {'key': to_base64(key)}
    if end is not None:
        body['range_end'] = to_base64(end)
    return body


def compare_to_wire(compare: Compare) -> dict[str, Any]:
    """Returns the JSON form of a condition."""
    field = 'create_revision' if compare.target == 'CREATE' else 'mod_revision'
    return {
        'key': to_base64(compare.key),
        'target': compare.target,
        'result': compare.result,
        field: str(compare.revision),
    }


def compare_from_wire(body: dict[str, Any]) -> Compare:
    """Returns a condition from its JSON form."""
    target = body.get('target', 'VERSION')
    field = 'create_revision' if target == 'CREATE' else 'mod_revision'
    return Compare(
        key=from_base64(body['key']).decode(),
        target=target,
        result=body.get('result', 'EQUAL'),
        revision=number(body.get(field)),
    )


def put_txn(
    compares: tuple[Compare, ...], key: str, value: bytes, lease: int
) -> dict[str, Any]:
    """Returns a transaction that writes a key if all conditions hold."""
    put = {
        'key': to_base64(key),
        'value': to_base64(value),
        'lease': str(lease),
    }
    return {
        'compare': [compare_to_wire(compare) for compare in compares],
        'success': [{'request_put': put}],
    }


def delete_txn(key: str, end: str | None, mod_revision: int) -> dict[str, Any]:
    """Returns a transaction that deletes a key still at a revision."""
    compare = Compare(key, 'MOD', 'EQUAL', mod_revision)
    return {
        'compare': [compare_to_wire(compare)],
        'success': [{'request_delete_range': key_range(key, end)}],
    }
