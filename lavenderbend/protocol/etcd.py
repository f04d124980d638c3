"""Request and response bodies of the etcd v3 HTTP/JSON gateway.

Only the published calls and fields that this program uses.
"""

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
    """A comparison that guards a transaction.

    Attributes:
        key: The key whose revision is compared.
        target: `CREATE` or `MOD`.
        result: `EQUAL` or `GREATER`.
        revision: The revision to compare with.
    """

    key: str
    target: str
    result: str
    revision: int


def to_base64(value: str | bytes) -> str:
    """Returns bytes, or a text as UTF-8, in base64."""
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


def parse_integer(value: Any) -> int:
    """Returns a 64-bit integer, which JSON carries as a string; None is 0.

    Raises:
        CodecError: It is not an integer.
    """
    try:
        return int(value or 0)
    except (TypeError, ValueError) as exc:
        raise errors.CodecError(f'not an integer: {value!r}') from exc


def revision_of(body: dict[str, Any]) -> int:
    """Returns the store revision in the header of a response."""
    return parse_integer(body.get('header', {}).get('revision'))


def key_value_from_wire(body: dict[str, Any]) -> key_values.KeyValue:
    """Returns a key-value pair from its JSON form."""
    return key_values.KeyValue(
        key=from_base64(body.get('key', '')).decode(),
        value=from_base64(body.get('value', '')),
        create_revision=parse_integer(body.get('create_revision')),
        mod_revision=parse_integer(body.get('mod_revision')),
        lease=parse_integer(body.get('lease')),
    )


def key_value_to_wire(key_value: Any) -> dict[str, Any]:
    """Returns the JSON form of a key-value pair."""
    return {
        'key': to_base64(key_value.key),
        'value': to_base64(key_value.value),
        'create_revision': str(key_value.create_revision),
        'mod_revision': str(key_value.mod_revision),
        'lease': str(key_value.lease),
    }


def key_range(key: str, end: str | None) -> dict[str, Any]:
    """Returns the fields that select one key or a range.

    Args:
        key: The key, or the first key of the range.
        end: End of the range, exclusive; None for one key.
    """
    body: dict[str, Any] = {'key': to_base64(key)}
    if end is not None:
        body['range_end'] = to_base64(end)
    return body


def compare_to_wire(compare: Compare) -> dict[str, Any]:
    """Returns the JSON form of a comparison."""
    field = 'create_revision' if compare.target == 'CREATE' else 'mod_revision'
    return {
        'key': to_base64(compare.key),
        'target': compare.target,
        'result': compare.result,
        field: str(compare.revision),
    }


def compare_from_wire(body: dict[str, Any]) -> Compare:
    """Returns a comparison from its JSON form."""
    target = body.get('target', 'VERSION')
    field = 'create_revision' if target == 'CREATE' else 'mod_revision'
    return Compare(
        key=from_base64(body['key']).decode(),
        target=target,
        result=body.get('result', 'EQUAL'),
        revision=parse_integer(body.get(field)),
    )


def put_txn(
    compares: tuple[Compare, ...], key: str, value: bytes, lease: int
) -> dict[str, Any]:
    """Returns a transaction that puts a key if all comparisons hold."""
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
    """Returns a transaction that deletes keys.

    Args:
        key: The key, or the first key of the range.
        end: End of the range, exclusive; None for one key.
        mod_revision: Nothing is deleted unless `key` was last modified at
            this revision.
    """
    compare = Compare(key, 'MOD', 'EQUAL', mod_revision)
    return {
        'compare': [compare_to_wire(compare)],
        'success': [{'request_delete_range': key_range(key, end)}],
    }
