"""Client of the key-value service, by etcd's v3 HTTP/JSON gateway."""

from __future__ import annotations

import collections
import contextlib
import math
import ssl
from typing import Any
from typing import TYPE_CHECKING

import httpx
import trio

from lavenderbend import errors
from lavenderbend.coordination import interfaces
from lavenderbend.observe import metrics
from lavenderbend.protocol import etcd
from lavenderbend.transport import etcd_answers
from lavenderbend.transport import key_values

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    import random

READ_ATTEMPTS = 3
BACKOFF_SECONDS = 0.05
MAX_CONNECTIONS = 32
HTTP_OK = 200
KEEPALIVE_SECONDS = 20.0
# a watch receives nothing while its keys do not change; the read timeout
# detects a broken connection
WATCH_IDLE_SECONDS = 600.0

CALLS = metrics.counter(
    'lavenderbend_key_value_calls_total',
    'Calls to the key-value service by kind and result.',
)
# errors raised before any byte of the call was sent
NOT_SENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


def default_tls_context() -> ssl.SSLContext:
    """Returns one TLS context; by default httpx builds one per client."""
    return ssl.create_default_context()


@key_values.KEY_VALUE_STORES.register('etcd')
class EtcdStore(interfaces.KeyValueStore):
    """Calls one endpoint, and the next one after a failure.

    Attributes:
        endpoints: Base URLs, such as `http://10.0.0.1:2379`.
        timeout: Seconds that one call may take.
        rng: Random numbers for the jitter of retries.
        endpoint_index: Index of the endpoint in use.
        calls: Number of calls by kind.
    """

    def __init__(
        self, endpoints: tuple[str, ...], timeout: float, rng: random.Random
    ) -> None:
        self.endpoints = tuple(url.rstrip('/') for url in endpoints)
        self.timeout = timeout
        self.rng = rng
        self.endpoint_index = 0
        self.calls: collections.Counter[str] = collections.Counter()
        limits = httpx.Limits(
            max_connections=MAX_CONNECTIONS,
            max_keepalive_connections=MAX_CONNECTIONS,
            keepalive_expiry=KEEPALIVE_SECONDS,
        )
        verify: Any = False
        if any(url.startswith('https:') for url in self.endpoints):
            verify = default_tls_context()
        self.client = httpx.AsyncClient(
            timeout=timeout, limits=limits, verify=verify, trust_env=False
        )

    async def close(self) -> None:
        """Closes the connections."""
        await self.client.aclose()

    async def read(
        self, key: str, end: str | None = None, limit: int = 0
    ) -> interfaces.ReadResult:
        """Reads a key or range; retries, as a repeated read is harmless."""
        body = etcd.key_range(key, end)
        if limit:
            body['limit'] = str(limit)
        answer = await self.call_with_retries('range', etcd.RANGE, body)
        items = tuple(map(etcd.key_value_from_wire, answer.get('kvs', ())))
        return interfaces.ReadResult(etcd.revision_of(answer), items)

    async def create(
        self,
        key: str,
        value: bytes,
        lease: int = 0,
        present: str | None = None,
        absent: str | None = None,
    ) -> bool:
        """Writes the key if it and `absent` are absent and `present` exists."""
        compares = [etcd.Compare(key, 'CREATE', 'EQUAL', 0)]
        if present is not None:
            compares.append(etcd.Compare(present, 'CREATE', 'GREATER', 0))
        if absent is not None:
            compares.append(etcd.Compare(absent, 'CREATE', 'EQUAL', 0))
        body = etcd.put_txn(tuple(compares), key, value, lease)
        answer = await self.call('create', etcd.TXN, body)
        return bool(answer.get('succeeded'))

    async def replace(
        self, key: str, value: bytes, mod_revision: int, lease: int = 0
    ) -> bool:
        """Writes the key if its modification revision has not changed."""
        compare = etcd.Compare(key, 'MOD', 'EQUAL', mod_revision)
        body = etcd.put_txn((compare,), key, value, lease)
        answer = await self.call('replace', etcd.TXN, body)
        return bool(answer.get('succeeded'))

    async def delete(
        self, key: str, end: str | None = None, mod_revision: int | None = None
    ) -> int:
        """Deletes a key or a range; returns the number of deleted keys."""
        if mod_revision is None:
            body = etcd.key_range(key, end)
            answer = await self.call('delete', etcd.DELETE_RANGE, body)
            return etcd.parse_integer(answer.get('deleted'))
        body = etcd.delete_txn(key, end, mod_revision)
        answer = await self.call('delete', etcd.TXN, body)
        if not answer.get('succeeded'):
            return 0
        first = answer.get('responses', [{}])[0]
        deleted = first.get('response_delete_range', {}).get('deleted')
        return etcd.parse_integer(deleted)

    async def grant_lease(self, seconds: float) -> int:
        """Returns a new lease; its time is rounded up to whole seconds."""
        body = {'TTL': str(math.ceil(seconds))}
        answer = await self.call('grant', etcd.LEASE_GRANT, body)
        return etcd.parse_integer(answer.get('ID'))

    async def renew_lease(self, lease: int) -> float:
        """Renews the lease; returns its seconds, 0 if it no longer exists."""
        body = {'ID': str(lease)}
        answer = await self.call('keepalive', etcd.LEASE_KEEPALIVE, body)
        return float(etcd.parse_integer(answer.get('result', {}).get('TTL')))

    async def revoke_lease(self, lease: int) -> None:
        """Revokes the lease; an expired one is not an error."""
        await self.call('revoke', etcd.LEASE_REVOKE, {'ID': str(lease)})

    async def watch(
        self, key: str, end: str | None, start_revision: int
    ) -> AsyncIterator[tuple[interfaces.Change, ...]]:
        """Yields the changes from a revision on, until the stream ends.

        Raises:
            KeyValueUnavailable: The watch was refused or has ended.
        """
        create = etcd.key_range(key, end)
        create['start_revision'] = str(start_revision)
        count(self.calls, 'watch', 'sent')
        try:
            async with self.watch_stream({'create_request': create}) as lines:
                async for line in lines:
                    changes = etcd_answers.parse_watch_line(line)
                    if changes:
                        yield changes
        except (httpx.HTTPError, httpx.StreamError) as exc:
            self.select_next_endpoint()
            raise errors.KeyValueUnavailable(f'watch: {exc!r}') from exc
        raise errors.KeyValueUnavailable('watch: the stream ended')

    @contextlib.asynccontextmanager
    async def watch_stream(
        self, body: dict[str, Any]
    ) -> AsyncIterator[AsyncIterator[str]]:
        """Opens a watch and provides the lines of its answer."""
        limits = httpx.Timeout(self.timeout, read=WATCH_IDLE_SECONDS)
        url = self.endpoints[self.endpoint_index] + etcd.WATCH
        async with self.client.stream(
            'POST', url, json=body, timeout=limits
        ) as response:
            if response.status_code != HTTP_OK:
                text = (await response.aread()).decode(errors='replace')
                raise errors.KeyValueUnavailable(f'watch refused: {text}')
            yield response.aiter_lines()

    async def call_with_retries(
        self, kind: str, path: str, body: dict[str, Any]
    ) -> dict[str, Any]:
        """Makes a read-only call; retries after a failure.

        Raises:
            KeyValueUnavailable: All `READ_ATTEMPTS` attempts failed.
        """
        for attempt in range(READ_ATTEMPTS):
            try:
                return await self.call(kind, path, body)
            except errors.KeyValueError as exc:
                if attempt == READ_ATTEMPTS - 1:
                    raise errors.KeyValueUnavailable(str(exc)) from exc
            max_delay = BACKOFF_SECONDS * 2**attempt
            await trio.sleep(self.rng.uniform(max_delay / 2, max_delay))
        raise errors.KeyValueUnavailable('no attempt was made')

    async def call(
        self, kind: str, path: str, body: dict[str, Any]
    ) -> dict[str, Any]:
        """Makes one call to the endpoint in use.

        Raises:
            KeyValueUnavailable: The call did not take effect.
            KeyValueUncertain: The call may have taken effect.
        """
        url = self.endpoints[self.endpoint_index] + path
        try:
            with trio.fail_after(self.timeout):
                response = await self.client.post(url, json=body)
        except NOT_SENT_ERRORS as exc:
            self.select_next_endpoint()
            count(self.calls, kind, 'unreachable')
            raise errors.KeyValueUnavailable(f'{kind}: {exc!r}') from exc
        except (httpx.HTTPError, trio.TooSlowError) as exc:
            # the service may have carried out the call
            self.select_next_endpoint()
            count(self.calls, kind, 'lost')
            raise errors.KeyValueUncertain(f'{kind}: {exc!r}') from exc
        if response.status_code != HTTP_OK:
            count(self.calls, kind, 'refused')
            raise etcd_answers.error_from_answer(kind, response)
        count(self.calls, kind, 'ok')
        return etcd_answers.json_body(kind, response.content)

    def select_next_endpoint(self) -> None:
        """Selects the next endpoint, after a failure."""
        self.endpoint_index = (self.endpoint_index + 1) % len(self.endpoints)


def count(calls: collections.Counter[str], kind: str, result: str) -> None:
    """Counts a call by kind and result."""
    calls[kind] += 1
    CALLS.inc({'kind': kind, 'result': result})
