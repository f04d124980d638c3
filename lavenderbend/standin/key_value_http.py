"""The key-value stand-in over the etcd v3 HTTP/JSON gateway."""

from __future__ import annotations

import contextlib
import json
from typing import Any
from typing import TYPE_CHECKING

import quart
import quart_trio

from lavenderbend import errors
from lavenderbend.protocol import etcd

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from lavenderbend.standin import key_value

UNAVAILABLE_STATUS = 503
TOO_MANY_STATUS = 429
BAD_REQUEST_STATUS = 400


class Gateway:
    """Turns requests of the gateway into calls of the store."""

    def __init__(self, store: key_value.MemoryStore) -> None:
        self.store = store

    def header(self) -> dict[str, str]:
        """Returns the header of an answer."""
        return {'revision': str(self.store.revision)}

    async def range(self, body: dict[str, Any]) -> dict[str, Any]:
        """Answers a read."""
        key, end = names(body)
        limit = etcd.parse_integer(body.get('limit'))
        found = await self.store.read(key, end, limit)
        return {
            'header': {'revision': str(found.revision)},
            'kvs': [etcd.key_value_to_wire(item) for item in found.items],
            'count': str(len(found.items)),
        }

    async def txn(self, body: dict[str, Any]) -> dict[str, Any]:
        """Answers the transactions that the client sends."""
        compares = [
            etcd.compare_from_wire(compare)
            for compare in body.get('compare', ())
        ]
        operation = body['success'][0]
        if 'request_put' in operation:
            done = await self.put(compares, operation['request_put'])
            return {'header': self.header(), 'succeeded': done}
        key, end = names(operation['request_delete_range'])
        count = await self.store.delete(key, end, compares[0].revision)
        deleted = {'response_delete_range': {'deleted': str(count)}}
        return {
            'header': self.header(),
            'succeeded': count > 0,
            'responses': [deleted],
        }

    async def put(
        self, compares: list[etcd.Compare], put: dict[str, Any]
    ) -> bool:
        """Writes a key under the conditions of a transaction."""
        key = etcd.from_base64(put['key']).decode()
        value = etcd.from_base64(put.get('value', ''))
        lease = etcd.parse_integer(put.get('lease'))
        first, *guards = compares
        if first.target == 'MOD':
            return await self.store.replace(key, value, first.revision, lease)
        present = absent = None
        for guard in guards:
            if guard.result == 'GREATER':
                present = guard.key
            else:
                absent = guard.key
        return await self.store.create(key, value, lease, present, absent)

    async def delete(self, body: dict[str, Any]) -> dict[str, Any]:
        """Answers a delete."""
        count = await self.store.delete(*names(body))
        return {'header': self.header(), 'deleted': str(count)}

    async def grant(self, body: dict[str, Any]) -> dict[str, Any]:
        """Answers a lease grant."""
        seconds = etcd.parse_integer(body.get('TTL'))
        lease = await self.store.grant_lease(seconds)
        return {
            'header': self.header(),
            'ID': str(lease),
            'TTL': str(seconds),
        }

    async def keepalive(self, body: dict[str, Any]) -> dict[str, Any]:
        """Answers a lease renewal; a lease that is gone has no TTL."""
        lease = etcd.parse_integer(body.get('ID'))
        seconds = await self.store.renew_lease(lease)
        result = {'header': self.header(), 'ID': str(lease)}
        if seconds:
            result['TTL'] = str(int(seconds))
        return {'result': result}

    async def revoke(self, body: dict[str, Any]) -> dict[str, Any]:
        """Answers the end of a lease."""
        await self.store.revoke_lease(etcd.parse_integer(body.get('ID')))
        return {'header': self.header()}

    async def watch(self, body: dict[str, Any]) -> AsyncIterator[bytes]:
        """Yields the lines of a watch until it ends."""
        create = body['create_request']
        key, end = names(create)
        start = etcd.parse_integer(create.get('start_revision'))
        start = start or self.store.revision + 1
        yield line({'header': self.header(), 'created': True})
        changes = self.store.watch(key, end, start)
        try:
            async with contextlib.aclosing(changes):
                async for batch in changes:
                    events = [event(change) for change in batch]
                    yield line({'header': self.header(), 'events': events})
        except errors.KeyValueUnavailable:
            yield line({'header': self.header(), 'canceled': True})


def names(body: dict[str, Any]) -> tuple[str, str | None]:
    """Returns the key and the end of the range of a request."""
    key = etcd.from_base64(body['key']).decode()
    end = body.get('range_end')
    return key, etcd.from_base64(end).decode() if end else None


def event(change: Any) -> dict[str, Any]:
    """Returns the JSON form of a change."""
    body: dict[str, Any] = {'kv': etcd.key_value_to_wire(change.item)}
    if change.deleted:
        body['type'] = 'DELETE'
    return body


def line(result: dict[str, Any]) -> bytes:
    """Returns one line of a streamed answer."""
    return json.dumps({'result': result}).encode() + b'\n'


def refusal(exc: Exception) -> tuple[dict[str, Any], int]:
    """Returns the answer for a call that failed."""
    if isinstance(exc, errors.KeyValueUnavailable):
        body = {'code': etcd.CODE_RESOURCE_EXHAUSTED, 'message': str(exc)}
        return body, TOO_MANY_STATUS
    if isinstance(exc, errors.KeyValueUncertain):
        body = {'code': etcd.CODE_UNAVAILABLE, 'message': str(exc)}
        return body, UNAVAILABLE_STATUS
    return {'code': 3, 'message': repr(exc)}, BAD_REQUEST_STATUS


def app(store: key_value.MemoryStore) -> quart_trio.QuartTrio:
    """Returns the application that serves a store."""
    application = quart_trio.QuartTrio(__name__)
    gateway = Gateway(store)
    routes = {
        etcd.RANGE: gateway.range,
        etcd.TXN: gateway.txn,
        etcd.DELETE_RANGE: gateway.delete,
        etcd.LEASE_GRANT: gateway.grant,
        etcd.LEASE_KEEPALIVE: gateway.keepalive,
        etcd.LEASE_REVOKE: gateway.revoke,
    }
    for path, method in routes.items():
        application.add_url_rule(
            path, path, answering(method), methods=['POST']
        )
    application.add_url_rule(
        etcd.WATCH, 'watch', watching(gateway), methods=['POST']
    )
    application.add_url_rule(
        '/standin/faults', 'faults', faults(store), methods=['GET', 'POST']
    )
    return application


def answering(method: Any) -> Any:
    """Returns the view of a call."""

    async def view() -> Any:
        body = await quart.request.get_json(force=True)
        try:
            return await method(body)
        except (errors.LavenderbendError, KeyError, IndexError) as exc:
            return refusal(exc)

    return view


def watching(gateway: Gateway) -> Any:
    """Returns the view of watches."""

    async def view() -> Any:
        body = await quart.request.get_json(force=True)
        if 'create_request' not in body:
            return refusal(KeyError('create_request'))
        response = await quart.make_response(gateway.watch(body))
        response.timeout = None
        response.content_type = 'application/json'
        return response

    return view


def faults(store: key_value.MemoryStore) -> Any:
    """Returns the view that shows and changes the faults."""

    async def view() -> Any:
        if quart.request.method == 'POST':
            changes = await quart.request.get_json(force=True)
            try:
                store.fault(**changes)
            except TypeError as exc:
                return {'message': str(exc)}, BAD_REQUEST_STATUS
        shown = {
            name: getattr(store.faults, name)
            for name in type(store.faults).__slots__
            if name != '__weakref__'
        }
        return {
            'faults': shown,
            'calls': dict(store.calls),
            'revision': store.revision,
        }

    return view
