"""Calls to the platform's metadata store."""

from __future__ import annotations

from urllib import parse

import orjson

from lavenderbend import errors
from lavenderbend.coordination.forwarding import interfaces
from lavenderbend.platform import documents
from lavenderbend.state import forwarding
from lavenderbend.transport import http_calls

RANGE = '/lavenderbend/kv-range'
# the operator's configuration and the entries of upstreams are the only keys;
# one call reads both
ALL_KEYS = ''
MAX_PAGES = 20
OK = 200


class PlatformStore(interfaces.SnapshotSource):
    """Reads the platform's store.

    Attributes:
        calls: The connection to it.
    """

    def __init__(self, address: str, timeout_seconds: float) -> None:
        """Makes a client that connects at its first call.

        Args:
            address: URL of the store.
            timeout_seconds: A call without an answer after this has failed.
        """
        url = parse.urlsplit(address)
        self.calls = http_calls.HttpCaller(
            url.hostname or '', url.port or 80, timeout_seconds
        )

    async def read(self) -> forwarding.RawSnapshot:
        """Reads all keys, page by page.

        Raises:
            KeyValueError: The store did not answer.
        """
        items: list[object] = []
        revision = None
        after = ''
        for _ in range(MAX_PAGES):
            page = await self.page(after)
            # pages are no snapshot: what the first one holds is known to be
            # the newest only as of the first call
            revision = page['storeRevision'] if revision is None else revision
            items.extend(page['items'])
            if not page['hasMore']:
                break
            after = page['items'][-1]['key']
        return forwarding.RawSnapshot(revision, orjson.dumps(items))

    async def page(self, after: str) -> dict[str, object]:
        """Reads the keys after one.

        Raises:
            KeyValueError: The store did not answer, or refused.
        """
        query = {'pathPrefix': ALL_KEYS}
        if after:
            query['after'] = after
        answer = await self.calls.get(f'{RANGE}?{parse.urlencode(query)}')
        if answer.status != OK:
            raise errors.KeyValueUnavailable(f'status {answer.status}')
        try:
            return orjson.loads(answer.body)
        except orjson.JSONDecodeError as exc:
            raise errors.KeyValueUnavailable(f'no JSON: {exc}') from exc

    def decode(self, raw: forwarding.RawSnapshot) -> forwarding.Snapshot:
        """Returns what a read returned, decoded.

        Raises:
            CodecError: It cannot be read; the field is named.
        """
        return documents.decode(raw)
